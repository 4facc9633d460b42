#include <catch2/catch.hpp>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Fleet/job_api.h"
#include "Fleet/owner_fixture.h"
#include "Fleet/relay_codec.h"
#include "Model/cbor.h"
#include "Model/text.h"
#include "Policy/entry_internal.h"
#include "Policy/placement.h"
#include "Policy/progress_rows.h"
#include "Policy/registration.h"

namespace hyssopbarrow::fleet {
namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kMinInt64 = std::numeric_limits<std::int64_t>::min();
constexpr char kId[] = "00000000000000a1";

/// Values of every type, and numbers that no count or time has.
std::vector<json> OddValues() {
  return {nullptr,
          true,
          "text",
          -1,
          kMaxInt64,
          kMinInt64,
          std::numeric_limits<std::uint64_t>::max(),
          1e300,
          -1e300,
          std::numeric_limits<double>::quiet_NaN(),
          json::array(),
          json::array({json::array({1, 2, 3})}),
          json::object(),
          {{"a", {1}}}};
}

/// An entry host that has read the rows of the ownership.
struct OwnershipFixture : ContextFixture {
  EntryState entry;

  OwnershipFixture() {
    entry.self = {.node = "n-1", .holder = "n-1@1", .address = "10.0.0.1:80"};
  }

  void Apply(const std::string& key, const json& value, std::int64_t revision) {
    Context context = MakeContext();
    ApplyOwnershipRows(
        entry,
        {.status = StoreStatus::kOk,
         .rows = {{.key = key, .value = value, .revision = revision}}},
        true, context);
  }

