#ifndef HYSSOPBARROW_MODEL_MESSAGES_H_
#define HYSSOPBARROW_MODEL_MESSAGES_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Model/outcome.h"
#include "Model/row.h"
#include "Model/time.h"

namespace hyssopbarrow {

/// One pool in one data centre. Each cell has one dispatcher.
struct CellId {
  std::string pool;
  std::string data_centre;

  friend auto operator<=>(const CellId&, const CellId&) = default;
};

/// Identifies a caller's request. Unique in the fleet.
struct CallId {
  std::string gateway;  ///< Entry host that has the caller's connection.
  std::int64_t incarnation = 0;  ///< Incarnation of that entry host.
  std::int64_t number = 0;

  friend auto operator<=>(const CallId&, const CallId&) = default;

  template <typename H>
  friend H AbslHashValue(H hash, const CallId& id) {
    return H::combine(std::move(hash), id.gateway, id.incarnation, id.number);
  }
};

/// Identifies the grant of a slot. Unique in the fleet.
struct GrantId {
  std::string dispatcher;        ///< Entry host that granted the slot.
  std::int64_t incarnation = 0;  ///< Incarnation of that entry host.
  std::int64_t number = 0;       ///< Increases with each grant.

  friend auto operator<=>(const GrantId&, const GrantId&) = default;

  template <typename H>
  friend H AbslHashValue(H hash, const GrantId& id) {
    return H::combine(std::move(hash), id.dispatcher, id.incarnation,
                      id.number);
  }
};

/// How the use of a granted slot ended.
enum class SlotResult {
  kUnused,       ///< No connection was made and nothing was sent.
  kSucceeded,    ///< The worker answered.
  kFailed,       ///< The worker answered with a server error.
  kUnreachable,  ///< No connection to the worker could be made.
  kBroken,       ///< The connection closed before the complete answer.
  kTimedOut,     ///< The answer did not arrive in time.
  kAbandoned,    ///< The caller disconnected; ignored for worker health.
};

/// Sent periodically: the sender is live and uses this configuration.
struct Heartbeat {
  std::string data_centre;
  std::int64_t config_revision = 0;
  bool store_reachable = false;
  bool stopping = false;
  /// Time since the store confirmed `config_revision`, to the sender or through
  /// another peer.
  Duration confirmed_age{};

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// Gateway to dispatcher: requests a slot in a cell. Idempotent: a repeated
/// request with the same call and attempt is queued once, and is answered with
/// the same grant after the slot is granted.
struct SlotRequest {
  CallId call;
  /// Increases with each attempt of the call. A request with a higher number
  /// cancels the earlier ones and releases the slots that they hold.
  std::int64_t attempt = 0;
  CellId cell;
  std::string team;
  std::string queue;
  /// Time until the caller's deadline; the receiver adds it to its own clock.
  Duration remaining{};
  std::vector<std::string> excluded;  ///< Hosts that failed this request.

  friend bool operator==(const SlotRequest&, const SlotRequest&) = default;
};

/// Dispatcher to gateway: `call` has a slot on `host`.
struct SlotGrant {
  CallId call;
  std::int64_t attempt = 0;
  CellId cell;
  GrantId grant;
  std::string host;

  friend bool operator==(const SlotGrant&, const SlotGrant&) = default;
};

/// Dispatcher to gateway: `call` gets no slot and was not run.
struct SlotRefusal {
  CallId call;
  std::int64_t attempt = 0;
  CellId cell;
  Reason reason = Reason::kNone;

  friend bool operator==(const SlotRefusal&, const SlotRefusal&) = default;
};

/// Gateway to dispatcher: releases a granted slot.
struct SlotRelease {
  CellId cell;
  GrantId grant;
  SlotResult result = SlotResult::kUnused;

  friend bool operator==(const SlotRelease&, const SlotRelease&) = default;
};

/// Gateway to dispatcher: cancels the slot request of `call`.
struct SlotCancel {
  CallId call;
  std::int64_t attempt = 0;
  CellId cell;

  friend bool operator==(const SlotCancel&, const SlotCancel&) = default;
};

/// Gateway to dispatcher, sent periodically: a summary of the attempts that
/// hold a slot or wait for one in a cell. The dispatcher compares it with its
/// state.
struct SlotSummary {
  CellId cell;
  std::int64_t attempts = 0;  ///< Number of attempts.
  std::int64_t digest = 0;    ///< XOR of their AttemptDigest values.

  friend bool operator==(const SlotSummary&, const SlotSummary&) = default;
};

/// Dispatcher to gateway: requests a SlotInventory because the last summaries
/// did not match its state.
struct SlotInventoryRequest {
  CellId cell;

