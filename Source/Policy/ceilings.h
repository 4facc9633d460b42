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

/// Whether this host may hold rights.
enum class HolderStage {
  kUnregistered,  ///< Its rows are not in the ledger yet.
  kRegistered,
  kReleased,  ///< Stopped, and all rights are given back.
  kFenced,    ///< Its rights were taken back or another run replaced it.
};

/// Use of one team's rights at this host.
struct TeamUse {
  std::int64_t in_use = 0;
  std::int64_t waiting = 0;
  std::int64_t limit = 0;  ///< Most that the last plan lets be in use.
  bool has_limit = false;  ///< Whether `limit` was planned yet.
  DemandPeak peak;
};

/// Another run of an entry host, as its rows show it.
struct ObservedHolder {
  Versioned<HolderLease> lease;
  Instant lease_observed_time;  ///< First saw this revision of the lease.
  std::optional<Instant>
      end_observed_time;  ///< First saw proof that the run ended.
  std::optional<Versioned<HeldLedger>> held;
};

/// Transactions of this system.
enum class RightsWrite {
  kNone,
  kRegister,
  kRenew,
  kRebalance,
  kRelease,
  kReclaim
};

/// Reads of this system.
enum class RightsRead { kNone, kTeams, kShortfallTeam, kLeases, kHeld };

/// The transaction in flight. At most one is.
struct PendingWrite {
  std::int64_t id = 0;
  RightsWrite kind = RightsWrite::kNone;
  Instant sent_time;
  HeldLedger held;                            ///< Own row after kMove.
  std::map<std::string, TeamLedger> ledgers;  ///< Rows after the transaction.
  HolderLease lease;                          ///< Own row after kRenew.
  HolderId holder;                            ///< Whose rights kReclaim takes.
};

/// The read in flight. At most one is.
struct PendingRead {
  std::int64_t id = 0;
  RightsRead kind = RightsRead::kNone;
  HolderId holder;  ///< Whose row kHeld reads.
};

/// The rights of this host and what it knows of the ledger.
struct CeilingsState {
  HolderId self;
  HolderStage stage = HolderStage::kUnregistered;
  Instant now;  ///< Time of the present step.
  /// After a gap between steps nothing is usable until the lease was renewed
  /// and the leases, read after that gap, show no later run of this host.
  bool must_renew = false;
  bool must_read_leases = false;
  Versioned<HolderLease> lease;
  Instant lease_deadline;  ///< Floating rights are usable until then.
  Versioned<HeldLedger> held;
  std::optional<HeldLedger>
      unconfirmed_held;   ///< Own row if a transaction without
                          ///< known outcome took effect.
  bool in_doubt = false;  ///< The outcome of `attempted` is lost.
  std::map<std::string, TeamUse> teams;
  std::map<std::string, Versioned<TeamLedger>> ledgers;
  bool ledgers_read = false;
  std::map<HolderId, ObservedHolder> holders;  ///< Including this host.
  PendingWrite pending_write;
  PendingRead pending_read;
  Instant next_write;
  Instant next_rebalance;
  Instant rebalance_retry;  ///< Replaces `next_move` when the move fails.
  Instant next_renewal;
  Instant next_team_read;
  Instant next_shortfall_read;
  std::string last_shortfall_team;  ///< Team whose row kWanted read last.
  std::int64_t unchanged_shortfall_reads =
      0;                          ///< Reads of kWanted in a row without news.
  std::int64_t lost_replies = 0;  ///< Requests in a row without a reply.
  Instant next_lease_read;
};

/// What the ledger's decisions consult.
struct CeilingsContext {
  const Snapshot& snapshot;
  HolderId self;
  bool stopping = false;
  Instant now;
};

/// Begins a step at `now`. Must come before any other call of the step, so
/// that no right is used after its deadline.
void BeginCeilingsStep(CeilingsState& state, Instant now);

/// Takes one right to run work of `team`. False when none is usable, or when
/// the snapshot lets work run for longer than the ledger knows of.
bool AcquireRight(CeilingsState& state, const Snapshot& snapshot,
                  const std::string& team);

/// Gives back a right taken by AcquireRight.
void ReleaseRight(CeilingsState& state, const std::string& team);

/// Rights of `team` that this host may have in use now.
std::int64_t UsableRights(const CeilingsState& state, const std::string& team);

/// Tells how much work of each team waits at this host.
void SetWaitingWork(CeilingsState& state,
                    const std::map<std::string, std::int64_t>& waiting);

/// Renews the lease, moves rights by demand and takes back those of ended or
/// lapsed holders, each when it is due.
void TickCeilings(CeilingsState& state, const CeilingsContext& context,
                  std::int64_t& next_request_id, Outbox& out);

/// Takes in a reply of the table. Returns whether the request was this
/// system's.
bool HandleRightsReply(CeilingsState& state, std::int64_t id,
                       const StoreReply& reply, Instant now);

/// Tells that a holder's process has ended, by the platform's list beyond its
/// lag. Its rights are taken back once all work under them must be over.
void MarkHolderEnded(CeilingsState& state, const HolderId& holder, Instant now);

/// True when a stopping host owes the ledger nothing any more.
bool AreRightsReleased(const CeilingsState& state);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CEILINGS_H_
