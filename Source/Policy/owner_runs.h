#ifndef HYSSOPBARROW_POLICY_OWNER_RUNS_H_
#define HYSSOPBARROW_POLICY_OWNER_RUNS_H_

#include <set>
#include <string>

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Lease that each poll and start request grants. Outlasts the takeover from an
/// owner that was killed (about 2.5 s) and a waiting poll.
constexpr Duration kTargetLease = std::chrono::milliseconds(4500);

/// How long an owner keeps running after its last renewal while the store is
/// unresponsive; covers the usual outage. A successor counts the leases of runs
/// that it cannot see from then, unless the owner has released the ownership.
constexpr Duration kStoreOutageGrace = std::chrono::milliseconds(6000);

/// Latest end of a lease that an instance with an unknown clock may have taken
/// from a request sent until now. Targets shorten leases to the longest one.
Instant LatestUnknownLeaseEnd(const TimingSettings& settings, Instant now);

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

/// As DropAllRuns, but leaves the runs of the tasks in `kept`.
void DropRunsExcept(Owner& owner, TargetView& target,
                    const std::set<TaskName>& kept, std::string_view reason,
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

/// Marks a target as retired and drops all its runs.
void RetireTarget(Owner& owner, TargetView& target, std::string_view reason,
                  Context& context);

/// Sends due polls and retries to a target and drops runs whose lease expired.
void AdvanceTarget(Owner& owner, TargetView& target, Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_OWNER_RUNS_H_
