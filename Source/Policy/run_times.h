#ifndef HYSSOPBARROW_POLICY_RUN_TIMES_H_
#define HYSSOPBARROW_POLICY_RUN_TIMES_H_

#include <cstdint>
#include <string>

#include "Model/job.h"
#include "Model/time.h"

namespace hyssopbarrow::fleet {

/// What is known of a task before it runs.
struct RunTimeKey {
  std::string queue;
  std::string image;             ///< As in Step; may be empty.
  std::int64_t declared_ms = 0;  ///< As Step::estimate_ms; 0 if not declared.

  friend bool operator==(const RunTimeKey&, const RunTimeKey&) = default;
};

/// Run time that is expected of one task.
struct RunTimeForecast {
  std::int64_t expected_ms = 0;  ///< Mean.
  std::int64_t high_ms = 0;      ///< Quantile for plans that must rarely fail.
  bool learned = false;          ///< Rests on finished runs.

  friend bool operator==(const RunTimeForecast&,
                         const RunTimeForecast&) = default;
};

/// Run times learned from finished runs.
struct RunTimes {};

/// Key of the tasks of `step` in a job of `queue`.
RunTimeKey RunTimeKeyOf(const std::string& queue, const Step& step);

/// Returns what is expected of a task that has not started. The declared
/// estimate is used where nothing has been learned.
RunTimeForecast ForecastRunTime(const RunTimes& run_times,
                                const RunTimeKey& key);

/// Takes a run into account that ended as done after `measured`.
void RecordRunTime(RunTimes& run_times, const RunTimeKey& key,
                   Duration measured, Instant now);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_RUN_TIMES_H_
