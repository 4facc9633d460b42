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

/// One entry host before `hosts` workers of `slots` slots.
Fleet MakeFleet(int hosts, std::int64_t slots) {
  Fleet it;
  it.snapshot = FleetSnapshot({"huts"});
  for (int n = 0; n < hosts; ++n) {
    const std::string name = StrCat("worker-", n);
    it.snapshot.hosts[name] = MakeHost(name, "booking", "namche", slots);
  }
  it.AddNode("a", "namche");
  it.Run(seconds(1));
  return it;
}

/// Answers every attempt; those at `failing` with `result`.
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
  Fleet it = MakeFleet(5, 1);
  int number = 0;
  std::size_t seen = 0;
  std::size_t at_failing = 0;
  for (int round = 0; round < 100; ++round) {
    it.Call("a", ++number, "huts", seconds(25), true);
    const WorkerSend send = it.sends.at(seen++).second;
    if (round >= 50 && send.host == "worker-0") ++at_failing;
    it.EndAttempt(
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

TEST_CASE("Work that fails wherever it runs ejects no worker") {
  TargetHealthTable table;
  for (int round = 0; round < 200; ++round) {
    for (int n = 0; n < 4; ++n) {
      RecordResult(table, StrCat("w", n), SlotResult::kFailed, milliseconds(1),
                   4, Instant{seconds(1)});
    }
  }
  CHECK(table.ejected_count == 0);
}

TEST_CASE("A timeout that left no time does not count against the worker") {
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

TEST_CASE("An ejected worker comes back by single trials") {
  Fleet it = MakeFleet(2, 4);
  for (int n = 1; n <= 40; ++n) it.Call("a", n, "huts", seconds(30), true);
  TargetHealthTable& health = it.nodes.at("a").dispatch.cells.at(kCell).health;
  AnswerAll(it, 0, "worker-0", SlotResult::kBroken);
  AnswerAll(it, it.sends.size(), "worker-0", SlotResult::kBroken);
  REQUIRE(StateOf(health, "worker-0") == TargetState::kEjected);
  it.Run(seconds(6));
  REQUIRE(StateOf(health, "worker-0") == TargetState::kProbation);
  const std::size_t from = it.sends.size();
  for (int n = 101; n <= 120; ++n) it.Call("a", n, "huts", seconds(30), true);
  std::size_t trials = 0;
  for (std::size_t n = from; n < it.sends.size(); ++n) {
    if (it.sends[n].second.host == "worker-0") ++trials;
  }
  CHECK(trials == 1);
  AnswerAll(it, from, "", SlotResult::kBroken);
  CHECK(StateOf(health, "worker-0") == TargetState::kHealthy);
}

TEST_CASE("A host that drains gets no new grant once the snapshot says so") {
  Fleet it = MakeFleet(2, 1);
  NodeState& node = it.nodes.at("a");
  node.configuration.snapshot->hosts["worker-0"].state = HostState::kDraining;
  node.configuration.snapshot->revision = 2;
  for (int n = 1; n <= 3; ++n) it.Call("a", n, "huts", seconds(25));
  REQUIRE(it.sends.size() == 1);
  CHECK(it.sends.at(0).second.host == "worker-1");
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

TEST_CASE("Only repeatable work is sent again after bytes may have left") {
  Fleet it = MakeFleet(3, 1);
  it.Call("a", 1, "huts", seconds(25), true);
  it.EndAttempt("a", it.sends.at(0).second.attempt, SlotResult::kBroken);
  CHECK(it.sends.size() == 1);
  CHECK(it.AnswerTo("a", 1)->outcome == Outcome::kUnknown);
  it.Call("a", 2, "huts", seconds(25), true);
  it.EndAttempt("a", it.sends.at(1).second.attempt, SlotResult::kUnreachable);
  REQUIRE(it.sends.size() == 3);
  CHECK(it.sends.at(2).second.host != it.sends.at(1).second.host);
  it.Call("a", 3, "huts", seconds(25));
  it.EndAttempt("a", it.sends.at(3).second.attempt, SlotResult::kBroken);
  CHECK(it.sends.size() == 5);
}

TEST_CASE("Work that two workers answer with an error is not sent again") {
  Fleet it = MakeFleet(5, 1);
  it.Call("a", 1, "huts", seconds(25));
  it.EndAttempt("a", it.sends.at(0).second.attempt, SlotResult::kFailed);
  REQUIRE(it.sends.size() == 2);
  CHECK_FALSE(it.AnswerTo("a", 1).has_value());
  it.EndAttempt("a", it.sends.at(1).second.attempt, SlotResult::kFailed);
  CHECK(it.sends.size() == 2);
  CHECK(it.AnswerTo("a", 1)->outcome == Outcome::kAnswered);
}

TEST_CASE("Retries stay within the budget") {
  Fleet it = MakeFleet(50, 8);
  constexpr int kCalls = 400;
  for (int n = 1; n <= kCalls; ++n) it.Call("a", n, "huts", seconds(25));
  for (std::size_t n = 0; n < it.sends.size(); ++n) {
    it.EndAttempt("a", it.sends[n].second.attempt, SlotResult::kBroken);
  }
  CHECK(it.sends.size() > kCalls);
  CHECK(it.sends.size() <= kCalls + kCalls / 10 + 20);
}

}  // namespace
}  // namespace hyssopbarrow
