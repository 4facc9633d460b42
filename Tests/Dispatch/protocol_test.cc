#include <catch2/catch.hpp>
#include <memory>
#include <set>

#include "Dispatch/fleet.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const CellId kCell{"booking", "namche"};

/// Three entry hosts of one data centre before `hosts` workers of 1 slot.
Fleet MakeFleet(int hosts) {
  Fleet it;
  it.snapshot = FleetSnapshot({"huts", "guides"});
  for (int n = 0; n < hosts; ++n) {
    const std::string name = StrCat("worker-", n);
    it.snapshot.hosts[name] = MakeHost(name, "booking", "namche", 1);
  }
  for (const char* name : {"a", "b", "c"}) it.AddNode(name, "namche");
  it.Run(seconds(3));
  return it;
}

/// An entry host that does not dispatch the cell.
std::string EntryHostOtherThan(const Fleet& fleet, const std::string& owner) {
  for (const auto& [name, it] : fleet.nodes) {
    if (name != owner) return name;
  }
  return {};
}

/// Loses the first message of type `Message` that is sent to another host.
template <typename Message>
void DropFirst(Fleet& fleet) {
  auto done = std::make_shared<bool>(false);
  fleet.should_drop = [done](const std::string& from, const PeerSend& it) {
    const bool hit =
        !*done && it.to != from && std::holds_alternative<Message>(it.message);
    *done = *done || hit;
    return hit;
  };
}

const Cell& CellAt(const Fleet& fleet, const std::string& owner) {
  return fleet.nodes.at(owner).dispatch.cells.at(kCell);
}

TEST_CASE("A lost request is found by the summaries and asked again") {
  Fleet it = MakeFleet(1);
  DropFirst<SlotRequest>(it);
  const std::string gateway = EntryHostOtherThan(it, it.OwnerOfCell(kCell));
  it.Call(gateway, 1, "huts", seconds(25));
  CHECK(it.sends.empty());
  it.Run(seconds(8));
  CHECK(it.sends.size() == 1);
}

TEST_CASE("A lost grant is sent again and used once") {
  Fleet it = MakeFleet(1);
  DropFirst<SlotGrant>(it);
  const std::string gateway = EntryHostOtherThan(it, it.OwnerOfCell(kCell));
  it.Call(gateway, 1, "huts", seconds(25));
  CHECK(it.sends.empty());
  it.Run(seconds(8));
  CHECK(it.sends.size() == 1);
}

TEST_CASE("A lost release frees the slot before its deadline") {
  Fleet it = MakeFleet(1);
  DropFirst<SlotRelease>(it);
  const std::string gateway = EntryHostOtherThan(it, it.OwnerOfCell(kCell));
  it.Call(gateway, 1, "huts", seconds(25));
  it.EndAttempt(gateway, it.sends.at(0).second.attempt, SlotResult::kSucceeded);
  it.Call(gateway, 2, "huts", seconds(25));
  CHECK(it.sends.size() == 1);
  it.Run(seconds(4));
  CHECK(it.sends.size() == 2);
}

TEST_CASE("A lost cancel does not use a slot") {
  Fleet it = MakeFleet(1);
  const std::string gateway = EntryHostOtherThan(it, it.OwnerOfCell(kCell));
  it.Call(gateway, 1, "huts", seconds(25));
  it.Call(gateway, 2, "huts", seconds(25));
  DropFirst<SlotCancel>(it);
  it.Feed(gateway, CallerDisconnected{2});
  it.EndAttempt(gateway, it.sends.at(0).second.attempt, SlotResult::kSucceeded);
  it.Call(gateway, 3, "huts", seconds(25));
  CHECK(it.sends.size() == 2);
  CHECK(it.sends.back().second.call == 3);
}

TEST_CASE("A lost refusal is answered by the deadline as not run") {
  Fleet it = MakeFleet(1);
  const std::string gateway = EntryHostOtherThan(it, it.OwnerOfCell(kCell));
  it.Call(gateway, 1, "huts", seconds(25));
  it.should_drop = [](const std::string& from, const PeerSend& send) {
    return send.to != from && std::holds_alternative<SlotRefusal>(send.message);
  };
  it.Call(gateway, 2, "huts", milliseconds(500));
  it.Run(milliseconds(520));
  REQUIRE(it.AnswerTo(gateway, 2).has_value());
  CHECK(it.AnswerTo(gateway, 2)->outcome == Outcome::kNotRun);
}

TEST_CASE("Duplicated messages start each call once and free each slot once") {
  Fleet it = MakeFleet(2);
  it.message_copies = 2;
  const std::string owner = it.OwnerOfCell(kCell);
  const std::string gateway = EntryHostOtherThan(it, owner);
  for (int n = 1; n <= 4; ++n) it.Call(gateway, n, "huts", seconds(25));
  CHECK(it.sends.size() == 2);
  for (std::size_t n = 0; n < it.sends.size(); ++n) {
    it.EndAttempt(gateway, it.sends.at(n).second.attempt,
                  SlotResult::kSucceeded);
    it.Run(milliseconds(40));
  }
  CHECK(it.sends.size() == 4);
  CHECK(CellAt(it, owner).granted_slots.empty());
  CHECK(CellAt(it, owner).slots.free_slots == 2);
}

