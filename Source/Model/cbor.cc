#include "Model/cbor.h"

#include <limits>
#include <vector>

#include "Model/json.h"

namespace hyssopbarrow {
namespace {

/// Major types of CBOR (RFC 8949, section 3.1).
enum class CborType : std::uint8_t {
  kUnsigned = 0,
  kNegative = 1,
  kBytes = 2,
  kText = 3,
  kList = 4,
  kMap = 5,
  kTag = 6,
  kSimple = 7,
};

constexpr std::uint64_t kFalse = 20;
constexpr std::uint64_t kTrue = 21;
constexpr std::uint64_t kNull = 22;
/// A type and 8 bytes.
constexpr std::size_t kMaxHeadSize = 9;
constexpr std::uint64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

/// The initial bytes of an item: its type, and its value, length or count.
struct CborHead {
  CborType type = CborType::kSimple;
  std::uint64_t argument = 0;
  std::size_t size = 0;  ///< Number of these bytes.
};

constexpr unsigned kTypeShift = 5;
constexpr unsigned kDetailMask = 31;
/// Detail of an item of indefinite length, which ends with the byte kBreak.
constexpr unsigned kIndefinite = 31;
constexpr char kBreak = '\xff';

std::optional<CborHead> ReadHead(std::string_view bytes) {
  if (bytes.empty()) return std::nullopt;
  constexpr unsigned kFirstSizedDetail = 24;  // 1, 2, 4 or 8 bytes follow.
  constexpr unsigned kLastSizedDetail = 27;
  constexpr unsigned kBitsPerByte = 8;
  const auto first = static_cast<unsigned char>(bytes.front());
  const unsigned detail = first & kDetailMask;
  CborHead head{.type = static_cast<CborType>(first >> kTypeShift),
                .argument = detail,
                .size = 1};
  if (detail < kFirstSizedDetail) return head;
  if (detail > kLastSizedDetail) return std::nullopt;
  head.size += std::size_t{1} << (detail - kFirstSizedDetail);
  if (bytes.size() < head.size) return std::nullopt;
  head.argument = 0;
  for (const char c : bytes.substr(1, head.size - 1)) {
    head.argument =
        (head.argument << kBitsPerByte) | static_cast<unsigned char>(c);
  }
  return head;
}

/// Size of the UTF-8 character at the start of `text`; 0 if there is none.
std::size_t CharacterSize(std::string_view text) {
  const auto byte = [text](std::size_t n) -> unsigned {
    return n < text.size() ? static_cast<unsigned char>(text[n]) : 0;
  };
  const auto continues = [&](std::size_t n) {
    return (byte(n) & 0xc0) == 0x80;
  };
  const unsigned first = byte(0);
  const unsigned second = byte(1);
  if (first < 0x80) return text.empty() ? 0 : 1;
  if (first >= 0xc2 && first <= 0xdf) return continues(1) ? 2 : 0;
  if (!continues(1) || !continues(2)) return 0;
  if ((first & 0xf0) == 0xe0) {
    const bool overlong = first == 0xe0 && second < 0xa0;
    const bool surrogate = first == 0xed && second >= 0xa0;
    return overlong || surrogate ? 0 : 3;
  }
  const bool in_range = (first == 0xf0 && second >= 0x90) ||
                        (first >= 0xf1 && first <= 0xf3) ||
                        (first == 0xf4 && second < 0x90);
  return in_range && continues(3) ? 4 : 0;
}

bool IsUtf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t n = CharacterSize(text);
    if (n == 0) return false;
    text.remove_prefix(n);
  }
  return true;
}

/// True if an item of indefinite length starts here.
bool StartsIndefinite(std::string_view bytes) {
  if (bytes.empty()) return false;
  const auto first = static_cast<unsigned char>(bytes.front());
  const auto type = static_cast<CborType>(first >> kTypeShift);
  return (first & kDetailMask) == kIndefinite && type >= CborType::kBytes &&
         type <= CborType::kMap;
}

/// True if `bytes` are items that end with them, have text in UTF-8 and are
/// nested at most kMaxNesting deep.
bool IsDecodable(std::string_view bytes) {
  constexpr std::uint64_t kUntilBreak =
      std::numeric_limits<std::uint64_t>::max();
  // Items that are missing in each open list or map.
  std::vector<std::uint64_t> missing = {1};
  const auto open = [&missing](std::uint64_t items) {
    missing.push_back(items);
    return missing.size() <= kMaxNesting + 1;
  };
  while (!missing.empty()) {
    std::uint64_t& items = missing.back();
    const bool broken =
        items == kUntilBreak && !bytes.empty() && bytes.front() == kBreak;
    if (broken) bytes.remove_prefix(1);
    if (broken || items == 0) {
      missing.pop_back();
      continue;
    }
    if (items != kUntilBreak) --items;
    if (StartsIndefinite(bytes)) {
      bytes.remove_prefix(1);
      if (!open(kUntilBreak)) return false;
      continue;
    }
    const std::optional<CborHead> head = ReadHead(bytes);
    if (!head.has_value()) return false;
    bytes.remove_prefix(head->size);
    switch (head->type) {
      case CborType::kBytes:
      case CborType::kText: {
        if (head->argument > bytes.size()) return false;
        const auto size = static_cast<std::size_t>(head->argument);
        const bool text = head->type == CborType::kText;
        if (text && !IsUtf8(bytes.substr(0, size))) return false;
        bytes.remove_prefix(size);
        break;
      }
      case CborType::kList:
      case CborType::kMap: {
        if (head->argument > bytes.size()) return false;
        const std::uint64_t items_per_entry =
            head->type == CborType::kMap ? 2 : 1;
        if (!open(items_per_entry * head->argument)) return false;
        break;
      }
      case CborType::kTag:
        if (!open(1)) return false;
        break;
      case CborType::kUnsigned:
      case CborType::kNegative:
      case CborType::kSimple:
        break;
    }
  }
  return bytes.empty();
}

