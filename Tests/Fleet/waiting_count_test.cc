#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "Fleet/fleet_simulation.h"
#include "Fleet/owner_fixture.h"
#include "Policy/owner_runs.h"

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

// Guards against jobs that stay counted although a target has run them, because
// the reply to their start was lost or the owner has changed since.
TEST_CASE("a job does not wait once a target reports its run or its end") {
  constexpr std::int64_t kPoll = 1000;
  OwnerFixture fixture;
  Owner& owner = fixture.owner;
  TargetView& target = owner.targets["i-1"];
  target.entry = {.id = "i-1", .address = "10.0.0.1:80"};
  Job& job = fixture.AddJob(kWaitingJob, 2);
  const TaskName task = {kWaitingJob, 0, 0, 0};
  AddRun(owner, target, job, task, 1, fixture.now);
  CHECK_FALSE(job.has_run);
  TargetReply reply{.result = TargetResult::kDone, .clock_ms = 1};
  SECTION("run") { reply.runs.push_back({.task = task, .run = 1}); }
  SECTION("end") {
    reply.ends.push_back({.number = 1, .task = task, .run = 1});
  }
  owner.pending_target_requests[kPoll] = {.kind = TargetRequestKind::kPoll,
                                          .target = "i-1",
                                          .sent_at = fixture.now};
  Context context = fixture.MakeContext();
  HandleTargetReply(owner, kPoll, reply, context);
  CHECK(job.has_run);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
