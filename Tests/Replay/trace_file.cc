#include "Replay/trace_file.h"

#include <fstream>
#include <iterator>
#include <utility>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

absl::Status WithFileName(const std::string& file, const absl::Status& status) {
  return {status.code(), StrCat(file, ": ", std::string(status.message()))};
}

absl::StatusOr<std::vector<TraceEvent>> LoadEvents(const std::string& directory,
                                                   const std::string& file) {
  const auto text = ReadFile(StrCat(directory, "/", file));
  if (!text.ok()) return text.status();
  auto events = ParseTrace(*text);
  if (!events.ok()) return WithFileName(file, events.status());
  std::vector<TraceEvent> all_events;
  for (TraceEvent& event : *events) {
    if (event.verb != "use") {
      all_events.push_back(std::move(event));
      continue;
    }
    auto used = LoadEvents(directory, event.words[0]);
    if (!used.ok()) return used.status();
    all_events.insert(all_events.end(), used->begin(), used->end());
  }
  return all_events;
}

}  // namespace

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) return absl::NotFoundError(StrCat("cannot read ", path));
  return std::string(std::istreambuf_iterator<char>(in), {});
}

absl::StatusOr<RecordedTrace> LoadTrace(const std::string& directory,
                                        const std::string& name) {
  auto events = LoadEvents(directory, name + ".trace");
  if (!events.ok()) return events.status();
  const auto text = ReadFile(StrCat(directory, "/", name, ".outcome"));
  if (!text.ok()) return text.status();
  auto expectations = ParseOutcome(*text);
  if (!expectations.ok()) {
    return WithFileName(name + ".outcome", expectations.status());
  }
  return RecordedTrace{*std::move(events), *std::move(expectations)};
}

}  // namespace hyssopbarrow
