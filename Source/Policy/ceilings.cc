#include "Policy/ceilings.h"

#include <algorithm>
#include <utility>

#include "Model/text.h"
#include "Policy/ceilings_writes.h"

namespace hyssopbarrow {
namespace {

using std::chrono::milliseconds;

/// Reply timeout of a store request. Doubled for each consecutive transaction
/// whose reply was lost, at most kMaxTimeoutDoublings times.
constexpr Duration kBaseRequestTimeout = milliseconds(150);
constexpr std::int64_t kMaxTimeoutDoublings = 4;

/// After a longer gap between two steps, rights are unusable until the ledger
/// has confirmed that this incarnation still holds them; see
/// CeilingsState::must_renew.
constexpr Duration kMaxStepGap = std::chrono::seconds(5);

/// Minimum interval between rebalancing transactions of one holder. It grows
/// with the number of holders, so that all of them together send at most 100
/// transactions per second.
constexpr Duration kMinRebalanceInterval = milliseconds(50);
constexpr Duration kRebalanceIntervalPerHolder = milliseconds(10);

/// A failed rebalancing is retried after the interval divided by this.
constexpr std::int64_t kRebalanceRetryDivisor = 4;

/// Minimum intervals between reads of all team rows and of all lease rows. They
/// grow with the number of rows to bound the bytes read per second.
constexpr Duration kMinTeamReadInterval = milliseconds(200);
constexpr Duration kTeamReadIntervalPerRow = milliseconds(20);
constexpr Duration kMinLeaseReadInterval = std::chrono::seconds(1);
constexpr Duration kLeaseReadIntervalPerRow = milliseconds(100);

/// Interval between reads of single team rows that record a shortfall of this
/// host: a minimum, and an amount per holder where that is longer.
constexpr Duration kMinShortfallReadInterval = milliseconds(50);
constexpr Duration kShortfallReadIntervalPerHolder = milliseconds(8);

/// The interval between shortfall reads grows by the interval above after every
/// kUnchangedReadsPerBackoff reads in a row that returned no change, up to
/// kMaxBackoffFactor times that interval.
constexpr std::int64_t kUnchangedReadsPerBackoff = 8;
constexpr std::int64_t kMaxBackoffFactor = 6;

Instant ReplyDeadline(const CeilingsState& state) {
  const std::int64_t doublings =
      std::min(state.lost_replies, kMaxTimeoutDoublings);
  return state.now + kBaseRequestTimeout * (std::int64_t{1} << doublings);
}

void SendWrite(CeilingsState& state, PlannedWrite write,
               std::int64_t& next_request_id, Outbox& out) {
  state.pending_write = std::move(write.pending);
  state.pending_write.id = next_request_id++;
  state.pending_write.sent_time = state.now;
  out.store_requests.push_back({state.pending_write.id,
                                std::move(write.transaction),
                                ReplyDeadline(state)});
}

void SendRead(CeilingsState& state, RightsRead kind, std::string prefix,
              std::int64_t& next_request_id, Outbox& out) {
  state.pending_read = {.id = next_request_id++, .kind = kind, .holder = {}};
  out.store_requests.push_back({state.pending_read.id,
                                StoreRead{std::move(prefix)},
                                ReplyDeadline(state)});
}

/// Returns the interval for a table with `rows`: `per_row` for each of them,
/// but at least `min_interval`.
template <typename Table>
Duration IntervalFor(Duration min_interval, Duration per_row,
                     const Table& rows) {
  return std::max(min_interval, per_row * std::ssize(rows));
}

/// Returns the next team, in round-robin order, of which this host has a
/// shortfall; null when there is none.
const std::string* NextShortfallTeam(const CeilingsState& state) {
  const std::string self = ToString(state.self);
  const std::string* first = nullptr;
  for (const auto& [team, ledger] : state.ledgers) {
    if (Find(ledger.value.shortfalls, self) == nullptr) continue;
    if (team > state.last_shortfall_team) return &team;
    if (first == nullptr) first = &team;
  }
  return first;
}

void SendShortfallRead(CeilingsState& state, std::int64_t& next_request_id,
                       Outbox& out) {
  if (state.now < state.next_shortfall_read) return;
  const std::string* team = NextShortfallTeam(state);
  if (team == nullptr) return;
  SendRead(state, RightsRead::kShortfallTeam, TeamRightsKey(*team),
           next_request_id, out);
  state.last_shortfall_team = *team;
  const std::int64_t backoff_factor =
      std::min(1 + state.unchanged_shortfall_reads / kUnchangedReadsPerBackoff,
               kMaxBackoffFactor);
  state.next_shortfall_read =
      state.now + backoff_factor * IntervalFor(kMinShortfallReadInterval,
                                               kShortfallReadIntervalPerHolder,
                                               state.holders);
}

void TickReads(CeilingsState& state, std::int64_t& next_request_id,
               Outbox& out) {
  if (state.pending_read.kind != RightsRead::kNone) return;
  if (const auto holder = FindUnreadHolder(state, state.now)) {
    SendRead(state, RightsRead::kHeld, HeldRightsKey(*holder), next_request_id,
             out);
    state.pending_read.holder = *holder;
  } else if (state.now >= state.next_lease_read) {
    SendRead(state, RightsRead::kLeases, std::string(kRightsLeasePrefix),
             next_request_id, out);
    state.next_lease_read =
        state.now + IntervalFor(kMinLeaseReadInterval, kLeaseReadIntervalPerRow,
                                state.holders);
  } else if (state.now >= state.next_team_read) {
    SendRead(state, RightsRead::kTeams, std::string(kTeamRightsPrefix),
             next_request_id, out);
    state.next_team_read =
        state.now + IntervalFor(kMinTeamReadInterval, kTeamReadIntervalPerRow,
                                state.ledgers);
  } else {
    SendShortfallRead(state, next_request_id, out);
  }
}

bool UsesNoRights(const CeilingsState& state) {
  auto is_unused = [](const auto& entry) { return entry.second.in_use == 0; };
  return std::all_of(state.teams.begin(), state.teams.end(), is_unused);
}

/// Sets the limits while the lease is expired. Rights can't be transferred
/// then, so a team's limit is lower than its ceiling only while more rights are
/// held than a lowered ceiling allows. UsableRights excludes floating rights.
void LimitAfterLeaseExpiry(CeilingsState& state) {
  for (auto& [team, use] : state.teams) {
    const Versioned<TeamLedger>* ledger = Find(state.ledgers, team);
    const Rights* held = Find(state.held.value, team);
    if (ledger == nullptr || held == nullptr) continue;
    use.limit = ProRataLimit(Total(*held), ledger->value);
  }
}

void SendRebalance(CeilingsState& state, const CeilingsContext& context,
                   std::int64_t& next_request_id, Outbox& out) {
  // Also updates the limits and demand peaks, even if no transaction is due.
  std::optional<PlannedWrite> rebalance = PlanRebalance(state, context);
  if (!rebalance.has_value() || state.now < state.next_rebalance) return;
  state.unconfirmed_held = state.in_doubt
                               ? state.unconfirmed_held
                               : std::optional(rebalance->pending.held);
  const Duration interval = IntervalFor(
      kMinRebalanceInterval, kRebalanceIntervalPerHolder, state.holders);
  state.next_rebalance = state.now + interval;
  state.rebalance_retry = state.now + interval / kRebalanceRetryDivisor;
  SendWrite(state, *std::move(rebalance), next_request_id, out);
}

/// Sends at most one transaction: the most urgent one that is due.
void TickWrites(CeilingsState& state, const CeilingsContext& context,
                std::int64_t& next_request_id, Outbox& out) {
  if (state.pending_write.kind != RightsWrite::kNone) return;
  if (state.now < state.next_write) return;
  if (state.stage == HolderStage::kUnregistered) {
    if (!context.stopping) {
      SendWrite(state, PlanRegister(state, context), next_request_id, out);
    }
    return;
  }
  if (state.now >= state.next_renewal) {
    return SendWrite(state, PlanRenew(state, context), next_request_id, out);
  }
  if (context.stopping && UsesNoRights(state) && !state.in_doubt) {
    return SendWrite(state, PlanRelease(state), next_request_id, out);
  }
  if (state.now < state.lease_deadline && state.ledgers_read) {
    SendRebalance(state, context, next_request_id, out);
  }
  if (state.pending_write.kind != RightsWrite::kNone) return;
  if (auto reclaim = PlanReclaim(state, context)) {
    SendWrite(state, *std::move(reclaim), next_request_id, out);
  }
}

/// Returns whether `snapshot` allows runs longer than the run time published in
/// this host's lease. Other hosts rely on that time to reclaim rights.
bool ExceedsPublishedRunTime(const CeilingsState& state,
                             const Snapshot& snapshot) {
  auto longer = [&](const auto& entry) {
    return entry.second.timeout_ms > state.lease.value.longest_run_ms;
  };
  return std::any_of(snapshot.queues.begin(), snapshot.queues.end(), longer);
}

Rights MinRights(const Rights& a, const Rights& b) {
  return {.floor = std::min(a.floor, b.floor),
          .floating = std::min(a.floating, b.floating)};
}

/// Returns the rights of `team` that this host holds whether or not the
/// rebalancing in CeilingsState::unconfirmed_held takes effect.
Rights GuaranteedRights(const CeilingsState& state, const std::string& team) {
  auto find = [&](const HeldLedger& held) {
    const Rights* rights = Find(held, team);
    return rights == nullptr ? Rights{} : *rights;
  };
  const Rights confirmed = find(state.held.value);
  if (!state.unconfirmed_held.has_value()) return confirmed;
  return MinRights(confirmed, find(*state.unconfirmed_held));
}

}  // namespace

void BeginCeilingsStep(CeilingsState& state, Instant now) {
  const bool has_earlier_step = state.now != Instant{};
  if (has_earlier_step && now - state.now > kMaxStepGap) {
    state.must_renew = true;
    state.must_read_leases = true;
    state.next_renewal = now;
    state.next_lease_read = now;
    state.pending_write = {};
    state.pending_read = {};
    state.in_doubt = state.unconfirmed_held.has_value();
  }
  state.now = now;
}

std::int64_t UsableRights(const CeilingsState& state, const std::string& team) {
  if (state.stage != HolderStage::kRegistered) return 0;
  if (state.must_renew || state.must_read_leases) return 0;
  const Rights rights = GuaranteedRights(state, team);
  const bool lease_valid = state.now < state.lease_deadline;
  const std::int64_t usable = lease_valid ? Total(rights) : rights.floor;
  const TeamUse* use = Find(state.teams, team);
  const bool limited = use != nullptr && use->has_limit;
  return limited ? std::min(usable, use->limit) : usable;
}

bool AcquireRight(CeilingsState& state, const Snapshot& snapshot,
                  const std::string& team) {
  if (team.empty()) return true;
  const Team* row = Find(snapshot.teams, team);
  if (row == nullptr || ExceedsPublishedRunTime(state, snapshot)) return false;
  TeamUse& use = state.teams[team];
  const std::int64_t usable = UsableRights(state, team);
  if (use.in_use >= std::min(usable, row->ceiling)) return false;
  ++use.in_use;
  return true;
}

void ReleaseRight(CeilingsState& state, const std::string& team) {
  auto it = state.teams.find(team);
  if (it != state.teams.end() && it->second.in_use > 0) --it->second.in_use;
}

void SetWaitingWork(CeilingsState& state,
                    const std::map<std::string, std::int64_t>& waiting) {
  for (auto& [team, use] : state.teams) use.waiting = 0;
  for (const auto& [team, n] : waiting) state.teams[team].waiting = n;
}

void TickCeilings(CeilingsState& state, const CeilingsContext& context,
                  std::int64_t& next_request_id, Outbox& out) {
  BeginCeilingsStep(state, context.now);
  state.self = context.self;
  const bool is_final_stage = state.stage == HolderStage::kFenced ||
                              state.stage == HolderStage::kReleased;
  if (is_final_stage) return;
  if (ExceedsPublishedRunTime(state, context.snapshot)) {
    state.next_renewal = std::min(state.next_renewal, context.now);
  }
  if (context.now >= state.lease_deadline) LimitAfterLeaseExpiry(state);
  TickReads(state, next_request_id, out);
  TickWrites(state, context, next_request_id, out);
}

void MarkHolderEnded(CeilingsState& state, const HolderId& holder,
                     Instant now) {
  auto it = state.holders.find(holder);
  if (it == state.holders.end() || it->second.end_observed_time.has_value()) {
    return;
  }
  it->second.end_observed_time = now;
}

bool AreRightsReleased(const CeilingsState& state) {
  return state.stage != HolderStage::kRegistered;
}

}  // namespace hyssopbarrow
