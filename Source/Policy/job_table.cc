#include "Policy/job_table.h"

#include <algorithm>
#include <utility>

#include "Model/text.h"

namespace hyssopbarrow::fleet {
namespace {

/// Used for tasks whose caller gave no estimate.
constexpr std::int64_t kDefaultEstimateMs = 1000;

std::size_t ToIndex(std::int64_t n) { return static_cast<std::size_t>(n); }

std::int64_t EstimateMs(const Step& step) {
  return step.estimate_ms > 0 ? step.estimate_ms : kDefaultEstimateMs;
}

/// Length of the longest path through the steps if step `n` takes `cost(n)`.
template <typename Cost>
std::int64_t LongestPathMs(const JobSpec& spec, const Cost& cost) {
  std::vector<std::int64_t> longest_to(spec.steps.size(), 0);
  std::int64_t longest = 0;
  for (std::size_t n = 0; n < spec.steps.size(); ++n) {
    std::int64_t longest_before = 0;
    for (const std::int64_t dependency : spec.steps[n].depends_on) {
      longest_before =
          std::max(longest_before, longest_to[ToIndex(dependency)]);
    }
    longest_to[n] = longest_before + cost(n);
    longest = std::max(longest, longest_to[n]);
  }
  return longest;
}

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

std::int64_t RemainingCriticalPathMs(const Job& job,
                                     const Occurrence& occurrence) {
  const JobSpec& spec = job.record.spec;
  return LongestPathMs(spec, [&](std::size_t n) -> std::int64_t {
    const StepProgress& step = occurrence.steps[n];
    const bool complete =
        step.done_tasks == static_cast<std::int64_t>(step.tasks.size());
    return complete ? 0 : EstimateMs(spec.steps[n]);
  });
}

std::int64_t WholeCriticalPathMs(const JobSpec& spec) {
  return LongestPathMs(spec, [&](std::size_t n) -> std::int64_t {
    return EstimateMs(spec.steps[n]);
  });
}

}  // namespace hyssopbarrow::fleet
