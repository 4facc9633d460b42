#include "Metrics/call_metrics.h"

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

void AppendEndedCalls(std::string& out, const std::string& queue,
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
  for (const auto& [name, queue] : metrics.queues) {
    AppendEndedCalls(out, name, queue);
  }
  AppendHeading(out, "start_seconds", "histogram",
                "From a call's arrival until it was sent to a worker.");
  for (const auto& [name, queue] : metrics.queues) {
    AppendHistogram(out, "start_seconds", "queue", name, queue.start_seconds);
  }
  AppendHeading(out, "total_seconds", "histogram",
                "From a call's arrival until its answer.");
  for (const auto& [name, queue] : metrics.queues) {
    AppendHistogram(out, "total_seconds", "queue", name, queue.total_seconds);
  }
  for (const Gauge& gauge : gauges) {
    AppendHeading(out, gauge.name, "gauge", gauge.help);
    StrAppend(out, "hyssopbarrow_", gauge.name, " ", FormatNumber(gauge.value),
              "\n");
  }
  return out;
}

}  // namespace hyssopbarrow
