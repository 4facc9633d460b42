#include "Policy/run_times.h"

namespace hyssopbarrow::fleet {
namespace {

/// Used for tasks whose caller gave no estimate.
constexpr std::int64_t kDefaultEstimateMs = 1000;

}  // namespace

RunTimeKey RunTimeKeyOf(const std::string& queue, const Step& step) {
  return {.queue = queue, .image = step.image, .declared_ms = step.estimate_ms};
}

RunTimeForecast ForecastRunTime(const RunTimes& /*run_times*/,
                                const RunTimeKey& key) {
  const std::int64_t declared_ms =
      key.declared_ms > 0 ? key.declared_ms : kDefaultEstimateMs;
  return {.expected_ms = declared_ms, .high_ms = declared_ms};
}

void RecordRunTime(RunTimes& /*run_times*/, const RunTimeKey& /*key*/,
                   Duration /*measured*/, Instant /*now*/) {}

}  // namespace hyssopbarrow::fleet
