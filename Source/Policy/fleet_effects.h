#ifndef HYSSOPBARROW_POLICY_FLEET_EFFECTS_H_
#define HYSSOPBARROW_POLICY_FLEET_EFFECTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Model/fleet.h"
#include "Model/job.h"
#include "Model/row.h"
#include "Model/time.h"

namespace hyssopbarrow::fleet {

/// The present moment, read once for each event.
struct EventTime {
  Instant now;  ///< Counts the time for which the machine was suspended.
  std::int64_t unix_ms = 0;
};

// ---- The store ----

/// The tables of the store. The operators and the targets write the first two.
enum class Table { kConfiguration, kTargets, kOwner, kJobs, kProgress, kWaves };

/// Reads a range of keys; an empty bound is open.
struct ReadRows {
  std::int64_t id = 0;
  Table table = Table::kJobs;
  std::string first;
  std::string end;  ///< Not part of the range.
};

/// Waits until rows of the table change after `revision`.
struct WatchRows {
  std::int64_t id = 0;
  Table table = Table::kJobs;
  std::int64_t revision = 0;
  Duration wait{};
};

/// Condition or write on a row of one of the project's own tables.
struct RowRef {
  Table table = Table::kJobs;
  std::string key;

  friend auto operator<=>(const RowRef&, const RowRef&) = default;
};

/// Writes that take effect together, and only if every row in `conditions` has
/// the revision named; 0 requires its absence. A null value removes a row.
struct CommitRows {
  std::int64_t id = 0;
  std::vector<std::pair<RowRef, std::int64_t>> conditions;
  std::vector<std::pair<RowRef, nlohmann::json>> writes;
  /// Answers take 4 ms, and up to 60 times that while the store is slow.
  Duration timeout = std::chrono::milliseconds(600);
};

/// Answer to a read, a watch or a commit.
struct StoreRows {
  StoreStatus status = StoreStatus::kUnavailable;
  std::vector<Row> rows;  ///< Of the project's own tables; null value: removed.
  std::optional<Configuration> configuration;
  std::vector<Wave> waves;
  std::vector<Target> targets;
  std::vector<std::string> removed_targets;  ///< Also unreadable entries.
  std::int64_t revision = 0;                 ///< Newest revision of the store.
  bool truncated = false;                    ///< More rows follow the last one.
  std::string last_key;
  bool history_lost = false;        ///< A watch has to start from a new read.
  std::vector<std::string> errors;  ///< Entries that could not be read.
};

// ---- Targets ----

enum class TargetRequestKind { kPoll, kStart, kStop, kThrottle };

/// An order to one life of a target.
struct TargetRequest {
  std::int64_t id = 0;
  TargetRequestKind kind = TargetRequestKind::kPoll;
  std::string target;
  std::string address;
  std::int64_t fencing_token =
      0;  ///< Epoch of the owner; a lower one is refused.
  /// On the target's clock: everything it runs ends then unless extended.
  std::optional<std::int64_t> lease_until_ms;
  TaskName task;
  std::int64_t run = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  std::int64_t last_end_stored = 0;  ///< Ends up to here are stored.
  Duration wait{};                   ///< A hold waits so long for an end.
  std::int64_t speed_percent = 0;
  Duration timeout{};
  bool fresh_connection = false;
};

enum class TargetResult {
  kDone,
  kFenced,        ///< The target has seen a higher token.
  kOldRun,        ///< The run is not above one that was stopped or ended.
  kLeaseExpired,  ///< The lease in the order has passed.
  kNoRoom,
  kNoTicket,
  kInvalid,        ///< The target does not understand the order.
  kUnhealthy,      ///< The target refused and did nothing.
  kOtherInstance,  ///< Another life of a target has this address.
  kNotSent,        ///< No connection: nothing was sent.
  kNoReply,        ///< May be carried out, now or later.
};

std::string_view ToString(TargetResult result);

struct ReportedRun {
  TaskName task;
  std::int64_t run = 0;
  std::string checkpoint;
  std::int64_t speed_percent = 0;
  std::int64_t load = 0;  ///< Tail in ms of a serving task, else cpu_milli.
};

enum class RunEndKind {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  kBroken,
  kGangIncomplete
};

std::string_view ToString(RunEndKind kind);

struct RunEnd {
  std::int64_t number = 0;
  TaskName task;
  std::int64_t run = 0;
  RunEndKind kind = RunEndKind::kDone;
  std::string checkpoint;
};

struct TargetReply {
  TargetResult result = TargetResult::kNoReply;
  std::int64_t clock_ms = 0;         ///< The target's clock.
  std::int64_t started_unix_ms = 0;  ///< 0 if the reply does not say.
  std::vector<ReportedRun> runs;
  std::vector<RunEnd> ends;
  bool ends_complete = true;  ///< False if more ends wait on the target.
};

// ---- Placement policy ----

struct ApprovalRequest {
  std::int64_t id = 0;
  std::string step;  ///< JOB.OCCURRENCE.STEP
  std::vector<std::string> targets;
  Duration timeout{};
};

struct ApprovalReply {
  bool answered = false;
  std::map<std::string, std::string> tickets;  ///< By target.
  std::int64_t valid_ms = 0;
};

// ---- Hosts ----

struct ListHosts {
  std::int64_t id = 0;
};

struct HostList {
  bool answered = false;
  std::string error;  ///< Why an answer could not be read.
  std::vector<Host> hosts;
};

/// Moves a host to another pool, or takes it out for upkeep.
struct HostRequest {
  std::int64_t id = 0;
  std::string host;
  std::string pool;       ///< Destination of a move; empty for upkeep.
  std::int64_t wave = 0;  ///< Of an upkeep.
  std::int64_t fencing_token = 0;
};

enum class HostRequestResult {
  kDone,
  kFenced,
  kBusy,
  kWrongWave,
  kInvalid,
  kLimited,
  kNoReply
};

std::string_view ToString(HostRequestResult result);

// ---- Other entry hosts ----

enum class OwnerQueryKind { kJobState, kWaiting };

/// Asks the owner for what its memory holds.
struct OwnerQuery {
  std::int64_t id = 0;
  std::string address;
  OwnerQueryKind kind = OwnerQueryKind::kJobState;
  std::string key;  ///< Job or queue.
};

struct OwnerReply {
  bool answered = false;
  std::optional<JobState> state;  ///< Empty if the owner knows no such job.
  std::int64_t waiting = 0;
};

// ---- Callers ----

enum class CallKind { kSubmit, kState, kCancel, kWaiting };

std::string_view ToString(CallKind kind);

/// A call of a caller, decoded.
struct Call {
  std::int64_t number = 0;
  std::string request_id;
  CallKind kind = CallKind::kState;
  std::string host_name;
  std::string path;  ///< Queue's prefix and job's id.
  std::optional<std::string> key;
  std::optional<JobSpec> spec;
  std::string spec_error;  ///< Why `spec` is empty.
  Duration time_left{};    ///< How long the caller waits.
};

enum class CallOutcome {
  kAccepted,  ///< The job is stored.
  kState,
  kWaiting,
  kCancelled,
  kNoQueue,
  kNoJob,
  kBadKey,
  kInvalid,
  kNotAccepted,  ///< The job is not stored and never runs.
  kUnavailable,  ///< The question cannot be answered now.
  kUnknown,      ///< The job may be stored.
};

std::string_view ToString(CallOutcome outcome);

struct CallReply {
  std::int64_t call = 0;
  CallOutcome outcome = CallOutcome::kUnavailable;
  JobState state = JobState::kPending;
  std::int64_t waiting = 0;
  std::string detail;
};

// ---- Log ----

enum class Severity { kInfo, kWarn, kError };

/// One decision: what it was about, what decided it and what came of it.
struct LogLine {
  Severity severity = Severity::kInfo;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// What a decision wants done.
using Effect = std::variant<ReadRows, WatchRows, CommitRows, TargetRequest,
                            ApprovalRequest, ListHosts, HostRequest, OwnerQuery,
                            CallReply, LogLine>;

using Effects = std::vector<Effect>;

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_FLEET_EFFECTS_H_
