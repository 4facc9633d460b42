#include <algorithm>
#include <string_view>
#include <utility>

#include "Model/json.h"
#include "Model/limits.h"
#include "Policy/candidacy.h"
#include "Policy/entry_internal.h"
#include "Policy/host_records.h"
#include "Policy/job_memory.h"
#include "Policy/owner_runs.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

constexpr Duration kRenewalInterval = milliseconds(350);
constexpr Duration kRenewalRetryDelay = milliseconds(50);
/// Leaves time for a second renewal before the lease expires.
constexpr Duration kRenewalTimeout = milliseconds(450);
/// An owner that has not renewed its lease for this long is replaced. Leaves
/// time for three renewals, even while the store takes 0.25 s to reply.
constexpr Duration kOwnerLeaseDuration = milliseconds(1200);
/// The owner lets its lease expire this much earlier than the other hosts do.
constexpr Duration kOwnerLeaseMargin = milliseconds(100);
constexpr Duration kClaimRetryDelay = milliseconds(300);
/// A watch of the ownership rows waits 500 ms. If the store has not replied for
/// longer, the owner may be unable to reach it as well, and this host does not
/// claim the ownership.
constexpr Duration kMaxStoreReplyAge = milliseconds(520);
/// How long a lease row tells what room the owner has. A takeover and the load
/// of the tables take some seconds, in which no row tells more.
constexpr Duration kMaxJobRoomAge = milliseconds(10'000);
constexpr const char* kEarlierRequestsField = "earlier_requests_ms";
/// Bytes that the owner has left for further jobs. Absent in rows of earlier
/// versions.
constexpr const char* kJobRoomField = "job_room";
/// False while a request of an owner that stored no record may be carried out;
/// owners of earlier versions store none.
constexpr const char* kRecordsHostRequestsField = "records_host_requests";

RowRef OwnerRowRef(std::string_view key) {
  return {Table::kOwner, std::string(key)};
}

/// Time at which a lease expires for its owner, who renewed it by a request
/// sent at `sent_at`.
Instant LeaseExpiry(Instant sent_at) {
  return sent_at + kOwnerLeaseDuration - kOwnerLeaseMargin;
}

/// `earlier_requests_end` is stored as a remaining time, because hosts share no
/// clock that never steps.
nlohmann::json LeaseRow(const EntryState& entry, std::int64_t epoch,
                        bool released, Instant earlier_requests_end,
                        bool records_host_requests, std::int64_t job_room,
                        Instant now) {
  const auto remaining =
      std::chrono::ceil<milliseconds>(Remaining(earlier_requests_end, now));
  return {{"holder", entry.self.holder},
          {"address", entry.self.address},
          {"epoch", epoch},
          {"renewals", entry.ownership.renewals},
          {kEarlierRequestsField, remaining.count()},
          {kRecordsHostRequestsField, records_host_requests},
          {kJobRoomField, job_room},
          {"released", released}};
}

/// How long after a lease row was written an owner before its holder may send
/// requests to targets. Rows of earlier versions do not say so.
Duration EarlierRequestsTime(const nlohmann::json& row) {
  auto it = row.find(kEarlierRequestsField);
  if (it == row.end() || !it->is_number_integer()) return kStoreOutageGrace;
  const auto ms = it->get<std::int64_t>();
  const bool in_range = ms >= 0 && ms <= kStoreOutageGrace / milliseconds(1);
  return in_range ? milliseconds(ms) : kStoreOutageGrace;
}

/// What the owner has left for jobs, as far as the lease row tells.
std::int64_t KnownJobRoom(const EntryState& entry, Instant now) {
  const bool known = now < entry.ownership.job_room_known_until;
  return known ? entry.ownership.job_room : entry.timing.max_job_bytes;
}

/// True if `holder` is an earlier instance of this host, which has ended.
bool IsEarlierInstance(const EntryState& entry, std::string_view holder) {
  const std::string prefix = entry.self.node + "@";
  return holder.starts_with(prefix) && holder != entry.self.holder;
}

/// Latest time at which the holder of the lease or an owner before it may send
/// requests to targets.
Instant LatestRequestOfOwners(const EntryState& entry) {
  const Ownership& ownership = entry.ownership;
  const bool holder_ended =
      ownership.released || IsEarlierInstance(entry, ownership.holder);
  // The last renewal that the store took is older than the last change seen.
  return holder_ended ? ownership.earlier_requests_end
                      : ownership.unchanged_since + kStoreOutageGrace;
}

void BecomeOwner(EntryState& entry, std::int64_t epoch, std::int64_t revision,
                 Instant claim_sent_at, Context& context) {
  Ownership& ownership = entry.ownership;
  ownership.epoch = epoch;
  ownership.epoch_revision = revision;
  ownership.holder = entry.self.holder;
  ownership.address = entry.self.address;
  ownership.released = false;
  ownership.releasing = false;
  ownership.renewed_at = claim_sent_at;
  ownership.next_renewal = claim_sent_at + kRenewalInterval;
  ownership.pending_renewal = 0;
  Owner owner;
  owner.epoch = epoch;
  owner.epoch_revision = revision;
  owner.commit_revision = revision;
  owner.inherited_job_room = KnownJobRoom(entry, context.time.now);
  ownership.job_room_sent = owner.inherited_job_room;
  owner.owned_since = context.time.now;
  owner.earlier_requests_end = ownership.requests_end_before_claim;
  owner.target_requests_allowed_until = LeaseExpiry(claim_sent_at);
  owner.host_requests_allowed_until = owner.target_requests_allowed_until;
  owner.host_manager.unrecorded_requests_end =
      epoch > 1 && !ownership.records_host_requests
          ? context.time.now + kMaxHostRequestDelay
          : context.time.now;
  for (const auto& [number, wave] : entry.waves) {
    ApplyWaves(owner, {wave}, context);
  }
  owner.evacuation.data_centres = entry.evacuated;
  entry.owner = std::move(owner);
  const auto restart = [](TableFollower& follower) {
    follower = TableFollower{.table = follower.table,
                             .watch_wait = follower.watch_wait,
                             .watch_margin = follower.watch_margin,
                             .watch_delay = follower.watch_delay};
  };
  restart(entry.jobs_follower);
  restart(entry.progress_follower);
  restart(entry.targets_follower);
  Log(context, Severity::kInfo, "ownership_taken",
      {{"epoch", std::to_string(epoch)},
       {"revision", std::to_string(revision)}});
}

void LoseOwnership(EntryState& entry, std::string_view reason,
                   Context& context) {
  if (!entry.owner.has_value()) return;
  Log(context, Severity::kWarn, "ownership_lost",
      {{"epoch", std::to_string(entry.owner->epoch)},
       {"reason", std::string(reason)}});
  entry.owner.reset();
  entry.ownership.pending_renewal = 0;
}

/// Writes the lease row, as renewed or, if `release`, as released.
void SendRenewal(EntryState& entry, bool release, Context& context) {
  Ownership& ownership = entry.ownership;
  ++ownership.renewals;
  ownership.pending_renewal = context.next_id++;
  ownership.renewal_sent_at = context.time.now;
  ownership.releasing = release;
  ownership.job_room_sent = RoomForJobs(*entry.owner, context.timing);
  CommitRows commit{.id = ownership.pending_renewal};
  commit.timeout = kRenewalTimeout;
  commit.conditions = {{OwnerRowRef(kEpochKey), entry.owner->epoch_revision}};
  commit.writes = {
      {OwnerRowRef(kLeaseKey),
       LeaseRow(entry, entry.owner->epoch, release,
                entry.owner->earlier_requests_end,
                entry.owner->host_manager.unrecorded_requests_end <=
                    context.time.now,
                ownership.job_room_sent, context.time.now)}};
  context.out.emplace_back(std::move(commit));
}

void SendClaim(EntryState& entry, Context& context) {
  Ownership& ownership = entry.ownership;
  ownership.pending_claim = context.next_id++;
  ownership.claim_sent_at = context.time.now;
  ownership.requests_end_before_claim = LatestRequestOfOwners(entry);
  ownership.next_claim = context.time.now + kClaimRetryDelay;
  CommitRows commit{.id = ownership.pending_claim};
  commit.conditions = {{OwnerRowRef(kEpochKey), ownership.epoch_revision},
                       {OwnerRowRef(kLeaseKey), ownership.lease_revision}};
  const std::int64_t epoch = ownership.epoch + 1;
  commit.writes = {
      {OwnerRowRef(kEpochKey),
       {{"epoch", epoch}, {"holder", entry.self.holder}}},
      {OwnerRowRef(kLeaseKey),
       LeaseRow(entry, epoch, false, ownership.requests_end_before_claim,
                epoch == 1 || ownership.records_host_requests,
                KnownJobRoom(entry, context.time.now), context.time.now)},
      {{Table::kProgress, std::string(kCommitKey)},
       {{"epoch", epoch}, {"sequence", 0}}}};
  Log(context, Severity::kInfo, "ownership_claimed",
      {{"epoch", std::to_string(epoch)},
       {"former_holder", ownership.holder},
       {"released", ownership.released ? "yes" : "no"},
       {"unchanged_ms",
        std::to_string(std::chrono::duration_cast<milliseconds>(
                           context.time.now - ownership.unchanged_since)
                           .count())}});
  context.out.emplace_back(std::move(commit));
}

void HandleRenewalReply(EntryState& entry, const StoreRows& reply,
                        Context& context) {
  Ownership& ownership = entry.ownership;
  ownership.pending_renewal = 0;
  if (!entry.owner.has_value()) return;
  Owner& owner = *entry.owner;
  if (ownership.releasing) {
    LoseOwnership(entry, "released the lease", context);
    return;
  }
  switch (reply.status) {
    case StoreStatus::kOk:
      ownership.renewed_at = ownership.renewal_sent_at;
      ownership.next_renewal = ownership.renewal_sent_at + kRenewalInterval;
      owner.target_requests_allowed_until = LeaseExpiry(ownership.renewed_at);
      owner.host_requests_allowed_until = owner.target_requests_allowed_until;
      owner.fenced = false;
      return;
    case StoreStatus::kConflict:
      LoseOwnership(entry, "the epoch row has changed", context);
      return;
    case StoreStatus::kUnavailable:
    case StoreStatus::kUnknown:
    case StoreStatus::kInvalid:
      break;
  }
  ownership.next_renewal = context.time.now + kRenewalRetryDelay;
  // Only a failed renewal that was sent after the lease had expired shows that
  // the store is unavailable, and not that this host was stalled.
  const Instant grace_end = ownership.renewed_at + kStoreOutageGrace;
  const bool sent_before_expiry =
      ownership.renewal_sent_at < LeaseExpiry(ownership.renewed_at);
  if (sent_before_expiry || owner.target_requests_allowed_until >= grace_end) {
    return;
  }
  owner.target_requests_allowed_until = grace_end;
  Log(context, Severity::kWarn, "continuing_without_store",
      {{"epoch", std::to_string(owner.epoch)},
       {"for_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                     Remaining(grace_end, context.time.now))
                                     .count())}});
}

