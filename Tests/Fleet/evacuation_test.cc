#include "Policy/evacuation.h"

#include <catch2/catch.hpp>
#include <string>

#include "Fleet/fleet_simulation.h"
#include "Fleet/owner_fixture.h"
#include "Policy/host_planner.h"
#include "Policy/owner_runs.h"
#include "Policy/placement.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTargets = 4;
/// From the acknowledgement of a request on; ConfigApplyMs by default.
constexpr Duration kBound = seconds(2);

std::string JobId(int n) { return "00000000000000" + std::to_string(10 + n); }

/// A fleet with half of its targets in data centre "b".
struct TwoDataCentres {
  FleetSimulation simulation;
  int jobs = 0;

  explicit TwoDataCentres(std::uint64_t seed) : simulation(seed, 3, kTargets) {
    simulation.SetDataCentre(2, "b");
    simulation.SetDataCentre(3, "b");
    simulation.Run(seconds(3));
  }

  /// Submits jobs that fill both data centres, and lets them run.
  void Load(Duration duration) {
    for (int n = 0; n < 8; ++n) {
      simulation.Submit(JobId(jobs++), SimpleJob(4, false));
    }
    simulation.Run(duration);
  }

  /// Tasks of all jobs that run in "b".
  int CountInB() const {
    int count = 0;
    for (int job = 0; job < jobs; ++job) {
      for (std::int64_t n = 0; n < 8; ++n) {
        count += simulation.TargetOf({JobId(job), 0, 0, n}) >= 2 ? 1 : 0;
      }
    }
    return count;
  }
};

// Guards against EVAC: tasks were started in a data centre that operators had
// asked to leave.
TEST_CASE("nothing starts in an evacuated data centre") {
  const auto seed = GENERATE(range<std::uint64_t>(900, 904));
  CAPTURE(seed);
  TwoDataCentres fleet(seed);
  fleet.simulation.task_duration = milliseconds(300);
  SECTION("at the owner that follows the table") {
    fleet.Load(milliseconds(200));
    fleet.simulation.SetEvacuated("b", true);
  }
  SECTION("at an owner that takes over") {
    fleet.simulation.SetEvacuated("b", true);
    fleet.simulation.Run(milliseconds(100));
    fleet.simulation.KillEntry(fleet.simulation.OwnerIndex());
  }
  SECTION("while starts are carried out late") {
    fleet.simulation.faults.late_request_share = 0.3;
    fleet.Load(milliseconds(200));
    fleet.simulation.SetEvacuated("b", true);
    fleet.simulation.Run(milliseconds(500));
    fleet.simulation.faults.late_request_share = 0;
    fleet.simulation.Run(seconds(10));
  }
  fleet.simulation.Run(kBound + seconds(2));
  for (int n = 0; n < 6; ++n) {
    fleet.Load(milliseconds(120));
    CHECK(fleet.CountInB() == 0);
  }
  fleet.simulation.SetEvacuated("b", false);
  fleet.simulation.Run(kBound);
  fleet.Load(milliseconds(120));
  CHECK(fleet.CountInB() > 0);
  CHECK(fleet.simulation.violations.empty());
}

// Guards against an owner that goes on by what it knew before it lost the
// store.
TEST_CASE("an owner that cannot know of an evacuation starts nothing") {
  TwoDataCentres fleet(910);
  const int owner = fleet.simulation.OwnerIndex();
  fleet.simulation.StallWatches(owner, Table::kConfiguration, true);
  fleet.simulation.SetEvacuated("b", true);
  fleet.simulation.Run(kBound + seconds(1));
  REQUIRE(fleet.simulation.OwnerIndex() == owner);
  fleet.Load(milliseconds(300));
  CHECK(fleet.CountInB() == 0);
}

TEST_CASE("accepted jobs wait while all data centres are evacuated") {
  TwoDataCentres fleet(920);
  for (const std::string data_centre : {"a", "b", "unknown"}) {
    fleet.simulation.SetEvacuated(data_centre, true);
  }
  fleet.simulation.Run(seconds(1));
  fleet.Load(seconds(1));
  CHECK(fleet.simulation.accepted_count() == 8);
  CHECK(fleet.simulation.StateOf(JobId(0)) == JobState::kPending);
  fleet.simulation.SetEvacuated("a", false);
  fleet.simulation.Run(seconds(10));
  CHECK(fleet.simulation.StateOf(JobId(7)) == JobState::kCompleted);
}

