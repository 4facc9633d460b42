#include "Policy/node.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "Policy/registration.h"
#include "Policy/slot_reconcile.h"

namespace hyssopbarrow {
namespace {

/// Returns the number of waiting requests of each team that could start if the
/// team had rights for them.
std::map<std::string, std::int64_t> CountWaitingByTeam(
    const DispatchState& state) {
  std::map<std::string, std::int64_t> waiting;
  for (const auto& [id, cell] : state.cells) {
    for (const auto& [team, team_queue] : cell.queue.teams) {
      std::int64_t startable = 0;
      for (const auto& calls : team_queue.waiting) {
        startable += std::ssize(calls);
      }
      waiting[team] += std::min(startable, cell.slots.free_slots);
    }
  }
  waiting.erase("");
  return waiting;
}

/// Passes one event to the components that it concerns and collects the
/// effects.
class EventHandler {
 public:
  EventHandler(NodeState& node, Instant now) : node_(node), now_(now) {}

  void operator()(const CallArrived& event) {
    StartCall(node_.gateway, MakeGatewayContext(), event, out_);
    StartClaim(event.number);
  }

  void operator()(const CallerDisconnected& event) {
    AbandonCall(node_.gateway, MakeGatewayContext(), event.number, out_);
    if (node_.gateway.calls.contains(event.number)) return;
    EndClaim(node_.claims, event.number, ClaimRowState::kReleased,
             std::nullopt);
  }

  void operator()(const AttemptEnded& event) {
    HandleAttemptEnd(node_.gateway, MakeGatewayContext(), event, out_);
  }

  void operator()(const PeerMessageReceived& event) {
    if (!AcceptIncarnation(node_.membership, event.envelope)) return;
    HandleEnvelope(event.envelope);
  }

  void operator()(const PeerLinkChanged& event) {
    if (event.connected) {
      node_.linked_peers.insert(event.peer);
      SendMemberIntroductions(node_.membership, event.peer, now_, out_);
    } else {
      node_.linked_peers.erase(event.peer);
    }
  }

  void operator()(const StoreReplied& event) {
    if (HandlePollReply(node_.configuration, event.id, event.reply, now_)) {
      return;
    }
    if (HandleClaimStoreReply(event)) return;
    if (HandleRegistrationReply(node_.membership, event.id, event.reply,
                                node_.next_request_id, now_, out_)) {
      return;
    }
    HandleRightsReply(node_.ceilings, event.id, event.reply, now_);
  }

  void operator()(const StopRequested& event) {
    BeginStop(node_.membership, event.drain_period, now_);
  }

  void operator()(const ConfigChangeExpected&) {
    StartFastPolling(node_.configuration, now_);
  }

  void operator()(const Tick&) {
    TickConfiguration(
        node_.configuration,
        {.local_live_hosts = CountLocalLive(node_.membership, now_),
         .no_member_reaches_store = NoMemberReachesStore(
             node_.membership, MakeLocalStatus().config_revision, now_)},
        node_.next_request_id, now_, out_);
    TickRegistration(node_.membership, node_.next_request_id, now_, out_);
    TickMembership(node_.membership, MakeLocalStatus(),
                   {node_.linked_peers.begin(), node_.linked_peers.end()}, now_,
                   out_);
    TickGateway(node_.gateway, MakeGatewayContext(), out_);
    TickRetention(node_.claims.retention, IsClaimSweeper(),
                  node_.next_request_id, now_, out_);
    if (node_.configuration.snapshot.has_value()) {
      TickShare(node_.share, *node_.configuration.snapshot, node_.membership,
                now_, out_);
    }
    UpdateCeilings();
  }

  /// Delivers the messages of this host to itself, dispatches, and returns all
  /// effects.
  Outbox Finish() {
    DeliverLocalMessages();
    if (node_.configuration.snapshot.has_value()) {
      TickDispatch(node_.dispatch, MakeDispatchContext(), out_);
    }
    DeliverLocalMessages();
    SettleAnsweredCalls(node_.claims, out_.call_answers);
    FlushClaims(node_.claims, node_.next_request_id, now_, out_);
    return std::move(out_);
  }

 private:
  GatewayContext MakeGatewayContext() const {
    return {node_.configuration, node_.membership, node_.share, now_};
  }

  /// Requires a snapshot.
  DispatchContext MakeDispatchContext() {
    return {*node_.configuration.snapshot, node_.membership, node_.share,
            node_.ceilings, now_};
  }

  void UpdateCeilings() {
    if (!node_.configuration.snapshot.has_value()) return;
    const Snapshot& snapshot = *node_.configuration.snapshot;
    const NodeIdentity& self = node_.membership.self;
    SetWaitingWork(node_.ceilings, CountWaitingByTeam(node_.dispatch));
    TickCeilings(node_.ceilings,
                 {.snapshot = snapshot,
                  .self = {self.name, self.incarnation},
                  .stopping = RefusesCalls(node_.membership, now_),
                  .now = now_},
                 node_.next_request_id, out_);
  }

  LocalStatus MakeLocalStatus() const {
    const auto& snapshot = node_.configuration.snapshot;
    return {.config_revision = snapshot.has_value() ? snapshot->revision : 0,
            .store_reachable = node_.configuration.store_reachable,
            .confirmed_age = ConfirmedAge(node_.configuration, now_)};
  }

