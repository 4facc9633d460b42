#include "Policy/configuration.h"

#include <catch2/catch.hpp>

#include "Policy/node.h"
#include "Standalone/sample.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
const Instant kStart = Instant{} + std::chrono::hours(1000);
const std::string kCallerKey(kSampleCallerKey);

Snapshot At(std::int64_t revision) {
  Snapshot it = SampleSnapshot({"127.0.0.1:1"}, "namche");
  it.revision = revision;
  return it;
}

NodeState NewNode(std::string name) {
  return NodeState({.name = std::move(name),
                    .data_centre = "namche",
                    .incarnation = 1,
                    .address = "127.0.0.1:7000"});
}

/// Answers every store request of `out` from `rows`, or as unavailable.
void AnswerStore(NodeState& node, const Outbox& out,
                 const std::vector<Row>* rows, Instant now) {
  for (const StoreRequest& it : out.store_requests) {
    StoreReply reply;
    const auto* read = std::get_if<StoreRead>(&it.operation);
    if (rows != nullptr) reply.status = StoreStatus::kOk;
    if (rows != nullptr && read != nullptr) {
      for (const Row& row : *rows) {
        if (row.key.starts_with(read->prefix)) reply.rows.push_back(row);
      }
    }
    AnswerStore(node, HandleEvent(node, StoreReplied{it.id, reply}, now), rows,
                now);
  }
}

void Run(NodeState& node, const std::vector<Row>* rows, Instant& now,
         Duration span) {
  for (const Instant end = now + span; now < end; now += kSecond / 10) {
    AnswerStore(node, HandleEvent(node, Tick{}, now), rows, now);
  }
}

Reason AdmitTo(const NodeState& node, const std::string& queue, Instant now) {
  const Snapshot& snapshot = *node.configuration.snapshot;
  return Admit(node.configuration, snapshot.queues.at(queue), kCallerKey, now)
      .reason;
}

TEST_CASE("Only the revision row is read until the revision grows") {
  NodeState node = NewNode("a");
  Instant now = kStart;
  std::vector<Row> rows = ToRows(At(3));
  Run(node, &rows, now, 2 * kSecond);
  REQUIRE(node.configuration.snapshot->revision == 3);
  rows = ToRows(At(4));
  std::vector<std::string> prefixes;
  for (int n = 0; n < 10; ++n, now += kSecond) {
    const Outbox out = HandleEvent(node, Tick{}, now);
    for (const StoreRequest& it : out.store_requests) {
      const auto* read = std::get_if<StoreRead>(&it.operation);
      if (read != nullptr) prefixes.push_back(read->prefix);
    }
    AnswerStore(node, out, &rows, now);
  }
  CHECK(std::count(prefixes.begin(), prefixes.end(), "config/") == 1);
  CHECK(node.configuration.snapshot->revision == 4);
}

TEST_CASE("A lower revision or a malformed snapshot is never adopted") {
  ConfigurationState state;
  REQUIRE(ApplyConfigRows(state, ToRows(At(5))));
  CHECK_FALSE(ApplyConfigRows(state, ToRows(At(4))));
  std::vector<Row> bad = ToRows(At(6));
  bad.push_back({"config/team/broken", {{"weight", -1}}, 1});
  CHECK_FALSE(ApplyConfigRows(state, bad));
  CHECK(state.snapshot->revision == 5);
  CHECK(state.rejected_revision == 6);
  CHECK(state.rejection_error.find("team 'broken'") != std::string::npos);
}

TEST_CASE("A refused snapshot does not confirm the keys of the adopted one") {
  NodeState node = NewNode("a");
  Instant now = kStart;
  std::vector<Row> rows = ToRows(At(1));
  Run(node, &rows, now, 2 * kSecond);
  const Instant confirmed = node.configuration.confirmed_at;
  rows = ToRows(At(2));
  rows.push_back({"config/team/broken", {{"weight", -1}}, 1});
  Run(node, &rows, now, 20 * kSecond);
  CHECK(node.configuration.confirmed_at < confirmed + kSecond);
}

