#ifndef HYSSOPBARROW_POLICY_OWNER_RUNS_H_
#define HYSSOPBARROW_POLICY_OWNER_RUNS_H_

#include <string>

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Lease that each poll and start request grants. Outlasts the takeover from an
/// owner that was killed (about 2.5 s) and a waiting poll.
constexpr Duration kTargetLease = std::chrono::milliseconds(4500);

/// How long an owner keeps running after its last renewal while the store is
/// unresponsive; covers the usual outage. A successor waits as long before it
/// gives up runs that it cannot see.
constexpr Duration kStoreOutageGrace = std::chrono::milliseconds(6000);

/// Delay before a target is polled again after a failed poll.
constexpr Duration kPollRetryDelay = std::chrono::milliseconds(250);

/// Starts need a reading of the target's clock of at most this age; older ones
/// say little about a target that may have restarted since. Targets with runs
/// answer a poll every 1.4 s at least.
constexpr Duration kMaxReadingAge = std::chrono::milliseconds(3000);

/// How much older the reading may be when the start is sent, once its
/// assignment is stored.
constexpr Duration kMaxStoreTimeOfStart = std::chrono::milliseconds(1000);

/// True if what the owner knows of the target is recent enough to start tasks.
bool HasRecentReading(const TargetView& target, Instant now);

/// Polls a target without waiting for a run end, so that tasks can start there.
void RequestPoll(Owner& owner, TargetView& target, Context& context);

/// Delay before the next poll of a target.
Duration PollDelay(const TargetView& target);

/// The lease to grant under these settings.
Duration TargetLease(const TimingSettings& settings);

/// Returns null if the job is unknown.
Job* FindJob(Owner& owner, const std::string& id);

/// Adds a run of a task to a target and counts its resources as used.
Run& AddRun(Owner& owner, TargetView& target, Job& job, const TaskName& name,
            std::int64_t number, Instant now);

/// Removes a run and releases its resources. The task may be started again.
void DropRun(Owner& owner, TargetView& target, const TaskName& name);

/// Removes all runs of a target that can no longer be running them.
void DropAllRuns(Owner& owner, TargetView& target, std::string_view reason,
                 Context& context);

/// Marks a run as stopping and sends the stop request. Drops a planned run.
void StopRun(Owner& owner, TargetView& target, const TaskName& name,
             std::string_view reason, Context& context);

void StopJobRuns(Owner& owner, Job& job, std::string_view reason,
                 Context& context);

/// Marks the progress row of a job as out of date.
void MarkJobChanged(Owner& owner, const Job& job);

/// Sets the final state of a job and stops its runs.
void FinishJob(Owner& owner, Job& job, JobState state, std::string_view reason,
               Context& context);

/// Sends a request to a target. Includes a lease if `extend_lease` is true.
void SendTargetRequest(Owner& owner, TargetView& target, TargetRequest request,
                       bool extend_lease, Context& context);

/// Adds a run that an earlier owner stored in a progress row.
void RestoreAssignment(Owner& owner, Job& job, const TaskName& name,
                       const Assignment& assignment, Context& context);

/// Sends the start request of a run whose assignment is stored.
void SendStart(Owner& owner, TargetView& target, const TaskName& name,
               Context& context);

/// Handles a reported run that the owner does not track: adopts it, stops it,
/// or waits for the row of its job.
void HandleUntrackedRun(Owner& owner, TargetView& target,
                        const ReportedRun& reported, Context& context);

/// True if the target may be running tasks of this owner or an earlier one.
bool HasStartedRuns(const TargetView& target);

/// True if the target can be polled and has runs, ends to acknowledge, or has
/// not answered this owner yet.
bool NeedsPoll(const TargetView& target);

/// Marks a target as retired and drops all its runs.
void RetireTarget(Owner& owner, TargetView& target, std::string_view reason,
                  Context& context);

/// Sends due polls and retries to a target and drops runs whose lease expired.
void AdvanceTarget(Owner& owner, TargetView& target, Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_OWNER_RUNS_H_
