#include "Policy/slot_reconcile.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kMinRebuildTime = std::chrono::milliseconds(300);
constexpr Duration kMaxRebuildTime = std::chrono::milliseconds(1500);
/// Inventories count if they arrived at most this long before the rebuild
/// began.
constexpr Duration kMaxInventoryAge = std::chrono::milliseconds(500);
constexpr Duration kOwnershipCheckInterval = std::chrono::milliseconds(20);
constexpr Duration kMaxGrantCheckInterval = std::chrono::seconds(5);
/// Time after the deadline of a grant until the slot of a gateway that is gone
/// is freed.
constexpr Duration kGrantDeadlineMargin = std::chrono::milliseconds(500);
/// Consecutive mismatches before an inventory is requested.
constexpr std::int64_t kMismatchesBeforeInventory = 2;

/// Returns true if the gateway process `key` may still use its granted slots.
bool IsGatewayLive(const DispatchContext& context, const GatewayKey& key) {
  const MembershipState& membership = context.membership;
  if (key.name == membership.self.name) {
    return key.incarnation == membership.self.incarnation;
  }
  auto it = membership.members.find(key.name);
  return it != membership.members.end() &&
         it->second.incarnation == key.incarnation &&
         context.now < it->second.alive_until;
}

bool HasSentInventory(const Cell& cell, const std::string& name,
                      std::int64_t incarnation) {
  auto it = cell.gateways.find({name, incarnation});
  return it != cell.gateways.end() &&
         it->second.inventory_time >= cell.inventories_since;
}

/// Returns true if every live entry host of the data centre has sent its
/// inventory.
bool HaveAllSentInventory(const Cell& cell, const DispatchContext& context) {
  const NodeIdentity& self = context.membership.self;
  if (!HasSentInventory(cell, self.name, self.incarnation)) return false;
  for (const auto& [name, member] : context.membership.members) {
    const bool is_expected = member.data_centre == cell.id.data_centre &&
                             context.now < member.alive_until;
    if (is_expected && !HasSentInventory(cell, name, member.incarnation)) {
      return false;
    }
  }
  return true;
}

void AdoptHeldSlot(Cell& cell, const DispatchContext& context,
                   const GatewayKey& from, const HeldSlot& held) {
  const CallId call{from.name, from.incarnation, held.call};
  auto waiting = cell.queue.by_call.find(call);
  if (waiting != cell.queue.by_call.end() &&
      waiting->second->attempt <= held.attempt) {
    ExtractWaitingCall(cell, waiting->second);
  }
  TeamQueue& team_queue =
      GetOrCreateTeamQueue(cell.queue, context.snapshot, held.team);
  CountExistingStart(team_queue, context.now);
  const Queue* queue = Find(context.snapshot.queues, held.queue);
  AddGrantedSlot(cell, {.grant = held.grant,
                        .call = call,
                        .attempt = held.attempt,
                        .team = held.team,
                        .queue_class = queue == nullptr ? QueueClass::kUrgent
                                                        : queue->queue_class,
                        .host = held.host,
                        .start_time = context.now,
                        .deadline = context.now + held.remaining,
                        .next_check = context.now + kMaxGrantCheckInterval});
}

/// Drops requests of `from` that are not in `listed`.
void DropUnlistedRequests(Cell& cell, const GatewayKey& from,
                          const std::vector<std::int64_t>& listed) {
  const absl::flat_hash_set<std::int64_t> kept(listed.begin(), listed.end());
  std::vector<FairQueue::WaitingIterator> stale;
  for (const auto& [call, waiting] : cell.queue.by_call) {
    if (GatewayKeyOf(call) == from && !kept.contains(call.number)) {
      stale.push_back(waiting);
    }
  }
  for (const FairQueue::WaitingIterator& waiting : stale) {
    ExtractWaitingCall(cell, waiting);
  }
}

void DropWaitingRequests(Cell& cell) {
  while (!cell.queue.by_latest_start.empty()) {
    ExtractWaitingCall(cell, cell.queue.by_latest_start.begin()->second);
  }
}

