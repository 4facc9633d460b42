#include <string_view>
#include <utility>

#include "Policy/candidacy.h"
#include "Policy/entry_internal.h"
#include "Policy/owner_runs.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

constexpr Duration kRenewalInterval = milliseconds(350);
constexpr Duration kRenewalRetryDelay = milliseconds(50);
/// Leaves time for a second renewal before the lease ends.
constexpr Duration kRenewalTimeout = milliseconds(450);
/// An owner that has not renewed for so long is replaced. Three renewals, also
/// while the store takes 0.25 s for an answer.
constexpr Duration kOwnerLeaseDuration = milliseconds(1200);
/// An owner counts its lease shorter than the others do.
constexpr Duration kOwnerLeaseMargin = milliseconds(100);
constexpr Duration kClaimRetryDelay = milliseconds(300);
/// A watch of the rows waits 500 ms; a store that is silent for longer may be
/// away from the owner as well.
constexpr Duration kMaxStoreReplyAge = milliseconds(520);

RowRef OwnerRowRef(std::string_view key) {
  return {Table::kOwner, std::string(key)};
}

/// When the lease is over that was renewed by a request sent at `sent_at`.
Instant LeaseExpiry(Instant sent_at) {
  return sent_at + kOwnerLeaseDuration - kOwnerLeaseMargin;
}

nlohmann::json LeaseRow(const EntryState& entry, std::int64_t epoch,
                        bool released) {
  return {{"holder", entry.self.holder},
          {"address", entry.self.address},
          {"epoch", epoch},
          {"renewals", entry.ownership.renewals},
          {"released", released}};
}

/// True if `holder` is an earlier life of this host, which cannot run on.
bool IsEarlierInstance(const EntryState& entry, std::string_view holder) {
  const std::string prefix = entry.self.node + "@";
  return holder.starts_with(prefix) && holder != entry.self.holder;
}

