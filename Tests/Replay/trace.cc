#include "Replay/trace.h"

#include <algorithm>
#include <cstdlib>
#include <set>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

/// Number of words and names of fields that a verb accepts.
struct VerbSyntax {
  std::size_t words = 0;
  std::set<std::string> numbers;
  std::set<std::string> texts;
  bool any_field = false;  ///< The fields are those of a table row.
};

const std::map<std::string, VerbSyntax>& Verbs() {
  static const std::map<std::string, VerbSyntax> kVerbs = {
      {"use", {.words = 1}},
      {"row", {.words = 2, .any_field = true}},
      {"key", {.words = 1, .texts = {"team"}}},
      {"hosts",
       {.words = 1, .numbers = {"count", "slots"}, .texts = {"pool", "dc"}}},
      {"entry", {.words = 1, .texts = {"dc"}}},
      {"load",
       {.words = 1,
        .numbers = {"rate", "service_ms", "unrepeatable_percent", "deadline_ms",
                    "resubmissions", "patience_ms"},
        .texts = {"queue", "key", "dc"}}},
      {"burst", {.words = 1, .numbers = {"count"}}},
      {"cancel", {.words = 1}},
      {"store", {.words = 1}},
      {"cut", {.words = 2}},
      {"heal", {.words = 2}},
      {"silence", {.words = 2}},
      {"loss", {.words = 1}},
      {"pause", {.words = 1, .numbers = {"ms"}}},
      {"pause-dispatcher", {.words = 2, .numbers = {"ms"}}},
      {"kill", {.words = 1}},
      {"start", {.words = 1}},
      {"stop", {.words = 1}},
      {"worker", {.words = 2}},
      {"set", {.words = 2, .any_field = true}},
      {"race", {.words = 3, .numbers = {"first", "second"}}},
      {"end", {}},
  };
  return kVerbs;
}

absl::Status ErrorAt(int line, const std::string& text) {
  return absl::InvalidArgumentError(StrCat("line ", line, ": ", text));
}

std::vector<std::string> SplitWords(std::string_view line) {
  line = line.substr(0, line.find('#'));
  std::vector<std::string> words = Split(line, ' ');
  std::erase(words, "");
  return words;
}

absl::Status CheckField(const TraceEvent& event, const VerbSyntax& syntax,
                        const std::string& name, const std::string& value) {
  if (syntax.any_field || syntax.texts.contains(name)) return absl::OkStatus();
  if (!syntax.numbers.contains(name)) {
    return ErrorAt(event.line,
                   StrCat("'", event.verb, "' has no field '", name, "'"));
  }
  if (ParseInteger<std::int64_t>(value).has_value()) return absl::OkStatus();
  return ErrorAt(event.line, StrCat("field '", name, "' must be a number"));
}

absl::Status ParseArgument(const std::string& word, const VerbSyntax& syntax,
                           TraceEvent& event) {
  const std::size_t n = word.find('=');
  if (n == std::string::npos) {
    event.words.push_back(word);
    return absl::OkStatus();
  }
  const std::string name = word.substr(0, n);
  const std::string value = word.substr(n + 1);
  if (!event.fields.emplace(name, value).second) {
    return ErrorAt(event.line, StrCat("field '", name, "' is given twice"));
  }
  return CheckField(event, syntax, name, value);
}

absl::StatusOr<TraceEvent> ParseEvent(int line,
                                      const std::vector<std::string>& words) {
  if (words.size() < 2) return ErrorAt(line, "expected '<ms> <verb>'");
  const auto ms = ParseInteger<std::int64_t>(words[0]);
  if (!ms.has_value() || *ms < 0) {
    return ErrorAt(line, StrCat("'", words[0], "' is not a time in ms"));
  }
  TraceEvent event{
      .line = line, .time = std::chrono::milliseconds(*ms), .verb = words[1]};
  auto verb = Verbs().find(event.verb);
  if (verb == Verbs().end()) {
    return ErrorAt(line, StrCat("unknown verb '", event.verb, "'"));
  }
  for (std::size_t n = 2; n < words.size(); ++n) {
    absl::Status s = ParseArgument(words[n], verb->second, event);
    if (!s.ok()) return s;
  }
  if (event.words.size() == verb->second.words) return event;
  return ErrorAt(
      line, StrCat("'", event.verb, "' takes ", verb->second.words, " words"));
}

absl::StatusOr<Expectation> ParseExpectation(
    int line, const std::vector<std::string>& words) {
  const bool known =
      words.size() == 3 && (words[1] == "at-least" || words[1] == "at-most");
  if (!known) {
    return ErrorAt(line, "expected '<measure> at-least|at-most <bound>'");
  }
  char* end = nullptr;
  const double bound = std::strtod(words[2].c_str(), &end);
  if (end == words[2].c_str() || *end != '\0') {
    return ErrorAt(line, StrCat("'", words[2], "' is not a number"));
  }
  return Expectation{words[0], words[1] == "at-least", bound};
}

/// Calls `parse` for each line that has words outside comments.
template <typename Item, typename Parse>
absl::StatusOr<std::vector<Item>> ParseLines(std::string_view text,
                                             Parse parse) {
  std::vector<Item> items;
  int line = 0;
  for (const std::string& content : Split(text, '\n')) {
    ++line;
    const std::vector<std::string> words = SplitWords(content);
    if (words.empty()) continue;
    absl::StatusOr<Item> item = parse(line, words);
    if (!item.ok()) return item.status();
    items.push_back(*std::move(item));
  }
  return items;
}

}  // namespace

std::int64_t TraceEvent::Number(const std::string& field,
                                std::int64_t default_value) const {
  auto it = fields.find(field);
  if (it == fields.end()) return default_value;
  return ParseInteger<std::int64_t>(it->second).value_or(default_value);
}

std::string TraceEvent::Text(const std::string& field,
                             const std::string& default_value) const {
  auto it = fields.find(field);
  return it == fields.end() ? default_value : it->second;
}

absl::StatusOr<std::vector<TraceEvent>> ParseTrace(std::string_view text) {
  auto events = ParseLines<TraceEvent>(text, ParseEvent);
  if (!events.ok()) return events.status();
  for (std::size_t n = 1; n < events->size(); ++n) {
    if ((*events)[n].time < (*events)[n - 1].time) {
      return ErrorAt((*events)[n].line,
                     "event time is before that of the previous event");
    }
  }
  return events;
}

absl::StatusOr<std::vector<Expectation>> ParseOutcome(std::string_view text) {
  return ParseLines<Expectation>(text, ParseExpectation);
}

}  // namespace hyssopbarrow
