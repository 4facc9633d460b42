#ifndef HYSSOPBARROW_MODEL_TEXT_H_
#define HYSSOPBARROW_MODEL_TEXT_H_

#include <charconv>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"

namespace hyssopbarrow {

// Debian builds Abseil with its own absl::string_view type, so Abseil's string
// functions do not accept std::string_view. The functions here accept both.

inline void AppendPiece(std::string& out, std::string_view piece) {
  out.append(piece);
}

inline void AppendPiece(std::string& out, absl::string_view piece) {
  out.append(piece.data(), piece.size());
}

inline void AppendPiece(std::string& out, const std::string& piece) {
  out.append(piece);
}

inline void AppendPiece(std::string& out, const char* piece) {
  out.append(piece);
}

template <std::integral Number>
void AppendPiece(std::string& out, Number piece) {
  out.append(std::to_string(piece));
}

/// Appends strings and integers to `out`.
template <typename... Pieces>
void StrAppend(std::string& out, const Pieces&... pieces) {
  (AppendPiece(out, pieces), ...);
}

/// Concatenates strings and integers.
template <typename... Pieces>
std::string StrCat(const Pieces&... pieces) {
  std::string out;
  StrAppend(out, pieces...);
  return out;
}

/// Parses all of `text` as a decimal integer; returns nothing if it is not one
/// or is out of range.
template <std::integral Number>
std::optional<Number> ParseInteger(std::string_view text) {
  Number n{};
  const char* end = text.data() + text.size();
  const auto [position, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || position != end) return std::nullopt;
  return n;
}

/// Removes `prefix` from the start of `text`; returns false if `text` does not
/// start with it.
inline bool ConsumePrefix(std::string_view& text, std::string_view prefix) {
  if (!text.starts_with(prefix)) return false;
  text.remove_prefix(prefix.size());
  return true;
}

/// Removes `suffix` from the end of `text`; returns false if `text` does not
/// end with it.
inline bool ConsumeSuffix(std::string_view& text, std::string_view suffix) {
  if (!text.ends_with(suffix)) return false;
  text.remove_suffix(suffix.size());
  return true;
}

/// Splits `text` at each separator; returns one empty part for an empty text.
inline std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  std::size_t n = text.find(separator);
  for (; n != std::string_view::npos; n = text.find(separator)) {
    parts.emplace_back(text.substr(0, n));
    text.remove_prefix(n + 1);
  }
  parts.emplace_back(text);
  return parts;
}

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_MODEL_TEXT_H_
