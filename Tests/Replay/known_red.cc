#include "Replay/known_red.h"

#include <algorithm>
#include <optional>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr std::string_view kPrefix = "replay ";

std::optional<std::set<std::uint64_t>> ParseSeeds(std::string_view text) {
  std::set<std::uint64_t> seeds;
  for (const std::string& seed : Split(text, ',')) {
    const auto n = ParseInteger<std::uint64_t>(seed);
    if (!n.has_value()) return std::nullopt;
    seeds.insert(*n);
  }
  return seeds;
}

std::optional<KnownFailure> ParseEntry(std::string_view line) {
  const std::vector<std::string> columns = Split(line, '|');
  if (columns.size() != 3) return std::nullopt;
  std::vector<std::string> words = Split(columns[0], ' ');
  std::erase(words, "");
  if (words.size() != 3) return std::nullopt;
  const auto seeds = ParseSeeds(words[2]);
  if (!seeds.has_value()) return std::nullopt;
  return KnownFailure{words[0], words[1], *seeds, columns[1], columns[2]};
}

std::string DescribeViolation(const Violation& violation) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      violation.first_time.time_since_epoch());
  return StrCat(violation.count, " times, first at ", ms.count(),
                " ms: ", violation.first_detail);
}

}  // namespace

absl::StatusOr<std::vector<KnownFailure>> ParseKnownFailures(
    std::string_view text) {
  std::vector<KnownFailure> failures;
  int number = 0;
  for (const std::string& content : Split(text, '\n')) {
    ++number;
    std::string_view line = content;
    if (!ConsumePrefix(line, kPrefix)) continue;
    const auto entry = ParseEntry(line);
    if (!entry.has_value()) {
      return absl::InvalidArgumentError(
          StrCat("line ", number,
                 ": expected 'replay TRACE CHECK SEEDS | SEEN | OWNER'"));
    }
    failures.push_back(*entry);
  }
  return failures;
}

std::map<std::string, std::string> FailedChecks(
    const ReplayResult& result, const std::vector<Expectation>& expectations) {
  std::map<std::string, std::string> failed;
  for (const auto& [guarantee, violation] : result.violations) {
    failed[guarantee] = DescribeViolation(violation);
  }
  for (const Expectation& expectation : expectations) {
    const double* figure = Find(result.figures, expectation.measure);
    if (figure == nullptr) {
      failed[expectation.measure] = "was not measured";
      continue;
    }
    const bool holds = expectation.at_least ? *figure >= expectation.bound
                                            : *figure <= expectation.bound;
    if (holds) continue;
    failed[expectation.measure] =
        StrCat(std::to_string(*figure), expectation.at_least ? " < " : " > ",
               std::to_string(expectation.bound));
  }
  return failed;
}

FailureComparison CompareFailures(
    const std::map<std::string, std::string>& failed,
    const std::vector<KnownFailure>& known, const std::string& trace,
    std::uint64_t seed) {
  FailureComparison result;
  std::set<std::string> listed;
  for (const KnownFailure& failure : known) {
    if (failure.trace == trace && failure.seeds.contains(seed)) {
      listed.insert(failure.check);
    }
  }
  for (const auto& [check, observed] : failed) {
    (listed.contains(check) ? result.known : result.unexpected)
        .push_back(StrCat(check, ": ", observed));
  }
  for (const std::string& check : listed) {
    if (!failed.contains(check)) result.fixed.push_back(check);
  }
  return result;
}

}  // namespace hyssopbarrow
