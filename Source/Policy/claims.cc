#include "Policy/claims.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace hyssopbarrow {
namespace {

constexpr Duration kWriteTimeout = std::chrono::milliseconds(250);
/// Timeout of the first read. Each further read waits twice as long, so that a
/// lost reply is retried soon and a slow store still has time to reply.
constexpr Duration kFirstReadTimeout = std::chrono::milliseconds(250);
constexpr int kMaxReadAttempts = 4;  ///< Their timeouts add up to 3.75 s.
constexpr Duration kRetryInterval = std::chrono::milliseconds(1000);

/// Returns the state that the next write stores in the row.
ClaimRowState NextRowState(const Claim& claim) {
  if (!claim.has_idempotency_key) return ClaimRowState::kUnknown;
  if (claim.stage == ClaimStage::kClaiming) return ClaimRowState::kClaimed;
  return claim.outcome;
}

/// Returns the result for a submission whose key is claimed by an earlier one.
ClaimResult DuplicateResult(std::int64_t call, ClaimRowState state,
                            const std::optional<RecordedAnswer>& answer) {
  ClaimResult result{
      .call = call, .outcome = Outcome::kUnknown, .reason = Reason::kDuplicate};
  if (state != ClaimRowState::kAnswered) return result;
  if (!answer.has_value()) {
    result.reason = Reason::kAnswerNotKept;
    return result;
  }
  result.outcome = Outcome::kAnswered;
  result.reason = Reason::kNone;
  result.answer = answer;
  return result;
}

ClaimResult UnavailableResult(std::int64_t call) {
  return {.call = call, .reason = Reason::kStoreUnavailable};
}

/// Returns the result for a key that this host already claims or holds.
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
  const bool is_claiming = claim.stage == ClaimStage::kClaiming;
  (is_claiming ? state.immediate_writes : state.deferred_writes)
      .push_back(claim.key);
}

void EraseClaim(ClaimsState& state, const Claim& claim) {
  state.key_by_call.erase(claim.call);
  state.claims.erase(std::string(claim.key));
}

/// Advances the claims that a store reply concerns.
class ClaimReplyHandler {
 public:
  ClaimReplyHandler(ClaimsState& state, Instant now,
                    std::vector<ClaimResult>& results)
      : state_(state), now_(now), results_(results) {}

  void HandleBatchReply(const std::vector<std::string>& keys,
                        const StoreReply& reply) {
    switch (reply.status) {
      case StoreStatus::kOk:
        return ForEachClaim(
            keys, [&](Claim& claim) { HandleCommit(claim, reply.revision); });
      case StoreStatus::kConflict:
        return HandleConflict(keys, reply.rows);
      case StoreStatus::kUnavailable:
      case StoreStatus::kInvalid:
        return ForEachClaim(keys,
                            [&](Claim& claim) { HandleWriteFailure(claim); });
      case StoreStatus::kUnknown:
        return ForEachClaim(keys, [&](Claim& claim) { QueueReadBack(claim); });
    }
  }

