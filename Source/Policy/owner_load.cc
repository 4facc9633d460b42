#include "Policy/owner_load.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace hyssopbarrow::fleet {
namespace {

constexpr Duration kReportInterval = std::chrono::seconds(1);

std::string MillisecondsText(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

/// Mean factor by which `count` values are off, as a percentage.
std::string ErrorText(double log_sum, std::int64_t count) {
  constexpr double kPercent = 100;
  const double mean = count == 0 ? 0 : log_sum / static_cast<double>(count);
  return std::to_string(std::llround((std::exp(mean) - 1) * kPercent));
}

}  // namespace

void RecordCommit(OwnerLoad& load, std::size_t rows, std::size_t rows_left,
                  Duration latency) {
  ++load.commits;
  load.rows += static_cast<std::int64_t>(rows);
  load.most_rows_left =
      std::max(load.most_rows_left, static_cast<std::int64_t>(rows_left));
  load.commit_time += latency;
  load.slowest_commit = std::max(load.slowest_commit, latency);
}

void RecordStartReply(OwnerLoad& load, Duration latency) {
  ++load.start_replies;
  load.start_time += latency;
  load.slowest_start = std::max(load.slowest_start, latency);
}

void ReportLoad(Owner& owner, Context& context) {
  const Instant now = context.time.now;
  OwnerLoad& load = owner.load;
  if (now < load.next_report) return;
  const bool first = load.next_report == Instant{};
  if (!first) {
    std::int64_t waiting = 0;
    for (const auto& [queue, jobs] : owner.waiting_jobs) waiting += jobs;
    Log(context, Severity::kInfo, "owner_load",
        {{"commits", std::to_string(load.commits)},
         {"rows", std::to_string(load.rows)},
         {"most_rows_left", std::to_string(load.most_rows_left)},
         {"commits_ms", MillisecondsText(load.commit_time)},
         {"slowest_commit_ms", MillisecondsText(load.slowest_commit)},
         {"starts", std::to_string(owner.start_count - load.starts_before)},
         {"ends", std::to_string(owner.end_count - load.ends_before)},
         {"start_replies", std::to_string(load.start_replies)},
         {"starts_ms", MillisecondsText(load.start_time)},
         {"slowest_start_ms", MillisecondsText(load.slowest_start)},
         {"active_jobs", std::to_string(owner.active_jobs.size())},
         {"job_bytes", std::to_string(owner.job_bytes)},
         {"waiting_jobs", std::to_string(waiting)},
         {"run_time_models", std::to_string(owner.run_times.model_count)},
         {"forecasts", std::to_string(owner.run_times.errors.count)},
         {"forecast_error_pct", ErrorText(owner.run_times.errors.forecast,
                                          owner.run_times.errors.count)},
         {"declared_error_pct", ErrorText(owner.run_times.errors.declared,
                                          owner.run_times.errors.count)},
         {"below_high", std::to_string(owner.run_times.errors.below_high)}});
  }
  load = OwnerLoad{.next_report = now + kReportInterval,
                   .starts_before = owner.start_count,
                   .ends_before = owner.end_count};
}

}  // namespace hyssopbarrow::fleet
