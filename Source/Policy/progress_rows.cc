#include "Policy/progress_rows.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "Model/json.h"
#include "Model/limits.h"
#include "Model/text.h"

namespace hyssopbarrow::fleet {
namespace {

using nlohmann::json;

std::size_t ToIndex(std::int64_t n) { return static_cast<std::size_t>(n); }

std::int64_t Size(const std::vector<Task>& tasks) {
  return static_cast<std::int64_t>(tasks.size());
}

std::int64_t CountTasks(const Occurrence& occurrence) {
  std::int64_t count = 0;
  for (const StepProgress& step : occurrence.steps) count += Size(step.tasks);
  return count;
}

/// Calls `action(step, index, task)` for the tasks of the range.
template <typename OccurrenceType, typename Action>
void ForTasksInRange(OccurrenceType& occurrence, std::int64_t first,
                     std::int64_t end, const Action& action) {
  std::int64_t before = 0;  // Tasks of earlier steps.
  for (std::size_t s = 0; s < occurrence.steps.size() && before < end; ++s) {
    auto& tasks = occurrence.steps[s].tasks;
    const std::int64_t last = std::min(Size(tasks), end - before);
    for (std::int64_t n = std::max<std::int64_t>(0, first - before); n < last;
         ++n) {
      action(s, n, tasks[ToIndex(n)]);
    }
    before += Size(tasks);
  }
}

/// Lists of target, instance, run and, if it is known, address. Built by
/// moving: initializer lists of JSON values copy them.
json AssignmentsToJson(const std::vector<Assignment>& assignments) {
  json::array_t list;
  list.reserve(assignments.size());
  for (const Assignment& assignment : assignments) {
    json::array_t fields;
    fields.reserve(4);
    fields.emplace_back(assignment.target);
    fields.emplace_back(assignment.started_unix_ms);
    fields.emplace_back(assignment.run);
    if (!assignment.address.empty()) fields.emplace_back(assignment.address);
    list.emplace_back(std::move(fields));
  }
  return list;
}

/// Collects the progress of tasks for a row.
class TaskFields {
 public:
  void Add(std::int64_t number, const Occurrence& occurrence,
           std::int64_t first, std::int64_t end) {
    ForTasksInRange(occurrence, first, end,
                    [&](std::size_t step, std::int64_t index,
                        const Task& task) { Add(number, step, index, task); });
  }

  void MoveTo(json& row) {
    const auto put = [&row](const char* name, json::object_t& tasks) {
      if (!tasks.empty()) row[name] = std::move(tasks);
    };
    put("done", done_);
    put("sent", sent_);
    put("failures", failures_);
    put("crashes", crashes_);
    put("saved", saved_);
  }

 private:
  void Add(std::int64_t number, std::size_t step, std::int64_t index,
           const Task& task) {
    if (task.done) {
      json& bits = done_[StrCat(number, ".", step)];
      if (bits.is_null()) bits = std::string();
      auto& text = bits.get_ref<std::string&>();
      text.resize(ToIndex(index), '0');
      text += '1';
      return;
    }
    const auto name = [&] { return StrCat(number, ".", step, ".", index); };
    if (!task.assignments.empty()) {
      sent_[name()] = AssignmentsToJson(task.assignments);
    }
    if (!task.failed_runs.empty()) failures_[name()] = task.failed_runs;
    if (!task.crashed_runs.empty()) crashes_[name()] = task.crashed_runs;
    if (!task.checkpoint.empty()) saved_[name()] = task.checkpoint;
  }

