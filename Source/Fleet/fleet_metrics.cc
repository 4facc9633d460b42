#include "Fleet/fleet_metrics.h"

#include "Model/text.h"
#include "Policy/job_memory.h"

namespace hyssopbarrow::fleet {
namespace {

void AppendGauge(std::string& out, std::string_view name, std::string_view help,
                 double value) {
  AppendHeading(out, name, "gauge", help);
  StrAppend(out, "hyssopbarrow_", name, " ", FormatNumber(value), "\n");
}

using StringPair = std::pair<std::string, std::string>;

/// A counter with one series for each pair of values of the two labels.
void AppendCounts(std::string& out, std::string_view name,
                  std::string_view help, const StringPair& labels,
                  const std::map<StringPair, std::int64_t>& counts) {
  AppendHeading(out, name, "counter", help);
  for (const auto& [values, count] : counts) {
    StrAppend(out, "hyssopbarrow_", name, "{", labels.first, "=\"",
              values.first, "\",", labels.second, "=\"", values.second, "\"} ",
              count, "\n");
  }
}

void AppendHistograms(std::string& out, std::string_view name,
                      std::string_view help, std::string_view label,
                      const std::map<std::string, LatencySeries>& series) {
  AppendHeading(out, name, "histogram", help);
  for (const auto& [value, latencies] : series) {
    AppendHistogram(out, name, label, value, latencies);
  }
}

double SecondsSince(Instant earlier, Instant now) {
  return std::chrono::duration<double>(now - earlier).count();
}

/// What the limits on callers have done.
void AppendCallerLimits(std::string& out, const FleetMetrics& metrics) {
  AppendHeading(out, "callers_limited_total", "counter",
                "Connections closed and requests refused, by cause.");
  const HttpServerCounts& counts = metrics.callers;
  const std::pair<std::string_view, std::int64_t> causes[] = {
      {"closed_for_memory", counts.closed_for_memory},
      {"closed_as_slow", counts.closed_as_slow},
      {"closed_as_idle", counts.closed_as_idle},
      {"closed_for_connections", counts.closed_for_connections},
      {"refused_connections", counts.refused_connections},
      {"refused_requests", counts.refused_requests},
      {"refused_calls", metrics.refused_calls}};
  for (const auto& [cause, count] : causes) {
    StrAppend(out, "hyssopbarrow_callers_limited_total{cause=\"", cause, "\"} ",
              count, "\n");
  }
  AppendGauge(out, "caller_bytes", "Sent by callers and not answered.",
              static_cast<double>(metrics.caller_bytes));
  AppendGauge(out, "caller_connections", "Open connections of callers.",
              static_cast<double>(metrics.caller_connections));
}

void AppendOwnerGauges(std::string& out, const Owner& owner,
                       const TimingSettings& timing, Instant now) {
  std::int64_t runs = 0;
  std::int64_t unresponsive = 0;
  for (const auto& [id, target] : owner.targets) {
    runs += static_cast<std::int64_t>(target.runs.size());
    unresponsive += target.unanswered_polls > 0 ? 1 : 0;
  }
  AppendGauge(out, "jobs_active", "Jobs without a final state.",
              static_cast<double>(owner.active_jobs.size()));
  AppendGauge(out, "jobs_bytes", "Memory that all jobs take, approximately.",
              static_cast<double>(owner.job_bytes));
  AppendGauge(out, "jobs_room_bytes", "Memory left for further jobs.",
              static_cast<double>(RoomForJobs(owner, timing)));
  AppendGauge(out, "jobs_unstored", "Jobs whose progress waits for a commit.",
              static_cast<double>(owner.changed_jobs.size()));
  AppendGauge(
      out, "jobs_isolated",
      "Jobs committed apart because the store refuses one of their rows.",
      static_cast<double>(owner.isolated_jobs.size()));
  AppendGauge(out, "rows_refused_total",
              "Rows kept out of commits because the store refuses them.",
              static_cast<double>(owner.refused_row_count));
  AppendGauge(out, "runs", "Runs on the books.", static_cast<double>(runs));
  AppendGauge(out, "targets", "Targets known.",
              static_cast<double>(owner.targets.size()));
  AppendGauge(out, "targets_unheard", "Targets whose last order got no answer.",
              static_cast<double>(unresponsive));
  AppendGauge(out, "starts_total", "Starts ordered by this owner.",
              static_cast<double>(owner.start_count));
  AppendGauge(out, "ends_total", "Ends taken in by this owner.",
              static_cast<double>(owner.end_count));
  AppendGauge(out, "evacuation_starts_withdrawn_total",
              "Starts withdrawn because of an evacuation.",
              static_cast<double>(owner.evacuation.withdrawn_starts));
  AppendGauge(out, "evacuation_tasks_moved_total",
              "Long-running tasks stopped to move them out of a data centre.",
              static_cast<double>(owner.evacuation.moved_tasks));
  AppendGauge(out, "target_crashes_total",
              "Crashes of targets during runs, seen by this owner.",
              static_cast<double>(owner.crash_count));
  const RunTimeErrors& errors = owner.run_times.errors;
  AppendGauge(out, "run_time_models", "Images with learned run times.",
              static_cast<double>(owner.run_times.model_count));
  AppendGauge(out, "run_time_forecasts_total",
              "Run times that were compared with their forecast.",
              static_cast<double>(errors.count));
  AppendGauge(out, "run_time_forecast_log_error_total",
              "Sum of the logarithms of the factors by which these were off.",
              errors.forecast);
  AppendGauge(out, "run_time_declared_log_error_total",
              "The same for the declared estimates.", errors.declared);
  AppendGauge(out, "run_time_below_high_total",
              "Run times below the high forecast, of which nine in ten "
              "are expected.",
              static_cast<double>(errors.below_high));
  if (!owner.ready) return;
  AppendGauge(out, "jobs_table_age_seconds",
              "Since the jobs table was last known to be complete.",
              SecondsSince(owner.jobs_known_at, now));
  AppendGauge(out, "targets_table_age_seconds",
              "Since the targets table was last known to be complete.",
              SecondsSince(owner.targets_known_at, now));
}

}  // namespace

void RecordCall(FleetMetrics& metrics, CallKind kind, CallOutcome outcome,
                Duration latency) {
  const std::string name(ToString(kind));
  ++metrics.calls[{name, std::string(ToString(outcome))}];
  Record(metrics.call_seconds[name], latency);
}

void RecordReply(FleetMetrics& metrics, const std::string& system,
                 const std::string& result, Duration latency) {
  ++metrics.replies[{system, result}];
  Record(metrics.reply_seconds[system], latency);
}

std::string FormatMetrics(const FleetMetrics& metrics, const EntryState& entry,
                          Instant now) {
  std::string out;
  AppendCounts(out, "job_calls_total", "Answered calls by kind and outcome.",
               {"kind", "outcome"}, metrics.calls);
  AppendHistograms(out, "job_call_seconds",
                   "From a call's arrival until its answer.", "kind",
                   metrics.call_seconds);
  AppendCounts(out, "replies_total", "Replies of other systems by result.",
               {"system", "result"}, metrics.replies);
  AppendHistograms(out, "reply_seconds",
                   "From a request to another system until its reply.",
                   "system", metrics.reply_seconds);
  AppendGauge(out, "owns_fleet", "1 while this host owns the fleet.",
              entry.owner.has_value() ? 1 : 0);
  AppendGauge(out, "epoch", "Newest epoch of the ownership known here.",
              static_cast<double>(entry.ownership.epoch));
  AppendGauge(out, "configuration_version", "Version in force here.",
              entry.configuration.has_value()
                  ? static_cast<double>(entry.configuration->version)
                  : 0);
  if (entry.configuration.has_value()) {
    AppendGauge(out, "configuration_age_seconds",
                "Since the configuration was last known to be the newest.",
                SecondsSince(entry.configuration_follower.known_at, now));
    AppendGauge(out, "configuration_unreadable_entries",
                "Entries of the version in force that could not be read.",
                static_cast<double>(entry.configuration->unreadable_entries));
  }
  AppendGauge(out, "configuration_unreadable",
              "1 while the store has a newer version that cannot be read.",
              entry.configuration_unreadable ? 1 : 0);
  AppendGauge(out, "data_centres_evacuated",
              "Data centres in which operators let nothing start.",
              static_cast<double>(entry.evacuated.size()));
  AppendGauge(out, "request_timeouts_total",
              "Requests to other systems without a response in time.",
              static_cast<double>(metrics.request_timeouts));
  AppendGauge(out, "connections_given_up_total",
              "Connections closed because they may have gone silent.",
              static_cast<double>(metrics.connections_given_up));
  AppendGauge(out, "calls_open", "Calls that are not answered.",
              static_cast<double>(entry.calls.size()));
  AppendGauge(out, "log_lines", "Lines logged.",
              static_cast<double>(metrics.log_lines));
  AppendGauge(out, "log_left_out", "Lines left out by the log's bounds.",
              static_cast<double>(metrics.log_lines_dropped));
  AppendCallerLimits(out, metrics);
  AppendGauge(out, "interrupted_waits_total",
              "Waits for events that a signal or a freeze has ended.",
              static_cast<double>(metrics.interrupted_waits));
  AppendGauge(out, "relay_links", "Relays that this host sends requests to.",
              static_cast<double>(metrics.relay_links));
  AppendGauge(out, "relayed_requests_total",
              "Target requests that this host has carried for an owner.",
              static_cast<double>(metrics.relayed_requests));
  if (entry.owner.has_value()) {
    AppendOwnerGauges(out, *entry.owner, entry.timing, now);
  }
  return out;
}

}  // namespace hyssopbarrow::fleet