TEST_CASE("Cut off, known keys count up to the queue's limit") {
  NodeState node = NewNode("a");
  Instant now = kStart;
  Snapshot snapshot = At(1);
  snapshot.queues.at("book").key_grace_ms = 30'000;
  const std::vector<Row> rows = ToRows(snapshot);
  Run(node, &rows, now, 2 * kSecond);
  // A member that was never heard may see the table and accept changes.
  HandleEvent(
      node,
      PeerMessageReceived{
          {"a", 1, MemberReport{{{.name = "b", .data_centre = "lukla"}}}}},
      now);
  Run(node, nullptr, now, 20 * kSecond);
  CHECK(AdmitTo(node, "book", now) == Reason::kNone);
  Run(node, nullptr, now, 20 * kSecond);
  CHECK(AdmitTo(node, "book", now) == Reason::kKeyUnconfirmed);
  CHECK(AdmitTo(node, "status", now) == Reason::kNone);
}

TEST_CASE("Where no member sees the table, keys count past the limit") {
  NodeState node = NewNode("a");
  Instant now = kStart;
  Snapshot snapshot = At(1);
  snapshot.queues.at("book").key_grace_ms = 5'000;
  const std::vector<Row> rows = ToRows(snapshot);
  Run(node, &rows, now, 2 * kSecond);
  const bool peer_sees_store = GENERATE(false, true);
  for (int n = 0; n < 60; ++n) {
    HandleEvent(node,
                PeerMessageReceived{
                    {"b", 1,
                     Heartbeat{.data_centre = "namche",
                               .config_revision = 1,
                               .store_reachable = peer_sees_store,
                               .confirmed_age = std::chrono::hours(1)}}},
                now);
    Run(node, nullptr, now, kSecond / 2);
  }
  CHECK(AdmitTo(node, "book", now) ==
        (peer_sees_store ? Reason::kKeyUnconfirmed : Reason::kNone));
}

TEST_CASE("A peer's confirmation of the same revision counts") {
  NodeState node = NewNode("a");
  REQUIRE(ApplyConfigRows(node.configuration, ToRows(At(1))));
  CHECK(AdmitTo(node, "book", kStart) == Reason::kKeyUnconfirmed);
  HandleEvent(node,
              PeerMessageReceived{{"b", 1,
                                   Heartbeat{.data_centre = "namche",
                                             .config_revision = 1,
                                             .confirmed_age = kSecond}}},
              kStart);
  CHECK(AdmitTo(node, "book", kStart) == Reason::kNone);
}

TEST_CASE("A snapshot from a peer is as fresh as it was there") {
  NodeState node = NewNode("a");
  const auto reply = [&](std::int64_t revision, Duration age) {
    const SnapshotReply message{ToRows(At(revision)), age};
    HandleEvent(node, PeerMessageReceived{{"b", 1, message}}, kStart);
  };
  reply(1, std::chrono::hours(1));
  CHECK(AdmitTo(node, "book", kStart) == Reason::kKeyUnconfirmed);
  reply(2, kSecond);
  CHECK(AdmitTo(node, "book", kStart) == Reason::kNone);
}

TEST_CASE("One peer at a time is asked for a new snapshot") {
  NodeState node = NewNode("a");
  REQUIRE(ApplyConfigRows(node.configuration, ToRows(At(1))));
  std::size_t requests = 0;
  for (const char* peer : {"b", "c", "d"}) {
    const Outbox out = HandleEvent(
        node,
        PeerMessageReceived{
            {peer, 1,
             Heartbeat{.data_centre = "namche", .config_revision = 2}}},
        kStart);
    requests += out.peer_sends.size();
  }
  CHECK(requests == 1);
  HandleEvent(node, PeerMessageReceived{{"b", 1, SnapshotReply{ToRows(At(2))}}},
              kStart);
  CHECK(node.configuration.snapshot->revision == 2);
}

}  // namespace
}  // namespace hyssopbarrow
