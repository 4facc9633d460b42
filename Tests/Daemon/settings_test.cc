#include "Daemon/settings.h"

#include <catch2/catch.hpp>

namespace hyssopbarrow {
namespace {

constexpr char kValid[] =
    "node: {name: entry-1, data_centre: namche}\n"
    "callers: {listen: 127.0.0.1:8080}\n"
    "operators: {listen: 127.0.0.1:8081}\n"
    "table: {address: 127.0.0.1:8090}\n";

std::string ErrorOf(const std::string& text) {
  return std::string(ParseSettings(text, "f.yaml").status().message());
}

TEST_CASE("Valid settings are parsed") {
  const auto settings = ParseSettings(kValid, "f.yaml");
  REQUIRE(settings.ok());
  CHECK(settings->node_name == "entry-1");
  CHECK(settings->table == Address{"127.0.0.1", 8090});
}

TEST_CASE("The optional peers section is parsed") {
  const std::string valid = kValid;
  const auto settings = ParseSettings(
      valid +
          "peers: {listen: 10.0.0.1:7000, secret: s, seeds: "
          "[10.0.0.2:7000, 10.0.0.3:7000]}\nstop: {drain_ms: 50}\n",
      "f.yaml");
  REQUIRE(settings.ok());
  CHECK(settings->drain_ms == 50);
  CHECK(settings->peers->seeds.size() == 2);
  CHECK(settings->peers->advertise == Address{"10.0.0.1", 7000});
  CHECK(ErrorOf(valid + "peers: {listen: 10.0.0.1:7000}\n") ==
        "f.yaml:5: field 'peers': expected 'secret' or 'secret_file'");
  CHECK(ErrorOf(valid + "peers: {secret: s}\n") ==
        "f.yaml:1: field 'peers.listen': is missing");
  CHECK(ErrorOf(valid + "peers: {listen: 10.0.0.1:7000, seeds: a}\n") ==
        "f.yaml:5: field 'peers.seeds': expected a list");
}

TEST_CASE("Errors in settings name file, line and field") {
  const std::string valid = kValid;
  CHECK(ErrorOf(valid + "log: {level: loud}\n") ==
        "f.yaml:5: field 'log.level': expected debug, info, warn or error");
  CHECK(ErrorOf(valid + "log: {levle: info}\n") ==
        "f.yaml:5: field 'log.levle': is unknown");
  CHECK(ErrorOf(valid + "pool: {}\n") == "f.yaml:5: field 'pool': is unknown");
  CHECK(ErrorOf("node: {name: a}\n") ==
        "f.yaml:1: field 'node.data_centre': is missing");
  CHECK(ErrorOf("- a\n") == "f.yaml:1: field 'document': expected sections");
  CHECK(ErrorOf("table: {address: here}\n") ==
        "f.yaml:1: field 'table.address': expected IP:port, for example "
        "127.0.0.1:8080, not "
        "'here'");
}

}  // namespace
}  // namespace hyssopbarrow
