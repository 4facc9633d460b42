#include "Model/json.h"

namespace hyssopbarrow {
namespace {

/// Counts the brackets that are open outside of strings. Text that is no JSON
/// may give any result.
bool IsNestedTooDeeply(std::string_view text) {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t n = 0; n < text.size(); ++n) {
    const char c = text[n];
    if (in_string) {
      if (c == '\\') ++n;
      if (c == '"') in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxNesting) return true;
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

}  // namespace

nlohmann::json ParseJson(std::string_view text) {
  if (IsNestedTooDeeply(text)) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return nlohmann::json::parse(text, nullptr, false);
}

std::string FormatJson(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace hyssopbarrow
