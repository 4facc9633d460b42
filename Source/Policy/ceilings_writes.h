#ifndef HYSSOPBARROW_POLICY_CEILINGS_WRITES_H_
#define HYSSOPBARROW_POLICY_CEILINGS_WRITES_H_

#include <optional>

#include "Model/row.h"
#include "Policy/ceilings.h"

namespace hyssopbarrow {

/// Time from a renewal of a holder's lease until it expires.
inline constexpr Duration kRightsLeaseTerm = std::chrono::seconds(10);

/// Added to the time after which rights are reclaimed, since the hosts' clocks
/// may run at different rates.
inline constexpr Duration kClockDriftMargin = std::chrono::seconds(2);

/// A transaction that is ready to be sent, and the record to keep while its
/// reply is awaited.
struct PlannedWrite {
  Transaction transaction;
  PendingWrite pending;
};

/// Returns the number of holders that neither ended nor expired, including this
/// host.
std::int64_t CountLiveHolders(const CeilingsState& state);

/// Creates the rows of this host in the ledger.
PlannedWrite PlanRegister(const CeilingsState& state,
                          const CeilingsContext& context);

/// Extends the lease. The transaction conflicts when rights of this host were
/// reclaimed since its last write.
PlannedWrite PlanRenew(const CeilingsState& state,
                       const CeilingsContext& context);

/// Acquires and releases rights of all teams by demand and sets this host's
/// limits. Returns nullopt when no row would change. While an earlier
/// transaction is in doubt, only rewrites this host's row, so that the earlier
/// one can't take effect any more.
std::optional<PlannedWrite> PlanRebalance(CeilingsState& state,
                                          const CeilingsContext& context);

/// Releases all rights of a stopping host and removes its rows.
PlannedWrite PlanRelease(const CeilingsState& state);

/// Returns a holder whose rights are due to be reclaimed but whose row must be
/// read first; nullopt when there is none.
std::optional<HolderId> FindUnreadHolder(const CeilingsState& state,
                                         Instant now);

/// Reclaims the floating rights of an expired holder or all rights of an ended
/// one, once all work under them must have ended. Returns nullopt when there is
/// nothing to reclaim.
std::optional<PlannedWrite> PlanReclaim(const CeilingsState& state,
                                        const CeilingsContext& context);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CEILINGS_WRITES_H_
