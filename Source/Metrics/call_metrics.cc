#include "Metrics/call_metrics.h"

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

void AppendEnded(std::string& out, const std::string& queue,
                 const QueueMetrics& metrics) {
  for (const auto& [end, n] : metrics.ended_calls) {
    StrAppend(out, "hyssopbarrow_calls_total{queue=\"", queue, "\",outcome=\"",
              ToString(end.first), "\",reason=\"", ToString(end.second), "\"} ",
              n, "\n");
  }
}

}  // namespace

void RecordCall(CallMetrics& metrics, const CallRecord& record) {
  QueueMetrics& queue = metrics.queues[record.queue];
  ++queue.ended_calls[{record.outcome, record.reason}];
  Record(queue.total_seconds, record.total_latency);
  if (record.start_latency) Record(queue.start_seconds, *record.start_latency);
}

std::string FormatMetrics(const CallMetrics& metrics,
                          const std::vector<Gauge>& gauges) {
  std::string out;
  AppendHeading(out, "calls_total", "counter",
                "Ended calls by queue, outcome and reason.");
  for (const auto& [name, it] : metrics.queues) AppendEnded(out, name, it);
  AppendHeading(out, "start_seconds", "histogram",
                "From a call's arrival until it was sent to a worker.");
  for (const auto& [name, it] : metrics.queues) {
    AppendHistogram(out, "start_seconds", "queue", name, it.start_seconds);
  }
  AppendHeading(out, "total_seconds", "histogram",
                "From a call's arrival until its answer.");
  for (const auto& [name, it] : metrics.queues) {
    AppendHistogram(out, "total_seconds", "queue", name, it.total_seconds);
  }
  for (const Gauge& it : gauges) {
    AppendHeading(out, it.name, "gauge", it.help);
    StrAppend(out, "hyssopbarrow_", it.name, " ", FormatNumber(it.value), "\n");
  }
  return out;
}

}  // namespace hyssopbarrow
