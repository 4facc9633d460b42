#ifndef HYSSOPBARROW_POLICY_PROGRESS_ROWS_H_
#define HYSSOPBARROW_POLICY_PROGRESS_ROWS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Policy/job_table.h"

namespace hyssopbarrow::fleet {

/// The progress row of a job, from which a later owner restores it. The row
/// holds the progress of its tasks unless that is in rows of its own.
nlohmann::json ProgressRow(const Job& job, bool with_tasks = true);

/// Applies a progress row to a job that was just loaded.
/// Errors: kInvalidArgument naming the field.
absl::Status ApplyProgress(const nlohmann::json& row, Instant now, Job& job);

/// Key of the row with the progress of tasks, after the id of their job.
std::string TaskRowSuffix(const TaskRange& tasks);
/// Parses what TaskRowSuffix returns; returns nothing for other text.
std::optional<TaskRange> ParseTaskRowSuffix(std::string_view suffix);

/// Where a task is among the ranges of its job.
TaskRange PositionOf(const Job& job, const TaskName& name);

/// The row with the progress of up to `tasks_per_row` tasks.
nlohmann::json TaskRow(const Job& job, const TaskRange& tasks,
                       std::int64_t tasks_per_row);

/// Applies the row of some tasks to a job after its progress row. Replaces what
/// that says of these tasks.
/// Errors: kInvalidArgument naming the field.
absl::Status ApplyTaskRow(const TaskRange& tasks, const nlohmann::json& row,
                          Instant now, Job& job);

/// Completes a job to which all its rows have been applied.
void FinishRestoring(Job& job);

/// The rows of a job that differ from those in the store, besides its progress
/// row.
struct TaskRowChanges {
  bool split = false;  ///< The progress of the tasks is in rows of its own.
  /// Rows to write, with the digests of what they hold. In this order the
  /// dependencies of a task come before it.
  std::vector<std::pair<TaskRange, std::uint64_t>> written;
  std::vector<TaskRange> removed;
};

TaskRowChanges FindTaskRowChanges(const Job& job, std::int64_t tasks_per_row);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_PROGRESS_ROWS_H_
