#include <algorithm>
#include <utility>
#include <vector>

#include "Model/json.h"
#include "Model/text.h"
#include "Policy/entry_internal.h"
#include "Policy/job_memory.h"
#include "Policy/row_sizes.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kJobIdLength = 16;
/// Calls are answered this long before their callers time out.
constexpr Duration kAnswerMargin = milliseconds(150);
/// Bounds of the time that a call may take, whatever its caller's timeout.
constexpr Duration kMinCallDuration = milliseconds(50);
constexpr Duration kMaxCallDuration = milliseconds(5000);
constexpr Duration kOwnerQueryRetryDelay = milliseconds(60);
/// A count that an owner does not know now changes with its next sweep.
constexpr Duration kWaitingRetryDelay = milliseconds(250);
constexpr Duration kStoreRetryDelay = milliseconds(150);

RowRef JobRowRef(const std::string& id) { return {Table::kJobs, id}; }

bool IsTombstone(const nlohmann::json& value) {
  return value.is_object() && value.contains(kTombstoneField);
}

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
                  (c >= 'A' && c <= 'F');
         });
}

/// Handles the calls of callers. A job is inserted with the condition that its
/// row is as last read. After an insert without reply the row is read; if the
/// job is not there, a tombstone is written under its id, so that the insert
/// fails if it arrives late, and the job is inserted again. A cancel of a job
/// that is not stored writes a tombstone, too: an insert may be on its way.
class CallHandler {
 public:
  CallHandler(EntryState& entry, Context& context)
      : entry_(entry), context_(context) {}

  void Begin(Call call) {
    PendingCall pending;
    pending.arrived_at = context_.time.now;
    pending.deadline =
        context_.time.now + std::clamp(call.time_left - kAnswerMargin,
                                       kMinCallDuration, kMaxCallDuration);
    pending.call = std::move(call);
    const std::int64_t number = pending.call.number;
    PendingCall& stored = entry_.calls[number] = std::move(pending);
    Admit(stored);
  }

  void HandleStoreReply(PendingCall& call, const StoreRows& reply) {
    call.pending_request = 0;
    switch (call.stage) {
      case CallStage::kInsert:
        HandleInsertReply(call, reply);
        return;
      case CallStage::kVerifyInsert:
        HandleVerifyInsertReply(call, reply);
        return;
      case CallStage::kWriteTombstone:
        HandleTombstoneReply(call, reply);
        return;
      case CallStage::kReadJob:
        HandleReadJobReply(call, reply);
        return;
      case CallStage::kReadProgress:
        HandleReadProgressReply(call, reply);
        return;
      case CallStage::kWriteCancel:
        HandleCancelReply(call, reply);
        return;
      case CallStage::kQueryOwner:
        return;
    }
  }

  void HandleOwnerReply(PendingCall& call, const OwnerReply& reply) {
    call.pending_request = 0;
    if (call.call.kind == CallKind::kWaiting) {
      if (reply.answered) {
        Answer(call,
               {.outcome = CallOutcome::kWaiting, .waiting = reply.waiting});
      } else {
        ScheduleRetry(call, kWaitingRetryDelay);
      }
      return;
    }
    if (reply.answered && reply.state.has_value()) {
      Answer(call, {.outcome = CallOutcome::kState, .state = *reply.state});
      return;
    }
    ReadJob(call);
  }

  void AdvanceDueCalls() {
    std::vector<std::int64_t> due;
    for (const auto& [number, call] : entry_.calls) {
      const bool retry = call.retry_at && *call.retry_at <= context_.time.now;
      if (call.deadline <= context_.time.now || retry) due.push_back(number);
    }
    for (const std::int64_t number : due) {
      PendingCall& call = entry_.calls.at(number);
      if (call.deadline <= context_.time.now) {
        Expire(call);
      } else {
        call.retry_at.reset();
        RetryRequest(call);
      }
    }
  }

