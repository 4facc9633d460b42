#ifndef HYSSOPBARROW_POLICY_CEILINGS_WRITES_H_
#define HYSSOPBARROW_POLICY_CEILINGS_WRITES_H_

#include <optional>

#include "Model/row.h"
#include "Policy/ceilings.h"

namespace hyssopbarrow {

/// Term of a holder's lease.
inline constexpr Duration kRightsLeaseTerm = std::chrono::seconds(10);

/// Allowance for clocks that run at different rates.
inline constexpr Duration kClockDriftMargin = std::chrono::seconds(2);

/// A transaction that is ready to be sent.
struct PlannedWrite {
  Transaction transaction;
  PendingWrite pending;
};

/// Holders that neither ended nor lapsed, with this host.
std::int64_t CountLiveHolders(const CeilingsState& state);

/// Puts the rows of this host into the ledger.
PlannedWrite PlanRegister(const CeilingsState& state,
                          const CeilingsContext& context);

/// Extends the lease. Fails when rights were taken back since the last write.
PlannedWrite PlanRenew(const CeilingsState& state,
                       const CeilingsContext& context);

/// Takes and gives back rights of all teams by demand, and sets this host's
/// limits. Nothing when no row would change. While an earlier move is in doubt
/// it only rewrites this host's row, so that the earlier one cannot take effect
/// any more.
std::optional<PlannedWrite> PlanRebalance(CeilingsState& state,
                                          const CeilingsContext& context);

/// Gives back all rights of a stopping host and removes its rows.
PlannedWrite PlanRelease(const CeilingsState& state);

/// A holder whose row must be read before its rights can be taken back.
std::optional<HolderId> FindUnreadHolder(const CeilingsState& state,
                                         Instant now);

/// Takes back the floating rights of a lapsed holder or all rights of an ended
/// one, when all work under them must be over.
std::optional<PlannedWrite> PlanReclaim(const CeilingsState& state,
                                        const CeilingsContext& context);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CEILINGS_WRITES_H_
