#ifndef HYSSOPBARROW_POLICY_THROTTLING_H_
#define HYSSOPBARROW_POLICY_THROTTLING_H_

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Slows down the background tasks on a target while the tail latency of its
/// serving tasks is near or above its target, and speeds them up again after.
void AdvanceThrottling(Owner& owner, Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_THROTTLING_H_
