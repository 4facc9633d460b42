#include "Policy/owner.h"

#include <algorithm>
#include <utility>

#include "Model/json.h"
#include "Model/limits.h"
#include "Model/text.h"
#include "Policy/crashes.h"
#include "Policy/host_manager.h"
#include "Policy/host_records.h"
#include "Policy/job_memory.h"
#include "Policy/owner_commits.h"
#include "Policy/owner_load.h"
#include "Policy/owner_runs.h"
#include "Policy/placement.h"
#include "Policy/progress_rows.h"
#include "Policy/store_keys.h"
#include "Policy/target_instance.h"
#include "Policy/target_polls.h"
#include "Policy/throttling.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// Between checks for due occurrences, unlisted targets and outdated job rows.
constexpr Duration kSweepInterval = milliseconds(250);
/// Between rounds over the targets that have changed. Changes that arrive
/// together share a round.
constexpr Duration kMinRoundInterval = milliseconds(2);
/// Between rounds over all targets, which find retries and expired leases.
constexpr Duration kFullRoundInterval = milliseconds(50);
/// Callers are told a number of waiting jobs that is at most this old.
constexpr Duration kMaxWaitingCountAge = milliseconds(2000);
/// Leave time for a start to reach its target: users expect that no task starts
/// 3 s after its job was cancelled or 2 s after its target began to drain.
constexpr Duration kMaxJobsAgeForStarts = milliseconds(2000);
constexpr Duration kMaxTargetsAgeForStarts = milliseconds(1400);
/// What is planned must still be allowed to start once it is stored.
constexpr Duration kTimeToStorePlan = milliseconds(200);
/// Limits the effect of a wrong clock on the age of a job.
constexpr std::int64_t kMaxJobAgeMs = 600'000;

void CancelJob(Owner& owner, const std::string& id, Context& context) {
  auto it = owner.jobs.find(id);
  if (it == owner.jobs.end()) {
    owner.unmatched_cancels.insert(id);
    return;
  }
  if (IsFinal(it->second.state)) return;
  FinishJob(owner, it->second, JobState::kCancelled, "cancelled by its caller",
            context);
}

/// Adds the occurrences that are due to the open ones.
void OpenDueOccurrences(Job& job, const EventTime& time) {
  const JobSpec& spec = job.record.spec;
  if (spec.repeats == 0) {
    if (job.finished_occurrences.empty()) {
      job.open_occurrences.try_emplace(0, NewOccurrence(spec, job.accepted_at));
    }
    return;
  }
  while (job.next_occurrence < spec.repeats &&
         job.open_occurrences.size() < kMaxOpenOccurrences) {
    const std::int64_t due =
        spec.start_ms + job.next_occurrence * spec.interval_ms;
    if (due > time.unix_ms) return;
    if (job.finished_occurrences.count(job.next_occurrence) == 0) {
      job.open_occurrences.try_emplace(job.next_occurrence,
                                       NewOccurrence(spec, time.now));
    }
    ++job.next_occurrence;
  }
}

/// Removes and returns the assignments that a progress row gave to the tasks.
std::vector<std::pair<TaskName, Assignment>> ExtractAssignments(Job& job) {
  std::vector<std::pair<TaskName, Assignment>> all;
  ForEachTask(job, [&all](const TaskName& name, Task& task) {
    for (const Assignment& assignment : task.assignments) {
      all.emplace_back(name, assignment);
    }
    task.assignments.clear();
  });
  return all;
}

/// Handles the runs that targets reported before the row of their job arrived.
void AdoptUnknownRuns(Owner& owner, const std::string& job, Context& context) {
  auto node = owner.unknown_run_targets.extract(job);
  if (node.empty()) return;
  for (const std::string& id : node.mapped()) {
    auto it = owner.targets.find(id);
    if (it == owner.targets.end()) continue;
    TargetView& target = it->second;
    std::vector<ReportedRun> reported_runs;
    for (const auto& [task, run] : target.unknown_runs) {
      if (task.job == job) reported_runs.push_back(run.reported);
    }
    for (const ReportedRun& reported : reported_runs) {
      HandleUntrackedRun(owner, target, reported, context);
    }
  }
}

