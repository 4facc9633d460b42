#include "Policy/claims.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace hyssopbarrow {
namespace {

constexpr Duration kWriteTimeout = std::chrono::milliseconds(250);
/// Of the first read; each further one waits twice as long, so that a lost
/// reply costs little and a slow table is still heard.
constexpr Duration kReadTimeout = std::chrono::milliseconds(250);
constexpr int kMaxReadAttempts = 4;  ///< 3.75 s in all.
constexpr Duration kRetryInterval = std::chrono::milliseconds(1000);

/// State that the next write puts into the row.
ClaimRowState NextRowState(const Claim& claim) {
  if (!claim.has_idempotency_key) return ClaimRowState::kUnknown;
  if (claim.stage == ClaimStage::kClaiming) return ClaimRowState::kClaimed;
  return claim.outcome;
}

/// Answer to a submission whose key is claimed by an earlier one.
ClaimResult DuplicateResult(std::int64_t call, ClaimRowState state,
                            const std::optional<RecordedAnswer>& answer) {
  ClaimResult verdict{
      .call = call, .outcome = Outcome::kUnknown, .reason = Reason::kDuplicate};
  if (state != ClaimRowState::kAnswered) return verdict;
  if (!answer.has_value()) {
    verdict.reason = Reason::kAnswerNotKept;
    return verdict;
  }
  verdict.outcome = Outcome::kAnswered;
  verdict.reason = Reason::kNone;
  verdict.answer = answer;
  return verdict;
}

ClaimResult UnavailableResult(std::int64_t call) {
  return {.call = call, .reason = Reason::kStoreUnavailable};
}

/// Verdict on a key that this host itself claims or holds.
ClaimResult LocalResult(std::int64_t call, const Claim& holder) {
  switch (holder.stage) {
    case ClaimStage::kRecording:
      return DuplicateResult(call, holder.outcome, holder.answer);
    case ClaimStage::kReleasing:
      return UnavailableResult(call);
    default:
      return DuplicateResult(call, ClaimRowState::kClaimed, std::nullopt);
  }
}

void EnqueueWrite(ClaimsState& state, Claim& claim) {
  claim.store_state = ClaimStoreState::kQueued;
  const bool urgent = claim.stage == ClaimStage::kClaiming;
  (urgent ? state.immediate_writes : state.deferred_writes)
      .push_back(claim.key);
}

void EraseClaim(ClaimsState& state, const Claim& claim) {
  state.key_by_call.erase(claim.call);
  state.claims.erase(std::string(claim.key));
}

/// Moves claims through their stages while a reply is taken in.
class ClaimReplyHandler {
 public:
  ClaimReplyHandler(ClaimsState& state, Instant now,
                    std::vector<ClaimResult>& verdicts)
      : state_(state), now_(now), results_(verdicts) {}

  void HandleBatchReply(const std::vector<std::string>& keys,
                        const StoreReply& reply) {
    switch (reply.status) {
      case StoreStatus::kOk:
        return ForEachClaim(
            keys, [&](Claim& it) { HandleCommit(it, reply.revision); });
      case StoreStatus::kConflict:
        return HandleConflict(keys, reply.rows);
      case StoreStatus::kUnavailable:
        return ForEachClaim(keys, [&](Claim& it) { HandleWriteFailure(it); });
      case StoreStatus::kUnknown:
        return ForEachClaim(keys, [&](Claim& it) { QueueReadBack(it); });
    }
  }

  void HandleReadReply(const std::string& key, const StoreReply& reply) {
    ForEachClaim({key}, [&](Claim& it) {
      if (reply.status != StoreStatus::kOk) return RetryRead(it);
      it.unanswered_reads = 0;
      ReconcileWithRow(it, FindRow(reply.rows, key));
    });
  }

 private:
  template <typename Function>
  void ForEachClaim(const std::vector<std::string>& keys, Function function) {
    for (const std::string& key : keys) {
      auto it = state_.claims.find(key);
      if (it != state_.claims.end()) function(it->second);
    }
  }

  static Row FindRow(const std::vector<Row>& rows, const std::string& key) {
    for (const Row& it : rows) {
      if (it.key == key) return it;
    }
    return {key, nullptr, 0};
  }

  /// Takes the rows in conflict out of the batch and sends the rest again, at
  /// once and apart from rows that may conflict.
  void HandleConflict(const std::vector<std::string>& keys,
                      const std::vector<Row>& rows) {
    std::map<std::string_view, const Row*> present;
    for (const Row& it : rows) present.emplace(it.key, &it);
    const auto period = present.find(kClaimPeriodKey);
    if (period != present.end()) {
      ApplyPeriodRow(state_.retention, *period->second, now_);
    }
    const bool is_explained =
        period != present.end() ||
        std::any_of(keys.begin(), keys.end(),
                    [&](const auto& it) { return present.contains(it); });
    ForEachClaim(keys, [&](Claim& it) {
      if (!is_explained) return QueueReadBack(it);
      auto row = present.find(it.key);
      if (row == present.end()) return QueueResend(it);
      ReconcileWithRow(it, *row->second);
    });
  }

