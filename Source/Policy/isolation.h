#ifndef HYSSOPBARROW_POLICY_ISOLATION_H_
#define HYSSOPBARROW_POLICY_ISOLATION_H_

#include <functional>
#include <vector>

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// A usable target and what its runs leave free.
struct FreeTarget {
  Resources free;
  TargetView* target = nullptr;
  /// Used by or kept for a task that may crash it.
  bool isolated = false;
};

/// True if no task may be started on the target except a task that may crash
/// it.
bool IsIsolated(const Owner& owner, const TargetView& target, Instant now);

/// Returns a target with room for `need` on which no other run can be the cause
/// of a crash, and marks it as isolated. Returns null if there is none now; a
/// target is then kept free of other starts for a while. Only a part of
/// `targets`, which are those of a pool, is isolated at the same time.
/// `is_eligible` tells whether a target may run the task if it has room.
FreeTarget* IsolateTarget(
    std::vector<FreeTarget>& targets, const Resources& need,
    const std::function<bool(const TargetView&)>& is_eligible, Instant now);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_ISOLATION_H_