TEST_CASE("A dead gateway's slot is kept until the deadline, then freed") {
  Fleet it = MakeFleet(1);
  const std::string owner = it.OwnerOfCell(kCell);
  const std::string gateway = EntryHostOtherThan(it, owner);
  it.Call(gateway, 1, "huts", seconds(5));
  it.RemoveNode(gateway);
  it.Call(owner, 1, "huts", seconds(25));
  it.Run(seconds(4));
  CHECK(it.sends.size() == 1);
  it.Run(seconds(8));
  CHECK(it.sends.size() == 2);
}

TEST_CASE("A restarted gateway does not end what its old incarnation holds") {
  Fleet it = MakeFleet(1);
  const std::string owner = it.OwnerOfCell(kCell);
  const std::string gateway = EntryHostOtherThan(it, owner);
  std::vector<PeerMessage> grants;
  it.should_drop = [&](const std::string&, const PeerSend& send) {
    if (std::holds_alternative<SlotGrant>(send.message)) {
      grants.push_back(send.message);
    }
    return false;
  };
  it.Call(gateway, 1, "huts", seconds(5));
  REQUIRE(grants.size() == 1);
  it.AddNode(gateway, "namche", 2);
  it.Call(owner, 1, "huts", seconds(25));
  it.Feed(gateway,
          PeerMessageReceived{{owner, 1, PeerMessage(grants.front())}});
  it.Run(seconds(4));
  CHECK(it.sends.size() == 1);
  it.Run(seconds(8));
  CHECK(it.sends.size() == 2);
}

TEST_CASE("A new dispatcher takes over what waits and what is held") {
  Fleet it = MakeFleet(2);
  const std::string owner = it.OwnerOfCell(kCell);
  const std::string gateway = EntryHostOtherThan(it, owner);
  for (int n = 1; n <= 4; ++n) it.Call(gateway, n, "huts", seconds(25));
  CHECK(it.sends.size() == 2);
  it.RemoveNode(owner);
  it.Run(seconds(4));
  const std::string next = it.OwnerOfCell(kCell);
  CHECK(next != owner);
  CHECK(it.sends.size() == 2);
  CHECK(CellAt(it, next).granted_slots.size() == 2);
  it.EndAttempt(gateway, it.sends.at(0).second.attempt, SlotResult::kSucceeded);
  it.Run(milliseconds(100));
  CHECK(it.sends.size() == 3);
  std::set<std::int64_t> calls;
  for (const auto& [name, send] : it.sends) calls.insert(send.call);
  CHECK(calls.size() == it.sends.size());
}

TEST_CASE("A new dispatcher waits for gateways before it uses free slots") {
  Fleet it = MakeFleet(1);
  const std::string owner = it.OwnerOfCell(kCell);
  const std::string gateway = EntryHostOtherThan(it, owner);
  it.Call(gateway, 1, "huts", seconds(25));
  it.RemoveNode(owner);
  it.should_drop = [&](const std::string& from, const PeerSend& send) {
    return from == gateway &&
           std::holds_alternative<SlotInventory>(send.message);
  };
  it.Run(milliseconds(1240));
  const std::string next = it.OwnerOfCell(kCell);
  const std::string other = EntryHostOtherThan(it, gateway);
  it.Call(other, 1, "guides", seconds(25));
  it.Run(milliseconds(200));
  CHECK(it.sends.size() == 1);
}

TEST_CASE("A grant of the old dispatcher is used once after a change") {
  Fleet it = MakeFleet(1);
  const std::string owner = it.OwnerOfCell(kCell);
  const std::string gateway = EntryHostOtherThan(it, owner);
  std::vector<PeerMessage> held;
  it.should_drop = [&](const std::string&, const PeerSend& send) {
    if (!std::holds_alternative<SlotGrant>(send.message)) return false;
    held.push_back(send.message);
    return true;
  };
  it.Call(gateway, 1, "huts", seconds(25));
  REQUIRE(held.size() == 1);
  it.RemoveNode(owner);
  it.Run(seconds(2));
  it.should_drop = nullptr;
  it.Feed(gateway, PeerMessageReceived{{owner, 1, held.front()}});
  it.Run(seconds(8));
  CHECK(it.sends.size() == 1);
  const std::string next = it.OwnerOfCell(kCell);
  CHECK(CellAt(it, next).granted_slots.size() == 1);
  CHECK(CellAt(it, next).queue.by_call.empty());
}

TEST_CASE("Without any dispatcher a call is answered by its deadline") {
  Fleet it;
  it.snapshot = FleetSnapshot({"huts"});
  it.snapshot.hosts["w"] = MakeHost("w", "booking", "lukla", 1);
  it.AddNode("a", "namche");
  it.Run(seconds(1));
  it.Call("a", 1, "huts", seconds(1));
  it.Run(milliseconds(1020));
  REQUIRE(it.AnswerTo("a", 1).has_value());
  CHECK(it.AnswerTo("a", 1)->outcome == Outcome::kNotRun);
}

}  // namespace
}  // namespace hyssopbarrow
