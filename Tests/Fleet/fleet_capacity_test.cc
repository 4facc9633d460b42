#include <catch2/catch.hpp>
#include <string>

#include "Fleet/fleet_simulation.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kJobs = 120;
constexpr int kTargets = 4;

std::string JobId(int n) {
  const std::string digits = std::to_string(n);
  return std::string(16 - digits.size(), '0') + digits;
}

// LIMIT: a target whose capacity shrinks while it runs must get no start that
// exceeds what is left, also not one that was planned or is repeated.
TEST_CASE("starts keep to the capacity of a target that shrinks and grows") {
  const auto seed = GENERATE(range<std::uint64_t>(400, 412));
  CAPTURE(seed);
  FleetSimulation simulation(seed, 3, kTargets);
  simulation.stop_duration = milliseconds(300);
  SECTION("calm") {}
  SECTION("requests and replies are lost") {
    simulation.faults = {.lost_reply_share = 0.1, .late_request_share = 0.02};
  }
  SECTION("the owner is killed") {
    simulation.ScheduleAfter(milliseconds(3300), [&simulation] {
      simulation.KillEntry(std::max(0, simulation.OwnerIndex()));
    });
  }
  simulation.Run(seconds(1));
  for (int n = 0; n < kJobs; ++n) {
    simulation.ScheduleAfter(milliseconds(90) * n, [&simulation, n] {
      simulation.Submit(JobId(n), SimpleJob(3, true));
    });
  }
  // Each target has a quarter of its capacity for 8 s.
  for (int n = 0; n < kTargets; ++n) {
    simulation.ScheduleAfter(milliseconds(1100) * n, [&simulation, n] {
      simulation.SetCapacity(n, {.cpu_milli = 4000, .memory_mb = 100'000});
    });
    simulation.ScheduleAfter(milliseconds(1100) * n + seconds(8), [&, n] {
      simulation.SetCapacity(n, {.cpu_milli = 16000, .memory_mb = 100'000});
    });
  }
  simulation.Run(seconds(12));
  simulation.faults = {};
  simulation.Run(seconds(25));
  for (int n = 0; n < kJobs; ++n) {
    CAPTURE(n);
    CHECK(simulation.StateOf(JobId(n)) == JobState::kCompleted);
  }
  CAPTURE(simulation.violations);
  CHECK(simulation.violations.empty());
}

// Review 10, LIMIT: a new owner started tasks in the room of runs of a final
// job that were still being stopped.
TEST_CASE("a new owner counts the runs that its predecessor has stopped") {
  const auto seed = GENERATE(range<std::uint64_t>(480, 484));
  const auto released = GENERATE(true, false);
  CAPTURE(seed, released);
  // Jobs that fill all targets.
  constexpr std::int64_t kTasks = 4L * kTargets;
  FleetSimulation simulation(seed, 3, kTargets);
  simulation.stop_duration = milliseconds(800);
  simulation.task_duration = seconds(20);
  simulation.Run(seconds(3));
  simulation.Submit(JobId(1), SimpleJob(kTasks, false));
  simulation.Run(seconds(1));
  simulation.task_duration = milliseconds(400);
  simulation.Submit(JobId(2), SimpleJob(kTasks, false));
  simulation.Run(milliseconds(500));
  simulation.Cancel(JobId(1));
  simulation.Run(milliseconds(40));
  REQUIRE(simulation.OwnerIndex() >= 0);
  if (released) {
    simulation.StopEntry(simulation.OwnerIndex());
  } else {
    simulation.stop_duration = milliseconds(4000);
    simulation.KillEntry(simulation.OwnerIndex());
  }
  simulation.Run(seconds(20));
  CHECK(simulation.StateOf(JobId(2)) == JobState::kCompleted);
  CAPTURE(simulation.violations);
  CHECK(simulation.violations.empty());
}

}  // namespace
}  // namespace hyssopbarrow::fleet
