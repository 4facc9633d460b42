#include "Policy/ceilings_writes.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace hyssopbarrow {
namespace {

using std::chrono::milliseconds;

/// Delay between holders that could take back the same rights.
constexpr Duration kReclaimStagger = milliseconds(250);

std::int64_t MillisecondsOf(Duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

std::int64_t LongestRunMs(const Snapshot& snapshot) {
  std::int64_t longest = 0;
  for (const auto& [name, queue] : snapshot.queues) {
    longest = std::max(longest, queue.timeout_ms);
  }
  return longest;
}

/// The holder's lease with its next sequence. `longest_run_ms` never falls, as
/// work granted under the earlier value may still run.
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

/// A want is written when it appears, vanishes or changes by half.
bool IsWorthWriting(std::int64_t written, std::int64_t want) {
  if ((written == 0) != (want == 0)) return true;
  return std::abs(want - written) * 2 > written;
}

void SetShortfall(TeamLedger& ledger, const std::string& holder,
                  std::int64_t want) {
  auto it = ledger.shortfalls.find(holder);
  const std::int64_t written = it == ledger.shortfalls.end() ? 0 : it->second;
  if (!IsWorthWriting(written, want)) return;
  if (want == 0) {
    ledger.shortfalls.erase(holder);
  } else {
    ledger.shortfalls[holder] = want;
  }
}

bool IsLive(const ObservedHolder& watch) {
  return !watch.lease.value.expired && !watch.end_observed_time.has_value();
}

/// The first live holder confirms ceilings that did not change, so that no
/// older snapshot is applied later.
bool ConfirmsCeilings(const CeilingsState& state) {
  for (const auto& [id, watch] : state.holders) {
    if (IsLive(watch)) return id == state.self;
  }
  return true;
}

/// Adds one team's part of a move; false when nothing changes.
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
    TeamLedger same = ledger;
    same.config_revision = known.value.config_revision;
    if (same == known.value) return false;
  }
  if (ledger == known.value) return false;
  SetRights(write.pending.held, team.name, plan.held);
  AddLedgerWrite(write, team.name, ledger, known.revision);
  return true;
}

/// Gives the rights of a team that is no longer in the table back to its row.
bool AddRemovedTeamRelease(const CeilingsState& state, const std::string& team,
                           const Rights& rights, PlannedWrite& write) {
  const TeamUse* use = Find(state.teams, team);
  const std::int64_t in_use = use == nullptr ? 0 : use->in_use;
  const std::int64_t given = std::max<std::int64_t>(Total(rights) - in_use, 0);
  if (given == 0) return false;
  Versioned<TeamLedger> known = LedgerOf(state, team);
  known.value.free += given;
  SetRights(write.pending.held, team, Total(rights) - given);
  AddLedgerWrite(write, team, known.value, known.revision);
  return true;
}

/// Adds the moves of all teams; false when nothing changes.
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

Instant ReclaimTime(const HolderLease& lease, Instant seen) {
  return seen + milliseconds(lease.term_ms + lease.longest_run_ms) +
         kClockDriftMargin;
}

/// When all work under a holder's floating rights must be over; nothing when
/// they were taken back already.
std::optional<Instant> FloatingReclaimTime(const ObservedHolder& watch) {
  if (watch.lease.value.expired) return std::nullopt;
  return ReclaimTime(watch.lease.value, watch.lease_observed_time);
}

/// When all work of an ended holder must be over.
std::optional<Instant> FullReclaimTime(const ObservedHolder& watch) {
  if (!watch.end_observed_time.has_value()) return std::nullopt;
  return ReclaimTime(watch.lease.value, std::max(watch.lease_observed_time,
                                                 *watch.end_observed_time));
}

bool IsDue(std::optional<Instant> due, Duration delay, Instant now) {
  return due.has_value() && *due + delay <= now;
}

