#include "Fleet/fleet_metrics.h"

#include "Model/text.h"

namespace hyssopbarrow::fleet {
namespace {

void AppendGauge(std::string& out, std::string_view name, std::string_view help,
                 double value) {
  AppendHeading(out, name, "gauge", help);
  StrAppend(out, "hyssopbarrow_", name, " ", FormatNumber(value), "\n");
}

void AppendOwner(std::string& out, const Owner& owner) {
  std::int64_t runs = 0;
  std::int64_t unheard = 0;
  for (const auto& [id, target] : owner.targets) {
    runs += static_cast<std::int64_t>(target.runs.size());
    unheard += target.missed > 0 ? 1 : 0;
  }
  AppendGauge(out, "jobs_active", "Jobs without a final state.",
              static_cast<double>(owner.active.size()));
  AppendGauge(out, "runs", "Runs on the books.", static_cast<double>(runs));
  AppendGauge(out, "targets", "Targets known.",
              static_cast<double>(owner.targets.size()));
  AppendGauge(out, "targets_unheard", "Targets whose last order got no answer.",
              static_cast<double>(unheard));
  AppendGauge(out, "starts_total", "Starts ordered by this owner.",
              static_cast<double>(owner.starts));
  AppendGauge(out, "ends_total", "Ends taken in by this owner.",
              static_cast<double>(owner.ends));
}

}  // namespace

void RecordCall(FleetMetrics& metrics, CallKind kind, CallOutcome outcome,
                Duration taken) {
  const std::string name(ToString(kind));
  ++metrics.calls[{name, std::string(ToString(outcome))}];
  Record(metrics.call_seconds[name], taken);
}

void RecordReply(FleetMetrics& metrics, const std::string& system,
                 const std::string& result, Duration taken) {
  ++metrics.replies[{system, result}];
  Record(metrics.reply_seconds[system], taken);
}

std::string FormatMetrics(const FleetMetrics& metrics, const Entry& entry) {
  std::string out;
  AppendHeading(out, "job_calls_total", "counter",
                "Answered calls by kind and outcome.");
  for (const auto& [key, n] : metrics.calls) {
    StrAppend(out, "hyssopbarrow_job_calls_total{kind=\"", key.first,
              "\",outcome=\"", key.second, "\"} ", n, "\n");
  }
  AppendHeading(out, "job_call_seconds", "histogram",
                "From a call's arrival until its answer.");
  for (const auto& [kind, it] : metrics.call_seconds) {
    AppendHistogram(out, "job_call_seconds", "kind", kind, it);
  }
  AppendHeading(out, "replies_total", "counter",
                "Replies of other systems by result.");
  for (const auto& [key, n] : metrics.replies) {
    StrAppend(out, "hyssopbarrow_replies_total{system=\"", key.first,
              "\",result=\"", key.second, "\"} ", n, "\n");
  }
  AppendHeading(out, "reply_seconds", "histogram",
                "From a request to another system until its reply.");
  for (const auto& [system, it] : metrics.reply_seconds) {
    AppendHistogram(out, "reply_seconds", "system", system, it);
  }
  AppendGauge(out, "owns_fleet", "1 while this host owns the fleet.",
              entry.owner.has_value() ? 1 : 0);
  AppendGauge(out, "epoch", "Newest epoch of the ownership known here.",
              static_cast<double>(entry.ownership.epoch));
  AppendGauge(out, "configuration_version", "Version in force here.",
              entry.configuration.has_value()
                  ? static_cast<double>(entry.configuration->version)
                  : 0);
  AppendGauge(out, "calls_open", "Calls that are not answered.",
              static_cast<double>(entry.calls.size()));
  AppendGauge(out, "log_lines", "Lines logged.",
              static_cast<double>(metrics.log_lines));
  AppendGauge(out, "log_left_out", "Lines left out by the log's bounds.",
              static_cast<double>(metrics.log_left_out));
  if (entry.owner.has_value()) AppendOwner(out, *entry.owner);
  return out;
}

}  // namespace hyssopbarrow::fleet
