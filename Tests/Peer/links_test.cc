#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "Peer/greeting.h"
#include "Peer/peer_links.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kTestTimeout = std::chrono::seconds(60);
const Address kAnyPort{"127.0.0.1", 0};
const std::string kSecret = "one secret";

/// PeerLinks on a free port, recording its callbacks.
struct LinkFixture {
  LinkFixture(EventLoop& loop, const std::string& name,
              std::vector<Address> seeds, const std::string& secret = kSecret,
              std::int64_t incarnation = 1)
      : links(loop,
              {.name = name,
               .data_centre = "namche",
               .incarnation = incarnation,
               .secret = secret,
               .seeds = std::move(seeds),
               .random_seed = 20261204,
               .limits = {}},
              {.on_message =
                   [this](const PeerEnvelope& envelope) {
                     messages.push_back(envelope);
                   },
               .on_link_change =
                   [this](const std::string& peer, bool connected) {
                     if (connected) {
                       linked_peers.insert(peer);
                     } else {
                       linked_peers.erase(peer);
                     }
                   },
               .on_link_error =
                   [this](const std::string&, const std::string& why) {
                     link_errors.insert(why);
                   }}) {
    REQUIRE(links.Listen(kAnyPort, kAnyPort).ok());
  }

  std::vector<PeerEnvelope> messages;
  std::set<std::string> linked_peers;
  std::set<std::string> link_errors;
  PeerLinks links;
};

template <typename Condition>
void RunUntil(EventLoop& loop, const std::vector<LinkFixture*>& ends,
              Condition condition) {
  const Instant deadline = SteadyNow() + kTestTimeout;
  while (!condition() && SteadyNow() < deadline) {
    for (LinkFixture* end : ends) end->links.Tick();
    loop.RunOnce(SteadyNow() + std::chrono::milliseconds(5));
  }
  REQUIRE(condition());
}

TEST_CASE(
    "Small and large messages arrive in both directions with the sender") {
  EventLoop loop;
  LinkFixture a(loop, "a", {}, kSecret, 3);
  LinkFixture b(loop, "b", {a.links.BoundAddress()});
  RunUntil(loop, {&a, &b}, [&] {
    return a.linked_peers.contains("b") && b.linked_peers.contains("a");
  });
  const SnapshotReply large{{{"config/team/x", std::string(500'000, 'x'), 1}}};
  a.links.Send("b", large);
  a.links.Send("b", SnapshotRequest{7});
  b.links.Send("a", SnapshotRequest{8});
  RunUntil(loop, {&a, &b},
           [&] { return b.messages.size() == 2 && a.messages.size() == 1; });
  CHECK(b.messages[0] == PeerEnvelope{"a", 3, large});
  CHECK(b.messages[1].message == PeerMessage(SnapshotRequest{7}));
  CHECK(a.messages[0].from == "b");
}

TEST_CASE("Peers with different secrets do not open a link") {
  EventLoop loop;
  LinkFixture a(loop, "a", {});
  LinkFixture b(loop, "b", {a.links.BoundAddress()}, "another secret");
  RunUntil(loop, {&a, &b}, [&] { return b.link_errors.size() == 1; });
  CHECK(b.link_errors.contains("the shared secret differs"));
  CHECK(a.linked_peers.empty());
  const Greeting dialler{1, "x", "n", "", 1, "11", ""};
  const Greeting acceptor{1, "y", "n", "", 1, "22", ""};
  CHECK_FALSE(ComputeProof(kSecret, LinkEnd::kDialler, dialler, acceptor) ==
              ComputeProof(kSecret, LinkEnd::kAcceptor, dialler, acceptor));
}

TEST_CASE("Two peers that dial each other end up with one link") {
  EventLoop loop;
  LinkFixture a(loop, "a", {});
  LinkFixture b(loop, "b", {});
  const std::map<std::string, Address> known = {{"a", a.links.BoundAddress()},
                                                {"b", b.links.BoundAddress()}};
  a.links.SetPeers(known, {"b"});
  b.links.SetPeers(known, {"a"});
  RunUntil(loop, {&a, &b}, [&] {
    return a.linked_peers.contains("b") && b.linked_peers.contains("a");
  });
  const Instant later = SteadyNow() + std::chrono::milliseconds(1500);
  RunUntil(loop, {&a, &b}, [&] {
    a.links.Send("b", Heartbeat{});
    b.links.Send("a", Heartbeat{});
    return SteadyNow() >= later;
  });
  CHECK(a.links.traffic().links_opened <= 2);
  CHECK(a.linked_peers.contains("b"));
  CHECK(b.linked_peers.contains("a"));
}

TEST_CASE("A link that receives nothing is closed and opened again") {
  EventLoop loop;
  LinkFixture a(loop, "a", {});
  LinkFixture b(loop, "b", {a.links.BoundAddress()});
  RunUntil(loop, {&a, &b}, [&] { return b.linked_peers.contains("a"); });
  // Neither end sends anything, so the receive timeout closes the link.
  RunUntil(loop, {&a, &b}, [&] {
    return b.links.traffic().links_timed_out +
                   a.links.traffic().links_timed_out >
               0 &&
           b.links.traffic().links_opened >= 2;
  });
}

TEST_CASE("A message to a known peer without a link opens one") {
  EventLoop loop;
  LinkFixture a(loop, "a", {});
  LinkFixture b(loop, "b", {});
  b.links.SetPeers({{"a", a.links.BoundAddress()}}, {});
  b.links.Send("a", SnapshotRequest{5});
  RunUntil(loop, {&a, &b}, [&] { return a.messages.size() == 1; });
  b.links.Send("nobody", SnapshotRequest{5});
  CHECK(b.links.traffic().messages_dropped == 1);
}

TEST_CASE("A link from a newer incarnation of a peer replaces the old one") {
  EventLoop loop;
  LinkFixture a(loop, "a", {});
  LinkFixture old(loop, "b", {a.links.BoundAddress()}, kSecret, 1);
  RunUntil(loop, {&a, &old}, [&] { return a.linked_peers.contains("b"); });
  LinkFixture fresh(loop, "b", {a.links.BoundAddress()}, kSecret, 2);
  RunUntil(loop, {&a, &fresh},
           [&] { return fresh.linked_peers.contains("a"); });
  fresh.links.Send("a", SnapshotRequest{1});
  RunUntil(loop, {&a, &old, &fresh}, [&] { return !a.messages.empty(); });
  CHECK(a.messages[0].incarnation == 2);
}

}  // namespace
}  // namespace hyssopbarrow