 private:
  void Answer(PendingCall& call, CallReply answer) {
    answer.call = call.call.number;
    const bool failed = answer.outcome == CallOutcome::kNotAccepted ||
                        answer.outcome == CallOutcome::kUnavailable;
    const bool unknown = answer.outcome == CallOutcome::kUnknown;
    const std::int64_t version =
        entry_.configuration ? entry_.configuration->version : 0;
    // Queries are logged only if they fail.
    const bool query = call.call.kind == CallKind::kState ||
                       call.call.kind == CallKind::kWaiting;
    if (!query || failed || unknown) {
      Log(context_, failed || unknown ? Severity::kWarn : Severity::kInfo,
          "call_answered",
          {{"request", call.call.request_id},
           {"kind", std::string(ToString(call.call.kind))},
           {"queue", call.queue},
           {"job", call.job},
           {"outcome", std::string(ToString(answer.outcome))},
           {"detail", answer.detail},
           {"configuration", std::to_string(version)},
           {"duration_ms",
            std::to_string(std::chrono::duration_cast<milliseconds>(
                               context_.time.now - call.arrived_at)
                               .count())}});
    }
    if (call.pending_request != 0) {
      entry_.call_by_request.erase(call.pending_request);
    }
    const std::int64_t number = answer.call;
    context_.out.emplace_back(std::move(answer));
    entry_.calls.erase(number);
  }

  void ScheduleRetry(PendingCall& call, Duration after) {
    call.retry_at = context_.time.now + after;
  }

  /// Returns the id of a new request, and notes that the call waits for it.
  std::int64_t RegisterRequest(PendingCall& call, CallStage stage) {
    call.stage = stage;
    call.pending_request = context_.next_id++;
    entry_.call_by_request[call.pending_request] = call.call.number;
    return call.pending_request;
  }

  /// Reads the rows of the call's job, whose keys begin with the job's id. The
  /// end of the range is '~', which sorts after the suffixes of these keys.
  void ReadJobRows(PendingCall& call, CallStage stage, Table table) {
    context_.out.emplace_back(ReadRows{.id = RegisterRequest(call, stage),
                                       .table = table,
                                       .first = call.job,
                                       .end = call.job + "~"});
  }

  /// Refuses a call without saying that it is not allowed: the configuration
  /// here may be outdated or not fully readable, and another host may serve it.
  void RefuseForConfiguration(PendingCall& call, std::string_view detail) {
    const bool submits = call.call.kind == CallKind::kSubmit;
    Answer(call, {.outcome = submits ? CallOutcome::kNotAccepted
                                     : CallOutcome::kUnavailable,
                  .detail = std::string(detail)});
  }

  /// True if the call can be answered by a configuration that is outdated
  /// because the store does not reply: no other host is known to have a newer
  /// one, and a query changes nothing.
  bool MayUseOutdatedConfiguration(const PendingCall& call) const {
    return call.call.kind == CallKind::kState &&
           !IsStoreResponsive(entry_, context_.time.now);
  }

  /// Checks the call's queue, key and job id, and starts its first request.
  void Admit(PendingCall& call) {
    if (!entry_.configuration.has_value()) {
      return RefuseForConfiguration(call, "no configuration loaded yet");
    }
    const bool current = IsConfigurationCurrent(entry_, context_.time.now);
    if (!current && !MayUseOutdatedConfiguration(call)) {
      return RefuseForConfiguration(call, "the configuration may be outdated");
    }
    // Whether the lack of a queue or a key here shows that there is none.
    const bool complete = current && !entry_.configuration_unreadable &&
                          entry_.configuration->unreadable_entries == 0;
    const Queue* queue =
        MatchQueue(*entry_.configuration, call.call.host_name, call.call.path);
    if (queue == nullptr) {
      if (complete) return Answer(call, {.outcome = CallOutcome::kNoQueue});
      return RefuseForConfiguration(call, "the queue is not known here");
    }
    call.queue = queue->name;
    const Team* team =
        call.call.key.has_value()
            ? FindTeamByKey(*entry_.configuration, *call.call.key)
            : nullptr;
    if (!queue->open && team == nullptr) {
      if (complete) return Answer(call, {.outcome = CallOutcome::kBadKey});
      return RefuseForConfiguration(call, "the key is not known here");
    }
    call.job = call.call.path.substr(queue->path_prefix.size());
    if (call.job.empty() && call.call.kind == CallKind::kState) {
      call.call.kind = CallKind::kWaiting;
      QueryWaiting(call);
      return;
    }
    if (!IsJobId(call.job)) {
      Answer(call, {.outcome = CallOutcome::kInvalid,
                    .detail = "the job id must be 16 hexadecimal digits"});
      return;
    }
    if (call.call.kind == CallKind::kState) {
      QueryState(call);
    } else if (call.call.kind == CallKind::kCancel) {
      ReadJob(call);
    } else {
      Submit(call, *queue, team);
    }
  }

