#ifndef HYSSOPBARROW_POLICY_ENTRY_PARTS_H_
#define HYSSOPBARROW_POLICY_ENTRY_PARTS_H_

#include "Policy/entry.h"

namespace hyssopbarrow::fleet {

/// The context of one event at an entry host.
Context ContextOf(Entry& entry, const Moment& at, Effects& out);

/// Starts what a follower has to ask next, if anything.
void AdvanceFollower(Follower& follower, Context& context);

/// What a follower's reply brought.
struct Followed {
  bool ours = false;      ///< The reply was to this follower.
  bool usable = false;    ///< It carries rows.
  bool whole = false;     ///< The rows are part of a read of the whole table.
  bool complete = false;  ///< The table is now known whole.
};

Followed TakeFollowed(Follower& follower, std::int64_t id,
                      const StoreRows& reply, Context& context);

/// Claims, renews and gives up the ownership as the rows and the clock say.
void AdvanceOwnership(Entry& entry, Context& context);

/// Takes the rows of the ownership's table. `heard` is false when the store
/// did not answer.
void TakeOwnershipRows(Entry& entry, const StoreRows& reply, bool heard,
                       Context& context);

/// Takes answers to claims and renewals; false if `id` is not one of them.
bool TakeOwnershipReply(Entry& entry, std::int64_t id, const StoreRows& reply,
                        Context& context);

void ReleaseOwnership(Entry& entry, Context& context);

/// Calls.
void AdvanceCalls(Entry& entry, Context& context);
bool TakeCallReply(Entry& entry, std::int64_t id, const StoreRows& reply,
                   Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_ENTRY_PARTS_H_
