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
  Duration time{};  ///< Since the start of the trace.
  std::string verb;
  std::vector<std::string> words;
  std::map<std::string, std::string> fields;

  /// A whole number, or `otherwise` when the field is absent.
  std::int64_t Number(const std::string& field, std::int64_t otherwise) const;

  /// The text of a field, or `otherwise` when the field is absent.
  std::string Text(const std::string& field,
                   const std::string& otherwise) const;

  friend bool operator==(const TraceEvent&, const TraceEvent&) = default;
};

/// A bound on one measure of a replay.
struct Expectation {
  std::string measure;  ///< For example `availability.book`.
  bool at_least = true;
  double bound = 0;

  friend bool operator==(const Expectation&, const Expectation&) = default;
};

/// Parses a trace. Events must be in order of time.
///
/// Errors: kInvalidArgument naming the line, for an unknown verb or field, a
/// wrong count of words, or a number that is not one.
absl::StatusOr<std::vector<TraceEvent>> ParseTrace(std::string_view text);

/// Parses an outcome file: `<measure> at-least|at-most <bound>` on each line.
///
/// Errors: kInvalidArgument naming the line.
absl::StatusOr<std::vector<Expectation>> ParseOutcome(std::string_view text);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_REPLAY_TRACE_H_