void BecomeOwner(EntryState& entry, std::int64_t epoch, std::int64_t revision,
                 Instant sent_at, Context& context) {
  Ownership& it = entry.ownership;
  it.epoch = epoch;
  it.epoch_revision = revision;
  it.holder = entry.self.holder;
  it.address = entry.self.address;
  it.released = false;
  it.releasing = false;
  it.renewed_at = sent_at;
  it.next_renewal = sent_at + kRenewalInterval;
  it.pending_renewal = 0;
  Owner owner;
  owner.epoch = epoch;
  owner.epoch_revision = revision;
  owner.commit_revision = revision;
  owner.owned_since = context.time.now;
  owner.target_requests_allowed_until = LeaseExpiry(sent_at);
  owner.host_requests_allowed_until = owner.target_requests_allowed_until;
  owner.host_manager.requests_allowed_from =
      epoch > 1 ? context.time.now + context.timing.host_request_gap
                : context.time.now;
  for (const auto& [number, wave] : entry.waves) {
    ApplyWaves(owner, {wave}, context);
  }
  entry.owner = std::move(owner);
  const auto restart = [](TableFollower& follower) {
    follower = TableFollower{.table = follower.table,
                             .watch_wait = follower.watch_wait,
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

void SendRenewal(EntryState& entry, bool release, Context& context) {
  Ownership& it = entry.ownership;
  ++it.renewals;
  it.pending_renewal = context.next_id++;
  it.renewal_sent_at = context.time.now;
  it.releasing = release;
  CommitRows commit{.id = it.pending_renewal};
  commit.timeout = kRenewalTimeout;
  commit.conditions = {{OwnerRowRef(kEpochKey), entry.owner->epoch_revision}};
  commit.writes = {
      {OwnerRowRef(kLeaseKey), LeaseRow(entry, entry.owner->epoch, release)}};
  context.out.emplace_back(std::move(commit));
}

void SendClaim(EntryState& entry, Context& context) {
  Ownership& it = entry.ownership;
  it.pending_claim = context.next_id++;
  it.claim_sent_at = context.time.now;
  it.next_claim = context.time.now + kClaimRetryDelay;
  CommitRows commit{.id = it.pending_claim};
  commit.conditions = {{OwnerRowRef(kEpochKey), it.epoch_revision},
                       {OwnerRowRef(kLeaseKey), it.lease_revision}};
  const std::int64_t epoch = it.epoch + 1;
  commit.writes = {{OwnerRowRef(kEpochKey),
                    {{"epoch", epoch}, {"holder", entry.self.holder}}},
                   {OwnerRowRef(kLeaseKey), LeaseRow(entry, epoch, false)},
                   {{Table::kProgress, std::string(kCommitKey)},
                    {{"epoch", epoch}, {"sequence", 0}}}};
  Log(context, Severity::kInfo, "ownership_claimed",
      {{"epoch", std::to_string(epoch)},
       {"former_holder", it.holder},
       {"released", it.released ? "yes" : "no"},
       {"unchanged_ms",
        std::to_string(std::chrono::duration_cast<milliseconds>(
                           context.time.now - it.unchanged_since)
                           .count())}});
  context.out.emplace_back(std::move(commit));
}

void HandleRenewalReply(EntryState& entry, const StoreRows& reply,
                        Context& context) {
  Ownership& it = entry.ownership;
  it.pending_renewal = 0;
  if (!entry.owner.has_value()) return;
  Owner& owner = *entry.owner;
  if (it.releasing) {
    LoseOwnership(entry, "handed over", context);
    return;
  }
  switch (reply.status) {
    case StoreStatus::kOk:
      it.renewed_at = it.renewal_sent_at;
      it.next_renewal = it.renewal_sent_at + kRenewalInterval;
      owner.target_requests_allowed_until = LeaseExpiry(it.renewed_at);
      owner.host_requests_allowed_until = owner.target_requests_allowed_until;
      owner.fenced = false;
      return;
    case StoreStatus::kConflict:
      LoseOwnership(entry, "the epoch has changed", context);
      return;
    case StoreStatus::kUnavailable:
    case StoreStatus::kUnknown:
      break;
  }
  it.next_renewal = context.time.now + kRenewalRetryDelay;
  // Only a renewal that was tried after the lease had run out shows that the
  // store is away, and not that this host stood still.
  const Instant go_on = it.renewed_at + kStoreOutageGrace;
  const bool early = it.renewal_sent_at < LeaseExpiry(it.renewed_at);
  if (early || owner.target_requests_allowed_until >= go_on) return;
  owner.target_requests_allowed_until = go_on;
  Log(context, Severity::kWarn, "going_on_without_store",
      {{"epoch", std::to_string(owner.epoch)},
       {"for_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                     Remaining(go_on, context.time.now))
                                     .count())}});
}

/// Hands the ownership over to a stronger host that has offered to take it.
void OfferHandover(EntryState& entry, Context& context) {
  const std::string stronger = FindStrongerCandidate(entry);
  if (stronger.empty() || entry.ownership.releasing) return;
  Log(context, Severity::kInfo, "ownership_offered",
      {{"epoch", std::to_string(entry.owner->epoch)},
       {"by", stronger},
       {"cpu_milli", std::to_string(entry.self.cpu_milli)}});
  ReleaseOwnership(entry, context);
}

/// Claims the ownership if it is free or has not been renewed in time. A claim
/// on what this host does not know yet fails, as it names the lease's row.
void ClaimIfFree(EntryState& entry, Context& context) {
  Ownership& it = entry.ownership;
  const Instant now = context.time.now;
  const bool idle = !entry.owner.has_value() && !entry.stopping && it.loaded &&
                    it.pending_claim == 0 && it.next_claim <= now;
  if (!idle || now - it.last_store_reply_at > kMaxStoreReplyAge) return;
  const Duration unchanged = now - it.unchanged_since;
  const bool unclaimed = it.epoch_revision == 0 ||
                         IsEarlierInstance(entry, it.holder) ||
                         (it.released && unchanged >= StrongerHostDelay(entry));
  const bool lapsed = unchanged >= kOwnerLeaseDuration + ClaimDelay(entry);
  if (unclaimed || lapsed) SendClaim(entry, context);
}

}  // namespace

void AdvanceOwnership(EntryState& entry, Context& context) {
  Ownership& it = entry.ownership;
  if (entry.owner.has_value()) {
    if (entry.owner->fenced) {
      it.next_renewal = std::min(it.next_renewal, context.time.now);
    }
    const bool due =
        it.pending_renewal == 0 && it.next_renewal <= context.time.now;
    if (due && !entry.stopping) SendRenewal(entry, false, context);
  }
  AdvanceCandidacy(entry, context);
  ClaimIfFree(entry, context);
}

void ApplyOwnershipRows(EntryState& entry, const StoreRows& reply, bool heard,
                        Context& context) {
  Ownership& it = entry.ownership;
  const Instant now = context.time.now;
  if (!heard) {
    it.unchanged_since = now;
    return;
  }
  bool renewed = !it.loaded;
  it.loaded = true;
  it.last_store_reply_at = now;
  for (const Row& row : reply.rows) {
    if (!row.value.is_object()) continue;
    if (ApplyCandidateRow(entry, row)) continue;
    if (row.key == kEpochKey && row.revision > it.epoch_revision) {
      it.epoch = row.value.value("epoch", std::int64_t{0});
      it.epoch_revision = row.revision;
      it.holder = row.value.value("holder", std::string());
      const bool replaced = entry.owner.has_value() &&
                            entry.owner->epoch_revision != row.revision;
      if (replaced) {
        LoseOwnership(entry, "another host owns the fleet", context);
      }
      const bool won = !entry.owner.has_value() && !entry.stopping &&
                       it.holder == entry.self.holder;
      if (won) {
        BecomeOwner(entry, it.epoch, row.revision, it.claim_sent_at, context);
      }
      renewed = true;
    }
    if (row.key == kLeaseKey && row.revision > it.lease_revision) {
      it.lease_revision = row.revision;
      it.address = row.value.value("address", std::string());
      it.released = row.value.value("released", false);
      renewed = true;
    }
  }
  if (renewed) it.unchanged_since = now;
  if (entry.owner.has_value()) OfferHandover(entry, context);
}

bool HandleOwnershipReply(EntryState& entry, std::int64_t id,
                          const StoreRows& reply, Context& context) {
  Ownership& it = entry.ownership;
  if (id == 0) return false;
  if (HandleCandidacyReply(entry, id, reply, context)) return true;
  if (id == it.pending_renewal) {
    HandleRenewalReply(entry, reply, context);
    return true;
  }
  if (id != it.pending_claim) return false;
  it.pending_claim = 0;
  const bool won = reply.status == StoreStatus::kOk && !entry.owner.has_value();
  if (won) {
    it.lease_revision = reply.revision;
    BecomeOwner(entry, it.epoch + 1, reply.revision, it.claim_sent_at, context);
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
