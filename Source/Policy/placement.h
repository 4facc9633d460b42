#ifndef HYSSOPBARROW_POLICY_PLACEMENT_H_
#define HYSSOPBARROW_POLICY_PLACEMENT_H_

#include <string>
#include <string_view>

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Pool of the job's queue in the current configuration; the pool stored with
/// the job if the queue no longer exists.
std::string_view PoolOf(const Job& job, const Context& context);

/// Latest time at which the remaining work can start and still meet the latency
/// target of the queue. `queue` may be null.
Instant LatestStart(const RunTimes& run_times, const Job& job,
                    const Occurrence& occurrence, const Queue* queue);

/// True if tasks may be started on `target`.
bool IsUsable(const TargetView& target, Instant now);

/// Number of runs on `target` of the step of `first`, which names its task 0.
std::int64_t CountRunsOfStep(const TargetView& target, const TaskName& first);

/// Assigns runnable tasks to targets with free resources, in order of rank.
void PlaceTasks(Owner& owner, Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_PLACEMENT_H_
