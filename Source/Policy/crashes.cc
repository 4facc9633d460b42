#include "Policy/crashes.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Model/text.h"
#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A run that its target has survived for so long is not the cause of a later
/// crash.
constexpr Duration kCrashWindow = milliseconds(250);
/// How long a run lasts until the earlier crashes of its task are cleared.
constexpr Duration kClearAfter = seconds(10);
/// How long after the loss of its runs another instance of a target shows that
/// they were lost in a crash.
constexpr Duration kLostRunRetention = seconds(60);
/// Crashes after which a task is given up: confirmed ones if it certainly
/// caused the last one, and in any case.
constexpr std::int64_t kConfirmedCrashesToGiveUp = 2;
constexpr std::size_t kCrashesToGiveUp = 4;
/// Crashes in a row that a long-running task must certainly have caused. Giving
/// up its job stops tasks that are at work.
constexpr std::int64_t kCertainCrashesToGiveUp = 3;
/// Names listed in a log line.
constexpr std::size_t kMaxLoggedTasks = 6;

/// Returns no causes if the end of the target is planned.
std::vector<CrashCause> FindCauses(const TargetView& target) {
  std::vector<CrashCause> causes;
  if (target.retired || target.reserved || target.entry.draining) return causes;
  bool isolated = false;
  for (const auto& [name, run] : target.runs) {
    if (!MayHaveCausedCrash(target, run)) continue;
    const bool confirmed = run.confirmed_at && !run.unreported;
    causes.push_back({.task = name,
                      .run = run.number,
                      .evidence = confirmed ? CrashEvidence::kShared
                                            : CrashEvidence::kUnconfirmed});
    isolated = confirmed && run.isolated;
  }
  if (causes.size() == 1 && isolated) {
    causes[0].evidence = CrashEvidence::kCertain;
  }
  return causes;
}

/// True if the run may cause a crash, or have caused one.
bool IsUndecided(const TargetView& target, const Run& run) {
  return run.phase == RunPhase::kPlanned || MayHaveCausedCrash(target, run);
}

/// Forgets the earliest crash of a task that it has not certainly caused, if
/// there are more than a row has room for.
void KeepFewCrashes(Task& task) {
  if (task.crashed_runs.size() <= kCrashesToGiveUp) return;
  const auto earliest = std::find_if(
      task.crashed_runs.begin(), task.crashed_runs.end(),
      [](const auto& run) { return run.second != CrashEvidence::kCertain; });
  if (earliest != task.crashed_runs.end()) task.crashed_runs.erase(earliest);
}

/// Returns false if the run does not count or was counted before.
bool CountCrash(Owner& owner, const CrashCause& cause) {
  Job* job = FindJob(owner, cause.task.job);
  if (job == nullptr || IsFinal(job->state)) return false;
  Task* task = FindTask(*job, cause.task);
  if (task == nullptr || task->done) return false;
  if (!task->crashed_runs.emplace(cause.run, cause.evidence).second) {
    return false;
  }
  if (StepOf(*job, cause.task.step).long_running) KeepFewCrashes(*task);
  owner.crash_suspects.insert(cause.task);
  MarkJobChanged(owner, *job);
  return true;
}

/// Counts the crash of a target against the tasks that may have caused it.
void CountCrashes(Owner& owner, const std::string& target,
                  const std::vector<CrashCause>& causes, Context& context) {
  ++owner.crash_count;
  std::string tasks;
  std::set<std::string> jobs;
  for (std::size_t n = 0; n < causes.size(); ++n) {
    if (n < kMaxLoggedTasks) {
      tasks += StrCat(n == 0 ? "" : " ", ToString(causes[n].task));
    }
    if (CountCrash(owner, causes[n])) jobs.insert(causes[n].task.job);
  }
  const bool certain = causes[0].evidence == CrashEvidence::kCertain;
  Log(context, Severity::kWarn, "target_crashed",
      {{"target", target},
       {"possible_causes", std::to_string(causes.size())},
       {"certain", certain ? "yes" : "no"},
       {"tasks", tasks}});
  for (const std::string& id : jobs) {
    GiveUpCrashingJob(owner, owner.jobs.at(id), context);
  }
}

bool MustGiveUp(const Task& task, bool long_running) {
  if (long_running) {
    return std::count_if(task.crashed_runs.begin(), task.crashed_runs.end(),
                         [](const auto& run) {
                           return run.second == CrashEvidence::kCertain;
                         }) >= kCertainCrashesToGiveUp;
  }
  const auto confirmed = std::count_if(
      task.crashed_runs.begin(), task.crashed_runs.end(), [](const auto& run) {
        return run.second != CrashEvidence::kUnconfirmed;
      });
  const bool certain =
      task.crashed_runs.rbegin()->second == CrashEvidence::kCertain;
  return task.crashed_runs.size() >= kCrashesToGiveUp ||
         (certain && confirmed >= kConfirmedCrashesToGiveUp);
}

}  // namespace

