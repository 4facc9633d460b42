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

/// The current time, read once for each event.
struct EventTime {
  Instant now;  ///< Monotonic; also advances while the machine is suspended.
  std::int64_t unix_ms = 0;
};

// ---- The store ----

/// The tables of the store. Operators write kConfiguration and targets write
/// kTargets; the entry hosts write the others.
enum class Table { kConfiguration, kTargets, kOwner, kJobs, kProgress, kWaves };

/// Reads a range of keys. An empty key means no bound on that side.
struct ReadRows {
  std::int64_t id = 0;
  Table table = Table::kJobs;
  std::string first;
  std::string end;  ///< Exclusive.
};

/// Waits up to `wait` for changes of the table after `revision`.
struct WatchRows {
  std::int64_t id = 0;
  Table table = Table::kJobs;
  std::int64_t revision = 0;
  Duration wait{};
  Duration timeout{};  ///< Includes `wait`.
};

/// A row in one of the tables that the entry hosts write.
struct RowRef {
  Table table = Table::kJobs;
  std::string key;

  friend auto operator<=>(const RowRef&, const RowRef&) = default;
};

/// Atomic writes that apply only if every row in `conditions` has the given
/// revision; revision 0 means that the row must not exist. A null value deletes
/// the row.
struct CommitRows {
  std::int64_t id = 0;
  std::vector<std::pair<RowRef, std::int64_t>> conditions;
  std::vector<std::pair<RowRef, nlohmann::json>> writes;
  /// Replies take 4 ms, and up to 60 times as long while the store is slow.
  Duration timeout = std::chrono::milliseconds(600);
};

/// Reply to a read, a watch or a commit.
struct StoreRows {
  StoreStatus status = StoreStatus::kUnavailable;
  /// Rows of the tables that the entry hosts write; a null value means deleted.
  std::vector<Row> rows;
  std::optional<Configuration> configuration;
  /// There is a newer configuration, of which nothing could be read.
  bool configuration_unreadable = false;
  std::vector<Wave> waves;
  std::vector<Evacuation> evacuations;
  std::vector<Target> targets;
  std::vector<std::string> removed_targets;  ///< Includes unreadable entries.
  std::int64_t revision = 0;                 ///< Newest revision of the store.
  bool truncated = false;                    ///< More rows follow `last_key`.
  std::string last_key;
  bool history_lost = false;        ///< The table must be read again in full.
  std::vector<std::string> errors;  ///< Why entries could not be read.
};

// ---- Targets ----

/// Polls extend the lease and return runs and ends; throttles set a run's
/// speed. The numeric values appear in the log.
enum class TargetRequestKind { kPoll, kStart, kStop, kThrottle };

/// A request to one instance of a target.
struct TargetRequest {
  std::int64_t id = 0;
  TargetRequestKind kind = TargetRequestKind::kPoll;
  std::string target;
  std::string address;
  /// Address of the entry host that carries the request; empty if the owner
  /// sends it itself.
  std::string relay;
  /// Epoch of the owner. Targets reject a token lower than one seen before.
  std::int64_t fencing_token = 0;
  /// On the target's clock. The target ends all runs then unless a later
  /// request extends the lease.
  std::optional<std::int64_t> lease_until_ms;
  TaskName task;
  std::int64_t run = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;                ///< For kStart, from the ApprovalReply.
  std::int64_t last_end_stored = 0;  ///< Acknowledges ends up to here.
  Duration wait{};                   ///< How long a poll waits for an end.
  std::int64_t speed_percent = 0;    ///< For kThrottle.
  Duration timeout{};
  bool fresh_connection = false;
};

enum class TargetResult {
  kDone,
  kFenced,  ///< The target has seen a higher fencing token.
  kOldRun,  ///< A run with this number or a higher one has stopped or ended.
  kLeaseExpired,  ///< The lease in the request has expired.
  kNoRoom,
  kNoTicket,
  kInvalid,        ///< The target could not parse the request.
  kUnhealthy,      ///< The unhealthy target refused and did nothing.
  kOtherInstance,  ///< Another target instance has this address.
  kNotSent,        ///< No connection; nothing was sent.
  kNoReply,        ///< The request may still take effect.
  kRelayLost,      ///< As kNoReply, but says nothing about the target.
};

