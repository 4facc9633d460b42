#include "Policy/slot_client.h"

#include <utility>

namespace hyssopbarrow {
namespace {

constexpr Duration kSummaryInterval = std::chrono::seconds(2);
/// How long summaries of a cell continue after the last one that covered a
/// request or slot.
constexpr Duration kIdleSummaryTime = std::chrono::seconds(10);

CallId MakeCallId(const GatewayContext& context, const Call& call) {
  const NodeIdentity& self = context.membership.self;
  return {self.name, self.incarnation, call.number};
}

SlotRequest MakeSlotRequest(const GatewayContext& context, const Call& call) {
  return {.call = MakeCallId(context, call),
          .attempt = call.slot_attempt,
          .cell = call.cell,
          .team = call.team,
          .queue = call.queue,
          .remaining = Remaining(call.deadline, context.now),
          .excluded = call.excluded_hosts};
}

HeldSlot MakeHeldSlot(const GatewayContext& context, const Call& call) {
  return {.grant = call.grant,
          .call = call.number,
          .attempt = call.slot_attempt,
          .team = call.team,
          .queue = call.queue,
          .host = call.host,
          .remaining = Remaining(call.deadline, context.now)};
}

CellTracker& FindOrAddTracker(GatewayState& state,
                              const GatewayContext& context,
                              const CellId& cell) {
  auto [it, inserted] = state.cells.try_emplace(cell);
  if (inserted) {
    it->second.dispatcher =
        ResponsibleHost(context.membership, cell, context.now);
    it->second.next_summary = context.now + kSummaryInterval;
  }
  return it->second;
}

void SendSlotRequest(const GatewayContext& context, const CellTracker& tracker,
                     const Call& call, Outbox& out) {
  if (tracker.dispatcher.empty()) return;
  out.peer_sends.push_back(
      {tracker.dispatcher, MakeSlotRequest(context, call)});
}

/// Tracks all cells of this data centre, so that their dispatchers soon receive
/// an inventory from this host, even if it holds no slots.
void TrackLocalCells(GatewayState& state, const GatewayContext& context) {
  for (const auto& [cell, hosts] : state.directory.serving_hosts) {
    if (cell.data_centre == context.membership.self.data_centre) {
      state.cells.try_emplace(cell);
    }
  }
}

void SendSummaryIfDue(const GatewayContext& context, const CellId& cell,
                      CellTracker& tracker, Outbox& out) {
  if (context.now < tracker.next_summary) return;
  tracker.next_summary = context.now + kSummaryInterval;
  const std::int64_t attempts =
      std::ssize(tracker.waiting) + std::ssize(tracker.running);
  if (attempts > 0) tracker.summaries_until = context.now + kIdleSummaryTime;
  if (context.now >= tracker.summaries_until) return;
  out.peer_sends.push_back(
      {tracker.dispatcher,
       SlotSummary{
           .cell = cell, .attempts = attempts, .digest = tracker.digest}});
}

}  // namespace

void RequestSlot(GatewayState& state, const GatewayContext& context, Call& call,
                 Outbox& out) {
  call.stage = CallStage::kWaiting;
  ++call.slot_attempt;
  CellTracker& tracker = FindOrAddTracker(state, context, call.cell);
  tracker.waiting.insert(call.number);
  tracker.digest ^= AttemptDigest(call.number, call.slot_attempt);
  state.deadlines.emplace(call.deadline, call.number);
  SendSlotRequest(context, tracker, call, out);
}

void DropSlotRequest(GatewayState& state, const Call& call) {
  CellTracker& tracker = state.cells[call.cell];
  if (tracker.waiting.erase(call.number) == 0) return;
  tracker.digest ^= AttemptDigest(call.number, call.slot_attempt);
  state.deadlines.erase({call.deadline, call.number});
}

void CancelSlotRequest(GatewayState& state, const GatewayContext& context,
                       const Call& call, Outbox& out) {
  DropSlotRequest(state, call);
  const std::string& dispatcher = state.cells[call.cell].dispatcher;
  if (dispatcher.empty()) return;
  out.peer_sends.push_back(
      {dispatcher, SlotCancel{.call = MakeCallId(context, call),
                              .attempt = call.slot_attempt,
                              .cell = call.cell}});
}

void AcquireCallSlot(GatewayState& state, const GatewayContext& context,
                     Call& call, const SlotGrant& grant, Outbox& out) {
  const std::string& dispatcher = state.cells[call.cell].dispatcher;
  if (dispatcher != grant.grant.dispatcher) {
    CancelSlotRequest(state, context, call, out);
  } else {
    DropSlotRequest(state, call);
  }
  call.stage = CallStage::kRunning;
  call.grant = grant.grant;
  call.host = grant.host;
  CellTracker& tracker = state.cells[call.cell];
  tracker.running.insert(call.number);
  tracker.digest ^= AttemptDigest(call.number, call.slot_attempt);
}

void ReleaseCallSlot(GatewayState& state, const Call& call, SlotResult result,
                     Outbox& out) {
  CellTracker& tracker = state.cells[call.cell];
  tracker.running.erase(call.number);
  tracker.digest ^= AttemptDigest(call.number, call.slot_attempt);
  const SlotRelease release{
      .cell = call.cell, .grant = call.grant, .result = result};
  out.peer_sends.push_back({call.grant.dispatcher, release});
  const bool has_new_dispatcher = tracker.dispatcher != call.grant.dispatcher;
  if (!has_new_dispatcher || tracker.dispatcher.empty()) return;
  out.peer_sends.push_back({tracker.dispatcher, release});
}

void DeclineGrant(const SlotGrant& grant, Outbox& out) {
  out.peer_sends.push_back(
      {grant.grant.dispatcher, SlotRelease{.cell = grant.cell,
                                           .grant = grant.grant,
                                           .result = SlotResult::kUnused}});
}

void SendInventory(const GatewayState& state, const GatewayContext& context,
                   const CellId& cell, const std::string& to, Outbox& out) {
  auto it = state.cells.find(cell);
  SlotInventory inventory{.cell = cell};
  if (it == state.cells.end()) {
    out.peer_sends.push_back({to, std::move(inventory)});
    return;
  }
  const CellTracker& tracker = it->second;
  inventory.waiting.assign(tracker.waiting.begin(), tracker.waiting.end());
  for (std::int64_t number : tracker.running) {
    inventory.held.push_back(MakeHeldSlot(context, state.calls.at(number)));
  }
  out.peer_sends.push_back({to, std::move(inventory)});
  for (std::int64_t number : tracker.waiting) {
    out.peer_sends.push_back(
        {to, MakeSlotRequest(context, state.calls.at(number))});
  }
}

void TickCellTrackers(GatewayState& state, const GatewayContext& context,
                      Outbox& out) {
  TrackLocalCells(state, context);
  for (auto& [cell, tracker] : state.cells) {
    const std::string dispatcher =
        ResponsibleHost(context.membership, cell, context.now);
    const bool is_new = dispatcher != tracker.dispatcher;
    tracker.dispatcher = dispatcher;
    if (dispatcher.empty()) continue;
    if (is_new) {
      SendInventory(state, context, cell, dispatcher, out);
    } else {
      SendSummaryIfDue(context, cell, tracker, out);
    }
  }
}

}  // namespace hyssopbarrow
