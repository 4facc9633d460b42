#ifndef HYSSOPBARROW_POLICY_ENTRY_H_
#define HYSSOPBARROW_POLICY_ENTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "Policy/fleet_effects.h"
#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Who an entry host is.
struct Identity {
  std::string node;
  std::string holder;          ///< Differs between two lives of a host.
  std::string address;         ///< Where other entry hosts ask this one.
  std::int64_t cpu_milli = 0;  ///< Processor share; 0 if it is not known.

  friend bool operator==(const Identity&, const Identity&) = default;
};

/// Follows one table: reads it whole, then waits for changes.
struct TableFollower {
  Table table = Table::kConfiguration;
  Duration watch_wait{};
  Duration
      watch_delay{};  ///< Between two watches, so that changes come together.
  std::int64_t revision = 0;
  bool loaded = false;   ///< The table was read whole.
  std::string next_key;  ///< Where the next part of a read begins.
  std::int64_t read_revision = 0;
  std::int64_t pending_request = 0;
  Instant retry_at{};
  bool store_unresponsive = false;  ///< The last request failed.
};

/// What an entry host has told of itself.
struct Candidate {
  std::int64_t cpu_milli = 0;  ///< Thousandths of a core.
  std::int64_t revision = 0;   ///< Of the row that tells it.

  friend bool operator==(const Candidate&, const Candidate&) = default;
};

/// The fleet's ownership as this entry host sees it.
struct Ownership {
  bool loaded = false;  ///< The rows were read.
  std::int64_t epoch = 0;
  std::int64_t epoch_revision = 0;
  std::int64_t lease_revision = 0;
  std::string holder;
  std::string address;
  bool released = true;  ///< Nobody holds the lease.
  /// Since then the lease is known not to have been renewed.
  Instant unchanged_since{};
  Instant
      last_store_reply_at{};  ///< When the store last answered about the rows.

  std::int64_t pending_claim = 0;
  Instant claim_sent_at{};
  Instant next_claim{};

  std::int64_t pending_renewal = 0;
  Instant renewal_sent_at{};
  Instant next_renewal{};
  Instant renewed_at{};  ///< When the last renewal that succeeded was sent.
  std::int64_t renewals = 0;
  bool releasing = false;

  std::map<std::string, Candidate> candidates;  ///< By node.
  bool candidacy_written = false;               ///< This life's share is told.
  std::int64_t pending_candidacy_write = 0;
  Instant next_candidacy_write{};
};

/// Where a call is on its way to an answer.
enum class CallStage {
  kInsert,
  kVerifyInsert,
  kWriteTombstone,
  kQueryOwner,
  kReadJob,
  kReadProgress,
  kWriteCancel
};

struct PendingCall {
  Call call;
  CallStage stage = CallStage::kQueryOwner;
  std::int64_t pending_request = 0;  ///< The request that the call waits for.
  Instant deadline{};
  Instant arrived_at{};
  std::optional<Instant> retry_at;
  std::string job;
  std::string queue;
  JobRecord record;
  std::int64_t row_revision = 0;
  bool insert_unresolved = false;
  bool cancelled = false;
};

/// All that one entry host knows.
struct EntryState {
  Identity self;
  TimingSettings timing;
  std::int64_t next_id = 1;
  std::optional<Configuration> configuration;
  std::map<std::int64_t, Wave> waves;
  TableFollower configuration_follower{.table = Table::kConfiguration,
                                       .watch_wait = std::chrono::seconds(2)};
  TableFollower ownership_follower{
      .table = Table::kOwner, .watch_wait = std::chrono::milliseconds(500)};
  TableFollower jobs_follower{.table = Table::kJobs,
                              .watch_wait = std::chrono::seconds(1)};
  TableFollower progress_follower{.table = Table::kProgress,
                                  .watch_wait = std::chrono::seconds(1)};
  /// Each target writes every 1.5 s; a change may be known this much later.
  TableFollower targets_follower{.table = Table::kTargets,
                                 .watch_wait = std::chrono::seconds(1),
                                 .watch_delay = std::chrono::milliseconds(250)};
  Ownership ownership;
  std::optional<Owner> owner;
  std::map<std::int64_t, PendingCall> calls;
  std::unordered_map<std::int64_t, std::int64_t> call_by_request;
  bool stopping = false;
};

/// Everything that may happen to an entry host. Each appends its effects.
void OnTick(EntryState& entry, const EventTime& at, Effects& out);
void OnCall(EntryState& entry, Call call, const EventTime& at, Effects& out);
void OnCallerDisconnected(EntryState& entry, std::int64_t call);
void HandleStoreReply(EntryState& entry, std::int64_t id,
                      const StoreRows& reply, const EventTime& at,
                      Effects& out);
void ForwardTargetReply(EntryState& entry, std::int64_t id,
                        const TargetReply& reply, const EventTime& at,
                        Effects& out);
void ForwardApprovalReply(EntryState& entry, std::int64_t id,
                          const ApprovalReply& reply, const EventTime& at,
                          Effects& out);
void ForwardHostListReply(EntryState& entry, std::int64_t id,
                          const HostList& list, const EventTime& at,
                          Effects& out);
void ForwardHostReply(EntryState& entry, std::int64_t id,
                      HostRequestResult result, const EventTime& at,
                      Effects& out);
void HandleOwnerReply(EntryState& entry, std::int64_t id,
                      const OwnerReply& reply, const EventTime& at,
                      Effects& out);
/// The process was asked to stop: the ownership is handed over at once.
void OnStop(EntryState& entry, const EventTime& at, Effects& out);

/// Answers another entry host's question from the owner's memory.
OwnerReply AnswerOwnerQuery(const EntryState& entry, OwnerQueryKind kind,
                            const std::string& key);

/// True while the host can serve callers: it knows the configuration, is not
/// stopping, and the store answers it. One that is cut off from the store can
/// accept nothing, while hosts elsewhere can.
bool IsServing(const EntryState& entry, Instant now);

/// When OnTick is due at the latest.
Instant NextTick(const EntryState& entry, Instant now);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_ENTRY_H_