  json::object_t done_;
  json::object_t sent_;
  json::object_t failures_;
  json::object_t crashes_;
  json::object_t saved_;
};

/// Returns a number from 0 to kMaxNumber; nothing for any other value.
std::optional<std::int64_t> ReadNumber(const json& value) {
  const std::optional<std::int64_t> n = AsInteger(value);
  const bool valid = n.has_value() && *n >= 0 && *n <= kMaxNumber;
  return valid ? n : std::nullopt;
}

/// Returns false if `list` has other values than ReadNumber returns.
bool ReadNumbers(const json& list, std::set<std::int64_t>& out) {
  if (!list.is_array()) return false;
  for (const json& value : list) {
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
json ReadObject(const json& row, const char* name) {
  const json value = row.value(name, json::object());
  return value.get_ref<const json::object_t&>();
}

/// Ranges `[first, last]` of consecutive numbers.
json ToRanges(const std::set<std::int64_t>& numbers) {
  json ranges = json::array();
  for (const std::int64_t n : numbers) {
    if (!ranges.empty() && ranges.back()[1] == n - 1) {
      ranges.back()[1] = n;
    } else {
      ranges.push_back({n, n});
    }
  }
  return ranges;
}

/// Reads ranges, or the numbers that earlier versions wrote. Returns nothing if
/// `list` has other values.
std::optional<std::set<std::int64_t>> ParseRanges(const json& list,
                                                  std::int64_t end) {
  if (!list.is_array()) return std::nullopt;
  std::set<std::int64_t> numbers;
  for (const json& item : list) {
    const bool is_range = item.is_array();
    const auto first = ReadNumber(is_range ? item.at(0) : item);
    const auto last = ReadNumber(is_range ? item.at(1) : item);
    if (!first.has_value() || !last.has_value()) return std::nullopt;
    for (std::int64_t n = *first; n <= *last && n < end; ++n) {
      numbers.insert(numbers.end(), n);
    }
  }
  return numbers;
}

void MixInto(std::uint64_t& digest, std::uint64_t n) {
  constexpr std::uint64_t kFactor = 0x9e3779b97f4a7c15;
  constexpr unsigned kShift = 29;
  digest = (digest ^ n) * kFactor;
  digest ^= digest >> kShift;
}

void MixInto(std::uint64_t& digest, const std::string& text) {
  MixInto(digest, std::hash<std::string>()(text));
}

bool HasProgress(const Task& task) {
  return task.done || !task.assignments.empty() || !task.failed_runs.empty() ||
         !task.crashed_runs.empty() || !task.checkpoint.empty();
}

/// Digest of what a row of the tasks would hold; 0 if there is no progress.
std::uint64_t DigestOf(const Occurrence& occurrence, std::int64_t first,
                       std::int64_t end) {
  std::uint64_t digest = 0;
  // Rows of a different number of tasks differ.
  const auto range_end = static_cast<std::uint64_t>(end);
  ForTasksInRange(
      occurrence, first, end,
      [&](std::size_t step, std::int64_t index, const Task& task) {
        if (!HasProgress(task)) return;
        if (digest == 0) MixInto(digest, range_end);
        MixInto(digest, step + 1);
        MixInto(digest, ToIndex(index));
        MixInto(digest, task.done ? 1 : 2);
        if (task.done) return;
        MixInto(digest, task.assignments.size());
        for (const Assignment& assignment : task.assignments) {
          MixInto(digest, assignment.target);
          MixInto(digest, assignment.address);
          MixInto(digest, static_cast<std::uint64_t>(assignment.run));
          MixInto(digest,
                  static_cast<std::uint64_t>(assignment.started_unix_ms));
        }
        MixInto(digest, task.failed_runs.size());
        for (const std::int64_t run : task.failed_runs) {
          MixInto(digest, static_cast<std::uint64_t>(run));
        }
        MixInto(digest, task.crashed_runs.size());
        for (const auto& [run, evidence] : task.crashed_runs) {
          MixInto(digest, static_cast<std::uint64_t>(run));
          MixInto(digest, static_cast<std::uint64_t>(evidence));
        }
        MixInto(digest, task.checkpoint);
      });
  return digest;
}

std::int64_t OccurrenceCount(const Job& job) {
  return std::max<std::int64_t>(1, job.record.spec.repeats);
}

/// Applies the progress of tasks in a row. Throws if a field has a wrong type.
absl::Status ApplyTasks(const json& row, Instant now, Job& job) {
  const auto task_at = [&](const std::string& name) -> Task* {
    const auto parsed = ParseTaskName(StrCat(job.record.id, ".", name));
    const bool exists = parsed.has_value() && parsed->occurrence >= 0 &&
                        parsed->occurrence < OccurrenceCount(job);
    if (!exists) return nullptr;
    const bool opens = job.open_occurrences.count(parsed->occurrence) == 0;
    if (opens && job.open_occurrences.size() >= kMaxOpenOccurrences) {
      return nullptr;
    }
    job.open_occurrences.try_emplace(parsed->occurrence,
                                     NewOccurrence(job.record.spec, now));
    return FindTask(job, *parsed);
  };
  const json done = ReadObject(row, "done");
  const json failures = ReadObject(row, "failures");
  const json crashes = ReadObject(row, "crashes");
  const json saved_by_task = ReadObject(row, "saved");
  const json sent_by_task = ReadObject(row, "sent");
  for (const auto& [name, bits] : done.items()) {
    const auto text = bits.get<std::string>();
    for (std::size_t n = 0; n < text.size(); ++n) {
      Task* task = task_at(StrCat(name, ".", n));
      if (task == nullptr) {
        return absl::InvalidArgumentError("field 'done' names an unknown task");
      }
      if (text[n] == '1') task->done = true;
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
    for (const json& run : crashed_runs) {
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
    for (const json& assignment : list) {
      const auto started_unix_ms = ReadNumber(assignment.at(1));
      const auto run = ReadNumber(assignment.at(2));
      const bool valid = started_unix_ms.has_value() && run.has_value();
      if (!valid) return InvalidNumber("sent");
      const bool has_address = assignment.size() > 3;
      task->assignments.push_back(
          {.target = assignment.at(0).get<std::string>(),
           .started_unix_ms = *started_unix_ms,
           .run = *run,
           .address = has_address ? assignment.at(3).get<std::string>() : ""});
      task->last_run = std::max(task->last_run, task->assignments.back().run);
    }
  }
  return absl::OkStatus();
}

void CountDoneTasks(Job& job) {
  for (auto& [number, occurrence] : job.open_occurrences) {
    for (StepProgress& step : occurrence.steps) {
      step.done_tasks =
          std::count_if(step.tasks.begin(), step.tasks.end(),
                        [](const Task& task) { return task.done; });
    }
  }
}

bool IsOpenOrNew(const Job& job, std::int64_t occurrence) {
  return !IsFinal(job.state) && occurrence >= 0 &&
         occurrence < OccurrenceCount(job) &&
         job.finished_occurrences.count(occurrence) == 0;
}

}  // namespace

json ProgressRow(const Job& job, bool with_tasks) {
  json row = {{"state", ToString(job.state)}, {"has_run", job.has_run}};
  if (IsFinal(job.state)) return row;
  if (!job.finished_occurrences.empty()) {
    row["finished"] = ToRanges(job.finished_occurrences);
  }
  if (!with_tasks) return row;
  TaskFields fields;
  for (const auto& [number, occurrence] : job.open_occurrences) {
    fields.Add(number, occurrence, 0, CountTasks(occurrence));
  }
  fields.MoveTo(row);
  return row;
}

absl::Status ApplyProgress(const json& row, Instant now, Job& job) {
  try {
    const auto state = ParseJobState(row.at("state").get<std::string>());
    if (!state.has_value()) {
      return absl::InvalidArgumentError("field 'state' has an unknown value");
    }
    job.state = *state;
    job.has_run = row.value("has_run", false);
    if (row.contains("finished")) {
      auto finished = ParseRanges(row["finished"], OccurrenceCount(job));
      if (!finished.has_value()) return InvalidNumber("finished");
      job.finished_occurrences = *std::move(finished);
    }
    if (absl::Status s = ApplyTasks(row, now, job); !s.ok()) return s;
  } catch (const json::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
  job.tasks_in_job_row = !job.open_occurrences.empty();
  CountDoneTasks(job);
  return absl::OkStatus();
}

std::string TaskRowSuffix(const TaskRange& tasks) {
  return StrCat(".", tasks.occurrence, ".", tasks.first);
}

std::optional<TaskRange> ParseTaskRowSuffix(std::string_view suffix) {
  const std::vector<std::string> parts = Split(suffix, '.');
  if (parts.size() != 3 || !parts[0].empty()) return std::nullopt;
  const auto occurrence = ParseInteger<std::int64_t>(parts[1]);
  const auto first = ParseInteger<std::int64_t>(parts[2]);
  if (!occurrence.has_value() || !first.has_value()) return std::nullopt;
  return TaskRange{.occurrence = *occurrence, .first = *first};
}

TaskRange PositionOf(const Job& job, const TaskName& name) {
  TaskRange position{.occurrence = name.occurrence, .first = name.index};
  for (std::int64_t s = 0; s < name.step; ++s) {
    position.first += StepOf(job, s).count;
  }
  return position;
}

json TaskRow(const Job& job, const TaskRange& tasks,
             std::int64_t tasks_per_row) {
  const std::int64_t end = tasks.first + tasks_per_row;
  json row = {{"end", end}};
  const auto it = job.open_occurrences.find(tasks.occurrence);
  if (it == job.open_occurrences.end()) return row;
  TaskFields fields;
  fields.Add(tasks.occurrence, it->second, tasks.first, end);
  fields.MoveTo(row);
  return row;
}

absl::Status ApplyTaskRow(const TaskRange& tasks, const json& row, Instant now,
                          Job& job) {
  std::uint64_t& digest = job.task_rows[tasks] = 0;
  if (!IsOpenOrNew(job, tasks.occurrence)) return absl::OkStatus();
  Occurrence& occurrence =
      job.open_occurrences
          .try_emplace(tasks.occurrence, NewOccurrence(job.record.spec, now))
          .first->second;
  try {
    const auto read_end = ReadNumber(row.at("end"));
    if (!read_end.has_value()) return InvalidNumber("end");
    const std::int64_t end = *read_end;
    ForTasksInRange(
        occurrence, tasks.first, end,
        [](std::size_t, std::int64_t, Task& task) { task = Task{}; });
    if (absl::Status s = ApplyTasks(row, now, job); !s.ok()) return s;
    digest = DigestOf(occurrence, tasks.first, end);
  } catch (const json::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
  return absl::OkStatus();
}

void FinishRestoring(Job& job) {
  // The rows of a gang may be from different commits.
  for (auto& [number, occurrence] : job.open_occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      std::vector<Task>& tasks = occurrence.steps[s].tasks;
      const bool done = job.record.spec.steps[s].gang &&
                        std::any_of(tasks.begin(), tasks.end(),
                                    [](const Task& task) { return task.done; });
      if (!done) continue;
      for (Task& task : tasks) task.done = true;
    }
  }
  CountDoneTasks(job);
}

TaskRowChanges FindTaskRowChanges(const Job& job, std::int64_t tasks_per_row) {
  TaskRowChanges changes;
  std::int64_t open_tasks = 0;
  if (!IsFinal(job.state)) {
    for (const auto& [number, occurrence] : job.open_occurrences) {
      open_tasks += CountTasks(occurrence);
    }
  }
  changes.split = !job.task_rows.empty() || open_tasks > tasks_per_row;
  if (!changes.split) return changes;
  std::set<TaskRange> kept;
  if (open_tasks > 0) {
    for (const auto& [number, occurrence] : job.open_occurrences) {
      const std::int64_t count = CountTasks(occurrence);
      for (std::int64_t first = 0; first < count; first += tasks_per_row) {
        const std::uint64_t digest =
            DigestOf(occurrence, first, first + tasks_per_row);
        if (digest == 0) continue;
        const TaskRange tasks{.occurrence = number, .first = first};
        kept.insert(tasks);
        const auto stored = job.task_rows.find(tasks);
        const bool same =
            stored != job.task_rows.end() && stored->second == digest;
        if (!same) changes.written.emplace_back(tasks, digest);
      }
    }
  }
  for (const auto& [tasks, digest] : job.task_rows) {
    if (kept.count(tasks) == 0) changes.removed.push_back(tasks);
  }
  return changes;
}

}  // namespace hyssopbarrow::fleet
