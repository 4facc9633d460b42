#ifndef HYSSOPBARROW_POLICY_RUN_TIMES_H_
#define HYSSOPBARROW_POLICY_RUN_TIMES_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "Model/job.h"
#include "Model/time.h"
#include "Policy/ratio_distribution.h"

namespace hyssopbarrow::fleet {

/// What is known of a task before it runs. The texts belong to its job.
struct RunTimeKey {
  std::string_view queue;
  std::string_view image;        ///< As in Step; may be empty.
  std::int64_t declared_ms = 0;  ///< As Step::estimate_ms; 0 if not declared.
  std::int64_t tasks = 1;        ///< Of the step.

  friend bool operator==(const RunTimeKey&, const RunTimeKey&) = default;
};

/// Run times of the tasks of a step that have ended. The tasks of a step are
/// alike, so they tell more of the others than the declared estimate.
struct StepRunTimes {
  std::int64_t count = 0;
  double log_sum = 0;  ///< Of the logarithms of the milliseconds.

  friend bool operator==(const StepRunTimes&, const StepRunTimes&) = default;
};

/// Run time that is expected of one task.
struct RunTimeForecast {
  std::int64_t expected_ms = 0;  ///< Mean.
  std::int64_t high_ms = 0;      ///< Nine of ten runs are shorter.
  bool learned = false;          ///< Rests on finished runs.

  friend bool operator==(const RunTimeForecast&,
                         const RunTimeForecast&) = default;
};

/// How the run times of an image in a queue follow from the declared estimates:
/// a line through their logarithms, and the ratios of what was measured to it.
/// All figures are means in which the last ends count most.
struct RunTimeModel {
  double weight =
      0;  ///< Of the ends that count; bounded, so that old ones fade.
  double declared_mean = 0;  ///< Of the logarithms of the estimates.
  double measured_mean = 0;  ///< Of the logarithms of the run times.
  double declared_variance = 0;
  double covariance = 0;
  double drift = 0;          ///< Mean error of the last forecasts.
  RatioDistribution errors;  ///< Measured to forecast.
  RatioDistribution spread;  ///< Measured to the mean of its step.
  std::int64_t ends = 0;
  std::int64_t last_used = 0;  ///< RunTimes::ends at the last end.
};

/// Errors of forecasts that were compared with what was measured.
struct RunTimeErrors {
  std::int64_t count = 0;
  double declared = 0;  ///< Sum of the absolute logarithms of the ratios.
  double forecast = 0;  ///< The same, before any task of the step has ended.
  std::int64_t below_high = 0;  ///< Runs shorter than RunTimeForecast::high_ms.
};

/// Run times learned from finished runs.
struct RunTimes {
  /// By queue and image. The entry without an image learns from all ends of the
  /// queue, and new images begin with it.
  std::map<std::string, std::map<std::string, RunTimeModel, std::less<>>,
           std::less<>>
      models;
  std::int64_t model_count = 0;
  std::int64_t ends = 0;  ///< Recorded since the owner began.
  RunTimeErrors errors;
};

/// Key of the tasks of `step` in `job`.
RunTimeKey RunTimeKeyOf(const JobRecord& job, const Step& step);

/// Returns what is expected of a task that has not started. The declared
/// estimate is used where nothing has been learned.
RunTimeForecast ForecastRunTime(const RunTimes& run_times,
                                const RunTimeKey& key,
                                const StepRunTimes& step = {});

/// Returns what is left of a task that has run for `elapsed`.
RunTimeForecast ForecastRemaining(const RunTimes& run_times,
                                  const RunTimeKey& key,
                                  const StepRunTimes& step, Duration elapsed);

/// Returns the time until the last of `tasks` tasks of a step ends that start
/// together.
RunTimeForecast ForecastStep(const RunTimes& run_times, const RunTimeKey& key,
                             const StepRunTimes& step, std::int64_t tasks);

/// Takes a run into account that ended as done after `measured`, and adds it to
/// `step`.
void RecordRunTime(RunTimes& run_times, const RunTimeKey& key,
                   StepRunTimes& step, Duration measured);

/// The summary that a new owner begins with, of at most `max_bytes` in CBOR;
/// images that were used long ago are left out first.
nlohmann::json RunTimesRow(const RunTimes& run_times, std::int64_t max_bytes);

/// Reads a summary. Entries and fields that cannot be read are left out.
void RestoreRunTimes(const nlohmann::json& row, RunTimes& run_times);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_RUN_TIMES_H_
