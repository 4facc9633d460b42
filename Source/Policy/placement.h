#ifndef HYSSOPBARROW_POLICY_PLACEMENT_H_
#define HYSSOPBARROW_POLICY_PLACEMENT_H_

#include <string>
#include <string_view>

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Pool that runs the jobs of a job's queue under the present configuration.
std::string_view PoolOf(const Job& job, const Context& context);

/// Last moment at which a job can go on and still meet its objective.
Instant LatestStart(const Job& job, const Occurrence& occurrence,
                    const Queue* queue);

/// True if tasks may be started on `target`.
bool IsUsable(const TargetView& target, Instant now);

/// Starts the tasks whose turn it is on targets that have room.
void PlaceTasks(Owner& owner, Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_PLACEMENT_H_