/// Position of this host among the live ones, as a delay.
Duration StaggerOf(const CeilingsState& state) {
  Duration delay{};
  for (const auto& [id, watch] : state.holders) {
    if (id == state.self) break;
    if (IsLive(watch)) delay += kReclaimStagger;
  }
  return delay;
}

bool IsReclaimable(const CeilingsState& state, const HolderId& id,
                   const ObservedHolder& watch, Instant now) {
  if (id == state.self) return false;
  const Duration delay = StaggerOf(state);
  return IsDue(FullReclaimTime(watch), delay, now) ||
         IsDue(FloatingReclaimTime(watch), delay, now);
}

/// Adds `rights` of a holder to the free ones and removes its wants.
void AddFreedRights(const CeilingsState& state, const HolderId& holder,
                    const HeldLedger& rights, PlannedWrite& write) {
  std::map<std::string, Versioned<TeamLedger>> ledgers = state.ledgers;
  for (const auto& [team, given] : rights) {
    ledgers[team].value.free += Total(given);
  }
  for (auto& [team, ledger] : ledgers) {
    const bool wanted = ledger.value.shortfalls.erase(ToString(holder)) > 0;
    if (!wanted && Total(RightsOf(rights, team)) == 0) continue;
    AddLedgerWrite(write, team, ledger.value, ledger.revision);
  }
}

PlannedWrite ReclaimFloating(const CeilingsState& state, const HolderId& id,
                             const ObservedHolder& watch) {
  PlannedWrite write;
  HeldLedger taken;
  HeldLedger rest;
  for (const auto& [team, rights] : watch.held->value) {
    taken[team] = {.floor = 0, .floating = rights.floating};
    if (rights.floor > 0) rest[team] = {.floor = rights.floor};
  }
  AddFreedRights(state, id, taken, write);
  HolderLease lease = watch.lease.value;
  lease.expired = true;
  AddWrite(write, RightsLeaseKey(id), ToJson(lease));
  AddWrite(write, HeldRightsKey(id), ToJson(rest));
  return write;
}

PlannedWrite ReclaimAll(const CeilingsState& state, const HolderId& id,
                        const ObservedHolder& watch) {
  PlannedWrite write;
  AddFreedRights(state, id, watch.held->value, write);
  AddWrite(write, RightsLeaseKey(id), nullptr);
  AddWrite(write, HeldRightsKey(id), nullptr);
  return write;
}

PlannedWrite MakeReclaim(const CeilingsState& state, const HolderId& id,
                         const ObservedHolder& watch, bool all) {
  PlannedWrite write =
      all ? ReclaimAll(state, id, watch) : ReclaimFloating(state, id, watch);
  write.pending.kind = RightsWrite::kReclaim;
  write.pending.holder = id;
  AddCondition(write, RightsLeaseKey(id), watch.lease.revision);
  AddCondition(write, HeldRightsKey(id), watch.held->revision);
  return write;
}

}  // namespace

std::int64_t CountLiveHolders(const CeilingsState& state) {
  auto others = [&](const auto& it) {
    return it.first != state.self && IsLive(it.second);
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
  if (!state.in_doubt && !AddRebalances(state, context, write))
    return std::nullopt;
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
  for (const auto& [id, watch] : state.holders) {
    const bool unread = !watch.held.has_value();
    if (unread && IsReclaimable(state, id, watch, now)) return id;
  }
  return std::nullopt;
}

std::optional<PlannedWrite> PlanReclaim(const CeilingsState& state,
                                        const CeilingsContext& context) {
  for (const auto& [id, watch] : state.holders) {
    if (!watch.held.has_value()) continue;
    if (!IsReclaimable(state, id, watch, context.now)) continue;
    const bool all =
        IsDue(FullReclaimTime(watch), StaggerOf(state), context.now);
    return MakeReclaim(state, id, watch, all);
  }
  return std::nullopt;
}

}  // namespace hyssopbarrow
