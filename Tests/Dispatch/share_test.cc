#include <catch2/catch.hpp>

#include "Dispatch/fleet.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const CellId kCell{"booking", "namche"};

void AddHosts(Fleet& fleet, const std::string& pool, const std::string& centre,
              int hosts, std::int64_t slots) {
  for (int n = 0; n < hosts; ++n) {
    const std::string name = StrCat(pool, "-", centre, "-", n);
    fleet.snapshot.hosts[name] = MakeHost(name, pool, centre, slots);
  }
}

/// Workers that take a fixed time for each team; a call's team is its number
/// modulo 10.
struct Workers {
  std::map<std::int64_t, Duration> service_time;
  std::multimap<Instant, std::pair<std::string, WorkerSend>> running;
  std::size_t handled_sends = 0;

  /// Runs the fleet for `span`. Returns the slot seconds started by each team.
  std::map<std::int64_t, double> Run(Fleet& fleet, Duration span) {
    std::map<std::int64_t, double> used;
    const Instant end = fleet.now + span;
    while (fleet.now < end) {
      fleet.Run(milliseconds(20));
      EndDueAttempts(fleet);
      for (; handled_sends < fleet.sends.size(); ++handled_sends) {
        const std::int64_t team = fleet.sends[handled_sends].second.call % 10;
        const Duration length = service_time.at(team);
        used[team] += std::chrono::duration<double>(length).count();
        running.emplace(fleet.now + length, fleet.sends[handled_sends]);
      }
    }
    return used;
  }

  void EndDueAttempts(Fleet& fleet) {
    while (!running.empty() && running.begin()->first <= fleet.now) {
      const auto [gateway, send] = running.begin()->second;
      running.erase(running.begin());
      fleet.EndAttempt(gateway, send.attempt, SlotResult::kSucceeded);
    }
  }
};

TEST_CASE("Slot time, not the number of calls, follows the weights") {
  Fleet it;
  it.snapshot = FleetSnapshot({"huts", "guides"});
  it.snapshot.teams["huts"].weight = 2;
  it.snapshot.queues["book"].max_waiting = 10000;
  AddHosts(it, "booking", "namche", 3, 4);
  it.AddNode("a", "namche");
  it.Run(seconds(1));
  for (int n = 0; n < 3000; ++n) {
    it.Call("a", n * 10 + 1, "huts", seconds(29));
    it.Call("a", n * 10 + 2, "guides", seconds(29));
  }
  Workers workers{
      .service_time = {{1, milliseconds(100)}, {2, milliseconds(400)}}};
  const auto used = workers.Run(it, seconds(20));
  CHECK(used.at(1) / used.at(2) == Approx(2).epsilon(0.1));
}

TEST_CASE("A team that was idle gets no credit for it") {
  Fleet it;
  it.snapshot = FleetSnapshot({"huts", "guides"});
  it.snapshot.queues["book"].max_waiting = 10000;
  AddHosts(it, "booking", "namche", 2, 4);
  it.AddNode("a", "namche");
  it.Run(seconds(1));
  for (int n = 0; n < 3000; ++n) {
    it.Call("a", n * 10 + 1, "huts", seconds(29));
  }
  Workers workers{
      .service_time = {{1, milliseconds(100)}, {2, milliseconds(100)}}};
  workers.Run(it, seconds(10));
  for (int n = 0; n < 3000; ++n) {
    it.Call("a", n * 10 + 2, "guides", seconds(29));
  }
  const auto used = workers.Run(it, seconds(3));
  CHECK(used.at(1) / used.at(2) == Approx(1).epsilon(0.15));
}

TEST_CASE("Cells make up for what a team uses elsewhere") {
  Fleet it;
  it.snapshot = FleetSnapshot({"huts", "guides"});
  it.snapshot.queues["book"].max_waiting = 10000;
  AddHosts(it, "booking", "namche", 2, 4);
  AddHosts(it, "booking", "lukla", 1, 4);
  it.AddNode("a", "namche");
  it.AddNode("b", "lukla");
  it.Run(seconds(2));
  for (int n = 0; n < 6000; ++n) {
    it.Call("a", n * 10 + 1, "huts", seconds(29));
    it.Call("a", n * 10 + 2, "guides", seconds(29));
    if (n % 2 == 0) it.Call("b", 100000 + n * 10 + 1, "huts", seconds(29));
  }
  Workers workers{
      .service_time = {{1, milliseconds(200)}, {2, milliseconds(200)}}};
  workers.Run(it, seconds(15));
  const auto used = workers.Run(it, seconds(10));
  // Shares within each cell alone would give 8 slots to 4.
  CHECK(used.at(1) / used.at(2) == Approx(1).epsilon(0.12));
}

TEST_CASE("Long work leaves slots for urgent work and is not starved") {
  Fleet it;
  it.snapshot = FleetSnapshot({"huts", "guides"});
  it.snapshot.queues["tally"] = {
      .name = "tally", .pool = "booking", .queue_class = QueueClass::kLong};
  AddHosts(it, "booking", "namche", 1, 8);
  it.AddNode("a", "namche");
  it.Run(seconds(1));
  for (int n = 1; n <= 20; ++n) {
    it.Call("a", n, "huts", seconds(29), false, "tally");
  }
  CHECK(it.sends.size() == 6);
  for (int n = 21; n <= 60; ++n) it.Call("a", n, "guides", seconds(29));
  CHECK(it.sends.size() == 8);
  for (std::size_t n = 0; n < 6; ++n) {
    it.EndAttempt("a", it.sends[n].second.attempt, SlotResult::kSucceeded);
  }
  std::size_t lasting = 0;
  for (std::size_t n = 8; n < it.sends.size(); ++n) {
    if (it.sends[n].second.call <= 20) ++lasting;
  }
  CHECK(lasting >= 1);
}