/// Applies the progress rows of a job and removes them from those that wait for
/// their jobs.
absl::Status RestoreProgress(Owner& owner, Job& job, Context& context) {
  const std::string& id = job.record.id;
  absl::Status status;
  if (auto row = owner.unmatched_progress.extract(id)) {
    status = ApplyProgress(row.mapped(), context.time.now, job);
  }
  const std::string prefix = StrCat(id, ".");
  auto it = owner.unmatched_progress.lower_bound(prefix);
  while (it != owner.unmatched_progress.end() &&
         it->first.starts_with(prefix)) {
    const auto tasks = ParseTaskRowSuffix(it->first.substr(id.size()));
    if (tasks.has_value() && status.ok()) {
      status = ApplyTaskRow(*tasks, it->second, context.time.now, job);
    }
    it = owner.unmatched_progress.erase(it);
  }
  if (status.ok()) FinishRestoring(job);
  return status;
}

void AddJob(Owner& owner, JobRecord record, const Row& row, bool live,
            Context& context) {
  const std::string id = record.id;
  Job job;
  job.record = std::move(record);
  const std::int64_t age =
      live
          ? 0
          : std::clamp<std::int64_t>(
                context.time.unix_ms - job.record.accepted_ms, 0, kMaxJobAgeMs);
  job.accepted_at = context.time.now - milliseconds(age);
  const absl::Status status = RestoreProgress(owner, job, context);
  if (!status.ok()) {
    // Which tasks are done is unknown, so none may be started.
    Log(context, Severity::kError, "progress_unreadable",
        {{"job", id}, {"error", std::string(status.message())}});
    job.state = JobState::kRunning;
    CountJobBytes(owner, owner.jobs.emplace(id, std::move(job)).first->second);
    return;
  }
  if (IsFinal(job.state)) {
    job.final_state_stored = true;
    job.finished_at = context.time.now;
    job.open_occurrences.clear();
  }
  std::vector<std::pair<TaskName, Assignment>> assignments;
  if (!IsFinal(job.state)) {
    OpenDueOccurrences(job, context.time);
    owner.active_jobs.insert(id);
    owner.placeable_jobs.insert(id);
    assignments = ExtractAssignments(job);
  }
  if (live) {
    Log(context, Severity::kInfo, "job_received",
        {{"job", id},
         {"queue", job.record.queue},
         {"pool", job.record.pool},
         {"revision", std::to_string(row.revision)}});
  }
  Job& added = owner.jobs.emplace(id, std::move(job)).first->second;
  CountJobBytes(owner, added);
  // Rows of tasks that are finished may be left.
  if (!added.task_rows.empty()) MarkJobChanged(owner, added);
  owner.placement_due = true;
  for (const auto& [name, assignment] : assignments) {
    RestoreAssignment(owner, added, name, assignment, context);
  }
  GiveUpCrashingJob(owner, added, context);
  AdoptUnknownRuns(owner, id, context);
  if (owner.unmatched_cancels.erase(id) > 0) CancelJob(owner, id, context);
}

void RecountWaitingJobs(Owner& owner) {
  owner.waiting_jobs.clear();
  owner.waiting_known_at = owner.jobs_known_at;
  for (const std::string& id : owner.active_jobs) {
    const Job& job = owner.jobs.at(id);
    const bool waits = !job.has_run && job.record.spec.repeats == 0;
    if (waits) ++owner.waiting_jobs[job.record.queue];
  }
}

void UpdateReady(Owner& owner, Context& context) {
  if (owner.ready) return;
  const bool loaded = owner.jobs_loaded && owner.progress_loaded &&
                      owner.targets_loaded && context.configuration != nullptr;
  if (!loaded) return;
  owner.ready = true;
  // The tables of targets and of records are read at the same time.
  for (auto& [id, target] : owner.targets) {
    if (MustStayEmpty(owner, target.entry, context.time.now)) {
      target.reserved = true;
    }
  }
  RecountWaitingJobs(owner);
  owner.next_full_round = context.time.now;
  ScheduleRound(owner, context.time.now);
  Log(context, Severity::kInfo, "owner_ready",
      {{"epoch", std::to_string(owner.epoch)},
       {"jobs", std::to_string(owner.active_jobs.size())},
       {"targets", std::to_string(owner.targets.size())}});
}

