#include "Policy/dispatch.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Policy/slot_reconcile.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kFirstGrantCheckDelay = std::chrono::seconds(1);
constexpr Duration kUsageInterval = std::chrono::milliseconds(200);
constexpr double kUrgentReservedFraction = 0.25;
constexpr double kLongReservedFraction = 0.1;
constexpr double kMaxLagSeconds = 5;
constexpr double kMinSlotsElsewhere = 1;
constexpr double kUsageGain = 0.3;
constexpr std::size_t kMaxPlacementLookahead = 4;

void SendRefusal(const CellId& cell, const CallId& call, std::int64_t ask,
                 Reason reason, Outbox& out) {
  out.peer_sends.push_back(
      {call.gateway,
       SlotRefusal{
           .call = call, .attempt = ask, .cell = cell, .reason = reason}});
}

void SendGrant(const CellId& cell, const GrantedSlot& slot, Outbox& out) {
  out.peer_sends.push_back(
      {slot.call.gateway, SlotGrant{.call = slot.call,
                                    .attempt = slot.attempt,
                                    .cell = cell,
                                    .grant = slot.grant,
                                    .host = slot.host}});
}

/// Brings the cell's workers up to date with the snapshot.
void RefreshCell(Cell& cell, const Snapshot& snapshot) {
  if (cell.revision == snapshot.revision) return;
  cell.revision = snapshot.revision;
  RebuildSlotIndex(cell.slots, cell.id, snapshot, cell.health);
  cell.has_urgent_queue = std::any_of(
      snapshot.queues.begin(), snapshot.queues.end(), [&](const auto& it) {
        return it.second.pool == cell.id.pool &&
               it.second.queue_class == QueueClass::kUrgent;
      });
  for (auto& [team, line] : cell.queue.teams) {
    GetOrCreateTeamQueue(cell.queue, snapshot, team);
  }
  cell.dispatch_needed = true;
}

/// Most slots that long work may hold, so that urgent work finds one.
std::int64_t MaxLongSlots(const Cell& cell) {
  const auto total = static_cast<double>(cell.slots.total_slots);
  const double reserved =
      cell.has_urgent_queue ? std::ceil(total * kUrgentReservedFraction) : 0;
  return std::max<std::int64_t>(1, static_cast<std::int64_t>(total - reserved));
}

/// Slots that long work gets before urgent work does.
std::int64_t MinLongSlots(const Cell& cell) {
  const auto total = static_cast<double>(cell.slots.total_slots);
  return std::max<std::int64_t>(
      1, static_cast<std::int64_t>(total * kLongReservedFraction));
}

struct Pick {
  TeamQueue* line = nullptr;
  QueueClass queue_class = QueueClass::kUrgent;
};

Pick PickTeam(const Cell& cell) {
  TeamQueue* urgent = FirstTeamQueue(cell.queue, QueueClass::kUrgent);
  TeamQueue* lasting = FirstTeamQueue(cell.queue, QueueClass::kLong);
  if (lasting == nullptr || cell.long_slots >= MaxLongSlots(cell)) {
    return {urgent, QueueClass::kUrgent};
  }
  const bool first = urgent == nullptr ||
                     cell.long_slots < MinLongSlots(cell) ||
                     lasting->position < urgent->position;
  if (first) return {lasting, QueueClass::kLong};
  return {urgent, QueueClass::kUrgent};
}

struct Placement {
  FairQueue::WaitingIterator call;
  const std::string* host = nullptr;
};

/// The first of the line's oldest calls that a free host suits.
Placement Place(const Cell& cell, std::list<WaitingCall>& waiting) {
  std::size_t n = 0;
  for (auto it = waiting.begin();
       it != waiting.end() && n < kMaxPlacementLookahead; ++it, ++n) {
    const std::string* host = PickHost(cell.slots, it->excluded);
    if (host != nullptr) return {it, host};
  }
  return {};
}

void BlockTeam(Cell& cell, TeamQueue& line) {
  SetBlocked(cell.queue, line, true);
  cell.blocked_teams.push_back(line.team);
}

void Unblock(Cell& cell) {
  if (cell.blocked_teams.empty()) return;
  for (const std::string& team : cell.blocked_teams) {
    SetBlocked(cell.queue, cell.queue.teams.find(team)->second, false);
  }
  cell.blocked_teams.clear();
  cell.dispatch_needed = true;
}

void Unblock(Cell& cell, const std::string& team) {
  auto it =
      std::find(cell.blocked_teams.begin(), cell.blocked_teams.end(), team);
  if (it == cell.blocked_teams.end()) return;
  cell.blocked_teams.erase(it);
  SetBlocked(cell.queue, cell.queue.teams.find(team)->second, false);
  cell.dispatch_needed = true;
}

