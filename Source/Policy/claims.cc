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
constexpr int kMaxReads = 4;  ///< 3.75 s in all.
constexpr Duration kRetryInterval = std::chrono::milliseconds(1000);

/// State that the next write puts into the row.
ClaimRowState RowStateOf(const Claim& claim) {
  if (!claim.keyed) return ClaimRowState::kUnknown;
  if (claim.stage == ClaimStage::kClaiming) return ClaimRowState::kClaimed;
  return claim.outcome;
}

/// Answer to a submission whose key is claimed by an earlier one.
ClaimVerdict DuplicateVerdict(std::int64_t call, ClaimRowState state,
                              const std::optional<RecordedAnswer>& answer) {
  ClaimVerdict verdict{
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

ClaimVerdict UnavailableVerdict(std::int64_t call) {
  return {.call = call, .reason = Reason::kStoreUnavailable};
}

/// Verdict on a key that this host itself claims or holds.
ClaimVerdict LocalVerdict(std::int64_t call, const Claim& holder) {
  switch (holder.stage) {
    case ClaimStage::kRecording:
      return DuplicateVerdict(call, holder.outcome, holder.answer);
    case ClaimStage::kReleasing:
      return UnavailableVerdict(call);
    default:
      return DuplicateVerdict(call, ClaimRowState::kClaimed, std::nullopt);
  }
}

void Enqueue(ClaimsState& state, Claim& claim) {
  claim.wait = ClaimWait::kQueued;
  const bool urgent = claim.stage == ClaimStage::kClaiming;
  (urgent ? state.urgent : state.relaxed).push_back(claim.key);
}

void Erase(ClaimsState& state, const Claim& claim) {
  state.key_by_call.erase(claim.call);
  state.claims.erase(std::string(claim.key));
}

/// Moves claims through their stages while a reply is taken in.
class ReplyStep {
 public:
  ReplyStep(ClaimsState& state, Instant now,
            std::vector<ClaimVerdict>& verdicts)
      : state_(state), now_(now), verdicts_(verdicts) {}

  void TakeBatch(const std::vector<std::string>& keys,
                 const StoreReply& reply) {
    switch (reply.status) {
      case StoreStatus::kOk:
        return ForEach(keys, [&](Claim& it) { Commit(it, reply.revision); });
      case StoreStatus::kConflict:
        return TakeConflict(keys, reply.rows);
      case StoreStatus::kUnavailable:
        return ForEach(keys, [&](Claim& it) { Fail(it); });
      case StoreStatus::kUnknown:
        return ForEach(keys, [&](Claim& it) { ReadBack(it); });
    }
  }

  void TakeRead(const std::string& key, const StoreReply& reply) {
    ForEach({key}, [&](Claim& it) {
      if (reply.status != StoreStatus::kOk) return ReadAgain(it);
      it.reads = 0;
      Judge(it, FindRow(reply.rows, key));
    });
  }

 private:
  template <typename Function>
  void ForEach(const std::vector<std::string>& keys, Function function) {
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
  void TakeConflict(const std::vector<std::string>& keys,
                    const std::vector<Row>& rows) {
    std::map<std::string_view, const Row*> present;
    for (const Row& it : rows) present.emplace(it.key, &it);
    const auto period = present.find(kClaimPeriodKey);
    if (period != present.end()) {
      AdoptPeriod(state_.retention, *period->second, now_);
    }
    const bool is_explained =
        period != present.end() ||
        std::any_of(keys.begin(), keys.end(),
                    [&](const auto& it) { return present.contains(it); });
    ForEach(keys, [&](Claim& it) {
      if (!is_explained) return ReadBack(it);
      auto row = present.find(it.key);
      if (row == present.end()) return Resend(it);
      Judge(it, *row->second);
    });
  }

  void Resend(Claim& claim) {
    claim.wait = ClaimWait::kQueued;
    state_.urgent.push_front(claim.key);
    ++state_.resend;
    state_.next_batch = now_;
  }

  void Commit(Claim& claim, std::int64_t revision) {
    claim.revision = revision;
    claim.uncertain = false;
    if (claim.written != ClaimStage::kClaiming) return Erase(state_, claim);
    if (claim.stage == ClaimStage::kClaiming) return Hold(claim);
    Enqueue(state_, claim);
  }

  void Hold(Claim& claim) {
    claim.stage = ClaimStage::kHeld;
    claim.wait = ClaimWait::kNone;
    claim.uncertain = false;
    verdicts_.push_back({.call = claim.call, .granted = true});
    if (!claim.keyed) Erase(state_, claim);
  }

  /// Decides by the present state of the row; revision 0 means absent.
  void Judge(Claim& claim, const Row& row) {
    const ClaimRow present = ParseClaimRow(row.value);
    const bool unchanged = row.revision == claim.revision;
    const bool mine = row.revision != 0 && present.nonce == claim.nonce;
    const bool written = mine && present.state == RowStateOf(claim);
    claim.revision = row.revision;
    if (claim.stage == ClaimStage::kClaiming) {
      const bool is_free =
          row.revision == 0 || present.state == ClaimRowState::kReleased;
      if (written) return Hold(claim);
      if (is_free) return Enqueue(state_, claim);
      verdicts_.push_back(
          DuplicateVerdict(claim.call, present.state, present.answer));
      return Erase(state_, claim);
    }
    const bool is_pending = mine || unchanged || row.revision == 0;
    if (written || !is_pending) return Erase(state_, claim);
    Enqueue(state_, claim);
  }

  void ReadBack(Claim& claim) {
    claim.uncertain = true;
    claim.wait = ClaimWait::kReading;
    state_.unread.push_back(claim.key);
  }

  void ReadAgain(Claim& claim) {
    ++claim.reads;
    if (claim.reads < kMaxReads) return ReadBack(claim);
    claim.reads = 0;
    Fail(claim);
  }

  void Fail(Claim& claim) {
    if (claim.stage == ClaimStage::kClaiming) {
      verdicts_.push_back(UnavailableVerdict(claim.call));
      if (!claim.uncertain || !claim.keyed) return Erase(state_, claim);
      claim.stage = ClaimStage::kReleasing;
      claim.outcome = ClaimRowState::kReleased;
    }
    claim.wait = ClaimWait::kQueued;
    if (state_.failed.empty()) state_.retry_at = now_ + kRetryInterval;
    state_.failed.push_back(claim.key);
  }

  ClaimsState& state_;
  Instant now_;
  std::vector<ClaimVerdict>& verdicts_;
};

RowWrite WriteOf(const Claim& claim, std::int64_t period) {
  const ClaimRow row{.state = RowStateOf(claim),
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
    const bool due =
        it != state.claims.end() && it->second.wait == ClaimWait::kQueued;
    if (!due) continue;
    Claim& claim = it->second;
    claim.wait = ClaimWait::kWriting;
    claim.written = claim.stage;
    keys.push_back(claim.key);
    transaction.conditions.push_back({claim.key, claim.revision});
    transaction.writes.push_back(WriteOf(claim, state.retention.number));
  }
}

void SendBatch(ClaimsState& state, std::int64_t& next_request_id, Instant now,
               Outbox& out) {
  std::vector<std::string> keys;
  Transaction transaction;
  transaction.conditions.push_back(
      {std::string(kClaimPeriodKey), state.retention.revision});
  const std::size_t max_rows = state.limits.max_batch;
  const std::size_t resend = std::min(state.resend, max_rows);
  state.resend -= resend;
  FillBatch(state, state.urgent, resend > 0 ? resend : max_rows, keys,
            transaction);
  if (resend == 0) {
    FillBatch(state, state.relaxed, max_rows, keys, transaction);
  }
  if (keys.empty()) return;
  const std::int64_t id = next_request_id++;
  state.batches.emplace(id, std::move(keys));
  if (state.resend == 0) state.next_batch = now + state.limits.batch_interval;
  out.store_requests.push_back(
      {id, std::move(transaction), now + kWriteTimeout});
}

void SendReads(ClaimsState& state, std::int64_t& next_request_id, Instant now,
               Outbox& out) {
  while (!state.unread.empty() &&
         state.reads.size() < state.limits.max_reads_in_flight) {
    const std::int64_t id = next_request_id++;
    const std::string key = state.unread.front();
    state.unread.pop_front();
    state.reads.emplace(id, key);
    auto claim = state.claims.find(key);
    const int reads = claim == state.claims.end() ? 0 : claim->second.reads;
    out.store_requests.push_back(
        {id, StoreRead{key}, now + kReadTimeout * (1 << reads)});
  }
}

void RetryFailed(ClaimsState& state, Instant now) {
  if (state.failed.empty() || now < state.retry_at) return;
  for (std::string& it : state.failed) state.relaxed.push_back(std::move(it));
  state.failed.clear();
}

bool IsBatchDue(ClaimsState& state, Instant now) {
  if (state.batches.size() >= state.limits.max_batches_in_flight) return false;
  if (now < state.next_batch) return false;
  if (!state.urgent.empty()) return true;
  if (state.relaxed.empty()) {
    state.relaxed_due = now + state.limits.outcome_delay;
    return false;
  }
  return now >= state.relaxed_due;
}

}  // namespace

std::optional<ClaimVerdict> BeginClaim(ClaimsState& state,
                                       const ClaimOrder& order) {
  const bool keyed = order.idempotency_key.has_value();
  std::string key = ClaimKeyOf(order.team, order.queue,
                               order.idempotency_key.value_or(order.nonce));
  auto holder = state.claims.find(key);
  if (holder != state.claims.end()) {
    return LocalVerdict(order.call, holder->second);
  }
  if (state.claims.size() >= state.limits.max_claims) {
    return UnavailableVerdict(order.call);
  }
  Claim claim{.call = order.call,
              .key = key,
              .nonce = order.nonce,
              .keyed = keyed,
              .keep_answer = keyed && !order.team.empty()};
  Enqueue(state, claim);
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
  const bool is_unwritten =
      claim.wait == ClaimWait::kQueued && !claim.uncertain;
  if (is_unwritten || !claim.keyed) return Erase(state, claim);
  const bool is_unsent = claim.stage == ClaimStage::kClaiming ||
                         outcome == ClaimRowState::kReleased;
  claim.stage = is_unsent ? ClaimStage::kReleasing : ClaimStage::kRecording;
  claim.outcome = is_unsent ? ClaimRowState::kReleased : outcome;
  if (claim.keep_answer) claim.answer = answer;
  if (claim.wait == ClaimWait::kNone) Enqueue(state, claim);
}

void SettleAnswered(ClaimsState& state,
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
  RetryFailed(state, now);
  SendReads(state, next_request_id, now, out);
  while (IsBatchDue(state, now)) SendBatch(state, next_request_id, now, out);
}

bool ReceiveClaimReply(ClaimsState& state, std::int64_t id,
                       const StoreReply& reply, Instant now,
                       std::vector<ClaimVerdict>& verdicts) {
  ReplyStep step(state, now, verdicts);
  if (auto batch = state.batches.extract(id); !batch.empty()) {
    step.TakeBatch(batch.mapped(), reply);
    return true;
  }
  if (auto read = state.reads.extract(id); !read.empty()) {
    step.TakeRead(read.mapped(), reply);
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
