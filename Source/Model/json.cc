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

const nlohmann::json* FindField(const nlohmann::json& row, const char* name) {
  if (!row.is_object()) return nullptr;
  const auto it = row.find(name);
  return it == row.end() ? nullptr : &*it;
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

std::optional<std::int64_t> AsInteger(const nlohmann::json& value) {
  if (!value.is_number_integer()) return std::nullopt;
  const bool too_large = value.is_number_unsigned() &&
                         value.get<std::uint64_t>() > std::uint64_t{INT64_MAX};
  if (too_large) return std::nullopt;
  return value.get<std::int64_t>();
}

std::int64_t IntegerOrZero(const nlohmann::json& row, const char* name) {
  const nlohmann::json* value = FindField(row, name);
  return value == nullptr ? 0 : AsInteger(*value).value_or(0);
}

std::string TextOrEmpty(const nlohmann::json& row, const char* name) {
  const nlohmann::json* value = FindField(row, name);
  const bool found = value != nullptr && value->is_string();
  return found ? value->get<std::string>() : std::string();
}

bool FlagOrFalse(const nlohmann::json& row, const char* name) {
  const nlohmann::json* value = FindField(row, name);
  return value != nullptr && value->is_boolean() && value->get<bool>();
}

}  // namespace hyssopbarrow
