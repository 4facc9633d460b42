#include "Policy/owner.h"

#include <algorithm>
#include <utility>

#include "Model/text.h"
#include "Policy/owner_commits.h"
#include "Policy/owner_runs.h"
#include "Policy/placement.h"
#include "Policy/sharing.h"
#include "Policy/steward.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

constexpr Duration kSweepGap = milliseconds(250);
/// Between two rounds over all targets: changes that come together share one,
/// so that the cost of an event does not grow with the fleet.
constexpr Duration kRoundGap = milliseconds(2);
constexpr Duration kLongestRoundGap = milliseconds(50);
constexpr std::int64_t kMaxOpenOccurrences = 64;
constexpr std::int64_t kMaxAgeMs = 600'000;  ///< Clocks may be wrong.

void CancelJob(Owner& owner, const std::string& id, Context& context) {
  auto it = owner.jobs.find(id);
  if (it == owner.jobs.end()) {
    owner.early_cancels.insert(id);
    return;
  }
  if (IsFinal(it->second.state)) return;
  FinishJob(owner, it->second, JobState::kCancelled, "cancelled by its caller",
            context);
}

void OpenOccurrences(Job& job, const Moment& at) {
  const JobSpec& spec = job.record.spec;
  if (spec.repeats == 0) {
    if (job.finished.empty()) {
      job.open.try_emplace(0, NewOccurrence(spec, job.accepted));
    }
    return;
  }
  while (job.next_occurrence < spec.repeats &&
         static_cast<std::int64_t>(job.open.size()) < kMaxOpenOccurrences) {
    const std::int64_t due =
        spec.start_ms + job.next_occurrence * spec.interval_ms;
    if (due > at.unix_ms) return;
    if (job.finished.count(job.next_occurrence) == 0) {
      job.open.try_emplace(job.next_occurrence, NewOccurrence(spec, at.now));
    }
    ++job.next_occurrence;
  }
}

/// Takes the runs that a progress row names off the tasks.
std::vector<std::pair<TaskName, Sent>> TakeSent(Job& job) {
  std::vector<std::pair<TaskName, Sent>> all;
  ForEachTask(job, [&all](const TaskName& name, Task& task) {
    for (const Sent& it : task.sent) all.emplace_back(name, it);
    task.sent.clear();
  });
  return all;
}

void AddJob(Owner& owner, JobRecord record, const Row& row, bool live,
            Context& context) {
  const std::string id = record.id;
  Job job;
  job.record = std::move(record);
  const std::int64_t age =
      live ? 0
           : std::clamp<std::int64_t>(
                 context.at.unix_ms - job.record.accepted_ms, 0, kMaxAgeMs);
  job.accepted = context.at.now - milliseconds(age);
  auto progress = owner.early_progress.find(id);
  if (progress != owner.early_progress.end()) {
    const absl::Status status =
        ApplyProgress(progress->second, context.at.now, job);
    if (!status.ok()) {
      // What has been done is not known, so nothing of it may be started.
      Note(context, Severity::kError, "progress_unreadable",
           {{"job", id}, {"error", std::string(status.message())}});
      job.state = JobState::kRunning;
      owner.early_progress.erase(progress);
      owner.jobs.emplace(id, std::move(job));
      return;
    }
    if (IsFinal(job.state)) {
      job.final_stored = true;
      job.final_at = context.at.now;
      job.open.clear();
    }
    owner.early_progress.erase(progress);
  }
  std::vector<std::pair<TaskName, Sent>> sent;
  if (!IsFinal(job.state)) {
    OpenOccurrences(job, context.at);
    owner.active.insert(id);
    sent = TakeSent(job);
  }
  if (live) {
    Note(context, Severity::kInfo, "job_taken",
         {{"job", id},
          {"queue", job.record.queue},
          {"pool", job.record.pool},
          {"revision", std::to_string(row.revision)}});
  }
  Job& added = owner.jobs.emplace(id, std::move(job)).first->second;
  owner.plan_due = true;
  for (const auto& [name, it] : sent) {
    BookSent(owner, added, name, it, context);
  }
  for (auto& [name, target] : owner.targets) {
    std::vector<ListedRun> found;
    for (const auto& [task, run] : target.foreign) {
      if (task.job == id) found.push_back(run.listed);
    }
    for (const ListedRun& it : found) {
      TakeUnbooked(owner, target, it, context);
    }
  }
  if (owner.early_cancels.erase(id) > 0) CancelJob(owner, id, context);
}

