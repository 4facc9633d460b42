#ifndef HYSSOPBARROW_POLICY_OWNER_COMMITS_H_
#define HYSSOPBARROW_POLICY_OWNER_COMMITS_H_

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// True if no commit is pending and the next one is due.
bool MayCommit(const Owner& owner, Instant now);

/// Commits changed rows, unless a commit is pending. With `sweep`, also deletes
/// rows of jobs whose retention time has passed.
void CommitChanges(Owner& owner, Context& context, bool sweep);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_OWNER_COMMITS_H_
