#ifndef HYSSOPBARROW_POLICY_EVACUATION_H_
#define HYSSOPBARROW_POLICY_EVACUATION_H_

#include <string>

#include "Policy/entry.h"
#include "Policy/entry_internal.h"

namespace hyssopbarrow::fleet {

/// Applies the requests in a reply for the operators' table. A complete read of
/// the table replaces all that was known.
void ApplyEvacuations(EntryState& entry, const StoreRows& reply,
                      const TableUpdate& update, Context& context);

/// Marks the targets of evacuated data centres. Starts that were planned or
/// sent there and are not confirmed are withdrawn.
void UpdateEvacuatedTargets(Owner& owner, const EvacuatedDataCentres& evacuated,
                            Context& context);

/// True if another target could run a task of a long-running step, so that it
/// can be moved away from `target`.
bool HasRoomElsewhere(const Owner& owner, const TargetView& target,
                      const TaskName& name, const Step& step, Instant now);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_EVACUATION_H_