bool MayHaveCausedCrash(const TargetView& target, const Run& run) {
  if (run.phase == RunPhase::kPlanned) return false;
  return !run.confirmed_at ||
         *run.confirmed_at + kCrashWindow > target.last_reply_at;
}

bool HasPossibleCause(const TargetView& target) {
  return std::any_of(
      target.runs.begin(), target.runs.end(),
      [&](const auto& run) { return IsUndecided(target, run.second); });
}

bool HasUndecidedIsolatedRun(const Owner& owner, const TargetView& target) {
  if (owner.crash_suspects.empty()) return false;
  return std::any_of(
      target.runs.begin(), target.runs.end(), [&](const auto& run) {
        return run.second.isolated && IsUndecided(target, run.second);
      });
}

void HandleTargetCrash(Owner& owner, TargetView& target,
                       std::string_view reason, Context& context) {
  HandleTargetCrash(owner, target, reason, {}, {}, context);
}

void HandleTargetCrash(Owner& owner, TargetView& target,
                       std::string_view reason,
                       const std::set<TaskName>& present,
                       const std::set<TaskName>& unanswered, Context& context) {
  std::vector<CrashCause> causes = FindCauses(target);
  std::erase_if(causes, [&](const CrashCause& cause) {
    return present.count(cause.task) > 0;
  });
  std::set<TaskName> kept = present;
  kept.insert(unanswered.begin(), unanswered.end());
  DropRunsExcept(owner, target, kept, reason, context);
  if (!causes.empty()) {
    CountCrashes(owner, target.entry.id, causes, context);
  }
}

void GiveUpRuns(Owner& owner, TargetView& target, std::string_view reason,
                Context& context) {
  std::vector<CrashCause> causes = FindCauses(target);
  DropAllRuns(owner, target, reason, context);
  std::erase_if(owner.lost_runs, [&](const auto& lost) {
    return lost.second.lost_at + kLostRunRetention < context.time.now;
  });
  if (causes.empty()) return;
  owner.lost_runs[target.entry.id] = {
      .host = target.entry.host,
      .started_unix_ms = target.entry.started_unix_ms,
      .lost_at = context.time.now,
      .causes = std::move(causes)};
}

void CountLostRuns(Owner& owner, const Target& entry, Context& context) {
  for (auto it = owner.lost_runs.begin(); it != owner.lost_runs.end();) {
    const LostRuns& lost = it->second;
    const bool replaced =
        it->first == entry.id
            ? lost.started_unix_ms < entry.started_unix_ms
            : !entry.host.empty() && lost.host == entry.host &&
                  lost.started_unix_ms < entry.started_unix_ms;
    if (!replaced) {
      ++it;
      continue;
    }
    const std::string target = it->first;
    const std::vector<CrashCause> causes = lost.causes;
    it = owner.lost_runs.erase(it);
    CountCrashes(owner, target, causes, context);
  }
}

void CountCrashedAssignment(Owner& owner, const TaskName& name,
                            const Assignment& assignment, Context& context) {
  if (!CountCrash(owner, {.task = name, .run = assignment.run})) return;
  Log(context, Severity::kWarn, "target_crashed",
      {{"target", assignment.target},
       {"reason", "it restarted during a run of the previous owner"},
       {"tasks", ToString(name)}});
}

void GiveUpCrashingJob(Owner& owner, Job& job, Context& context) {
  if (IsFinal(job.state)) return;
  std::optional<TaskName> crashing;
  std::size_t crashes = 0;
  ForEachTask(job, [&](const TaskName& name, Task& task) {
    if (task.done || task.crashed_runs.empty()) return;
    owner.crash_suspects.insert(name);
    if (!MustGiveUp(task, StepOf(job, name.step).long_running)) return;
    crashing = name;
    crashes = task.crashed_runs.size();
  });
  if (!crashing.has_value()) return;
  FinishJob(
      owner, job, JobState::kFailed,
      StrCat("task ", ToString(*crashing), " crashed ", crashes, " targets"),
      context);
}

void ClearCrashesAfterLongRun(Owner& owner, const TaskName& name,
                              const Run& run, Context& context) {
  if (owner.crash_suspects.empty() || !run.confirmed_at ||
      owner.crash_suspects.count(name) == 0) {
    return;
  }
  Job* job = FindJob(owner, name.job);
  Task* task = job == nullptr ? nullptr : FindTask(*job, name);
  // Only crashes in a row count for a task that lasts.
  const bool lasts = task != nullptr && StepOf(*job, name.step).long_running;
  const Duration clear_after = lasts ? kCrashWindow : kClearAfter;
  if (*run.confirmed_at + clear_after > context.time.now) return;
  owner.crash_suspects.erase(name);
  if (task == nullptr) return;
  task->crashed_runs.clear();
  MarkJobChanged(owner, *job);
}

}  // namespace hyssopbarrow::fleet