/// Removes targets that are no longer listed and have no runs, no pending
/// requests and, unless they are retired or unresponsive, no ends to
/// acknowledge.
void RemoveUnlistedTargets(Owner& owner, Context& context) {
  for (auto it = owner.targets.begin(); it != owner.targets.end();) {
    TargetView& target = it->second;
    const bool removable =
        !target.listed && target.runs.empty() && target.pending_poll == 0 &&
        target.pending_requests == 0 &&
        (target.retired || target.unanswered_polls > 0 ||
         target.last_end_acknowledged >= target.last_end_processed);
    if (removable) {
      Log(context, Severity::kInfo, "target_removed",
          {{"target", target.entry.id}});
      it = owner.targets.erase(it);
    } else {
      ++it;
    }
  }
}

/// Advances the targets that have changed since the last round, or all of them
/// if a full round is due, and schedules the next round.
void AdvanceTargets(Owner& owner, Context& context) {
  const Instant now = context.time.now;
  owner.last_round = now;
  std::vector<std::string> changed;
  changed.swap(owner.next_round_targets);
  const bool full = owner.next_full_round <= now;
  if (full) {
    owner.next_full_round = now + kFullRoundInterval;
    for (auto& [id, target] : owner.targets) {
      target.in_next_round = false;
      AdvanceTarget(owner, target, context);
    }
    PollUnusableTargets(owner, context);
  } else {
    for (const std::string& id : changed) {
      auto it = owner.targets.find(id);
      if (it == owner.targets.end()) continue;
      it->second.in_next_round = false;
      AdvanceTarget(owner, it->second, context);
    }
  }
  owner.next_round = owner.next_full_round;
}

/// True while the configuration and the jobs and targets tables are recent
/// enough to start tasks.
bool AreTablesCurrent(const Owner& owner, Instant now) {
  return now <= owner.configuration_current_until &&
         now - owner.jobs_known_at <= kMaxJobsAgeForStarts &&
         now - owner.targets_known_at <= kMaxTargetsAgeForStarts;
}

bool MayPlaceTasks(const Owner& owner, Instant now) {
  return owner.placement_due && owner.ready &&
         MaySendTargetRequests(owner, now) &&
         AreTablesCurrent(owner, now + kTimeToStorePlan);
}

/// Logs when planning begins and ceases to wait for the tables.
void UpdateTablesOutdated(Owner& owner, Context& context) {
  const Instant now = context.time.now;
  const bool outdated =
      owner.ready && !AreTablesCurrent(owner, now + kTimeToStorePlan);
  if (outdated == owner.tables_outdated) return;
  owner.tables_outdated = outdated;
  const auto age_ms = [now](Instant known_at) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(now - known_at).count());
  };
  Log(context, outdated ? Severity::kWarn : Severity::kInfo,
      outdated ? "tables_outdated" : "tables_current",
      {{"epoch", std::to_string(owner.epoch)},
       {"configuration_current",
        now <= owner.configuration_current_until ? "yes" : "no"},
       {"jobs_age_ms", age_ms(owner.jobs_known_at)},
       {"targets_age_ms", age_ms(owner.targets_known_at)}});
}

}  // namespace

bool MaySendTargetRequests(const Owner& owner, Instant now) {
  return now < owner.target_requests_allowed_until && !owner.fenced;
}

bool MayStartTasks(const Owner& owner, Instant now) {
  return MaySendTargetRequests(owner, now) && AreTablesCurrent(owner, now);
}

void ApplyJobRows(Owner& owner, const StoreRows& rows, bool live,
                  Context& context) {
  for (const Row& row : rows.rows) {
    if (row.value.is_null()) continue;
    std::string_view key = row.key;
    if (ConsumeSuffix(key, kCancelSuffix)) {
      CancelJob(owner, std::string(key), context);
      continue;
    }
    const bool known = owner.jobs.count(row.key) > 0;
    const bool is_tombstone =
        row.value.is_object() && row.value.contains(kTombstoneField);
    if (known || is_tombstone) continue;
    absl::StatusOr<JobRecord> record = ParseJobRecord(row.key, row.value);
    if (!record.ok()) {
      Log(context, Severity::kError, "job_unreadable",
          {{"job", row.key},
           {"revision", std::to_string(row.revision)},
           {"error", std::string(record.status().message())}});
      continue;
    }
    AddJob(owner, *std::move(record), row, live, context);
  }
}

