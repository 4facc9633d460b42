#include <catch2/catch.hpp>

#include "Dispatch/fleet.h"
#include "Model/text.h"
#include "Policy/slot_index.h"
#include "Policy/target_health.h"

namespace hyssopbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const CellId kCell{"booking", "namche"};

/// One entry host and `hosts` workers with `slots` slots each.
Fleet MakeFleet(int hosts, std::int64_t slots) {
  Fleet fleet;
  fleet.snapshot = FleetSnapshot({"huts"});
  for (int n = 0; n < hosts; ++n) {
    const std::string name = StrCat("worker-", n);
    fleet.snapshot.hosts[name] = MakeHost(name, "booking", "namche", slots);
  }
  fleet.AddNode("a", "namche");
  fleet.Run(seconds(1));
  return fleet;
}

/// Ends every attempt from index `from` on: at worker `failing` with `result`,
/// at others with success.
void AnswerAll(Fleet& fleet, std::size_t from, const std::string& failing,
               SlotResult result) {
  for (std::size_t n = from; n < fleet.sends.size(); ++n) {
    const WorkerSend send = fleet.sends[n].second;
    const bool fails = send.host == failing;
    fleet.EndAttempt("a", send.attempt,
                     fails ? result : SlotResult::kSucceeded);
  }
}

TEST_CASE("A worker that fails fast is ejected and does not attract work") {
  Fleet fleet = MakeFleet(5, 1);
  int number = 0;
  std::size_t handled_sends = 0;
  std::size_t at_failing = 0;
  for (int round = 0; round < 100; ++round) {
    fleet.Call("a", ++number, "huts", seconds(25), true);
    const WorkerSend send = fleet.sends.at(handled_sends++).second;
    if (round >= 50 && send.host == "worker-0") ++at_failing;
    fleet.EndAttempt(
        "a", send.attempt,
        send.host == "worker-0" ? SlotResult::kBroken : SlotResult::kSucceeded);
  }
  CHECK(at_failing == 0);
}

TEST_CASE("No more than two in five workers are ejected") {
  TargetHealthTable table;
  const Instant now{seconds(1)};
  for (int round = 0; round < 20; ++round) {
    for (int n = 0; n < 10; ++n) {
      RecordResult(table, StrCat("w", n), SlotResult::kUnreachable,
                   milliseconds(1), 10, now);
    }
  }
  CHECK(table.ejected_count == 4);
}

TEST_CASE("Work that fails on every worker ejects none") {
  TargetHealthTable table;
  for (int round = 0; round < 200; ++round) {
    for (int n = 0; n < 4; ++n) {
      RecordResult(table, StrCat("w", n), SlotResult::kFailed, milliseconds(1),
                   4, Instant{seconds(1)});
    }
  }
  CHECK(table.ejected_count == 0);
}

TEST_CASE("A timeout shorter than usual answers does not count as a failure") {
  TargetHealthTable table;
  const Instant now{seconds(1)};
  RecordResult(table, "w0", SlotResult::kSucceeded, milliseconds(200), 4, now);
  for (int n = 0; n < 20; ++n) {
    RecordResult(table, "w0", SlotResult::kTimedOut, milliseconds(5), 4, now);
  }
  CHECK(table.targets.at("w0").consecutive_failures == 0);
  for (int n = 0; n < 20; ++n) {
    RecordResult(table, "w0", SlotResult::kTimedOut, seconds(5), 4, now);
  }
  CHECK(StateOf(table, "w0") == TargetState::kEjected);
}

TEST_CASE("An ejected worker recovers after successful single trials") {
  Fleet fleet = MakeFleet(2, 4);
  for (int n = 1; n <= 40; ++n) fleet.Call("a", n, "huts", seconds(30), true);
  TargetHealthTable& health =
      fleet.nodes.at("a").dispatch.cells.at(kCell).health;
  AnswerAll(fleet, 0, "worker-0", SlotResult::kBroken);
  AnswerAll(fleet, fleet.sends.size(), "worker-0", SlotResult::kBroken);
  REQUIRE(StateOf(health, "worker-0") == TargetState::kEjected);
  fleet.Run(seconds(6));
  REQUIRE(StateOf(health, "worker-0") == TargetState::kProbation);
  const std::size_t from = fleet.sends.size();
  for (int n = 101; n <= 120; ++n) {
    fleet.Call("a", n, "huts", seconds(30), true);
  }
  std::size_t trials = 0;
  for (std::size_t n = from; n < fleet.sends.size(); ++n) {
    if (fleet.sends[n].second.host == "worker-0") ++trials;
  }
  CHECK(trials == 1);
  AnswerAll(fleet, from, "", SlotResult::kBroken);
  CHECK(StateOf(health, "worker-0") == TargetState::kHealthy);
}