  void Submit(PendingCall& call, const Queue& queue, const Team* team) {
    if (!call.call.spec.has_value()) {
      Answer(call, {.outcome = CallOutcome::kInvalid,
                    .detail = call.call.spec_error});
      return;
    }
    if (absl::Status s = Validate(*call.call.spec); !s.ok()) {
      Answer(call, {.outcome = CallOutcome::kInvalid,
                    .detail = std::string(s.message())});
      return;
    }
    call.record = {.id = call.job,
                   .queue = queue.name,
                   .pool = queue.pool,
                   .team = team == nullptr ? "" : team->name,
                   .accepted_ms = context_.time.unix_ms,
                   .max_attempts = queue.max_attempts,
                   .spec = *std::move(call.call.spec)};
    const std::int64_t max_row_bytes = context_.timing.max_row_bytes;
    if (absl::Status s = CheckRowSizes(call.record, max_row_bytes); !s.ok()) {
      Answer(call, {.outcome = CallOutcome::kInvalid,
                    .detail = std::string(s.message())});
      return;
    }
    if (!TakeRoom(call)) {
      call.too_large = true;
      // An earlier call may have stored the job.
      VerifyInsert(call);
    } else {
      InsertJob(call);
    }
  }

  /// Returns false if the owner is known to have no room for the job. Otherwise
  /// takes the room that it needs until the next row of the owner arrives.
  bool TakeRoom(const PendingCall& call) {
    Ownership& ownership = entry_.ownership;
    if (context_.time.now >= ownership.job_room_known_until) return true;
    const std::int64_t bytes = BytesOfNewJob(call.record);
    const bool has_room = HasRoomForJob(ownership.job_room, bytes) &&
                          ownership.job_room_share > 0;
    if (!has_room) return false;
    ownership.job_room_share -= bytes;
    return true;
  }

  void InsertJob(PendingCall& call) {
    CommitRows commit{.id = RegisterRequest(call, CallStage::kInsert)};
    commit.conditions = {{JobRowRef(call.job), call.row_revision}};
    commit.writes = {{JobRowRef(call.job), ToJson(call.record)}};
    context_.out.emplace_back(std::move(commit));
  }

  /// The job's row among `rows`; null if there is none.
  static const Row* FindJobRow(const PendingCall& call, const StoreRows& rows) {
    for (const Row& row : rows.rows) {
      if (row.key == call.job && !row.value.is_null()) return &row;
    }
    return nullptr;
  }

  void HandleInsertReply(PendingCall& call, const StoreRows& reply) {
    switch (reply.status) {
      case StoreStatus::kOk:
        Answer(call, {.outcome = CallOutcome::kAccepted});
        return;
      case StoreStatus::kConflict: {
        const Row* row = FindJobRow(call, reply);
        if (row == nullptr) {
          VerifyInsert(call);
        } else if (IsTombstone(row->value)) {
          InsertOver(call, *row);
        } else {
          Answer(call, {.outcome = CallOutcome::kAccepted,
                        .detail = "the job was already stored"});
        }
        return;
      }
      case StoreStatus::kUnavailable:
        Answer(call, {.outcome = CallOutcome::kNotAccepted,
                      .detail = "the store does not accept writes"});
        return;
      case StoreStatus::kInvalid:
        Answer(call, {.outcome = CallOutcome::kInvalid,
                      .detail = "the store refuses the row of the job"});
        return;
      case StoreStatus::kUnknown:
        call.insert_unresolved = true;
        VerifyInsert(call);
        return;
    }
  }