void BecomeReady(Owner& owner, Context& context) {
  if (owner.ready) return;
  const bool loaded = owner.jobs_loaded && owner.progress_loaded &&
                      owner.targets_loaded && context.configuration != nullptr;
  if (!loaded) return;
  owner.ready = true;
  Note(context, Severity::kInfo, "owner_ready",
       {{"epoch", std::to_string(owner.epoch)},
        {"jobs", std::to_string(owner.active.size())},
        {"targets", std::to_string(owner.targets.size())}});
}

/// A target that is listed no longer is forgotten once it can run nothing.
void ForgetTargets(Owner& owner, Context& context) {
  for (auto it = owner.targets.begin(); it != owner.targets.end();) {
    TargetView& target = it->second;
    const bool over = !target.listed && target.runs.empty() &&
                      target.open_hold == 0 && target.open_orders == 0 &&
                      (target.over || target.missed > 0 ||
                       target.ends_told >= target.ends_seen);
    if (over) {
      Note(context, Severity::kInfo, "target_forgotten",
           {{"target", target.entry.id}});
      it = owner.targets.erase(it);
    } else {
      ++it;
    }
  }
}

/// Looks at every target and finds out when to do so again.
void RunRound(Owner& owner, Context& context) {
  const Instant now = context.at.now;
  owner.last_round = now;
  Instant next = now + kLongestRoundGap;
  for (auto& [id, target] : owner.targets) {
    AdvanceTarget(owner, target, context);
    if (owner.jobs_loaded && HoldIsDue(target)) {
      next = std::min(next, target.next_hold);
    }
  }
  owner.next_round = std::max(next, now + kRoundGap);
}

bool MayPlan(const Owner& owner, Instant now) {
  return owner.plan_due && owner.ready && MayOrder(owner, now);
}

}  // namespace

bool MayOrder(const Owner& owner, Instant now) {
  return now < owner.may_order_until && !owner.fenced;
}

void TakeJobRows(Owner& owner, const StoreRows& rows, bool live,
                 Context& context) {
  for (const Row& row : rows.rows) {
    if (row.value.is_null()) continue;
    std::string_view key = row.key;
    if (ConsumeSuffix(key, kCancelSuffix)) {
      CancelJob(owner, std::string(key), context);
      continue;
    }
    const bool known = owner.jobs.count(row.key) > 0;
    const bool is_void =
        row.value.is_object() && row.value.contains(kVoidField);
    if (known || is_void) continue;
    absl::StatusOr<JobRecord> record = ParseJobRecord(row.key, row.value);
    if (!record.ok()) {
      Note(context, Severity::kError, "job_unreadable",
           {{"job", row.key},
            {"revision", std::to_string(row.revision)},
            {"error", std::string(record.status().message())}});
      continue;
    }
    AddJob(owner, *std::move(record), row, live, context);
  }
}

void TakeProgressRows(Owner& owner, const StoreRows& rows) {
  for (const Row& row : rows.rows) {
    std::string_view key = row.key;
    if (key == kCommitKey) continue;
    if (ConsumePrefix(key, kWavePrefix)) {
      const auto number = ParseInteger<std::int64_t>(key);
      if (!number.has_value() || !row.value.contains("done")) continue;
      WaveView& view = owner.steward.waves[*number];
      for (const nlohmann::json& it : row.value["done"]) {
        if (it.is_string()) view.done.insert(it.get<std::string>());
      }
      const auto seen = row.value.find("seen_ms");
      const bool readable =
          seen != row.value.end() && seen->is_number_integer();
      if (readable) view.seen_ms = seen->get<std::int64_t>();
      continue;
    }
    owner.early_progress[row.key] = row.value;
  }
}

