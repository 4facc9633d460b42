#ifndef HYSSOPBARROW_TESTS_REPLAY_TRACE_FILE_H_
#define HYSSOPBARROW_TESTS_REPLAY_TRACE_FILE_H_

#include <string>
#include <vector>

#include "Replay/trace.h"
#include "absl/status/statusor.h"

namespace hyssopbarrow {

/// A trace and the expected bounds on its figures.
struct RecordedTrace {
  std::vector<TraceEvent> events;
  std::vector<Expectation> expectations;
};

/// Reads a whole file. Errors: kNotFound naming the path.
absl::StatusOr<std::string> ReadFile(const std::string& path);

/// Reads `NAME.trace`, the files it includes with `use`, and `NAME.outcome`.
///
/// Errors: kNotFound naming the file, kInvalidArgument naming file and line.
absl::StatusOr<RecordedTrace> LoadTrace(const std::string& directory,
                                        const std::string& name);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_REPLAY_TRACE_FILE_H_