/// Releases the ownership if a host with more CPU has announced itself.
void ReleaseToStrongerHost(EntryState& entry, Context& context) {
  const std::string stronger = FindStrongerCandidate(entry);
  if (stronger.empty() || entry.ownership.releasing) return;
  Log(context, Severity::kInfo, "ownership_handover",
      {{"epoch", std::to_string(entry.owner->epoch)},
       {"to", stronger},
       {"cpu_milli", std::to_string(entry.self.cpu_milli)}});
  ReleaseOwnership(entry, context);
}

/// Claims the ownership if it was released or its lease has expired. The claim
/// is conditional on the revisions of the epoch and lease rows, so it fails if
/// they have changed in the store.
void ClaimIfFree(EntryState& entry, Context& context) {
  Ownership& ownership = entry.ownership;
  const Instant now = context.time.now;
  const bool may_claim = !entry.owner.has_value() && !entry.stopping &&
                         ownership.loaded && ownership.pending_claim == 0 &&
                         ownership.next_claim <= now;
  if (!may_claim || now - ownership.last_store_reply_at > kMaxStoreReplyAge) {
    return;
  }
  const Duration unchanged = now - ownership.unchanged_since;
  const bool without_owner =
      ownership.epoch_revision == 0 ||
      IsEarlierInstance(entry, ownership.holder) ||
      (ownership.released && unchanged >= StrongerHostDelay(entry));
  const bool expired = unchanged >= kOwnerLeaseDuration + ClaimDelay(entry);
  if (without_owner || expired) SendClaim(entry, context);
}

}  // namespace

