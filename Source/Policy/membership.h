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

/// Prefix of the rows that name the entry hosts: `members/<name>`.
inline constexpr std::string_view kMembersPrefix = "members/";

/// Who this entry host is. `incarnation` grows with every start of the process.
struct NodeIdentity {
  std::string name;
  std::string data_centre;
  std::int64_t incarnation = 0;
  std::string address;  ///< `IP:port` advertised to peers; empty without any.

  friend bool operator==(const NodeIdentity&, const NodeIdentity&) = default;
};

/// Another entry host as last heard of.
struct Member {
  std::string name;
  std::string data_centre;
  std::string address;  ///< `IP:port` for peers; empty when not known.
  std::int64_t incarnation = 0;
  Instant last_seen;    ///< Last sign of life; the epoch before the first.
  Instant alive_until;  ///< Counted as live until then.
  Instant live_since;
  Instant eligible_at;     ///< May own cells from then on.
  std::int64_t flaps = 0;  ///< Returns since it was last stable.
  std::int64_t config_revision = 0;
  bool store_reachable = false;
  bool stopping = false;

  friend bool operator==(const Member&, const Member&) = default;
};

/// Progress of this host's row in the table.
struct Registration {
  std::int64_t pending_request_id = 0;  ///< Request in flight; 0 for none.
  bool pending_is_write = false;        ///< The request in flight is a write.
  bool has_read_rows = false;           ///< The rows were read at least once.
  bool superseded = false;   ///< The row names a newer start of this host.
  bool row_removed = false;  ///< The row was removed by a planned stop.
  Instant next_read;
};

/// The table of entry hosts and the heartbeat schedule.
struct MembershipState {
  explicit MembershipState(NodeIdentity identity) : self(std::move(identity)) {}

  NodeIdentity self;
  bool stopping = false;
  Instant
      accept_calls_until;  ///< While stopping: new calls are taken until then.
  Instant eligible_at;     ///< This host may own cells from then on.
  std::int64_t pause_count = 0;  ///< Times that this process was found paused.
  std::map<std::string, Member> members;  ///< Without this host.
  Registration registration;
  std::int64_t last_sent_revision = 0;  ///< Revision in the last heartbeat.
  Instant last_tick;
  Instant next_heartbeat;         ///< To peers of the own data centre.
  Instant next_remote_heartbeat;  ///< To peers of other data centres.
  Instant next_report;            ///< On own members, to other data centres.
  Instant next_introduction;      ///< Of all members, to the own data centre.
};

/// What the next heartbeats carry.
struct LocalStatus {
  std::int64_t config_revision = 0;
  bool store_reachable = false;
  Duration confirmed_age{};  ///< Since the table confirmed that revision.
};

/// A peer to which a link should be kept.
struct WantedLink {
  std::string peer;
  std::string address;

  friend auto operator<=>(const WantedLink&, const WantedLink&) = default;
};

/// False for a message of an incarnation older than the one known.
bool AcceptIncarnation(MembershipState& state, const PeerEnvelope& envelope);

/// Learns that a member exists; its liveness is not touched.
void AddMember(MembershipState& state, const MemberEntry& entry, Instant now);

/// Takes in a heartbeat.
void HandleHeartbeat(MembershipState& state, const PeerEnvelope& envelope,
                     const Heartbeat& heartbeat, Instant now);

/// Takes in what a peer knows of other members. Their liveness is taken only
/// from peers of their own data centre.
void HandleMemberReport(MembershipState& state, const PeerEnvelope& envelope,
                        const MemberReport& report, Instant now);

/// A link to `peer` was opened: introduces all members to it.
void SendMemberIntroductions(MembershipState& state, const std::string& peer,
                             Instant now, Outbox& out);

/// Sends heartbeats and reports to the linked peers when they are due.
void TickMembership(MembershipState& state, const LocalStatus& status,
                    const std::vector<std::string>& linked_peers, Instant now,
                    Outbox& out);

/// Hands over all cells; new calls are taken for `drain` more.
void BeginStop(MembershipState& state, Duration drain, Instant now);

/// Whether new calls are refused because of a planned stop.
bool RefusesCalls(const MembershipState& state, Instant now);

/// The links that this host keeps: to every member of its data centre, and to
/// a bounded number in each other one.
std::vector<WantedLink> WantedLinks(const MembershipState& state, Instant now);

/// Whether `name` is this host or a member heard of recently.
bool IsLive(const MembershipState& state, const std::string& name, Instant now);

/// Whether every known member is live, none sees the table, and none knows a
/// revision above `revision`, so no change can have been accepted.
bool NoMemberReachesStore(const MembershipState& state, std::int64_t revision,
                          Instant now);

/// Live members of this host's data centre, this host included.
std::int64_t CountLocalLive(const MembershipState& state, Instant now);

/// Name of the entry host that dispatches `cell`, by rendezvous hashing over
/// the live members of the cell's data centre. A member that came back counts
/// only once it has stayed for a while, and a stopping one only where no other
/// is left. Empty when there is none.
std::string ResponsibleHost(const MembershipState& state, const CellId& cell,
                            Instant now);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_MEMBERSHIP_H_
