#ifndef HYSSOPBARROW_POLICY_SLOT_RECONCILE_H_
#define HYSSOPBARROW_POLICY_SLOT_RECONCILE_H_

#include "Policy/dispatch.h"

namespace hyssopbarrow {

/// Compares a gateway's summary with the state of the cell, and requests an
/// inventory if they differ repeatedly.
void HandleSlotSummary(DispatchState& state, const DispatchContext& context,
                       const GatewayKey& from, const SlotSummary& summary,
                       Outbox& out);

/// Adopts slots that another dispatcher granted to the gateway, and drops
/// requests that the gateway no longer lists.
void HandleSlotInventory(DispatchState& state, const DispatchContext& context,
                         const GatewayKey& from,
                         const SlotInventory& inventory);

/// Updates whether this host dispatches the cell, and ends the rebuild window
/// when due.
void TickCellOwnership(Cell& cell, const DispatchContext& context);

/// Resends grants that were not released for a while, and frees those of
/// gateways that are gone once their deadline has passed.
void TickGrantChecks(DispatchState& state, const DispatchContext& context,
                     Cell& cell, Outbox& out);

/// Starts the rebuild window: grants wait until the gateways have sent their
/// inventories.
void BeginRebuild(Cell& cell, Instant now);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_SLOT_RECONCILE_H_
