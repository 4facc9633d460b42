#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Fleet/job_api.h"
#include "Fleet/relay_codec.h"
#include "Model/cbor.h"
#include "Model/job.h"
#include "Model/json.h"
#include "Model/row.h"
#include "Model/snapshot.h"
#include "Model/text.h"
#include "Peer/codec.h"
#include "Peer/greeting.h"
#include "Policy/claim_row.h"
#include "Policy/progress_rows.h"
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

constexpr char kJobId[] = "00000000000000a1";
constexpr int kRoundsPerDecoder = 1'500;

/// Text that a mutation inserts: numbers past each limit, brackets, parts of
/// CBOR items and bytes that are not UTF-8.
const std::vector<std::string> kOddTexts = {
    "9223372036854775807",
    "9223372036854775808",
    "18446744073709551615",
    "-9223372036854775808",
    "1e308",
    "-1e308",
    "1e999",
    "0",
    "-1",
    "65536",
    "null",
    "true",
    "[]",
    "{}",
    "\"\"",
    std::string(200, '['),
    std::string(200, '\x81'),
    std::string(200, '\x9f'),
    "\xff",
    "\xfb\x7f\xf0",
    std::string("\x1b\x7f\xff\xff\xff\xff\xff\xff\xff", 9),
    std::string("\x3b\x7f\xff\xff\xff\xff\xff\xff\xff", 9),
    std::string("\x1b\xff\xff\xff\xff\xff\xff\xff\xff", 9),
    std::string("\xfb\x7f\xf0\x00\x00\x00\x00\x00\x00", 9)};

class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : rng_(seed) {}

  std::string Mutate(std::string bytes) {
    for (std::size_t n = 1 + Pick(4); n > 0; --n) MutateOnce(bytes);
    return bytes;
  }

  std::size_t Pick(std::size_t n) { return n == 0 ? 0 : rng_() % n; }

 private:
  void MutateOnce(std::string& bytes) {
    const std::size_t at = Pick(bytes.size() + 1);
    const std::size_t size = Pick(12);
    const std::string& odd = kOddTexts[Pick(kOddTexts.size())];
    switch (Pick(6)) {
      case 0:
        if (at < bytes.size()) bytes[at] = static_cast<char>(rng_());
        return;
      case 1:
        bytes.insert(at, odd);
        return;
      case 2:
        bytes.replace(at, size, odd);
        return;
      case 3:
        bytes.erase(at, size);
        return;
      case 4:
        bytes.insert(at, bytes.substr(Pick(bytes.size() + 1), size));
        return;
      default:
        ReplaceNumber(bytes, at, odd);
    }
  }

  /// Replaces the decimal number at or after `at`.
  static void ReplaceNumber(std::string& bytes, std::size_t at,
                            const std::string& odd) {
    const std::size_t first = bytes.find_first_of("0123456789", at);
    if (first == std::string::npos) return;
    const std::size_t end = bytes.find_first_not_of("0123456789", first);
    bytes.replace(first, end == std::string::npos ? end : end - first, odd);
  }

  std::mt19937_64 rng_;
};

struct Decoder {
  std::string name;
  std::vector<std::string> samples;
  /// Returns whether the bytes were accepted.
  std::function<bool(const std::string&)> decode;
};

HttpResponse Ok(const std::string& body) {
  return {.status = 200, .headers = {}, .body = body};
}

fleet::JobRecord SampleRecord() {
  fleet::JobRecord record{.id = kJobId, .queue = "book", .pool = "desk"};
  record.spec.payload = "text";
  record.spec.steps = {{.count = 3, .estimate_ms = 500},
                       {.count = 1, .depends_on = {0}}};
  record.spec.repeats = 2;
  record.spec.start_ms = 1'700'000'000'000;
  record.spec.interval_ms = 60'000;
  return record;
}