void RemoveAbsentGateways(Cell& cell, const DispatchContext& context) {
  std::erase_if(cell.gateways, [&](const auto& entry) {
    return entry.second.attempts == 0 && !IsGatewayLive(context, entry.first);
  });
}

void CheckGrant(DispatchState& state, const DispatchContext& context,
                Cell& cell, GrantedSlot& slot, Outbox& out) {
  const bool is_live = IsGatewayLive(context, GatewayKeyOf(slot.call));
  const bool is_expired = context.now >= slot.deadline + kGrantDeadlineMargin;
  if (!is_live && is_expired) {
    return FreeSlot(state, context, cell, slot.grant, SlotResult::kAbandoned);
  }
  const Duration age = context.now - slot.start_time;
  SetNextCheck(cell, slot, context.now + std::min(age, kMaxGrantCheckInterval));
  if (!is_live || !slot.holds_right) return;
  out.peer_sends.push_back(
      {slot.call.gateway, SlotGrant{.call = slot.call,
                                    .attempt = slot.attempt,
                                    .cell = cell.id,
                                    .grant = slot.grant,
                                    .host = slot.host}});
}

}  // namespace

void BeginRebuild(Cell& cell, Instant now) {
  cell.rebuilding = true;
  cell.earliest_rebuild_end = now + kMinRebuildTime;
  cell.latest_rebuild_end = now + kMaxRebuildTime;
  cell.inventories_since = now - kMaxInventoryAge;
}

void HandleSlotSummary(DispatchState& state, const DispatchContext& context,
                       const GatewayKey& from, const SlotSummary& summary,
                       Outbox& out) {
  Cell& cell = GetOrCreateCell(state, context, summary.cell);
  GatewayRecord& gateway = cell.gateways[from];
  const bool is_same =
      gateway.attempts == summary.attempts && gateway.digest == summary.digest;
  gateway.mismatches = is_same ? 0 : gateway.mismatches + 1;
  if (gateway.mismatches < kMismatchesBeforeInventory) return;
  gateway.mismatches = 0;
  out.peer_sends.push_back({from.name, SlotInventoryRequest{summary.cell}});
}

void HandleSlotInventory(DispatchState& state, const DispatchContext& context,
                         const GatewayKey& from,
                         const SlotInventory& inventory) {
  Cell& cell = GetOrCreateCell(state, context, inventory.cell);
  cell.gateways[from].inventory_time = context.now;
  for (const HeldSlot& held : inventory.held) {
    if (!cell.granted_slots.contains(held.grant)) {
      AdoptHeldSlot(cell, context, from, held);
    }
  }
  DropUnlistedRequests(cell, from, inventory.waiting);
  cell.dispatch_needed = true;
}

void TickCellOwnership(Cell& cell, const DispatchContext& context) {
  if (context.now < cell.next_ownership_check) return;
  cell.next_ownership_check = context.now + kOwnershipCheckInterval;
  const bool is_owned =
      ResponsibleHost(context.membership, cell.id, context.now) ==
      context.membership.self.name;
  if (is_owned && !cell.owned) BeginRebuild(cell, context.now);
  if (!is_owned && cell.owned) DropWaitingRequests(cell);
  cell.owned = is_owned;
  RemoveAbsentGateways(cell, context);
  if (!cell.rebuilding || context.now < cell.earliest_rebuild_end) return;
  if (context.now < cell.latest_rebuild_end &&
      !HaveAllSentInventory(cell, context)) {
    return;
  }
  cell.rebuilding = false;
  cell.dispatch_needed = true;
}

void TickGrantChecks(DispatchState& state, const DispatchContext& context,
                     Cell& cell, Outbox& out) {
  while (!cell.grant_checks.empty() &&
         cell.grant_checks.begin()->first <= context.now) {
    const GrantId id = cell.grant_checks.begin()->second;
    CheckGrant(state, context, cell, cell.granted_slots.find(id)->second, out);
  }
}

}  // namespace hyssopbarrow
