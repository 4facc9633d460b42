#ifndef HYSSOPBARROW_FLEET_FLEET_METRICS_H_
#define HYSSOPBARROW_FLEET_FLEET_METRICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "Http/http_server.h"
#include "Metrics/exposition.h"
#include "Model/time.h"
#include "Policy/entry.h"

namespace hyssopbarrow::fleet {

/// Counts and latencies of one entry host since its start.
struct FleetMetrics {
  std::map<std::pair<std::string, std::string>, std::int64_t>
      calls;                                           ///< By kind and outcome.
  std::map<std::string, LatencySeries> call_seconds;   ///< By kind of call.
  std::map<std::string, LatencySeries> reply_seconds;  ///< By system.
  std::map<std::pair<std::string, std::string>, std::int64_t>
      replies;  ///< By system and result.
  std::int64_t request_timeouts = 0;
  /// Closed with that of a request that timed out.
  std::int64_t connections_given_up = 0;
  std::int64_t log_lines = 0;
  std::int64_t log_lines_dropped = 0;
  /// Waits for events that a signal or a freeze has ended.
  std::int64_t interrupted_waits = 0;
  std::int64_t relay_links = 0;
  std::int64_t relayed_requests = 0;
  HttpServerCounts callers;  ///< Of the listener for callers.
  std::size_t caller_bytes = 0;
  std::int64_t caller_connections = 0;
  std::int64_t refused_calls = 0;  ///< Because too many calls were open.
};

/// Counts an answered call; `latency` is the time from its arrival.
void RecordCall(FleetMetrics& metrics, CallKind kind, CallOutcome outcome,
                Duration latency);
/// Counts a reply of an external system; `latency` is the time from the
/// request.
void RecordReply(FleetMetrics& metrics, const std::string& system,
                 const std::string& result, Duration latency);

/// Formats all metrics in the Prometheus text exposition format 0.0.4. Metrics
/// of the owner are left out on other hosts. Ages are as of `now`.
std::string FormatMetrics(const FleetMetrics& metrics, const EntryState& entry,
                          Instant now);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_FLEET_FLEET_METRICS_H_
