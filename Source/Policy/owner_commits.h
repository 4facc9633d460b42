#ifndef HYSSOPBARROW_POLICY_OWNER_COMMITS_H_
#define HYSSOPBARROW_POLICY_OWNER_COMMITS_H_

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// True if no commit is under way and the next one may be sent.
bool MayCommit(const Owner& owner, Instant now);

/// Commits what has changed, unless a commit is under way. With `sweep`, rows
/// of jobs that nobody may ask for any more are removed too.
void CommitChanges(Owner& owner, Context& context, bool sweep);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_OWNER_COMMITS_H_