  /// Claims sent after the lease of any owner has expired.
  std::vector<CommitRows> ClaimsAfterExpiry() {
    now += seconds(5);
    entry.ownership.last_store_reply_at = now;
    out.clear();
    Context context = MakeContext();
    AdvanceOwnership(entry, context);
    std::vector<CommitRows> claims;
    for (const Effect& effect : out) {
      const auto* commit = std::get_if<CommitRows>(&effect);
      if (commit != nullptr && commit->conditions.size() == 2) {
        claims.push_back(*commit);
      }
    }
    return claims;
  }
};

// Guards against hosts that end at each start, or find no owner again, because
// of one odd row among those of the ownership.
TEST_CASE("a host claims the ownership after any row of the epoch") {
  const char* field = GENERATE("epoch", "holder");
  for (const json& value : OddValues()) {
    CAPTURE(field, value.dump());
    OwnershipFixture host;
    host.Apply("epoch", {{"epoch", 7}, {"holder", "n-2@1"}}, 3);
    json row = {{"epoch", 8}, {"holder", "n-3@1"}};
    row[field] = value;
    CHECK_NOTHROW(host.Apply("epoch", row, 4));
    const std::vector<CommitRows> claims = host.ClaimsAfterExpiry();
    REQUIRE(claims.size() == 1);
    // The claim replaces the row that was read, and tokens never decrease.
    CHECK(claims[0].conditions[0].second == 4);
    const json& claimed = claims[0].writes[0].second;
    CHECK(claimed["epoch"].get<std::int64_t>() >= 8);
  }
}

// Guards against the same fault of rows that are no objects.
TEST_CASE("a host claims the ownership after a row that is no object") {
  for (const json& value : OddValues()) {
    if (value.is_null()) continue;  // A row that was removed.
    CAPTURE(value.dump());
    OwnershipFixture host;
    host.Apply("epoch", {{"epoch", 7}, {"holder", "n-2@1"}}, 3);
    host.Apply("lease", {{"address", "10.0.0.2:80"}}, 3);
    CHECK_NOTHROW(host.Apply("epoch", value, 4));
    CHECK_NOTHROW(host.Apply("lease", value, 5));
    const std::vector<CommitRows> claims = host.ClaimsAfterExpiry();
    REQUIRE(claims.size() == 1);
    CHECK(claims[0].conditions[0].second == 4);
    CHECK(claims[0].conditions[1].second == 5);
  }
}

// Guards against the same fault of the row of the lease.
TEST_CASE("a host claims the ownership after any row of the lease") {
  const char* field =
      GENERATE("address", "released", "renewals", "earlier_requests_ms");
  for (const json& value : OddValues()) {
    CAPTURE(field, value.dump());
    OwnershipFixture host;
    host.Apply("epoch", {{"epoch", 7}, {"holder", "n-2@1"}}, 3);
    json row = {{"address", "10.0.0.2:80"}, {"released", false}};
    row[field] = value;
    CHECK_NOTHROW(host.Apply("lease", row, 5));
    const std::vector<CommitRows> claims = host.ClaimsAfterExpiry();
    REQUIRE(claims.size() == 1);
    CHECK(claims[0].conditions[1].second == 5);
  }
}

// Guards against sums that overflow in the choice of relays.
TEST_CASE("a candidate with odd numbers is no stronger host") {
  for (const char* field : {"cpu_milli", "link_mbps", "relay_address"}) {
    for (const json& value : OddValues()) {
      CAPTURE(field, value.dump());
      OwnershipFixture host;
      json row = {{"cpu_milli", 100},
                  {"link_mbps", 100},
                  {"relay_address", "10.0.0.3:90"}};
      row[field] = value;
      CHECK_NOTHROW(host.Apply("host/n-3", row, 4));
      for (const auto& [node, candidate] : host.entry.ownership.candidates) {
        CHECK(candidate.cpu_milli >= 0);
        CHECK(candidate.cpu_milli <= 1'000'000'000);
        CHECK(candidate.link_mbps >= 0);
        CHECK(candidate.link_mbps <= 1'000'000'000);
      }
    }
  }
}

// Guards against a process that ends at a query because the progress row of the
// job is odd.
TEST_CASE("the state of a job is told after any progress row") {
  for (const json& value : OddValues()) {
    CAPTURE(value.dump());
    EntryState entry;
    PendingCall& call = entry.calls[5];
    call.call.kind = CallKind::kState;
    call.call.number = 5;
    call.job = kId;
    call.stage = CallStage::kReadProgress;
    call.pending_request = 1000;
    call.deadline = Instant(seconds(99));
    entry.call_by_request[1000] = 5;
    StoreRows reply{.status = StoreStatus::kOk};
    reply.rows.push_back(
        {.key = kId, .value = {{"state", value}}, .revision = 3});
    Effects out;
    CHECK_NOTHROW(HandleStoreReply(entry, 1000, reply,
                                   {.now = Instant(seconds(90))}, out));
    int answers = 0;
    for (const Effect& effect : out) {
      const auto* answer = std::get_if<CallReply>(&effect);
      if (answer == nullptr) continue;
      ++answers;
      CHECK(answer->state == JobState::kPending);
    }
    CHECK(answers == 1);
  }
}

Job NewJob(const JobSpec& spec) {
  Job job;
  job.record = {.id = kId, .queue = "book", .pool = "desk", .spec = spec};
  job.open_occurrences[0] = NewOccurrence(spec, {});
  return job;
}

// Guards against an owner that opens thousands of occurrences, each with all
// tasks of the job, because of one progress row.
TEST_CASE("a progress row opens no occurrences that the job does not have") {
  json row = {{"state", "running"}};
  for (int n = -5; n < 3000; ++n) row["failures"][StrCat(n, ".0.0")] = {1};
  for (const char* field : {"failures", "crashes", "saved"}) {
    row[field]["9223372036854775807.0.0"] = json::array();
  }
  row.erase("saved");
  JobSpec spec = SimpleJob(3, true);
  Job job = NewJob(spec);
  CHECK(ApplyProgress(row, {}, job).ok());
  CHECK(job.open_occurrences.size() == 1);
  spec.repeats = 100'000;
  Job repeated = NewJob(spec);
  CHECK(ApplyProgress(row, {}, repeated).ok());
  CHECK(repeated.open_occurrences.size() == 64);
}

// Guards against undefined conversions, and numbers that become others, in the
// progress row of a job.
TEST_CASE("a progress row is an error if no owner could have written it") {
  std::vector<json> rows;
  for (const json& number : {json(1e300), json(-1e300), json(1.5), json("1"),
                             json(std::numeric_limits<std::uint64_t>::max())}) {
    rows.push_back({{"state", "running"}, {"finished", {number}}});
    rows.push_back({{"state", "running"}, {"failures", {{"0.0.0", {number}}}}});
    rows.push_back(
        {{"state", "running"}, {"sent", {{"0.0.0", {{"i-1", number, 1}}}}}});
    rows.push_back(
        {{"state", "running"}, {"sent", {{"0.0.0", {{"i-1", 1, number}}}}}});
    rows.push_back(
        {{"state", "running"}, {"crashes", {{"0.0.0", {{number, 1}}}}}});
    rows.push_back(
        {{"state", "running"}, {"crashes", {{"0.0.0", {{1, number}}}}}});
  }
  for (const json& value : OddValues()) {
    if (value.is_object()) continue;
    for (const char* field : {"done", "failures", "crashes", "saved", "sent"}) {
      // A field that is null counts as absent.
      if (value.is_null() || value.empty()) continue;
      rows.push_back({{"state", "running"}, {field, value}});
    }
    rows.push_back(value);
  }
  for (const json& row : rows) {
    CAPTURE(row.dump().substr(0, 200));
    Job job = NewJob(SimpleJob(3, true));
    CHECK_FALSE(ApplyProgress(row, {}, job).ok());
    CHECK(job.open_occurrences.size() == 1);
  }
}

// Guards against times of a job that overflow in a sum: the first occurrence
// of such a job was due at once.
TEST_CASE("a job whose times no clock shows is invalid") {
  JobSpec spec = SimpleJob(1, false);
  spec.repeats = 3;
  spec.interval_ms = 1000;
  for (const std::int64_t start_ms :
       {kMaxInt64, kMaxInt64 - 1, std::int64_t{1} << 60, std::int64_t{-1}}) {
    spec.start_ms = start_ms;
    const absl::Status status = Validate(spec);
    REQUIRE_FALSE(status.ok());
    CHECK(status.message().find("start_ms") != std::string::npos);
  }
  for (const std::int64_t accepted_ms : {kMaxInt64, kMinInt64}) {
    json row = ToJson(JobRecord{.id = kId, .spec = SimpleJob(1, false)});
    row["accepted_ms"] = accepted_ms;
    const absl::Status status = ParseJobRecord(kId, row).status();
    REQUIRE_FALSE(status.ok());
    CHECK(status.message().find("accepted_ms") != std::string::npos);
  }
}

// Guards against a latest start that overflows, so that the job waits for no
// others.
TEST_CASE("a slack factor of any size leaves a job its latest start") {
  JobSpec spec = SimpleJob(1, false);
  spec.steps[0].estimate_ms = std::int64_t{1} << 40;
  const Job job = NewJob(spec);
  const double slack = GENERATE(1e300, 1e9, 1e6, 1.0);
  const Queue queue{.name = "book", .slack_factor = slack};
  CAPTURE(slack);
  CHECK(LatestStart({}, job, job.open_occurrences.at(0), &queue) >= Instant{});
}

// Guards against a wave whose end overflows, and a process that ends at a row
// that is no object.
TEST_CASE("a row of a wave may have any values") {
  for (const json& value : OddValues()) {
    CAPTURE(value.dump());
    Owner owner;
    const StoreRows rows = {
        .rows = {{.key = "wave/1", .value = value},
                 {.key = "wave/2",
                  .value = {{"done", {value, "m-1"}}, {"seen_ms", value}}},
                 {.key = "wave/3", .value = {{"done", value}}},
                 {.key = "wave/4", .value = {{"done", {"m-4"}}}},
                 {.key = "host/m-1", .value = value}}};
    ContextFixture fixture;
    Context context = fixture.MakeContext();
    CHECK_NOTHROW(ApplyProgressRows(owner, rows, context));
    CHECK(owner.host_manager.records.count("m-1") == 1);
    const std::int64_t seen_ms = owner.host_manager.waves[2].first_seen_unix_ms;
    CHECK(seen_ms >= 0);
    CHECK(seen_ms < std::int64_t{1} << 50);
    CHECK(owner.host_manager.waves[2].done_hosts.count("m-1") == 1);
    CHECK(owner.host_manager.waves[4].done_hosts.count("m-4") == 1);
  }
}

// Guards against an incarnation that overflows, which peers take for an old
// one.
TEST_CASE("the next incarnation follows any stored one") {
  for (const json& value : OddValues()) {
    const std::vector<Row> rows = {{"members/n-1", {{"incarnation", value}}, 3},
                                   {"members/n-1", value, 4}};
    CHECK(NextIncarnation(rows, "n-1", 1000) >= 1000);
  }
}

// Guards against a deadline that has passed because its duration overflows.
TEST_CASE("a deadline of any length leaves its caller time") {
  const auto text = GENERATE("9223372036854775807", "9223372036854776",
                             "18446744073709551616", "3600000");
  HttpRequest request{.method = "GET", .path = "/"};
  request.headers.push_back({"x-deadline-ms", text});
  CAPTURE(text);
  CHECK(JobCodec().Decode(request).time_left >= seconds(3));
}

// Guards against numbers of a target that overflow in a sum.
TEST_CASE("a relay reply with a number out of range is an error") {
  const auto decodes = [](const TargetReply& reply) {
    return DecodeRelayReplies(EncodeRelayReplies({{1, reply}})).ok();
  };
  const TaskName task = {kId, 0, 0, 0};
  CHECK(decodes({.clock_ms = 5, .runs = {{task, 1}}, .ends = {{3, task, 1}}}));
  for (const std::int64_t n : {kMaxInt64, kMinInt64, std::int64_t{-1}}) {
    CAPTURE(n);
    CHECK_FALSE(decodes({.clock_ms = n}));
    CHECK_FALSE(decodes({.started_unix_ms = n}));
    CHECK_FALSE(decodes({.runs = {{task, n}}}));
    CHECK_FALSE(decodes({.ends = {{n, task, 1}}}));
    CHECK_FALSE(decodes({.ends = {{3, task, n}}}));
  }
}

// Guards against a process that ends at a job nested too deeply.
TEST_CASE("a submitted job that is nested too deeply is invalid") {
  const std::string lists(1UL << 21, '[');
  for (const std::string& body :
       {lists, lists + std::string(1UL << 21, ']'),
        R"({"steps":[)" + lists + std::string(1UL << 21, ']') + "]}"}) {
    const Call call = JobCodec().Decode({.method = "POST", .body = body});
    CHECK(call.spec_error.find("JSON") != std::string::npos);
  }
}

}  // namespace
}  // namespace hyssopbarrow::fleet
