#include <algorithm>
#include <utility>
#include <vector>

#include "Model/text.h"
#include "Policy/entry_parts.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kJobIdLength = 16;
/// The answer leaves so long before the caller gives up.
constexpr Duration kAnswerMargin = milliseconds(150);
constexpr Duration kMaxCallTime = milliseconds(5000);
constexpr Duration kAskRetry = milliseconds(60);
constexpr Duration kSettleRetry = milliseconds(150);

RowRef JobRow(const std::string& id) { return {Table::kJobs, id}; }

bool IsVoid(const nlohmann::json& value) {
  return value.is_object() && value.contains(kVoidField);
}

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
                  (c >= 'A' && c <= 'F');
         });
}

class CallDesk {
 public:
  CallDesk(Entry& entry, Context& context) : entry_(entry), context_(context) {}

  void Begin(Call call) {
    OpenCall open;
    open.arrived = context_.at.now;
    open.deadline =
        context_.at.now + std::clamp(call.time_left - kAnswerMargin,
                                     Duration(milliseconds(50)), kMaxCallTime);
    open.call = std::move(call);
    const std::int64_t number = open.call.number;
    OpenCall& it = entry_.calls[number] = std::move(open);
    Admit(it);
  }

  void Reply(OpenCall& call, const StoreRows& reply) {
    call.open = 0;
    switch (call.stage) {
      case CallStage::kInsert:
        Inserted(call, reply);
        return;
      case CallStage::kLookUp:
        LookedUp(call, reply);
        return;
      case CallStage::kVoid:
        Voided(call, reply);
        return;
      case CallStage::kReadJob:
        JobRead(call, reply);
        return;
      case CallStage::kReadProgress:
        ProgressRead(call, reply);
        return;
      case CallStage::kCancel:
        CancelWritten(call, reply);
        return;
      case CallStage::kAskOwner:
        return;
    }
  }

  void OwnerAnswered(OpenCall& call, const OwnerReply& reply) {
    call.open = 0;
    if (call.call.kind == CallKind::kWaiting) {
      if (reply.answered) {
        Answer(call,
               {.outcome = CallOutcome::kWaiting, .waiting = reply.waiting});
      } else {
        Again(call, kAskRetry);
      }
      return;
    }
    if (reply.answered && reply.state.has_value()) {
      Answer(call, {.outcome = CallOutcome::kState, .state = *reply.state});
      return;
    }
    ReadJob(call);
  }

  void Advance() {
    std::vector<std::int64_t> due;
    for (const auto& [number, call] : entry_.calls) {
      const bool again = call.again_at && *call.again_at <= context_.at.now;
      if (call.deadline <= context_.at.now || again) due.push_back(number);
    }
    for (const std::int64_t number : due) {
      OpenCall& call = entry_.calls.at(number);
      if (call.deadline <= context_.at.now) {
        Expire(call);
      } else {
        call.again_at.reset();
        Resume(call);
      }
    }
  }

