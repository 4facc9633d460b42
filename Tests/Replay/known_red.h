#ifndef HYSSOPBARROW_TESTS_REPLAY_KNOWN_RED_H_
#define HYSSOPBARROW_TESTS_REPLAY_KNOWN_RED_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Replay/replay.h"
#include "Replay/trace.h"
#include "absl/status/statusor.h"

namespace hyssopbarrow {

/// A check of one trace that is known to fail with some seeds.
struct KnownFailure {
  std::string trace;
  std::string check;  ///< Name of a guarantee or of a figure.
  std::set<std::uint64_t> seeds;
  std::string observed;
  std::string owner;

  friend bool operator==(const KnownFailure&, const KnownFailure&) = default;
};

/// Parses the lines `replay TRACE CHECK SEED,SEED | SEEN | OWNER`. Skips other
/// lines, which belong to other tests.
///
/// Errors: kInvalidArgument naming the line.
absl::StatusOr<std::vector<KnownFailure>> ParseKnownFailures(
    std::string_view text);

/// Returns the checks that failed in a replay, by name, with the observed
/// violation or figure.
std::map<std::string, std::string> FailedChecks(
    const ReplayResult& result, const std::vector<Expectation>& expectations);

/// Failures of one replay compared with the known ones.
struct FailureComparison {
  std::vector<std::string> unexpected;  ///< Failed and not known.
  std::vector<std::string> known;       ///< Failed and known.
  std::vector<std::string> fixed;       ///< Known and did not fail.

  friend bool operator==(const FailureComparison&,
                         const FailureComparison&) = default;
};

FailureComparison CompareFailures(
    const std::map<std::string, std::string>& failed,
    const std::vector<KnownFailure>& known, const std::string& trace,
    std::uint64_t seed);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_REPLAY_KNOWN_RED_H_
