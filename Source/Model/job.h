#ifndef HYSSOPBARROW_MODEL_JOB_H_
#define HYSSOPBARROW_MODEL_JOB_H_

#include <compare>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Model/fleet.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace hyssopbarrow::fleet {

/// A set of identical tasks that may run in parallel.
struct Step {
  std::int64_t count = 1;                ///< Number of tasks.
  Resources resources;                   ///< Of one task.
  std::int64_t estimate_ms = 0;          ///< Estimated run time of one task.
  std::vector<std::int64_t> depends_on;  ///< Indexes of earlier steps.
  bool checkpoints = false;    ///< Tasks can resume from a checkpoint.
  bool gang = false;           ///< Gang: tasks progress only while all run.
  bool same_rack = false;      ///< Gang runs slowly across racks.
  std::string required_label;  ///< Label the target must have.
  std::string data_rack;       ///< Rack with the data; tasks run faster there.
  std::int64_t max_per_target = 0;  ///< Tasks on one target; 0: no limit.
  bool allows_copies = false;       ///< A task may have two runs at a time.
  bool long_running = false;        ///< Tasks run until the job is cancelled.
  std::string image;
  /// Upper bound for the tail of the response times of a task that serves
  /// requests.
  std::int64_t tail_latency_target_ms = 0;
  bool background = false;  ///< Tasks use only idle capacity.
  /// Long-running tasks that may be without a run at the same time.
  std::int64_t max_unavailable_tasks = 0;

  friend bool operator==(const Step&, const Step&) = default;
};

/// A job as a caller submits it.
struct JobSpec {
  std::string payload;  ///< Passed to the tasks unchanged.
  std::vector<Step> steps;
  /// Number of scheduled occurrences; 0 runs the job once, immediately.
  std::int64_t repeats = 0;
  std::int64_t start_ms = 0;     ///< Unix milliseconds of the first one.
  std::int64_t interval_ms = 0;  ///< Between occurrences.

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

/// Checks the number of steps and tasks and the range of each value.
/// Errors: kInvalidArgument naming the field that is out of range.
absl::Status Validate(const JobSpec& spec);

/// A job as stored when it was accepted.
struct JobRecord {
  std::string id;
  std::string queue;
  std::string pool;              ///< Pool of the queue at acceptance.
  std::string team;              ///< Empty for a call without a key.
  std::int64_t accepted_ms = 0;  ///< Unix milliseconds.
  /// Copied from the queue, in case that is removed later.
  std::int64_t max_attempts = 1;
  JobSpec spec;

  friend bool operator==(const JobRecord&, const JobRecord&) = default;
};

enum class JobState { kPending, kRunning, kCompleted, kFailed, kCancelled };

std::string_view ToString(JobState state);
/// Returns nothing for an unknown name.
std::optional<JobState> ParseJobState(std::string_view text);
/// Returns true for kCompleted, kFailed and kCancelled.
bool IsFinal(JobState state);

/// Identifies one task of a job.
struct TaskName {
  std::string job;
  std::int64_t occurrence = 0;  ///< Number of the scheduled occurrence.
  std::int64_t step = 0;        ///< Index of the step in the job.
  std::int64_t index = 0;       ///< Index of the task in the step.

  friend auto operator<=>(const TaskName&, const TaskName&) = default;
};

/// Returns `JOB.OCCURRENCE.STEP.INDEX`.
std::string ToString(const TaskName& name);
/// Returns `JOB.OCCURRENCE.STEP` of a task.
std::string StepName(const TaskName& name);
/// Parses `JOB.OCCURRENCE.STEP.INDEX`; returns nothing for other text.
std::optional<TaskName> ParseTaskName(std::string_view text);

nlohmann::json ToJson(const JobRecord& record);

/// Parses and validates a job submitted through this project's own API.
/// Errors: kInvalidArgument naming the first field that is invalid or unknown.
absl::StatusOr<JobSpec> ParseJobSpec(const nlohmann::json& json);

/// Parses and validates the stored row of job `id`.
/// Errors: kInvalidArgument naming the job and the field.
absl::StatusOr<JobRecord> ParseJobRecord(std::string_view id,
                                         const nlohmann::json& json);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_MODEL_JOB_H_