 private:
  void Answer(OpenCall& call, CallAnswered answer) {
    answer.call = call.call.number;
    const bool refused = answer.outcome == CallOutcome::kNotAccepted ||
                         answer.outcome == CallOutcome::kUnavailable;
    const bool unknown = answer.outcome == CallOutcome::kUnknown;
    const std::int64_t version =
        entry_.configuration ? entry_.configuration->version : 0;
    const bool quiet = call.call.kind == CallKind::kState ||
                       call.call.kind == CallKind::kWaiting;
    if (!quiet || refused || unknown) {
      Note(
          context_, refused || unknown ? Severity::kWarn : Severity::kInfo,
          "call_answered",
          {{"request", call.call.request_id},
           {"kind", std::string(ToString(call.call.kind))},
           {"queue", call.queue},
           {"job", call.job},
           {"outcome", std::string(ToString(answer.outcome))},
           {"detail", answer.detail},
           {"configuration", std::to_string(version)},
           {"taken_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                           context_.at.now - call.arrived)
                                           .count())}});
    }
    if (call.open != 0) entry_.call_by_request.erase(call.open);
    const std::int64_t number = answer.call;
    context_.out.emplace_back(std::move(answer));
    entry_.calls.erase(number);
  }

  void Again(OpenCall& call, Duration after) {
    call.again_at = context_.at.now + after;
  }

  std::int64_t NewRequest(OpenCall& call, CallStage stage) {
    call.stage = stage;
    call.open = context_.next_id++;
    entry_.call_by_request[call.open] = call.call.number;
    return call.open;
  }

  /// Reads the rows of the call's job: those whose keys begin with its id.
  void ReadRowsOf(OpenCall& call, CallStage stage, Table table) {
    context_.out.emplace_back(ReadRows{.id = NewRequest(call, stage),
                                       .table = table,
                                       .first = call.job,
                                       .end = call.job + "~"});
  }

  void Admit(OpenCall& call) {
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
      AskWaiting(call);
      return;
    }
    if (!IsJobId(call.job)) {
      Answer(call, {.outcome = CallOutcome::kInvalid,
                    .detail = "a job's id has 16 hexadecimal digits"});
      return;
    }
    if (call.call.kind == CallKind::kState) {
      AskState(call);
    } else if (call.call.kind == CallKind::kCancel) {
      ReadJob(call);
    } else {
      Submit(call, *queue, team);
    }
  }

  void Submit(OpenCall& call, const Queue& queue, const Team* team) {
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
                   .accepted_ms = context_.at.unix_ms,
                   .max_attempts = queue.max_attempts,
                   .spec = *std::move(call.call.spec)};
    Insert(call);
  }

  void Insert(OpenCall& call) {
    CommitRows commit{.id = NewRequest(call, CallStage::kInsert)};
    commit.conditions = {{JobRow(call.job), call.row_revision}};
    commit.writes = {{JobRow(call.job), ToJson(call.record)}};
    context_.out.emplace_back(std::move(commit));
  }

  /// The job's row among `rows`; null if there is none.
  static const Row* FindJobRow(const OpenCall& call, const StoreRows& rows) {
    for (const Row& it : rows.rows) {
      if (it.key == call.job && !it.value.is_null()) return &it;
    }
    return nullptr;
  }

  void Inserted(OpenCall& call, const StoreRows& reply) {
    switch (reply.status) {
      case StoreStatus::kOk:
        Answer(call, {.outcome = CallOutcome::kAccepted});
        return;
      case StoreStatus::kConflict: {
        const Row* row = FindJobRow(call, reply);
        if (row == nullptr) {
          LookUp(call);
        } else if (IsVoid(row->value)) {
          call.row_revision = row->revision;
          Insert(call);
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
        call.insert_unsettled = true;
        LookUp(call);
        return;
    }
  }

  /// After an insert without answer: is the job stored?
  void LookUp(OpenCall& call) {
    ReadRowsOf(call, CallStage::kLookUp, Table::kJobs);
  }

  void LookedUp(OpenCall& call, const StoreRows& reply) {
    if (reply.status != StoreStatus::kOk) {
      Again(call, kSettleRetry);
      return;
    }
    const Row* row = FindJobRow(call, reply);
    if (row != nullptr && !IsVoid(row->value)) {
      Answer(call, {.outcome = CallOutcome::kAccepted,
                    .detail = "found after an insert without answer"});
      return;
    }
    if (!call.insert_unsettled) {
      call.row_revision = row == nullptr ? 0 : row->revision;
      Insert(call);
      return;
    }
    // A row of its own under the id makes the insert fail if it comes late.
    CommitRows commit{.id = NewRequest(call, CallStage::kVoid)};
    commit.conditions = {
        {JobRow(call.job), row == nullptr ? 0 : row->revision}};
    commit.writes = {{JobRow(call.job), {{kVoidField, context_.at.unix_ms}}}};
    context_.out.emplace_back(std::move(commit));
  }

  void Voided(OpenCall& call, const StoreRows& reply) {
    if (reply.status == StoreStatus::kOk) {
      // Nothing late can succeed now: this host may try again itself.
      call.insert_unsettled = false;
      call.row_revision = reply.revision;
      Insert(call);
      return;
    }
    LookUp(call);
  }

  void AskOwnerOf(OpenCall& call, AskKind kind, const std::string& key) {
    const std::int64_t id = NewRequest(call, CallStage::kAskOwner);
    context_.out.emplace_back(AskOwner{.id = id,
                                       .address = entry_.ownership.address,
                                       .kind = kind,
                                       .key = key});
  }

  bool OwnerIsElsewhere() const {
    return !entry_.owner.has_value() && !entry_.ownership.released &&
           !entry_.ownership.address.empty() &&
           entry_.ownership.holder != entry_.self.holder;
  }

  void AskWaiting(OpenCall& call) {
    if (entry_.owner.has_value() && entry_.owner->ready) {
      Answer(call, {.outcome = CallOutcome::kWaiting,
                    .waiting = CountWaiting(*entry_.owner, call.queue)});
    } else if (OwnerIsElsewhere()) {
      AskOwnerOf(call, AskKind::kWaiting, call.queue);
    } else {
      call.stage = CallStage::kAskOwner;
      Again(call, kAskRetry);
    }
  }

  void AskState(OpenCall& call) {
    if (entry_.owner.has_value() && entry_.owner->ready) {
      const auto state = ShownState(*entry_.owner, call.job);
      if (state.has_value()) {
        Answer(call, {.outcome = CallOutcome::kState, .state = *state});
        return;
      }
      ReadJob(call);
    } else if (OwnerIsElsewhere()) {
      AskOwnerOf(call, AskKind::kJobState, call.job);
    } else {
      ReadJob(call);
    }
  }

  void ReadJob(OpenCall& call) {
    ReadRowsOf(call, CallStage::kReadJob, Table::kJobs);
  }

  void JobRead(OpenCall& call, const StoreRows& reply) {
    if (reply.status != StoreStatus::kOk) {
      Again(call, kSettleRetry);
      return;
    }
    const Row* row = FindJobRow(call, reply);
    if (row == nullptr || IsVoid(row->value)) {
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
      ReadRowsOf(call, CallStage::kReadProgress, Table::kProgress);
      return;
    }
    if (call.cancelled) {
      Answer(call, {.outcome = CallOutcome::kCancelled});
      return;
    }
    WriteCancel(call);
  }

  void WriteCancel(OpenCall& call) {
    CommitRows commit{.id = NewRequest(call, CallStage::kCancel)};
    commit.conditions = {{JobRow(call.job), call.row_revision}};
    commit.writes = {{{Table::kJobs, StrCat(call.job, kCancelSuffix)},
                      {{"cancelled_ms", context_.at.unix_ms}}}};
    context_.out.emplace_back(std::move(commit));
  }

  void ProgressRead(OpenCall& call, const StoreRows& reply) {
    if (reply.status != StoreStatus::kOk) {
      Again(call, kSettleRetry);
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

  void CancelWritten(OpenCall& call, const StoreRows& reply) {
    if (reply.status == StoreStatus::kOk) {
      Answer(call, {.outcome = CallOutcome::kCancelled});
    } else if (reply.status == StoreStatus::kConflict) {
      ReadJob(call);
    } else {
      Again(call, kSettleRetry);
    }
  }

  /// Tries again what the store or the owner did not answer.
  void Resume(OpenCall& call) {
    switch (call.stage) {
      case CallStage::kInsert:
        Insert(call);
        return;
      case CallStage::kLookUp:
      case CallStage::kVoid:
        LookUp(call);
        return;
      case CallStage::kAskOwner:
        if (call.call.kind == CallKind::kWaiting) {
          AskWaiting(call);
        } else {
          AskState(call);
        }
        return;
      case CallStage::kReadJob:
      case CallStage::kReadProgress:
        ReadJob(call);
        return;
      case CallStage::kCancel:
        WriteCancel(call);
        return;
    }
  }

  void Expire(OpenCall& call) {
    const bool stored =
        call.stage == CallStage::kInsert || call.stage == CallStage::kLookUp ||
        call.stage == CallStage::kVoid || call.stage == CallStage::kCancel;
    Answer(call, {.outcome = stored ? CallOutcome::kUnknown
                                    : CallOutcome::kUnavailable,
                  .detail = "no answer in the time that the caller waits"});
  }

  Entry& entry_;
  Context& context_;
};

/// The call that waits for request `id`, which is answered now.
std::optional<std::int64_t> TakeRequest(Entry& entry, std::int64_t id) {
  const auto node = entry.call_by_request.extract(id);
  if (node.empty()) return std::nullopt;
  return node.mapped();
}

}  // namespace

void AdvanceCalls(Entry& entry, Context& context) {
  CallDesk(entry, context).Advance();
}

bool TakeCallReply(Entry& entry, std::int64_t id, const StoreRows& reply,
                   Context& context) {
  const std::optional<std::int64_t> number = TakeRequest(entry, id);
  if (!number.has_value()) return false;
  auto call = entry.calls.find(*number);
  if (call != entry.calls.end()) {
    CallDesk(entry, context).Reply(call->second, reply);
  }
  return true;
}

void OnCall(Entry& entry, Call call, const Moment& at, Effects& out) {
  Context context = ContextOf(entry, at, out);
  CallDesk(entry, context).Begin(std::move(call));
}

void OnCallerGone(Entry& entry, std::int64_t call) {
  // What was sent to the store goes on; only the answer has no reader.
  auto it = entry.calls.find(call);
  if (it == entry.calls.end()) return;
  const bool writes = it->second.call.kind == CallKind::kSubmit ||
                      it->second.call.kind == CallKind::kCancel;
  if (writes) return;
  if (it->second.open != 0) entry.call_by_request.erase(it->second.open);
  entry.calls.erase(it);
}

void OnOwnerReply(Entry& entry, std::int64_t id, const OwnerReply& reply,
                  const Moment& at, Effects& out) {
  Context context = ContextOf(entry, at, out);
  const std::optional<std::int64_t> number = TakeRequest(entry, id);
  if (!number.has_value()) return;
  auto call = entry.calls.find(*number);
  if (call == entry.calls.end()) return;
  CallDesk(entry, context).OwnerAnswered(call->second, reply);
}

OwnerReply AnswerPeer(const Entry& entry, AskKind kind,
                      const std::string& key) {
  if (!entry.owner.has_value() || !entry.owner->ready) return {};
  OwnerReply reply{.answered = true};
  if (kind == AskKind::kJobState) {
    reply.state = ShownState(*entry.owner, key);
  } else {
    reply.waiting = CountWaiting(*entry.owner, key);
  }
  return reply;
}

}  // namespace hyssopbarrow::fleet