  /// Reads whether the job is stored, after an insert without a clear reply.
  void VerifyInsert(PendingCall& call) {
    ReadJobRows(call, CallStage::kVerifyInsert, Table::kJobs);
  }

  void HandleVerifyInsertReply(PendingCall& call, const StoreRows& reply) {
    if (reply.status != StoreStatus::kOk) {
      ScheduleRetry(call, kStoreRetryDelay);
      return;
    }
    const Row* row = FindJobRow(call, reply);
    if (row != nullptr && !IsTombstone(row->value)) {
      Answer(
          call,
          {.outcome = CallOutcome::kAccepted,
           .detail = "the job was found stored after an insert without reply"});
      return;
    }
    if (call.too_large) {
      Answer(call, {.outcome = CallOutcome::kNotAccepted,
                    .detail = "the owner has no room for the job"});
      return;
    }
    const bool cancelled = row != nullptr && IsCancelledDuring(call, *row);
    if (call.insert_unresolved && !cancelled) {
      WriteTombstone(call, row);
    } else if (row != nullptr) {
      InsertOver(call, *row);
    } else {
      call.row_revision = 0;
      InsertJob(call);
    }
  }

  /// True if `tombstone` was written for a cancel that came during the call. An
  /// earlier cancel does not keep the id from being used again. No insert of
  /// the call can succeed over such a tombstone.
  static bool IsCancelledDuring(const PendingCall& call, const Row& tombstone) {
    return tombstone.value.contains(kTombstoneCancelsField) &&
           IntegerOrZero(tombstone.value, kTombstoneField) >=
               call.record.accepted_ms;
  }

  /// Inserts the job in the place of a tombstone, unless that was written for a
  /// cancel of the job.
  void InsertOver(PendingCall& call, const Row& tombstone) {
    if (IsCancelledDuring(call, tombstone)) {
      Answer(call, {.outcome = CallOutcome::kNotAccepted,
                    .detail = "the job was cancelled before it was stored"});
      return;
    }
    call.row_revision = tombstone.revision;
    InsertJob(call);
  }

  /// Writes a tombstone under the job's id, which makes an insert fail that
  /// arrives late. `row` is the row that was read there; null if there is none.
  void WriteTombstone(PendingCall& call, const Row* row) {
    CommitRows commit{.id = RegisterRequest(call, CallStage::kWriteTombstone)};
    commit.conditions = {
        {JobRowRef(call.job), row == nullptr ? 0 : row->revision}};
    nlohmann::json tombstone = {{kTombstoneField, context_.time.unix_ms}};
    if (call.call.kind == CallKind::kCancel) {
      tombstone[kTombstoneCancelsField] = true;
    }
    commit.writes = {{JobRowRef(call.job), std::move(tombstone)}};
    context_.out.emplace_back(std::move(commit));
  }

  void HandleTombstoneReply(PendingCall& call, const StoreRows& reply) {
    if (reply.status == StoreStatus::kOk) {
      KeepTombstone(entry_.tombstones, call.job, reply.revision,
                    context_.time.now);
    }
    if (call.call.kind == CallKind::kCancel) {
      if (reply.status == StoreStatus::kOk) {
        Answer(call, {.outcome = CallOutcome::kNoJob});
      } else if (reply.status == StoreStatus::kConflict) {
        ReadJob(call);
      } else {
        ScheduleRetry(call, kStoreRetryDelay);
      }
      return;
    }
    if (reply.status == StoreStatus::kOk) {
      // The late insert can no longer succeed, so it is safe to insert again.
      call.insert_unresolved = false;
      call.row_revision = reply.revision;
      InsertJob(call);
      return;
    }
    VerifyInsert(call);
  }

  void QueryOwner(PendingCall& call, OwnerQueryKind kind,
                  const std::string& key) {
    const std::int64_t id = RegisterRequest(call, CallStage::kQueryOwner);
    context_.out.emplace_back(OwnerQuery{.id = id,
                                         .address = entry_.ownership.address,
                                         .kind = kind,
                                         .key = key});
  }

