#ifndef HYSSOPBARROW_METRICS_CALL_METRICS_H_
#define HYSSOPBARROW_METRICS_CALL_METRICS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Metrics/exposition.h"
#include "Model/outcome.h"
#include "Model/time.h"

namespace hyssopbarrow {

/// One ended call.
struct CallRecord {
  std::string queue;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  /// Time from arrival until the call was sent to a worker; empty if it was
  /// not.
  std::optional<Duration> start_latency;
  Duration total_latency{};  ///< Time from arrival until the answer.

  friend bool operator==(const CallRecord&, const CallRecord&) = default;
};

/// Ended calls and latencies of one queue.
struct QueueMetrics {
  std::map<std::pair<Outcome, Reason>, std::int64_t> ended_calls;
  LatencySeries start_seconds;
  LatencySeries total_seconds;
};

/// Call metrics of one entry host since its start.
struct CallMetrics {
  std::map<std::string, QueueMetrics> queues;
};

/// Adds an ended call to the metrics of its queue.
void RecordCall(CallMetrics& metrics, const CallRecord& record);

/// A value that is read at each scrape.
struct Gauge {
  std::string name;  ///< Without the prefix `hyssopbarrow_`.
  std::string help;
  double value = 0;

  friend bool operator==(const Gauge&, const Gauge&) = default;
};

/// Formats the metrics in the Prometheus text format, version 0.0.4.
std::string FormatMetrics(const CallMetrics& metrics,
                          const std::vector<Gauge>& gauges);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_METRICS_CALL_METRICS_H_
