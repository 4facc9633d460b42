#ifndef HYSSOPBARROW_POLICY_ENTRY_H_
#define HYSSOPBARROW_POLICY_ENTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "Policy/fleet_effects.h"
#include "Policy/owner.h"
#include "Policy/tombstones.h"

namespace hyssopbarrow::fleet {

/// The names and the CPU share that an entry host writes to the store.
struct Identity {
  std::string node;
  std::string holder;          ///< NODE@INSTANCE, differs between instances.
  std::string address;         ///< To which other entry hosts send queries.
  std::int64_t cpu_milli = 0;  ///< CPU share; 0 if it is not known.
  std::int64_t link_mbps = 0;  ///< Bandwidth; 0 if it is not known.
  std::string relay_address;   ///< At which it carries target requests.
  std::string data_centre;

  friend bool operator==(const Identity&, const Identity&) = default;
};

/// Follows a store table: reads it whole, then watches it for changes.
struct TableFollower {
  Table table = Table::kConfiguration;
  Duration watch_wait{};  ///< How long a watch waits for a change.
  /// How long after its wait a watch without reply is given up.
  Duration watch_margin = std::chrono::milliseconds(700);
  Duration watch_delay{};  ///< Gap between two watches, which batches changes.
  std::int64_t revision = 0;
  bool loaded = false;  ///< The whole table has been read.
  /// A watch has brought the changes that were made during the read.
  bool caught_up = false;
  std::string next_key;              ///< First key of the next part of a read.
  std::int64_t read_revision = 0;    ///< Revision of the read's first part.
  std::int64_t pending_request = 0;  ///< Read or watch; 0 if none.
  Instant request_sent_at{};         ///< Of the pending request.
  Instant request_wait_end{};        ///< When the pending watch stops waiting.
  /// Changes that were stored before then are known. Advances only once the
  /// follower has caught up.
  Instant known_at{};
  Instant retry_at{};
  bool store_unresponsive = false;  ///< The last request failed.
  /// A watch that brought changes is followed by one that does not wait:
  /// `known_at` would else be as old as two watches.
  bool confirms_changes = false;
  bool unconfirmed = false;  ///< The next watch is not to wait for that reason.
};

/// What an entry host has announced about itself.
struct Candidate {
  std::int64_t cpu_milli = 0;  ///< Thousandths of a core.
  std::int64_t link_mbps = 0;  ///< Bandwidth of its link.
  std::string relay_address;   ///< Empty if it carries no target requests.
  std::string data_centre;
  std::int64_t revision = 0;  ///< Of the row that announces it.

  friend bool operator==(const Candidate&, const Candidate&) = default;
};

/// The ownership of the fleet, as far as this entry host knows it.
struct Ownership {
  bool loaded = false;  ///< The rows have been read.
  std::int64_t epoch = 0;
  std::int64_t epoch_revision = 0;
  std::int64_t lease_revision = 0;
  std::string holder;
  std::string address;
  bool released = true;  ///< No host holds the lease.
  /// The holder stores a record before it sends a host request.
  bool records_host_requests = false;
  /// What the owner has left for further jobs, in bytes.
  std::int64_t job_room = 0;
  /// What this host may fill until the next row: an equal part of half of it,
  /// since jobs that were just accepted are not in it yet.
  std::int64_t job_room_share = 0;
  Instant job_room_known_until{};
  /// Latest time at which an owner before the holder may send requests to
  /// targets.
  Instant earlier_requests_end{};
  /// The epoch and lease rows have not changed since then, as far as the store
  /// has replied.
  Instant unchanged_since{};
  /// When the store last replied to a read or a watch of the rows.
  Instant last_store_reply_at{};

  std::int64_t pending_claim = 0;
  Instant claim_sent_at{};
  /// Latest time at which an owner before the last claim may send requests to
  /// targets.
  Instant requests_end_before_claim{};
  Instant next_claim{};

  std::int64_t pending_renewal = 0;
  Instant renewal_sent_at{};
  Instant next_renewal{};
  Instant renewed_at{};  ///< When the last successful renewal was sent.
  std::int64_t renewals = 0;
  bool releasing = false;          ///< The pending renewal releases the lease.
  std::int64_t job_room_sent = 0;  ///< In the last renewal.

