#ifndef HYSSOPBARROW_TESTS_REPLAY_TRACE_H_
#define HYSSOPBARROW_TESTS_REPLAY_TRACE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Model/time.h"
#include "absl/status/statusor.h"

namespace hyssopbarrow {

/// One event of a trace: `<ms> <verb> <word>... <name>=<value>...`.
struct TraceEvent {
  int line = 0;
  Duration time{};  ///< Offset from the start of the trace.
  std::string verb;
  std::vector<std::string> words;
  std::map<std::string, std::string> fields;

  /// Value of a field as a whole number; `default_value` if the field is
  /// absent or is not a number.
  std::int64_t Number(const std::string& field,
                      std::int64_t default_value) const;

  /// Text of a field; `default_value` if the field is absent.
  std::string Text(const std::string& field,
                   const std::string& default_value) const;

  friend bool operator==(const TraceEvent&, const TraceEvent&) = default;
};

/// A bound on one figure of a replay.
struct Expectation {
  std::string measure;  ///< For example `availability.book`.
  bool at_least = true;
  double bound = 0;

  friend bool operator==(const Expectation&, const Expectation&) = default;
};

/// Parses a trace. Events must be sorted by time.
///
/// Errors: kInvalidArgument naming the line, for an unknown verb or field, a
/// wrong number of words, or a value that is not a number.
absl::StatusOr<std::vector<TraceEvent>> ParseTrace(std::string_view text);

/// Parses an outcome file: `<measure> at-least|at-most <bound>` on each line.
///
/// Errors: kInvalidArgument naming the line.
absl::StatusOr<std::vector<Expectation>> ParseOutcome(std::string_view text);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_REPLAY_TRACE_H_