void AdvanceOwnership(EntryState& entry, Context& context) {
  Ownership& ownership = entry.ownership;
  if (entry.owner.has_value()) {
    // A target or a commit may have indicated a newer owner. A renewal finds
    // out whether there is one.
    // The other hosts must know soon that much less room is left.
    const bool room_shrinks =
        RoomForJobs(*entry.owner, context.timing) < ownership.job_room_sent / 2;
    const bool row_outdated = entry.owner->fenced || room_shrinks;
    if (row_outdated) {
      ownership.next_renewal =
          std::min(ownership.next_renewal, context.time.now);
    }
    const bool due = ownership.pending_renewal == 0 &&
                     ownership.next_renewal <= context.time.now;
    if (due && !entry.stopping) SendRenewal(entry, false, context);
  }
  AdvanceCandidacy(entry, context);
  ClaimIfFree(entry, context);
}

void ApplyOwnershipRows(EntryState& entry, const StoreRows& reply,
                        bool responsive, Context& context) {
  Ownership& ownership = entry.ownership;
  const Instant now = context.time.now;
  if (!responsive) {
    ownership.unchanged_since = now;
    return;
  }
  bool changed = !ownership.loaded;
  ownership.loaded = true;
  ownership.last_store_reply_at = now;
  for (const Row& row : reply.rows) {
    if (row.value.is_null() || ApplyCandidateRow(entry, row)) continue;
    if (row.key == kEpochKey && row.revision > ownership.epoch_revision) {
      const std::int64_t epoch = IntegerOrZero(row.value, "epoch");
      // Targets refuse fencing tokens lower than the highest they have seen.
      if (epoch <= kMaxEpoch) {
        ownership.epoch = std::max(ownership.epoch, epoch);
      }
      ownership.epoch_revision = row.revision;
      ownership.holder = TextOrEmpty(row.value, "holder");
      const bool replaced = entry.owner.has_value() &&
                            entry.owner->epoch_revision != row.revision;
      if (replaced) {
        LoseOwnership(entry, "another host owns the fleet", context);
      }
      const bool won = !entry.owner.has_value() && !entry.stopping &&
                       ownership.holder == entry.self.holder;
      if (won) {
        BecomeOwner(entry, ownership.epoch, row.revision,
                    ownership.claim_sent_at, context);
      }
      changed = true;
    }
    if (row.key == kLeaseKey && row.revision > ownership.lease_revision) {
      ownership.lease_revision = row.revision;
      ownership.address = TextOrEmpty(row.value, "address");
      ownership.released = FlagOrFalse(row.value, "released");
      ownership.job_room = IntegerOrZero(row.value, kJobRoomField);
      const auto hosts = static_cast<std::int64_t>(ownership.candidates.size());
      ownership.job_room_share =
          ownership.job_room / 2 / std::max<std::int64_t>(1, hosts);
      ownership.job_room_known_until =
          row.value.contains(kJobRoomField) ? now + kMaxJobRoomAge : Instant{};
      ownership.records_host_requests =
          FlagOrFalse(row.value, kRecordsHostRequestsField);
      ownership.earlier_requests_end = now + EarlierRequestsTime(row.value);
      changed = true;
    }
  }
  if (changed) ownership.unchanged_since = now;
  if (entry.owner.has_value()) ReleaseToStrongerHost(entry, context);
}

bool HandleOwnershipReply(EntryState& entry, std::int64_t id,
                          const StoreRows& reply, Context& context) {
  Ownership& ownership = entry.ownership;
  if (id == 0) return false;
  if (HandleCandidacyReply(entry, id, reply, context)) return true;
  if (id == ownership.pending_renewal) {
    HandleRenewalReply(entry, reply, context);
    return true;
  }
  if (id != ownership.pending_claim) return false;
  ownership.pending_claim = 0;
  const bool won = reply.status == StoreStatus::kOk && !entry.owner.has_value();
  if (won) {
    ownership.lease_revision = reply.revision;
    BecomeOwner(entry, ownership.epoch + 1, reply.revision,
                ownership.claim_sent_at, context);
  }
  return true;
}

void ReleaseOwnership(EntryState& entry, Context& context) {
  if (!entry.owner.has_value()) return;
  entry.owner->target_requests_allowed_until = context.time.now;
  entry.owner->host_requests_allowed_until = context.time.now;
  SendRenewal(entry, true, context);
}

}  // namespace hyssopbarrow::fleet