  std::map<std::string, Candidate> candidates;  ///< By node.
  bool candidacy_written = false;  ///< This instance has announced itself.
  std::int64_t pending_candidacy_write = 0;
  Instant next_candidacy_write{};
};

/// The request that a call waits for or, once that failed, retries.
enum class CallStage {
  kInsert,
  kVerifyInsert,    ///< Reads whether an insert without reply took effect.
  kWriteTombstone,  ///< Blocks an insert that may still arrive.
  kQueryOwner,
  kReadJob,
  kReadProgress,
  kWriteCancel
};

/// A caller's call without an answer yet.
struct PendingCall {
  Call call;
  CallStage stage = CallStage::kQueryOwner;
  std::int64_t pending_request = 0;  ///< 0 if no reply is awaited.
  Instant deadline{};
  Instant arrived_at{};
  std::optional<Instant> retry_at;
  std::string job;
  std::string queue;
  JobRecord record;
  std::int64_t row_revision = 0;   ///< Of the job's row.
  bool insert_unresolved = false;  ///< An insert may still take effect.
  bool cancelled = false;          ///< The job has been cancelled.
  bool too_large = false;          ///< The owner has no room for the job.
};

/// State of one entry host.
struct EntryState {
  Identity self;
  TimingSettings timing;
  std::int64_t next_id = 1;  ///< Of the next request.
  /// OnTick is due then at the latest. Other events do not put it off.
  Instant next_tick{};
  std::optional<Configuration> configuration;
  /// The store has a newer configuration, of which nothing could be read.
  bool configuration_unreadable = false;
  bool configuration_outdated = false;  ///< As last logged.
  std::map<std::int64_t, Wave> waves;
  EvacuatedDataCentres evacuated;
  /// Requests in the pages received so far of a read of the whole table.
  EvacuatedDataCentres evacuations_read;
  /// Its `watch_wait` follows from TimingSettings::max_configuration_age.
  TableFollower configuration_follower{.table = Table::kConfiguration,
                                       .confirms_changes = true};
  TableFollower ownership_follower{
      .table = Table::kOwner, .watch_wait = std::chrono::milliseconds(500)};
  /// While this host owns the fleet, the margins of its watches of jobs and
  /// targets follow the latency of its commits.
  TableFollower jobs_follower{.table = Table::kJobs,
                              .watch_wait = std::chrono::milliseconds(500)};
  TableFollower progress_follower{.table = Table::kProgress,
                                  .watch_wait = std::chrono::seconds(1)};
  /// Each target writes every 1.5 s. The watch delay batches the changes, which
  /// are known that much later.
  TableFollower targets_follower{.table = Table::kTargets,
                                 .watch_wait = std::chrono::milliseconds(250),
                                 .watch_delay = std::chrono::milliseconds(250)};
  Ownership ownership;
  std::optional<Owner> owner;
  std::map<std::int64_t, PendingCall> calls;
  std::unordered_map<std::int64_t, std::int64_t> call_by_request;
  Tombstones tombstones;
  bool stopping = false;
};

/// Events of an entry host. Each function updates the state and appends the
/// effects to carry out. Replies of targets, the placement policy and the host
/// provider are forwarded to the owner, or dropped if this host is not the
/// owner.
void OnTick(EntryState& entry, const EventTime& time, Effects& out);
void OnCall(EntryState& entry, Call call, const EventTime& time, Effects& out);
/// Drops a call whose caller went away, unless it submits or cancels a job:
/// writes to the store go on.
void OnCallerDisconnected(EntryState& entry, std::int64_t call);
void HandleStoreReply(EntryState& entry, std::int64_t id,
                      const StoreRows& reply, const EventTime& time,
                      Effects& out);
void ForwardTargetReply(EntryState& entry, std::int64_t id,
                        const TargetReply& reply, const EventTime& time,
                        Effects& out);
void ForwardApprovalReply(EntryState& entry, std::int64_t id,
                          const ApprovalReply& reply, const EventTime& time,
                          Effects& out);
void ForwardHostListReply(EntryState& entry, std::int64_t id,
                          const HostList& list, const EventTime& time,
                          Effects& out);
void ForwardHostReply(EntryState& entry, std::int64_t id,
                      HostRequestResult result, const EventTime& time,
                      Effects& out);
void HandleOwnerReply(EntryState& entry, std::int64_t id,
                      const OwnerReply& reply, const EventTime& time,
                      Effects& out);
/// Handles the loss of the connection to a relay. The requests that it carried
/// are answered separately, with kRelayLost.
void OnRelayLost(EntryState& entry, const std::string& address,
                 const EventTime& time, Effects& out);
/// Releases the ownership because the process is to stop.
void OnStop(EntryState& entry, const EventTime& time, Effects& out);

/// Answers another entry host's query from the owner's state. `answered` is
/// false if this host is not the owner or does not know the answer.
OwnerReply AnswerOwnerQuery(const EntryState& entry, OwnerQueryKind kind,
                            const std::string& key, Instant now);

/// True while every configuration that was stored longer ago than the time in
/// which it must be in force is in force here.
bool IsConfigurationCurrent(const EntryState& entry, Instant now);

/// True while the host can serve callers: its configuration is current and no
/// newer one is unreadable, it is not stopping, and the store is responsive. A
/// host without the store cannot accept jobs, while other hosts can.
bool IsServing(const EntryState& entry, Instant now);

/// Latest time at which to call OnTick next.
Instant NextTick(const EntryState& entry, Instant now);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_ENTRY_H_
