#include <catch2/catch.hpp>
#include <memory>
#include <set>

#include "Dispatch/fleet.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Pool and data centre of the workers of MakeFleet.
const CellId kCell{"booking", "namche"};

/// Three entry hosts of one data centre and `hosts` workers with 1 slot each,
/// 3 s after the start.
Fleet MakeFleet(int hosts) {
  Fleet fleet;
  fleet.snapshot = FleetSnapshot({"huts", "guides"});
  for (int n = 0; n < hosts; ++n) {
    const std::string name = StrCat("worker-", n);
    fleet.snapshot.hosts[name] = MakeHost(name, "booking", "namche", 1);
  }
  for (const char* name : {"a", "b", "c"}) fleet.AddNode(name, "namche");
  fleet.Run(seconds(3));
  return fleet;
}

/// Returns an entry host that is not `owner`, the cell's dispatcher.
std::string EntryHostOtherThan(const Fleet& fleet, const std::string& owner) {
  for (const auto& [name, node] : fleet.nodes) {
    if (name != owner) return name;
  }
  return {};
}

/// Drops the first message of type `Message` that is sent to another host.
/// Replaces `fleet.should_drop`.
template <typename Message>
void DropFirst(Fleet& fleet) {
  auto dropped = std::make_shared<bool>(false);
  fleet.should_drop = [dropped](const std::string& from, const PeerSend& send) {
    const bool drop = !*dropped && send.to != from &&
                      std::holds_alternative<Message>(send.message);
    *dropped = *dropped || drop;
    return drop;
  };
}

const Cell& CellAt(const Fleet& fleet, const std::string& owner) {
  return fleet.nodes.at(owner).dispatch.cells.at(kCell);
}

TEST_CASE("A lost request is detected by the summaries and sent again") {
  Fleet fleet = MakeFleet(1);
  DropFirst<SlotRequest>(fleet);
  const std::string gateway =
      EntryHostOtherThan(fleet, fleet.OwnerOfCell(kCell));
  fleet.Call(gateway, 1, "huts", seconds(25));
  CHECK(fleet.sends.empty());
  fleet.Run(seconds(8));
  CHECK(fleet.sends.size() == 1);
}

TEST_CASE("A lost grant is sent again and used once") {
  Fleet fleet = MakeFleet(1);
  DropFirst<SlotGrant>(fleet);
  const std::string gateway =
      EntryHostOtherThan(fleet, fleet.OwnerOfCell(kCell));
  fleet.Call(gateway, 1, "huts", seconds(25));
  CHECK(fleet.sends.empty());
  fleet.Run(seconds(8));
  CHECK(fleet.sends.size() == 1);
}

TEST_CASE("A lost release frees the slot before its deadline") {
  Fleet fleet = MakeFleet(1);
  DropFirst<SlotRelease>(fleet);
  const std::string gateway =
      EntryHostOtherThan(fleet, fleet.OwnerOfCell(kCell));
  fleet.Call(gateway, 1, "huts", seconds(25));
  fleet.EndAttempt(gateway, fleet.sends.at(0).second.attempt,
                   SlotResult::kSucceeded);
  fleet.Call(gateway, 2, "huts", seconds(25));
  CHECK(fleet.sends.size() == 1);
  fleet.Run(seconds(4));
  CHECK(fleet.sends.size() == 2);
}

TEST_CASE("A lost cancel does not use a slot") {
  Fleet fleet = MakeFleet(1);
  const std::string gateway =
      EntryHostOtherThan(fleet, fleet.OwnerOfCell(kCell));
  fleet.Call(gateway, 1, "huts", seconds(25));
  fleet.Call(gateway, 2, "huts", seconds(25));
  DropFirst<SlotCancel>(fleet);
  fleet.Feed(gateway, CallerDisconnected{2});
  fleet.EndAttempt(gateway, fleet.sends.at(0).second.attempt,
                   SlotResult::kSucceeded);
  fleet.Call(gateway, 3, "huts", seconds(25));
  CHECK(fleet.sends.size() == 2);
  CHECK(fleet.sends.back().second.call == 3);
}

TEST_CASE(
    "A call whose refusal is lost is answered as not run at its deadline") {
  Fleet fleet = MakeFleet(1);
  const std::string gateway =
      EntryHostOtherThan(fleet, fleet.OwnerOfCell(kCell));
  fleet.Call(gateway, 1, "huts", seconds(25));
  fleet.should_drop = [](const std::string& from, const PeerSend& send) {
    return send.to != from && std::holds_alternative<SlotRefusal>(send.message);
  };
  fleet.Call(gateway, 2, "huts", milliseconds(500));
  // 20 ms, one tick of the nodes, after the deadline.
  fleet.Run(milliseconds(520));
  REQUIRE(fleet.AnswerTo(gateway, 2).has_value());
  CHECK(fleet.AnswerTo(gateway, 2)->outcome == Outcome::kNotRun);
}

TEST_CASE("Duplicated messages start each call once and free each slot once") {
  Fleet fleet = MakeFleet(2);
  fleet.message_copies = 2;
  const std::string owner = fleet.OwnerOfCell(kCell);
  const std::string gateway = EntryHostOtherThan(fleet, owner);
  for (int n = 1; n <= 4; ++n) fleet.Call(gateway, n, "huts", seconds(25));
  CHECK(fleet.sends.size() == 2);
  for (std::size_t n = 0; n < fleet.sends.size(); ++n) {
    fleet.EndAttempt(gateway, fleet.sends.at(n).second.attempt,
                     SlotResult::kSucceeded);
    fleet.Run(milliseconds(40));
  }
  CHECK(fleet.sends.size() == 4);
  CHECK(CellAt(fleet, owner).granted_slots.empty());
  CHECK(CellAt(fleet, owner).slots.free_slots == 2);
}

