#ifndef HYSSOPBARROW_POLICY_THROTTLING_H_
#define HYSSOPBARROW_POLICY_THROTTLING_H_

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Slows the tasks that fill a target while its serving tasks are near or over
/// the bound on their tail, and lets them go on when there is room again.
void AdvanceThrottling(Owner& owner, Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_THROTTLING_H_