std::string_view ToString(TargetResult result);

/// A run in a target's reply.
struct ReportedRun {
  TaskName task;
  std::int64_t run = 0;
  std::string checkpoint;
  std::int64_t speed_percent = 0;
  /// Tail latency in ms if the task serves requests, otherwise CPU use in
  /// thousandths of a core.
  std::int64_t load = 0;
};

enum class RunEndKind {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  kBroken,
  kGangIncomplete  ///< Not all tasks of the gang ran; reported as "alone".
};

std::string_view ToString(RunEndKind kind);

/// A target's report that a run has ended. Numbers increase within an instance.
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
  std::int64_t started_unix_ms = 0;  ///< Target instance; 0 if missing.
  std::vector<ReportedRun> runs;
  std::vector<RunEnd> ends;
  /// False if the target has more ends, or a run or an end was not readable.
  bool complete = true;
};

// ---- Placement policy ----

/// Asks the placement policy which of the targets may run a step.
struct ApprovalRequest {
  std::int64_t id = 0;
  std::string step;  ///< JOB.OCCURRENCE.STEP
  std::vector<std::string> targets;
  Duration timeout{};
};

struct ApprovalReply {
  bool answered = false;
  std::map<std::string, std::string> tickets;  ///< By target.
  std::int64_t valid_ms = 0;  ///< From the arrival of the reply.
};

// ---- Hosts ----

struct ListHosts {
  std::int64_t id = 0;
};

struct HostList {
  bool answered = false;
  std::string error;  ///< Why a reply could not be parsed.
  std::vector<Host> hosts;
};

/// Moves a host to another pool or takes it out for maintenance.
struct HostRequest {
  std::int64_t id = 0;
  std::string host;
  std::string pool;       ///< Destination of a move; empty for maintenance.
  std::int64_t wave = 0;  ///< Of a maintenance; 0 for a move.
  std::int64_t fencing_token = 0;
  /// The request must not be sent later: the sender may have been replaced.
  Instant latest_send{};
};

enum class HostRequestResult {
  kDone,
  kFenced,
  kBusy,
  kWrongWave,
  kInvalid,
  kLimited,
  kNotSent,  ///< No connection in time; nothing was sent.
  kNoReply
};

std::string_view ToString(HostRequestResult result);

// ---- Other entry hosts ----

enum class OwnerQueryKind { kJobState, kWaiting };

/// Query to the owning entry host, answered from its memory.
struct OwnerQuery {
  std::int64_t id = 0;
  std::string address;
  OwnerQueryKind kind = OwnerQueryKind::kJobState;
  std::string key;  ///< Job id or queue name.
};

struct OwnerReply {
  bool answered = false;
  std::optional<JobState> state;  ///< Empty if the job is unknown.
  std::int64_t waiting = 0;
};

// ---- Callers ----

enum class CallKind { kSubmit, kState, kCancel, kWaiting };

std::string_view ToString(CallKind kind);

/// A decoded call.
struct Call {
  std::int64_t number = 0;
  std::string request_id;
  CallKind kind = CallKind::kState;
  std::string host_name;  ///< As called; with `path`, selects the queue.
  std::string path;       ///< Path prefix of the queue, then the job id.
  std::optional<std::string> key;
  std::optional<JobSpec> spec;
  std::string spec_error;  ///< Why `spec` could not be parsed.
  Duration time_left{};    ///< Until the deadline of the caller.
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
  kNotAccepted,  ///< The job is not stored and will never run.
  kUnavailable,  ///< The request cannot be handled now.
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

/// A log event with its fields.
struct LogLine {
  Severity severity = Severity::kInfo;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// An action that the handlers of an event leave to their caller, as they do no
/// input or output themselves.
using Effect = std::variant<ReadRows, WatchRows, CommitRows, TargetRequest,
                            ApprovalRequest, ListHosts, HostRequest, OwnerQuery,
                            CallReply, LogLine>;

using Effects = std::vector<Effect>;

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_FLEET_EFFECTS_H_
