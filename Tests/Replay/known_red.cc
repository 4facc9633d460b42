#include "Replay/known_red.h"

#include <algorithm>
#include <optional>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr std::string_view kPrefix = "replay ";

std::optional<std::set<std::uint64_t>> ParseSeeds(std::string_view text) {
  std::set<std::uint64_t> seeds;
  for (const std::string& it : Split(text, ',')) {
    const auto n = ParseInteger<std::uint64_t>(it);
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

std::string DescribeViolation(const Violation& it) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      it.first_time.time_since_epoch());
  return StrCat(it.count, " times, first at ", ms.count(),
                " ms: ", it.first_detail);
}

}  // namespace

absl::StatusOr<std::vector<KnownFailure>> ParseKnownFailures(
    std::string_view text) {
  std::vector<KnownFailure> failures;
  int number = 0;
  for (const std::string& it : Split(text, '\n')) {
    ++number;
    std::string_view line = it;
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
  for (const auto& [promise, it] : result.violations) {
    failed[promise] = DescribeViolation(it);
  }
  for (const Expectation& it : expectations) {
    const double* figure = Find(result.figures, it.measure);
    if (figure == nullptr) {
      failed[it.measure] = "was not measured";
      continue;
    }
    const bool holds = it.at_least ? *figure >= it.bound : *figure <= it.bound;
    if (holds) continue;
    failed[it.measure] =
        StrCat(std::to_string(*figure), it.at_least ? " < " : " > ",
               std::to_string(it.bound));
  }
  return failed;
}

FailureComparison CompareFailures(
    const std::map<std::string, std::string>& failed,
    const std::vector<KnownFailure>& known, const std::string& trace,
    std::uint64_t seed) {
  FailureComparison result;
  std::set<std::string> listed;
  for (const KnownFailure& it : known) {
    if (it.trace == trace && it.seeds.contains(seed)) listed.insert(it.check);
  }
  for (const auto& [check, seen] : failed) {
    (listed.contains(check) ? result.known : result.unexpected)
        .push_back(StrCat(check, ": ", seen));
  }
  for (const std::string& it : listed) {
    if (!failed.contains(it)) result.fixed.push_back(it);
  }
  return result;
}

}  // namespace hyssopbarrow
