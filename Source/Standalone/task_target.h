#ifndef HYSSOPBARROW_STANDALONE_TASK_TARGET_H_
#define HYSSOPBARROW_STANDALONE_TASK_TARGET_H_

#include <cstdint>
#include <map>
#include <vector>

#include "Policy/fleet_effects.h"

namespace hyssopbarrow::fleet {

/// Simulated instance of a target: its runs and the ends that it reports. The
/// caller supplies the clock and decides when a run ends.
struct TaskTarget {
  Target entry;
  std::int64_t fencing_token = 0;               ///< Highest seen in a request.
  std::int64_t lease_until_ms = 0;              ///< On the target's clock.
  std::map<TaskName, std::int64_t> runs;        ///< Run numbers by task.
  std::map<TaskName, std::int64_t> ended_runs;  ///< Highest ended run.
  std::vector<RunEnd> ends;                     ///< Not yet acknowledged.
  std::int64_t next_end_number = 1;
};

/// Handles a request at `clock_ms` and returns the reply; a poll returns at
/// once, whatever its wait. kDone for a start also covers a run that the target
/// already has, so the caller checks `runs` before to find out if it is new.
TargetReply HandleTargetRequest(TaskTarget& target,
                                const TargetRequest& request,
                                std::int64_t clock_ms);

/// Ends a run and queues its RunEnd; false if the target has no such run.
bool EndRun(TaskTarget& target, const TaskName& task, std::int64_t run,
            RunEndKind kind);

/// Ends all runs if the lease has expired at `clock_ms`; false if it has not.
bool EndRunsIfLeaseExpired(TaskTarget& target, std::int64_t clock_ms);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_STANDALONE_TASK_TARGET_H_
