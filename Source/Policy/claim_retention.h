#ifndef HYSSOPBARROW_POLICY_CLAIM_RETENTION_H_
#define HYSSOPBARROW_POLICY_CLAIM_RETENTION_H_

#include <cstdint>
#include <set>
#include <string_view>

#include "Model/row.h"
#include "Model/time.h"
#include "Policy/effects.h"

namespace hyssopbarrow {

/// Row whose `number` is the current retention period. Every write of a claim
/// requires its revision, so a claim never carries an outdated period.
inline constexpr std::string_view kClaimPeriodKey = "claim-period";

/// The retention period and the sweep that deletes old claims.
///
/// The fleet shares no clock. Any host that sees the period's row unchanged for
/// one period on its own steady clock raises the number by one, so a number
/// lasts for at least that long.
struct ClaimRetention {
  std::int64_t period = 0;
  std::int64_t period_revision = 0;  ///< Of the period's row.
  bool has_period = false;           ///< Whether the row was ever read.
  Instant next_increment;  ///< When this number has lasted for one period.
  Instant next_period_read;
  std::int64_t pending_period_request = 0;  ///< In flight; 0 for none.

  Instant next_sweep;
  std::int64_t next_shard = 0;
  std::int64_t pending_sweep_request = 0;  ///< In flight; 0 for none.
  std::set<std::int64_t> pending_deletions;
};

/// Takes in the period's row as read or as reported by a conflict.
void ApplyPeriodRow(ClaimRetention& state, const Row& row, Instant now);

/// Reads and raises the period, and when `sweeps` is set reads one shard of
/// the claims for rows to delete.
void TickRetention(ClaimRetention& state, bool sweeps,
                   std::int64_t& next_request_id, Instant now, Outbox& out);

/// Takes in a reply. Returns whether `id` was a request of this system.
bool HandleRetentionReply(ClaimRetention& state, std::int64_t id,
                          const StoreReply& reply,
                          std::int64_t& next_request_id, Instant now,
                          Outbox& out);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CLAIM_RETENTION_H_
