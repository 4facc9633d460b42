#include "Model/fields.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "Model/json.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

using nlohmann::json;

absl::Status InvalidField(std::string_view field, std::string_view expected) {
  return absl::InvalidArgumentError(
      StrCat("field '", field, "' must be ", expected));
}

/// Returns the number if it has no fraction and a double holds it exactly.
std::optional<std::int64_t> AsWholeNumber(const json& value) {
  constexpr double kLimit = 9007199254740992;  // 2^53
  if (!value.is_number_float()) return AsInteger(value);
  const auto n = value.get<double>();
  const bool whole = std::trunc(n) == n && n >= -kLimit && n <= kLimit;
  if (!whole) return std::nullopt;
  return static_cast<std::int64_t>(n);
}

}  // namespace

Fields::Fields(const json& object, std::string path)
    : object_(object), path_(std::move(path)) {
  if (object.is_object()) return;
  status_ = path_.empty() ? absl::InvalidArgumentError("not a JSON object")
                          : InvalidField(path_, "an object");
}

std::int64_t Fields::Integer(const char* name, std::int64_t fallback) {
  const json* value = Find(name);
  if (value == nullptr) return fallback;
  const std::optional<std::int64_t> n = AsWholeNumber(*value);
  if (!n.has_value()) Fail(name, "an integer");
  return n.value_or(fallback);
}

std::int64_t Fields::Bounded(const char* name, std::int64_t low,
                             std::int64_t high, std::int64_t fallback) {
  const std::int64_t n = Integer(name, fallback);
  if (n >= low && n <= high) return n;
  Fail(name, StrCat("from ", low, " to ", high));
  return fallback;
}

double Fields::Number(const char* name, double fallback) {
  const json* value = Find(name);
  if (value == nullptr) return fallback;
  const bool finite = value->is_number() && std::isfinite(value->get<double>());
  if (!finite) return Fail(name, "a number"), fallback;
  return value->get<double>();
}

bool Fields::Flag(const char* name) {
  const json* value = Find(name);
  if (value == nullptr) return false;
  if (!value->is_boolean()) return Fail(name, "true or false"), false;
  return value->get<bool>();
}

std::string Fields::Text(const char* name, bool required) {
  const json* value = Find(name);
  if (value == nullptr) {
    if (required) Fail(name, "a string");
    return {};
  }
  if (!value->is_string()) return Fail(name, "a string"), std::string();
  return value->get<std::string>();
}

const json& Fields::List(const char* name, bool required) {
  static const json kEmpty = json::array();
  const json* value = Find(name);
  if (value == nullptr) {
    if (required) Fail(name, "a list");
    return kEmpty;
  }
  if (!value->is_array()) return Fail(name, "a list"), kEmpty;
  return *value;
}

std::vector<std::string> Fields::Texts(const char* name) {
  std::vector<std::string> texts;
  for (const json& element : List(name)) {
    if (!element.is_string()) {
      Fail(name, "a list of strings");
      return {};
    }
    texts.push_back(element.get<std::string>());
  }
  return texts;
}

std::vector<std::int64_t> Fields::Integers(const char* name) {
  std::vector<std::int64_t> numbers;
  for (const json& element : List(name)) {
    const std::optional<std::int64_t> n = AsInteger(element);
    if (!n.has_value()) {
      Fail(name, "a list of integers");
      return {};
    }
    numbers.push_back(*n);
  }
  return numbers;
}

const json* Fields::Find(const char* name) const {
  if (!object_.is_object()) return nullptr;
  auto it = object_.find(name);
  return it == object_.end() || it->is_null() ? nullptr : &*it;
}

void Fields::RejectUnknown(std::initializer_list<std::string_view> known) {
  if (!object_.is_object()) return;
  for (const auto& [name, value] : object_.items()) {
    const bool found =
        std::find(known.begin(), known.end(), name) != known.end();
    if (!found) Fail(name.c_str(), "absent: unknown field");
  }
}

void Fields::Fail(const char* name, std::string_view expected) {
  status_.Update(
      InvalidField(StrCat(path_, path_.empty() ? "" : ".", name), expected));
}

}  // namespace hyssopbarrow
