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
struct Follower {
  Table table = Table::kConfiguration;
  Duration wait{};
  Duration gap{};  ///< Between two watches, so that changes come together.
  std::int64_t revision = 0;
  bool whole = false;    ///< The table was read whole.
  std::string next_key;  ///< Where the next part of a read begins.
  std::int64_t read_revision = 0;
  std::int64_t open = 0;
  Instant retry_at{};
  bool lost = false;  ///< The last request failed.
};

/// What an entry host has told of itself.
struct Candidate {
  std::int64_t cpu_milli = 0;  ///< Thousandths of a core.
  std::int64_t revision = 0;   ///< Of the row that tells it.

  friend bool operator==(const Candidate&, const Candidate&) = default;
};

/// The fleet's ownership as this entry host sees it.
struct Ownership {
  bool known = false;  ///< The rows were read.
  std::int64_t epoch = 0;
  std::int64_t epoch_revision = 0;
  std::int64_t lease_revision = 0;
  std::string holder;
  std::string address;
  bool released = true;  ///< Nobody holds the lease.
  /// Since then the lease is known not to have been renewed.
  Instant unchanged_since{};
  Instant heard_at{};  ///< When the store last answered about the rows.

  std::int64_t open_claim = 0;
  Instant claim_sent{};
  Instant next_claim{};

  std::int64_t open_renewal = 0;
  Instant renewal_sent{};
  Instant next_renewal{};
  Instant renewed_at{};  ///< When the last renewal that succeeded was sent.
  std::int64_t renewals = 0;
  bool releasing = false;

  std::map<std::string, Candidate> candidates;  ///< By node.
  bool offered = false;                         ///< This life's share is told.
  std::int64_t open_offer = 0;
  Instant next_offer{};
};

/// Where a call is on its way to an answer.
enum class CallStage {
  kInsert,
  kLookUp,
  kVoid,
  kAskOwner,
  kReadJob,
  kReadProgress,
  kCancel
};

struct OpenCall {
  Call call;
  CallStage stage = CallStage::kAskOwner;
  std::int64_t open = 0;  ///< The request that the call waits for.
  Instant deadline{};
  Instant arrived{};
  std::optional<Instant> again_at;
  std::string job;
  std::string queue;
  JobRecord record;
  std::int64_t row_revision = 0;
  bool insert_unsettled = false;
  bool cancelled = false;
};

/// All that one entry host knows.
struct Entry {
  Identity self;
  Terms terms;
  std::int64_t next_id = 1;
  std::optional<Configuration> configuration;
  std::map<std::int64_t, Wave> waves;
  Follower operators{.table = Table::kConfiguration,
                     .wait = std::chrono::seconds(2)};
  Follower ownership_rows{.table = Table::kOwner,
                          .wait = std::chrono::milliseconds(500)};
  Follower jobs{.table = Table::kJobs, .wait = std::chrono::seconds(1)};
  Follower progress{.table = Table::kProgress, .wait = std::chrono::seconds(1)};
  /// Each target writes every 1.5 s; a change may be known this much later.
  Follower targets{.table = Table::kTargets,
                   .wait = std::chrono::seconds(1),
                   .gap = std::chrono::milliseconds(250)};
  Ownership ownership;
  std::optional<Owner> owner;
  std::map<std::int64_t, OpenCall> calls;
  std::unordered_map<std::int64_t, std::int64_t> call_by_request;
  bool stopping = false;
};

/// Everything that may happen to an entry host. Each appends its effects.
void OnTick(Entry& entry, const Moment& at, Effects& out);
void OnCall(Entry& entry, Call call, const Moment& at, Effects& out);
void OnCallerGone(Entry& entry, std::int64_t call);
void OnStoreReply(Entry& entry, std::int64_t id, const StoreRows& reply,
                  const Moment& at, Effects& out);
void OnOrderReply(Entry& entry, std::int64_t id, const OrderReply& reply,
                  const Moment& at, Effects& out);
void OnApproval(Entry& entry, std::int64_t id, const ApprovalReply& reply,
                const Moment& at, Effects& out);
void OnHosts(Entry& entry, std::int64_t id, const HostList& list,
             const Moment& at, Effects& out);
void OnHostReply(Entry& entry, std::int64_t id, HostResult result,
                 const Moment& at, Effects& out);
void OnOwnerReply(Entry& entry, std::int64_t id, const OwnerReply& reply,
                  const Moment& at, Effects& out);
/// The process was asked to stop: the ownership is handed over at once.
void OnStop(Entry& entry, const Moment& at, Effects& out);

/// Answers another entry host's question from the owner's memory.
OwnerReply AnswerPeer(const Entry& entry, AskKind kind, const std::string& key);

/// True while the host can serve callers: it knows the configuration, is not
/// stopping, and the store answers it. One that is cut off from the store can
/// accept nothing, while hosts elsewhere can.
bool IsServing(const Entry& entry, Instant now);

/// When OnTick is due at the latest.
Instant NextTick(const Entry& entry, Instant now);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_ENTRY_H_
