#ifndef HYSSOPBARROW_POLICY_OWNER_ENDS_H_
#define HYSSOPBARROW_POLICY_OWNER_ENDS_H_

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Handles the end of a run that a target reports. The end counts even if a
/// lease of the target has expired since: the run has ended either way.
void HandleRunEnd(Owner& owner, TargetView& target, const RunEnd& end,
                  Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_OWNER_ENDS_H_
