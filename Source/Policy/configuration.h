#ifndef HYSSOPBARROW_POLICY_CONFIGURATION_H_
#define HYSSOPBARROW_POLICY_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Model/outcome.h"
#include "Model/row.h"
#include "Model/snapshot.h"
#include "Model/time.h"
#include "Policy/effects.h"

namespace hyssopbarrow {

/// The adopted snapshot and when the store last confirmed it.
struct ConfigurationState {
  std::optional<Snapshot> snapshot;
  /// Error in the last snapshot that was rejected.
  std::string rejection_error;
  /// Revision of that snapshot; 0 if none.
  std::int64_t rejected_revision = 0;
  bool store_reachable = false;
  /// When the store last confirmed the snapshot's revision.
  Instant confirmed_at;
  Instant next_poll;
  std::int64_t pending_poll_id = 0;  ///< Request id; 0 if none is pending.
  /// The pending or next poll reads all rows, not only the revision.
  bool poll_all_rows = false;
  /// Polls are frequent until then, because an operator changes the
  /// configuration on this host.
  Instant fast_poll_until;
  /// While a peer's snapshot is awaited, no other peer is asked before then.
  Instant fetch_deadline;
};

/// What TickConfiguration() needs to know of the other entry hosts.
struct MembershipSummary {
  /// Live hosts of this data centre, this host included.
  std::int64_t local_live_hosts = 1;
  /// No configuration change can have been accepted.
  bool no_member_reaches_store = false;
};

/// Decision whether a caller may use a queue.
struct Admission {
  Reason reason = Reason::kNone;  ///< kNone if admitted.
  std::string team;  ///< Empty if the queue is open and no key was sent.
};

/// Adopts the snapshot in `rows` if it is valid and its revision is higher than
/// the adopted one. Returns whether it was adopted; the error of an invalid one
/// is stored in `rejection_error`.
bool ApplyConfigRows(ConfigurationState& state, const std::vector<Row>& rows);

/// Polls the revision row when due, and all rows once the revision is higher
/// than the adopted one. Each host polls less often the more hosts of its data
/// centre are live, since they tell each other of a new revision.
void TickConfiguration(ConfigurationState& state,
                       const MembershipSummary& membership,
                       std::int64_t& next_request_id, Instant now, Outbox& out);

/// Polls frequently for a few seconds, because this host is about to write an
/// operator's change.
void StartFastPolling(ConfigurationState& state, Instant now);

/// Handles the revision in a peer's heartbeat: requests the peer's snapshot if
/// it is newer, and uses the peer's confirmation if it is equal.
void HandlePeerRevision(ConfigurationState& state, const std::string& peer,
                        const Heartbeat& heartbeat, Instant now, Outbox& out);

/// Adopts a peer's snapshot if it is valid and newer.
void HandleSnapshotReply(ConfigurationState& state, const SnapshotReply& reply,
                         Instant now);

/// Returns the time since the adopted revision was confirmed, rounded up to
/// whole milliseconds and at most 30 days.
Duration ConfirmedAge(const ConfigurationState& state, Instant now);

/// Handles the reply to a poll. Returns false if `id` is not the pending poll.
bool HandlePollReply(ConfigurationState& state, std::int64_t id,
                     const StoreReply& reply, Instant now);

/// Decides whether a request that came with `key` may use `queue`. Requires a
/// snapshot.
Admission Admit(const ConfigurationState& state, const Queue& queue,
                const std::optional<std::string>& key, Instant now);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CONFIGURATION_H_
