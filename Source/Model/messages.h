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

/// One pool in one data centre; the unit that has a single dispatcher.
struct CellId {
  std::string pool;
  std::string data_centre;

  friend auto operator<=>(const CellId&, const CellId&) = default;
};

/// A request as its gateway names it. Unique per gateway incarnation.
struct CallId {
  std::string
      gateway;  ///< Name of the entry host that holds the caller's connection.
  std::int64_t incarnation = 0;  ///< Incarnation of that entry host.
  std::int64_t number = 0;

  friend auto operator<=>(const CallId&, const CallId&) = default;

  template <typename H>
  friend H AbslHashValue(H hash, const CallId& it) {
    return H::combine(std::move(hash), it.gateway, it.incarnation, it.number);
  }
};

/// A grant as its dispatcher names it. Unique in the fleet.
struct GrantId {
  std::string dispatcher;        ///< Name of the entry host that granted.
  std::int64_t incarnation = 0;  ///< Incarnation of that entry host.
  std::int64_t number = 0;       ///< Grows with each grant of an incarnation.

  friend auto operator<=>(const GrantId&, const GrantId&) = default;

  template <typename H>
  friend H AbslHashValue(H hash, const GrantId& it) {
    return H::combine(std::move(hash), it.dispatcher, it.incarnation,
                      it.number);
  }
};

/// How the use of a granted slot ended.
enum class SlotResult {
  kUnused,       ///< No connection was made and nothing was sent.
  kSucceeded,    ///< The worker answered.
  kFailed,       ///< The worker answered with an error of its own.
  kUnreachable,  ///< No connection could be made.
  kBroken,       ///< The connection ended before the answer was complete.
  kTimedOut,     ///< No answer in time.
  kAbandoned,    ///< The caller went away; says nothing about the worker.
};

/// Shows that the sender is alive and what it knows.
struct Heartbeat {
  std::string data_centre;
  std::int64_t config_revision = 0;
  bool store_reachable = false;
  bool stopping = false;
  Duration confirmed_age{};  ///< Since the table confirmed that revision, at
                             ///< first or second hand.

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// Gateway to dispatcher: asks for a slot in a cell. Idempotent: the same ask
/// is queued once, and answered with the same grant once it is granted.
struct SlotRequest {
  CallId call;
  std::int64_t attempt = 0;  ///< Grows with each attempt of the call. A higher
                             ///< number ends whatever an earlier one holds.
  CellId cell;
  std::string team;
  std::string queue;
  Duration remaining{};  ///< Until the caller's deadline; made a deadline on
                         ///< arrival.
  std::vector<std::string>
      excluded;  ///< Hosts that already failed this request.

  friend bool operator==(const SlotRequest&, const SlotRequest&) = default;
};

/// Dispatcher to gateway: `host` may be used for `call`.
struct SlotGrant {
  CallId call;
  std::int64_t attempt = 0;
  CellId cell;
  GrantId grant;
  std::string host;

  friend bool operator==(const SlotGrant&, const SlotGrant&) = default;
};

/// Dispatcher to gateway: `call` cannot start; it was not run.
struct SlotRefusal {
  CallId call;
  std::int64_t attempt = 0;
  CellId cell;
  Reason reason = Reason::kNone;

  friend bool operator==(const SlotRefusal&, const SlotRefusal&) = default;
};

/// Gateway to dispatcher: the slot is free again.
struct SlotRelease {
  CellId cell;
  GrantId grant;
  SlotResult result = SlotResult::kUnused;

  friend bool operator==(const SlotRelease&, const SlotRelease&) = default;
};

/// Gateway to dispatcher: `call` no longer waits.
struct SlotCancel {
  CallId call;
  std::int64_t attempt = 0;
  CellId cell;

  friend bool operator==(const SlotCancel&, const SlotCancel&) = default;
};

/// Gateway to dispatcher, periodically: what the gateway holds and waits for
/// in a cell, as a count and a digest that does not depend on order.
struct SlotSummary {
  CellId cell;
  std::int64_t attempts = 0;
  std::int64_t digest = 0;

