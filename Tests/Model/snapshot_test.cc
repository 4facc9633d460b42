#include "Model/snapshot.h"

#include <catch2/catch.hpp>

#include "Standalone/sample.h"

namespace hyssopbarrow {
namespace {

TEST_CASE("ParseSnapshot rebuilds a snapshot from its rows") {
  const Snapshot sample =
      SampleSnapshot({"127.0.0.1:1", "127.0.0.1:2"}, "namche");
  const auto parsed = ParseSnapshot(ToRows(sample));
  REQUIRE(parsed.ok());
  CHECK(parsed->teams == sample.teams);
  CHECK(parsed->hosts == sample.hosts);
  CHECK(parsed->queues == sample.queues);
  CHECK(parsed->keys == sample.keys);
  CHECK(parsed->revision == sample.revision);
}

TEST_CASE("CheckConfigRow names the invalid field of a row") {
  const auto error = [](std::string_view kind, const char* json) {
    const auto value = nlohmann::json::parse(json);
    return std::string(CheckConfigRow(kind, "x", value).message());
  };
  CHECK(error("team", R"({"weight": 0})") ==
        "team 'x': field 'weight' must be an integer from 1 to 1000000");
  CHECK(error("team", R"({"wieght": 1})") ==
        "team 'x': field 'wieght' is not known");
  CHECK(error("host", R"({"pool": "p"})") ==
        "host 'x': field 'data_centre' must be present");
  CHECK(error("key", R"({"digest": "00", "team": "t"})") ==
        "key 'x': field 'digest' must be 64 lower-case hexadecimal digits");
  CHECK(error("queue", R"({"pool": "p", "class": "fast"})") ==
        "queue 'x': field 'class' must be urgent or long");
  CHECK(error("fleet", "{}") == "kind 'fleet' is not known");
}

TEST_CASE("ParseSnapshot rejects a reference to a missing row") {
  Snapshot sample = SampleSnapshot({"127.0.0.1:1"}, "namche");
  sample.pools.erase("booking");
  const auto parsed = ParseSnapshot(ToRows(sample));
  REQUIRE_FALSE(parsed.ok());
  CHECK(std::string(parsed.status().message()) ==
        "queue 'book': field 'pool' refers to 'booking', which does not exist");
}

}  // namespace
}  // namespace hyssopbarrow