  void QueueResend(Claim& claim) {
    claim.store_state = ClaimStoreState::kQueued;
    state_.immediate_writes.push_front(claim.key);
    ++state_.resend_count;
    state_.next_batch = now_;
  }

  void HandleCommit(Claim& claim, std::int64_t revision) {
    claim.revision = revision;
    claim.has_uncertain_write = false;
    if (claim.written_stage != ClaimStage::kClaiming)
      return EraseClaim(state_, claim);
    if (claim.stage == ClaimStage::kClaiming) return GrantClaim(claim);
    EnqueueWrite(state_, claim);
  }

  void GrantClaim(Claim& claim) {
    claim.stage = ClaimStage::kHeld;
    claim.store_state = ClaimStoreState::kNone;
    claim.has_uncertain_write = false;
    results_.push_back({.call = claim.call, .granted = true});
    if (!claim.has_idempotency_key) EraseClaim(state_, claim);
  }

  /// Decides by the present state of the row; revision 0 means absent.
  void ReconcileWithRow(Claim& claim, const Row& row) {
    const ClaimRow present = ParseClaimRow(row.value);
    const bool unchanged = row.revision == claim.revision;
    const bool mine = row.revision != 0 && present.nonce == claim.nonce;
    const bool written = mine && present.state == NextRowState(claim);
    claim.revision = row.revision;
    if (claim.stage == ClaimStage::kClaiming) {
      const bool is_free =
          row.revision == 0 || present.state == ClaimRowState::kReleased;
      if (written) return GrantClaim(claim);
      if (is_free) return EnqueueWrite(state_, claim);
      results_.push_back(
          DuplicateResult(claim.call, present.state, present.answer));
      return EraseClaim(state_, claim);
    }
    const bool is_pending = mine || unchanged || row.revision == 0;
    if (written || !is_pending) return EraseClaim(state_, claim);
    EnqueueWrite(state_, claim);
  }

  void QueueReadBack(Claim& claim) {
    claim.has_uncertain_write = true;
    claim.store_state = ClaimStoreState::kReading;
    state_.queued_reads.push_back(claim.key);
  }

  void RetryRead(Claim& claim) {
    ++claim.unanswered_reads;
    if (claim.unanswered_reads < kMaxReadAttempts) return QueueReadBack(claim);
    claim.unanswered_reads = 0;
    HandleWriteFailure(claim);
  }

  void HandleWriteFailure(Claim& claim) {
    if (claim.stage == ClaimStage::kClaiming) {
      results_.push_back(UnavailableResult(claim.call));
      if (!claim.has_uncertain_write || !claim.has_idempotency_key)
        return EraseClaim(state_, claim);
      claim.stage = ClaimStage::kReleasing;
      claim.outcome = ClaimRowState::kReleased;
    }
    claim.store_state = ClaimStoreState::kQueued;
    if (state_.failed_writes.empty()) state_.next_retry = now_ + kRetryInterval;
    state_.failed_writes.push_back(claim.key);
  }

  ClaimsState& state_;
  Instant now_;
  std::vector<ClaimResult>& results_;
};

RowWrite MakeClaimWrite(const Claim& claim, std::int64_t period) {
  const ClaimRow row{.state = NextRowState(claim),
                     .nonce = claim.nonce,
                     .period = period,
                     .answer = claim.answer};
  return {claim.key, ToJson(row)};
}

/// Moves queued claims of one queue into the batch until it has `max_rows`.
void FillBatch(ClaimsState& state, std::deque<std::string>& queue,
               std::size_t max_rows, std::vector<std::string>& keys,
               Transaction& transaction) {
  while (!queue.empty() && keys.size() < max_rows) {
    auto it = state.claims.find(queue.front());
    queue.pop_front();
    const bool due = it != state.claims.end() &&
                     it->second.store_state == ClaimStoreState::kQueued;
    if (!due) continue;
    Claim& claim = it->second;
    claim.store_state = ClaimStoreState::kWriting;
    claim.written_stage = claim.stage;
    keys.push_back(claim.key);
    transaction.conditions.push_back({claim.key, claim.revision});
    transaction.writes.push_back(MakeClaimWrite(claim, state.retention.period));
  }
}

void SendBatch(ClaimsState& state, std::int64_t& next_request_id, Instant now,
               Outbox& out) {
  std::vector<std::string> keys;
  Transaction transaction;
  transaction.conditions.push_back(
      {std::string(kClaimPeriodKey), state.retention.period_revision});
  const std::size_t max_rows = state.limits.max_batch;
  const std::size_t resend = std::min(state.resend_count, max_rows);
  state.resend_count -= resend;
  FillBatch(state, state.immediate_writes, resend > 0 ? resend : max_rows, keys,
            transaction);
  if (resend == 0) {
    FillBatch(state, state.deferred_writes, max_rows, keys, transaction);
  }
  if (keys.empty()) return;
  const std::int64_t id = next_request_id++;
  state.pending_batches.emplace(id, std::move(keys));
  if (state.resend_count == 0)
    state.next_batch = now + state.limits.batch_interval;
  out.store_requests.push_back(
      {id, std::move(transaction), now + kWriteTimeout});
}

void SendReads(ClaimsState& state, std::int64_t& next_request_id, Instant now,
               Outbox& out) {
  while (!state.queued_reads.empty() &&
         state.pending_reads.size() < state.limits.max_reads_in_flight) {
    const std::int64_t id = next_request_id++;
    const std::string key = state.queued_reads.front();
    state.queued_reads.pop_front();
    state.pending_reads.emplace(id, key);
    auto claim = state.claims.find(key);
    const int reads =
        claim == state.claims.end() ? 0 : claim->second.unanswered_reads;
    out.store_requests.push_back(
        {id, StoreRead{key}, now + kReadTimeout * (1 << reads)});
  }
}

void RetryFailedWrites(ClaimsState& state, Instant now) {
  if (state.failed_writes.empty() || now < state.next_retry) return;
  for (std::string& it : state.failed_writes)
    state.deferred_writes.push_back(std::move(it));
  state.failed_writes.clear();
}

bool IsBatchDue(ClaimsState& state, Instant now) {
  if (state.pending_batches.size() >= state.limits.max_batches_in_flight)
    return false;
  if (now < state.next_batch) return false;
  if (!state.immediate_writes.empty()) return true;
  if (state.deferred_writes.empty()) {
    state.next_deferred_write = now + state.limits.outcome_delay;
    return false;
  }
  return now >= state.next_deferred_write;
}

}  // namespace

