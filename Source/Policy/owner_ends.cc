#include "Policy/owner_ends.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "Model/text.h"
#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// Different jobs that fail on a target before it is avoided.
constexpr std::size_t kBadTargetJobs = 3;
constexpr Duration kAvoidBad = milliseconds(6000);

/// Stops all other runs of a task that is done.
void StopCopies(Owner& owner, Job& job, const TaskName& name,
                Context& context) {
  const Task* task = FindTask(job, name);
  if (task == nullptr) return;
  for (const Sent& it : std::vector<Sent>(task->sent)) {
    StopRun(owner, owner.targets.at(it.target), name, "another copy is done",
            context);
  }
}

void TakeDone(Owner& owner, Job& job, const ListedEnd& end, Context& context) {
  const Step& step = StepOf(job, end.task.step);
  if (step.lasts || IsFinal(job.state)) return;
  if (!MarkDone(job, end.task)) return;
  MarkChanged(owner, job);
  StopCopies(owner, job, end.task, context);
  CloseIfComplete(job, end.task.occurrence);
  if (job.state == JobState::kCompleted) {
    FinishJob(owner, job, JobState::kCompleted, "all tasks are done", context);
  }
}

void TakeFailed(Owner& owner, TargetView& target, Job& job,
                const ListedEnd& end, Context& context) {
  Task* task = FindTask(job, end.task);
  if (task == nullptr || task->done || IsFinal(job.state)) return;
  const Step& step = StepOf(job, end.task.step);
  if (!step.lasts && !task->failures.insert(end.run).second) return;
  task->failed_on.insert(target.entry.id);
  target.failed_jobs.insert(job.record.id);
  if (target.failed_jobs.size() >= kBadTargetJobs) {
    target.failed_jobs.clear();
    target.avoid_until = context.at.now + kAvoidBad;
    Note(context, Severity::kWarn, "target_avoided",
         {{"target", target.entry.id},
          {"reason", "tasks of several jobs fail"}});
  }
  MarkChanged(owner, job);
  const Queue* queue =
      context.configuration == nullptr
          ? nullptr
          : FindQueue(*context.configuration, job.record.queue);
  if (step.lasts) return;
  const std::int64_t attempts =
      queue == nullptr ? job.record.max_attempts : queue->max_attempts;
  const auto failures = static_cast<std::int64_t>(task->failures.size());
  if (failures >= attempts) {
    FinishJob(
        owner, job, JobState::kFailed,
        StrCat("task ", ToString(end.task), " failed ", failures, " times"),
        context);
  }
}

}  // namespace

void TakeEnd(Owner& owner, TargetView& target, const ListedEnd& end,
             bool counts, Context& context) {
  ++owner.ends;
  auto run = target.runs.find(end.task);
  const bool current =
      run != target.runs.end() && run->second.number == end.run;
  if (current) {
    if (!end.checkpoint.empty()) run->second.checkpoint = end.checkpoint;
    DropRun(owner, target, end.task);
  }
  const bool routine = end.kind == EndKind::kDone && counts;
  Note(context, routine ? Severity::kInfo : Severity::kWarn, "run_ended",
       {{"task", ToString(end.task)},
        {"run", std::to_string(end.run)},
        {"target", target.entry.id},
        {"how", std::string(ToString(end.kind))},
        {"counts", counts ? "yes" : "lease ran out before it was seen"}});
  Job* job = FindJob(owner, end.task.job);
  if (job == nullptr) return;
  if (Task* task = FindTask(*job, end.task)) {
    task->last_run = std::max(task->last_run, end.run);
    if (!task->done && !end.checkpoint.empty()) {
      task->checkpoint = end.checkpoint;
    }
  }
  owner.plan_due = true;
  if (!counts) return;
  if (end.kind == EndKind::kDone) TakeDone(owner, *job, end, context);
  if (end.kind == EndKind::kFailed) {
    TakeFailed(owner, target, *job, end, context);
  }
}

}  // namespace hyssopbarrow::fleet