void TakeTargets(Owner& owner, const StoreRows& rows, bool whole,
                 Context& context) {
  std::set<std::string> present;
  for (const Target& it : rows.targets) {
    present.insert(it.id);
    auto [view, fresh] = owner.targets.try_emplace(it.id);
    TargetView& target = view->second;
    const bool reborn = !fresh && target.entry.born != it.born;
    const bool only_booked = !fresh && target.entry.address.empty();
    if (only_booked) owner.plan_due = true;
    if (fresh || reborn) {
      DropAllRuns(owner, target, "the target started again", context);
      const std::int64_t hold = target.open_hold;
      const std::int64_t orders = target.open_orders;
      target = TargetView{};
      target.open_hold = hold;
      target.open_orders = orders;
      target.lease_bound = context.at.now;
      owner.plan_due = true;
      Note(context, Severity::kInfo, "target_found",
           {{"target", it.id},
            {"pool", it.pool},
            {"host", it.host},
            {"born", std::to_string(it.born)}});
    }
    if (!fresh && target.entry.draining != it.draining) {
      Note(context, Severity::kInfo, "target_draining",
           {{"target", it.id}, {"draining", it.draining ? "yes" : "no"}});
      owner.plan_due = true;
    }
    target.entry = it;
    target.listed = true;
  }
  std::vector<std::string> removed = rows.removed_targets;
  if (whole) {
    for (const auto& [id, target] : owner.targets) {
      if (present.count(id) == 0) removed.push_back(id);
    }
  }
  for (const std::string& it : removed) {
    auto target = owner.targets.find(it);
    if (target == owner.targets.end() || !target->second.listed) continue;
    target->second.listed = false;
    Note(
        context, Severity::kWarn, "target_unlisted",
        {{"target", it}, {"runs", std::to_string(target->second.runs.size())}});
  }
}

void TakeWaves(Owner& owner, const std::vector<Wave>& waves, Context& context) {
  for (const Wave& it : waves) {
    WaveView& view = owner.steward.waves[it.number];
    if (view.wave == it) continue;
    view.wave = it;
    if (view.seen_ms == 0) view.seen_ms = context.at.unix_ms;
    view.stored = false;
    Note(context, Severity::kInfo, "wave_taken",
         {{"wave", std::to_string(it.number)},
          {"hosts", std::to_string(it.hosts.size())},
          {"limit", std::to_string(it.limit)},
          {"duration_ms", std::to_string(it.duration_ms)}});
  }
}

void Touch(Owner& owner, Instant now) {
  owner.next_round =
      std::min(owner.next_round, std::max(now, owner.last_round + kRoundGap));
}

void Advance(Owner& owner, Context& context) {
  const Instant now = context.at.now;
  const bool sweep = owner.next_sweep <= now;
  if (sweep) {
    owner.next_sweep = now + kSweepGap;
    for (const std::string& id : owner.active) {
      Job& job = owner.jobs.at(id);
      const std::size_t open = job.open.size();
      OpenOccurrences(job, context.at);
      if (job.open.size() != open) owner.plan_due = true;
    }
    ForgetTargets(owner, context);
    owner.plan_due = true;
  }
  BecomeReady(owner, context);
  if (owner.ready && MayOrder(owner, now)) {
    AdvanceSteward(owner, context);
    AdvanceSharing(owner, context);
  }
  // What is planned waits for the commit, so planning any earlier only decides
  // on less.
  if (MayPlan(owner, now) && MayCommit(owner, now)) {
    owner.plan_due = false;
    PlaceTasks(owner, context);
  }
  if (owner.next_round <= now) RunRound(owner, context);
  CommitChanges(owner, context, sweep);
}

Instant NextDue(const Owner& owner, Instant now) {
  Instant due = std::min(owner.next_sweep, owner.next_round);
  const bool changes = !owner.changed_jobs.empty() || MayPlan(owner, now);
  if (!owner.commit.has_value() && changes) {
    due = std::min(due, owner.next_commit);
  }
  return std::max(due, now);
}

std::int64_t CountWaiting(const Owner& owner, std::string_view queue) {
  return std::count_if(owner.active.begin(), owner.active.end(),
                       [&](const std::string& id) {
                         const Job& job = owner.jobs.at(id);
                         return job.record.queue == queue && !job.has_run &&
                                job.record.spec.repeats == 0;
                       });
}

std::optional<JobState> ShownState(const Owner& owner, const std::string& job) {
  auto it = owner.jobs.find(job);
  if (it == owner.jobs.end()) return std::nullopt;
  const Job& found = it->second;
  const bool told = !IsFinal(found.state) || found.final_stored ||
                    found.state == JobState::kCancelled;
  if (told) return found.state;
  return found.has_run ? JobState::kRunning : JobState::kPending;
}

}  // namespace hyssopbarrow::fleet
