#ifndef HYSSOPBARROW_POLICY_HOST_MANAGER_H_
#define HYSSOPBARROW_POLICY_HOST_MANAGER_H_

#include <cstdint>

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Plans and orders moves and upkeep of hosts.
void AdvanceHostManager(Owner& owner, Context& context);

/// Takes the answer to a write of what the operators read of a wave; false if
/// `id` is not one of these writes.
bool HandleWaveRowReply(Owner& owner, std::int64_t id, StoreStatus status,
                        Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_HOST_MANAGER_H_