void ApplyProgressRows(Owner& owner, const StoreRows& rows, Context& context) {
  for (const Row& row : rows.rows) {
    std::string_view key = row.key;
    if (key == kCommitKey) continue;
    if (key == kRunTimesKey) {
      if (owner.progress_loaded) continue;
      RestoreRunTimes(row.value, owner.run_times);
      Log(context, Severity::kInfo, "run_times_restored",
          {{"models", std::to_string(owner.run_times.model_count)}});
      continue;
    }
    if (ConsumePrefix(key, kWavePrefix)) {
      const auto number = ParseInteger<std::int64_t>(key);
      if (!number.has_value() || !row.value.contains("done")) continue;
      WaveView& view = owner.host_manager.waves[*number];
      for (const nlohmann::json& host : row.value["done"]) {
        if (host.is_string()) view.done_hosts.insert(host.get<std::string>());
      }
      const std::int64_t first_seen = IntegerOrZero(row.value, "seen_ms");
      if (first_seen > 0 && first_seen <= kMaxUnixMs) {
        view.first_seen_unix_ms = first_seen;
      }
      continue;
    }
    if (ConsumePrefix(key, kHostRecordPrefix)) {
      RestoreHostRecord(owner, key, row.value, context);
      continue;
    }
    owner.unmatched_progress[row.key] = row.value;
  }
}

void ApplyTargetRows(Owner& owner, const StoreRows& rows, bool whole,
                     Context& context) {
  for (const Target& entry : rows.targets) {
    auto [view, inserted] = owner.targets.try_emplace(entry.id);
    TargetView& target = view->second;
    const std::int64_t instance = target.entry.started_unix_ms;
    // An entry without a start may come from another writer.
    const bool other_instance = !inserted && entry.started_unix_ms != 0 &&
                                entry.started_unix_ms != instance;
    // Entries arrive late and may be false, so runs are lost only when the
    // target itself says so.
    const bool replaced =
        other_instance && (target.retired || target.runs.empty());
    // RestoreAssignment adds targets without an entry.
    const bool known_by_assignment_only = !inserted && !target.has_entry;
    if (known_by_assignment_only) owner.placement_due = true;
    if (inserted || replaced) {
      // A late request to the earlier instance may extend the lease.
      TrackInstance(
          target, entry,
          replaced ? LatestUnknownLeaseEnd(context.timing, context.time.now)
                   : context.time.now,
          context);
      owner.placement_due = true;
    }
    if (!inserted && target.entry.draining != entry.draining) {
      Log(context, Severity::kInfo, "target_draining",
          {{"target", entry.id}, {"draining", entry.draining ? "yes" : "no"}});
      owner.placement_due = true;
    }
    if (!owner.lost_runs.empty()) CountLostRuns(owner, entry, context);
    target.entry = entry;
    if (entry.started_unix_ms != 0) {
      target.described_instance = entry.started_unix_ms;
    }
    target.listed = target.has_entry = true;
    target.evacuated =
        owner.evacuation.data_centres.contains(entry.data_centre);
    // The view of a target that is being emptied may have been removed while
    // its entry was missing.
    const bool new_entry = inserted || replaced || known_by_assignment_only;
    if (new_entry && MustStayEmpty(owner, target.entry, context.time.now)) {
      target.reserved = true;
    }
    if (inserted || replaced) {
      AddToNextRound(owner, target);
      continue;
    }
    target.entry.started_unix_ms = instance;
    if (other_instance) {
      DoubtInstance(owner, target, "its entry names another instance", context);
    } else if (!target.address_replied.empty()) {
      // An instance keeps its address.
      target.entry.address = target.address_replied;
    }
    if (known_by_assignment_only) AddToNextRound(owner, target);
  }
  std::vector<std::string> removed = rows.removed_targets;
  if (whole) {
    for (const auto& [id, target] : owner.targets) {
      if (owner.targets_read.count(id) == 0) removed.push_back(id);
    }
    owner.targets_read.clear();
  }
  for (const std::string& id : removed) {
    auto target = owner.targets.find(id);
    if (target == owner.targets.end() || !target->second.listed) continue;
    target->second.listed = false;
    Log(context, Severity::kWarn, "target_unlisted",
        {{"target", id}, {"runs", std::to_string(target->second.runs.size())}});
  }
}

