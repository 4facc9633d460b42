#ifndef HYSSOPBARROW_POLICY_SLOT_CLIENT_H_
#define HYSSOPBARROW_POLICY_SLOT_CLIENT_H_

#include <string>

#include "Policy/gateway.h"

namespace hyssopbarrow {

// Gateway side of the slot protocol.

/// Requests a slot from the dispatcher of `call.cell` with a new attempt
/// number.
void RequestSlot(GatewayState& state, const GatewayContext& context, Call& call,
                 Outbox& out);

/// Cancels the slot request of a waiting call at the dispatcher.
void CancelSlotRequest(GatewayState& state, const GatewayContext& context,
                       const Call& call, Outbox& out);

/// Removes the slot request of a waiting call without sending a message.
void DropSlotRequest(GatewayState& state, const Call& call);

/// Moves a waiting call to the slot of `grant`. Cancels its request if another
/// dispatcher than the current one granted the slot.
void AcquireCallSlot(GatewayState& state, const GatewayContext& context,
                     Call& call, const SlotGrant& grant, Outbox& out);

/// Releases the slot of a running call.
void ReleaseCallSlot(GatewayState& state, const Call& call, SlotResult result,
                     Outbox& out);

/// Releases a granted slot that was not used.
void DeclineGrant(const SlotGrant& grant, Outbox& out);

/// Sends to `to` the slots held in `cell` and the requests that wait there.
void SendInventory(const GatewayState& state, const GatewayContext& context,
                   const CellId& cell, const std::string& to, Outbox& out);

/// Sends inventories to new dispatchers and summaries that are due to the
/// others.
void TickCellTrackers(GatewayState& state, const GatewayContext& context,
                      Outbox& out);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_SLOT_CLIENT_H_
