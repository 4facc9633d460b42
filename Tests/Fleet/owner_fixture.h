#ifndef HYSSOPBARROW_TESTS_FLEET_OWNER_FIXTURE_H_
#define HYSSOPBARROW_TESTS_FLEET_OWNER_FIXTURE_H_

#include <algorithm>
#include <cstdint>
#include <string>

#include "Fleet/fleet_simulation.h"
#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// The context of decisions without a fleet simulation.
struct ContextFixture {
  TimingSettings timing;
  const Configuration* configuration = nullptr;
  std::int64_t next_id = 1;
  Effects out;
  Instant now = Instant(std::chrono::seconds(90));

  Context MakeContext() {
    return {.time = {.now = now, .unix_ms = 90'000},
            .timing = timing,
            .configuration = configuration,
            .next_id = next_id,
            .out = out};
  }
};

/// An owner beside the context of its decisions.
struct OwnerFixture : ContextFixture {
  Owner owner;

  OwnerFixture() {
    owner.configuration_current_until = now + std::chrono::hours(1);
  }

  /// Adds an active job to queue book.
  Job& AddJob(const std::string& id, std::int64_t tasks = 1) {
    Job& job = owner.jobs[id];
    job.record = {.id = id, .queue = "book", .spec = SimpleJob(tasks, false)};
    job.open_occurrences.emplace(0, NewOccurrence(job.record.spec, now));
    owner.active_jobs.insert(id);
    return job;
  }

  /// Number of start requests sent so far.
  std::int64_t CountStarts() const {
    return std::count_if(out.begin(), out.end(), [](const Effect& effect) {
      const auto* request = std::get_if<TargetRequest>(&effect);
      return request != nullptr && request->kind == TargetRequestKind::kStart;
    });
  }
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_TESTS_FLEET_OWNER_FIXTURE_H_
