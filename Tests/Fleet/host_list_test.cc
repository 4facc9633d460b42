#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "Fleet/fleet_simulation.h"
#include "Fleet/owner_fixture.h"
#include "Policy/host_manager.h"
#include "Policy/host_planner.h"
#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kListInterval = milliseconds(100);
/// Longest time that a task which lasts may have nothing running after a
/// disruption, as promised to callers.
constexpr Duration kMaxInterruption = seconds(7);
constexpr char kJob[] = "0000000000000001";

/// An owner that gets host lists.
struct OwnerWithHosts : OwnerFixture {
  /// Gives the owner a complete list of hosts that are up. Host "m-1" runs
  /// target "i-1".
  void ReceiveList(const std::vector<std::string>& names) {
    HostList list{.answered = true};
    for (const std::string& name : names) {
      list.hosts.push_back({.name = name,
                            .state = HostState::kUp,
                            .target = "i-" + name.substr(2)});
    }
    now += kListInterval;
    owner.host_manager.pending_host_list = next_id++;
    owner.host_manager.host_list_requested_at = now - milliseconds(5);
    Context context = MakeContext();
    HandleHostListReply(owner, owner.host_manager.pending_host_list, list,
                        context);
  }

  /// True if the wave with this host is completed in the next round.
  bool CompletesWave(const std::string& host) {
    WaveView& wave = owner.host_manager.waves[1];
    wave.wave = {.number = 1,
                 .hosts = {host},
                 .duration_ms = 60'000,
                 .max_unavailable = 1};
    Context context = MakeContext();
    HostPlanner(owner, context).PlanRound();
    return wave.completed;
  }
};

// Guards against MIXED: a wave was reported as completed because a host moved
// between the pages of one list, in which it was missing.
TEST_CASE("a wave does not end because one host list lacks its host") {
  const bool seen_before = GENERATE(false, true);
  CAPTURE(seen_before);
  OwnerWithHosts fixture;
  if (seen_before) fixture.ReceiveList({"m-1", "m-2"});
  fixture.ReceiveList({"m-1"});
  CHECK_FALSE(fixture.CompletesWave("m-2"));
  SECTION("the next list has it") {
    fixture.ReceiveList({"m-1", "m-2"});
    CHECK_FALSE(fixture.CompletesWave("m-2"));
  }
  SECTION("the next list lacks it, too") {
    fixture.ReceiveList({"m-1"});
    CHECK(fixture.CompletesWave("m-2"));
  }
}

/// An owner with a run of an earlier owner on target "i-2", whose entry names
/// host "m-2" and which does not reply.
struct OwnerWithSilentTarget : OwnerWithHosts {
  TargetView& target = owner.targets["i-2"];

  OwnerWithSilentTarget() {
    target.entry = {.id = "i-2", .address = "10.0.0.2:80", .host = "m-2"};
    owner.owned_since = now;
    Context context = MakeContext();
    RestoreAssignment(owner, AddJob(kJob), {kJob, 0, 0, 0}, {"i-2", 0, 1},
                      context);
  }
};

// Guards against TWICE: runs that go on behind a cut are not given up because
// one list lacks their host.
TEST_CASE("the runs of a target outlast one host list without its host") {
  OwnerWithSilentTarget fixture;
  SECTION("the next list has it") {
    fixture.ReceiveList({"m-1"});
    fixture.ReceiveList({"m-1", "m-2"});
    fixture.ReceiveList({"m-1"});
    CHECK(fixture.target.runs.size() == 1);
  }
  SECTION("the target has replied since the list was requested") {
    fixture.ReceiveList({"m-1"});
    fixture.target.last_reply_at = fixture.now + kListInterval;
    fixture.ReceiveList({"m-1"});
    CHECK(fixture.target.runs.size() == 1);
  }
  SECTION("its entry, of another writer, names a host that does not exist") {
    fixture.target.entry.host = "m-9";
    fixture.ReceiveList({"m-1", "m-2"});
    fixture.ReceiveList({"m-1", "m-2"});
    CHECK(fixture.target.runs.size() == 1);
  }
  SECTION("the target is known only from its runs") {
    fixture.target.entry.host.clear();
    fixture.ReceiveList({"m-1"});
    CHECK(fixture.target.runs.size() == 1);
  }
}

TEST_CASE("the runs of a target are lost once two host lists lack its host") {
  OwnerWithSilentTarget fixture;
  fixture.ReceiveList({"m-1"});
  CHECK(fixture.owner.host_manager.next_host_list <= fixture.now);
  fixture.ReceiveList({"m-1"});
  CHECK(fixture.target.runs.empty());
  CHECK(fixture.target.retired);
  // The host took its target along; no task has crashed it.
  CHECK(fixture.owner.crash_count == 0);
}

// Guards against LOST: a target that was retired while it could not be reached
// was never used again, although its host still ran it.
TEST_CASE("a target that was retired is used again once a host runs it") {
  const auto seed = GENERATE(range<std::uint64_t>(710, 713));
  CAPTURE(seed);
  FleetSimulation simulation(seed, 3, 1);
  simulation.Run(seconds(3));
  simulation.CutOffTarget(0, TargetCut::kBothWays, seconds(5));
  simulation.SetHostListed(0, false);
  simulation.Submit(kJob, SimpleJob(1, false));
  simulation.Run(seconds(5));
  simulation.SetHostListed(0, true);
  simulation.Run(seconds(6));
  CHECK(simulation.StateOf(kJob) == JobState::kCompleted);
  CAPTURE(simulation.violations);
  CHECK(simulation.violations.empty());
}

// ndoto-kazi, LOST: tasks that last had nothing running for 10 s because their
// target was gone with its host as a new owner took over.
TEST_CASE("tasks of a target that left with its host restart at a takeover") {
  const auto seed = GENERATE(range<std::uint64_t>(700, 704));
  const bool planned = GENERATE(false, true);
  CAPTURE(seed, planned);
  constexpr int kTargets = 4;
  constexpr std::int64_t kTasks = 8;
  FleetSimulation simulation(seed, 3, kTargets);
  JobSpec spec = SimpleJob(kTasks, false);
  spec.steps[0].long_running = true;
  simulation.Run(seconds(3));
  simulation.Submit(kJob, spec);
  simulation.Run(seconds(2));
  REQUIRE(simulation.TargetOf({kJob, 0, 0, 0}) >= 0);
  simulation.SetHostListed(0, false);
  simulation.CrashTarget(0);
  simulation.Run(milliseconds(400));
  REQUIRE(simulation.OwnerIndex() >= 0);
  if (planned) {
    simulation.StopEntry(simulation.OwnerIndex());
  } else {
    simulation.KillEntry(simulation.OwnerIndex());
  }
  simulation.Run(kMaxInterruption);
  for (std::int64_t n = 0; n < kTasks; ++n) {
    CAPTURE(n);
    CHECK(simulation.TargetOf({kJob, 0, 0, n}) > 0);
  }
  CAPTURE(simulation.violations);
  CHECK(simulation.violations.empty());
}

}  // namespace
}  // namespace hyssopbarrow::fleet
