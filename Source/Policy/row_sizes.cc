#include "Policy/row_sizes.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "Model/text.h"

namespace hyssopbarrow::fleet {
namespace {

/// Most bytes of the parts of a progress row in CBOR. A number takes up to 9
/// bytes, a name OCCURRENCE.STEP.INDEX up to 13, a text two besides its own.
constexpr std::int64_t kNumberBytes = 9;
constexpr std::int64_t kTaskNameBytes = 13;
constexpr std::int64_t kListBytes = 3;
constexpr std::int64_t kAssignmentBytes =
    1 + 2 + static_cast<std::int64_t>(kMaxAssignmentTextBytes) +
    2 * kNumberBytes;
/// A task that allows copies may have two runs.
constexpr std::int64_t kAssignmentsPerTask = 2;
/// A job fails once one of its tasks has crashed four targets.
constexpr std::int64_t kCrashesPerTask = 4;
constexpr std::int64_t kCrashBytes = 1 + kNumberBytes + 1;
/// Progress of a task without its failures: `done`, and its name and value in
/// `sent`, `crashes`, `failures` and `saved`.
constexpr std::int64_t kTaskBytes =
    1 + kTaskNameBytes + 4 * (kTaskNameBytes + kListBytes) +
    kAssignmentsPerTask * kAssignmentBytes + kCrashesPerTask * kCrashBytes +
    static_cast<std::int64_t>(kMaxCheckpointBytes);
/// All other fields: the bits of a step's tasks that are in other rows (up to
/// 1,000), and `finished`, which has a range for each open occurrence at most.
constexpr std::int64_t kOtherFieldsBytes = 2048;
/// Lets operators raise the attempts of a queue that has jobs.
constexpr std::int64_t kMinStoredFailures = 16;

/// Most bytes of the progress of a task.
std::int64_t MaxTaskBytes(const JobRecord& record) {
  return kTaskBytes + kNumberBytes * MaxStoredFailures(record);
}

}  // namespace

std::int64_t MaxStoredFailures(const JobRecord& record) {
  return std::max(record.max_attempts, kMinStoredFailures);
}

std::int64_t TasksPerRow(const JobRecord& record, std::int64_t max_row_bytes) {
  return std::max<std::int64_t>(
      1, (max_row_bytes - kOtherFieldsBytes) / MaxTaskBytes(record));
}

absl::Status CheckRowSizes(const JobRecord& record,
                           std::int64_t max_row_bytes) {
  const auto size = static_cast<std::int64_t>(ToJson(record).dump().size());
  if (size > max_row_bytes) {
    const auto payload_size = static_cast<std::int64_t>(
        nlohmann::json(record.spec.payload).dump().size());
    const bool payload_is_largest = 2 * payload_size > size;
    return absl::InvalidArgumentError(
        StrCat("field '", payload_is_largest ? "payload" : "steps",
               "' is too large: the job takes ", size,
               " bytes in the store, which takes ", max_row_bytes));
  }
  const std::int64_t row_bytes = kOtherFieldsBytes + MaxTaskBytes(record);
  if (row_bytes <= max_row_bytes) return absl::OkStatus();
  return absl::InvalidArgumentError(
      StrCat("field 'steps' must have no task: the progress of one with ",
             record.max_attempts, " attempts takes up to ", row_bytes,
             " bytes in the store, which takes ", max_row_bytes));
}

}  // namespace hyssopbarrow::fleet
