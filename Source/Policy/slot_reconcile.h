#ifndef HYSSOPBARROW_POLICY_SLOT_RECONCILE_H_
#define HYSSOPBARROW_POLICY_SLOT_RECONCILE_H_

#include "Policy/dispatch.h"

namespace hyssopbarrow {

/// Compares a gateway's summary with the cell, and asks for an inventory when
/// they differ repeatedly.
void HandleSlotSummary(DispatchState& state, const DispatchContext& context,
                       const GatewayKey& from, const SlotSummary& summary,
                       Outbox& out);

/// Takes over slots that the gateway holds from another dispatcher, and drops
/// requests that no longer wait there.
void HandleSlotInventory(DispatchState& state, const DispatchContext& context,
                         const GatewayKey& from,
                         const SlotInventory& inventory);

/// Follows changes of the cell's owner and ends the rebuild window.
void TickCellOwnership(Cell& cell, const DispatchContext& context);

/// Sends grants again that were not released for a while, and frees those of
/// processes that are gone once their deadline has passed.
void TickGrantChecks(DispatchState& state, const DispatchContext& context,
                     Cell& cell, Outbox& out);

/// Starts the rebuild window.
void BeginRebuild(Cell& cell, Instant now);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_SLOT_RECONCILE_H_
