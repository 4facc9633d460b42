#include "Policy/job_table.h"

#include <algorithm>
#include <utility>

#include "Model/text.h"

namespace hyssopbarrow::fleet {
namespace {

std::size_t ToIndex(std::int64_t n) { return static_cast<std::size_t>(n); }

}  // namespace

Occurrence NewOccurrence(const JobSpec& spec, Instant due) {
  Occurrence occurrence;
  occurrence.due = due;
  for (const Step& step : spec.steps) {
    occurrence.steps.push_back(
        {.tasks = std::vector<Task>(ToIndex(step.count))});
  }
  return occurrence;
}

Task* FindTask(Job& job, const TaskName& name) {
  auto it = job.open_occurrences.find(name.occurrence);
  if (it == job.open_occurrences.end() || name.step < 0 || name.index < 0) {
    return nullptr;
  }
  std::vector<StepProgress>& steps = it->second.steps;
  if (ToIndex(name.step) >= steps.size()) return nullptr;
  std::vector<Task>& tasks = steps[ToIndex(name.step)].tasks;
  return ToIndex(name.index) < tasks.size() ? &tasks[ToIndex(name.index)]
                                            : nullptr;
}

const Step& StepOf(const Job& job, std::int64_t step) {
  return job.record.spec.steps[ToIndex(step)];
}

void ForEachTask(Job& job,
                 const std::function<void(const TaskName&, Task&)>& action) {
  for (auto& [number, occurrence] : job.open_occurrences) {
    TaskName name{job.record.id, number, 0, 0};
    for (StepProgress& step : occurrence.steps) {
      name.index = 0;
      for (Task& task : step.tasks) {
        action(name, task);
        ++name.index;
      }
      ++name.step;
    }
  }
}

bool AreDependenciesDone(const Job& job, const Occurrence& occurrence,
                         std::int64_t step) {
  const std::vector<std::int64_t>& dependencies = StepOf(job, step).depends_on;
  return std::all_of(
      dependencies.begin(), dependencies.end(), [&](std::int64_t dependency) {
        const StepProgress& progress = occurrence.steps[ToIndex(dependency)];
        return progress.done_tasks ==
               static_cast<std::int64_t>(progress.tasks.size());
      });
}

bool MarkTaskDone(Job& job, const TaskName& name) {
  Task* task = FindTask(job, name);
  if (task == nullptr || task->done) return false;
  StepProgress& step =
      job.open_occurrences[name.occurrence].steps[ToIndex(name.step)];
  if (StepOf(job, name.step).gang) {
    for (Task& member : step.tasks) member.done = true;
    step.done_tasks = static_cast<std::int64_t>(step.tasks.size());
  } else {
    task->done = true;
    ++step.done_tasks;
  }
  return true;
}

void CloseOccurrenceIfComplete(Job& job, std::int64_t occurrence) {
  auto it = job.open_occurrences.find(occurrence);
  if (it == job.open_occurrences.end()) return;
  for (const StepProgress& step : it->second.steps) {
    if (step.done_tasks < static_cast<std::int64_t>(step.tasks.size())) return;
  }
  job.finished_occurrences.insert(occurrence);
  job.open_occurrences.erase(it);
  const std::int64_t total_occurrences =
      std::max<std::int64_t>(1, job.record.spec.repeats);
  if (static_cast<std::int64_t>(job.finished_occurrences.size()) >=
      total_occurrences) {
    job.state = JobState::kCompleted;
  }
}

CriticalPath FindCriticalPath(const RunTimes& run_times, const Job& job,
                              const Occurrence& occurrence) {
  const std::vector<Step>& steps = job.record.spec.steps;
  /// The longest paths that end with each step.
  std::vector<CriticalPath> paths(steps.size());
  CriticalPath longest;
  for (std::size_t n = 0; n < steps.size(); ++n) {
    CriticalPath& path = paths[n];
    for (const std::int64_t dependency : steps[n].depends_on) {
      const CriticalPath& before = paths[ToIndex(dependency)];
      path.whole_ms = std::max(path.whole_ms, before.whole_ms);
      path.remaining_ms = std::max(path.remaining_ms, before.remaining_ms);
    }
    const StepProgress& progress = occurrence.steps[n];
    const std::int64_t expected_ms =
        ForecastRunTime(run_times, RunTimeKeyOf(job.record, steps[n]),
                        progress.run_times)
            .expected_ms;
    const bool complete =
        progress.done_tasks == static_cast<std::int64_t>(progress.tasks.size());
    path.whole_ms += expected_ms;
    if (!complete) path.remaining_ms += expected_ms;
    longest.whole_ms = std::max(longest.whole_ms, path.whole_ms);
    longest.remaining_ms = std::max(longest.remaining_ms, path.remaining_ms);
  }
  return longest;
}

}  // namespace hyssopbarrow::fleet
