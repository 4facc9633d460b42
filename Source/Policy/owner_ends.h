#ifndef HYSSOPBARROW_POLICY_OWNER_ENDS_H_
#define HYSSOPBARROW_POLICY_OWNER_ENDS_H_

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Takes in an end that a target lists. One that does not count frees the room
/// of its run and changes nothing of its task.
void HandleRunEnd(Owner& owner, TargetView& target, const RunEnd& end,
                  bool counts, Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_OWNER_ENDS_H_
