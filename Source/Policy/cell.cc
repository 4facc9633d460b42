#include "Policy/cell.h"

namespace hyssopbarrow {
namespace {

void CountAttempt(Cell& cell, const CallId& call, std::int64_t ask,
                  std::int64_t step) {
  GatewayRecord& it = cell.gateways[GatewayKeyOf(call)];
  it.attempts += step;
  it.digest ^= AttemptDigest(call.number, ask);
}

std::int64_t LongSlotCount(QueueClass it) {
  return it == QueueClass::kLong ? 1 : 0;
}

}  // namespace

void AddWaitingCall(Cell& cell, const Snapshot& snapshot, WaitingCall call) {
  CountAttempt(cell, call.call, call.attempt, 1);
  TeamQueue& line = GetOrCreateTeamQueue(cell.queue, snapshot, call.team);
  PushCall(cell.queue, line, std::move(call));
  cell.dispatch_needed = true;
}

WaitingCall ExtractWaitingCall(Cell& cell, FairQueue::WaitingIterator it) {
  CountAttempt(cell, it->call, it->attempt, -1);
  return ExtractCall(cell.queue, it);
}

void AddGrantedSlot(Cell& cell, const GrantedSlot& slot) {
  CountAttempt(cell, slot.call, slot.attempt, 1);
  AcquireHostSlot(cell.slots, slot.host);
  cell.long_slots += LongSlotCount(slot.queue_class);
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
  cell.long_slots -= LongSlotCount(slot.queue_class);
  auto line = cell.queue.teams.find(slot.team);
  SettleCharge(cell.queue, line->second, slot.start_time, slot.charge_s,
               result == SlotResult::kSucceeded, now);
  cell.dispatch_needed = true;
  return slot;
}

void SetNextCheck(Cell& cell, GrantedSlot& slot, Instant at) {
  cell.grant_checks.erase({slot.next_check, slot.grant});
  slot.next_check = at;
  cell.grant_checks.emplace(at, slot.grant);
}

}  // namespace hyssopbarrow
