#ifndef HYSSOPBARROW_POLICY_JOB_TABLE_H_
#define HYSSOPBARROW_POLICY_JOB_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Model/job.h"
#include "Model/time.h"
#include "Policy/fleet_effects.h"
#include "Policy/run_times.h"

namespace hyssopbarrow::fleet {

/// Per job. Further occurrences open once earlier ones are complete.
constexpr std::size_t kMaxOpenOccurrences = 64;

/// How sure it is that a run crashed its target. The values are stored.
enum class CrashEvidence {
  kUnconfirmed = 0,  ///< The target may never have received the start.
  kShared = 1,       ///< Other runs may have been the cause too.
  kCertain = 2,      ///< No other run can have been the cause.
};

/// A run of a task on a target.
struct Assignment {
  std::string target;
  std::int64_t started_unix_ms = 0;  ///< Instance of the target.
  std::int64_t run = 0;
  /// Of the target, if the task is long-running and the address fits into the
  /// row. A new owner needs it while the target's entry is missing.
  std::string address{};

  friend bool operator==(const Assignment&, const Assignment&) = default;
};

/// Progress of a task.
struct Task {
  bool done = false;
  /// Numbers of the runs that failed. A set, because a target reports an end
  /// repeatedly until it is acknowledged.
  std::set<std::int64_t> failed_runs;
  /// Runs that may have crashed their target, by number.
  std::map<std::int64_t, CrashEvidence> crashed_runs;
  /// How long a task with crashed runs waits for a target of its own.
  std::optional<Instant> isolation_deadline;
  std::string checkpoint;
  std::int64_t last_run = 0;            ///< Highest run number known.
  std::vector<Assignment> assignments;  ///< Current runs.
  Instant earliest_start{};
  std::set<std::string> failed_targets;  ///< Targets where a run failed.
};

/// Progress of a step in one occurrence.
struct StepProgress {
  std::vector<Task> tasks;
  std::int64_t done_tasks = 0;
  StepRunTimes run_times;  ///< Of runs that this owner has started.
};

/// One repetition of a timed job, or the only one of any other job.
struct Occurrence {
  std::vector<StepProgress> steps;
  Instant due{};
};

/// Tasks of an occurrence whose progress has a row of its own. They are counted
/// through all steps.
struct TaskRange {
  std::int64_t occurrence = 0;
  std::int64_t first = 0;

  friend auto operator<=>(const TaskRange&, const TaskRange&) = default;
};

/// A job and its progress.
struct Job {
  JobRecord record;
  /// Running once a run is planned; see VisibleState for what callers see.
  JobState state = JobState::kPending;
  std::map<std::int64_t, Occurrence> open_occurrences;  ///< Begun, by number.
  std::set<std::int64_t> finished_occurrences;
  Instant accepted_at{};
  std::int64_t counted_bytes = 0;   ///< Part of Owner::job_bytes.
  bool has_run = false;             ///< A target has confirmed a run of a task.
  bool final_state_stored = false;  ///< The final state is in the store.
  Instant finished_at{};
  std::int64_t next_occurrence = 0;  ///< First one that is not open yet.
  /// Rows of tasks that may be in the store, with a digest of what they hold;
  /// 0 if that is not known.
  std::map<TaskRange, std::uint64_t> task_rows;
  /// The row of the job in the store may hold the progress of tasks, too.
  bool tasks_in_job_row = false;
};

/// An occurrence in which no task is done.
Occurrence NewOccurrence(const JobSpec& spec, Instant due);

/// Returns null if `name` is not in an open occurrence of the job.
Task* FindTask(Job& job, const TaskName& name);
const Step& StepOf(const Job& job, std::int64_t step);

/// Calls `action` for each task of the open occurrences.
void ForEachTask(Job& job,
                 const std::function<void(const TaskName&, Task&)>& action);

/// True if all steps that `step` depends on are complete.
bool AreDependenciesDone(const Job& job, const Occurrence& occurrence,
                         std::int64_t step);

/// Marks a task as done, or all tasks of its step if that is a gang. Returns
/// false if the task was done already or is not open.
bool MarkTaskDone(Job& job, const TaskName& name);

/// Closes the occurrence if all its steps are complete. Sets the job's state to
/// completed after the last occurrence.
void CloseOccurrenceIfComplete(Job& job, std::int64_t occurrence);

/// Expected milliseconds on the longest path through the steps of an
/// occurrence.
struct CriticalPath {
  std::int64_t whole_ms = 0;
  std::int64_t remaining_ms = 0;  ///< Through the incomplete steps.

  friend bool operator==(const CriticalPath&, const CriticalPath&) = default;
};

CriticalPath FindCriticalPath(const RunTimes& run_times, const Job& job,
                              const Occurrence& occurrence);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_JOB_TABLE_H_
