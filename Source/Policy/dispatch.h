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
  std::int64_t next_grant = 1;
};

/// What the dispatcher consults and shares with other systems.
struct DispatchContext {
  const Snapshot& snapshot;
  const MembershipState& membership;
  ShareState& share;
  CeilingsState& ceilings;
  Instant now;
};

/// The cell's state; begins the rebuild window of a cell not seen before.
Cell& GetOrCreateCell(DispatchState& state, const DispatchContext& context,
                      const CellId& id);

/// Puts a request in line, answers a repeated one, or refuses it when it
/// cannot start.
void HandleSlotRequest(DispatchState& state, const DispatchContext& context,
                       const SlotRequest& request, Outbox& out);

/// Takes a request out of line.
void HandleSlotCancel(DispatchState& state, const SlotCancel& cancel);

/// Frees a granted slot and takes in the result for the worker's health.
void HandleSlotRelease(DispatchState& state, const DispatchContext& context,
                       const SlotRelease& release);

/// Frees `slot` of `cell` and gives back its right.
void FreeSlot(DispatchState& state, const DispatchContext& context, Cell& cell,
              const GrantId& grant, SlotResult result);

/// Hands free slots to waiting requests, the team furthest below its share
/// first, and refuses requests whose deadline has passed.
void TickDispatch(DispatchState& state, const DispatchContext& context,
                  Outbox& out);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_DISPATCH_H_