bool DecodeRowOf(Table table, const std::string& value) {
  std::string base64;
  absl::Base64Escape(value, &base64);
  const json body = {
      {"rows", {{{"Key", kJobId}, {"Value", base64}, {"Ver", 3}}}}, {"Ver", 9}};
  const fleet::StoreRows rows = DecodeRows(table, Ok(body.dump()), 500);
  for (const Row& row : rows.rows) {
    fleet::Job job;
    job.record = SampleRecord();
    if (fleet::ApplyProgress(row.value, {}, job).ok()) {
      CHECK_NOTHROW(ToCbor(fleet::ProgressRow(job)));
    }
    const auto record = fleet::ParseJobRecord(kJobId, row.value);
    if (record.ok()) {
      job.record = *record;
      job.open_occurrences[0] = fleet::NewOccurrence(record->spec, {});
      fleet::FindCriticalPath({}, job, job.open_occurrences[0]);
      CHECK_NOTHROW(EncodeTargetRequest({.payload = record->spec.payload}));
    }
    fleet::RunTimes run_times;
    fleet::RestoreRunTimes(row.value, run_times);
    ParseClaimRow(row.value);
  }
  return rows.errors.empty();
}

std::vector<Decoder> Decoders() {
  const std::string target =
      R"({"Service":"desk","Address":"10.0.0.9:80","Zone":"a","State":"ready",)"
      R"("born":5,"Machine":"m-1","Capacity":{"Cpu":64000,"MemMb":9,"Gpu":1},)"
      R"("Labels":["a","r1-1"]})";
  const std::string job =
      R"({"Spec":"text","RepeatCount":2,"StartMs":5,"IntervalMs":6,"Steps":[)"
      R"({"Count":4,"Cpu":500,"EstimateMs":900},{"Count":2,"DependsOn":[0]}]})";
  const std::string configuration =
      R"({"Version":3,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/",)"
      R"("Service":"desk","SlackFactor":2.5,"TargetLatencyMs":30,)"
      R"("Advice":{"DecideMs":1,"EachMs":2,"ValidMs":3}}],)"
      R"("Services":[{"Name":"desk","Spare":false}],)"
      R"("Tenants":[{"Name":"t","Weight":2,"UpperLimit":{"Cpu":5}}]})";
  const std::string reply =
      R"({"ClockMs":5,"born":6,"Running":[["a1.0.0.0",1,"",100,7]],)"
      R"("Ended":[[4,"a1.0.0.3",1,"done","saved"]]})";
  const std::string hosts =
      R"({"Machines":[{"Machine":"m-1","Pool":"desk","State":"up",)"
      R"("Labels":["a"],"Id":"i-1"}],"NextToken":7})";
  const std::string progress = ToCbor(
      {{"state", "running"},
       {"finished", {0}},
       {"done", {{"1.0", "010"}}},
       {"failures", {{"1.0.0", {1, 1001}}}},
       {"crashes", {{"1.0.2", {{3, 1}}}}},
       {"saved", {{"1.0.2", "0000abcd"}}},
       {"sent", {{"1.0.2", json::array({json::array({"i-1", 77, 1002})})}}}});
  const std::string record = fleet::ToJson(SampleRecord()).dump();
  fleet::TargetReply relayed{.clock_ms = 5, .started_unix_ms = 6};
  relayed.runs.push_back({.task = {kJobId, 0, 0, 1}, .run = 2});
  relayed.ends.push_back({.number = 3, .task = {kJobId, 0, 0, 2}, .run = 1});
  const auto row_decoder = [](Table table) {
    return
        [table](const std::string& bytes) { return DecodeRowOf(table, bytes); };
  };
  return {
      {"targets", {target}, row_decoder(Table::kTargets)},
      {"configuration",
       {configuration},
       [](const std::string& bytes) {
         std::vector<std::string> problems;
         return DecodeConfiguration(ParseJson(bytes), problems).ok();
       }},
      {"wave",
       {R"({"Wave":1,"Machines":["m"],"DurationS":2.5,"UpperLimit":1})"},
       [](const std::string& bytes) {
         return DecodeWave(ParseJson(bytes)).ok();
       }},
      {"progress", {progress}, row_decoder(Table::kProgress)},
      {"jobs", {record, ToCbor(ParseJson(record))}, row_decoder(Table::kJobs)},
      {"ownership",
       {R"({"epoch":3,"holder":"n-1@1","address":"10.0.0.1:80"})"},
       row_decoder(Table::kOwner)},
      {"store reply",
       {R"({"rows":[{"Key":"a","Value":"e30=","Ver":3}],"Ver":9})"},
       [](const std::string& bytes) {
         return DecodeRows(Table::kJobs, Ok(bytes), 500).status ==
                StoreStatus::kOk;
       }},
      {"target reply",
       {reply},
       [](const std::string& bytes) {
         const fleet::TargetReply decoded = DecodeTargetReply(Ok(bytes));
         CHECK_NOTHROW(fleet::EncodeRelayReplies({{1, decoded}}));
         return !decoded.runs.empty();
       }},
      {"approval",
       {R"({"ValidMs":900,"Good":[["i-1","ticket"]]})"},
       [](const std::string& bytes) {
         return DecodeApprovalReply(Ok(bytes)).answered;
       }},
      {"hosts",
       {hosts},
       [](const std::string& bytes) {
         fleet::HostList list;
         return DecodeHosts(bytes, list).ok();
       }},
      {"host refusal",
       {R"({"Reason":"fence"})"},
       [](const std::string& bytes) {
         return DecodeHostRequestResult(
                    {.status = 409, .headers = {}, .body = bytes}) ==
                fleet::HostRequestResult::kFenced;
       }},
      {"job of a caller",
       {job},
       [](const std::string& bytes) {
         const auto spec = DecodeJob(bytes);
         return spec.ok() && fleet::Validate(*spec).ok();
       }},
      {"job of the own API",
       {R"({"steps":[{"count":2,"estimate_ms":5,"depends_on":[]}]})"},
       [](const std::string& bytes) {
         return fleet::JobCodec()
             .Decode({.method = "POST", .body = bytes})
             .spec_error.empty();
       }},
      {"relay requests",
       {fleet::EncodeRelayRequests(
           {{.id = 1, .target = "i-1", .task = {kJobId, 0, 0, 1}, .run = 2}})},
       [](const std::string& bytes) {
         const auto requests = fleet::DecodeRelayRequests(bytes);
         if (!requests.ok()) return false;
         for (const fleet::TargetRequest& it : *requests) {
           CHECK_NOTHROW(EncodeTargetRequest(it));
         }
         return true;
       }},
      {"relay replies",
       {fleet::EncodeRelayReplies({{1, relayed}})},
       [](const std::string& bytes) {
         return fleet::DecodeRelayReplies(bytes).ok();
       }},
      {"peer message",
       {EncodeMessage(SnapshotReply{{{"config/team/a", {{"weight", 2}}, 5}},
                                    Duration(3)}),
        EncodeMessage(MemberReport{{{"entry-2", "lukla", "10.0.0.1:7000", 5, 12,
                                     true, false, Duration(-1)}}})},
       [](const std::string& bytes) {
         const auto message = DecodeMessage(bytes);
         if (!message.ok()) return false;
         CHECK_NOTHROW(EncodeMessage(*message));
         if (const auto* rows = std::get_if<SnapshotReply>(&*message)) {
           CHECK_NOTHROW(ParseSnapshot(rows->rows));
         }
         return true;
       }},
      {"greeting",
       {EncodeGreeting({.version = kPeerProtocolVersion,
                        .name = "entry-1",
                        .nonce = "abcd"})},
       [](const std::string& bytes) { return DecodeGreeting(bytes).ok(); }}};
}

// Guards against bytes of others that end the process in any decoder.
TEST_CASE("altered bytes cause at most an error in every decoder") {
  std::string counts;
  for (const Decoder& decoder : Decoders()) {
    CAPTURE(decoder.name);
    for (const std::string& sample : decoder.samples) {
      CHECK(decoder.decode(sample));
    }
    Mutator mutator(20261205);
    int accepted = 0;
    for (int n = 0; n < kRoundsPerDecoder; ++n) {
      const std::string& sample =
          decoder.samples[mutator.Pick(decoder.samples.size())];
      const std::string bytes = mutator.Mutate(sample);
      CAPTURE(n, absl::BytesToHexString(bytes));
      if (decoder.decode(bytes)) ++accepted;
    }
    StrAppend(counts, "\n", decoder.name, ": ", accepted, " of ",
              kRoundsPerDecoder, " accepted");
  }
  WARN("altered samples:" << counts);
}

}  // namespace
}  // namespace hyssopbarrow::platform
