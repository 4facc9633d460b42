#include "Policy/configuration.h"

#include <catch2/catch.hpp>

#include "Policy/node.h"
#include "Standalone/sample.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
const Instant kStart = Instant{} + std::chrono::hours(1000);
const std::string kCallerKey(kSampleCallerKey);

Snapshot MakeSnapshot(std::int64_t revision) {
  Snapshot snapshot = SampleSnapshot({"127.0.0.1:1"}, "namche");
  snapshot.revision = revision;
  return snapshot;
}

NodeState NewNode(std::string name) {
  return NodeState({.name = std::move(name),
                    .data_centre = "namche",
                    .incarnation = 1,
                    .address = "127.0.0.1:7000"});
}

/// Answers every store request of `out` from `rows`, or as unavailable if
/// `rows` is null.
void AnswerStoreRequests(NodeState& node, const Outbox& out,
                         const std::vector<Row>* rows, Instant now) {
  for (const StoreRequest& request : out.store_requests) {
    StoreReply reply;
    const auto* read = std::get_if<StoreRead>(&request.operation);
    if (rows != nullptr) reply.status = StoreStatus::kOk;
    if (rows != nullptr && read != nullptr) {
      for (const Row& row : *rows) {
        if (row.key.starts_with(read->prefix)) reply.rows.push_back(row);
      }
    }
    AnswerStoreRequests(node,
                        HandleEvent(node, StoreReplied{request.id, reply}, now),
                        rows, now);
  }
}

void Run(NodeState& node, const std::vector<Row>* rows, Instant& now,
         Duration span) {
  for (const Instant end = now + span; now < end; now += kSecond / 10) {
    AnswerStoreRequests(node, HandleEvent(node, Tick{}, now), rows, now);
  }
}

Reason AdmissionReason(const NodeState& node, const std::string& queue,
                       Instant now) {
  const Snapshot& snapshot = *node.configuration.snapshot;
  return Admit(node.configuration, snapshot.queues.at(queue), kCallerKey, now)
      .reason;
}

TEST_CASE("Only the revision row is read until the revision grows") {
  NodeState node = NewNode("a");
  Instant now = kStart;
  std::vector<Row> rows = ToRows(MakeSnapshot(3));
  Run(node, &rows, now, 2 * kSecond);
  REQUIRE(node.configuration.snapshot->revision == 3);
  rows = ToRows(MakeSnapshot(4));
  std::vector<std::string> prefixes;
  for (int n = 0; n < 10; ++n, now += kSecond) {
    const Outbox out = HandleEvent(node, Tick{}, now);
    for (const StoreRequest& request : out.store_requests) {
      const auto* read = std::get_if<StoreRead>(&request.operation);
      if (read != nullptr) prefixes.push_back(read->prefix);
    }
    AnswerStoreRequests(node, out, &rows, now);
  }
  CHECK(std::count(prefixes.begin(), prefixes.end(), "config/") == 1);
  CHECK(node.configuration.snapshot->revision == 4);
}

TEST_CASE("A lower revision or a malformed snapshot is never adopted") {
  ConfigurationState state;
  REQUIRE(ApplyConfigRows(state, ToRows(MakeSnapshot(5))));
  CHECK_FALSE(ApplyConfigRows(state, ToRows(MakeSnapshot(4))));
  std::vector<Row> malformed = ToRows(MakeSnapshot(6));
  malformed.push_back({"config/team/broken", {{"weight", -1}}, 1});
  CHECK_FALSE(ApplyConfigRows(state, malformed));
  CHECK(state.snapshot->revision == 5);
  CHECK(state.rejected_revision == 6);
  CHECK(state.rejection_error.find("team 'broken'") != std::string::npos);
}

TEST_CASE("A rejected snapshot does not confirm the keys of the adopted one") {
  NodeState node = NewNode("a");
  Instant now = kStart;
  std::vector<Row> rows = ToRows(MakeSnapshot(1));
  Run(node, &rows, now, 2 * kSecond);
  const Instant confirmed = node.configuration.confirmed_at;
  rows = ToRows(MakeSnapshot(2));
  rows.push_back({"config/team/broken", {{"weight", -1}}, 1});
  Run(node, &rows, now, 20 * kSecond);
  CHECK(node.configuration.confirmed_at < confirmed + kSecond);
}

