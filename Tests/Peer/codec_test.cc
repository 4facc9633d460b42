#include "Peer/codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "Peer/greeting.h"

namespace hyssopbarrow {
namespace {

const CallId kCall{.gateway = "entry-1", .incarnation = 1'700'000, .number = 7};
const CellId kCell{.pool = "booking", .data_centre = "lukla"};

const GrantId kGrant{.dispatcher = "entry-2", .incarnation = 4, .number = 9};

std::vector<PeerMessage> SampleMessages() {
  return {
      Heartbeat{"lukla", 12, true, false, Duration(40)},
      SlotRequest{
          kCall, 2, kCell, "team", "book", Duration(1500), {"target-1"}},
      SlotGrant{kCall, 2, kCell, kGrant, "target-2"},
      SlotRefusal{kCall, 2, kCell, Reason::kCeiling},
      SlotRelease{kCell, kGrant, SlotResult::kAbandoned},
      SlotCancel{kCall, 2, kCell},
      SnapshotRequest{3},
      SnapshotReply{{{"config/team/a", {{"weight", 2}}, 5}}, Duration(3)},
      MemberReport{{{"entry-2", "lukla", "10.0.0.1:7000", 5, 12, true, false,
                     Duration(-1)}}},
      SlotSummary{kCell, 3, -77},
      SlotInventoryRequest{kCell},
      SlotInventory{kCell,
                    {{kGrant, 7, 2, "team", "book", "target-2", Duration(10)}},
                    {8, 9}},
      ShareDigest{DigestScope::kFleet, 1, 5, {0}, {250}, {1}, {2}, {3}, {4}}};
}

std::string ToCbor(const nlohmann::json& json) {
  std::string bytes;
  nlohmann::json::to_cbor(json, bytes);
  return bytes;
}

std::string ErrorOf(const nlohmann::json& json) {
  return std::string(DecodeMessage(ToCbor(json)).status().message());
}

TEST_CASE("Every message type decodes to the message that was encoded") {
  CHECK(SampleMessages().size() == std::variant_size_v<PeerMessage>);
  for (const PeerMessage& message : SampleMessages()) {
    const auto decoded = DecodeMessage(EncodeMessage(message));
    REQUIRE(decoded.ok());
    CHECK(*decoded == message);
  }
}

TEST_CASE("Decode errors name the message and the invalid field") {
  CHECK(ErrorOf({0, "lukla", 12, 1, false, 0}) ==
        "heartbeat: field 'store_reachable' must be true or false");
  CHECK(ErrorOf({0, "lukla", 12, true, false}) ==
        "heartbeat: field 'confirmed_age' is missing");
  CHECK(ErrorOf({0, "lukla", 12, true, false, 0, 1}) ==
        "heartbeat: field 'end' is followed by extra fields");
  CHECK(ErrorOf({4, {"booking", 3}, {"entry-2", 4, 9}, 0}) ==
        "slot-release.cell: field 'data_centre' must be a string");
  CHECK(ErrorOf({4, {"booking", "lukla"}, {"entry-2", 4, 9}, 99}) ==
        "slot-release: field 'result' is out of range");
  CHECK(ErrorOf({99}) == "message: unknown value of field 'kind': 99");
  CHECK_FALSE(DecodeMessage("").ok());
}

TEST_CASE("Truncated or damaged bytes cause at most an error") {
  std::mt19937_64 random(20261204);
  for (const PeerMessage& message : SampleMessages()) {
    const std::string whole = EncodeMessage(message);
    for (std::size_t n = 0; n < whole.size(); ++n) {
      CHECK_FALSE(DecodeMessage(whole.substr(0, n)).ok());
      std::string damaged = whole;
      damaged[n] = static_cast<char>(random());
      const auto decoded = DecodeMessage(damaged);
      CHECK((decoded.ok() || !decoded.status().message().empty()));
    }
  }
}

// Guards against a process that ends because a message is nested so deeply that
// its decoder exceeds the stack.
TEST_CASE("A message or a greeting that is nested too deeply is an error") {
  constexpr std::size_t kMessageBytes = 4UL << 20;
  for (const char first : {'\x81', '\x9f', '\xa1', '\xbf', '\xc1', '\x7f'}) {
    const std::string deep(kMessageBytes, first);
    CHECK_FALSE(DecodeMessage(deep).ok());
    CHECK_FALSE(DecodeMessage("\x82\x07" + deep).ok());
    CHECK_FALSE(DecodeGreeting(deep).ok());
    CHECK_FALSE(DecodeGreeting("\x87\x01" + deep).ok());
  }
}

// Guards against a deadline that has passed because its duration overflows.
TEST_CASE("A message with a duration that no clock can add is an error") {
  for (const std::int64_t us : {INT64_MAX, INT64_MIN, std::int64_t{1} << 62}) {
    CHECK(ErrorOf({0, "lukla", 12, true, false, us}) ==
          "heartbeat: field 'confirmed_age' is out of range");
  }
}

// Guards against a process that ends when it forwards text that is no UTF-8.
TEST_CASE("A message with text that is not UTF-8 is an error") {
  CHECK_FALSE(DecodeMessage(ToCbor({0, "\xff", 12, true, false, 0})).ok());
  CHECK_FALSE(
      DecodeMessage(EncodeMessage(SnapshotReply{{{"a", {{"b", "\x80"}}, 5}}}))
          .ok());
}

}  // namespace
}  // namespace hyssopbarrow
