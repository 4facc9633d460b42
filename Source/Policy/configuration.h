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

/// The adopted snapshot and when the table last confirmed it.
struct ConfigurationState {
  std::optional<Snapshot> snapshot;
  std::string
      rejection_error;  ///< Why the last offered snapshot was not adopted.
  std::int64_t rejected_revision =
      0;  ///< Revision of that snapshot; 0 for none.
  bool store_reachable = false;
  Instant confirmed_at;  ///< Last time that the table confirmed the snapshot's
                         ///< revision.
  Instant next_poll;
  std::int64_t pending_poll_id = 0;  ///< Request in flight; 0 for none.
  bool poll_all_rows = false;        ///< The request in flight reads all rows.
  Instant fast_poll_until;  ///< An operator writes here: polls are frequent.
  Instant fetch_deadline;   ///< A peer was asked for its snapshot; no other
                            ///< one is asked before.
};

/// What the configuration needs to know of the other entry hosts.
struct MembershipSummary {
  std::int64_t local_live_hosts = 1;     ///< Live hosts of this data centre.
  bool no_member_reaches_store = false;  ///< No change can have been accepted.
};

/// Verdict on a caller's right to use a queue.
struct Admission {
  Reason reason = Reason::kNone;  ///< kNone admits.
  std::string team;               ///< Empty on an open queue without a key.
};

/// Adopts `rows` when they parse and their revision is higher than the adopted
/// one. Returns whether they were adopted.
bool ApplyConfigRows(ConfigurationState& state, const std::vector<Row>& rows);

/// Polls the table's revision row when the poll is due, and all rows once the
/// revision is higher than the adopted one. Hosts of one data centre share the
/// polls, since they tell each other of a new revision.
void TickConfiguration(ConfigurationState& state,
                       const MembershipSummary& fleet,
                       std::int64_t& next_request_id, Instant now, Outbox& out);

/// An operator's change is about to be written by this host.
void StartFastPolling(ConfigurationState& state, Instant now);

/// Takes in the revision that a peer has adopted: asks for its snapshot if that
/// is newer, and takes over the confirmation of an equal one.
void HandlePeerRevision(ConfigurationState& state, const std::string& peer,
                        const Heartbeat& heartbeat, Instant now, Outbox& out);

/// Takes in a peer's snapshot.
void HandleSnapshotReply(ConfigurationState& state, const SnapshotReply& reply,
                         Instant now);

/// Time since the adopted revision was confirmed, bounded, in milliseconds.
Duration ConfirmedAge(const ConfigurationState& state, Instant now);

/// Takes in the reply to a poll. Returns whether `id` was a poll of this
/// system.
bool HandlePollReply(ConfigurationState& state, std::int64_t id,
                     const StoreReply& reply, Instant now);

/// Decides whether the key that came with a request may use `queue`.
Admission Admit(const ConfigurationState& state, const Queue& queue,
                const std::optional<std::string>& key, Instant now);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CONFIGURATION_H_