void Grant(DispatchState& state, const DispatchContext& context, Cell& cell,
           TeamQueue& line, const Placement& placement, Outbox& out) {
  const NodeIdentity& self = context.membership.self;
  const std::string host = *placement.host;
  WaitingCall call = ExtractWaitingCall(cell, placement.call);
  const double charged = ChargeStart(cell.queue, line, context.now);
  GrantedSlot slot{.grant = {self.name, self.incarnation, state.next_grant++},
                   .call = std::move(call.call),
                   .attempt = call.attempt,
                   .team = std::move(call.team),
                   .queue_class = call.queue_class,
                   .host = host,
                   .start_time = context.now,
                   .deadline = call.deadline,
                   .next_check = context.now + kFirstGrantCheckDelay,
                   .charge_s = charged,
                   .holds_right = true};
  SendGrant(cell.id, slot, out);
  AddGrantedSlot(cell, slot);
}

void GrantSlots(DispatchState& state, const DispatchContext& context,
                Cell& cell, Outbox& out) {
  while (!cell.slots.hosts_by_free_slots.empty()) {
    const Pick pick = PickTeam(cell);
    if (pick.line == nullptr) return;
    auto& waiting =
        pick.line->waiting[static_cast<std::size_t>(pick.queue_class)];
    const Placement placement = Place(cell, waiting);
    if (placement.host == nullptr ||
        !AcquireRight(context.ceilings, context.snapshot, pick.line->team)) {
      BlockTeam(cell, *pick.line);
      continue;
    }
    Grant(state, context, cell, *pick.line, placement, out);
  }
}

void RefuseExpired(Cell& cell, Instant now, Outbox& out) {
  auto& latest = cell.queue.by_latest_start;
  while (!latest.empty() && latest.begin()->first.first <= now) {
    const WaitingCall call = ExtractWaitingCall(cell, latest.begin()->second);
    const TeamQueue& line = cell.queue.teams.find(call.team)->second;
    const Reason reason =
        line.blocked ? Reason::kCeiling : Reason::kDeadlineTooShort;
    SendRefusal(cell.id, call.call, call.attempt, reason, out);
  }
}

/// Refuses what no worker of the cell can take.
void RefuseUnplaceable(Cell& cell, Outbox& out) {
  if (cell.slots.usable_hosts > 0) return;
  while (!cell.queue.by_latest_start.empty()) {
    const WaitingCall call =
        ExtractWaitingCall(cell, cell.queue.by_latest_start.begin()->second);
    SendRefusal(cell.id, call.call, call.attempt, Reason::kNoCapacity, out);
  }
}

double MaxLag(const Cell& cell) {
  double weights = 1;
  for (const auto& [team, line] : cell.queue.teams) {
    if (line.running > 0) weights += line.weight;
  }
  const auto slots = static_cast<double>(cell.slots.total_slots);
  return kMaxLagSeconds * std::max(1.0, slots) / weights;
}

/// Ends a measuring interval of the cell.
void EndInterval(Cell& cell, const DispatchContext& context) {
  if (context.now < cell.interval_end) return;
  const double seconds =
      std::chrono::duration<double>(context.now - cell.interval_start).count();
  cell.interval_start = context.now;
  cell.interval_end = context.now + kUsageInterval;
  if (seconds <= 0) return;
  const double max_lag = MaxLag(cell);
  double elsewhere = 0;
  cell.usage.clear();
  for (auto& [team, line] : cell.queue.teams) {
    const double used = MeasureUsage(line, seconds, context.now);
    if (used > 0) cell.usage.emplace(team, used);
    const double others = UsageInOtherCells(context.share, cell.id, team);
    line.fleet_slots += kUsageGain * (used + others - line.fleet_slots);
    elsewhere += others;
    UpdatePosition(cell.queue, line, max_lag, context.now);
  }
  CorrectWeights(cell.queue, elsewhere >= kMinSlotsElsewhere);
  Unblock(cell);
  if (!cell.owned) return RemoveCellReport(context.share, cell.id);
  SetCellReport(context.share, cell.id,
                {.usage = cell.usage,
                 .free_slots = cell.slots.free_slots,
                 .waiting = WaitingCount(cell.queue)});
}

/// Why a request cannot be put in line; kNone when it can.
Reason CheckRequest(Cell& cell, const Snapshot& snapshot,
                    const SlotRequest& request) {
  const Queue* queue = Find(snapshot.queues, request.queue);
  if (queue == nullptr) return Reason::kUnknownQueue;
  if (!HasUsableHost(cell.slots, request.excluded)) return Reason::kNoCapacity;
  const TeamQueue& line =
      GetOrCreateTeamQueue(cell.queue, snapshot, request.team);
  std::int64_t n = 0;
  for (const auto& it : line.waiting) n += std::ssize(it);
  if (n >= queue->max_waiting) return Reason::kQueueFull;
  if (ExpectedWait(line, queue->queue_class) > request.remaining) {
    return Reason::kDeadlineTooShort;
  }
  return Reason::kNone;
}