  void HandleReadReply(const std::string& key, const StoreReply& reply) {
    ForEachClaim({key}, [&](Claim& claim) {
      if (reply.status != StoreStatus::kOk) return RetryRead(claim);
      claim.unanswered_reads = 0;
      ReconcileWithRow(claim, FindRow(reply.rows, key));
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
    for (const Row& row : rows) {
      if (row.key == key) return row;
    }
    return {key, nullptr, 0};
  }

  /// Reconciles the claims whose rows conflict, and resends the rest of the
  /// batch at once, separate from rows that may conflict.
  void HandleConflict(const std::vector<std::string>& keys,
                      const std::vector<Row>& rows) {
    std::map<std::string_view, const Row*> rows_by_key;
    for (const Row& row : rows) rows_by_key.emplace(row.key, &row);
    const auto period = rows_by_key.find(kClaimPeriodKey);
    if (period != rows_by_key.end()) {
      ApplyPeriodRow(state_.retention, *period->second, now_);
    }
    const bool has_conflicting_row =
        period != rows_by_key.end() ||
        std::any_of(keys.begin(), keys.end(),
                    [&](const auto& key) { return rows_by_key.contains(key); });
    ForEachClaim(keys, [&](Claim& claim) {
      if (!has_conflicting_row) return QueueReadBack(claim);
      auto row = rows_by_key.find(claim.key);
      if (row == rows_by_key.end()) return QueueResend(claim);
      ReconcileWithRow(claim, *row->second);
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
    if (claim.written_stage != ClaimStage::kClaiming) {
      return EraseClaim(state_, claim);
    }
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

  /// Advances the claim by the current state of its row; revision 0 means that
  /// the row is absent.
  void ReconcileWithRow(Claim& claim, const Row& row) {
    const ClaimRow stored = ParseClaimRow(row.value);
    const bool is_unchanged = row.revision == claim.revision;
    const bool is_own = row.revision != 0 && stored.nonce == claim.nonce;
    const bool is_written = is_own && stored.state == NextRowState(claim);
    claim.revision = row.revision;
    if (claim.stage == ClaimStage::kClaiming) {
      const bool is_free =
          row.revision == 0 || stored.state == ClaimRowState::kReleased;
      if (is_written) return GrantClaim(claim);
      if (is_free) return EnqueueWrite(state_, claim);
      results_.push_back(
          DuplicateResult(claim.call, stored.state, stored.answer));
      return EraseClaim(state_, claim);
    }
    const bool is_pending = is_own || is_unchanged || row.revision == 0;
    if (is_written || !is_pending) return EraseClaim(state_, claim);
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
      if (!claim.has_uncertain_write || !claim.has_idempotency_key) {
        return EraseClaim(state_, claim);
      }
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

/// Moves claims from `queue` to the batch until it has `max_rows` rows.
void FillBatch(ClaimsState& state, std::deque<std::string>& queue,
               std::size_t max_rows, std::vector<std::string>& keys,
               Transaction& transaction) {
  while (!queue.empty() && keys.size() < max_rows) {
    auto it = state.claims.find(queue.front());
    queue.pop_front();
    const bool is_due = it != state.claims.end() &&
                        it->second.store_state == ClaimStoreState::kQueued;
    if (!is_due) continue;
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
  const std::size_t resent_rows = std::min(state.resend_count, max_rows);
  state.resend_count -= resent_rows;
  FillBatch(state, state.immediate_writes,
            resent_rows > 0 ? resent_rows : max_rows, keys, transaction);
  if (resent_rows == 0) {
    FillBatch(state, state.deferred_writes, max_rows, keys, transaction);
  }
  if (keys.empty()) return;
  const std::int64_t id = next_request_id++;
  state.pending_batches.emplace(id, std::move(keys));
  if (state.resend_count == 0) {
    state.next_batch = now + state.limits.batch_interval;
  }
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
    const int unanswered_reads =
        claim == state.claims.end() ? 0 : claim->second.unanswered_reads;
    out.store_requests.push_back(
        {id, StoreRead{key},
         now + kFirstReadTimeout * (1 << unanswered_reads)});
  }
}

void RetryFailedWrites(ClaimsState& state, Instant now) {
  if (state.failed_writes.empty() || now < state.next_retry) return;
  for (std::string& key : state.failed_writes) {
    state.deferred_writes.push_back(std::move(key));
  }
  state.failed_writes.clear();
}

bool IsBatchDue(ClaimsState& state, Instant now) {
  if (state.pending_batches.size() >= state.limits.max_batches_in_flight) {
    return false;
  }
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
                                      const ClaimRequest& request) {
  const bool has_idempotency_key = request.idempotency_key.has_value();
  std::string key =
      ClaimRowKey(request.team, request.queue,
                  request.idempotency_key.value_or(request.nonce));
  auto holder = state.claims.find(key);
  if (holder != state.claims.end()) {
    return LocalResult(request.call, holder->second);
  }
  if (state.claims.size() >= state.limits.max_claims) {
    return UnavailableResult(request.call);
  }
  Claim claim{.call = request.call,
              .key = key,
              .nonce = request.nonce,
              .has_idempotency_key = has_idempotency_key,
              .keep_answer = has_idempotency_key && !request.team.empty()};
  EnqueueWrite(state, claim);
  state.key_by_call.emplace(request.call, key);
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
  if (is_unwritten || !claim.has_idempotency_key) {
    return EraseClaim(state, claim);
  }
  const bool is_unsent = claim.stage == ClaimStage::kClaiming ||
                         outcome == ClaimRowState::kReleased;
  claim.stage = is_unsent ? ClaimStage::kReleasing : ClaimStage::kRecording;
  claim.outcome = is_unsent ? ClaimRowState::kReleased : outcome;
  if (claim.keep_answer) claim.answer = answer;
  if (claim.store_state == ClaimStoreState::kNone) EnqueueWrite(state, claim);
}

void SettleAnsweredCalls(ClaimsState& state,
                         const std::vector<CallAnswer>& answers) {
  for (const CallAnswer& answer : answers) {
    switch (answer.outcome) {
      case Outcome::kAnswered:
        EndClaim(state, answer.call, ClaimRowState::kAnswered, answer.recorded);
        break;
      case Outcome::kNotRun:
        EndClaim(state, answer.call, ClaimRowState::kReleased, std::nullopt);
        break;
      case Outcome::kUnknown:
        EndClaim(state, answer.call, ClaimRowState::kUnknown, std::nullopt);
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
                      std::vector<ClaimResult>& results) {
  ClaimReplyHandler handler(state, now, results);
  if (auto batch = state.pending_batches.extract(id); !batch.empty()) {
    handler.HandleBatchReply(batch.mapped(), reply);
    return true;
  }
  if (auto read = state.pending_reads.extract(id); !read.empty()) {
    handler.HandleReadReply(read.mapped(), reply);
    return true;
  }
  return false;
}

bool AreClaimsSettled(const ClaimsState& state) {
  auto is_unsettled = [](const auto& entry) {
    return entry.second.stage != ClaimStage::kHeld;
  };
  return std::none_of(state.claims.begin(), state.claims.end(), is_unsettled);
}

}  // namespace hyssopbarrow
