#include "Policy/configuration.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "Model/json.h"
#include "absl/status/statusor.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(500);
/// The poll interval is multiplied by the number of live hosts of the data
/// centre, up to this number.
constexpr std::int64_t kMaxPollSharingHosts = 4;
constexpr Duration kFastPollInterval = std::chrono::milliseconds(100);
constexpr Duration kFastPollTime = std::chrono::seconds(3);
constexpr Duration kPollTimeout = std::chrono::milliseconds(2000);
constexpr Duration kMaxConfirmedAge = std::chrono::hours(24 * 30);
/// Time after which another peer may be asked for its snapshot.
constexpr Duration kSnapshotFetchTimeout = std::chrono::milliseconds(500);

bool IsKeyGraceExpired(const ConfigurationState& state, const Queue& queue,
                       Instant now) {
  const auto grace = std::chrono::milliseconds(queue.key_grace_ms);
  return now > state.confirmed_at + grace;
}

std::int64_t AdoptedRevision(const ConfigurationState& state) {
  return state.snapshot.has_value() ? state.snapshot->revision : 0;
}

/// Returns the number in the revision row; 0 if it is missing or malformed.
std::int64_t StoredRevision(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    if (row.key != kConfigRevisionKey || !row.value.is_object()) continue;
    return IntegerOrZero(row.value, "number");
  }
  return 0;
}

}  // namespace

bool ApplyConfigRows(ConfigurationState& state, const std::vector<Row>& rows) {
  absl::StatusOr<Snapshot> parsed = ParseSnapshot(rows);
  if (!parsed.ok()) {
    state.rejection_error = std::string(parsed.status().message());
    state.rejected_revision = StoredRevision(rows);
    return false;
  }
  if (state.snapshot.has_value() &&
      parsed->revision <= state.snapshot->revision) {
    return false;
  }
  state.snapshot = *std::move(parsed);
  state.rejection_error.clear();
  state.rejected_revision = 0;
  return true;
}

void TickConfiguration(ConfigurationState& state,
                       const MembershipSummary& membership,
                       std::int64_t& next_request_id, Instant now,
                       Outbox& out) {
  if (!state.store_reachable && membership.no_member_reaches_store) {
    state.confirmed_at = now;
  }
  if (state.pending_poll_id != 0 || now < state.next_poll) return;
  const std::int64_t sharing_hosts =
      std::min(membership.local_live_hosts, kMaxPollSharingHosts);
  state.pending_poll_id = next_request_id++;
  const bool is_fast = now < state.fast_poll_until;
  state.next_poll =
      now + (is_fast ? kFastPollInterval : kPollInterval * sharing_hosts);
  const std::string_view prefix =
      state.poll_all_rows ? kConfigPrefix : kConfigRevisionKey;
  out.store_requests.push_back({state.pending_poll_id,
                                StoreRead{std::string(prefix)},
                                now + kPollTimeout});
}

void StartFastPolling(ConfigurationState& state, Instant now) {
  state.fast_poll_until = now + kFastPollTime;
  state.next_poll = now;
}

void HandlePeerRevision(ConfigurationState& state, const std::string& peer,
                        const Heartbeat& heartbeat, Instant now, Outbox& out) {
  const std::int64_t adopted = AdoptedRevision(state);
  if (heartbeat.config_revision == adopted) {
    state.confirmed_at =
        std::max(state.confirmed_at, now - heartbeat.confirmed_age);
  }
  const bool is_newer = heartbeat.config_revision > adopted;
  if (!is_newer || now < state.fetch_deadline) return;
  state.fetch_deadline = now + kSnapshotFetchTimeout;
  out.peer_sends.push_back({peer, SnapshotRequest{adopted}});
}

void HandleSnapshotReply(ConfigurationState& state, const SnapshotReply& reply,
                         Instant now) {
  state.fetch_deadline = Instant{};
  if (!ApplyConfigRows(state, reply.rows)) return;
  state.confirmed_at = now - reply.confirmed_age;
}

Duration ConfirmedAge(const ConfigurationState& state, Instant now) {
  const Duration age =
      std::clamp(now - state.confirmed_at, Duration::zero(), kMaxConfirmedAge);
  return std::chrono::ceil<std::chrono::milliseconds>(age);
}

bool HandlePollReply(ConfigurationState& state, std::int64_t id,
                     const StoreReply& reply, Instant now) {
  if (id == 0 || id != state.pending_poll_id) return false;
  state.pending_poll_id = 0;
  const bool read_all = std::exchange(state.poll_all_rows, false);
  state.store_reachable = reply.status == StoreStatus::kOk;
  if (!state.store_reachable) return true;
  if (read_all) {
    if (ApplyConfigRows(state, reply.rows)) state.confirmed_at = now;
    return true;
  }
  const std::int64_t stored = StoredRevision(reply.rows);
  state.poll_all_rows =
      stored > AdoptedRevision(state) && stored != state.rejected_revision;
  if (state.poll_all_rows) {
    state.next_poll = now;
  } else if (stored == AdoptedRevision(state)) {
    state.confirmed_at = now;
  }
  return true;
}

Admission Admit(const ConfigurationState& state, const Queue& queue,
                const std::optional<std::string>& key, Instant now) {
  if (!key.has_value()) {
    return {.reason = queue.open ? Reason::kNone : Reason::kKeyMissing,
            .team = {}};
  }
  const std::string* name =
      Find(state.snapshot->key_name_by_digest, Sha256Hex(*key));
  const Key* row =
      name == nullptr ? nullptr : Find(state.snapshot->keys, *name);
  const bool is_caller_key =
      row != nullptr && !row->withdrawn && row->role == KeyRole::kCaller;
  if (!is_caller_key) return {.reason = Reason::kKeyRejected, .team = {}};
  if (!queue.open && IsKeyGraceExpired(state, queue, now)) {
    return {.reason = Reason::kKeyUnconfirmed, .team = {}};
  }
  return {.reason = Reason::kNone, .team = row->team};
}

}  // namespace hyssopbarrow
