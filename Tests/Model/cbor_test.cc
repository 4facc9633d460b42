#include "Model/cbor.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "Model/json.h"

namespace hyssopbarrow {
namespace {

using nlohmann::json;

TEST_CASE("a CBOR reader returns the items that were written, in order") {
  for (const std::int64_t number :
       {std::int64_t{0}, std::int64_t{23}, std::int64_t{24}, std::int64_t{255},
        std::int64_t{256}, std::int64_t{65'536}, std::int64_t{1} << 40,
        std::numeric_limits<std::int64_t>::max(), std::int64_t{-1},
        std::int64_t{-25}, std::numeric_limits<std::int64_t>::min()}) {
    const std::string bytes = ToCbor(number);
    CborReader reader(bytes);
    CHECK(reader.Integer() == number);
    CHECK(reader.AtEnd());
  }
  const std::string text("a \0 and \xff", 8);
  const std::string bytes =
      ToCbor(json::array({json::array({1, text}), true, false, nullptr,
                          std::string(300, 'x'), json::array()}));
  CborReader reader(bytes);
  CHECK(reader.List() == 6);
  CHECK(reader.List() == 2);
  CHECK(reader.Integer() == 1);
  CHECK(reader.Text() == text);
  CHECK(reader.Flag() == true);
  CHECK(reader.Flag() == false);
  CHECK(reader.Null());
  CHECK(reader.Text() == std::string(300, 'x'));
  CHECK(reader.List() == 0);
  CHECK(reader.AtEnd());
}

TEST_CASE("a CBOR reader leaves an item of another type where it is") {
  const std::string bytes = ToCbor(json::array({7, "seven", 1.5}));
  CborReader reader(bytes);
  CHECK_FALSE(reader.Integer().has_value());
  CHECK(reader.List() == 3);
  CHECK_FALSE(reader.Text().has_value());
  CHECK_FALSE(reader.Flag().has_value());
  CHECK_FALSE(reader.Null());
  CHECK(reader.Integer() == 7);
  CHECK_FALSE(reader.List().has_value());
  CHECK(reader.Text() == "seven");
  CHECK_FALSE(reader.Integer().has_value());
  CHECK_FALSE(reader.Flag().has_value());
  CHECK(reader.Skip());
  CHECK(reader.AtEnd());
}

TEST_CASE("a CBOR reader skips items with all that they contain") {
  const json item = {{"list", {1, {2, 3}, "four"}},
                     {"text", std::string(70'000, 'x')},
                     {"empty", json::object()},
                     {"number", 2.5}};
  const std::string bytes = ToCbor(json::array({item, 5}));
  CborReader reader(bytes);
  CHECK(reader.List() == 2);
  CHECK(reader.Skip());
  CHECK(reader.Integer() == 5);
  CHECK(reader.AtEnd());
  CHECK_FALSE(reader.Skip());
}

TEST_CASE("a CBOR reader returns nothing from cut or altered bytes") {
  const std::string text = ToCbor("seven");
  for (std::size_t n = 0; n < text.size(); ++n) {
    CborReader reader(std::string_view(text).substr(0, n));
    CHECK_FALSE(reader.Text().has_value());
    CHECK_FALSE(reader.Skip());
  }
  // Lists of 2^64 - 1 and of 2^63 items in a message of a few bytes, an integer
  // above 2^63 and a text of indefinite length.
  for (const std::string& bytes :
       {std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff\x01", 10),
        std::string("\x9b\x80\x00\x00\x00\x00\x00\x00\x00\x01", 10),
        std::string("\x1b\xff\xff\xff\xff\xff\xff\xff\xff", 9),
        std::string("\x7f\x61\x61\xff", 4)}) {
    CborReader reader(bytes);
    CHECK_FALSE(reader.List().has_value());
    CHECK_FALSE(reader.Integer().has_value());
    CHECK_FALSE(reader.Text().has_value());
  }
  std::mt19937_64 rng(1);
  const std::string whole = ToCbor(json::array({1, {2, "three"}, nullptr}));
  for (int n = 0; n < 20'000; ++n) {
    std::string bytes = whole;
    bytes[rng() % bytes.size()] = static_cast<char>(rng());
    bytes.resize(rng() % (bytes.size() + 1));
    CborReader reader(bytes);
    while (reader.List() || reader.Integer() || reader.Text() ||
           reader.Skip()) {
    }
  }
}

/// Value with `levels` lists around a number.
json NestedLists(std::size_t levels) {
  json value = 1;
  for (; levels > 0; --levels) value = json::array({std::move(value)});
  return value;
}

// Guards against a limit that refuses what other entry hosts may send.
TEST_CASE("values up to the limit of nesting are decoded") {
  for (std::size_t levels = 0; levels <= kMaxNesting; ++levels) {
    const json value = NestedLists(levels);
    CHECK(ParseCbor(ToCbor(value)) == value);
    CHECK(ParseJson(value.dump()) == value);
  }
  // Brackets in text are no levels.
  const json text = {{"a", std::string(1000, '[') + "\"{\\\"["}};
  CHECK(ParseJson(text.dump()) == text);
  CHECK(ParseCbor(ToCbor(text)) == text);
  // Nor are lists beside each other.
  const json wide = json::array_t(1000, json::array({json::object()}));
  CHECK(ParseJson(wide.dump()) == wide);
  CHECK(ParseCbor(ToCbor(wide)) == wide);
}

// Guards against decoders whose recursion exceeds the stack.
TEST_CASE("values beyond the limit of nesting are not decoded") {
  for (const std::size_t levels : {kMaxNesting + 1, kMaxNesting + 2}) {
    CHECK(ParseCbor(ToCbor(NestedLists(levels))).is_null());
    CHECK(ParseJson(NestedLists(levels).dump()).is_discarded());
  }
  for (const std::string_view open :
       {"\x81", "\x9f", "\xa1\x01", "\xbf\x61\x61", "\xc1", "\x5f", "\x7f"}) {
    std::string bytes;
    while (bytes.size() < 4UL << 20) bytes += open;
    CHECK(ParseCbor(bytes).is_null());
  }
}

TEST_CASE(
    "items of indefinite length are decoded as those of definite length") {
  const std::string bytes(
      "\xbf\x61"
      "a\x9f\x01\x82\x02\x03\xff\x61"
      "b\x7f\x61"
      "c\x61"
      "d\xff\xff",
      18);
  CHECK(ParseCbor(bytes) == json{{"a", {1, {2, 3}}}, {"b", "cd"}});
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    CHECK(ParseCbor(bytes.substr(0, n)).is_null());
  }
  CHECK(ParseCbor("\xff").is_null());
  CHECK(ParseCbor("\x81\xff").is_null());
}

// Guards against numbers that `get` wraps around or cannot convert.
TEST_CASE("only integers of 64 bits with a sign are integers") {
  const std::int64_t max = std::numeric_limits<std::int64_t>::max();
  const std::int64_t min = std::numeric_limits<std::int64_t>::min();
  CHECK(AsInteger(max) == max);
  CHECK(AsInteger(min) == min);
  CHECK(AsInteger(std::uint64_t{7}) == 7);
  for (const json& value :
       {json(std::uint64_t{1} << 63), json(~std::uint64_t{0}), json(1.0),
        json(1e300), json("7"), json(true), json(), json::array({7})}) {
    CAPTURE(value);
    CHECK_FALSE(AsInteger(value).has_value());
    CHECK(IntegerOrZero({{"n", value}}, "n") == 0);
    CHECK(IntegerOrZero(value, "n") == 0);
  }
}

}  // namespace
}  // namespace hyssopbarrow
