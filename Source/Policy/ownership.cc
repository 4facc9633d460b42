#include <string_view>
#include <utility>

#include "Policy/candidacy.h"
#include "Policy/entry_parts.h"
#include "Policy/owner_runs.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

constexpr Duration kRenewGap = milliseconds(350);
constexpr Duration kRenewRetry = milliseconds(50);
/// Leaves time for a second renewal before the lease ends.
constexpr Duration kRenewTimeout = milliseconds(450);
/// An owner that has not renewed for so long is replaced. Three renewals, also
/// while the store takes 0.25 s for an answer.
constexpr Duration kTakeoverAfter = milliseconds(1200);
/// An owner counts its lease shorter than the others do.
constexpr Duration kLeaseMargin = milliseconds(100);
constexpr Duration kClaimRetry = milliseconds(300);
/// A watch of the rows waits 500 ms; a store that is silent for longer may be
/// away from the owner as well.
constexpr Duration kHeardWithin = milliseconds(520);

RowRef OwnerRow(std::string_view key) {
  return {Table::kOwner, std::string(key)};
}

/// When the lease is over that was renewed by a request sent at `sent_at`.
Instant LeaseEnd(Instant sent_at) {
  return sent_at + kTakeoverAfter - kLeaseMargin;
}

nlohmann::json LeaseRow(const Entry& entry, std::int64_t epoch, bool released) {
  return {{"holder", entry.self.holder},
          {"address", entry.self.address},
          {"epoch", epoch},
          {"renewals", entry.ownership.renewals},
          {"released", released}};
}

/// True if `holder` is an earlier life of this host, which cannot run on.
bool IsPastLife(const Entry& entry, std::string_view holder) {
  const std::string prefix = entry.self.node + "@";
  return holder.starts_with(prefix) && holder != entry.self.holder;
}

void BecomeOwner(Entry& entry, std::int64_t epoch, std::int64_t revision,
                 Instant sent_at, Context& context) {
  Ownership& it = entry.ownership;
  it.epoch = epoch;
  it.epoch_revision = revision;
  it.holder = entry.self.holder;
  it.address = entry.self.address;
  it.released = false;
  it.releasing = false;
  it.renewed_at = sent_at;
  it.next_renewal = sent_at + kRenewGap;
  it.open_renewal = 0;
  Owner owner;
  owner.epoch = epoch;
  owner.epoch_revision = revision;
  owner.commit_revision = revision;
  owner.since = context.at.now;
  owner.may_order_until = LeaseEnd(sent_at);
  owner.steward_until = owner.may_order_until;
  owner.steward.orders_from =
      epoch > 1 ? context.at.now + context.terms.turn_gap : context.at.now;
  for (const auto& [number, wave] : entry.waves) {
    TakeWaves(owner, {wave}, context);
  }
  entry.owner = std::move(owner);
  const auto restart = [](Follower& follower) {
    follower = Follower{
        .table = follower.table, .wait = follower.wait, .gap = follower.gap};
  };
  restart(entry.jobs);
  restart(entry.progress);
  restart(entry.targets);
  Note(context, Severity::kInfo, "ownership_taken",
       {{"epoch", std::to_string(epoch)},
        {"revision", std::to_string(revision)}});
}

void LoseOwnership(Entry& entry, std::string_view reason, Context& context) {
  if (!entry.owner.has_value()) return;
  Note(context, Severity::kWarn, "ownership_lost",
       {{"epoch", std::to_string(entry.owner->epoch)},
        {"reason", std::string(reason)}});
  entry.owner.reset();
  entry.ownership.open_renewal = 0;
}

void SendRenewal(Entry& entry, bool release, Context& context) {
  Ownership& it = entry.ownership;
  ++it.renewals;
  it.open_renewal = context.next_id++;
  it.renewal_sent = context.at.now;
  it.releasing = release;
  CommitRows commit{.id = it.open_renewal};
  commit.timeout = kRenewTimeout;
  commit.conditions = {{OwnerRow(kEpochKey), entry.owner->epoch_revision}};
  commit.writes = {
      {OwnerRow(kLeaseKey), LeaseRow(entry, entry.owner->epoch, release)}};
  context.out.emplace_back(std::move(commit));
}

void SendClaim(Entry& entry, Context& context) {
  Ownership& it = entry.ownership;
  it.open_claim = context.next_id++;
  it.claim_sent = context.at.now;
  it.next_claim = context.at.now + kClaimRetry;
  CommitRows commit{.id = it.open_claim};
  commit.conditions = {{OwnerRow(kEpochKey), it.epoch_revision},
                       {OwnerRow(kLeaseKey), it.lease_revision}};
  const std::int64_t epoch = it.epoch + 1;
  commit.writes = {
      {OwnerRow(kEpochKey), {{"epoch", epoch}, {"holder", entry.self.holder}}},
      {OwnerRow(kLeaseKey), LeaseRow(entry, epoch, false)},
      {{Table::kProgress, std::string(kCommitKey)},
       {{"epoch", epoch}, {"sequence", 0}}}};
  Note(
      context, Severity::kInfo, "ownership_claimed",
      {{"epoch", std::to_string(epoch)},
       {"former_holder", it.holder},
       {"released", it.released ? "yes" : "no"},
       {"unchanged_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                           context.at.now - it.unchanged_since)
                                           .count())}});
  context.out.emplace_back(std::move(commit));
}

