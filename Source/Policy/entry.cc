#include "Policy/entry.h"

#include <algorithm>
#include <utility>

#include "Policy/entry_parts.h"

namespace hyssopbarrow::fleet {
namespace {

constexpr Duration kTickGap = std::chrono::milliseconds(50);
/// One lost answer to a watch of 0.5 s, with its timeout of 0.7 s and the time
/// of another read, does not count yet.
constexpr Duration kStoreSilence = std::chrono::milliseconds(1500);

void TakeConfiguration(Entry& entry, const StoreRows& reply, Context& context) {
  for (const Wave& it : reply.waves) {
    entry.waves[it.number] = it;
    if (entry.owner.has_value()) TakeWaves(*entry.owner, {it}, context);
  }
  if (!reply.configuration.has_value()) return;
  const Configuration& fresh = *reply.configuration;
  const bool newer = !entry.configuration.has_value() ||
                     fresh.version > entry.configuration->version;
  if (!newer) return;
  entry.configuration = fresh;
  context.configuration = &*entry.configuration;
  if (entry.owner.has_value()) entry.owner->plan_due = true;
  Note(context, Severity::kInfo, "configuration_adopted",
       {{"version", std::to_string(fresh.version)},
        {"queues", std::to_string(fresh.queues.size())},
        {"teams", std::to_string(fresh.teams.size())},
        {"revision", std::to_string(reply.revision)}});
}

void TakeOwnersTables(Entry& entry, std::int64_t id, const StoreRows& reply,
                      Context& context) {
  if (!entry.owner.has_value()) return;
  Owner& owner = *entry.owner;
  if (const Followed it = TakeFollowed(entry.targets, id, reply, context);
      it.ours) {
    if (it.usable) TakeTargets(owner, reply, it.whole && it.complete, context);
    owner.targets_loaded = owner.targets_loaded || it.complete;
    return;
  }
  if (!owner.progress_loaded) {
    const Followed it = TakeFollowed(entry.progress, id, reply, context);
    if (it.usable) TakeProgressRows(owner, reply);
    if (it.complete) owner.progress_loaded = true;
    if (it.ours) return;
  }
  const Followed it = TakeFollowed(entry.jobs, id, reply, context);
  if (it.usable) TakeJobRows(owner, reply, owner.jobs_loaded, context);
  if (it.complete) owner.jobs_loaded = true;
}

void AdvanceAll(Entry& entry, Context& context) {
  AdvanceFollower(entry.operators, context);
  AdvanceFollower(entry.ownership_rows, context);
  AdvanceOwnership(entry, context);
  if (entry.owner.has_value()) {
    AdvanceFollower(entry.targets, context);
    if (!entry.owner->progress_loaded) {
      AdvanceFollower(entry.progress, context);
    } else {
      AdvanceFollower(entry.jobs, context);
    }
    Advance(*entry.owner, context);
  }
  AdvanceCalls(entry, context);
}

/// After an event that may have changed what the owner knows of a target.
void AdvanceAfterNews(Entry& entry, Context& context) {
  if (entry.owner.has_value()) Touch(*entry.owner, context.at.now);
  AdvanceAll(entry, context);
}

/// What follows on a reply: the steward plans at its own times and waits.
enum class AfterReply { kAdvance, kWait };

/// Hands a reply to the owner, if this host is the owner.
template <typename Take, typename Reply>
void GiveOwner(Entry& entry, Take take, std::int64_t id, const Reply& reply,
               const Moment& at, Effects& out, AfterReply after) {
  if (!entry.owner.has_value()) return;
  Context context = ContextOf(entry, at, out);
  take(*entry.owner, id, reply, context);
  if (after == AfterReply::kAdvance) AdvanceAfterNews(entry, context);
}

}  // namespace

Context ContextOf(Entry& entry, const Moment& at, Effects& out) {
  return Context{.at = at,
                 .terms = entry.terms,
                 .configuration = entry.configuration.has_value()
                                      ? &*entry.configuration
                                      : nullptr,
                 .next_id = entry.next_id,
                 .out = out};
}

void OnTick(Entry& entry, const Moment& at, Effects& out) {
  Context context = ContextOf(entry, at, out);
  AdvanceAll(entry, context);
}

void OnStoreReply(Entry& entry, std::int64_t id, const StoreRows& reply,
                  const Moment& at, Effects& out) {
  Context context = ContextOf(entry, at, out);
  for (const std::string& it : reply.problems) {
    Note(context, Severity::kWarn, "entry_unreadable", {{"problem", it}});
  }
  if (const Followed it = TakeFollowed(entry.operators, id, reply, context);
      it.ours) {
    if (it.usable) TakeConfiguration(entry, reply, context);
  } else if (const Followed own =
                 TakeFollowed(entry.ownership_rows, id, reply, context);
             own.ours) {
    TakeOwnershipRows(entry, reply, own.usable, context);
  } else if (TakeOwnershipReply(entry, id, reply, context) ||
             TakeCallReply(entry, id, reply, context)) {
    // Taken.
  } else if (entry.owner.has_value() &&
             !TakeCommitReply(*entry.owner, id, reply, context)) {
    TakeOwnersTables(entry, id, reply, context);
  }
  AdvanceAfterNews(entry, context);
}

void OnOrderReply(Entry& entry, std::int64_t id, const OrderReply& reply,
                  const Moment& at, Effects& out) {
  GiveOwner(entry, TakeOrderReply, id, reply, at, out, AfterReply::kAdvance);
}

void OnApproval(Entry& entry, std::int64_t id, const ApprovalReply& reply,
                const Moment& at, Effects& out) {
  GiveOwner(entry, TakeApproval, id, reply, at, out, AfterReply::kAdvance);
}

void OnHosts(Entry& entry, std::int64_t id, const HostList& list,
             const Moment& at, Effects& out) {
  GiveOwner(entry, TakeHosts, id, list, at, out, AfterReply::kWait);
}

void OnHostReply(Entry& entry, std::int64_t id, HostResult result,
                 const Moment& at, Effects& out) {
  GiveOwner(entry, TakeHostReply, id, result, at, out, AfterReply::kWait);
}

void OnStop(Entry& entry, const Moment& at, Effects& out) {
  if (entry.stopping) return;
  entry.stopping = true;
  Context context = ContextOf(entry, at, out);
  ReleaseOwnership(entry, context);
}

bool IsServing(const Entry& entry, Instant now) {
  const bool heard =
      entry.ownership.known && now - entry.ownership.heard_at <= kStoreSilence;
  return entry.configuration.has_value() && heard && !entry.stopping;
}

Instant NextTick(const Entry& entry, Instant now) {
  Instant next = now + kTickGap;
  if (entry.owner.has_value()) {
    next = std::min(next, NextDue(*entry.owner, now));
  }
  for (const auto& [number, call] : entry.calls) {
    if (call.again_at.has_value()) next = std::min(next, *call.again_at);
    next = std::min(next, call.deadline);
  }
  return next;
}

}  // namespace hyssopbarrow::fleet
