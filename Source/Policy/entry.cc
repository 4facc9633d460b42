#include "Policy/entry.h"

#include <algorithm>
#include <utility>

#include "Policy/entry_internal.h"

namespace hyssopbarrow::fleet {
namespace {

constexpr Duration kMaxTickInterval = std::chrono::milliseconds(50);
/// One lost answer to a watch of 0.5 s, with its timeout of 0.7 s and the time
/// of another read, does not count yet.
constexpr Duration kMaxStoreSilence = std::chrono::milliseconds(1500);

void ApplyConfiguration(EntryState& entry, const StoreRows& reply,
                        Context& context) {
  for (const Wave& it : reply.waves) {
    entry.waves[it.number] = it;
    if (entry.owner.has_value()) ApplyWaves(*entry.owner, {it}, context);
  }
  if (!reply.configuration.has_value()) return;
  const Configuration& fresh = *reply.configuration;
  const bool newer = !entry.configuration.has_value() ||
                     fresh.version > entry.configuration->version;
  if (!newer) return;
  entry.configuration = fresh;
  context.configuration = &*entry.configuration;
  if (entry.owner.has_value()) entry.owner->placement_due = true;
  Log(context, Severity::kInfo, "configuration_adopted",
      {{"version", std::to_string(fresh.version)},
       {"queues", std::to_string(fresh.queues.size())},
       {"teams", std::to_string(fresh.teams.size())},
       {"revision", std::to_string(reply.revision)}});
}

void HandleOwnerTableReply(EntryState& entry, std::int64_t id,
                           const StoreRows& reply, Context& context) {
  if (!entry.owner.has_value()) return;
  Owner& owner = *entry.owner;
  if (const TableUpdate it =
          HandleTableReply(entry.targets_follower, id, reply, context);
      it.matched) {
    if (it.has_rows)
      ApplyTargetRows(owner, reply, it.full_read && it.loaded, context);
    owner.targets_loaded = owner.targets_loaded || it.loaded;
    return;
  }
  if (!owner.progress_loaded) {
    const TableUpdate it =
        HandleTableReply(entry.progress_follower, id, reply, context);
    if (it.has_rows) ApplyProgressRows(owner, reply);
    if (it.loaded) owner.progress_loaded = true;
    if (it.matched) return;
  }
  const TableUpdate it =
      HandleTableReply(entry.jobs_follower, id, reply, context);
  if (it.has_rows) ApplyJobRows(owner, reply, owner.jobs_loaded, context);
  if (it.loaded) owner.jobs_loaded = true;
}

void AdvanceAll(EntryState& entry, Context& context) {
  AdvanceTableFollower(entry.configuration_follower, context);
  AdvanceTableFollower(entry.ownership_follower, context);
  AdvanceOwnership(entry, context);
  if (entry.owner.has_value()) {
    AdvanceTableFollower(entry.targets_follower, context);
    if (!entry.owner->progress_loaded) {
      AdvanceTableFollower(entry.progress_follower, context);
    } else {
      AdvanceTableFollower(entry.jobs_follower, context);
    }
    AdvanceOwner(*entry.owner, context);
  }
  AdvanceCalls(entry, context);
}

/// After an event that may have changed what the owner knows of a target.
void ScheduleRoundAndAdvance(EntryState& entry, Context& context) {
  if (entry.owner.has_value()) ScheduleRound(*entry.owner, context.time.now);
  AdvanceAll(entry, context);
}

/// What follows on a reply: the steward plans at its own times and waits.
enum class AfterReply { kAdvance, kWait };

/// Hands a reply to the owner, if this host is the owner.
template <typename Take, typename Reply>
void GiveOwner(EntryState& entry, Take take, std::int64_t id,
               const Reply& reply, const EventTime& at, Effects& out,
               AfterReply after) {
  if (!entry.owner.has_value()) return;
  Context context = MakeEventContext(entry, at, out);
  take(*entry.owner, id, reply, context);
  if (after == AfterReply::kAdvance) ScheduleRoundAndAdvance(entry, context);
}

}  // namespace

Context MakeEventContext(EntryState& entry, const EventTime& at, Effects& out) {
  return Context{.time = at,
                 .timing = entry.timing,
                 .configuration = entry.configuration.has_value()
                                      ? &*entry.configuration
                                      : nullptr,
                 .next_id = entry.next_id,
                 .out = out};
}

void OnTick(EntryState& entry, const EventTime& at, Effects& out) {
  Context context = MakeEventContext(entry, at, out);
  AdvanceAll(entry, context);
}

void HandleStoreReply(EntryState& entry, std::int64_t id,
                      const StoreRows& reply, const EventTime& at,
                      Effects& out) {
  Context context = MakeEventContext(entry, at, out);
  for (const std::string& it : reply.errors) {
    Log(context, Severity::kWarn, "entry_unreadable", {{"problem", it}});
  }
  if (const TableUpdate it =
          HandleTableReply(entry.configuration_follower, id, reply, context);
      it.matched) {
    if (it.has_rows) ApplyConfiguration(entry, reply, context);
  } else if (const TableUpdate own =
                 HandleTableReply(entry.ownership_follower, id, reply, context);
             own.matched) {
    ApplyOwnershipRows(entry, reply, own.has_rows, context);
  } else if (HandleOwnershipReply(entry, id, reply, context) ||
             HandleCallStoreReply(entry, id, reply, context)) {
    // Taken.
  } else if (entry.owner.has_value() &&
             !HandleCommitReply(*entry.owner, id, reply, context)) {
    HandleOwnerTableReply(entry, id, reply, context);
  }
  ScheduleRoundAndAdvance(entry, context);
}

void ForwardTargetReply(EntryState& entry, std::int64_t id,
                        const TargetReply& reply, const EventTime& at,
                        Effects& out) {
  GiveOwner(entry, HandleTargetReply, id, reply, at, out, AfterReply::kAdvance);
}

void ForwardApprovalReply(EntryState& entry, std::int64_t id,
                          const ApprovalReply& reply, const EventTime& at,
                          Effects& out) {
  GiveOwner(entry, HandleApprovalReply, id, reply, at, out,
            AfterReply::kAdvance);
}

void ForwardHostListReply(EntryState& entry, std::int64_t id,
                          const HostList& list, const EventTime& at,
                          Effects& out) {
  GiveOwner(entry, HandleHostListReply, id, list, at, out, AfterReply::kWait);
}

void ForwardHostReply(EntryState& entry, std::int64_t id,
                      HostRequestResult result, const EventTime& at,
                      Effects& out) {
  GiveOwner(entry, HandleHostReply, id, result, at, out, AfterReply::kWait);
}

void OnStop(EntryState& entry, const EventTime& at, Effects& out) {
  if (entry.stopping) return;
  entry.stopping = true;
  Context context = MakeEventContext(entry, at, out);
  ReleaseOwnership(entry, context);
}

bool IsServing(const EntryState& entry, Instant now) {
  const bool heard =
      entry.ownership.loaded &&
      now - entry.ownership.last_store_reply_at <= kMaxStoreSilence;
  return entry.configuration.has_value() && heard && !entry.stopping;
}

Instant NextTick(const EntryState& entry, Instant now) {
  Instant next = now + kMaxTickInterval;
  if (entry.owner.has_value()) {
    next = std::min(next, NextDeadline(*entry.owner, now));
  }
  for (const auto& [number, call] : entry.calls) {
    if (call.retry_at.has_value()) next = std::min(next, *call.retry_at);
    next = std::min(next, call.deadline);
  }
  return next;
}

}  // namespace hyssopbarrow::fleet
