#ifndef HYSSOPBARROW_STANDALONE_TASK_TARGET_H_
#define HYSSOPBARROW_STANDALONE_TASK_TARGET_H_

#include <cstdint>
#include <map>
#include <vector>

#include "Policy/fleet_effects.h"

namespace hyssopbarrow::fleet {

/// Stand-in for one life of a target: its books of runs and ends. Whoever
/// keeps it has the clock and decides when a run is over.
struct TaskTarget {
  Target entry;
  std::int64_t fencing_token = 0;   ///< Highest that an order has carried.
  std::int64_t lease_until_ms = 0;  ///< On the target's clock.
  std::map<TaskName, std::int64_t> runs;        ///< Number of each run.
  std::map<TaskName, std::int64_t> ended_runs;  ///< Highest that has ended.
  std::vector<RunEnd> ends;                     ///< Not acknowledged yet.
  std::int64_t next_end_number = 1;
};

/// Carries out an order at `clock_ms`. A hold does not wait. A start is new if
/// the reply is kDone and the target had no such run before.
TargetReply HandleTargetRequest(TaskTarget& target, const TargetRequest& order,
                                std::int64_t clock_ms);

/// Ends a run; false if the target has no such run.
bool EndRun(TaskTarget& target, const TaskName& task, std::int64_t run,
            RunEndKind kind);

/// Ends all runs if the lease is over at `clock_ms`; false if it is not.
bool EndRunsIfLeaseExpired(TaskTarget& target, std::int64_t clock_ms);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_STANDALONE_TASK_TARGET_H_
