#include "Policy/cell.h"

namespace hyssopbarrow {
namespace {

/// Adds `count_change`, 1 or -1, to the gateway's number of attempts and
/// updates the digest over them.
void CountAttempt(Cell& cell, const CallId& call, std::int64_t attempt,
                  std::int64_t count_change) {
  GatewayRecord& gateway = cell.gateways[GatewayKeyOf(call)];
  gateway.attempts += count_change;
  gateway.digest ^= AttemptDigest(call.number, attempt);
}

std::int64_t LongSlots(QueueClass queue_class) {
  return queue_class == QueueClass::kLong ? 1 : 0;
}

}  // namespace

void AddWaitingCall(Cell& cell, const Snapshot& snapshot, WaitingCall call) {
  CountAttempt(cell, call.call, call.attempt, 1);
  TeamQueue& team_queue = GetOrCreateTeamQueue(cell.queue, snapshot, call.team);
  PushCall(cell.queue, team_queue, std::move(call));
  cell.dispatch_needed = true;
}

WaitingCall ExtractWaitingCall(Cell& cell, FairQueue::WaitingIterator it) {
  CountAttempt(cell, it->call, it->attempt, -1);
  return ExtractCall(cell.queue, it);
}

void AddGrantedSlot(Cell& cell, const GrantedSlot& slot) {
  CountAttempt(cell, slot.call, slot.attempt, 1);
  AcquireHostSlot(cell.slots, slot.host);
  cell.long_slots += LongSlots(slot.queue_class);
  cell.grant_checks.emplace(slot.next_check, slot.grant);
  cell.grant_by_call[slot.call] = slot.grant;
  cell.granted_slots.emplace(slot.grant, slot);
}

GrantedSlot ExtractGrantedSlot(Cell& cell, const GrantId& id, SlotResult result,
                               Instant now) {
  auto it = cell.granted_slots.find(id);
  GrantedSlot slot = std::move(it->second);
  cell.granted_slots.erase(it);
  CountAttempt(cell, slot.call, slot.attempt, -1);
  cell.grant_checks.erase({slot.next_check, slot.grant});
  auto by_call = cell.grant_by_call.find(slot.call);
  if (by_call != cell.grant_by_call.end() && by_call->second == slot.grant) {
    cell.grant_by_call.erase(by_call);
  }
  ReleaseHostSlot(cell.slots, slot.host);
  cell.long_slots -= LongSlots(slot.queue_class);
  auto team_queue = cell.queue.teams.find(slot.team);
  SettleCharge(cell.queue, team_queue->second, slot.start_time, slot.charge_s,
               result == SlotResult::kSucceeded, now);
  cell.dispatch_needed = true;
  return slot;
}

void SetNextCheck(Cell& cell, GrantedSlot& slot, Instant time) {
  cell.grant_checks.erase({slot.next_check, slot.grant});
  slot.next_check = time;
  cell.grant_checks.emplace(time, slot.grant);
}

}  // namespace hyssopbarrow
