#ifndef HYSSOPBARROW_POLICY_JOB_TABLE_H_
#define HYSSOPBARROW_POLICY_JOB_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Model/job.h"
#include "Model/time.h"
#include "Policy/fleet_effects.h"

namespace hyssopbarrow::fleet {

/// Where a task was sent to run.
struct Assignment {
  std::string target;
  std::int64_t started_unix_ms = 0;  ///< Life of the target.
  std::int64_t run = 0;

  friend bool operator==(const Assignment&, const Assignment&) = default;
};

/// One task as its owner knows it.
struct Task {
  bool done = false;
  /// Runs that ended `failed`. Kept by number: a target lists an end again
  /// until it is acknowledged.
  std::set<std::int64_t> failed_runs;
  std::string checkpoint;
  std::int64_t last_run = 0;            ///< Highest run number known.
  std::vector<Assignment> assignments;  ///< Its runs on the books.
  Instant earliest_start{};
  std::set<std::string> failed_targets;  ///< Targets where it failed.
};

struct StepProgress {
  std::vector<Task> tasks;
  std::int64_t done_tasks = 0;
};

/// One timed run of a job, or the only run.
struct Occurrence {
  std::vector<StepProgress> steps;
  Instant due{};
};

/// A job as its owner knows it.
struct Job {
  JobRecord record;
  JobState state = JobState::kPending;
  std::map<std::int64_t, Occurrence>
      open_occurrences;  ///< Occurrences that have begun.
  std::set<std::int64_t>
      finished_occurrences;  ///< Occurrences that are complete.
  Instant accepted_at{};
  bool has_run = false;             ///< A task of it was started.
  bool final_state_stored = false;  ///< The final state is in the store.
  Instant finished_at{};
  std::int64_t next_occurrence = 0;  ///< First timed run not opened yet.
};

/// Steps of a new occurrence, nothing done.
Occurrence NewOccurrence(const JobSpec& spec, Instant due);

/// The task of that name; null if the job has no such task open.
Task* FindTask(Job& job, const TaskName& name);
const Step& StepOf(const Job& job, std::int64_t step);

/// Calls `action(name, task)` for each task of the open occurrences.
void ForEachTask(Job& job,
                 const std::function<void(const TaskName&, Task&)>& action);

/// True once all steps that `step` depends on are complete.
bool AreDependenciesDone(const Job& job, const Occurrence& occurrence,
                         std::int64_t step);

/// Notes that a task has ended `done`; returns whether that was news. One end
/// of a gang's member counts for all of the gang.
bool MarkTaskDone(Job& job, const TaskName& name);

/// Closes the occurrence if all of its steps are complete, and completes the
/// job with its last occurrence.
void CloseOccurrenceIfComplete(Job& job, std::int64_t occurrence);

/// Longest chain of estimated work that is left in `occurrence`, in ms.
std::int64_t RemainingCriticalPathMs(const Job& job,
                                     const Occurrence& occurrence);

/// Longest chain of estimated work of the whole job, in ms.
std::int64_t WholeCriticalPathMs(const JobSpec& spec);

/// The progress row of a job: what a later owner must know.
nlohmann::json ProgressRow(const Job& job);

/// Applies a progress row to a job that was just read.
/// Errors: kInvalidArgument naming the field.
absl::Status ApplyProgress(const nlohmann::json& row, Instant now, Job& job);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_JOB_TABLE_H_