  bool HasRemoteOwner() const {
    return !entry_.owner.has_value() && !entry_.ownership.released &&
           !entry_.ownership.address.empty() &&
           entry_.ownership.holder != entry_.self.holder;
  }

  void QueryWaiting(PendingCall& call) {
    const auto waiting =
        entry_.owner.has_value()
            ? CountWaitingJobs(*entry_.owner, call.queue, context_.time.now)
            : std::nullopt;
    if (waiting.has_value()) {
      Answer(call, {.outcome = CallOutcome::kWaiting, .waiting = *waiting});
    } else if (HasRemoteOwner()) {
      QueryOwner(call, OwnerQueryKind::kWaiting, call.queue);
    } else {
      call.stage = CallStage::kQueryOwner;
      ScheduleRetry(call, kOwnerQueryRetryDelay);
    }
  }

  void QueryState(PendingCall& call) {
    if (entry_.owner.has_value() && entry_.owner->ready) {
      const auto state = VisibleState(*entry_.owner, call.job);
      if (state.has_value()) {
        Answer(call, {.outcome = CallOutcome::kState, .state = *state});
        return;
      }
      ReadJob(call);
    } else if (HasRemoteOwner()) {
      QueryOwner(call, OwnerQueryKind::kJobState, call.job);
    } else {
      ReadJob(call);
    }
  }

  void ReadJob(PendingCall& call) {
    ReadJobRows(call, CallStage::kReadJob, Table::kJobs);
  }

  void HandleReadJobReply(PendingCall& call, const StoreRows& reply) {
    if (reply.status != StoreStatus::kOk) {
      ScheduleRetry(call, kStoreRetryDelay);
      return;
    }
    const Row* row = FindJobRow(call, reply);
    if (row == nullptr || IsTombstone(row->value)) {
      if (call.call.kind == CallKind::kCancel) {
        WriteTombstone(call, row);
      } else {
        Answer(call, {.outcome = CallOutcome::kNoJob});
      }
      return;
    }
    const std::string cancel_key = StrCat(call.job, kCancelSuffix);
    call.cancelled = std::any_of(
        reply.rows.begin(), reply.rows.end(), [&](const Row& other) {
          return other.key == cancel_key && !other.value.is_null();
        });
    call.row_revision = row->revision;
    if (call.call.kind == CallKind::kState) {
      ReadJobRows(call, CallStage::kReadProgress, Table::kProgress);
      return;
    }
    if (call.cancelled) {
      Answer(call, {.outcome = CallOutcome::kCancelled});
      return;
    }
    WriteCancelRow(call);
  }

  void WriteCancelRow(PendingCall& call) {
    CommitRows commit{.id = RegisterRequest(call, CallStage::kWriteCancel)};
    commit.conditions = {{JobRowRef(call.job), call.row_revision}};
    commit.writes = {{{Table::kJobs, StrCat(call.job, kCancelSuffix)},
                      {{"cancelled_ms", context_.time.unix_ms}}}};
    context_.out.emplace_back(std::move(commit));
  }

  void HandleReadProgressReply(PendingCall& call, const StoreRows& reply) {
    if (reply.status != StoreStatus::kOk) {
      ScheduleRetry(call, kStoreRetryDelay);
      return;
    }
    JobState state = JobState::kPending;
    for (const Row& row : reply.rows) {
      if (row.key != call.job || !row.value.is_object()) continue;
      state = ParseJobState(TextOrEmpty(row.value, "state"))
                  .value_or(JobState::kPending);
    }
    if (call.cancelled && !IsFinal(state)) state = JobState::kCancelled;
    Answer(call, {.outcome = CallOutcome::kState, .state = state});
  }

  void HandleCancelReply(PendingCall& call, const StoreRows& reply) {
    if (reply.status == StoreStatus::kOk) {
      Answer(call, {.outcome = CallOutcome::kCancelled});
    } else if (reply.status == StoreStatus::kConflict) {
      ReadJob(call);
    } else {
      ScheduleRetry(call, kStoreRetryDelay);
    }
  }

