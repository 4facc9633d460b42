#include "Policy/entry.h"

#include <algorithm>
#include <utility>

#include "Policy/entry_internal.h"
#include "Policy/evacuation.h"
#include "Policy/relays.h"
#include "Policy/row_sizes.h"

namespace hyssopbarrow::fleet {
namespace {

constexpr Duration kMaxTickInterval = std::chrono::milliseconds(50);
/// Tolerates one lost reply: a watch of 0.5 s, its timeout of 0.7 s and the
/// time of another read.
constexpr Duration kMaxStoreSilence = std::chrono::milliseconds(1500);

/// Longest wait of a watch of the configuration.
constexpr Duration kMaxConfigurationWait = std::chrono::seconds(2);

/// Half of the time in which a configuration must be in force, so that the rest
/// is left for a watch that fails and a further one.
Duration ConfigurationWait(const TimingSettings& timing) {
  return std::min(timing.max_configuration_age / 2, kMaxConfigurationWait);
}

/// How long after its wait an owner gives up a watch of the tables from which
/// it starts tasks, a multiple of the timeout of its commits. The most is for
/// hosts and stores that are slow, the least for a store that has just become
/// so.
constexpr int kWatchMarginPerCommitTimeout = 2;
constexpr Duration kMinWatchMargin = std::chrono::milliseconds(300);
constexpr Duration kMaxWatchMargin = std::chrono::milliseconds(1200);

Duration WatchMargin(const Owner& owner) {
  const bool commit_answered = owner.commit_timeout > Duration::zero();
  if (!commit_answered) return kMaxWatchMargin;
  return std::clamp(kWatchMarginPerCommitTimeout * owner.commit_timeout,
                    kMinWatchMargin, kMaxWatchMargin);
}

/// Time until which the configuration is current, as far as the store has
/// replied.
Instant ConfigurationCurrentUntil(const EntryState& entry) {
  if (!entry.configuration.has_value()) return {};
  return entry.configuration_follower.known_at +
         entry.timing.max_configuration_age;
}

/// Logs when the configuration ceases to be current and when it is so again.
void UpdateConfigurationOutdated(EntryState& entry, Context& context) {
  const bool known = entry.configuration.has_value() &&
                     entry.configuration_follower.known_at != Instant{};
  const bool outdated =
      known && !IsConfigurationCurrent(entry, context.time.now);
  if (outdated == entry.configuration_outdated) return;
  entry.configuration_outdated = outdated;
  const Duration age = context.time.now - entry.configuration_follower.known_at;
  Log(context, outdated ? Severity::kWarn : Severity::kInfo,
      outdated ? "configuration_outdated" : "configuration_current",
      {{"version", std::to_string(entry.configuration->version)},
       {"revision", std::to_string(entry.configuration_follower.revision)},
       {"age_ms", std::to_string(
                      std::chrono::duration_cast<std::chrono::milliseconds>(age)
                          .count())}});
}

/// Keeps the former ceilings of teams whose ceilings could not be read: the
/// default value is no limit.
void KeepUnreadableCeilings(Configuration& fresh, const Configuration& former) {
  for (Team& team : fresh.teams) {
    if (team.ceiling_readable) continue;
    const Team* before = FindTeam(former, team.name);
    if (before != nullptr) team.ceiling = before->ceiling;
  }
}

void ApplyConfiguration(EntryState& entry, const StoreRows& reply,
                        Context& context) {
  for (const Wave& wave : reply.waves) {
    entry.waves[wave.number] = wave;
    if (entry.owner.has_value()) ApplyWaves(*entry.owner, {wave}, context);
  }
  if (reply.configuration_unreadable) {
    entry.configuration_unreadable = true;
    Log(context, Severity::kError, "configuration_unreadable",
        {{"version_in_force", std::to_string(entry.configuration.has_value()
                                                 ? entry.configuration->version
                                                 : 0)},
         {"revision", std::to_string(reply.revision)}});
  }
  if (!reply.configuration.has_value()) return;
  entry.configuration_unreadable = false;
  Configuration fresh = *reply.configuration;
  if (entry.configuration.has_value()) {
    if (fresh.version <= entry.configuration->version) return;
    KeepUnreadableCeilings(fresh, *entry.configuration);
  }
  entry.configuration = fresh;
  context.configuration = &*entry.configuration;
  if (entry.owner.has_value()) entry.owner->placement_due = true;
  Log(context, Severity::kInfo, "configuration_adopted",
      {{"version", std::to_string(fresh.version)},
       {"queues", std::to_string(fresh.queues.size())},
       {"teams", std::to_string(fresh.teams.size())},
       {"unreadable_entries", std::to_string(fresh.unreadable_entries)},
       {"revision", std::to_string(reply.revision)}});
}

void HandleOwnerTableReply(EntryState& entry, std::int64_t id,
                           const StoreRows& reply, Context& context) {
  if (!entry.owner.has_value()) return;
  Owner& owner = *entry.owner;
  if (const TableUpdate targets =
          HandleTableReply(entry.targets_follower, id, reply, context);
      targets.matched) {
    if (targets.first_page) owner.targets_read.clear();
    if (targets.has_rows) {
      if (targets.full_read) {
        for (const Target& target : reply.targets) {
          owner.targets_read.insert(target.id);
        }
      }
      ApplyTargetRows(owner, reply, targets.full_read && targets.loaded,
                      context);
    }
    owner.targets_loaded = owner.targets_loaded || targets.loaded;
    owner.targets_known_at = entry.targets_follower.known_at;
    return;
  }
  if (!owner.progress_loaded) {
    const TableUpdate progress =
        HandleTableReply(entry.progress_follower, id, reply, context);
    if (progress.has_rows) ApplyProgressRows(owner, reply, context);
    if (progress.loaded) owner.progress_loaded = true;
    if (progress.matched) return;
  }
  const TableUpdate jobs =
      HandleTableReply(entry.jobs_follower, id, reply, context);
  if (jobs.has_rows) ApplyJobRows(owner, reply, owner.jobs_loaded, context);
  // A read of many rows takes seconds on a narrow link. Jobs that were
  // cancelled meanwhile must not be started.
  if (jobs.caught_up) owner.jobs_loaded = true;
  owner.jobs_known_at = entry.jobs_follower.known_at;
}

void AdvanceAll(EntryState& entry, Context& context) {
  entry.configuration_follower.watch_wait = ConfigurationWait(entry.timing);
  AdvanceTableFollower(entry.configuration_follower, context);
  UpdateConfigurationOutdated(entry, context);
  AdvanceTableFollower(entry.ownership_follower, context);
  AdvanceOwnership(entry, context);
  if (entry.owner.has_value()) {
    entry.owner->configuration_current_until = ConfigurationCurrentUntil(entry);
    entry.targets_follower.watch_margin = WatchMargin(*entry.owner);
    entry.jobs_follower.watch_margin = WatchMargin(*entry.owner);
    AdvanceTableFollower(entry.targets_follower, context);
    if (!entry.owner->progress_loaded) {
      AdvanceTableFollower(entry.progress_follower, context);
    } else {
      AdvanceTableFollower(entry.jobs_follower, context);
    }
    if (entry.owner->next_sweep <= context.time.now) {
      AssignRelays(*entry.owner, entry.ownership.candidates, entry.self,
                   context);
    }
    AdvanceOwner(*entry.owner, context);
  }
  AdvanceCalls(entry, context);
  RemoveDueTombstone(entry.tombstones, context);
}

/// Advances after an event that may have changed the state of a target.
void ScheduleRoundAndAdvance(EntryState& entry, Context& context) {
  if (entry.owner.has_value()) ScheduleRound(*entry.owner, context.time.now);
  AdvanceAll(entry, context);
}

bool IsTooLong(const std::string& checkpoint) {
  return checkpoint.size() > kMaxCheckpointBytes;
}

/// Drops the checkpoints of a reply that progress rows have no room for. Their
/// tasks resume from an earlier one.
void DropLongCheckpoints(TargetReply& reply, Context& context) {
  for (ReportedRun& run : reply.runs) {
    if (IsTooLong(run.checkpoint)) run.checkpoint.clear();
  }
  for (RunEnd& end : reply.ends) {
    if (!IsTooLong(end.checkpoint)) continue;
    Log(context, Severity::kWarn, "checkpoint_too_long",
        {{"task", ToString(end.task)},
         {"run", std::to_string(end.run)},
         {"bytes", std::to_string(end.checkpoint.size())},
         {"limit", std::to_string(kMaxCheckpointBytes)}});
    end.checkpoint.clear();
  }
}

bool HasLongCheckpoint(const TargetReply& reply) {
  const auto is_too_long = [](const auto& item) {
    return IsTooLong(item.checkpoint);
  };
  return std::any_of(reply.runs.begin(), reply.runs.end(), is_too_long) ||
         std::any_of(reply.ends.begin(), reply.ends.end(), is_too_long);
}

/// What to do after a reply: kWait leaves the next step to the host manager,
/// which plans at its own interval.
enum class AfterReply { kAdvance, kWait };

/// Passes a reply to the owner's `handler` if this host is the owner.
template <typename Handler, typename Reply>
void ForwardToOwner(EntryState& entry, Handler handler, std::int64_t id,
                    const Reply& reply, const EventTime& time, Effects& out,
                    AfterReply after) {
  if (!entry.owner.has_value()) return;
  Context context = MakeEventContext(entry, time, out);
  handler(*entry.owner, id, reply, context);
  if (after == AfterReply::kAdvance) ScheduleRoundAndAdvance(entry, context);
}

}  // namespace

Context MakeEventContext(EntryState& entry, const EventTime& time,
                         Effects& out) {
  return Context{.time = time,
                 .timing = entry.timing,
                 .configuration = entry.configuration.has_value()
                                      ? &*entry.configuration
                                      : nullptr,
                 .next_id = entry.next_id,
                 .out = out};
}

void OnTick(EntryState& entry, const EventTime& time, Effects& out) {
  entry.next_tick = time.now + kMaxTickInterval;
  Context context = MakeEventContext(entry, time, out);
  AdvanceAll(entry, context);
}

void HandleStoreReply(EntryState& entry, std::int64_t id,
                      const StoreRows& reply, const EventTime& time,
                      Effects& out) {
  Context context = MakeEventContext(entry, time, out);
  for (const std::string& error : reply.errors) {
    Log(context, Severity::kWarn, "row_unreadable", {{"problem", error}});
  }
  if (const TableUpdate configuration =
          HandleTableReply(entry.configuration_follower, id, reply, context);
      configuration.matched) {
    if (configuration.has_rows) {
      ApplyEvacuations(entry, reply, configuration, context);
      ApplyConfiguration(entry, reply, context);
    }
  } else if (const TableUpdate ownership =
                 HandleTableReply(entry.ownership_follower, id, reply, context);
             ownership.matched) {
    ApplyOwnershipRows(entry, reply, ownership.has_rows, context);
  } else if (HandleOwnershipReply(entry, id, reply, context) ||
             HandleCallStoreReply(entry, id, reply, context) ||
             HandleTombstoneRemoval(entry.tombstones, id, reply, context)) {
    // The functions called in the condition have handled the reply.
  } else if (entry.owner.has_value() &&
             !HandleCommitReply(*entry.owner, id, reply, context)) {
    HandleOwnerTableReply(entry, id, reply, context);
  }
  ScheduleRoundAndAdvance(entry, context);
}

void ForwardTargetReply(EntryState& entry, std::int64_t id,
                        const TargetReply& reply, const EventTime& time,
                        Effects& out) {
  if (HasLongCheckpoint(reply)) {
    Context context = MakeEventContext(entry, time, out);
    TargetReply shortened = reply;
    DropLongCheckpoints(shortened, context);
    ForwardToOwner(entry, HandleTargetReply, id, shortened, time, out,
                   AfterReply::kAdvance);
    return;
  }
  ForwardToOwner(entry, HandleTargetReply, id, reply, time, out,
                 AfterReply::kAdvance);
}

void ForwardApprovalReply(EntryState& entry, std::int64_t id,
                          const ApprovalReply& reply, const EventTime& time,
                          Effects& out) {
  ForwardToOwner(entry, HandleApprovalReply, id, reply, time, out,
                 AfterReply::kAdvance);
}

void ForwardHostListReply(EntryState& entry, std::int64_t id,
                          const HostList& list, const EventTime& time,
                          Effects& out) {
  ForwardToOwner(entry, HandleHostListReply, id, list, time, out,
                 AfterReply::kWait);
}

void ForwardHostReply(EntryState& entry, std::int64_t id,
                      HostRequestResult result, const EventTime& time,
                      Effects& out) {
  ForwardToOwner(entry, HandleHostReply, id, result, time, out,
                 AfterReply::kWait);
}

void OnRelayLost(EntryState& entry, const std::string& address,
                 const EventTime& time, Effects& out) {
  if (!entry.owner.has_value()) return;
  Context context = MakeEventContext(entry, time, out);
  HandleRelayLost(*entry.owner, address, entry.ownership.candidates, entry.self,
                  context);
}

void OnStop(EntryState& entry, const EventTime& time, Effects& out) {
  if (entry.stopping) return;
  entry.stopping = true;
  Context context = MakeEventContext(entry, time, out);
  ReleaseOwnership(entry, context);
}

bool IsConfigurationCurrent(const EntryState& entry, Instant now) {
  return now <= ConfigurationCurrentUntil(entry);
}

bool IsStoreResponsive(const EntryState& entry, Instant now) {
  return entry.ownership.loaded &&
         now - entry.ownership.last_store_reply_at <= kMaxStoreSilence;
}

bool IsServing(const EntryState& entry, Instant now) {
  return IsConfigurationCurrent(entry, now) &&
         !entry.configuration_unreadable && IsStoreResponsive(entry, now) &&
         !entry.stopping;
}

Instant NextTick(const EntryState& entry, Instant now) {
  Instant next = entry.next_tick;
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