void TakeRenewal(Entry& entry, const StoreRows& reply, Context& context) {
  Ownership& it = entry.ownership;
  it.open_renewal = 0;
  if (!entry.owner.has_value()) return;
  Owner& owner = *entry.owner;
  if (it.releasing) {
    LoseOwnership(entry, "handed over", context);
    return;
  }
  switch (reply.status) {
    case StoreStatus::kOk:
      it.renewed_at = it.renewal_sent;
      it.next_renewal = it.renewal_sent + kRenewGap;
      owner.may_order_until = LeaseEnd(it.renewed_at);
      owner.steward_until = owner.may_order_until;
      owner.fenced = false;
      return;
    case StoreStatus::kConflict:
      LoseOwnership(entry, "the epoch has changed", context);
      return;
    case StoreStatus::kUnavailable:
    case StoreStatus::kUnknown:
      break;
  }
  it.next_renewal = context.at.now + kRenewRetry;
  // Only a renewal that was tried after the lease had run out shows that the
  // store is away, and not that this host stood still.
  const Instant go_on = it.renewed_at + kGoOnWithoutStore;
  const bool early = it.renewal_sent < LeaseEnd(it.renewed_at);
  if (early || owner.may_order_until >= go_on) return;
  owner.may_order_until = go_on;
  Note(context, Severity::kWarn, "going_on_without_store",
       {{"epoch", std::to_string(owner.epoch)},
        {"for_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                      Remaining(go_on, context.at.now))
                                      .count())}});
}

/// Hands the ownership over to a stronger host that has offered to take it.
void GiveWay(Entry& entry, Context& context) {
  const std::string stronger = StrongerCandidate(entry);
  if (stronger.empty() || entry.ownership.releasing) return;
  Note(context, Severity::kInfo, "ownership_offered",
       {{"epoch", std::to_string(entry.owner->epoch)},
        {"by", stronger},
        {"cpu_milli", std::to_string(entry.self.cpu_milli)}});
  ReleaseOwnership(entry, context);
}

/// Claims the ownership if it is free or has not been renewed in time. A claim
/// on what this host does not know yet fails, as it names the lease's row.
void ClaimIfFree(Entry& entry, Context& context) {
  Ownership& it = entry.ownership;
  const Instant now = context.at.now;
  const bool idle = !entry.owner.has_value() && !entry.stopping && it.known &&
                    it.open_claim == 0 && it.next_claim <= now;
  if (!idle || now - it.heard_at > kHeardWithin) return;
  const Duration unchanged = now - it.unchanged_since;
  const bool unclaimed = it.epoch_revision == 0 ||
                         IsPastLife(entry, it.holder) ||
                         (it.released && unchanged >= WeakerDelay(entry));
  const bool lapsed = unchanged >= kTakeoverAfter + ClaimDelay(entry);
  if (unclaimed || lapsed) SendClaim(entry, context);
}

}  // namespace

void AdvanceOwnership(Entry& entry, Context& context) {
  Ownership& it = entry.ownership;
  if (entry.owner.has_value()) {
    if (entry.owner->fenced) {
      it.next_renewal = std::min(it.next_renewal, context.at.now);
    }
    const bool due = it.open_renewal == 0 && it.next_renewal <= context.at.now;
    if (due && !entry.stopping) SendRenewal(entry, false, context);
  }
  AdvanceCandidacy(entry, context);
  ClaimIfFree(entry, context);
}

void TakeOwnershipRows(Entry& entry, const StoreRows& reply, bool heard,
                       Context& context) {
  Ownership& it = entry.ownership;
  const Instant now = context.at.now;
  if (!heard) {
    it.unchanged_since = now;
    return;
  }
  bool renewed = !it.known;
  it.known = true;
  it.heard_at = now;
  for (const Row& row : reply.rows) {
    if (!row.value.is_object()) continue;
    if (TakeCandidateRow(entry, row)) continue;
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
        BecomeOwner(entry, it.epoch, row.revision, it.claim_sent, context);
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
  if (entry.owner.has_value()) GiveWay(entry, context);
}

bool TakeOwnershipReply(Entry& entry, std::int64_t id, const StoreRows& reply,
                        Context& context) {
  Ownership& it = entry.ownership;
  if (id == 0) return false;
  if (TakeCandidacyReply(entry, id, reply, context)) return true;
  if (id == it.open_renewal) {
    TakeRenewal(entry, reply, context);
    return true;
  }
  if (id != it.open_claim) return false;
  it.open_claim = 0;
  const bool won = reply.status == StoreStatus::kOk && !entry.owner.has_value();
  if (won) {
    it.lease_revision = reply.revision;
    BecomeOwner(entry, it.epoch + 1, reply.revision, it.claim_sent, context);
  }
  return true;
}

void ReleaseOwnership(Entry& entry, Context& context) {
  if (!entry.owner.has_value()) return;
  entry.owner->may_order_until = context.at.now;
  entry.owner->steward_until = context.at.now;
  SendRenewal(entry, true, context);
}

}  // namespace hyssopbarrow::fleet
