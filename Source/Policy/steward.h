#ifndef HYSSOPBARROW_POLICY_STEWARD_H_
#define HYSSOPBARROW_POLICY_STEWARD_H_

#include <cstdint>

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Plans and orders moves and upkeep of hosts.
void AdvanceSteward(Owner& owner, Context& context);

/// Takes the answer to a write of what the operators read of a wave; false if
/// `id` is not one of these writes.
bool TakeWaveWrite(Owner& owner, std::int64_t id, StoreStatus status,
                   Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_STEWARD_H_
