#include "Policy/ceilings_writes.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace hyssopbarrow {
namespace {

using std::chrono::milliseconds;

/// In the order of HolderId, each live holder waits this much longer than the
/// one before it to reclaim rights, so that they don't all send the same
/// transaction.
constexpr Duration kReclaimStagger = milliseconds(250);

std::int64_t MillisecondsOf(Duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

/// Returns the longest timeout of all queues: no run is longer.
std::int64_t LongestRunMs(const Snapshot& snapshot) {
  std::int64_t longest = 0;
  for (const auto& [name, queue] : snapshot.queues) {
    longest = std::max(longest, queue.timeout_ms);
  }
  return longest;
}

/// Returns this host's lease with the next sequence number. `longest_run_ms`
/// never decreases, since work started under an earlier, longer maximum may
/// still run.
HolderLease NextLease(const CeilingsState& state, const Snapshot& snapshot) {
  const HolderLease& lease = state.lease.value;
  return {
      .sequence = lease.sequence + 1,
      .term_ms = MillisecondsOf(kRightsLeaseTerm),
      .longest_run_ms = std::max(lease.longest_run_ms, LongestRunMs(snapshot))};
}

void AddCondition(PlannedWrite& write, const std::string& key,
                  std::int64_t revision) {
  write.transaction.conditions.push_back({key, revision});
}

void AddWrite(PlannedWrite& write, const std::string& key,
              nlohmann::json value) {
  write.transaction.writes.push_back({key, std::move(value)});
}

Versioned<TeamLedger> LedgerOf(const CeilingsState& state,
                               const std::string& team) {
  auto it = state.ledgers.find(team);
  return it == state.ledgers.end() ? Versioned<TeamLedger>{} : it->second;
}

/// Adds the write of a team row and the condition that the row still has
/// `revision`.
void AddLedgerWrite(PlannedWrite& write, const std::string& team,
                    const TeamLedger& ledger, std::int64_t revision) {
  const std::string key = TeamRightsKey(team);
  AddCondition(write, key, revision);
  AddWrite(write, key, ToJson(ledger));
  write.pending.ledgers.emplace(team, ledger);
}

Rights RightsOf(const HeldLedger& held, const std::string& team) {
  auto it = held.find(team);
  return it == held.end() ? Rights{} : it->second;
}

void SetRights(HeldLedger& held, const std::string& team, std::int64_t total) {
  if (total == 0) {
    held.erase(team);
  } else {
    held[team] = SplitRights(total);
  }
}

/// A shortfall is written when it appears, disappears or changes by more than
/// half.
bool MustWriteShortfall(std::int64_t written, std::int64_t shortfall) {
  if ((written == 0) != (shortfall == 0)) return true;
  return std::abs(shortfall - written) * 2 > written;
}

void SetShortfall(TeamLedger& ledger, const std::string& holder,
                  std::int64_t shortfall) {
  auto it = ledger.shortfalls.find(holder);
  const std::int64_t written = it == ledger.shortfalls.end() ? 0 : it->second;
  if (!MustWriteShortfall(written, shortfall)) return;
  if (shortfall == 0) {
    ledger.shortfalls.erase(holder);
  } else {
    ledger.shortfalls[holder] = shortfall;
  }
}

/// Returns whether no rights of the holder were reclaimed and it is not known
/// to have ended.
bool IsLive(const ObservedHolder& observed) {
  return !observed.lease.value.expired &&
         !observed.end_observed_time.has_value();
}

/// Returns whether this host is the first live holder. Only that one writes the
/// snapshot revision to team rows whose ceiling did not change, so that no
/// older snapshot is applied later.
bool ConfirmsCeilings(const CeilingsState& state) {
  for (const auto& [id, observed] : state.holders) {
    if (IsLive(observed)) return id == state.self;
  }
  return true;
}

/// Sets the limit of one team in `state` and adds the changes of its rights to
/// `write`. Returns false when nothing changes in the ledger.
bool AddTeamRebalance(CeilingsState& state, const CeilingsContext& context,
                      const Team& team, PlannedWrite& write) {
  const Versioned<TeamLedger> known = LedgerOf(state, team.name);
  TeamLedger ledger =
      WithCeiling(known.value, team.ceiling, context.snapshot.revision);
  TeamUse& use = state.teams[team.name];
  const std::int64_t demand = use.in_use + use.waiting;
  const std::int64_t held = Total(RightsOf(state.held.value, team.name));
  const TeamPlan plan =
      PlanRights({.in_use = use.in_use,
                  .demand = demand,
                  .peak = ObserveDemand(use.peak, demand, context.now),
                  .held = held,
                  .holders = CountLiveHolders(state)},
                 ledger, ToString(state.self), context.stopping);
  use.limit = plan.limit;
  use.has_limit = true;
  ledger.free -= plan.held - held;
  SetShortfall(ledger, ToString(state.self), plan.shortfall);
  if (ledger.ceiling == known.value.ceiling && !ConfirmsCeilings(state)) {
    // A change of only the snapshot revision is left to the first live holder.
    TeamLedger with_known_revision = ledger;
    with_known_revision.config_revision = known.value.config_revision;
    if (with_known_revision == known.value) return false;
  }
  if (ledger == known.value) return false;
  SetRights(write.pending.held, team.name, plan.held);
  AddLedgerWrite(write, team.name, ledger, known.revision);
  return true;
}

/// Releases the unused rights of a team that was removed from the
/// configuration. Returns false when there are none.
bool AddRemovedTeamRelease(const CeilingsState& state, const std::string& team,
                           const Rights& rights, PlannedWrite& write) {
  const TeamUse* use = Find(state.teams, team);
  const std::int64_t in_use = use == nullptr ? 0 : use->in_use;
  const std::int64_t released =
      std::max<std::int64_t>(Total(rights) - in_use, 0);
  if (released == 0) return false;
  Versioned<TeamLedger> known = LedgerOf(state, team);
  known.value.free += released;
  SetRights(write.pending.held, team, Total(rights) - released);
  AddLedgerWrite(write, team, known.value, known.revision);
  return true;
}

/// Sets the limits of all teams in `state` and adds the changes of their rights
/// to `write`. Returns false when nothing changes in the ledger.
bool AddRebalances(CeilingsState& state, const CeilingsContext& context,
                   PlannedWrite& write) {
  bool changes = false;
  for (const auto& [name, team] : context.snapshot.teams) {
    if (AddTeamRebalance(state, context, team, write)) changes = true;
  }
  for (const auto& [team, rights] : state.held.value) {
    if (Find(context.snapshot.teams, team) != nullptr) continue;
    if (AddRemovedTeamRelease(state, team, rights, write)) changes = true;
  }
  return changes;
}

/// Returns when work started under `lease` must have ended, if the lease was
/// renewed no later than `observed_time`.
Instant ReclaimTime(const HolderLease& lease, Instant observed_time) {
  return observed_time + milliseconds(lease.term_ms + lease.longest_run_ms) +
         kClockDriftMargin;
}

/// Returns when all work under a holder's floating rights must have ended;
/// nullopt when they were already reclaimed.
std::optional<Instant> FloatingReclaimTime(const ObservedHolder& observed) {
  if (observed.lease.value.expired) return std::nullopt;
  return ReclaimTime(observed.lease.value, observed.lease_observed_time);
}

/// Returns when all work of an ended holder must have ended; nullopt when the
/// holder is not known to have ended.
std::optional<Instant> AllRightsReclaimTime(const ObservedHolder& observed) {
  if (!observed.end_observed_time.has_value()) return std::nullopt;
  return ReclaimTime(
      observed.lease.value,
      std::max(observed.lease_observed_time, *observed.end_observed_time));
}

bool IsDue(std::optional<Instant> reclaim_time, Duration delay, Instant now) {
  return reclaim_time.has_value() && *reclaim_time + delay <= now;
}

/// Returns kReclaimStagger times this host's position among the live holders.
Duration StaggerOf(const CeilingsState& state) {
  Duration delay{};
  for (const auto& [id, observed] : state.holders) {
    if (id == state.self) break;
    if (IsLive(observed)) delay += kReclaimStagger;
  }
  return delay;
}

bool IsReclaimable(const CeilingsState& state, const HolderId& id,
                   const ObservedHolder& observed, Instant now) {
  if (id == state.self) return false;
  const Duration delay = StaggerOf(state);
  return IsDue(AllRightsReclaimTime(observed), delay, now) ||
         IsDue(FloatingReclaimTime(observed), delay, now);
}

/// Adds `rights` of a holder to the free rights of the team rows and removes
/// the holder's shortfalls.
void AddFreedRights(const CeilingsState& state, const HolderId& holder,
                    const HeldLedger& rights, PlannedWrite& write) {
  std::map<std::string, Versioned<TeamLedger>> ledgers = state.ledgers;
  for (const auto& [team, released] : rights) {
    ledgers[team].value.free += Total(released);
  }
  for (auto& [team, ledger] : ledgers) {
    const bool had_shortfall =
        ledger.value.shortfalls.erase(ToString(holder)) > 0;
    if (!had_shortfall && Total(RightsOf(rights, team)) == 0) continue;
    AddLedgerWrite(write, team, ledger.value, ledger.revision);
  }
}

PlannedWrite ReclaimFloating(const CeilingsState& state, const HolderId& id,
                             const ObservedHolder& observed) {
  PlannedWrite write;
  HeldLedger reclaimed;
  HeldLedger remaining;
  for (const auto& [team, rights] : observed.held->value) {
    reclaimed[team] = {.floor = 0, .floating = rights.floating};
    if (rights.floor > 0) remaining[team] = {.floor = rights.floor};
  }
  AddFreedRights(state, id, reclaimed, write);
  HolderLease lease = observed.lease.value;
  lease.expired = true;
  AddWrite(write, RightsLeaseKey(id), ToJson(lease));
  AddWrite(write, HeldRightsKey(id), ToJson(remaining));
  return write;
}

PlannedWrite ReclaimAll(const CeilingsState& state, const HolderId& id,
                        const ObservedHolder& observed) {
  PlannedWrite write;
  AddFreedRights(state, id, observed.held->value, write);
  AddWrite(write, RightsLeaseKey(id), nullptr);
  AddWrite(write, HeldRightsKey(id), nullptr);
  return write;
}

/// Reclaims the floating rights of a holder and, `with_floor`, also its floors.
PlannedWrite MakeReclaim(const CeilingsState& state, const HolderId& id,
                         const ObservedHolder& observed, bool with_floor) {
  PlannedWrite write = with_floor ? ReclaimAll(state, id, observed)
                                  : ReclaimFloating(state, id, observed);
  write.pending.kind = RightsWrite::kReclaim;
  write.pending.holder = id;
  AddCondition(write, RightsLeaseKey(id), observed.lease.revision);
  AddCondition(write, HeldRightsKey(id), observed.held->revision);
  return write;
}

}  // namespace

std::int64_t CountLiveHolders(const CeilingsState& state) {
  auto others = [&](const auto& entry) {
    return entry.first != state.self && IsLive(entry.second);
  };
  return 1 + std::count_if(state.holders.begin(), state.holders.end(), others);
}

PlannedWrite PlanRegister(const CeilingsState& state,
                          const CeilingsContext& context) {
  PlannedWrite write;
  write.pending.kind = RightsWrite::kRegister;
  write.pending.lease = NextLease(state, context.snapshot);
  AddCondition(write, RightsLeaseKey(state.self), 0);
  AddCondition(write, HeldRightsKey(state.self), 0);
  AddWrite(write, RightsLeaseKey(state.self), ToJson(write.pending.lease));
  AddWrite(write, HeldRightsKey(state.self), ToJson(HeldLedger{}));
  return write;
}

PlannedWrite PlanRenew(const CeilingsState& state,
                       const CeilingsContext& context) {
  PlannedWrite write;
  write.pending.kind = RightsWrite::kRenew;
  write.pending.lease = NextLease(state, context.snapshot);
  AddCondition(write, RightsLeaseKey(state.self), state.lease.revision);
  AddCondition(write, HeldRightsKey(state.self), state.held.revision);
  AddWrite(write, RightsLeaseKey(state.self), ToJson(write.pending.lease));
  return write;
}

std::optional<PlannedWrite> PlanRebalance(CeilingsState& state,
                                          const CeilingsContext& context) {
  PlannedWrite write;
  write.pending.kind = RightsWrite::kRebalance;
  write.pending.held = state.held.value;
  if (!state.in_doubt && !AddRebalances(state, context, write)) {
    return std::nullopt;
  }
  AddCondition(write, HeldRightsKey(state.self), state.held.revision);
  AddWrite(write, HeldRightsKey(state.self), ToJson(write.pending.held));
  return write;
}

PlannedWrite PlanRelease(const CeilingsState& state) {
  PlannedWrite write;
  write.pending.kind = RightsWrite::kRelease;
  AddFreedRights(state, state.self, state.held.value, write);
  AddCondition(write, RightsLeaseKey(state.self), state.lease.revision);
  AddCondition(write, HeldRightsKey(state.self), state.held.revision);
  AddWrite(write, RightsLeaseKey(state.self), nullptr);
  AddWrite(write, HeldRightsKey(state.self), nullptr);
  return write;
}

std::optional<HolderId> FindUnreadHolder(const CeilingsState& state,
                                         Instant now) {
  for (const auto& [id, observed] : state.holders) {
    const bool unread = !observed.held.has_value();
    if (unread && IsReclaimable(state, id, observed, now)) return id;
  }
  return std::nullopt;
}

std::optional<PlannedWrite> PlanReclaim(const CeilingsState& state,
                                        const CeilingsContext& context) {
  for (const auto& [id, observed] : state.holders) {
    if (!observed.held.has_value()) continue;
    if (!IsReclaimable(state, id, observed, context.now)) continue;
    const bool with_floor =
        IsDue(AllRightsReclaimTime(observed), StaggerOf(state), context.now);
    return MakeReclaim(state, id, observed, with_floor);
  }
  return std::nullopt;
}

}  // namespace hyssopbarrow
