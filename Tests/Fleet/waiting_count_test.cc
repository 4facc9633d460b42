#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "Fleet/fleet_simulation.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kWaitingJob = "00000000000000bb";

// Guards against counts without the jobs whose starts were stored but never
// reached a target, for example because all hosts lost power in between.
TEST_CASE("a job whose start reached no target waits") {
  FleetSimulation simulation(53, 3, 4);
  simulation.Run(seconds(1));
  const std::set<int> all_targets = {0, 1, 2, 3};
  for (int n : {0, 1, 2}) simulation.DisconnectFromTargets(n, all_targets);
  simulation.Submit(kWaitingJob, SimpleJob(1, false));
  simulation.Run(milliseconds(500));
  REQUIRE(simulation.StartsOf({kWaitingJob, 0, 0, 0}) == 0);
  CHECK(simulation.StateOf(kWaitingJob) == JobState::kPending);
  CHECK(simulation.QueryWaiting().waiting == 1);
  for (int n : {0, 1, 2}) simulation.KillEntry(n);
  simulation.Run(seconds(4));
  const OwnerReply restarted = simulation.QueryWaiting();
  CHECK(restarted.answered);
  CHECK(restarted.waiting == 1);
  CHECK(simulation.StateOf(kWaitingJob) == JobState::kPending);
  for (int n : {0, 1, 2}) simulation.DisconnectFromTargets(n, {});
  simulation.Run(seconds(15));
  CHECK(simulation.StateOf(kWaitingJob) == JobState::kCompleted);
  CHECK(simulation.QueryWaiting().waiting == 0);
  CHECK(simulation.violations.empty());
}

}  // namespace
}  // namespace hyssopbarrow::fleet