TEST_CASE("Without the store, known keys are valid up to the queue's limit") {
  NodeState node = NewNode("a");
  Instant now = kStart;
  Snapshot snapshot = MakeSnapshot(1);
  snapshot.queues.at("book").key_grace_ms = 30'000;
  const std::vector<Row> rows = ToRows(snapshot);
  Run(node, &rows, now, 2 * kSecond);
  // A member that never sent a heartbeat may reach the store and accept
  // changes.
  HandleEvent(
      node,
      PeerMessageReceived{
          {"a", 1, MemberReport{{{.name = "b", .data_centre = "lukla"}}}}},
      now);
  Run(node, nullptr, now, 20 * kSecond);
  CHECK(AdmissionReason(node, "book", now) == Reason::kNone);
  Run(node, nullptr, now, 20 * kSecond);
  CHECK(AdmissionReason(node, "book", now) == Reason::kKeyUnconfirmed);
  CHECK(AdmissionReason(node, "status", now) == Reason::kNone);
}

TEST_CASE("If no member reaches the store, keys are valid past the limit") {
  NodeState node = NewNode("a");
  Instant now = kStart;
  Snapshot snapshot = MakeSnapshot(1);
  snapshot.queues.at("book").key_grace_ms = 5'000;
  const std::vector<Row> rows = ToRows(snapshot);
  Run(node, &rows, now, 2 * kSecond);
  const bool peer_reaches_store = GENERATE(false, true);
  for (int n = 0; n < 60; ++n) {
    HandleEvent(node,
                PeerMessageReceived{
                    {"b", 1,
                     Heartbeat{.data_centre = "namche",
                               .config_revision = 1,
                               .store_reachable = peer_reaches_store,
                               .confirmed_age = std::chrono::hours(1)}}},
                now);
    Run(node, nullptr, now, kSecond / 2);
  }
  CHECK(AdmissionReason(node, "book", now) ==
        (peer_reaches_store ? Reason::kKeyUnconfirmed : Reason::kNone));
}

TEST_CASE("A peer's confirmation of the same revision counts") {
  NodeState node = NewNode("a");
  REQUIRE(ApplyConfigRows(node.configuration, ToRows(MakeSnapshot(1))));
  CHECK(AdmissionReason(node, "book", kStart) == Reason::kKeyUnconfirmed);
  HandleEvent(node,
              PeerMessageReceived{{"b", 1,
                                   Heartbeat{.data_centre = "namche",
                                             .config_revision = 1,
                                             .confirmed_age = kSecond}}},
              kStart);
  CHECK(AdmissionReason(node, "book", kStart) == Reason::kNone);
}

TEST_CASE("A snapshot from a peer keeps its confirmation age") {
  NodeState node = NewNode("a");
  const auto reply = [&](std::int64_t revision, Duration age) {
    const SnapshotReply message{ToRows(MakeSnapshot(revision)), age};
    HandleEvent(node, PeerMessageReceived{{"b", 1, message}}, kStart);
  };
  reply(1, std::chrono::hours(1));
  CHECK(AdmissionReason(node, "book", kStart) == Reason::kKeyUnconfirmed);
  reply(2, kSecond);
  CHECK(AdmissionReason(node, "book", kStart) == Reason::kNone);
}

TEST_CASE("One peer at a time is asked for a new snapshot") {
  NodeState node = NewNode("a");
  REQUIRE(ApplyConfigRows(node.configuration, ToRows(MakeSnapshot(1))));
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
  HandleEvent(
      node,
      PeerMessageReceived{{"b", 1, SnapshotReply{ToRows(MakeSnapshot(2))}}},
      kStart);
  CHECK(node.configuration.snapshot->revision == 2);
}

}  // namespace
}  // namespace hyssopbarrow
