#include <catch2/catch.hpp>

#include "Dispatch/fleet.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const CellId kCell{"booking", "namche"};

void AddHosts(Fleet& fleet, const std::string& pool,
              const std::string& data_centre, int hosts, std::int64_t slots) {
  for (int n = 0; n < hosts; ++n) {
    const std::string name = StrCat(pool, "-", data_centre, "-", n);
    fleet.snapshot.hosts[name] = MakeHost(name, pool, data_centre, slots);
  }
}

/// Workers with a fixed service time for each team. A call's team is its number
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
        const Duration duration = service_time.at(team);
        used[team] += std::chrono::duration<double>(duration).count();
        running.emplace(fleet.now + duration, fleet.sends[handled_sends]);
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
  Fleet fleet;
  fleet.snapshot = FleetSnapshot({"huts", "guides"});
  fleet.snapshot.teams["huts"].weight = 2;
  fleet.snapshot.queues["book"].max_waiting = 10000;
  AddHosts(fleet, "booking", "namche", 3, 4);
  fleet.AddNode("a", "namche");
  fleet.Run(seconds(1));
  for (int n = 0; n < 3000; ++n) {
    fleet.Call("a", n * 10 + 1, "huts", seconds(29));
    fleet.Call("a", n * 10 + 2, "guides", seconds(29));
  }
  Workers workers{
      .service_time = {{1, milliseconds(100)}, {2, milliseconds(400)}}};
  const auto used = workers.Run(fleet, seconds(20));
  CHECK(used.at(1) / used.at(2) == Approx(2).epsilon(0.1));
}

TEST_CASE("A team that was idle gets no credit for being idle") {
  Fleet fleet;
  fleet.snapshot = FleetSnapshot({"huts", "guides"});
  fleet.snapshot.queues["book"].max_waiting = 10000;
  AddHosts(fleet, "booking", "namche", 2, 4);
  fleet.AddNode("a", "namche");
  fleet.Run(seconds(1));
  for (int n = 0; n < 3000; ++n) {
    fleet.Call("a", n * 10 + 1, "huts", seconds(29));
  }
  Workers workers{
      .service_time = {{1, milliseconds(100)}, {2, milliseconds(100)}}};
  workers.Run(fleet, seconds(10));
  for (int n = 0; n < 3000; ++n) {
    fleet.Call("a", n * 10 + 2, "guides", seconds(29));
  }
  const auto used = workers.Run(fleet, seconds(3));
  CHECK(used.at(1) / used.at(2) == Approx(1).epsilon(0.15));
}

TEST_CASE("Cells correct weights for a team's use of other cells") {
  Fleet fleet;
  fleet.snapshot = FleetSnapshot({"huts", "guides"});
  fleet.snapshot.queues["book"].max_waiting = 10000;
  AddHosts(fleet, "booking", "namche", 2, 4);
  AddHosts(fleet, "booking", "lukla", 1, 4);
  fleet.AddNode("a", "namche");
  fleet.AddNode("b", "lukla");
  fleet.Run(seconds(2));
  for (int n = 0; n < 6000; ++n) {
    fleet.Call("a", n * 10 + 1, "huts", seconds(29));
    fleet.Call("a", n * 10 + 2, "guides", seconds(29));
    if (n % 2 == 0) fleet.Call("b", 100000 + n * 10 + 1, "huts", seconds(29));
  }
  Workers workers{
      .service_time = {{1, milliseconds(200)}, {2, milliseconds(200)}}};
  workers.Run(fleet, seconds(15));
  const auto used = workers.Run(fleet, seconds(10));
  // Without correction, the teams would get 8 and 4 slots.
  CHECK(used.at(1) / used.at(2) == Approx(1).epsilon(0.12));
}

TEST_CASE("Long work leaves slots for urgent work and is not starved") {
  Fleet fleet;
  fleet.snapshot = FleetSnapshot({"huts", "guides"});
  fleet.snapshot.queues["tally"] = {
      .name = "tally", .pool = "booking", .queue_class = QueueClass::kLong};
  AddHosts(fleet, "booking", "namche", 1, 8);
  fleet.AddNode("a", "namche");
  fleet.Run(seconds(1));
  for (int n = 1; n <= 20; ++n) {
    fleet.Call("a", n, "huts", seconds(29), false, "tally");
  }
  CHECK(fleet.sends.size() == 6);
  for (int n = 21; n <= 60; ++n) fleet.Call("a", n, "guides", seconds(29));
  CHECK(fleet.sends.size() == 8);
  for (std::size_t n = 0; n < 6; ++n) {
    fleet.EndAttempt("a", fleet.sends[n].second.attempt,
                     SlotResult::kSucceeded);
  }
  std::size_t long_calls = 0;
  for (std::size_t n = 8; n < fleet.sends.size(); ++n) {
    if (fleet.sends[n].second.call <= 20) ++long_calls;
  }
  CHECK(long_calls >= 1);
}

TEST_CASE("A call that cannot start in time is refused early") {
  Fleet fleet;
  fleet.snapshot = FleetSnapshot({"huts"});
  AddHosts(fleet, "booking", "namche", 1, 2);
  fleet.AddNode("a", "namche");
  fleet.Run(seconds(1));
  for (int n = 0; n < 100; ++n) {
    fleet.Call("a", n * 10 + 1, "huts", seconds(29));
  }
  Workers workers{.service_time = {{1, milliseconds(200)}}};
  workers.Run(fleet, seconds(3));
  fleet.Call("a", 5000, "huts", seconds(2));
  REQUIRE(fleet.AnswerTo("a", 5000).has_value());
  CHECK(fleet.AnswerTo("a", 5000)->outcome == Outcome::kNotRun);
  CHECK(fleet.AnswerTo("a", 5000)->reason == Reason::kDeadlineTooShort);
  fleet.Call("a", 5010, "huts", seconds(29));
  CHECK_FALSE(fleet.AnswerTo("a", 5010).has_value());
}

