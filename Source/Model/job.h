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

/// Equal tasks that may run at the same time.
struct Step {
  std::int64_t count = 1;
  Resources resources;
  std::int64_t estimate_ms = 0;  ///< Rough run time of one task.
  std::vector<std::int64_t> depends_on;
  bool checkpoints = false;         ///< Tasks resume from checkpoints.
  bool gang = false;                ///< Tasks work only while all of them run.
  bool same_rack = false;           ///< The gang is slow across racks.
  std::string required_label;       ///< Label the target must have.
  std::string data_rack;            ///< Rack where the tasks run fast.
  std::int64_t max_per_target = 0;  ///< Tasks on one target; 0 is no limit.
  bool allows_copies = false;       ///< A task may run twice at once.
  bool long_running = false;        ///< Tasks run until the job is cancelled.
  std::string image;
  std::int64_t tail_latency_target_ms =
      0;                    ///< Bound on the tail of response times.
  bool background = false;  ///< Runs in what other tasks leave over.
  std::int64_t max_unavailable_tasks =
      0;  ///< Lasting tasks that may be away at once.

  friend bool operator==(const Step&, const Step&) = default;
};

/// What a caller hands in.
struct JobSpec {
  std::string payload;  ///< Passed to the tasks as it is.
  std::vector<Step> steps;
  std::int64_t repeats = 0;   ///< Number of timed runs; 0 is one run at once.
  std::int64_t start_ms = 0;  ///< Unix milliseconds of the first timed run.
  std::int64_t interval_ms = 0;

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

/// Errors: kInvalidArgument naming the field that is out of bounds.
absl::Status Validate(const JobSpec& spec);

/// A job as it was accepted.
struct JobRecord {
  std::string id;
  std::string queue;
  std::string pool;               ///< Of the queue when the job was accepted.
  std::string team;               ///< Empty on open queues.
  std::int64_t accepted_ms = 0;   ///< Unix milliseconds.
  std::int64_t max_attempts = 1;  ///< Of the queue, in case that it goes.
  JobSpec spec;

  friend bool operator==(const JobRecord&, const JobRecord&) = default;
};

enum class JobState { kPending, kRunning, kCompleted, kFailed, kCancelled };

std::string_view ToString(JobState state);
std::optional<JobState> ParseJobState(std::string_view text);
bool IsFinal(JobState state);

/// Names one task of a job.
struct TaskName {
  std::string job;
  std::int64_t occurrence = 0;  ///< Number of the timed run.
  std::int64_t step = 0;
  std::int64_t index = 0;

  friend auto operator<=>(const TaskName&, const TaskName&) = default;
};

/// `JOB.OCCURRENCE.STEP.INDEX`.
std::string ToString(const TaskName& name);
/// `JOB.OCCURRENCE.STEP` of a task.
std::string StepName(const TaskName& name);
std::optional<TaskName> ParseTaskName(std::string_view text);

nlohmann::json ToJson(const JobRecord& record);

/// Reads and validates a job as the project's own callers hand it in.
/// Errors: kInvalidArgument naming the first field that is wrong or unknown.
absl::StatusOr<JobSpec> ParseJobSpec(const nlohmann::json& json);

/// Errors: kInvalidArgument naming the field.
absl::StatusOr<JobRecord> ParseJobRecord(std::string_view id,
                                         const nlohmann::json& json);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_MODEL_JOB_H_
