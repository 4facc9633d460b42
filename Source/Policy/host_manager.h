#ifndef HYSSOPBARROW_POLICY_HOST_MANAGER_H_
#define HYSSOPBARROW_POLICY_HOST_MANAGER_H_

#include <cstdint>

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Plans moves and maintenance of hosts and sends the requests that are due.
void AdvanceHostManager(Owner& owner, Context& context);

/// Sends the requests for hosts whose records have just been stored.
void SendRecordedHostRequests(Owner& owner, Context& context);

/// Handles the store's reply to a write of a wave's row, which operators read.
/// Returns false if `id` is not such a write.
bool HandleWaveRowReply(Owner& owner, std::int64_t id, StoreStatus status,
                        Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_HOST_MANAGER_H_
