#include <algorithm>
#include <utility>
#include <vector>

#include "Model/text.h"
#include "Policy/entry_internal.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kJobIdLength = 16;
/// The answer leaves so long before the caller gives up.
constexpr Duration kAnswerMargin = milliseconds(150);
constexpr Duration kMaxCallDuration = milliseconds(5000);
constexpr Duration kOwnerQueryRetryDelay = milliseconds(60);
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

class CallHandler {
 public:
  CallHandler(EntryState& entry, Context& context)
      : entry_(entry), context_(context) {}

  void Begin(Call call) {
    PendingCall open;
    open.arrived_at = context_.time.now;
    open.deadline = context_.time.now +
                    std::clamp(call.time_left - kAnswerMargin,
                               Duration(milliseconds(50)), kMaxCallDuration);
    open.call = std::move(call);
    const std::int64_t number = open.call.number;
    PendingCall& it = entry_.calls[number] = std::move(open);
    Admit(it);
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
        ScheduleRetry(call, kOwnerQueryRetryDelay);
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
      const bool again = call.retry_at && *call.retry_at <= context_.time.now;
      if (call.deadline <= context_.time.now || again) due.push_back(number);
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
    const bool refused = answer.outcome == CallOutcome::kNotAccepted ||
                         answer.outcome == CallOutcome::kUnavailable;
    const bool unknown = answer.outcome == CallOutcome::kUnknown;
    const std::int64_t version =
        entry_.configuration ? entry_.configuration->version : 0;
    const bool quiet = call.call.kind == CallKind::kState ||
                       call.call.kind == CallKind::kWaiting;
    if (!quiet || refused || unknown) {
      Log(context_, refused || unknown ? Severity::kWarn : Severity::kInfo,
          "call_answered",
          {{"request", call.call.request_id},
           {"kind", std::string(ToString(call.call.kind))},
           {"queue", call.queue},
           {"job", call.job},
           {"outcome", std::string(ToString(answer.outcome))},
           {"detail", answer.detail},
           {"configuration", std::to_string(version)},
           {"taken_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                           context_.time.now - call.arrived_at)
                                           .count())}});
    }
    if (call.pending_request != 0)
      entry_.call_by_request.erase(call.pending_request);
    const std::int64_t number = answer.call;
    context_.out.emplace_back(std::move(answer));
    entry_.calls.erase(number);
  }

  void ScheduleRetry(PendingCall& call, Duration after) {
    call.retry_at = context_.time.now + after;
  }

  std::int64_t AddRequest(PendingCall& call, CallStage stage) {
    call.stage = stage;
    call.pending_request = context_.next_id++;
    entry_.call_by_request[call.pending_request] = call.call.number;
    return call.pending_request;
  }

  /// Reads the rows of the call's job: those whose keys begin with its id.
  void ReadJobRows(PendingCall& call, CallStage stage, Table table) {
    context_.out.emplace_back(ReadRows{.id = AddRequest(call, stage),
                                       .table = table,
                                       .first = call.job,
                                       .end = call.job + "~"});
  }

  void Admit(PendingCall& call) {
    if (!entry_.configuration.has_value()) {
      Answer(call, {.outcome = CallOutcome::kNotAccepted,
                    .detail = "no configuration yet"});
      return;
    }
    const Queue* queue =
        MatchQueue(*entry_.configuration, call.call.host_name, call.call.path);
    if (queue == nullptr) {
      Answer(call, {.outcome = CallOutcome::kNoQueue});
      return;
    }
    call.queue = queue->name;
    const Team* team =
        call.call.key.has_value()
            ? FindTeamByKey(*entry_.configuration, *call.call.key)
            : nullptr;
    if (!queue->open && team == nullptr) {
      Answer(call, {.outcome = CallOutcome::kBadKey});
      return;
    }
    call.job = call.call.path.substr(queue->path_prefix.size());
    if (call.job.empty() && call.call.kind == CallKind::kState) {
      call.call.kind = CallKind::kWaiting;
      QueryWaiting(call);
      return;
    }
    if (!IsJobId(call.job)) {
      Answer(call, {.outcome = CallOutcome::kInvalid,
                    .detail = "a job's id has 16 hexadecimal digits"});
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
    InsertJob(call);
  }

  void InsertJob(PendingCall& call) {
    CommitRows commit{.id = AddRequest(call, CallStage::kInsert)};
    commit.conditions = {{JobRowRef(call.job), call.row_revision}};
    commit.writes = {{JobRowRef(call.job), ToJson(call.record)}};
    context_.out.emplace_back(std::move(commit));
  }

  /// The job's row among `rows`; null if there is none.
  static const Row* FindJobRow(const PendingCall& call, const StoreRows& rows) {
    for (const Row& it : rows.rows) {
      if (it.key == call.job && !it.value.is_null()) return &it;
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
          call.row_revision = row->revision;
          InsertJob(call);
        } else {
          Answer(call, {.outcome = CallOutcome::kAccepted,
                        .detail = "was stored before"});
        }
        return;
      }
      case StoreStatus::kUnavailable:
        Answer(call, {.outcome = CallOutcome::kNotAccepted,
                      .detail = "the store does not take writes"});
        return;
      case StoreStatus::kUnknown:
        call.insert_unresolved = true;
        VerifyInsert(call);
        return;
    }
  }

  /// After an insert without answer: is the job stored?
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
      Answer(call, {.outcome = CallOutcome::kAccepted,
                    .detail = "found after an insert without answer"});
      return;
    }
    if (!call.insert_unresolved) {
      call.row_revision = row == nullptr ? 0 : row->revision;
      InsertJob(call);
      return;
    }
    // A row of its own under the id makes the insert fail if it comes late.
    CommitRows commit{.id = AddRequest(call, CallStage::kWriteTombstone)};
    commit.conditions = {
        {JobRowRef(call.job), row == nullptr ? 0 : row->revision}};
    commit.writes = {
        {JobRowRef(call.job), {{kTombstoneField, context_.time.unix_ms}}}};
    context_.out.emplace_back(std::move(commit));
  }

  void HandleTombstoneReply(PendingCall& call, const StoreRows& reply) {
    if (reply.status == StoreStatus::kOk) {
      // Nothing late can succeed now: this host may try again itself.
      call.insert_unresolved = false;
      call.row_revision = reply.revision;
      InsertJob(call);
      return;
    }
    VerifyInsert(call);
  }

  void QueryOwner(PendingCall& call, OwnerQueryKind kind,
                  const std::string& key) {
    const std::int64_t id = AddRequest(call, CallStage::kQueryOwner);
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
    if (entry_.owner.has_value() && entry_.owner->ready) {
      Answer(call, {.outcome = CallOutcome::kWaiting,
                    .waiting = CountWaitingJobs(*entry_.owner, call.queue)});
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
      Answer(call, {.outcome = CallOutcome::kNoJob});
      return;
    }
    const std::string cancel_key = StrCat(call.job, kCancelSuffix);
    call.cancelled =
        std::any_of(reply.rows.begin(), reply.rows.end(), [&](const Row& it) {
          return it.key == cancel_key && !it.value.is_null();
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
    CommitRows commit{.id = AddRequest(call, CallStage::kWriteCancel)};
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
    for (const Row& it : reply.rows) {
      if (it.key != call.job || !it.value.is_object()) continue;
      state = ParseJobState(it.value.value("state", std::string()))
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

  /// Tries again what the store or the owner did not answer.
  void RetryRequest(PendingCall& call) {
    switch (call.stage) {
      case CallStage::kInsert:
        InsertJob(call);
        return;
      case CallStage::kVerifyInsert:
      case CallStage::kWriteTombstone:
        VerifyInsert(call);
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

  void Expire(PendingCall& call) {
    const bool stored = call.stage == CallStage::kInsert ||
                        call.stage == CallStage::kVerifyInsert ||
                        call.stage == CallStage::kWriteTombstone ||
                        call.stage == CallStage::kWriteCancel;
    Answer(call, {.outcome = stored ? CallOutcome::kUnknown
                                    : CallOutcome::kUnavailable,
                  .detail = "no answer in the time that the caller waits"});
  }

  EntryState& entry_;
  Context& context_;
};

/// The call that waits for request `id`, which is answered now.
std::optional<std::int64_t> ExtractRequest(EntryState& entry, std::int64_t id) {
  const auto node = entry.call_by_request.extract(id);
  if (node.empty()) return std::nullopt;
  return node.mapped();
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

void OnCall(EntryState& entry, Call call, const EventTime& at, Effects& out) {
  Context context = MakeEventContext(entry, at, out);
  CallHandler(entry, context).Begin(std::move(call));
}

void OnCallerDisconnected(EntryState& entry, std::int64_t call) {
  // What was sent to the store goes on; only the answer has no reader.
  auto it = entry.calls.find(call);
  if (it == entry.calls.end()) return;
  const bool writes = it->second.call.kind == CallKind::kSubmit ||
                      it->second.call.kind == CallKind::kCancel;
  if (writes) return;
  if (it->second.pending_request != 0)
    entry.call_by_request.erase(it->second.pending_request);
  entry.calls.erase(it);
}

void HandleOwnerReply(EntryState& entry, std::int64_t id,
                      const OwnerReply& reply, const EventTime& at,
                      Effects& out) {
  Context context = MakeEventContext(entry, at, out);
  const std::optional<std::int64_t> number = ExtractRequest(entry, id);
  if (!number.has_value()) return;
  auto call = entry.calls.find(*number);
  if (call == entry.calls.end()) return;
  CallHandler(entry, context).HandleOwnerReply(call->second, reply);
}

OwnerReply AnswerOwnerQuery(const EntryState& entry, OwnerQueryKind kind,
                            const std::string& key) {
  if (!entry.owner.has_value() || !entry.owner->ready) return {};
  OwnerReply reply{.answered = true};
  if (kind == OwnerQueryKind::kJobState) {
    reply.state = VisibleState(*entry.owner, key);
  } else {
    reply.waiting = CountWaitingJobs(*entry.owner, key);
  }
  return reply;
}

}  // namespace hyssopbarrow::fleet
