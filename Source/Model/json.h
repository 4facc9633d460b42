#ifndef HYSSOPBARROW_MODEL_JSON_H_
#define HYSSOPBARROW_MODEL_JSON_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopbarrow {

/// Most lists and objects around a value that is decoded from outside. The
/// decoder of CBOR, copies and `dump` recurse, so that the depth of a value
/// must not depend on its sender.
constexpr std::size_t kMaxNesting = 64;

/// Returns a discarded value for text that is not JSON or is nested deeper than
/// kMaxNesting.
nlohmann::json ParseJson(std::string_view text);

/// Formats a value on one line. Text that is not UTF-8 is replaced, where
/// `dump` alone throws.
std::string FormatJson(const nlohmann::json& value);

/// Returns the number if `value` is an integer of 64 bits with a sign. `get`
/// wraps larger ones around.
std::optional<std::int64_t> AsInteger(const nlohmann::json& value);

// Fields of rows that are read as far as they can be: a field that is absent or
// has another type gives the default value.

std::int64_t IntegerOrZero(const nlohmann::json& row, const char* name);
std::string TextOrEmpty(const nlohmann::json& row, const char* name);
bool FlagOrFalse(const nlohmann::json& row, const char* name);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_MODEL_JSON_H_