  friend bool operator==(const SlotInventoryRequest&,
                         const SlotInventoryRequest&) = default;
};

/// A granted slot as reported by its gateway.
struct HeldSlot {
  GrantId grant;
  std::int64_t call = 0;  ///< Number of the call at the reporting gateway.
  std::int64_t attempt = 0;
  std::string team;
  std::string queue;
  std::string host;
  Duration remaining{};  ///< Until the caller's deadline.

  friend bool operator==(const HeldSlot&, const HeldSlot&) = default;
};

/// Gateway to dispatcher, on request and after a change of dispatcher: all
/// slots that the gateway holds in a cell and the calls that wait there. A
/// SlotRequest for each waiting call follows it.
struct SlotInventory {
  CellId cell;
  std::vector<HeldSlot> held;
  std::vector<std::int64_t> waiting;  ///< Numbers of the waiting calls.

  friend bool operator==(const SlotInventory&, const SlotInventory&) = default;
};

/// Returns the contribution of an attempt to the digest of a SlotSummary. Mixes
/// the bits so that the XOR of different sets of attempts differs.
constexpr std::int64_t AttemptDigest(std::int64_t call, std::int64_t attempt) {
  auto hash = static_cast<std::uint64_t>(call) * 0x9e3779b97f4a7c15ULL +
              static_cast<std::uint64_t>(attempt);
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
  return static_cast<std::int64_t>(hash ^ (hash >> 31));
}

/// The part of the fleet whose use of slots a ShareDigest sums up.
enum class DigestScope {
  kHost,        ///< The sender's cells; sent to its data centre's aggregators.
  kDataCentre,  ///< One data centre; sent to the other aggregators.
  kFleet,       ///< The fleet without the receiver; sent to the hosts of the
                ///< data centre.
};

/// Used slots of each team, and free slots of each cell. Names are sent as
/// ordinals in the snapshot's sorted list of names; for teams and pools the
/// list has only the members of the shard. `names_digest` identifies the lists.
struct ShareDigest {
  DigestScope scope = DigestScope::kHost;
  std::int64_t shard = 0;  ///< Teams and pools are sharded across aggregators.
  std::int64_t names_digest = 0;
  // Parallel lists, an element for each team.
  std::vector<std::int64_t> teams;
  std::vector<std::int64_t> centislots;  ///< Mean slots in use, in hundredths.
  // Parallel lists, an element for each cell.
  std::vector<std::int64_t> pools;
  std::vector<std::int64_t> data_centres;
  std::vector<std::int64_t> free_slots;
  std::vector<std::int64_t> waiting;  ///< Number of waiting requests.

  friend bool operator==(const ShareDigest&, const ShareDigest&) = default;
};

/// Requests the snapshot of a peer if it is newer than `known_revision`.
struct SnapshotRequest {
  std::int64_t known_revision = 0;

  friend bool operator==(const SnapshotRequest&,
                         const SnapshotRequest&) = default;
};

/// All configuration rows of the sender's snapshot.
struct SnapshotReply {
  std::vector<Row> rows;
  Duration confirmed_age{};  ///< As in Heartbeat.

  friend bool operator==(const SnapshotReply&, const SnapshotReply&) = default;
};

/// What an entry host knows about another one.
struct MemberEntry {
  std::string name;
  std::string data_centre;
  std::string address;  ///< `IP:port` for peers; empty if unknown.
  std::int64_t incarnation = 0;
  std::int64_t config_revision = 0;
  bool store_reachable = false;
  bool stopping = false;
  /// Time since it was last known to be live; negative if the sender does not
  /// count it as live.
  Duration age{};

  friend bool operator==(const MemberEntry&, const MemberEntry&) = default;
};

/// Tells entry hosts about each other. The sender observes the liveness of
/// members of its own data centre directly.
struct MemberReport {
  std::vector<MemberEntry> members;

  friend bool operator==(const MemberReport&, const MemberReport&) = default;
};

/// All messages between entry hosts. The index of a type is its number on the
/// wire: only append.
using PeerMessage =
    std::variant<Heartbeat, SlotRequest, SlotGrant, SlotRefusal, SlotRelease,
                 SlotCancel, SnapshotRequest, SnapshotReply, MemberReport,
                 SlotSummary, SlotInventoryRequest, SlotInventory, ShareDigest>;

/// A message with the identity of its sender. Receivers drop messages whose
/// incarnation is lower than the highest one seen from that sender.
struct PeerEnvelope {
  std::string from;
  std::int64_t incarnation = 0;
  PeerMessage message;

  friend bool operator==(const PeerEnvelope&, const PeerEnvelope&) = default;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_MODEL_MESSAGES_H_
