#ifndef HYSSOPBARROW_POLICY_DISPATCH_H_
#define HYSSOPBARROW_POLICY_DISPATCH_H_

#include <cstdint>
#include <map>

#include "Model/messages.h"
#include "Model/snapshot.h"
#include "Model/time.h"
#include "Policy/ceilings.h"
#include "Policy/cell.h"
#include "Policy/effects.h"
#include "Policy/membership.h"
#include "Policy/share.h"

namespace hyssopbarrow {

/// All cells that this host dispatches.
struct DispatchState {
  std::map<CellId, Cell> cells;
  std::int64_t next_grant = 1;  ///< Number of the next GrantId.
};

/// Inputs of the dispatcher and the state that it shares with other parts.
struct DispatchContext {
  const Snapshot& snapshot;
  const MembershipState& membership;
  ShareState& share;
  CeilingsState& ceilings;
  Instant now;
};

/// Returns the cell's state. A missing cell is created and starts to be
/// rebuilt.
Cell& GetOrCreateCell(DispatchState& state, const DispatchContext& context,
                      const CellId& id);

/// Queues a request, repeats the grant of a known one, or refuses it when it
/// can't start.
void HandleSlotRequest(DispatchState& state, const DispatchContext& context,
                       const SlotRequest& request, Outbox& out);

/// Removes the waiting call that the gateway cancelled.
void HandleSlotCancel(DispatchState& state, const SlotCancel& cancel);

/// Frees a granted slot and records the result for the worker's health.
void HandleSlotRelease(DispatchState& state, const DispatchContext& context,
                       const SlotRelease& release);

/// Frees the slot of `grant`, which must exist, releases its right and records
/// the result for the worker's health.
void FreeSlot(DispatchState& state, const DispatchContext& context, Cell& cell,
              const GrantId& grant, SlotResult result);

/// Grants free slots to waiting calls, starting with the team furthest below
/// its share, and refuses calls whose latest start has passed.
void TickDispatch(DispatchState& state, const DispatchContext& context,
                  Outbox& out);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_DISPATCH_H_
