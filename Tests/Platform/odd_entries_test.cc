#include <catch2/catch.hpp>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "Model/cbor.h"
#include "Model/text.h"
#include "absl/strings/escaping.h"
#include "callers.h"
#include "fleet_wire.h"
#include "job_wire.h"
#include "store_wire.h"
#include "target_wire.h"

namespace hyssopbarrow::platform {
namespace {

using fleet::Table;
using nlohmann::json;

/// Most bytes of the value of a row.
constexpr std::size_t kMaxRowBytes = 65'536;
/// Most bytes of the message of a peer.
constexpr std::size_t kMaxMessageBytes = 4UL << 20;

const std::string kGoodTarget =
    R"({"Service":"desk","Address":"10.0.0.9:80","State":"ready","born":5,)"
    R"("Capacity":{"Cpu":64000,"MemMb":9,"Gpu":1}})";

std::string Repeat(std::string_view text, std::size_t n) {
  std::string out;
  for (; n > 0; --n) out += text;
  return out;
}

/// Values of `bytes` bytes with as many levels as fit.
std::vector<std::string> DeepValues(std::size_t bytes) {
  const std::size_t lists = bytes / 2;
  const std::size_t objects = bytes / 6;
  const std::size_t maps = bytes / 3 - 1;
  return {Repeat("[", lists) + Repeat("]", lists),
          Repeat("[", bytes),
          Repeat(R"({"a":)", objects) + "1" + Repeat("}", objects),
          R"({"State":"ready","Service":)" + Repeat("[", lists - 20) +
              Repeat("]", lists - 20) + "}",
          "\xa1\x61"
          "a" +
              std::string(bytes - 4, '\x81') + "\x01",
          "\xa1\x61"
          "a" +
              std::string(bytes - 4, '\x9f') + "\x01",
          Repeat("\xa1\x61"
                 "a",
                 maps) +
              "\x01",
          Repeat("\xbf\x61"
                 "a",
                 maps) +
              "\x01",
          "\xa1\x61"
          "a" +
              std::string(bytes - 3, '\x7f')};
}

HttpResponse MakeResponse(int status, const std::string& body) {
  return {.status = status, .headers = {}, .body = body};
}

json StoreRow(const std::string& key, const std::string& value) {
  std::string base64;
  absl::Base64Escape(value, &base64);
  return {{"Key", key}, {"Value", base64}, {"Ver", 3}};
}

fleet::StoreRows Decode(Table table, std::vector<json> rows) {
  const json body = {{"rows", std::move(rows)}, {"Ver", 9}};
  return DecodeRows(table, MakeResponse(200, body.dump()), 500);
}

fleet::StoreRows DecodeValues(Table table, const std::string& odd) {
  return Decode(table, {StoreRow("a", kGoodTarget), StoreRow("b", odd),
                        StoreRow("c", kGoodTarget)});
}

// Guards against a process that ends because one entry is nested so deeply that
// its decoder, its copy or its text exceeds the stack.
TEST_CASE("an entry that is nested too deeply is an error") {
  const Table table =
      GENERATE(Table::kTargets, Table::kOwner, Table::kJobs, Table::kProgress);
  for (const std::string& value : DeepValues(kMaxRowBytes)) {
    CAPTURE(static_cast<int>(table), value.substr(0, 40));
    const fleet::StoreRows rows = DecodeValues(table, value);
    CHECK(rows.status == StoreStatus::kOk);
    CHECK(rows.errors.size() == 1);
    CHECK(rows.targets.size() == (table == Table::kTargets ? 2 : 0));
    // A claim needs the revision of an odd row of the ownership.
    const std::size_t readable = table == Table::kOwner ? 3 : 2;
    CHECK(rows.rows.size() == (table == Table::kTargets ? 0 : readable));
    CHECK(rows.last_key == "c");
  }
}

// Guards against the same fault of the replies of targets, of the host provider
// and of approvals, and of the jobs of callers.
TEST_CASE("a body that is nested too deeply is invalid") {
  for (const std::string& body : DeepValues(kMaxMessageBytes)) {
    CAPTURE(body.substr(0, 40));
    const absl::Status job = DecodeJob(body).status();
    CHECK_FALSE(job.ok());
    CHECK(job.message().find("JSON") != std::string::npos);
    fleet::HostList hosts;
    CHECK_FALSE(DecodeHosts(body, hosts).ok());
    CHECK(DecodeTargetReply(MakeResponse(200, body)).runs.empty());
    CHECK(DecodeTargetReply(MakeResponse(200, body)).result ==
          fleet::TargetResult::kNoReply);
    CHECK_FALSE(DecodeApprovalReply(MakeResponse(200, body)).answered);
    CHECK(DecodeHostRequestResult(MakeResponse(409, body)) ==
          fleet::HostRequestResult::kBusy);
    const auto rows = DecodeRows(Table::kJobs, MakeResponse(200, body), 500);
    CHECK(rows.status == StoreStatus::kUnknown);
  }
  const std::size_t levels = kMaxMessageBytes / 4;
  fleet::HostList hosts;
  CHECK_FALSE(DecodeHosts(R"({"Machines":[],"NextToken":)" +
                              Repeat("[", levels) + Repeat("]", levels) + "}",
                          hosts)
                  .ok());
}

// Guards against a process that ends when it forwards text in CBOR that is no
// UTF-8, which nlohmann's dump does not accept.
TEST_CASE("an entry in CBOR with text that is not UTF-8 is an error") {
  for (const std::string text :
       {"\xff", "a\x80", "\xc0\xaf", "\xe2\x82", "\xed\xa0\x80", "\xf0\x9f\x92",
        "\xf4\x90\x80\x80", "\xf8\x88\x80\x80\x80"}) {
    CAPTURE(absl::BytesToHexString(text));
    const std::vector<json> values = {
        {{"payload", text}}, {{text, 1}}, {{"steps", {{{"image", text}}}}}};
    for (const json& value : values) {
      const fleet::StoreRows rows = DecodeValues(Table::kJobs, ToCbor(value));
      CHECK(rows.errors.size() == 1);
      CHECK(rows.rows.size() == 2);
    }
  }
  const json fine = {{"payload", "K\xc3\xa4se \xe2\x82\xac \xf0\x9f\x92\xa1"}};
  const fleet::StoreRows rows = DecodeValues(Table::kJobs, ToCbor(fine));
  REQUIRE(rows.rows.size() == 3);
  CHECK(rows.rows[1].value == fine);
}

// Guards against a process that ends at a request whose text is no UTF-8.
TEST_CASE("requests are encoded whatever bytes their text has") {
  const std::string text = "\xff\xfe";
  const fleet::TargetRequest start{.kind = fleet::TargetRequestKind::kStart,
                                   .task = {text, 0, 0, 0},
                                   .payload = text,
                                   .checkpoint = text,
                                   .ticket = text};
  CHECK_NOTHROW(EncodeTargetRequest(start));
  CHECK_NOTHROW(
      EncodeApprovalRequest({.step = text, .targets = {text, "i-1"}}));
  CHECK_NOTHROW(EncodeHostRequest({.host = text, .pool = text}));
  CHECK_NOTHROW(EncodeHostRequest({.host = text}));
  CHECK_NOTHROW(EncodeCommit(
      {.writes = {{{Table::kJobs, text}, {{"payload", text}}}}}, 1));
}

// Guards against a process that ends at a refusal whose reason is no text.
TEST_CASE("a refusal of the host provider may have any reason") {
  const auto body = GENERATE(R"({"Reason":7})", R"({"Reason":null})",
                             R"({"Reason":{}})", R"([])", "", "{");
  CHECK(DecodeHostRequestResult(MakeResponse(409, body)) ==
        fleet::HostRequestResult::kBusy);
}

/// Returns the good target with one more field, which replaces that of the
/// same name.
json TargetWith(const std::string& name, const json& value) {
  json target = json::parse(kGoodTarget);
  target[name] = value;
  return target;
}

// Guards against numbers of an entry that become other ones, whose sums
// overflow or to which no connection can be made.
TEST_CASE("an entry with a number out of range is an error by field") {
  const std::int64_t max = std::numeric_limits<std::int64_t>::max();
  const std::int64_t min = std::numeric_limits<std::int64_t>::min();
  const std::uint64_t past_int64 = 1ULL << 63;
  struct OddField {
    json target;
    std::string field;
  };
  std::vector<OddField> odd;
  for (const json& number : {json(past_int64), json(max), json(min), json(-1),
                             json(1e300), json("5"), json::array({5})}) {
    odd.push_back({TargetWith("born", number), "born"});
    for (const char* name : {"Cpu", "MemMb", "Gpu"}) {
      odd.push_back({TargetWith("Capacity", {{name, number}}), "Capacity"});
    }
  }
  for (const json& address :
       {json("10.0.0.9:0"), json("10.0.0.9:65536"), json("10.0.0.9:-1"),
        json("10.0.0.9:99999999999999999999"), json("10.0.0.9:x"),
        json("10.0.0.9:"), json("10.0.0.9"), json(":80"), json("[::1]:80"),
        json("10.0.0.9:80 "), json(std::string("10.0.0.9\0:80", 12)), json(80),
        json("")}) {
    odd.push_back({TargetWith("Address", address), "Address"});
  }
  for (const OddField& it : odd) {
    CAPTURE(it.target.dump());
    const fleet::StoreRows rows =
        DecodeValues(Table::kTargets, it.target.dump());
    CHECK(rows.targets.size() == 2);
    CHECK(rows.removed_targets == std::vector<std::string>{"b"});
    REQUIRE(rows.errors.size() == 1);
    CHECK(rows.errors[0].find(it.field) != std::string::npos);
  }
}

// Guards against numbers of callers that become others.
TEST_CASE("a job with a number past 64 bits is invalid") {
  for (const std::string field :
       {"Count", "EstimateMs", "AntiAffinity", "TargetMs", "MayMiss", "Cpu"}) {
    for (const std::string number :
         {"9223372036854775808", "18446744073709551615",
          "18446744073709551616"}) {
      const std::string body =
          StrCat(R"({"Steps":[{"Count":1,")", field, R"(":)", number, "}]}");
      CAPTURE(body);
      const absl::Status status = DecodeJob(body).status();
      CHECK_FALSE(status.ok());
      CHECK(status.message().find(field) != std::string::npos);
    }
  }
  CHECK_FALSE(
      DecodeJob(
          R"({"Steps":[{"Count":2},{"Count":1,"DependsOn":[18446744073709551615]}]})")
          .ok());
}

// Guards against conversions of numbers that are outside the range of integers.
TEST_CASE("a wave with a duration out of range is an error by field") {
  for (const std::string duration :
       {"1e300", "-1e300", "9.3e15", "-1", "9223372036854775807"}) {
    CAPTURE(duration);
    const auto wave = DecodeWave(json::parse(
        StrCat(R"({"Wave":1,"Machines":["m"],"DurationS":)", duration, "}")));
    REQUIRE_FALSE(wave.ok());
    CHECK(wave.status().message().find("DurationS") != std::string::npos);
  }
  for (const double number : {std::numeric_limits<double>::infinity(),
                              std::numeric_limits<double>::quiet_NaN()}) {
    CHECK_FALSE(DecodeWave({{"Wave", 1}, {"DurationS", number}}).ok());
  }
  const auto wave = DecodeWave({{"Wave", 1}, {"DurationS", 1.5}});
  REQUIRE(wave.ok());
  CHECK(wave->duration_ms == 1500);
}

// Guards against conversions of numbers that are outside the range of integers.
TEST_CASE("a run with odd numbers does not hide the others") {
  for (const std::string number : {"1e300", "-1e300", "9223372036854775808",
                                   "18446744073709551615", "1e18", "-5"}) {
    CAPTURE(number);
    const std::string body = StrCat(
        R"({"ClockMs":)", number, R"(,"born":)", number,
        R"(,"Running":[["a1.0.0.0",1,"",)", number, ",", number,
        R"(],["a1.0.0.1",)", number, R"(,"",100],["a1.0.0.2",2,"",100,7]],)",
        R"("Ended":[[)", number, R"(,"a1.0.0.3",1,"done",""],[5,"a1.0.0.4",)",
        number, R"(,"done",""],[6,"a1.0.0.5",1,"done",""]]})");
    const fleet::TargetReply reply = DecodeTargetReply(MakeResponse(200, body));
    CHECK(reply.clock_ms == 0);
    CHECK(reply.started_unix_ms == 0);
    REQUIRE(!reply.runs.empty());
    CHECK(reply.runs.back().task.index == 2);
    CHECK(reply.runs.back().load == 7);
    for (const fleet::ReportedRun& run : reply.runs) {
      CHECK(run.run >= 0);
      CHECK(run.speed_percent >= 0);
      CHECK(run.speed_percent <= 1'000'000);
      CHECK(run.load >= 0);
      CHECK(run.load <= 1'000'000'000);
    }
    REQUIRE(!reply.ends.empty());
    CHECK(reply.ends.back().number == 6);
    for (const fleet::RunEnd& end : reply.ends) {
      CHECK(end.number >= 0);
      CHECK(end.run >= 0);
    }
    CHECK_FALSE(reply.complete);
  }
}

// Runs that could not be read counted as gone, and were started a second time.
TEST_CASE(
    "a reply whose runs cannot be read does not say that there are none") {
  for (const std::string body :
       {"{", "7", "[]", R"({"ClockMs":5,"Running":7})",
        R"({"ClockMs":5,"Running":[],"Ended":{"a":1}})"}) {
    CAPTURE(body);
    CHECK(DecodeTargetReply(MakeResponse(200, body)).result ==
          fleet::TargetResult::kNoReply);
  }
  CHECK_FALSE(DecodeTargetReply(MakeResponse(200, "")).complete);
  const std::string odd = R"({"ClockMs":5,"Running":[["a1.0.0.0",-1,"",100]]})";
  CHECK_FALSE(DecodeTargetReply(MakeResponse(200, odd)).complete);
  const std::string good = R"({"ClockMs":5,"Running":[["a1.0.0.0",1,"",100]]})";
  CHECK(DecodeTargetReply(MakeResponse(200, good)).complete);
}

// Guards against a deadline that has passed because its duration overflows.
TEST_CASE("a timeout of any length leaves its caller time") {
  const auto text = GENERATE("9223372036854775807", "9223372036854776",
                             "18446744073709551616", "3600000");
  HttpRequest request{.method = "GET", .path = "/"};
  request.headers.push_back({"x-hyssopbarrow-request-timeout-ms", text});
  CAPTURE(text);
  CHECK(CallerCodec().Decode(request).time_left >= std::chrono::seconds(3));
}

}  // namespace
}  // namespace hyssopbarrow::platform