  /// Repeats a request that the store or the owner did not answer.
  void RetryRequest(PendingCall& call) {
    switch (call.stage) {
      case CallStage::kInsert:
        InsertJob(call);
        return;
      case CallStage::kVerifyInsert:
        VerifyInsert(call);
        return;
      case CallStage::kWriteTombstone:
        if (call.call.kind == CallKind::kCancel) {
          ReadJob(call);
        } else {
          VerifyInsert(call);
        }
        return;
      case CallStage::kQueryOwner:
        if (call.call.kind == CallKind::kWaiting) {
          QueryWaiting(call);
        } else {
          QueryState(call);
        }
        return;
      case CallStage::kReadJob:
      case CallStage::kReadProgress:
        ReadJob(call);
        return;
      case CallStage::kWriteCancel:
        WriteCancelRow(call);
        return;
    }
  }

  /// Answers a call whose deadline has passed.
  void Expire(PendingCall& call) {
    const bool may_be_written = call.stage == CallStage::kInsert ||
                                call.stage == CallStage::kVerifyInsert ||
                                call.stage == CallStage::kWriteTombstone ||
                                call.stage == CallStage::kWriteCancel;
    Answer(call, {.outcome = may_be_written ? CallOutcome::kUnknown
                                            : CallOutcome::kUnavailable,
                  .detail = "no reply from the store or the owner before the "
                            "call's deadline"});
  }

  EntryState& entry_;
  Context& context_;
};

/// Removes request `id`, which was answered, and returns the number of the call
/// that waits for it.
std::optional<std::int64_t> ExtractRequest(EntryState& entry, std::int64_t id) {
  const auto extracted = entry.call_by_request.extract(id);
  if (extracted.empty()) return std::nullopt;
  return extracted.mapped();
}

}  // namespace

void AdvanceCalls(EntryState& entry, Context& context) {
  CallHandler(entry, context).AdvanceDueCalls();
}

bool HandleCallStoreReply(EntryState& entry, std::int64_t id,
                          const StoreRows& reply, Context& context) {
  const std::optional<std::int64_t> number = ExtractRequest(entry, id);
  if (!number.has_value()) return false;
  auto call = entry.calls.find(*number);
  if (call != entry.calls.end()) {
    CallHandler(entry, context).HandleStoreReply(call->second, reply);
  }
  return true;
}

void OnCall(EntryState& entry, Call call, const EventTime& time, Effects& out) {
  Context context = MakeEventContext(entry, time, out);
  CallHandler(entry, context).Begin(std::move(call));
}

void OnCallerDisconnected(EntryState& entry, std::int64_t call) {
  // Writes that were sent to the store take effect without a caller, too.
  auto it = entry.calls.find(call);
  if (it == entry.calls.end()) return;
  const bool writes = it->second.call.kind == CallKind::kSubmit ||
                      it->second.call.kind == CallKind::kCancel;
  if (writes) return;
  if (it->second.pending_request != 0) {
    entry.call_by_request.erase(it->second.pending_request);
  }
  entry.calls.erase(it);
}

void HandleOwnerReply(EntryState& entry, std::int64_t id,
                      const OwnerReply& reply, const EventTime& time,
                      Effects& out) {
  Context context = MakeEventContext(entry, time, out);
  const std::optional<std::int64_t> number = ExtractRequest(entry, id);
  if (!number.has_value()) return;
  auto call = entry.calls.find(*number);
  if (call == entry.calls.end()) return;
  CallHandler(entry, context).HandleOwnerReply(call->second, reply);
}

OwnerReply AnswerOwnerQuery(const EntryState& entry, OwnerQueryKind kind,
                            const std::string& key, Instant now) {
  if (!entry.owner.has_value() || !entry.owner->ready) return {};
  if (kind == OwnerQueryKind::kJobState) {
    return {.answered = true, .state = VisibleState(*entry.owner, key)};
  }
  const auto waiting = CountWaitingJobs(*entry.owner, key, now);
  if (!waiting.has_value()) return {};
  return {.answered = true, .waiting = *waiting};
}

}  // namespace hyssopbarrow::fleet
