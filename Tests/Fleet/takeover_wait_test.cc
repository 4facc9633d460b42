#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "Fleet/fleet_simulation.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kJob[] = "0000000000000001";
constexpr int kTargets = 4;
constexpr std::int64_t kTasks = 8;
/// Longest time that a task which lasts may have nothing running after a
/// disruption, as promised to callers.
constexpr Duration kMaxInterruption = seconds(7);

/// A fleet with a job whose tasks last.
struct FleetWithLastingTasks {
  FleetSimulation simulation;

  explicit FleetWithLastingTasks(std::uint64_t seed)
      : simulation(seed, 4, kTargets) {
    JobSpec spec = SimpleJob(kTasks, false);
    spec.steps[0].long_running = true;
    simulation.Run(seconds(3));
    simulation.Submit(kJob, spec);
    simulation.Run(seconds(2));
    REQUIRE(CountRunning() == kTasks);
  }

  std::int64_t CountRunning() const {
    std::int64_t count = 0;
    for (std::int64_t n = 0; n < kTasks; ++n) {
      count += simulation.TargetOf({kJob, 0, 0, n}) >= 0 ? 1 : 0;
    }
    return count;
  }

  /// Stops the owner as planned. Its successor takes over at once.
  void StopOwner() {
    REQUIRE(simulation.OwnerIndex() >= 0);
    simulation.StopEntry(simulation.OwnerIndex());
  }

  void ExpectNoViolation() const {
    CAPTURE(simulation.violations);
    CHECK(simulation.violations.empty());
  }
};

// ndoto-kazi, LOST: each owner in turn waited for requests of the one before,
// which had released the ownership, while the tasks of a target that had
// crashed had nothing running.
TEST_CASE("owners that release the ownership leave no wait to the next one") {
  const auto seed = GENERATE(range<std::uint64_t>(720, 724));
  const auto owners = GENERATE(1, 3);
  CAPTURE(seed, owners);
  FleetWithLastingTasks fleet(seed);
  fleet.simulation.CrashTarget(0);
  fleet.simulation.Run(milliseconds(400));
  for (int n = 0; n < owners; ++n) {
    if (n > 0) fleet.simulation.Run(milliseconds(1300));
    fleet.StopOwner();
  }
  fleet.simulation.Run(kMaxInterruption);
  CHECK(fleet.CountRunning() == kTasks);
  fleet.ExpectNoViolation();
}

// Guards against TWICE: a release says nothing of an owner before, which may
// still extend leases while the store does not answer it.
TEST_CASE("a released ownership does not hide an owner without the store") {
  const auto seed = GENERATE(range<std::uint64_t>(730, 736));
  const auto stop_ms = GENERATE(1500, 2500, 4000);
  CAPTURE(seed, stop_ms);
  FleetWithLastingTasks fleet(seed);
  FleetSimulation& simulation = fleet.simulation;
  const int first = simulation.OwnerIndex();
  simulation.DisconnectFromStore(first, true);
  for (int n = 0; n < 4; ++n) {
    if (n != first) simulation.DisconnectFromTargets(n, {0});
  }
  simulation.Run(milliseconds(stop_ms));
  const int second = simulation.OwnerIndex();
  REQUIRE(second != first);
  simulation.StopEntry(second);
  simulation.Run(seconds(25));
  fleet.ExpectNoViolation();
  CHECK(fleet.CountRunning() == kTasks);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
