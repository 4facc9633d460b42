#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <variant>

#include "Fleet/fleet_simulation.h"
#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::seconds;

std::string JobId(int n) {
  const std::string digits = std::to_string(n);
  return std::string(16 - digits.size(), '0') + digits;
}

TaskName FirstTask(int job) { return {JobId(job), 0, 0, 0}; }

/// Number of start requests that AdvanceTarget sends for an unanswered start.
std::size_t CountRepeatedStarts(std::int64_t unanswered_polls) {
  const Instant now{seconds(90)};
  Owner owner;
  owner.jobs_loaded = true;
  owner.jobs_known_at = owner.targets_known_at = now;
  owner.target_requests_allowed_until = now + seconds(9);
  Job& job = owner.jobs[JobId(1)];
  job.record = {.id = JobId(1), .spec = SimpleJob(1, false)};
  job.open_occurrences[0] = NewOccurrence(job.record.spec, {});
  TargetView& target = owner.targets["i-1"];
  target.entry = {.id = "i-1", .address = "10.0.0.1:80"};
  target.synced = true;
  target.clock_ms = 1;
  target.clock_at = now;
  target.latest_lease_end = now + seconds(3);
  target.unanswered_polls = unanswered_polls;
  Run& run = AddRun(owner, target, job, FirstTask(1), 1, now);
  run.phase = RunPhase::kStarting;
  run.start_outcome_unknown = true;
  std::int64_t next_id = 1;
  const TimingSettings timing;
  Effects out;
  Context context{.time = {.now = now, .unix_ms = 90'000},
                  .timing = timing,
                  .next_id = next_id,
                  .out = out};
  AdvanceTarget(owner, target, context);
  return static_cast<std::size_t>(
      std::count_if(out.begin(), out.end(), [](const Effect& effect) {
        const auto* request = std::get_if<TargetRequest>(&effect);
        return request != nullptr && request->kind == TargetRequestKind::kStart;
      }));
}

// Virtual fleet 320, TWICE: a start without a reply was repeated until the
// target was back as another instance, which ran the task a second time.
TEST_CASE("a start is not repeated to a target that does not reply") {
  CHECK(CountRepeatedStarts(0) == 1);
  CHECK(CountRepeatedStarts(1) == 0);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
