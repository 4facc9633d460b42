#include "Policy/job_table.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "Model/json.h"
#include "Model/limits.h"
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

std::string DoneBits(const StepProgress& step) {
  std::string bits;
  for (const Task& task : step.tasks) bits += task.done ? '1' : '0';
  return bits;
}

/// Lists of target, instance and run. Built by moving: initializer lists of
/// JSON values copy them.
nlohmann::json AssignmentsToJson(const std::vector<Assignment>& assignments) {
  nlohmann::json::array_t list;
  list.reserve(assignments.size());
  for (const Assignment& assignment : assignments) {
    nlohmann::json::array_t fields;
    fields.reserve(3);
    fields.emplace_back(assignment.target);
    fields.emplace_back(assignment.started_unix_ms);
    fields.emplace_back(assignment.run);
    list.emplace_back(std::move(fields));
  }
  return list;
}

/// Returns a number from 0 to kMaxNumber; nothing for any other value.
std::optional<std::int64_t> ReadNumber(const nlohmann::json& value) {
  const std::optional<std::int64_t> n = AsInteger(value);
  const bool valid = n.has_value() && *n >= 0 && *n <= kMaxNumber;
  return valid ? n : std::nullopt;
}

/// Returns false if `list` has other values than ReadNumber returns.
bool ReadNumbers(const nlohmann::json& list, std::set<std::int64_t>& out) {
  if (!list.is_array()) return false;
  for (const nlohmann::json& value : list) {
    const std::optional<std::int64_t> n = ReadNumber(value);
    if (!n.has_value()) return false;
    out.insert(*n);
  }
  return true;
}

absl::Status InvalidNumber(std::string_view field) {
  return absl::InvalidArgumentError(
      StrCat("field '", field, "' has a number that is out of range"));
}

/// Returns the object in field `name`, empty if it is absent. Throws nlohmann's
/// type_error for any other value.
nlohmann::json ReadObject(const nlohmann::json& row, const char* name) {
  const nlohmann::json value = row.value(name, nlohmann::json::object());
  return value.get_ref<const nlohmann::json::object_t&>();
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

nlohmann::json ProgressRow(const Job& job) {
  using nlohmann::json;
  json row = {{"state", ToString(job.state)}, {"has_run", job.has_run}};
  if (IsFinal(job.state)) return row;
  if (!job.finished_occurrences.empty()) {
    row["finished"] = job.finished_occurrences;
  }
  json::object_t done;
  json::object_t sent;
  json::object_t failures;
  json::object_t saved;
  for (const auto& [number, occurrence] : job.open_occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const StepProgress& step = occurrence.steps[s];
      const std::string name = StrCat(number, ".", s);
      if (step.done_tasks > 0) done[name] = DoneBits(step);
      for (std::size_t n = 0; n < step.tasks.size(); ++n) {
        const Task& task = step.tasks[n];
        if (task.done) continue;
        if (!task.assignments.empty()) {
          sent[StrCat(name, ".", n)] = AssignmentsToJson(task.assignments);
        }
        if (!task.failed_runs.empty()) {
          failures[StrCat(name, ".", n)] = task.failed_runs;
        }
        if (!task.crashed_runs.empty()) {
          row["crashes"][StrCat(name, ".", n)] = task.crashed_runs;
        }
        if (!task.checkpoint.empty()) {
          saved[StrCat(name, ".", n)] = task.checkpoint;
        }
      }
    }
  }
  if (!done.empty()) row["done"] = std::move(done);
  if (!sent.empty()) row["sent"] = std::move(sent);
  if (!failures.empty()) row["failures"] = std::move(failures);
  if (!saved.empty()) row["saved"] = std::move(saved);
  return row;
}

