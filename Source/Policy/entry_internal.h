#ifndef HYSSOPBARROW_POLICY_ENTRY_INTERNAL_H_
#define HYSSOPBARROW_POLICY_ENTRY_INTERNAL_H_

#include "Policy/entry.h"

namespace hyssopbarrow::fleet {

/// Makes the context for the decisions about one event at an entry host.
Context MakeEventContext(EntryState& entry, const EventTime& time,
                         Effects& out);

/// True while the store has replied to the last watches of the ownership.
bool IsStoreResponsive(const EntryState& entry, Instant now);

/// Sends the follower's next read or watch if it is due.
void AdvanceTableFollower(TableFollower& follower, Context& context);

/// Result of HandleTableReply.
struct TableUpdate {
  bool matched = false;     ///< The reply belongs to this follower.
  bool has_rows = false;    ///< The reply's rows can be applied.
  bool full_read = false;   ///< The rows are part of a read of the whole table.
  bool first_page = false;  ///< The rows are the first page of such a read.
  bool loaded = false;      ///< The whole table has been read.
  bool caught_up = false;   ///< As TableFollower::caught_up.
};

/// Handles the store's reply to a read or a watch of the follower.
TableUpdate HandleTableReply(TableFollower& follower, std::int64_t id,
                             const StoreRows& reply, Context& context);

/// Renews this host's lease, announces its CPU share, and claims the ownership
/// if it is free.
void AdvanceOwnership(EntryState& entry, Context& context);

/// Applies rows of the owner table. `responsive` is false if the store did not
/// send any.
void ApplyOwnershipRows(EntryState& entry, const StoreRows& reply,
                        bool responsive, Context& context);

/// Handles the store's reply to a claim, a renewal or an announcement. Returns
/// false if `id` is not one of these requests.
bool HandleOwnershipReply(EntryState& entry, std::int64_t id,
                          const StoreRows& reply, Context& context);

/// Stops sending requests to targets and hosts, and writes the lease row as
/// released.
void ReleaseOwnership(EntryState& entry, Context& context);

/// Retries requests of callers' calls that are due, and answers calls whose
/// deadline has passed.
void AdvanceCalls(EntryState& entry, Context& context);

/// Handles the store's reply to a request of a call. Returns false if `id` is
/// not such a request.
bool HandleCallStoreReply(EntryState& entry, std::int64_t id,
                          const StoreRows& reply, Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_ENTRY_INTERNAL_H_
