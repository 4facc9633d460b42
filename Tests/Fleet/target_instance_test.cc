#include <catch2/catch.hpp>
#include <string>

#include "Fleet/fleet_simulation.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTargets = 4;
std::string JobId(int n) {
  const std::string digits = std::to_string(n);
  return std::string(16 - digits.size(), '0') + digits;
}

/// A job that leaves some targets without runs.
JobSpec SmallJob() { return SimpleJob(2, false); }

void ExpectNoViolation(const FleetSimulation& simulation) {
  CAPTURE(simulation.violations);
  CHECK(simulation.violations.empty());
}

void ExpectCompletedWithoutViolation(const FleetSimulation& simulation,
                                     int job) {
  CAPTURE(job);
  CHECK(simulation.StateOf(JobId(job)) == JobState::kCompleted);
  ExpectNoViolation(simulation);
}

// Review 1, TWICE: the lease of a target that was idle was counted from an old
// reading of its slow clock, and outlasted what the owner allowed for.
TEST_CASE("a lease on a slow clock ends in time after a long idle time") {
  const auto idle_s = GENERATE(75, 600);
  CAPTURE(idle_s);
  FleetSimulation simulation(430, 3, kTargets);
  for (int n = 0; n < kTargets; ++n) simulation.SetClockRate(n, 0.98);
  simulation.task_duration = seconds(12);
  simulation.Run(seconds(idle_s));
  simulation.Submit(JobId(1), SmallJob());
  simulation.Run(milliseconds(500));
  const int target = simulation.TargetOf({JobId(1), 0, 0, 0});
  REQUIRE(target >= 0);
  simulation.CutOffTarget(target, TargetCut::kBothWays, milliseconds(5500));
  simulation.Run(seconds(50));
  ExpectCompletedWithoutViolation(simulation, 1);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
