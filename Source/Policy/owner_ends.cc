#include "Policy/owner_ends.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "Model/text.h"
#include "Policy/job_memory.h"
#include "Policy/owner_runs.h"
#include "Policy/row_sizes.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// Number of different jobs that fail on a target before it is avoided.
constexpr std::size_t kFailedJobsBeforeAvoiding = 3;
constexpr Duration kAvoidFailing = milliseconds(6000);

/// Stops the other runs of a task that one run has completed.
void StopOtherRuns(Owner& owner, Job& job, const TaskName& name,
                   Context& context) {
  const Task* task = FindTask(job, name);
  if (task == nullptr) return;
  for (const Assignment& assignment :
       std::vector<Assignment>(task->assignments)) {
    StopRun(owner, owner.targets.at(assignment.target), name,
            "another run completed the task", context);
  }
}

/// Learns from a run that ended as done. Left out are runs that resumed from a
/// checkpoint, those far from their data and those that use what others leave,
/// which take longer for reasons of their own.
void LearnFromRun(Owner& owner, const TargetView& target, const Run& run,
                  const TaskName& name, Instant now) {
  Job* job = FindJob(owner, name.job);
  const Task* task = job == nullptr ? nullptr : FindTask(*job, name);
  if (task == nullptr || task->done || !run.measured_from) return;
  const Step& step = StepOf(*job, name.step);
  const bool near_data =
      step.data_rack.empty() || HasLabel(target.entry, step.data_rack);
  if (step.long_running || step.background || !near_data) return;
  StepProgress& progress = job->open_occurrences.at(name.occurrence)
                               .steps[static_cast<std::size_t>(name.step)];
  RecordRunTime(owner.run_times, RunTimeKeyOf(job->record, step),
                progress.run_times, now - *run.measured_from);
}

void HandleTaskDone(Owner& owner, Job& job, const RunEnd& end,
                    Context& context) {
  const Step& step = StepOf(job, end.task.step);
  if (step.long_running || IsFinal(job.state)) return;
  if (!MarkTaskDone(job, end.task)) return;
  owner.placeable_jobs.insert(job.record.id);
  MarkJobChanged(owner, job);
  StopOtherRuns(owner, job, end.task, context);
  const std::size_t open = job.open_occurrences.size();
  CloseOccurrenceIfComplete(job, end.task.occurrence);
  if (job.open_occurrences.size() != open) CountJobBytes(owner, job);
  if (job.state == JobState::kCompleted) {
    FinishJob(owner, job, JobState::kCompleted, "all tasks are done", context);
  }
}

void HandleTaskFailed(Owner& owner, TargetView& target, Job& job,
                      const RunEnd& end, Context& context) {
  Task* task = FindTask(job, end.task);
  if (task == nullptr || task->done || IsFinal(job.state)) return;
  const Step& step = StepOf(job, end.task.step);
  if (!step.long_running && !task->failed_runs.insert(end.run).second) return;
  task->failed_targets.insert(target.entry.id);
  target.failed_jobs.insert(job.record.id);
  if (target.failed_jobs.size() >= kFailedJobsBeforeAvoiding) {
    target.failed_jobs.clear();
    target.avoid_until = context.time.now + kAvoidFailing;
    Log(context, Severity::kWarn, "target_avoided",
        {{"target", target.entry.id},
         {"reason", "tasks of several jobs failed"}});
  }
  MarkJobChanged(owner, job);
  const Queue* queue =
      context.configuration == nullptr
          ? nullptr
          : FindQueue(*context.configuration, job.record.queue);
  if (step.long_running) return;
  // The progress row has room for so many.
  const std::int64_t attempts =
      std::min(queue == nullptr ? job.record.max_attempts : queue->max_attempts,
               MaxStoredFailures(job.record));
  const auto failures = static_cast<std::int64_t>(task->failed_runs.size());
  if (failures >= attempts) {
    FinishJob(
        owner, job, JobState::kFailed,
        StrCat("task ", ToString(end.task), " failed ", failures, " times"),
        context);
  }
}

}  // namespace

void HandleRunEnd(Owner& owner, TargetView& target, const RunEnd& end,
                  Context& context) {
  ++owner.end_count;
  auto run = target.runs.find(end.task);
  const bool current =
      run != target.runs.end() && run->second.number == end.run;
  if (current) {
    if (!end.checkpoint.empty()) run->second.checkpoint = end.checkpoint;
    if (end.kind == RunEndKind::kDone) {
      LearnFromRun(owner, target, run->second, end.task, context.time.now);
    }
    DropRun(owner, target, end.task);
  }
  const bool routine = end.kind == RunEndKind::kDone;
  Log(context, routine ? Severity::kInfo : Severity::kWarn, "run_ended",
      {{"task", ToString(end.task)},
       {"run", std::to_string(end.run)},
       {"target", target.entry.id},
       {"kind", std::string(ToString(end.kind))}});
  Job* job = FindJob(owner, end.task.job);
  if (job == nullptr) return;
  job->has_run = true;
  if (Task* task = FindTask(*job, end.task)) {
    task->last_run = std::max(task->last_run, end.run);
    if (!task->done && !end.checkpoint.empty()) {
      task->checkpoint = end.checkpoint;
    }
  }
  owner.placement_due = true;
  if (end.kind == RunEndKind::kDone) HandleTaskDone(owner, *job, end, context);
  if (end.kind == RunEndKind::kFailed) {
    HandleTaskFailed(owner, target, *job, end, context);
  }
}

}  // namespace hyssopbarrow::fleet
