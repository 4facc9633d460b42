#ifndef HYSSOPBARROW_MODEL_CBOR_H_
#define HYSSOPBARROW_MODEL_CBOR_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopbarrow {

std::string ToCbor(const nlohmann::json& value);

/// Length of ToCbor(value), found without writing the bytes. Not below it for a
/// value with binary data or floating-point numbers.
std::size_t CborSize(const nlohmann::json& value);

/// Returns null for invalid CBOR, for text that is not UTF-8, and for items
/// that are nested deeper than kMaxNesting.
nlohmann::json ParseCbor(std::string_view bytes);

/// Reads CBOR items in order without building a tree of values. A read that
/// finds no item of its type returns nothing and leaves the position as it was.
/// Only items of definite length are read, as ToCbor writes them. The bytes
/// must outlive the reader and the texts that it returns.
class CborReader {
 public:
  explicit CborReader(std::string_view bytes) : rest_(bytes) {}

  /// Begins a list and returns the number of its items, which follow.
  std::optional<std::size_t> List();
  std::optional<std::int64_t> Integer();
  std::optional<bool> Flag();
  /// The bytes need not be UTF-8.
  std::optional<std::string_view> Text();
  /// Returns true if a null was read.
  bool Null();
  /// Passes over an item of any type and all items in it. Returns false if the
  /// bytes end before it does.
  bool Skip();

  bool AtEnd() const { return rest_.empty(); }

 private:
  std::string_view rest_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_MODEL_CBOR_H_
