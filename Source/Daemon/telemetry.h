#ifndef HYSSOPBARROW_DAEMON_TELEMETRY_H_
#define HYSSOPBARROW_DAEMON_TELEMETRY_H_

#include <string>

#include "Daemon/caller_api.h"
#include "Http/http_server.h"
#include "Metrics/call_metrics.h"
#include "Model/snapshot.h"
#include "Policy/node.h"
#include "Report/burn.h"

namespace hyssopbarrow {

/// Measurements of one entry host since its start.
struct Telemetry {
  CallMetrics calls;
  BurnTable burn;
};

/// Records the answer to a call in the metrics. `snapshot` may be null.
void RecordAnswer(Telemetry& telemetry, const Snapshot* snapshot,
                  const PendingCall& call, const CallAnswer& answer,
                  Instant now);

/// Returns the response to `GET /metrics`.
HttpResponse MetricsResponse(const Telemetry& telemetry, const NodeState& node);

/// Returns the response to `GET /admin/v1/report/burn`: this host's burn counts
/// per minute as JSON.
HttpResponse BurnResponse(const Telemetry& telemetry);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_DAEMON_TELEMETRY_H_