TEST_CASE("A dead gateway's slot is kept until the deadline, then freed") {
  Fleet fleet = MakeFleet(1);
  const std::string owner = fleet.OwnerOfCell(kCell);
  const std::string gateway = EntryHostOtherThan(fleet, owner);
  fleet.Call(gateway, 1, "huts", seconds(5));
  fleet.RemoveNode(gateway);
  // Another call: numbers are unique only at their gateway.
  fleet.Call(owner, 1, "huts", seconds(25));
  fleet.Run(seconds(4));
  CHECK(fleet.sends.size() == 1);
  fleet.Run(seconds(8));
  CHECK(fleet.sends.size() == 2);
}

TEST_CASE("A restarted gateway does not free its old incarnation's slots") {
  Fleet fleet = MakeFleet(1);
  const std::string owner = fleet.OwnerOfCell(kCell);
  const std::string gateway = EntryHostOtherThan(fleet, owner);
  std::vector<PeerMessage> grants;
  fleet.should_drop = [&](const std::string&, const PeerSend& send) {
    if (std::holds_alternative<SlotGrant>(send.message)) {
      grants.push_back(send.message);
    }
    return false;
  };
  fleet.Call(gateway, 1, "huts", seconds(5));
  REQUIRE(grants.size() == 1);
  fleet.AddNode(gateway, "namche", /*incarnation=*/2);
  fleet.Call(owner, 1, "huts", seconds(25));
  fleet.Feed(gateway,
             PeerMessageReceived{{owner, 1, PeerMessage(grants.front())}});
  fleet.Run(seconds(4));
  CHECK(fleet.sends.size() == 1);
  fleet.Run(seconds(8));
  CHECK(fleet.sends.size() == 2);
}

TEST_CASE("A new dispatcher takes over waiting calls and granted slots") {
  Fleet fleet = MakeFleet(2);
  const std::string owner = fleet.OwnerOfCell(kCell);
  const std::string gateway = EntryHostOtherThan(fleet, owner);
  for (int n = 1; n <= 4; ++n) fleet.Call(gateway, n, "huts", seconds(25));
  CHECK(fleet.sends.size() == 2);
  fleet.RemoveNode(owner);
  fleet.Run(seconds(4));
  const std::string next = fleet.OwnerOfCell(kCell);
  CHECK(next != owner);
  CHECK(fleet.sends.size() == 2);
  CHECK(CellAt(fleet, next).granted_slots.size() == 2);
  fleet.EndAttempt(gateway, fleet.sends.at(0).second.attempt,
                   SlotResult::kSucceeded);
  fleet.Run(milliseconds(100));
  CHECK(fleet.sends.size() == 3);
  std::set<std::int64_t> calls;
  for (const auto& [name, send] : fleet.sends) calls.insert(send.call);
  CHECK(calls.size() == fleet.sends.size());
}

TEST_CASE("A new dispatcher waits for gateways before it uses free slots") {
  Fleet fleet = MakeFleet(1);
  const std::string owner = fleet.OwnerOfCell(kCell);
  const std::string gateway = EntryHostOtherThan(fleet, owner);
  fleet.Call(gateway, 1, "huts", seconds(25));
  fleet.RemoveNode(owner);
  fleet.should_drop = [&](const std::string& from, const PeerSend& send) {
    return from == gateway &&
           std::holds_alternative<SlotInventory>(send.message);
  };
  // A silent member counts as live for at most 1200 ms.
  fleet.Run(milliseconds(1240));
  const std::string next = fleet.OwnerOfCell(kCell);
  const std::string other = EntryHostOtherThan(fleet, gateway);
  fleet.Call(other, 1, "guides", seconds(25));
  fleet.Run(milliseconds(200));
  CHECK(fleet.sends.size() == 1);
}

TEST_CASE("A grant of the old dispatcher is used once after a change") {
  Fleet fleet = MakeFleet(1);
  const std::string owner = fleet.OwnerOfCell(kCell);
  const std::string gateway = EntryHostOtherThan(fleet, owner);
  std::vector<PeerMessage> dropped;
  fleet.should_drop = [&](const std::string&, const PeerSend& send) {
    if (!std::holds_alternative<SlotGrant>(send.message)) return false;
    dropped.push_back(send.message);
    return true;
  };
  fleet.Call(gateway, 1, "huts", seconds(25));
  REQUIRE(dropped.size() == 1);
  fleet.RemoveNode(owner);
  fleet.Run(seconds(2));
  fleet.should_drop = nullptr;
  fleet.Feed(gateway, PeerMessageReceived{{owner, 1, dropped.front()}});
  fleet.Run(seconds(8));
  CHECK(fleet.sends.size() == 1);
  const std::string next = fleet.OwnerOfCell(kCell);
  CHECK(CellAt(fleet, next).granted_slots.size() == 1);
  CHECK(CellAt(fleet, next).queue.by_call.empty());
}

TEST_CASE(
    "A call without a dispatcher is answered as not run at its deadline") {
  Fleet fleet;
  fleet.snapshot = FleetSnapshot({"huts"});
  // No entry host runs in the worker's data centre, so its cell has no
  // dispatcher.
  fleet.snapshot.hosts["w"] = MakeHost("w", "booking", "lukla", 1);
  fleet.AddNode("a", "namche");
  fleet.Run(seconds(1));
  fleet.Call("a", 1, "huts", seconds(1));
  fleet.Run(milliseconds(1020));
  REQUIRE(fleet.AnswerTo("a", 1).has_value());
  CHECK(fleet.AnswerTo("a", 1)->outcome == Outcome::kNotRun);
}

}  // namespace
}  // namespace hyssopbarrow
