#ifndef HYSSOPBARROW_POLICY_TARGET_INSTANCE_H_
#define HYSSOPBARROW_POLICY_TARGET_INSTANCE_H_

#include <string_view>

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// False while the entry of the target, with its labels and its capacity, is of
/// another instance than the one that is known to run.
bool IsDescribed(const TargetView& target);

/// Handles a sign that the target has restarted: polls it to find out.
void DoubtInstance(Owner& owner, TargetView& target, std::string_view reason,
                   Context& context);

/// Handles a reply from the address of the target that another target sent.
void HandleTargetGone(Owner& owner, TargetView& target,
                      const PendingTargetRequest& request, Context& context);

/// Finds out which instance of the target has replied, and takes its clock.
/// Only replies to polls name the instance; others show it by their clock.
/// Returns true if it is certainly the instance that was known.
bool UpdateInstance(Owner& owner, TargetView& target,
                    const PendingTargetRequest& request,
                    const TargetReply& reply, bool is_current_poll,
                    Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_TARGET_INSTANCE_H_
