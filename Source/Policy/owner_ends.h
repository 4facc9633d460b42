#ifndef HYSSOPBARROW_POLICY_OWNER_ENDS_H_
#define HYSSOPBARROW_POLICY_OWNER_ENDS_H_

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Handles the end of a run that a target reports. If `counts` is false, only
/// releases the resources of the run and leaves the result of the task as is.
void HandleRunEnd(Owner& owner, TargetView& target, const RunEnd& end,
                  bool counts, Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_OWNER_ENDS_H_