TEST_CASE("A draining host gets no new grant") {
  Fleet fleet = MakeFleet(2, 1);
  NodeState& node = fleet.nodes.at("a");
  node.configuration.snapshot->hosts["worker-0"].state = HostState::kDraining;
  node.configuration.snapshot->revision = 2;
  for (int n = 1; n <= 3; ++n) fleet.Call("a", n, "huts", seconds(25));
  REQUIRE(fleet.sends.size() == 1);
  CHECK(fleet.sends.at(0).second.host == "worker-1");
}

TEST_CASE("A retry goes to another worker, on another rack if there is one") {
  SlotIndex index;
  Snapshot snapshot = FleetSnapshot({});
  for (const char* name : {"a0", "a1", "b0"}) {
    snapshot.hosts[name] = MakeHost(name, "booking", "namche", 4);
    snapshot.hosts[name].rack = std::string(1, *name);
  }
  RebuildSlotIndex(index, kCell, snapshot, {});
  REQUIRE(PickHost(index, {"a0"}) != nullptr);
  CHECK(*PickHost(index, {"a0"}) == "b0");
  CHECK(*PickHost(index, {"a0", "b0"}) == "a1");
  CHECK(PickHost(index, {"a0", "a1", "b0"}) == nullptr);
}

TEST_CASE("Only repeatable work is retried after bytes may have been sent") {
  Fleet fleet = MakeFleet(3, 1);
  fleet.Call("a", 1, "huts", seconds(25), true);
  fleet.EndAttempt("a", fleet.sends.at(0).second.attempt, SlotResult::kBroken);
  CHECK(fleet.sends.size() == 1);
  CHECK(fleet.AnswerTo("a", 1)->outcome == Outcome::kUnknown);
  fleet.Call("a", 2, "huts", seconds(25), true);
  fleet.EndAttempt("a", fleet.sends.at(1).second.attempt,
                   SlotResult::kUnreachable);
  REQUIRE(fleet.sends.size() == 3);
  CHECK(fleet.sends.at(2).second.host != fleet.sends.at(1).second.host);
  fleet.Call("a", 3, "huts", seconds(25));
  fleet.EndAttempt("a", fleet.sends.at(3).second.attempt, SlotResult::kBroken);
  CHECK(fleet.sends.size() == 5);
}

TEST_CASE("Work that two workers answer with an error is not retried") {
  Fleet fleet = MakeFleet(5, 1);
  fleet.Call("a", 1, "huts", seconds(25));
  fleet.EndAttempt("a", fleet.sends.at(0).second.attempt, SlotResult::kFailed);
  REQUIRE(fleet.sends.size() == 2);
  CHECK_FALSE(fleet.AnswerTo("a", 1).has_value());
  fleet.EndAttempt("a", fleet.sends.at(1).second.attempt, SlotResult::kFailed);
  CHECK(fleet.sends.size() == 2);
  CHECK(fleet.AnswerTo("a", 1)->outcome == Outcome::kAnswered);
}

TEST_CASE("Retries stay within the budget") {
  Fleet fleet = MakeFleet(50, 8);
  constexpr int kCalls = 400;
  for (int n = 1; n <= kCalls; ++n) fleet.Call("a", n, "huts", seconds(25));
  for (std::size_t n = 0; n < fleet.sends.size(); ++n) {
    fleet.EndAttempt("a", fleet.sends[n].second.attempt, SlotResult::kBroken);
  }
  CHECK(fleet.sends.size() > kCalls);
  CHECK(fleet.sends.size() <= kCalls + kCalls / 10 + 20);
}

}  // namespace
}  // namespace hyssopbarrow
