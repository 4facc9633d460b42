#include "Fleet/relay_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

TargetRequest MakeStart(std::int64_t id) {
  return {.id = id,
          .kind = TargetRequestKind::kStart,
          .target = "i-1",
          .address = "10.0.0.1:80",
          .relay = "10.0.0.9:7001",
          .fencing_token = 7,
          .lease_until_ms = 486'000,
          .task = {"0123456789abcdef", 0, 1, 17},
          .run = 2,
          .payload = std::string("with \0 and \xff bytes", 18),
          .checkpoint = "saved",
          .ticket = "ticket",
          .timeout = milliseconds(700)};
}

TEST_CASE("target requests survive the way to a relay") {
  TargetRequest poll{.id = 2, .target = "i-2", .address = "10.0.0.2:80"};
  poll.last_end_stored = 57;
  poll.wait = milliseconds(1400);
  poll.timeout = milliseconds(2100);
  poll.fresh_connection = true;
  const auto decoded = DecodeRelayRequests(
      EncodeRelayRequests({MakeStart(1), poll, MakeStart(3)}));
  REQUIRE(decoded.ok());
  REQUIRE(decoded->size() == 3);
  for (const std::size_t n : {0, 2}) {
    const TargetRequest& start = (*decoded)[n];
    const TargetRequest sent = MakeStart(start.id);
    CHECK(start.kind == sent.kind);
    CHECK(start.target == sent.target);
    CHECK(start.address == sent.address);
    CHECK(start.relay.empty());
    CHECK(start.fencing_token == sent.fencing_token);
    CHECK(start.lease_until_ms == sent.lease_until_ms);
    CHECK(start.task == sent.task);
    CHECK(start.run == sent.run);
    CHECK(start.payload == sent.payload);
    CHECK(start.checkpoint == sent.checkpoint);
    CHECK(start.ticket == sent.ticket);
    CHECK(start.timeout == sent.timeout);
  }
  CHECK((*decoded)[1].kind == TargetRequestKind::kPoll);
  CHECK_FALSE((*decoded)[1].lease_until_ms.has_value());
  CHECK((*decoded)[1].last_end_stored == 57);
  CHECK((*decoded)[1].wait == poll.wait);
  CHECK((*decoded)[1].fresh_connection);
  CHECK((*decoded)[1].task.job.empty());
}

TEST_CASE("the payload of several starts is sent once") {
  TargetRequest start = MakeStart(1);
  start.payload = std::string(4000, 'x');
  std::vector<TargetRequest> starts(8, start);
  CHECK(EncodeRelayRequests(starts).size() < 6000);
}

TEST_CASE("target replies survive the way from a relay") {
  TargetReply reply{.result = TargetResult::kDone,
                    .clock_ms = 482'113,
                    .started_unix_ms = 1'790'000'000'000};
  reply.runs.push_back({{"0123456789abcdef", 0, 1, 17}, 2, "saved", 41, 900});
  reply.ends.push_back(
      {58, {"0123456789abcdef", 0, 1, 9}, 1, RunEndKind::kFailed, "last"});
  reply.complete = false;
  const auto decoded = DecodeRelayReplies(EncodeRelayReplies({{9, reply}}));
  REQUIRE(decoded.ok());
  REQUIRE(decoded->size() == 1);
  const auto& [id, result] = decoded->front();
  CHECK(id == 9);
  CHECK(result.result == TargetResult::kDone);
  CHECK(result.clock_ms == reply.clock_ms);
  CHECK(result.started_unix_ms == reply.started_unix_ms);
  REQUIRE(result.runs.size() == 1);
  CHECK(result.runs[0].task == reply.runs[0].task);
  CHECK(result.runs[0].checkpoint == "saved");
  CHECK(result.runs[0].speed_percent == 41);
  CHECK(result.runs[0].load == 900);
  REQUIRE(result.ends.size() == 1);
  CHECK(result.ends[0].number == 58);
  CHECK(result.ends[0].kind == RunEndKind::kFailed);
  CHECK(result.ends[0].checkpoint == "last");
  CHECK_FALSE(result.complete);
}

TEST_CASE("a malformed relay message gets an error that names the field") {
  const auto encode = [](const nlohmann::json& message) {
    std::string bytes;
    nlohmann::json::to_cbor(message, bytes);
    return bytes;
  };
  CHECK_FALSE(DecodeRelayRequests("").ok());
  CHECK_FALSE(DecodeRelayReplies("{}").ok());
  const auto no_rows = DecodeRelayRequests(
      encode(nlohmann::json::array({nlohmann::json::array()})));
  CHECK(no_rows.status().message() ==
        "relay requests: field \"requests\" must be a list");
  const auto no_target = DecodeRelayRequests(
      encode({nlohmann::json::array(), {{1, 0, 5, "10.0.0.1:80"}}}));
  CHECK(no_target.status().message() ==
        "relay request 0: field \"target\" must be a string");
  const auto bad_kind = DecodeRelayRequests(
      encode({nlohmann::json::array(), {{1, 9, "i-1", "10.0.0.1:80"}}}));
  CHECK(bad_kind.status().message() ==
        "relay request 0: field \"kind\" must be from 0 to 3");
  const auto bad_result = DecodeRelayReplies(encode({{1, -1}}));
  CHECK(bad_result.status().message() ==
        "relay reply 0: field \"result\" must be from 0 to 11");
}

TEST_CASE("cut and altered relay messages are decoded or rejected") {
  std::mt19937_64 rng(1);
  TargetReply reply;
  reply.runs.push_back({{"0123456789abcdef", 0, 1, 17}, 2, "saved", 41, 900});
  reply.ends.push_back({58, {"0123456789abcdef", 0, 1, 9}, 1});
  const std::string requests = EncodeRelayRequests({MakeStart(1)});
  const std::string replies = EncodeRelayReplies({{9, reply}});
  for (int n = 0; n < 20'000; ++n) {
    for (const bool is_request : {true, false}) {
      std::string bytes = is_request ? requests : replies;
      const std::size_t at = rng() % bytes.size();
      if (n % 3 == 0) {
        bytes.resize(at);
      } else {
        bytes[at] = static_cast<char>(rng());
      }
      const absl::Status status = is_request
                                      ? DecodeRelayRequests(bytes).status()
                                      : DecodeRelayReplies(bytes).status();
      if (!status.ok()) CHECK_FALSE(status.message().empty());
    }
  }
}

}  // namespace
}  // namespace hyssopbarrow::fleet
