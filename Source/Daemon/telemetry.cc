#include "Daemon/telemetry.h"

#include <chrono>
#include <fstream>
#include <vector>

namespace hyssopbarrow {
namespace {

constexpr double kPageBytes = 4096;

double ResidentBytes() {
  std::ifstream in("/proc/self/statm");
  std::int64_t total = 0;
  std::int64_t resident = 0;
  in >> total >> resident;
  return static_cast<double>(resident) * kPageBytes;
}

std::vector<Gauge> MakeGauges(const NodeState& node) {
  const auto& snapshot = node.configuration.snapshot;
  const auto revision = snapshot.has_value() ? snapshot->revision : 0;
  return {{"snapshot_revision", "Revision of the adopted snapshot.",
           static_cast<double>(revision)},
          {"store_reachable", "1 when the table answered the last poll.",
           node.configuration.store_reachable ? 1.0 : 0.0},
          {"calls_open", "Calls that have not been answered.",
           static_cast<double>(node.gateway.calls.size())},
          {"linked_peers", "Entry hosts with an open link.",
           static_cast<double>(node.linked_peers.size())},
          {"resident_bytes", "Memory of the process.", ResidentBytes()}};
}

}  // namespace

void RecordAnswer(Telemetry& telemetry, const Snapshot* snapshot,
                  const PendingCall& call, const CallAnswer& answer,
                  Instant now) {
  const Queue* queue =
      snapshot == nullptr ? nullptr : Find(snapshot->queues, call.queue);
  if (queue == nullptr) return;
  CallRecord record{.queue = call.queue,
                    .outcome = answer.outcome,
                    .reason = answer.reason,
                    .total_latency = now - call.arrived_at};
  if (call.started_at.has_value()) {
    record.start_latency = *call.started_at - call.arrived_at;
  }
  RecordCall(telemetry.calls, record);
  const auto target = std::chrono::milliseconds(queue->latency_target_ms);
  const BurnEvent event{
      .minute = MinuteOf(std::chrono::system_clock::now()),
      .outcome = answer.outcome,
      .reason = answer.reason,
      .slow = record.start_latency.value_or(Duration::zero()) > target};
  RecordBurn(telemetry.burn, *queue, event);
}

HttpResponse MetricsResponse(const Telemetry& telemetry,
                             const NodeState& node) {
  return {.status = 200,
          .headers = {{"content-type", "text/plain; version=0.0.4"}},
          .body = FormatMetrics(telemetry.calls, MakeGauges(node))};
}

HttpResponse BurnResponse(const Telemetry& telemetry) {
  return {.status = 200,
          .headers = {{"content-type", "application/json"}},
          .body = ToJson(telemetry.burn).dump()};
}

}  // namespace hyssopbarrow