absl::Status ApplyProgress(const nlohmann::json& row, Instant now, Job& job) {
  const auto task_at = [&](const std::string& name) -> Task* {
    const auto parsed = ParseTaskName(StrCat(job.record.id, ".", name));
    const std::int64_t occurrences =
        std::max<std::int64_t>(1, job.record.spec.repeats);
    const bool exists = parsed.has_value() && parsed->occurrence >= 0 &&
                        parsed->occurrence < occurrences;
    if (!exists) return nullptr;
    const bool opens = job.open_occurrences.count(parsed->occurrence) == 0;
    if (opens && job.open_occurrences.size() >= kMaxOpenOccurrences) {
      return nullptr;
    }
    job.open_occurrences.try_emplace(parsed->occurrence,
                                     NewOccurrence(job.record.spec, now));
    return FindTask(job, *parsed);
  };
  try {
    const auto state = ParseJobState(row.at("state").get<std::string>());
    if (!state.has_value()) {
      return absl::InvalidArgumentError("field 'state' has an unknown value");
    }
    job.state = *state;
    job.has_run = row.value("has_run", false);
    const bool finished_readable =
        !row.contains("finished") ||
        ReadNumbers(row["finished"], job.finished_occurrences);
    if (!finished_readable) return InvalidNumber("finished");
    const nlohmann::json done = ReadObject(row, "done");
    const nlohmann::json failures = ReadObject(row, "failures");
    const nlohmann::json crashes = ReadObject(row, "crashes");
    const nlohmann::json saved_by_task = ReadObject(row, "saved");
    const nlohmann::json sent_by_task = ReadObject(row, "sent");
    for (const auto& [name, bits] : done.items()) {
      const auto text = bits.get<std::string>();
      for (std::size_t n = 0; n < text.size(); ++n) {
        Task* task = task_at(StrCat(name, ".", n));
        if (task == nullptr) {
          return absl::InvalidArgumentError(
              "field 'done' names an unknown task");
        }
        task->done = text[n] == '1';
      }
    }
    for (const auto& [name, failed_runs] : failures.items()) {
      Task* task = task_at(name);
      if (task != nullptr && !ReadNumbers(failed_runs, task->failed_runs)) {
        return InvalidNumber("failures");
      }
    }
    for (const auto& [name, crashed_runs] : crashes.items()) {
      Task* task = task_at(name);
      if (task == nullptr) continue;
      for (const nlohmann::json& run : crashed_runs) {
        const std::optional<std::int64_t> number = ReadNumber(run.at(0));
        const std::optional<std::int64_t> evidence = ReadNumber(run.at(1));
        const bool valid =
            number.has_value() && evidence.has_value() &&
            *evidence <= static_cast<std::int64_t>(CrashEvidence::kCertain);
        if (!valid) return InvalidNumber("crashes");
        task->crashed_runs[*number] = static_cast<CrashEvidence>(*evidence);
      }
    }
    for (const auto& [name, saved] : saved_by_task.items()) {
      if (Task* task = task_at(name)) saved.get_to(task->checkpoint);
    }
    for (const auto& [name, list] : sent_by_task.items()) {
      Task* task = task_at(name);
      if (task == nullptr) {
        return absl::InvalidArgumentError("field 'sent' names an unknown task");
      }
      for (const nlohmann::json& assignment : list) {
        const auto started_unix_ms = ReadNumber(assignment.at(1));
        const auto run = ReadNumber(assignment.at(2));
        const bool valid = started_unix_ms.has_value() && run.has_value();
        if (!valid) return InvalidNumber("sent");
        task->assignments.push_back(
            {.target = assignment.at(0).get<std::string>(),
             .started_unix_ms = *started_unix_ms,
             .run = *run});
        task->last_run = std::max(task->last_run, task->assignments.back().run);
      }
    }
  } catch (const nlohmann::json::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
  for (auto& [number, occurrence] : job.open_occurrences) {
    for (StepProgress& step : occurrence.steps) {
      step.done_tasks =
          std::count_if(step.tasks.begin(), step.tasks.end(),
                        [](const Task& task) { return task.done; });
    }
  }
  return absl::OkStatus();
}

}  // namespace hyssopbarrow::fleet
