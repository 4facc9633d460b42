#include "Policy/claim_retention.h"

#include <array>
#include <string>
#include <utility>

#include "Model/text.h"
#include "Policy/claim_row.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kRetentionPeriod = std::chrono::hours(1);
constexpr Duration kPeriodReadInterval = std::chrono::seconds(60);
constexpr Duration kSweepInterval = std::chrono::seconds(1);
constexpr Duration kRequestTimeout = std::chrono::seconds(2);

/// Number of retention periods for which the row of a settled claim is kept.
constexpr std::int64_t kSettledRetentionPeriods = 24;
/// Number of retention periods for which the row of a claim without an outcome
/// is kept. Exceeds the longest deadline of a call.
constexpr std::int64_t kClaimedRetentionPeriods = 192;

/// Claim rows are swept by the first three hexadecimal digits of their digest.
constexpr std::int64_t kShardCount = 4096;
constexpr std::size_t kMaxDeletionsPerTransaction = 64;

std::string ShardPrefix(std::int64_t shard) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  const std::array<char, 3> text = {kDigits[(shard >> 8) & 15],
                                    kDigits[(shard >> 4) & 15],
                                    kDigits[shard & 15]};
  return StrCat(kClaimPrefix, std::string_view(text.data(), text.size()));
}

bool IsRowExpired(const Row& row, std::int64_t current_period) {
  const ClaimRow claim = ParseClaimRow(row.value);
  const std::int64_t age = current_period - claim.period;
  const bool is_unsettled = claim.state == ClaimRowState::kClaimed;
  return age >
         (is_unsettled ? kClaimedRetentionPeriods : kSettledRetentionPeriods);
}

void SendTransaction(Transaction transaction, std::int64_t id, Instant now,
                     Outbox& out) {
  out.store_requests.push_back(
      {id, std::move(transaction), now + kRequestTimeout});
}

void DeleteExpiredRows(ClaimRetention& state, const std::vector<Row>& rows,
                       std::int64_t& next_request_id, Instant now,
                       Outbox& out) {
  Transaction transaction;
  auto flush = [&] {
    if (transaction.writes.empty()) return;
    const std::int64_t id = next_request_id++;
    state.pending_deletions.insert(id);
    SendTransaction(std::exchange(transaction, {}), id, now, out);
  };
  for (const Row& row : rows) {
    if (!IsRowExpired(row, state.period)) continue;
    transaction.conditions.push_back({row.key, row.revision});
    transaction.writes.push_back({row.key, nullptr});
    if (transaction.writes.size() >= kMaxDeletionsPerTransaction) flush();
  }
  flush();
}

void IncrementPeriod(ClaimRetention& state, std::int64_t& next_request_id,
                     Instant now, Outbox& out) {
  const std::string key(kClaimPeriodKey);
  const nlohmann::json value = {{"number", state.period + 1}};
  state.pending_period_request = next_request_id++;
  SendTransaction(
      {.conditions = {{key, state.period_revision}}, .writes = {{key, value}}},
      state.pending_period_request, now, out);
}

void ReadPeriod(ClaimRetention& state, std::int64_t& next_request_id,
                Instant now, Outbox& out) {
  state.next_period_read = now + kPeriodReadInterval;
  state.pending_period_request = next_request_id++;
  out.store_requests.push_back({state.pending_period_request,
                                StoreRead{std::string(kClaimPeriodKey)},
                                now + kRequestTimeout});
}

void HandlePeriodReply(ClaimRetention& state, const StoreReply& reply,
                       Instant now) {
  const bool has_rows = reply.status == StoreStatus::kOk ||
                        reply.status == StoreStatus::kConflict;
  if (!has_rows) return;
  if (reply.revision != 0) {
    state.next_period_read = now;
    return;
  }
  Row row{std::string(kClaimPeriodKey), nullptr, 0};
  for (const Row& candidate : reply.rows) {
    if (candidate.key == kClaimPeriodKey) row = candidate;
  }
  ApplyPeriodRow(state, row, now);
}

}  // namespace

void ApplyPeriodRow(ClaimRetention& state, const Row& row, Instant now) {
  const bool is_known =
      state.has_period && state.period_revision == row.revision;
  if (is_known || row.revision < state.period_revision) return;
  state.has_period = true;
  state.period_revision = row.revision;
  const bool is_valid = row.value.is_object() && row.value.contains("number") &&
                        row.value["number"].is_number_integer();
  if (is_valid) state.period = row.value["number"].get<std::int64_t>();
  state.next_increment = now + kRetentionPeriod;
}

void TickRetention(ClaimRetention& state, bool sweeps,
                   std::int64_t& next_request_id, Instant now, Outbox& out) {
  if (state.pending_period_request == 0) {
    if (now >= state.next_period_read) {
      ReadPeriod(state, next_request_id, now, out);
    } else if (state.has_period && now >= state.next_increment) {
      state.next_increment = now + kPeriodReadInterval;
      IncrementPeriod(state, next_request_id, now, out);
    }
  }
  if (!sweeps || state.pending_sweep_request != 0 || now < state.next_sweep) {
    return;
  }
  state.next_sweep = now + kSweepInterval;
  state.pending_sweep_request = next_request_id++;
  out.store_requests.push_back({state.pending_sweep_request,
                                StoreRead{ShardPrefix(state.next_shard)},
                                now + kRequestTimeout});
  state.next_shard = (state.next_shard + 1) % kShardCount;
}

bool HandleRetentionReply(ClaimRetention& state, std::int64_t id,
                          const StoreReply& reply,
                          std::int64_t& next_request_id, Instant now,
                          Outbox& out) {
  if (id == state.pending_period_request) {
    state.pending_period_request = 0;
    HandlePeriodReply(state, reply, now);
    return true;
  }
  if (id == state.pending_sweep_request) {
    state.pending_sweep_request = 0;
    if (reply.status == StoreStatus::kOk) {
      DeleteExpiredRows(state, reply.rows, next_request_id, now, out);
    }
    return true;
  }
  return state.pending_deletions.erase(id) > 0;
}

}  // namespace hyssopbarrow