TEST_CASE("The number of waiting calls of a team is limited") {
  Fleet fleet;
  fleet.snapshot = FleetSnapshot({"huts", "guides"});
  fleet.snapshot.queues["book"].max_waiting = 3;
  AddHosts(fleet, "booking", "namche", 1, 1);
  fleet.AddNode("a", "namche");
  fleet.Run(seconds(1));
  for (int n = 1; n <= 5; ++n) fleet.Call("a", n, "huts", seconds(20));
  REQUIRE(fleet.AnswerTo("a", 5).has_value());
  CHECK(fleet.AnswerTo("a", 5)->reason == Reason::kQueueFull);
  fleet.Call("a", 6, "guides", seconds(20));
  CHECK_FALSE(fleet.AnswerTo("a", 6).has_value());
}

TEST_CASE("Calls without a usable worker are refused at once") {
  Fleet fleet;
  fleet.snapshot = FleetSnapshot({"huts"});
  AddHosts(fleet, "booking", "namche", 1, 1);
  fleet.AddNode("a", "namche");
  fleet.Run(seconds(1));
  fleet.Call("a", 1, "huts", seconds(20));
  fleet.Call("a", 2, "huts", seconds(20));
  Snapshot& snapshot = *fleet.nodes.at("a").configuration.snapshot;
  snapshot.hosts.begin()->second.state = HostState::kDraining;
  snapshot.revision = 2;
  fleet.Run(milliseconds(100));
  REQUIRE(fleet.AnswerTo("a", 2).has_value());
  CHECK(fleet.AnswerTo("a", 2)->reason == Reason::kNoCapacity);
  fleet.Call("a", 3, "huts", seconds(20));
  REQUIRE(fleet.AnswerTo("a", 3).has_value());
  CHECK(fleet.AnswerTo("a", 3)->reason == Reason::kNoCapacity);
}

/// One slot in namche, eight in the spare pool and, with `remote`, eight in the
/// pool's cell in lukla. `spare` lets the queue use the spare pool.
Fleet MakeSpillFleet(bool remote, bool spare) {
  Fleet fleet;
  fleet.snapshot = FleetSnapshot({"huts"});
  fleet.snapshot.queues["book"].use_spare = spare;
  fleet.snapshot.pools["reserve"] = {.name = "reserve", .spare = true};
  AddHosts(fleet, "booking", "namche", 1, 1);
  AddHosts(fleet, "reserve", "namche", 1, 8);
  if (remote) AddHosts(fleet, "booking", "lukla", 1, 8);
  fleet.AddNode("a", "namche");
  if (remote) fleet.AddNode("b", "lukla");
  fleet.Run(seconds(3));
  return fleet;
}

std::size_t SentTo(const Fleet& fleet, const std::string& prefix) {
  std::size_t n = 0;
  for (const auto& [gateway, send] : fleet.sends) {
    if (send.host.starts_with(prefix)) ++n;
  }
  return n;
}

TEST_CASE("A full cell spills to another data centre by its free slots") {
  Fleet fleet = MakeSpillFleet(true, false);
  for (int n = 1; n <= 9; ++n) fleet.Call("a", n, "huts", seconds(25));
  CHECK(fleet.sends.size() == 1);
  fleet.Run(seconds(3));
  CHECK(SentTo(fleet, "booking-lukla") == 8);
  CHECK(SentTo(fleet, "reserve") == 0);
}

TEST_CASE("A full cell spills to the spare pool where the queue may use it") {
  Fleet fleet = MakeSpillFleet(false, true);
  for (int n = 1; n <= 9; ++n) fleet.Call("a", n, "huts", seconds(25));
  fleet.Run(seconds(3));
  CHECK(SentTo(fleet, "reserve") == 8);
}

TEST_CASE("A data centre without a dispatcher is served by another") {
  Fleet fleet = MakeSpillFleet(true, false);
  fleet.snapshot.hosts.erase("booking-namche-0");
  fleet.snapshot.revision = 2;
  for (auto& [name, node] : fleet.nodes) {
    node.configuration.snapshot = fleet.snapshot;
  }
  fleet.Call("a", 1, "huts", seconds(25));
  CHECK(SentTo(fleet, "booking-lukla") == 1);
}

TEST_CASE("Cancelled calls are removed from all indexes") {
  Fleet fleet;
  fleet.snapshot = FleetSnapshot({"huts"});
  fleet.snapshot.queues["book"].max_waiting = 20000;
  AddHosts(fleet, "booking", "namche", 1, 1);
  fleet.AddNode("a", "namche");
  fleet.Run(seconds(1));
  for (int n = 1; n <= 2000; ++n) fleet.Call("a", n, "huts", seconds(29));
  for (int n = 2; n <= 2000; ++n) fleet.Feed("a", CallerDisconnected{n});
  const Cell& cell = fleet.nodes.at("a").dispatch.cells.at(kCell);
  CHECK(cell.queue.by_call.empty());
  CHECK(cell.queue.by_latest_start.empty());
  CHECK(fleet.nodes.at("a").gateway.deadlines.empty());
}

}  // namespace
}  // namespace hyssopbarrow
