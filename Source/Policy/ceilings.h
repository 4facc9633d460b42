#ifndef HYSSOPBARROW_POLICY_CEILINGS_H_
#define HYSSOPBARROW_POLICY_CEILINGS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Model/row.h"
#include "Model/snapshot.h"
#include "Model/time.h"
#include "Policy/ceilings_demand.h"
#include "Policy/ceilings_ledger.h"
#include "Policy/effects.h"

namespace hyssopbarrow {

/// Whether this host's incarnation may hold rights.
enum class HolderStage {
  kUnregistered,  ///< Its rows are not in the ledger yet.
  kRegistered,    ///< May hold and use rights.
  kReleased,      ///< Stopped, all rights released.
  kFenced,        ///< Its rights were reclaimed, or a later incarnation exists.
};

/// Use of one team's rights at this host.
struct TeamUse {
  std::int64_t in_use = 0;   ///< Rights acquired and not yet released.
  std::int64_t waiting = 0;  ///< Waiting calls.
  std::int64_t limit = 0;    ///< Maximum of `in_use`, set by the last plan.
  bool has_limit = false;    ///< Whether `limit` has been set.
  DemandPeak peak;           ///< Of `in_use + waiting`.
};

/// An incarnation of an entry host, as last read from its rows. Times are of
/// this host's clock.
struct ObservedHolder {
  Versioned<HolderLease> lease;
  Instant lease_observed_time;  ///< When `lease` was first read.
  /// When the incarnation was first known to have ended.
  std::optional<Instant> end_observed_time;
  std::optional<Versioned<HeldLedger>> held;  ///< Read before a reclaim.
};

/// Kind of a transaction on the ledger, which is kept in the platform's table.
enum class RightsWrite {
  kNone,
  kRegister,   ///< Creates this host's rows.
  kRenew,      ///< Extends this host's lease.
  kRebalance,  ///< Acquires and releases rights by demand.
  kRelease,    ///< Releases all rights and removes this host's rows.
  kReclaim,    ///< Frees the rights of another holder.
};

/// Kind of a read of the ledger.
enum class RightsRead {
  kNone,
  kTeams,          ///< All team rows.
  kShortfallTeam,  ///< One team row with a shortfall (unmet need) of this host.
  kLeases,         ///< All lease rows.
  kHeld,           ///< The row with the rights of one holder.
};

/// The transaction in flight. There is at most one.
struct PendingWrite {
  std::int64_t id = 0;
  RightsWrite kind = RightsWrite::kNone;
  Instant sent_time;
  HeldLedger held;                            ///< Own row after kRebalance.
  std::map<std::string, TeamLedger> ledgers;  ///< Rows after the transaction.
  HolderLease lease;                          ///< Own row after kRenew.
  HolderId holder;                            ///< Whose rights are reclaimed.
};

/// The read in flight. There is at most one.
struct PendingRead {
  std::int64_t id = 0;
  RightsRead kind = RightsRead::kNone;
  HolderId holder;  ///< Whose row is read by kHeld.
};

/// The rights of this host and its view of the ledger.
struct CeilingsState {
  HolderId self;
  HolderStage stage = HolderStage::kUnregistered;
  Instant now;  ///< Set by BeginCeilingsStep.
  /// Both are set after a long gap between steps. Rights are unusable until the
  /// lease has been renewed (`must_renew`) and the lease rows, read after the
  /// gap, show no later incarnation of this host (`must_read_leases`).
  bool must_renew = false;
  bool must_read_leases = false;
  Versioned<HolderLease> lease;
  /// `Rights::floating` is usable until then, `Rights::floor` also later.
  Instant lease_deadline;
  Versioned<HeldLedger> held;
  /// Own row as written by a rebalancing that may or may not take effect: its
  /// reply is awaited or, if `in_doubt`, was lost.
  std::optional<HeldLedger> unconfirmed_held;
  bool in_doubt = false;  ///< The reply about `unconfirmed_held` was lost.
  std::map<std::string, TeamUse> teams;
  std::map<std::string, Versioned<TeamLedger>> ledgers;
  bool ledgers_read = false;  ///< All team rows were read at least once.
  std::map<HolderId, ObservedHolder> holders;  ///< Including this host.
  PendingWrite pending_write;
  PendingRead pending_read;
  // Earliest times of the next transactions and reads.
  Instant next_write;
  Instant next_rebalance;
  Instant rebalance_retry;  ///< `next_rebalance` if the last one fails.
  Instant next_renewal;
  Instant next_team_read;
  Instant next_shortfall_read;
  std::string last_shortfall_team;  ///< Team read by the last kShortfallTeam.
  /// Consecutive reads of kShortfallTeam that returned no change.
  std::int64_t unchanged_shortfall_reads = 0;
  std::int64_t lost_replies = 0;  ///< Consecutive writes without a reply.
  Instant next_lease_read;
};

/// Inputs of TickCeilings.
struct CeilingsContext {
  const Snapshot& snapshot;
  HolderId self;
  bool stopping = false;
  Instant now;
};

/// Sets the time of the step to `now`. Call this before any other function of
/// the step, so that no right is used after its deadline.
void BeginCeilingsStep(CeilingsState& state, Instant now);

/// Acquires one right to run work of `team`. Returns false when none is usable,
/// or when the snapshot allows longer runs than the maximum run time in this
/// host's lease row. Always succeeds for work without a team.
bool AcquireRight(CeilingsState& state, const Snapshot& snapshot,
                  const std::string& team);

/// Releases a right acquired by AcquireRight.
void ReleaseRight(CeilingsState& state, const std::string& team);

/// Returns the number of rights of `team` that this host may have in use now.
std::int64_t UsableRights(const CeilingsState& state, const std::string& team);

/// Sets the number of waiting calls of each team at this host.
void SetWaitingWork(CeilingsState& state,
                    const std::map<std::string, std::int64_t>& waiting);

/// Renews the lease, rebalances rights by demand and reclaims the rights of
/// ended or expired holders, each when it is due.
void TickCeilings(CeilingsState& state, const CeilingsContext& context,
                  std::int64_t& next_request_id, Outbox& out);

/// Handles a reply of the store. Returns false when neither the pending read
/// nor the pending write has the id `id`.
bool HandleRightsReply(CeilingsState& state, std::int64_t id,
                       const StoreReply& reply, Instant now);

/// Marks a holder as ended, after the platform's list of processes has omitted
/// it for longer than the list may be out of date. Its rights are reclaimed
/// once all work under them must have ended.
void MarkHolderEnded(CeilingsState& state, const HolderId& holder, Instant now);

/// Returns whether this host needs to release no rights before it stops: it
/// isn't registered, has released them or is fenced.
bool AreRightsReleased(const CeilingsState& state);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CEILINGS_H_