/// Size of the initial bytes of an item with this value, length or count.
std::size_t HeadSize(std::uint64_t argument) {
  constexpr std::uint64_t kFirstInOneByte = 24;
  if (argument < kFirstInOneByte) return 1;
  if (argument <= std::numeric_limits<std::uint8_t>::max()) return 2;
  if (argument <= std::numeric_limits<std::uint16_t>::max()) return 3;
  if (argument <= std::numeric_limits<std::uint32_t>::max()) return 5;
  return kMaxHeadSize;
}

}  // namespace

std::optional<std::size_t> CborReader::List() {
  const std::optional<CborHead> head = ReadHead(rest_);
  // An item takes a byte at least.
  const bool valid = head.has_value() && head->type == CborType::kList &&
                     head->argument <= rest_.size() - head->size;
  if (!valid) return std::nullopt;
  rest_.remove_prefix(head->size);
  return static_cast<std::size_t>(head->argument);
}

std::optional<std::int64_t> CborReader::Integer() {
  const std::optional<CborHead> head = ReadHead(rest_);
  if (!head.has_value() || head->argument > kMaxInteger) return std::nullopt;
  const auto argument = static_cast<std::int64_t>(head->argument);
  if (head->type != CborType::kUnsigned && head->type != CborType::kNegative) {
    return std::nullopt;
  }
  rest_.remove_prefix(head->size);
  return head->type == CborType::kUnsigned ? argument : -1 - argument;
}

std::optional<bool> CborReader::Flag() {
  const std::optional<CborHead> head = ReadHead(rest_);
  const bool valid = head.has_value() && head->type == CborType::kSimple &&
                     head->size == 1 &&
                     (head->argument == kFalse || head->argument == kTrue);
  if (!valid) return std::nullopt;
  rest_.remove_prefix(head->size);
  return head->argument == kTrue;
}

std::optional<std::string_view> CborReader::Text() {
  const std::optional<CborHead> head = ReadHead(rest_);
  const bool valid = head.has_value() && head->type == CborType::kText &&
                     head->argument <= rest_.size() - head->size;
  if (!valid) return std::nullopt;
  const auto size = static_cast<std::size_t>(head->argument);
  const std::string_view text = rest_.substr(head->size, size);
  rest_.remove_prefix(head->size + size);
  return text;
}

bool CborReader::Null() {
  const std::optional<CborHead> head = ReadHead(rest_);
  const bool valid = head.has_value() && head->type == CborType::kSimple &&
                     head->size == 1 && head->argument == kNull;
  if (valid) rest_.remove_prefix(head->size);
  return valid;
}

bool CborReader::Skip() {
  std::string_view rest = rest_;
  for (std::uint64_t items = 1; items > 0; --items) {
    const std::optional<CborHead> head = ReadHead(rest);
    if (!head.has_value()) return false;
    rest.remove_prefix(head->size);
    const bool has_bytes =
        head->type == CborType::kBytes || head->type == CborType::kText;
    const bool has_items =
        head->type == CborType::kList || head->type == CborType::kMap;
    if ((has_bytes || has_items) && head->argument > rest.size()) return false;
    if (has_bytes) rest.remove_prefix(static_cast<std::size_t>(head->argument));
    if (head->type == CborType::kTag) ++items;
    if (head->type == CborType::kList) items += head->argument;
    if (head->type == CborType::kMap) items += 2 * head->argument;
  }
  rest_ = rest;
  return true;
}

std::string ToCbor(const nlohmann::json& value) {
  std::string bytes;
  nlohmann::json::to_cbor(value, bytes);
  return bytes;
}

std::size_t CborSize(const nlohmann::json& value) {
  using nlohmann::json;
  switch (value.type()) {
    case json::value_t::object: {
      std::size_t size = HeadSize(value.size());
      for (const auto& [name, item] : value.items()) {
        size += HeadSize(name.size()) + name.size() + CborSize(item);
      }
      return size;
    }
    case json::value_t::array: {
      std::size_t size = HeadSize(value.size());
      for (const json& item : value) size += CborSize(item);
      return size;
    }
    case json::value_t::string: {
      const std::size_t size = value.get_ref<const std::string&>().size();
      return HeadSize(size) + size;
    }
    case json::value_t::number_integer: {
      const auto n = value.get<std::int64_t>();
      return HeadSize(static_cast<std::uint64_t>(n < 0 ? -1 - n : n));
    }
    case json::value_t::number_unsigned:
      return HeadSize(value.get<std::uint64_t>());
    case json::value_t::number_float:
      return kMaxHeadSize;
    case json::value_t::binary:
      return kMaxHeadSize + kMaxHeadSize + value.get_binary().size();
    default:
      return 1;
  }
}

nlohmann::json ParseCbor(std::string_view bytes) {
  if (!IsDecodable(bytes)) return nullptr;
  try {
    // Throws on excessive lengths even with allow_exceptions set to false.
    nlohmann::json value = nlohmann::json::from_cbor(bytes, true, false);
    return value.is_discarded() ? nlohmann::json() : value;
  } catch (const nlohmann::json::exception&) {
    return nullptr;
  }
}

}  // namespace hyssopbarrow
