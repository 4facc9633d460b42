#ifndef HYSSOPBARROW_POLICY_ROW_SIZES_H_
#define HYSSOPBARROW_POLICY_ROW_SIZES_H_

#include <cstddef>
#include <cstdint>

#include "Model/job.h"

namespace hyssopbarrow::fleet {

/// Most bytes of a target's id in an assignment, or of id and address with the
/// two bytes by which CBOR marks the second text.
constexpr std::size_t kMaxAssignmentTextBytes = 200;

/// Longest checkpoint that is kept.
constexpr std::size_t kMaxCheckpointBytes = 512;

/// Failures after which a task of the job is given up, whatever its queue
/// allows by now. All of them are in a progress row.
std::int64_t MaxStoredFailures(const JobRecord& record);

/// Number of tasks whose progress fits into one row in the worst case, and at
/// least 1, which CheckRowSizes makes sure of.
std::int64_t TasksPerRow(const JobRecord& record, std::int64_t max_row_bytes);

/// Checks that the rows of a job fit into the store whatever happens to it.
/// Errors: kInvalidArgument naming the field that takes too much.
absl::Status CheckRowSizes(const JobRecord& record, std::int64_t max_row_bytes);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_ROW_SIZES_H_
