#ifndef HYSSOPBARROW_POLICY_MEMBERSHIP_H_
#define HYSSOPBARROW_POLICY_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Model/messages.h"
#include "Model/time.h"
#include "Policy/effects.h"

namespace hyssopbarrow {

/// Key prefix of the entry hosts' member rows: `members/<name>`.
inline constexpr std::string_view kMembersPrefix = "members/";

/// Identity of this entry host. `incarnation` grows with every start of the
/// process.
struct NodeIdentity {
  std::string name;
  std::string data_centre;
  std::int64_t incarnation = 0;
  std::string address;  ///< `IP:port` advertised to peers; empty if none.

  friend bool operator==(const NodeIdentity&, const NodeIdentity&) = default;
};

/// Last known state of another entry host.
struct Member {
  std::string name;
  std::string data_centre;
  std::string address;  ///< `IP:port` for peers; empty when not known.
  std::int64_t incarnation = 0;
  /// When it was last known to be live; the epoch if never.
  Instant last_seen;
  Instant alive_until;  ///< Considered live until then.
  Instant live_since;
  Instant eligible_at;  ///< May be responsible for cells from then on.
  /// Times that it became live again since it was last stable.
  std::int64_t flaps = 0;
  std::int64_t config_revision = 0;
  bool store_reachable = false;
  bool stopping = false;

  friend bool operator==(const Member&, const Member&) = default;
};

/// State of this host's member row in the store.
struct Registration {
  std::int64_t pending_request_id = 0;  ///< 0 if none is pending.
  bool pending_is_write = false;        ///< The pending request is a write.
  bool has_read_rows = false;           ///< The rows were read at least once.
  bool superseded = false;  ///< The row has a higher incarnation of this host.
  /// This host's row was deleted because of a planned stop.
  bool row_removed = false;
  Instant next_read;
};

/// Known entry hosts and the heartbeat schedule.
struct MembershipState {
  explicit MembershipState(NodeIdentity identity) : self(std::move(identity)) {}

  NodeIdentity self;
  bool stopping = false;
  /// While stopping, new calls are accepted until then.
  Instant accept_calls_until;
  /// This host may be responsible for cells from then on.
  Instant eligible_at;
  std::int64_t pause_count = 0;  ///< Number of detected pauses of this process.
  std::map<std::string, Member> members;  ///< By name, without this host.
  Registration registration;
  std::int64_t last_sent_revision = 0;  ///< Revision in the last heartbeat.
  Instant last_tick;
  Instant next_heartbeat;         ///< To peers in the same data centre.
  Instant next_remote_heartbeat;  ///< To peers in other data centres.
  /// About this data centre's members, to peers in others.
  Instant next_report;
  /// About all members, to peers in the same data centre.
  Instant next_introduction;
};

/// State of this host that is sent in heartbeats.
struct LocalStatus {
  std::int64_t config_revision = 0;
  bool store_reachable = false;
  Duration confirmed_age{};  ///< Since the store confirmed that revision.
};

/// A peer to which a link should be kept.
struct WantedLink {
  std::string peer;
  std::string address;

  friend auto operator<=>(const WantedLink&, const WantedLink&) = default;
};

/// Records the sender's incarnation. Returns false if it is lower than the
/// known one; the message must then be dropped.
bool AcceptIncarnation(MembershipState& state, const PeerEnvelope& envelope);

/// Adds a member, or updates its address and data centre. Does not change its
/// liveness.
void AddMember(MembershipState& state, const MemberEntry& entry, Instant now);

/// Marks the sender live and updates its state.
void HandleHeartbeat(MembershipState& state, const PeerEnvelope& envelope,
                     const Heartbeat& heartbeat, Instant now);

/// Adds the members that a peer reports. Their liveness is taken only from
/// peers in their own data centre.
void HandleMemberReport(MembershipState& state, const PeerEnvelope& envelope,
                        const MemberReport& report, Instant now);

/// Sends all known members to `peer`, whose link was opened.
void SendMemberIntroductions(MembershipState& state, const std::string& peer,
                             Instant now, Outbox& out);

/// Sends heartbeats and member reports to the linked peers when due.
void TickMembership(MembershipState& state, const LocalStatus& status,
                    const std::vector<std::string>& linked_peers, Instant now,
                    Outbox& out);

/// Starts a planned stop: hands over all cells and accepts new calls for
/// another `drain`.
void BeginStop(MembershipState& state, Duration drain, Instant now);

/// Returns true if new calls are refused because of a planned stop.
bool RefusesCalls(const MembershipState& state, Instant now);

/// Returns the links that this host keeps: to every member of its data centre,
/// and to a limited number in each other one.
std::vector<WantedLink> WantedLinks(const MembershipState& state, Instant now);

/// Returns true if `name` is this host or a live member.
bool IsLive(const MembershipState& state, const std::string& name, Instant now);

/// Returns true if every known member is live, none reaches the store, and none
/// knows a revision above `revision`, so that no change can have been accepted.
bool NoMemberReachesStore(const MembershipState& state, std::int64_t revision,
                          Instant now);

/// Returns the number of live members of this host's data centre, this host
/// included.
std::int64_t CountLocalLive(const MembershipState& state, Instant now);

/// Returns the name of the entry host that is responsible for `cell`, by
/// rendezvous hashing over the live members of the cell's data centre; empty if
/// there is none. A member that became live again is eligible only after a
/// settle time, and a stopping one only if no other is left.
std::string ResponsibleHost(const MembershipState& state, const CellId& cell,
                            Instant now);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_MEMBERSHIP_H_