/// Handles a request whose call is known. Returns whether it is done with.
bool HandleKnownCall(DispatchState& state, const DispatchContext& context,
                     Cell& cell, const SlotRequest& request, Outbox& out) {
  auto waiting = cell.queue.by_call.find(request.call);
  if (waiting != cell.queue.by_call.end()) {
    if (request.attempt <= waiting->second->attempt) return true;
    ExtractWaitingCall(cell, waiting->second);
    return false;
  }
  auto granted = cell.grant_by_call.find(request.call);
  if (granted == cell.grant_by_call.end()) return false;
  const GrantedSlot& slot = cell.granted_slots.find(granted->second)->second;
  if (request.attempt < slot.attempt) return true;
  if (request.attempt == slot.attempt) {
    if (slot.holds_right) SendGrant(cell.id, slot, out);
    return true;
  }
  const GrantId grant = slot.grant;
  FreeSlot(state, context, cell, grant, SlotResult::kAbandoned);
  return false;
}

}  // namespace

Cell& GetOrCreateCell(DispatchState& state, const DispatchContext& context,
                      const CellId& id) {
  auto [it, inserted] = state.cells.try_emplace(id);
  Cell& cell = it->second;
  if (inserted) {
    cell.id = id;
    cell.interval_start = context.now;
    cell.interval_end = context.now + kUsageInterval;
    BeginRebuild(cell, context.now);
  }
  RefreshCell(cell, context.snapshot);
  return cell;
}

void HandleSlotRequest(DispatchState& state, const DispatchContext& context,
                       const SlotRequest& request, Outbox& out) {
  Cell& cell = GetOrCreateCell(state, context, request.cell);
  if (HandleKnownCall(state, context, cell, request, out)) return;
  const Reason reason = CheckRequest(cell, context.snapshot, request);
  if (reason != Reason::kNone) {
    return SendRefusal(cell.id, request.call, request.attempt, reason, out);
  }
  const Queue& queue = context.snapshot.queues.find(request.queue)->second;
  const TeamQueue& line =
      GetOrCreateTeamQueue(cell.queue, context.snapshot, request.team);
  AddWaitingCall(
      cell, context.snapshot,
      {.call = request.call,
       .attempt = request.attempt,
       .team = request.team,
       .queue = request.queue,
       .queue_class = queue.queue_class,
       .deadline = context.now + request.remaining,
       .latest_start = LatestStart(line, request.remaining, context.now),
       .excluded = request.excluded});
}

void HandleSlotCancel(DispatchState& state, const SlotCancel& cancel) {
  auto cell = state.cells.find(cancel.cell);
  if (cell == state.cells.end()) return;
  auto it = cell->second.queue.by_call.find(cancel.call);
  if (it == cell->second.queue.by_call.end()) return;
  if (it->second->attempt <= cancel.attempt)
    ExtractWaitingCall(cell->second, it->second);
}

void FreeSlot(DispatchState& state, const DispatchContext& context, Cell& cell,
              const GrantId& grant, SlotResult result) {
  const GrantedSlot slot = ExtractGrantedSlot(cell, grant, result, context.now);
  if (slot.holds_right) {
    ReleaseRight(context.ceilings, slot.team);
    for (auto& [id, it] : state.cells) Unblock(it, slot.team);
  }
  const bool changed = RecordResult(cell.health, slot.host, result,
                                    context.now - slot.start_time,
                                    std::ssize(cell.slots.hosts), context.now);
  if (changed)
    RebuildSlotIndex(cell.slots, cell.id, context.snapshot, cell.health);
}

void HandleSlotRelease(DispatchState& state, const DispatchContext& context,
                       const SlotRelease& release) {
  auto cell = state.cells.find(release.cell);
  if (cell == state.cells.end()) return;
  if (!cell->second.granted_slots.contains(release.grant)) return;
  FreeSlot(state, context, cell->second, release.grant, release.result);
}

void TickDispatch(DispatchState& state, const DispatchContext& context,
                  Outbox& out) {
  for (auto& [id, cell] : state.cells) {
    RefreshCell(cell, context.snapshot);
    TickCellOwnership(cell, context);
    TickGrantChecks(state, context, cell, out);
    RefuseExpired(cell, context.now, out);
    RefuseUnplaceable(cell, out);
    EndInterval(cell, context);
    if (TickTargetHealth(cell.health, context.now)) {
      RebuildSlotIndex(cell.slots, id, context.snapshot, cell.health);
      cell.dispatch_needed = true;
    }
    if (!cell.dispatch_needed || cell.rebuilding) continue;
    cell.dispatch_needed = false;
    GrantSlots(state, context, cell, out);
  }
}

}  // namespace hyssopbarrow
