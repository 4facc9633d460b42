#ifndef HYSSOPBARROW_POLICY_CLAIM_RETENTION_H_
#define HYSSOPBARROW_POLICY_CLAIM_RETENTION_H_

#include <cstdint>
#include <set>
#include <string_view>

#include "Model/row.h"
#include "Model/time.h"
#include "Policy/effects.h"

namespace hyssopbarrow {

/// Key of the row whose field `number` is the current retention period. Every
/// write of a claim row requires the known revision of this row, so that no
/// claim is written with an outdated period.
inline constexpr std::string_view kClaimPeriodKey = "claim-period";

/// The current retention period and the periodic deletion of expired claim
/// rows.
///
/// Hosts have no common clock. A host that has seen the period's row unchanged
/// for one retention period on its own steady clock increments the number, so
/// each number lasts for at least that long.
struct ClaimRetention {
  std::int64_t period = 0;           ///< Number of the current period.
  std::int64_t period_revision = 0;  ///< Revision of the period's row.
  bool has_period = false;           ///< The row was read at least once.
  Instant next_increment;            ///< When the number is next incremented.
  Instant next_period_read;
  /// Request id; 0 if none is pending.
  std::int64_t pending_period_request = 0;

  Instant next_sweep;
  std::int64_t next_shard = 0;
  /// Request id; 0 if none is pending.
  std::int64_t pending_sweep_request = 0;
  std::set<std::int64_t> pending_deletions;  ///< Request ids.
};

/// Applies the period's row as read or as returned by a conflict. Ignores a row
/// that is older than the known one.
void ApplyPeriodRow(ClaimRetention& state, const Row& row, Instant now);

/// Reads or increments the retention period when due. If `sweeps` is true, also
/// reads one shard of the claim rows to find expired ones.
void TickRetention(ClaimRetention& state, bool sweeps,
                   std::int64_t& next_request_id, Instant now, Outbox& out);

/// Handles a store reply. Returns false if `id` is not a request for claim
/// retention.
bool HandleRetentionReply(ClaimRetention& state, std::int64_t id,
                          const StoreReply& reply,
                          std::int64_t& next_request_id, Instant now,
                          Outbox& out);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CLAIM_RETENTION_H_
