#ifndef HYSSOPBARROW_POLICY_ENTRY_INTERNAL_H_
#define HYSSOPBARROW_POLICY_ENTRY_INTERNAL_H_

#include "Policy/entry.h"

namespace hyssopbarrow::fleet {

/// The context of one event at an entry host.
Context MakeEventContext(EntryState& entry, const EventTime& at, Effects& out);

/// Starts what a follower has to ask next, if anything.
void AdvanceTableFollower(TableFollower& follower, Context& context);

/// What a follower's reply brought.
struct TableUpdate {
  bool matched = false;    ///< The reply was to this follower.
  bool has_rows = false;   ///< It carries rows.
  bool full_read = false;  ///< The rows are part of a read of the whole table.
  bool loaded = false;     ///< The table is now known whole.
};

TableUpdate HandleTableReply(TableFollower& follower, std::int64_t id,
                             const StoreRows& reply, Context& context);

/// Claims, renews and gives up the ownership as the rows and the clock say.
void AdvanceOwnership(EntryState& entry, Context& context);

/// Takes the rows of the ownership's table. `heard` is false when the store
/// did not answer.
void ApplyOwnershipRows(EntryState& entry, const StoreRows& reply, bool heard,
                        Context& context);

/// Takes answers to claims and renewals; false if `id` is not one of them.
bool HandleOwnershipReply(EntryState& entry, std::int64_t id,
                          const StoreRows& reply, Context& context);

void ReleaseOwnership(EntryState& entry, Context& context);

/// Calls.
void AdvanceCalls(EntryState& entry, Context& context);
bool HandleCallStoreReply(EntryState& entry, std::int64_t id,
                          const StoreRows& reply, Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_ENTRY_INTERNAL_H_