// Guards against AVAIL: tasks that last leave a data centre only as fast as
// their step allows.
TEST_CASE("long-running tasks leave an evacuated data centre one by one") {
  TwoDataCentres fleet(930);
  JobSpec spec = SimpleJob(8, false);
  spec.steps[0].long_running = true;
  spec.steps[0].max_unavailable_tasks = 1;
  fleet.jobs = 1;
  fleet.simulation.Submit(JobId(0), spec);
  fleet.simulation.Run(seconds(2));
  REQUIRE(fleet.CountInB() > 1);
  fleet.simulation.SetEvacuated("b", true);
  fleet.simulation.Run(seconds(20));
  CHECK(fleet.CountInB() == 0);
  CHECK(fleet.simulation.violations.empty());
}

/// An owner with one target in data centre "b".
struct OneTarget : OwnerFixture {
  TargetView& target = owner.targets["i-1"];

  OneTarget() {
    target.entry = {.id = "i-1",
                    .pool = "desk",
                    .data_centre = "b",
                    .host = "m-1",
                    .capacity = {.cpu_milli = 16'000, .memory_mb = 100'000}};
    target.synced = true;
    owner.target_requests_allowed_until = now + std::chrono::hours(1);
  }

  Run& AddRunInPhase(RunPhase phase) {
    Job& job = AddJob(JobId(0));
    Run& run = AddRun(owner, target, job, {JobId(0), 0, 0, 0}, 1, now);
    run.phase = phase;
    return run;
  }

  void Evacuate() {
    Context context = MakeContext();
    UpdateEvacuatedTargets(owner, {"b"}, context);
  }
};

TEST_CASE("a start that is not on its way yet is dropped") {
  OneTarget fleet;
  fleet.AddRunInPhase(RunPhase::kPlanned);
  fleet.Evacuate();
  CHECK(fleet.target.runs.empty());
  CHECK(fleet.owner.evacuation.withdrawn_starts == 1);
}

// Guards against a start that is sent again until it arrives.
TEST_CASE("a start without a reply is stopped, not sent again") {
  OneTarget fleet;
  fleet.AddRunInPhase(RunPhase::kStarting).start_outcome_unknown = true;
  fleet.Evacuate();
  REQUIRE(fleet.target.runs.size() == 1);
  CHECK(fleet.target.runs.begin()->second.phase == RunPhase::kStopping);
  CHECK(fleet.CountStarts() == 0);
}

TEST_CASE("a confirmed run goes on to its end") {
  OneTarget fleet;
  fleet.AddRunInPhase(RunPhase::kRunning).confirmed_at = fleet.now;
  fleet.Evacuate();
  REQUIRE(fleet.target.runs.size() == 1);
  CHECK(fleet.target.runs.begin()->second.phase == RunPhase::kRunning);
  CHECK_FALSE(IsUsable(fleet.target, fleet.now));
}

// Guards against a target that was retired, for example while its host was
// maintained, and is usable once its host is listed again.
TEST_CASE("a target that is tracked anew stays evacuated") {
  OneTarget fleet;
  fleet.Evacuate();
  Context context = fleet.MakeContext();
  TrackInstance(fleet.target, fleet.target.entry, fleet.now, context);
  fleet.target.synced = true;
  CHECK_FALSE(IsUsable(fleet.target, fleet.now));
}

// Guards against pools that count on hosts where nothing may start.
TEST_CASE("hosts of an evacuated data centre are no room for a pool") {
  OneTarget fleet;
  Configuration pools;
  pools.pools["desk"] = {.name = "desk"};
  pools.pools["store"] = {.name = "store", .spare = true};
  fleet.configuration = &pools;
  for (const std::string name : {"m-1", "m-2", "m-3"}) {
    fleet.owner.host_manager.hosts[name].host = {
        .name = name,
        .pool = name == "m-1" ? "desk" : "store",
        .state = HostState::kUp,
        .data_centre = name == "m-3" ? "a" : "b"};
  }
  fleet.Evacuate();
  Context context = fleet.MakeContext();
  HostPlanner(fleet.owner, context).PlanRound();
  const auto& hosts = fleet.owner.host_manager.hosts;
  CHECK(hosts.at("m-3").operation == HostOperation::kMove);
  CHECK(hosts.at("m-2").operation == HostOperation::kNone);
  CHECK(hosts.at("m-1").operation == HostOperation::kNone);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
