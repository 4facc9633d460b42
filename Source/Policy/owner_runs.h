#ifndef HYSSOPBARROW_POLICY_OWNER_RUNS_H_
#define HYSSOPBARROW_POLICY_OWNER_RUNS_H_

#include <string>

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Lease that each hold and start gives. Outlasts the takeover from an owner
/// that was killed (about 2.5 s) and a hold that waits.
constexpr Duration kTargetLease = std::chrono::milliseconds(4500);

/// An owner that the store does not answer goes on for so long after its last
/// renewal: the usual outage. Its successor waits as long for what it cannot
/// see.
constexpr Duration kStoreOutageGrace = std::chrono::milliseconds(6000);

/// Until a target is asked again after a hold that failed.
constexpr Duration kPollRetryDelay = std::chrono::milliseconds(250);

/// How long to wait before the next hold of a target.
Duration PollDelay(const TargetView& target);

/// The lease under these terms.
Duration TargetLease(const TimingSettings& terms);

/// The job of that id; null if it is not known.
Job* FindJob(Owner& owner, const std::string& id);

/// Books a run of a task on a target.
Run& AddRun(Owner& owner, TargetView& target, Job& job, const TaskName& name,
            std::int64_t number, Instant now);

/// Takes a run off the books; the task may be started again.
void DropRun(Owner& owner, TargetView& target, const TaskName& name);

/// Takes all runs off the books of a target that can run nothing of them.
void DropAllRuns(Owner& owner, TargetView& target, std::string_view reason,
                 Context& context);

/// Marks a run as unwanted and orders its stop.
void StopRun(Owner& owner, TargetView& target, const TaskName& name,
             std::string_view reason, Context& context);

/// Stops every run of a job.
void StopJobRuns(Owner& owner, Job& job, std::string_view reason,
                 Context& context);

/// Notes that a job's progress row is behind.
void MarkJobChanged(Owner& owner, const Job& job);

/// Gives a job its final state.
void FinishJob(Owner& owner, Job& job, JobState state, std::string_view reason,
               Context& context);

/// Sends an order to a target, with a lease where it extends one.
void SendTargetRequest(Owner& owner, TargetView& target, TargetRequest order,
                       bool extend_lease, Context& context);

/// Books a run that an earlier owner's progress row names.
void RestoreAssignment(Owner& owner, Job& job, const TaskName& name,
                       const Assignment& sent, Context& context);

/// Orders the start of a run that is booked and stored.
void SendStart(Owner& owner, TargetView& target, const TaskName& name,
               Context& context);

/// Takes in a run that a target lists and that is not on the books.
void HandleUntrackedRun(Owner& owner, TargetView& target,
                        const ReportedRun& listed, Context& context);

/// True if the target may run something of this owner's or an earlier one's.
bool HasStartedRuns(const TargetView& target);

/// True if the target has to be heard, for its lease, its ends or its runs,
/// and can be asked.
bool NeedsPoll(const TargetView& target);

/// Notes that a target's life has ended and what it ran with it.
void RetireTarget(Owner& owner, TargetView& target, std::string_view reason,
                  Context& context);

/// Holds, retries and presumed losses that are due on one target.
void AdvanceTarget(Owner& owner, TargetView& target, Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_OWNER_RUNS_H_
