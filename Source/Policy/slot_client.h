#ifndef HYSSOPBARROW_POLICY_SLOT_CLIENT_H_
#define HYSSOPBARROW_POLICY_SLOT_CLIENT_H_

#include <string>

#include "Policy/gateway.h"

namespace hyssopbarrow {

// The gateway's side of the slot protocol.

/// Asks the dispatcher of `call.cell` for a slot, as a new ask.
void RequestSlot(GatewayState& state, const GatewayContext& context, Call& call,
                 Outbox& out);

/// Withdraws the ask of a call that waits.
void CancelSlotRequest(GatewayState& state, const GatewayContext& context,
                       const Call& call, Outbox& out);

/// Ends the ask of a call that waits, without a message.
void DropSlotRequest(GatewayState& state, const Call& call);

/// Moves a waiting call to its granted slot.
void AcquireCallSlot(GatewayState& state, const GatewayContext& context,
                     Call& call, const SlotGrant& grant, Outbox& out);

/// Gives back the slot of a running call.
void ReleaseCallSlot(GatewayState& state, const Call& call, SlotResult result,
                     Outbox& out);

/// Gives back a slot that was not used.
void DeclineGrant(const SlotGrant& grant, Outbox& out);

/// Sends all that is held and waits in `cell` to `to`.
void SendInventory(const GatewayState& state, const GatewayContext& context,
                   const CellId& cell, const std::string& to, Outbox& out);

/// Registers with dispatchers that changed and sends summaries that are due.
void TickCellTrackers(GatewayState& state, const GatewayContext& context,
                      Outbox& out);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_SLOT_CLIENT_H_
