#include "Policy/dispatch.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Policy/slot_reconcile.h"

namespace hyssopbarrow {
namespace {

/// Time from a grant until its first check with the gateway.
constexpr Duration kFirstGrantCheckDelay = std::chrono::seconds(1);
/// Interval over which the use of slots is measured.
constexpr Duration kUsageInterval = std::chrono::milliseconds(200);
/// Fractions of a cell's slots reserved for each class: the one that long work
/// leaves to urgent work, and the one up to which long work goes first. See
/// MaxLongSlots and MinLongSlots.
constexpr double kUrgentReservedFraction = 0.25;
constexpr double kLongReservedFraction = 0.1;
/// Maximum distance of a team's position from the cell's virtual time, in
/// seconds for which all slots of the cell are used; see MaxLag.
constexpr double kMaxLagSeconds = 5;
/// Weights are corrected once this cell's teams use this many slots in other
/// cells.
constexpr double kMinSlotsElsewhere = 1;
/// Gain of the moving average TeamQueue::fleet_slots.
constexpr double kFleetSlotsGain = 0.3;
/// Maximum number of a team's oldest calls among which one is sought that
/// doesn't exclude all free hosts.
constexpr std::size_t kMaxPlacementLookahead = 4;

void SendRefusal(const CellId& cell, const CallId& call, std::int64_t attempt,
                 Reason reason, Outbox& out) {
  out.peer_sends.push_back(
      {call.gateway,
       SlotRefusal{
           .call = call, .attempt = attempt, .cell = cell, .reason = reason}});
}

void SendGrant(const CellId& cell, const GrantedSlot& slot, Outbox& out) {
  out.peer_sends.push_back(
      {slot.call.gateway, SlotGrant{.call = slot.call,
                                    .attempt = slot.attempt,
                                    .cell = cell,
                                    .grant = slot.grant,
                                    .host = slot.host}});
}

/// Updates the cell's workers and weights to a new snapshot.
void RefreshCell(Cell& cell, const Snapshot& snapshot) {
  if (cell.revision == snapshot.revision) return;
  cell.revision = snapshot.revision;
  RebuildSlotIndex(cell.slots, cell.id, snapshot, cell.health);
  cell.has_urgent_queue = std::any_of(
      snapshot.queues.begin(), snapshot.queues.end(), [&](const auto& entry) {
        return entry.second.pool == cell.id.pool &&
               entry.second.queue_class == QueueClass::kUrgent;
      });
  for (auto& [team, team_queue] : cell.queue.teams) {
    GetOrCreateTeamQueue(cell.queue, snapshot, team);
  }
  cell.dispatch_needed = true;
}

/// Returns the most slots that long work may hold. The others are reserved for
/// urgent work.
std::int64_t MaxLongSlots(const Cell& cell) {
  const auto total = static_cast<double>(cell.slots.total_slots);
  const double reserved =
      cell.has_urgent_queue ? std::ceil(total * kUrgentReservedFraction) : 0;
  return std::max<std::int64_t>(1, static_cast<std::int64_t>(total - reserved));
}

/// Returns the number of slots up to which long work goes before urgent work.
std::int64_t MinLongSlots(const Cell& cell) {
  const auto total = static_cast<double>(cell.slots.total_slots);
  return std::max<std::int64_t>(
      1, static_cast<std::int64_t>(total * kLongReservedFraction));
}

/// Team and class of the next grant.
struct Pick {
  TeamQueue* team_queue = nullptr;
  QueueClass queue_class = QueueClass::kUrgent;
};

/// Picks the team and class of the next grant. `team_queue` is null when no
/// call may be granted a slot.
Pick PickTeam(const Cell& cell) {
  TeamQueue* urgent_team = FirstTeamQueue(cell.queue, QueueClass::kUrgent);
  TeamQueue* long_team = FirstTeamQueue(cell.queue, QueueClass::kLong);
  if (long_team == nullptr || cell.long_slots >= MaxLongSlots(cell)) {
    return {urgent_team, QueueClass::kUrgent};
  }
  const bool long_first = urgent_team == nullptr ||
                          cell.long_slots < MinLongSlots(cell) ||
                          long_team->position < urgent_team->position;
  if (long_first) return {long_team, QueueClass::kLong};
  return {urgent_team, QueueClass::kUrgent};
}

struct Placement {
  FairQueue::WaitingIterator call;
  const std::string* host = nullptr;
};

/// Returns the oldest of the first kMaxPlacementLookahead calls that doesn't
/// exclude all free hosts, and the free host picked for it. The host is null
/// when there is no such call.
Placement FindPlacement(const Cell& cell, std::list<WaitingCall>& waiting) {
  std::size_t n = 0;
  for (auto it = waiting.begin();
       it != waiting.end() && n < kMaxPlacementLookahead; ++it, ++n) {
    const std::string* host = PickHost(cell.slots, it->excluded);
    if (host != nullptr) return {it, host};
  }
  return {};
}

/// Excludes the team from grants until one of its calls releases a right or the
/// usage interval ends; see TeamQueue::blocked.
void BlockTeam(Cell& cell, TeamQueue& team_queue) {
  SetBlocked(cell.queue, team_queue, true);
  cell.blocked_teams.push_back(team_queue.team);
}

void UnblockAllTeams(Cell& cell) {
  if (cell.blocked_teams.empty()) return;
  for (const std::string& team : cell.blocked_teams) {
    SetBlocked(cell.queue, cell.queue.teams.find(team)->second, false);
  }
  cell.blocked_teams.clear();
  cell.dispatch_needed = true;
}

void UnblockTeam(Cell& cell, const std::string& team) {
  auto it =
      std::find(cell.blocked_teams.begin(), cell.blocked_teams.end(), team);
  if (it == cell.blocked_teams.end()) return;
  cell.blocked_teams.erase(it);
  SetBlocked(cell.queue, cell.queue.teams.find(team)->second, false);
  cell.dispatch_needed = true;
}

void GrantSlot(DispatchState& state, const DispatchContext& context, Cell& cell,
               TeamQueue& team_queue, const Placement& placement, Outbox& out) {
  const NodeIdentity& self = context.membership.self;
  const std::string host = *placement.host;
  WaitingCall call = ExtractWaitingCall(cell, placement.call);
  const double charge_s = ChargeStart(cell.queue, team_queue, context.now);
  GrantedSlot slot{.grant = {self.name, self.incarnation, state.next_grant++},
                   .call = std::move(call.call),
                   .attempt = call.attempt,
                   .team = std::move(call.team),
                   .queue_class = call.queue_class,
                   .host = host,
                   .start_time = context.now,
                   .deadline = call.deadline,
                   .next_check = context.now + kFirstGrantCheckDelay,
                   .charge_s = charge_s,
                   .holds_right = true};
  SendGrant(cell.id, slot, out);
  AddGrantedSlot(cell, slot);
}

void GrantSlots(DispatchState& state, const DispatchContext& context,
                Cell& cell, Outbox& out) {
  while (!cell.slots.hosts_by_free_slots.empty()) {
    const Pick pick = PickTeam(cell);
    if (pick.team_queue == nullptr) return;
    auto& waiting =
        pick.team_queue->waiting[static_cast<std::size_t>(pick.queue_class)];
    const Placement placement = FindPlacement(cell, waiting);
    if (placement.host == nullptr ||
        !AcquireRight(context.ceilings, context.snapshot,
                      pick.team_queue->team)) {
      BlockTeam(cell, *pick.team_queue);
      continue;
    }
    GrantSlot(state, context, cell, *pick.team_queue, placement, out);
  }
}

/// Refuses calls whose latest start has passed.
void RefuseExpired(Cell& cell, Instant now, Outbox& out) {
  auto& by_latest_start = cell.queue.by_latest_start;
  while (!by_latest_start.empty() &&
         by_latest_start.begin()->first.first <= now) {
    const WaitingCall call =
        ExtractWaitingCall(cell, by_latest_start.begin()->second);
    const TeamQueue& team_queue = cell.queue.teams.find(call.team)->second;
    const Reason reason =
        team_queue.blocked ? Reason::kCeiling : Reason::kDeadlineTooShort;
    SendRefusal(cell.id, call.call, call.attempt, reason, out);
  }
}

/// Refuses all calls when the cell has no usable worker.
void RefuseAllIfNoUsableHost(Cell& cell, Outbox& out) {
  if (cell.slots.usable_hosts > 0) return;
  while (!cell.queue.by_latest_start.empty()) {
    const WaitingCall call =
        ExtractWaitingCall(cell, cell.queue.by_latest_start.begin()->second);
    SendRefusal(cell.id, call.call, call.attempt, Reason::kNoCapacity, out);
  }
}

/// Returns the `max_lag` of UpdatePosition: the slot seconds of all slots in
/// kMaxLagSeconds, divided by 1 plus the weights of the teams with running
/// calls.
double MaxLag(const Cell& cell) {
  double weights = 1;
  for (const auto& [team, team_queue] : cell.queue.teams) {
    if (team_queue.running > 0) weights += team_queue.weight;
  }
  const auto slots = static_cast<double>(cell.slots.total_slots);
  return kMaxLagSeconds * std::max(1.0, slots) / weights;
}

/// Ends the usage interval when it is due: corrects the weights, unblocks all
/// teams and reports the cell's usage to ShareState.
void EndUsageInterval(Cell& cell, const DispatchContext& context) {
  if (context.now < cell.interval_end) return;
  const double seconds =
      std::chrono::duration<double>(context.now - cell.interval_start).count();
  cell.interval_start = context.now;
  cell.interval_end = context.now + kUsageInterval;
  if (seconds <= 0) return;
  const double max_lag = MaxLag(cell);
  double slots_elsewhere = 0;
  cell.usage.clear();
  for (auto& [team, team_queue] : cell.queue.teams) {
    const double used = MeasureUsage(team_queue, seconds, context.now);
    if (used > 0) cell.usage.emplace(team, used);
    const double used_elsewhere =
        UsageInOtherCells(context.share, cell.id, team);
    team_queue.fleet_slots +=
        kFleetSlotsGain * (used + used_elsewhere - team_queue.fleet_slots);
    slots_elsewhere += used_elsewhere;
    UpdatePosition(cell.queue, team_queue, max_lag, context.now);
  }
  CorrectWeights(cell.queue, slots_elsewhere >= kMinSlotsElsewhere);
  UnblockAllTeams(cell);
  if (!cell.owned) return RemoveCellReport(context.share, cell.id);
  SetCellReport(context.share, cell.id,
                {.usage = cell.usage,
                 .free_slots = cell.slots.free_slots,
                 .waiting = WaitingCount(cell.queue)});
}

/// Returns why a request can't be queued; kNone when it can.
Reason CheckRequest(Cell& cell, const Snapshot& snapshot,
                    const SlotRequest& request) {
  const Queue* queue = Find(snapshot.queues, request.queue);
  if (queue == nullptr) return Reason::kUnknownQueue;
  if (!HasUsableHost(cell.slots, request.excluded)) return Reason::kNoCapacity;
  const TeamQueue& team_queue =
      GetOrCreateTeamQueue(cell.queue, snapshot, request.team);
  std::int64_t waiting = 0;  // Of both classes.
  for (const auto& calls : team_queue.waiting) waiting += std::ssize(calls);
  if (waiting >= queue->max_waiting) return Reason::kQueueFull;
  if (ExpectedWait(team_queue, queue->queue_class) > request.remaining) {
    return Reason::kDeadlineTooShort;
  }
  return Reason::kNone;
}

/// Handles a request for a call that already waits or holds a slot. The same
/// attempt is sent its grant again if this dispatcher granted it; otherwise, an
/// attempt that is not newer is ignored. In both cases, the function returns
/// true. A newer attempt removes the earlier one, and the function returns
/// false: the request must be queued. So it does for an unknown call.
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
  const TeamQueue& team_queue =
      GetOrCreateTeamQueue(cell.queue, context.snapshot, request.team);
  AddWaitingCall(
      cell, context.snapshot,
      {.call = request.call,
       .attempt = request.attempt,
       .team = request.team,
       .queue = request.queue,
       .queue_class = queue.queue_class,
       .deadline = context.now + request.remaining,
       .latest_start = LatestStart(team_queue, request.remaining, context.now),
       .excluded = request.excluded});
}

void HandleSlotCancel(DispatchState& state, const SlotCancel& cancel) {
  auto cell = state.cells.find(cancel.cell);
  if (cell == state.cells.end()) return;
  auto it = cell->second.queue.by_call.find(cancel.call);
  if (it == cell->second.queue.by_call.end()) return;
  if (it->second->attempt <= cancel.attempt) {
    ExtractWaitingCall(cell->second, it->second);
  }
}

void FreeSlot(DispatchState& state, const DispatchContext& context, Cell& cell,
              const GrantId& grant, SlotResult result) {
  const GrantedSlot slot = ExtractGrantedSlot(cell, grant, result, context.now);
  if (slot.holds_right) {
    ReleaseRight(context.ceilings, slot.team);
    for (auto& [id, other] : state.cells) UnblockTeam(other, slot.team);
  }
  const bool changed = RecordResult(cell.health, slot.host, result,
                                    context.now - slot.start_time,
                                    std::ssize(cell.slots.hosts), context.now);
  if (changed) {
    RebuildSlotIndex(cell.slots, cell.id, context.snapshot, cell.health);
  }
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
    RefuseAllIfNoUsableHost(cell, out);
    EndUsageInterval(cell, context);
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
