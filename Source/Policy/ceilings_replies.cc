#include <algorithm>
#include <utility>

#include "Model/text.h"
#include "Policy/ceilings.h"
#include "Policy/ceilings_writes.h"

namespace hyssopbarrow {
namespace {

/// Delay of the next read after a failed read, and of the next transaction
/// after one that the unavailable store refused.
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
/// Time from sending a renewal of the lease until the next one is due.
constexpr Duration kRenewInterval = std::chrono::seconds(3);

/// Makes all rights of this incarnation unusable.
void Fence(CeilingsState& state) { state.stage = HolderStage::kFenced; }

/// Revision 0 means that the row doesn't exist.
void ApplyTeamRow(CeilingsState& state, const std::string& team,
                  const Row& row) {
  if (row.revision == 0) {
    state.ledgers.erase(team);
    return;
  }
  Versioned<TeamLedger>& known = state.ledgers[team];
  std::optional<TeamLedger> parsed = ParseTeamLedger(row.value);
  if (!parsed.has_value() || row.revision <= known.revision) return;
  known = {*std::move(parsed), row.revision};
  state.unchanged_shortfall_reads = 0;
}

/// Applies this host's own row of rights; fences this host if the row no longer
/// exists (revision 0) or is invalid. A later revision also settles a
/// transaction in doubt, which required the earlier revision and can't take
/// effect any more.
void ApplyOwnHeldRow(CeilingsState& state, const Row& row) {
  if (row.revision <= state.held.revision) {
    if (row.revision == 0) Fence(state);
    return;
  }
  std::optional<HeldLedger> parsed = ParseHeldLedger(row.value);
  if (!parsed.has_value()) return Fence(state);
  state.held = {*std::move(parsed), row.revision};
  state.unconfirmed_held.reset();
  state.in_doubt = false;
}

void ApplyOwnLeaseRow(CeilingsState& state, const Row& row) {
  std::optional<HolderLease> parsed = ParseHolderLease(row.value);
  if (!parsed.has_value() || parsed->ended) return Fence(state);
  if (row.revision <= state.lease.revision) return;
  state.lease = {*parsed, row.revision};
}

/// Applies a row returned by a read or with the conflict of a transaction.
void ApplyRightsRow(CeilingsState& state, const Row& row) {
  std::string_view key = row.key;
  if (ConsumePrefix(key, kTeamRightsPrefix)) {
    return ApplyTeamRow(state, std::string(key), row);
  }
  if (row.key == HeldRightsKey(state.self)) return ApplyOwnHeldRow(state, row);
  if (row.key == RightsLeaseKey(state.self)) {
    return ApplyOwnLeaseRow(state, row);
  }
}

void ApplyHolderLease(CeilingsState& state, const HolderId& id,
                      const HolderLease& lease, std::int64_t revision) {
  ObservedHolder& observed = state.holders[id];
  if (revision > observed.lease.revision) {
    observed.lease = {lease, revision};
    observed.lease_observed_time = state.now;
    observed.held.reset();
  }
  if (lease.ended && !observed.end_observed_time.has_value()) {
    observed.end_observed_time = state.now;
  }
}

/// Marks each incarnation as ended if a later incarnation of the same host is
/// registered. Fences this host if its own incarnation is one of them.
void MarkReplacedHolders(CeilingsState& state) {
  for (auto& [id, observed] : state.holders) {
    auto next = state.holders.upper_bound(id);
    if (next == state.holders.end() || next->first.name != id.name) continue;
    if (id == state.self) Fence(state);
    if (!observed.end_observed_time.has_value()) {
      observed.end_observed_time = state.now;
    }
  }
}

void ApplyLeaseRows(CeilingsState& state, const std::vector<Row>& rows) {
  std::map<HolderId, ObservedHolder> known = std::move(state.holders);
  state.holders.clear();
  for (const Row& row : rows) {
    std::string_view key = row.key;
    ConsumePrefix(key, kRightsLeasePrefix);
    const std::optional<HolderId> id = ParseHolderId(key);
    const std::optional<HolderLease> lease = ParseHolderLease(row.value);
    if (!id.has_value() || !lease.has_value()) continue;
    if (auto found = known.find(*id); found != known.end()) {
      state.holders.insert(known.extract(found));
    }
    ApplyHolderLease(state, *id, *lease, row.revision);
    if (*id == state.self && lease->ended) Fence(state);
  }
  MarkReplacedHolders(state);
  state.must_read_leases = false;
}

void ApplyHeldRows(CeilingsState& state, const HolderId& holder,
                   const std::vector<Row>& rows) {
  auto observed = state.holders.find(holder);
  if (observed == state.holders.end()) return;
  observed->second.held = Versioned<HeldLedger>{};
  for (const Row& row : rows) {
    if (row.key != HeldRightsKey(holder)) continue;
    std::optional<HeldLedger> parsed = ParseHeldLedger(row.value);
    if (parsed.has_value()) observed->second.held = {*parsed, row.revision};
  }
}

void HandleReadReply(CeilingsState& state, const StoreReply& reply) {
  const PendingRead read = std::exchange(state.pending_read, {});
  if (reply.status != StoreStatus::kOk) {
    const Instant retry = state.now + kRetryDelay;
    state.next_team_read = std::max(state.next_team_read, retry);
    state.next_lease_read = std::max(state.next_lease_read, retry);
    state.next_shortfall_read = std::max(state.next_shortfall_read, retry);
    return;
  }
  if (read.kind == RightsRead::kLeases) ApplyLeaseRows(state, reply.rows);
  if (read.kind == RightsRead::kHeld) {
    ApplyHeldRows(state, read.holder, reply.rows);
  }
  const bool has_team_rows = read.kind == RightsRead::kTeams ||
                             read.kind == RightsRead::kShortfallTeam;
  if (!has_team_rows) return;
  if (read.kind == RightsRead::kShortfallTeam) {
    ++state.unchanged_shortfall_reads;
  }
  for (const Row& row : reply.rows) ApplyRightsRow(state, row);
  state.ledgers_read = state.ledgers_read || read.kind == RightsRead::kTeams;
}

/// Applies a committed registration or renewal. Starts the new lease term at
/// the time of sending, which is not later than the commit. Clears
/// `must_renew`.
void ExtendLease(CeilingsState& state, const PendingWrite& write,
                 std::int64_t revision) {
  state.lease = {write.lease, revision};
  state.lease_deadline = write.sent_time + kRightsLeaseTerm;
  state.next_renewal = write.sent_time + kRenewInterval;
  state.must_renew = false;
}

void CompleteWrite(CeilingsState& state, const PendingWrite& write,
                   std::int64_t revision) {
  for (const auto& [team, ledger] : write.ledgers) {
    state.ledgers[team] = {ledger, revision};
  }
  switch (write.kind) {
    case RightsWrite::kRegister:
      state.stage = HolderStage::kRegistered;
      state.held = {{}, revision};
      state.next_lease_read = state.now;
      return ExtendLease(state, write, revision);
    case RightsWrite::kRenew:
      return ExtendLease(state, write, revision);
    case RightsWrite::kRebalance:
      state.held = {write.held, revision};
      state.unconfirmed_held.reset();
      state.in_doubt = false;
      return;
    case RightsWrite::kRelease:
      state.stage = HolderStage::kReleased;
      return;
    case RightsWrite::kReclaim:
      state.holders.erase(write.holder);
      state.next_lease_read = state.now;
      return;
    case RightsWrite::kNone:
      return;
  }
}

/// Completes an earlier registration of this incarnation that was committed but
/// whose reply was lost. The lease is renewed next, since its deadline is not
/// known.
void RecoverRegistration(CeilingsState& state) {
  if (state.stage != HolderStage::kUnregistered) return;
  if (state.lease.revision == 0 || state.held.revision == 0) return;
  state.stage = HolderStage::kRegistered;
  state.next_renewal = state.now;
}

/// Handles a transaction that was not committed. `rows` are the current rows
/// that the store returns with a conflict; empty otherwise.
void DiscardWrite(CeilingsState& state, const PendingWrite& write,
                  const std::vector<Row>& rows) {
  if (!state.in_doubt) state.unconfirmed_held.reset();
  if (write.kind == RightsWrite::kRebalance) {
    state.next_rebalance = state.rebalance_retry;
  }
  for (const Row& row : rows) ApplyRightsRow(state, row);
  if (write.kind == RightsWrite::kRegister) RecoverRegistration(state);
  if (write.kind != RightsWrite::kReclaim) return;
  state.next_lease_read = state.now;
  auto observed = state.holders.find(write.holder);
  if (observed != state.holders.end()) observed->second.held.reset();
}

void HandleWriteReply(CeilingsState& state, const StoreReply& reply) {
  const PendingWrite write = std::exchange(state.pending_write, {});
  const bool lost = reply.status == StoreStatus::kUnknown;
  state.lost_replies = lost ? state.lost_replies + 1 : 0;
  switch (reply.status) {
    case StoreStatus::kOk:
      return CompleteWrite(state, write, reply.revision);
    case StoreStatus::kConflict:
      return DiscardWrite(state, write, reply.rows);
    case StoreStatus::kUnavailable:
    case StoreStatus::kInvalid:
      state.next_write = state.now + kRetryDelay;
      return DiscardWrite(state, write, {});
    case StoreStatus::kUnknown:  // It may still take effect.
      state.next_rebalance = state.rebalance_retry;
      state.in_doubt = state.unconfirmed_held.has_value();
      return;
  }
}

}  // namespace

bool HandleRightsReply(CeilingsState& state, std::int64_t id,
                       const StoreReply& reply, Instant now) {
  if (id == 0) return false;
  BeginCeilingsStep(state, now);
  if (id == state.pending_read.id) {
    HandleReadReply(state, reply);
    return true;
  }
  if (id != state.pending_write.id) return false;
  HandleWriteReply(state, reply);
  return true;
}

}  // namespace hyssopbarrow