std::optional<ClaimResult> BeginClaim(ClaimsState& state,
                                      const ClaimRequest& order) {
  const bool keyed = order.idempotency_key.has_value();
  std::string key = ClaimRowKey(order.team, order.queue,
                                order.idempotency_key.value_or(order.nonce));
  auto holder = state.claims.find(key);
  if (holder != state.claims.end()) {
    return LocalResult(order.call, holder->second);
  }
  if (state.claims.size() >= state.limits.max_claims) {
    return UnavailableResult(order.call);
  }
  Claim claim{.call = order.call,
              .key = key,
              .nonce = order.nonce,
              .has_idempotency_key = keyed,
              .keep_answer = keyed && !order.team.empty()};
  EnqueueWrite(state, claim);
  state.key_by_call.emplace(order.call, key);
  state.claims.emplace(std::move(key), std::move(claim));
  return std::nullopt;
}

void EndClaim(ClaimsState& state, std::int64_t call, ClaimRowState outcome,
              const std::optional<RecordedAnswer>& answer) {
  auto key = state.key_by_call.find(call);
  if (key == state.key_by_call.end()) return;
  Claim& claim = state.claims.at(key->second);
  if (claim.stage != ClaimStage::kClaiming &&
      claim.stage != ClaimStage::kHeld) {
    return;
  }
  const bool is_unwritten = claim.store_state == ClaimStoreState::kQueued &&
                            !claim.has_uncertain_write;
  if (is_unwritten || !claim.has_idempotency_key)
    return EraseClaim(state, claim);
  const bool is_unsent = claim.stage == ClaimStage::kClaiming ||
                         outcome == ClaimRowState::kReleased;
  claim.stage = is_unsent ? ClaimStage::kReleasing : ClaimStage::kRecording;
  claim.outcome = is_unsent ? ClaimRowState::kReleased : outcome;
  if (claim.keep_answer) claim.answer = answer;
  if (claim.store_state == ClaimStoreState::kNone) EnqueueWrite(state, claim);
}

void SettleAnsweredCalls(ClaimsState& state,
                         const std::vector<CallAnswer>& answers) {
  for (const CallAnswer& it : answers) {
    switch (it.outcome) {
      case Outcome::kAnswered:
        EndClaim(state, it.call, ClaimRowState::kAnswered, it.recorded);
        break;
      case Outcome::kNotRun:
        EndClaim(state, it.call, ClaimRowState::kReleased, std::nullopt);
        break;
      case Outcome::kUnknown:
        EndClaim(state, it.call, ClaimRowState::kUnknown, std::nullopt);
        break;
    }
  }
}

void FlushClaims(ClaimsState& state, std::int64_t& next_request_id, Instant now,
                 Outbox& out) {
  RetryFailedWrites(state, now);
  SendReads(state, next_request_id, now, out);
  while (IsBatchDue(state, now)) SendBatch(state, next_request_id, now, out);
}

bool HandleClaimReply(ClaimsState& state, std::int64_t id,
                      const StoreReply& reply, Instant now,
                      std::vector<ClaimResult>& verdicts) {
  ClaimReplyHandler step(state, now, verdicts);
  if (auto batch = state.pending_batches.extract(id); !batch.empty()) {
    step.HandleBatchReply(batch.mapped(), reply);
    return true;
  }
  if (auto read = state.pending_reads.extract(id); !read.empty()) {
    step.HandleReadReply(read.mapped(), reply);
    return true;
  }
  return false;
}

bool AreClaimsSettled(const ClaimsState& state) {
  auto is_open = [](const auto& it) {
    return it.second.stage != ClaimStage::kHeld;
  };
  return std::none_of(state.claims.begin(), state.claims.end(), is_open);
}

}  // namespace hyssopbarrow