TEST_CASE("What cannot start in time is refused early") {
  Fleet it;
  it.snapshot = FleetSnapshot({"huts"});
  AddHosts(it, "booking", "namche", 1, 2);
  it.AddNode("a", "namche");
  it.Run(seconds(1));
  for (int n = 0; n < 100; ++n) it.Call("a", n * 10 + 1, "huts", seconds(29));
  Workers workers{.service_time = {{1, milliseconds(200)}}};
  workers.Run(it, seconds(3));
  it.Call("a", 5000, "huts", seconds(2));
  REQUIRE(it.AnswerTo("a", 5000).has_value());
  CHECK(it.AnswerTo("a", 5000)->outcome == Outcome::kNotRun);
  CHECK(it.AnswerTo("a", 5000)->reason == Reason::kDeadlineTooShort);
  it.Call("a", 5010, "huts", seconds(29));
  CHECK_FALSE(it.AnswerTo("a", 5010).has_value());
}

TEST_CASE("Waiting work of a team is bounded") {
  Fleet it;
  it.snapshot = FleetSnapshot({"huts", "guides"});
  it.snapshot.queues["book"].max_waiting = 3;
  AddHosts(it, "booking", "namche", 1, 1);
  it.AddNode("a", "namche");
  it.Run(seconds(1));
  for (int n = 1; n <= 5; ++n) it.Call("a", n, "huts", seconds(20));
  REQUIRE(it.AnswerTo("a", 5).has_value());
  CHECK(it.AnswerTo("a", 5)->reason == Reason::kQueueFull);
  it.Call("a", 6, "guides", seconds(20));
  CHECK_FALSE(it.AnswerTo("a", 6).has_value());
}

TEST_CASE("Work that fits nowhere is refused at once") {
  Fleet it;
  it.snapshot = FleetSnapshot({"huts"});
  AddHosts(it, "booking", "namche", 1, 1);
  it.AddNode("a", "namche");
  it.Run(seconds(1));
  it.Call("a", 1, "huts", seconds(20));
  it.Call("a", 2, "huts", seconds(20));
  Snapshot& snapshot = *it.nodes.at("a").configuration.snapshot;
  snapshot.hosts.begin()->second.state = HostState::kDraining;
  snapshot.revision = 2;
  it.Run(milliseconds(100));
  REQUIRE(it.AnswerTo("a", 2).has_value());
  CHECK(it.AnswerTo("a", 2)->reason == Reason::kNoCapacity);
  it.Call("a", 3, "huts", seconds(20));
  REQUIRE(it.AnswerTo("a", 3).has_value());
  CHECK(it.AnswerTo("a", 3)->reason == Reason::kNoCapacity);
}

/// One slot in namche, eight in the pool's cell of lukla and in the spare pool.
Fleet MakeSpillFleet(bool remote, bool spare) {
  Fleet it;
  it.snapshot = FleetSnapshot({"huts"});
  it.snapshot.queues["book"].use_spare = spare;
  it.snapshot.pools["reserve"] = {.name = "reserve", .spare = true};
  AddHosts(it, "booking", "namche", 1, 1);
  AddHosts(it, "reserve", "namche", 1, 8);
  if (remote) AddHosts(it, "booking", "lukla", 1, 8);
  it.AddNode("a", "namche");
  if (remote) it.AddNode("b", "lukla");
  it.Run(seconds(3));
  return it;
}

std::size_t SentTo(const Fleet& fleet, const std::string& prefix) {
  std::size_t n = 0;
  for (const auto& [gateway, send] : fleet.sends) {
    if (send.host.starts_with(prefix)) ++n;
  }
  return n;
}

TEST_CASE("A full cell spills to another data centre by its free slots") {
  Fleet it = MakeSpillFleet(true, false);
  for (int n = 1; n <= 9; ++n) it.Call("a", n, "huts", seconds(25));
  CHECK(it.sends.size() == 1);
  it.Run(seconds(3));
  CHECK(SentTo(it, "booking-lukla") == 8);
  CHECK(SentTo(it, "reserve") == 0);
}

TEST_CASE("A full cell spills to the spare pool where the queue may use it") {
  Fleet it = MakeSpillFleet(false, true);
  for (int n = 1; n <= 9; ++n) it.Call("a", n, "huts", seconds(25));
  it.Run(seconds(3));
  CHECK(SentTo(it, "reserve") == 8);
}

TEST_CASE("A data centre without a dispatcher is served by another") {
  Fleet it = MakeSpillFleet(true, false);
  it.snapshot.hosts.erase("booking-namche-0");
  it.snapshot.revision = 2;
  for (auto& [name, node] : it.nodes) {
    node.configuration.snapshot = it.snapshot;
  }
  it.Call("a", 1, "huts", seconds(25));
  CHECK(SentTo(it, "booking-lukla") == 1);
}

TEST_CASE("Cancels of a long line leave nothing behind") {
  Fleet it;
  it.snapshot = FleetSnapshot({"huts"});
  it.snapshot.queues["book"].max_waiting = 20000;
  AddHosts(it, "booking", "namche", 1, 1);
  it.AddNode("a", "namche");
  it.Run(seconds(1));
  for (int n = 1; n <= 2000; ++n) it.Call("a", n, "huts", seconds(29));
  for (int n = 2; n <= 2000; ++n) it.Feed("a", CallerDisconnected{n});
  const Cell& cell = it.nodes.at("a").dispatch.cells.at(kCell);
  CHECK(cell.queue.by_call.empty());
  CHECK(cell.queue.by_latest_start.empty());
  CHECK(it.nodes.at("a").gateway.deadlines.empty());
}

}  // namespace
}  // namespace hyssopbarrow