  void StartClaim(std::int64_t number) {
    const auto request =
        MakeClaimRequest(node_.gateway, MakeGatewayContext(), number);
    if (!request.has_value()) return;
    const auto result = BeginClaim(node_.claims, *request);
    if (!result.has_value()) return;
    HandleClaimResult(node_.gateway, MakeGatewayContext(), *result, out_);
  }

  bool HandleClaimStoreReply(const StoreReplied& event) {
    std::vector<ClaimResult> results;
    if (!HandleClaimReply(node_.claims, event.id, event.reply, now_, results)) {
      return HandleRetentionReply(node_.claims.retention, event.id, event.reply,
                                  node_.next_request_id, now_, out_);
    }
    for (const ClaimResult& result : results) {
      HandleClaimResult(node_.gateway, MakeGatewayContext(), result, out_);
    }
    return true;
  }

  /// Returns true if this is the host of its data centre that deletes expired
  /// claims.
  bool IsClaimSweeper() const {
    const NodeIdentity& self = node_.membership.self;
    const CellId sweep_cell{"claim-sweep", self.data_centre};
    return ResponsibleHost(node_.membership, sweep_cell, now_) == self.name;
  }

  void HandleEnvelope(const PeerEnvelope& envelope) {
    std::visit([&](const auto& message) { HandleMessage(envelope, message); },
               envelope.message);
  }

  void HandleMessage(const PeerEnvelope& envelope, const Heartbeat& message) {
    HandleHeartbeat(node_.membership, envelope, message, now_);
    HandlePeerRevision(node_.configuration, envelope.from, message, now_, out_);
  }

  void HandleMessage(const PeerEnvelope&, const SlotRequest& message) {
    if (!node_.configuration.snapshot.has_value()) return;
    HandleSlotRequest(node_.dispatch, MakeDispatchContext(), message, out_);
  }

  void HandleMessage(const PeerEnvelope&, const SlotGrant& message) {
    HandleSlotGrant(node_.gateway, MakeGatewayContext(), message, out_);
  }

  void HandleMessage(const PeerEnvelope&, const SlotRefusal& message) {
    HandleSlotRefusal(node_.gateway, MakeGatewayContext(), message, out_);
  }

  void HandleMessage(const PeerEnvelope&, const SlotRelease& message) {
    if (!node_.configuration.snapshot.has_value()) return;
    HandleSlotRelease(node_.dispatch, MakeDispatchContext(), message);
  }

  void HandleMessage(const PeerEnvelope&, const SlotCancel& message) {
    HandleSlotCancel(node_.dispatch, message);
  }

  void HandleMessage(const PeerEnvelope& envelope, const SlotSummary& message) {
    if (!node_.configuration.snapshot.has_value()) return;
    HandleSlotSummary(node_.dispatch, MakeDispatchContext(),
                      {envelope.from, envelope.incarnation}, message, out_);
  }

  void HandleMessage(const PeerEnvelope& envelope,
                     const SlotInventoryRequest& message) {
    HandleSlotInventoryRequest(node_.gateway, MakeGatewayContext(),
                               envelope.from, message, out_);
  }

  void HandleMessage(const PeerEnvelope& envelope,
                     const SlotInventory& message) {
    if (!node_.configuration.snapshot.has_value()) return;
    HandleSlotInventory(node_.dispatch, MakeDispatchContext(),
                        {envelope.from, envelope.incarnation}, message);
  }

  void HandleMessage(const PeerEnvelope& envelope, const ShareDigest& message) {
    const MembershipState& membership = node_.membership;
    auto it = membership.members.find(envelope.from);
    const std::string& data_centre = it == membership.members.end()
                                         ? membership.self.data_centre
                                         : it->second.data_centre;
    HandleShareDigest(node_.share, envelope.from, data_centre, message, now_);
  }

  void HandleMessage(const PeerEnvelope& envelope,
                     const SnapshotRequest& message) {
    if (MakeLocalStatus().config_revision <= message.known_revision) return;
    out_.peer_sends.push_back(
        {envelope.from, SnapshotReply{ToRows(*node_.configuration.snapshot),
                                      MakeLocalStatus().confirmed_age}});
  }

  void HandleMessage(const PeerEnvelope&, const SnapshotReply& message) {
    HandleSnapshotReply(node_.configuration, message, now_);
  }

  void HandleMessage(const PeerEnvelope& envelope,
                     const MemberReport& message) {
    HandleMemberReport(node_.membership, envelope, message, now_);
  }

  /// Removes the messages addressed to this host from the outbox and returns
  /// them.
  std::vector<PeerMessage> ExtractLocalMessages() {
    std::vector<PeerMessage> local;
    std::vector<PeerSend> remote;
    for (PeerSend& send : out_.peer_sends) {
      if (send.to == node_.membership.self.name) {
        local.push_back(std::move(send.message));
      } else {
        remote.push_back(std::move(send));
      }
    }
    out_.peer_sends = std::move(remote);
    return local;
  }

  void DeliverLocalMessages() {
    const NodeIdentity& self = node_.membership.self;
    for (auto local = ExtractLocalMessages(); !local.empty();
         local = ExtractLocalMessages()) {
      for (PeerMessage& message : local) {
        HandleEnvelope({self.name, self.incarnation, std::move(message)});
      }
    }
  }

  NodeState& node_;
  Instant now_;
  Outbox out_;
};

}  // namespace

Outbox HandleEvent(NodeState& node, const Event& event, Instant now) {
  BeginCeilingsStep(node.ceilings, now);
  EventHandler handler(node, now);
  std::visit(handler, event);
  return handler.Finish();
}

}  // namespace hyssopbarrow