void ApplyWaves(Owner& owner, const std::vector<Wave>& waves,
                Context& context) {
  for (const Wave& wave : waves) {
    WaveView& view = owner.host_manager.waves[wave.number];
    if (view.wave == wave) continue;
    view.wave = wave;
    if (view.first_seen_unix_ms == 0) {
      view.first_seen_unix_ms = context.time.unix_ms;
    }
    view.progress_stored = false;
    Log(context, Severity::kInfo, "wave_received",
        {{"wave", std::to_string(wave.number)},
         {"hosts", std::to_string(wave.hosts.size())},
         {"limit", std::to_string(wave.max_unavailable)},
         {"duration_ms", std::to_string(wave.duration_ms)}});
  }
}

void TrackInstance(TargetView& target, Target entry, Instant latest_lease_end,
                   Context& context) {
  const std::int64_t pending_requests = target.pending_requests;
  const bool evacuated =
      target.evacuated && target.entry.data_centre == entry.data_centre;
  target = TargetView{};
  target.pending_requests = pending_requests;
  target.evacuated = evacuated;
  target.found_at = context.time.now;
  target.latest_lease_end = latest_lease_end;
  target.entry = std::move(entry);
  Log(context, Severity::kInfo, "target_found",
      {{"target", target.entry.id},
       {"pool", target.entry.pool},
       {"host", target.entry.host},
       {"born", std::to_string(target.entry.started_unix_ms)}});
}

void AddToNextRound(Owner& owner, TargetView& target) {
  if (target.in_next_round) return;
  target.in_next_round = true;
  owner.next_round_targets.push_back(target.entry.id);
}

void ScheduleRound(Owner& owner, Instant now) {
  owner.next_round = std::min(
      owner.next_round, std::max(now, owner.last_round + kMinRoundInterval));
}

void AdvanceOwner(Owner& owner, Context& context) {
  const Instant now = context.time.now;
  const bool sweep = owner.next_sweep <= now;
  if (sweep) {
    owner.next_sweep = now + kSweepInterval;
    for (const std::string& id : owner.active_jobs) {
      Job& job = owner.jobs.at(id);
      const std::size_t open = job.open_occurrences.size();
      OpenDueOccurrences(job, context.time);
      if (job.open_occurrences.size() == open) continue;
      CountJobBytes(owner, job);
      owner.placement_due = true;
    }
    RecountWaitingJobs(owner);
    RemoveUnlistedTargets(owner, context);
    owner.all_jobs_placeable = true;
    owner.placement_due = true;
  }
  UpdateReady(owner, context);
  if (sweep) UpdateTablesOutdated(owner, context);
  if (owner.ready && MaySendTargetRequests(owner, now)) {
    AdvanceHostManager(owner, context);
    AdvanceThrottling(owner, context);
  }
  // Starts wait for the next commit anyway; planning them earlier would use
  // less information.
  if (MayPlaceTasks(owner, now) && MayCommit(owner, now)) {
    owner.placement_due = false;
    PlaceTasks(owner, context);
  }
  if (owner.next_round <= now) AdvanceTargets(owner, context);
  ReportLoad(owner, context);
  CommitChanges(owner, context, sweep);
}

Instant NextDeadline(const Owner& owner, Instant now) {
  Instant deadline = std::min(owner.next_sweep, owner.next_round);
  const bool changes = !owner.changed_jobs.empty() ||
                       !owner.host_manager.changed_records.empty() ||
                       MayPlaceTasks(owner, now);
  if (!owner.pending_commit.has_value() && changes) {
    deadline = std::min(deadline, owner.next_commit);
  }
  return std::max(deadline, now);
}

std::optional<std::int64_t> CountWaitingJobs(const Owner& owner,
                                             std::string_view queue,
                                             Instant now) {
  const bool known = owner.ready && MaySendTargetRequests(owner, now) &&
                     now - owner.waiting_known_at <= kMaxWaitingCountAge;
  if (!known) return std::nullopt;
  auto it = owner.waiting_jobs.find(queue);
  return it == owner.waiting_jobs.end() ? 0 : it->second;
}

std::optional<JobState> VisibleState(const Owner& owner,
                                     const std::string& job) {
  auto it = owner.jobs.find(job);
  if (it == owner.jobs.end()) return std::nullopt;
  const Job& found = it->second;
  const bool final_state_visible =
      found.final_state_stored || found.state == JobState::kCancelled;
  if (IsFinal(found.state) && final_state_visible) return found.state;
  return found.has_run ? JobState::kRunning : JobState::kPending;
}

}  // namespace hyssopbarrow::fleet
