#include <gflags/gflags.h>

#include <cstdint>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include "Model/text.h"
#include "Replay/known_red.h"
#include "Replay/replay.h"
#include "Replay/trace_file.h"

DEFINE_string(traces, "Tests/Replay/traces", "directory of the traces");
DEFINE_string(trace, "", "name of one trace; all when empty");
DEFINE_string(seeds, "1,2,3", "seeds, separated by commas");
DEFINE_string(known_red, "", "list of the checks that are known to fail");
DEFINE_bool(figures, false, "print all figures");

namespace hyssopbarrow {
namespace {

int ReportError(const absl::Status& status) {
  std::cerr << "replay: " << status.message() << "\n";
  return 2;
}

std::vector<std::string> TraceNames() {
  if (!FLAGS_trace.empty()) return {FLAGS_trace};
  std::vector<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(FLAGS_traces)) {
    if (entry.path().extension() == ".trace") {
      names.push_back(entry.path().stem());
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

absl::StatusOr<std::vector<KnownFailure>> LoadKnownFailures() {
  if (FLAGS_known_red.empty() || !std::filesystem::exists(FLAGS_known_red)) {
    return std::vector<KnownFailure>{};
  }
  const auto text = ReadFile(FLAGS_known_red);
  if (!text.ok()) return text.status();
  return ParseKnownFailures(*text);
}

void PrintItems(const char* title, const std::vector<std::string>& items) {
  for (const std::string& item : items) {
    std::cout << "  " << title << " " << item << "\n";
  }
}

/// Plays one trace with one seed. Returns false if a check fails that is not
/// known to fail, or if one that is known to fail passes.
absl::StatusOr<bool> PlayTrace(const RecordedTrace& trace,
                               const std::string& name, std::uint64_t seed,
                               const std::vector<KnownFailure>& known) {
  Replay replay(seed);
  if (absl::Status s = replay.Run(trace.events); !s.ok()) return s;
  const ReplayResult result = replay.Result();
  const FailureComparison comparison = CompareFailures(
      FailedChecks(result, trace.expectations), known, name, seed);
  const bool passed = comparison.unexpected.empty() && comparison.fixed.empty();
  std::cout << (passed ? "pass " : "FAIL ") << name << " seed " << seed << "\n";
  PrintItems("FAILED", comparison.unexpected);
  PrintItems("known to fail:", comparison.known);
  PrintItems("no longer fails, remove it from the list:", comparison.fixed);
  if (!FLAGS_figures) return passed;
  for (const auto& [figure, value] : result.figures) {
    std::cout << "  " << figure << " " << value << "\n";
  }
  return passed;
}

int Main() {
  const auto known = LoadKnownFailures();
  if (!known.ok()) return ReportError(known.status());
  bool passed = true;
  for (const std::string& name : TraceNames()) {
    const auto trace = LoadTrace(FLAGS_traces, name);
    if (!trace.ok()) return ReportError(trace.status());
    for (const std::string& seed : Split(FLAGS_seeds, ',')) {
      const auto n = ParseInteger<std::uint64_t>(seed);
      if (!n.has_value()) {
        return ReportError(absl::InvalidArgumentError(
            StrCat("--seeds: '", seed, "' is not a number")));
      }
      const auto replay_passed = PlayTrace(*trace, name, *n, *known);
      if (!replay_passed.ok()) return ReportError(replay_passed.status());
      passed = passed && *replay_passed;
    }
  }
  return passed ? 0 : 1;
}

}  // namespace
}  // namespace hyssopbarrow

int main(int argc, char** argv) {
  gflags::SetUsageMessage("plays recorded traces through the decision cores");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hyssopbarrow::Main();
}