  friend bool operator==(const SlotSummary&, const SlotSummary&) = default;
};

/// Dispatcher to gateway: asks for a SlotInventory, since the last summaries
/// did not match.
struct SlotInventoryRequest {
  CellId cell;

  friend bool operator==(const SlotInventoryRequest&,
                         const SlotInventoryRequest&) = default;
};

/// A granted slot as its gateway reports it.
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

/// Gateway to dispatcher, when asked and after a change of dispatcher:
/// everything the gateway holds in a cell. Requests for all that waits there
/// follow it.
struct SlotInventory {
  CellId cell;
  std::vector<HeldSlot> held;
  std::vector<std::int64_t> waiting;  ///< Numbers of the calls that wait.

  friend bool operator==(const SlotInventory&, const SlotInventory&) = default;
};

/// The part of an ask in the digest of a SlotSummary.
constexpr std::int64_t AttemptDigest(std::int64_t call, std::int64_t ask) {
  auto hash = static_cast<std::uint64_t>(call) * 0x9e3779b97f4a7c15ULL +
              static_cast<std::uint64_t>(ask);
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
  return static_cast<std::int64_t>(hash ^ (hash >> 31));
}

/// Whose use of slots a ShareDigest adds up.
enum class DigestScope {
  kHost,        ///< The sender's cells; goes to the data centre's aggregator.
  kDataCentre,  ///< One data centre; goes to the other aggregators.
  kFleet,       ///< The fleet without the receiver; goes to the hosts of the
                ///< data centre.
};

/// Use of slots by team, and free slots by cell. Names are sent as ordinals in
/// the sorted names of the snapshot, whose digest is `names`; those of teams
/// and pools count the members of the shard.
struct ShareDigest {
  DigestScope scope = DigestScope::kHost;
  std::int64_t shard = 0;  ///< Teams and pools are split among aggregators.
  std::int64_t names_digest = 0;
  std::vector<std::int64_t> teams;
  std::vector<std::int64_t> centislots;  ///< Mean slots in use, by hundredths.
  std::vector<std::int64_t> pools;
  std::vector<std::int64_t> data_centres;
  std::vector<std::int64_t> free_slots;
  std::vector<std::int64_t> waiting;

  friend bool operator==(const ShareDigest&, const ShareDigest&) = default;
};

/// Asks a peer for its snapshot if it is newer than `known_revision`.
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

/// What an entry host knows of another one.
struct MemberEntry {
  std::string name;
  std::string data_centre;
  std::string address;  ///< `IP:port` for peers; empty when not known.
  std::int64_t incarnation = 0;
  std::int64_t config_revision = 0;
  bool store_reachable = false;
  bool stopping = false;
  Duration age{};  ///< Since the sender last heard of it; negative when the
                   ///< sender does not count it as live.

  friend bool operator==(const MemberEntry&, const MemberEntry&) = default;
};

/// Introduces entry hosts to each other. The liveness of entries of the
/// sender's own data centre is first hand.
struct MemberReport {
  std::vector<MemberEntry> members;

  friend bool operator==(const MemberReport&, const MemberReport&) = default;
};

/// Everything that entry hosts say to each other. The position of a type is
/// its number on the wire: append only.
using PeerMessage =
    std::variant<Heartbeat, SlotRequest, SlotGrant, SlotRefusal, SlotRelease,
                 SlotCancel, SnapshotRequest, SnapshotReply, MemberReport,
                 SlotSummary, SlotInventoryRequest, SlotInventory, ShareDigest>;

/// A message with the identity of its sender. Receivers drop an incarnation
/// lower than the highest one seen from that sender.
struct PeerEnvelope {
  std::string from;
  std::int64_t incarnation = 0;
  PeerMessage message;

  friend bool operator==(const PeerEnvelope&, const PeerEnvelope&) = default;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_MODEL_MESSAGES_H_
