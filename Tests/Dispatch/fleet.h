#ifndef HYSSOPBARROW_TESTS_DISPATCH_FLEET_H_
#define HYSSOPBARROW_TESTS_DISPATCH_FLEET_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Policy/claim_retention.h"
#include "Policy/claim_row.h"
#include "Policy/node.h"
#include "Standalone/table.h"

namespace hyssopbarrow {

/// Returns the API key secret of `team` in FleetSnapshot.
inline std::string SecretOf(const std::string& team) { return "key-" + team; }

inline Host MakeHost(const std::string& name, const std::string& pool,
                     const std::string& data_centre, std::int64_t slots) {
  return {.name = name,
          .pool = pool,
          .data_centre = data_centre,
          .rack = "rack-" + name,
          .address = "127.0.0.1:1",
          .slots = slots};
}

/// Returns a snapshot with pool `booking`, queue `book` and the given teams.
inline Snapshot FleetSnapshot(const std::vector<std::string>& teams) {
  Snapshot snapshot;
  snapshot.revision = 1;
  snapshot.pools["booking"] = {.name = "booking"};
  snapshot.queues["book"] = {.name = "book", .pool = "booking"};
  for (const std::string& team : teams) {
    snapshot.teams[team] = {.name = team, .weight = 1, .ceiling = 1000};
    snapshot.keys[team] = {
        .name = team, .digest = Sha256Hex(SecretOf(team)), .team = team};
    snapshot.key_name_by_digest[snapshot.keys[team].digest] = team;
  }
  return snapshot;
}

/// Enough time to write the claim of an unrepeatable call to the table.
inline constexpr Duration kClaimWriteTime = std::chrono::milliseconds(40);

/// Simulates nodes that exchange messages in virtual time.
struct Fleet {
  struct NodeAnswer {
    std::string node;
    CallAnswer answer;
    Instant time;
  };

  Snapshot snapshot;
  Instant now{std::chrono::seconds(1000)};
  std::map<std::string, NodeState> nodes;
  std::vector<std::pair<std::string, WorkerSend>>
      sends;  ///< By gateway, in order.
  std::vector<NodeAnswer> answers;
  /// If set, messages for which this returns true are dropped.
  std::function<bool(const std::string& from, const PeerSend&)> should_drop;
  /// Stores rights and claims. Requests for other rows get no reply.
  Table table;
  /// How many times each message is delivered.
  int message_copies = 1;

  void AddNode(const std::string& name, const std::string& data_centre,
               std::int64_t incarnation = 1) {
    nodes.erase(name);
    NodeState node({name, data_centre, incarnation});
    node.configuration.snapshot = snapshot;
    node.configuration.next_poll = Instant::max();
    node.configuration.confirmed_at = now + std::chrono::hours(24);
    for (auto& [other_name, other] : nodes) {
      node.linked_peers.insert(other_name);
      other.linked_peers.insert(name);
    }
    nodes.emplace(name, std::move(node));
  }

  void RemoveNode(const std::string& name) { nodes.erase(name); }

  void Feed(const std::string& name, const Event& event) {
    auto it = nodes.find(name);
    if (it == nodes.end()) return;
    ApplyOutbox(name, HandleEvent(it->second, event, now));
  }

  void Call(const std::string& name, std::int64_t number,
            const std::string& team, Duration timeout,
            bool unrepeatable = false, const std::string& queue = "book") {
    Feed(name, CallArrived{.number = number,
                           .queue = queue,
                           .key = SecretOf(team),
                           .unrepeatable = unrepeatable,
                           .deadline = now + timeout});
    if (unrepeatable) Run(kClaimWriteTime);
  }

  void EndAttempt(const std::string& name, std::int64_t attempt,
                  SlotResult result) {
    Feed(name, AttemptEnded{attempt, result});
  }

  /// Advances the time by `span` and ticks every node every 20 ms.
  void Run(Duration span) {
    constexpr Duration kStep = std::chrono::milliseconds(20);
    const Instant end = now + span;
    while (now < end) {
      now += kStep;
      std::vector<std::string> names;
      for (const auto& [name, node] : nodes) names.push_back(name);
      for (const std::string& name : names) Feed(name, Tick{});
    }
  }

  std::string OwnerOfCell(const CellId& cell) const {
    return ResponsibleHost(nodes.begin()->second.membership, cell, now);
  }

  std::optional<CallAnswer> AnswerTo(const std::string& name,
                                     std::int64_t number) const {
    for (const NodeAnswer& entry : answers) {
      if (entry.node == name && entry.answer.call == number) {
        return entry.answer;
      }
    }
    return std::nullopt;
  }

 private:
  void ApplyOutbox(const std::string& name, const Outbox& out) {
    for (const WorkerSend& send : out.worker_sends) {
      sends.emplace_back(name, send);
    }
    for (const CallAnswer& answer : out.call_answers) {
      answers.push_back({name, answer, now});
    }
    for (const StoreRequest& request : out.store_requests) {
      SendStoreReply(name, request);
    }
    const std::int64_t incarnation = nodes.at(name).membership.self.incarnation;
    for (const PeerSend& send : out.peer_sends) {
      if (should_drop && should_drop(name, send)) continue;
      for (int n = 0; n < message_copies; ++n) {
        Feed(send.to, PeerMessageReceived{{name, incarnation, send.message}});
      }
    }
  }

  static bool IsAnsweredKey(const std::string& key) {
    return key.starts_with("rights/") || key.starts_with(kClaimPrefix) ||
           key == kClaimPeriodKey;
  }

  void SendStoreReply(const std::string& name, const StoreRequest& request) {
    StoreReply reply{.status = StoreStatus::kOk};
    if (const auto* read = std::get_if<StoreRead>(&request.operation)) {
      if (!IsAnsweredKey(read->prefix)) return;
      reply.rows = table.Read(read->prefix);
    } else {
      const auto& transaction = std::get<Transaction>(request.operation);
      if (!IsAnsweredKey(transaction.writes.at(0).key)) return;
      reply = table.Commit(transaction);
    }
    Feed(name, StoreReplied{request.id, reply});
  }
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_DISPATCH_FLEET_H_
