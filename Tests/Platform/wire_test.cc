#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Model/text.h"
#include "fleet_wire.h"
#include "job_wire.h"
#include "store_wire.h"
#include "target_wire.h"

namespace hyssopbarrow::platform {
namespace {

using fleet::Table;
using fleet::TargetResult;
using nlohmann::json;

constexpr char kJobId[] = "5c0e7a21d94b36f8";

HttpResponse MakeResponse(int status, const std::string& body) {
  return {.status = status, .headers = {}, .body = body};
}

TEST_CASE("DecodeJob decodes all fields of a job and its steps") {
  const auto spec = DecodeJob(
      R"({"Spec":"text","RepeatCount":2,"StartMs":5,"IntervalMs":6,"Steps":[
        {"Count":4,"Cpu":500,"MemMb":256,"EstimateMs":900,"Affinity":"r1-3"},
        {"Count":2,"Gpu":1,"DependsOn":[0],"Checkpointing":true,
         "GangScheduled":true,"SameRack":true,"Requirements":"a",
         "AntiAffinity":1,"AllowDuplicates":true,"LongRunning":true,
         "Image":"img","TargetMs":40,"Fills":true,"MayMiss":1}]})");
  REQUIRE(spec.ok());
  CHECK(spec->payload == "text");
  CHECK(spec->repeats == 2);
  CHECK(spec->start_ms == 5);
  CHECK(spec->interval_ms == 6);
  REQUIRE(spec->steps.size() == 2);
  CHECK(spec->steps[0].count == 4);
  CHECK(spec->steps[0].resources == fleet::Resources{500, 256, 0});
  CHECK(spec->steps[0].data_rack == "r1-3");
  const fleet::Step& second = spec->steps[1];
  CHECK(second.resources.gpus == 1);
  CHECK(second.depends_on == std::vector<std::int64_t>{0});
  CHECK((second.checkpoints && second.gang && second.same_rack));
  CHECK((second.allows_copies && second.long_running && second.background));
  CHECK(second.required_label == "a");
  CHECK(second.max_per_target == 1);
  CHECK(second.image == "img");
  CHECK(second.tail_latency_target_ms == 40);
  CHECK(second.max_unavailable_tasks == 1);
  CHECK(Validate(*spec).ok());
}

struct InvalidJob {
  std::string body;
  std::string expected_field;  ///< The error has to name it.
};

/// Returns a job whose only step has `field`.
std::string JobWithStepField(const std::string& field) {
  return R"({"Spec":"x","Steps":[{"Count":1,)" + field + "}]}";
}

std::vector<InvalidJob> InvalidJobs() {
  const std::string good = R"({"Count":1,"Cpu":1})";
  std::string many = good;
  for (int n = 0; n < 100; ++n) many += "," + good;
  return {
      {"", "JSON"},
      {"{", "JSON"},
      {"[", "JSON"},
      {"nul", "JSON"},
      {R"({"Spec":"x","Steps":[{"Count":1}])", "JSON"},
      {"\xff\xfe", "JSON"},
      {"null", "object"},
      {"[]", "object"},
      {"7", "object"},
      {R"("text")", "object"},
      {"true", "object"},
      {"{}", "Steps"},
      {R"({"Spec":"x"})", "Steps"},
      {R"({"Spec":"x","Steps":null})", "Steps"},
      {R"({"Spec":"x","Steps":{}})", "Steps"},
      {R"({"Spec":"x","Steps":"a"})", "Steps"},
      {R"({"Spec":"x","Steps":3})", "Steps"},
      {R"({"Spec":"x","Steps":[]})", "steps"},
      {R"({"Spec":"x","Steps":[7]})", "Steps[0]"},
      {R"({"Spec":"x","Steps":[null]})", "Steps[0]"},
      {R"({"Spec":"x","Steps":[[]]})", "Steps[0]"},
      {R"({"Spec":"x","Steps":[{}]})", "count"},
      {R"({"Spec":"x","Steps":[{"Count":0}]})", "count"},
      {R"({"Spec":"x","Steps":[{"Count":-1}]})", "count"},
      {R"({"Spec":"x","Steps":[{"Count":1001}]})", "count"},
      {R"({"Spec":"x","Steps":[{"Count":9223372036854775807}]})", "count"},
      {R"({"Spec":"x","Steps":[{"Count":1e30}]})", "Count"},
      {R"({"Spec":"x","Steps":[{"Count":1.5}]})", "Count"},
      {R"({"Spec":"x","Steps":[{"Count":"1"}]})", "Count"},
      {R"({"Spec":"x","Steps":[{"Count":true}]})", "Count"},
      {R"({"Spec":"x","Steps":[{"Count":[1]}]})", "Count"},
      {R"({"Spec":"x","Steps":[{"Count":600},{"Count":600}]})", "steps"},
      {R"({"Spec":7,"Steps":[{"Count":1}]})", "Spec"},
      {R"({"Spec":[],"Steps":[{"Count":1}]})", "Spec"},
      {R"({"Spec":")" + std::string(4001, 's') + R"(","Steps":[{"Count":1}]})",
       "payload"},
      {R"({"Steps":[{"Count":1}],"RepeatCount":"2"})", "RepeatCount"},
      {R"({"Steps":[{"Count":1}],"RepeatCount":-2})", "repeats"},
      {R"({"Steps":[{"Count":1}],"RepeatCount":100001})", "repeats"},
      {R"({"Steps":[{"Count":1}],"StartMs":-1})", "start_ms"},
      {R"({"Steps":[{"Count":1}],"StartMs":"soon"})", "StartMs"},
      {R"({"Steps":[{"Count":1}],"IntervalMs":-1})", "interval_ms"},
      {R"({"Steps":[{"Count":1}],"IntervalMs":{}})", "IntervalMs"},
      {R"({"Spec":"x","Steps":[)" + many + "]}", "steps"},
      {JobWithStepField(R"("Cpu":-1)"), "need"},
      {JobWithStepField(R"("Cpu":1099511627777)"), "need"},
      {JobWithStepField(R"("Cpu":"1")"), "Cpu"},
      {JobWithStepField(R"("MemMb":-1)"), "need"},
      {JobWithStepField(R"("MemMb":1.5)"), "MemMb"},
      {JobWithStepField(R"("Gpu":-1)"), "need"},
      {JobWithStepField(R"("Gpu":[])"), "Gpu"},
      {JobWithStepField(R"("EstimateMs":-1)"), "estimate_ms"},
      {JobWithStepField(R"("EstimateMs":"long")"), "EstimateMs"},
      {JobWithStepField(R"("DependsOn":[0])"), "depends_on"},
      {JobWithStepField(R"("DependsOn":[1])"), "depends_on"},
      {JobWithStepField(R"("DependsOn":[-1])"), "depends_on"},
      {JobWithStepField(R"("DependsOn":0)"), "DependsOn"},
      {JobWithStepField(R"("DependsOn":["0"])"), "DependsOn"},
      {JobWithStepField(R"("DependsOn":[0.5])"), "DependsOn"},
      {JobWithStepField(R"("Checkpointing":1)"), "Checkpointing"},
      {JobWithStepField(R"("GangScheduled":"yes")"), "GangScheduled"},
      {JobWithStepField(R"("SameRack":0)"), "SameRack"},
      {JobWithStepField(R"("Requirements":1)"), "Requirements"},
      {JobWithStepField(R"("Affinity":[])"), "Affinity"},
      {JobWithStepField(R"("AntiAffinity":-1)"), "max_per_target"},
      {JobWithStepField(R"("AntiAffinity":"one")"), "AntiAffinity"},
      {JobWithStepField(R"("AllowDuplicates":"no")"), "AllowDuplicates"},
      {JobWithStepField(R"("LongRunning":2)"), "LongRunning"},
      {JobWithStepField(R"("Image":7)"), "Image"},
      {JobWithStepField(R"("TargetMs":"40")"), "TargetMs"},
      {JobWithStepField(R"("Fills":"all")"), "Fills"},
      {JobWithStepField(R"("MayMiss":-1)"), "may_miss"},
      {JobWithStepField(R"("MayMiss":{})"), "MayMiss"},
  };
}

TEST_CASE("The error for an invalid job names the field") {
  CHECK(InvalidJobs().size() >= 60);
  for (const InvalidJob& job : InvalidJobs()) {
    CAPTURE(job.body.substr(0, 200));
    const auto spec = DecodeJob(job.body);
    const absl::Status status = spec.ok() ? Validate(*spec) : spec.status();
    CHECK_FALSE(status.ok());
    const std::string message(status.message());
    CAPTURE(message);
    CHECK(message.find(job.expected_field) != std::string::npos);
  }
}

TEST_CASE("DecodeJob ignores unknown fields") {
  CHECK(DecodeJob(R"({"Spec":"x","New":1,"Steps":[{"Count":1,"More":[]}]})")
            .ok());
}

/// Returns a reply of the store with one row.
HttpResponse ResponseWithRow(const std::string& key,
                             const std::string& base64) {
  const json body = {{"rows",
                      {{{"Table", "t"},
                        {"part", ""},
                        {"Key", key},
                        {"Value", base64},
                        {"Ver", 3}}}},
                     {"Ver", 9}};
  return MakeResponse(200, body.dump());
}

TEST_CASE("DecodeTarget decodes a target and rejects invalid values") {
  const std::string good =
      R"({"Service":"desk","Address":"10.0.0.9:80","Zone":"a","State":"ready",)"
      R"("born":5,"Machine":"m-1","Capacity":{"Cpu":64000,"MemMb":9,"Gpu":1},)"
      R"("Labels":["a","r1-1"]})";
  const auto target = DecodeTarget("i-1", json::parse(good));
  REQUIRE(target.ok());
  CHECK(target->host == "m-1");
  CHECK(target->capacity == fleet::Resources{64000, 9, 1});
  CHECK(target->started_unix_ms == 5);
  const auto bad = GENERATE(
      R"({})", R"([])", R"("x")",
      R"({"Service":"desk","Address":"10.0.0.9:80","State":"resting"})",
      R"({"Service":"desk","Address":"nowhere","State":"ready"})",
      R"({"Service":"desk","Address":7,"State":"ready"})",
      R"({"Address":"10.0.0.9:80","State":"ready"})",
      R"({"Service":"desk","Address":"10.0.0.9:80"})",
      R"({"Service":"d","Address":"1.2.3.4:5","State":"ready","Labels":"a"})",
      R"({"Service":"d","Address":"1.2.3.4:5","State":"ready","born":"x"})",
      R"({"Service":"d","Address":"1.2.3.4:5","State":"ready","Capacity":[]})");
  CAPTURE(bad);
  CHECK_FALSE(DecodeTarget("i-1", json::parse(bad)).ok());
}

TEST_CASE("DecodeRows reports an invalid row and continues") {
  const auto rows =
      DecodeRows(Table::kTargets, ResponseWithRow("i-1", "bm90IGpzb24="), 500);
  CHECK(rows.status == StoreStatus::kOk);
  CHECK(rows.targets.empty());
  CHECK(rows.removed_targets == std::vector<std::string>{"i-1"});
  CHECK(rows.errors.size() == 1);
  const auto jobs =
      DecodeRows(Table::kJobs, ResponseWithRow(kJobId, "bm90IGpzb24="), 500);
  CHECK(jobs.rows.empty());
  CHECK(jobs.errors.size() == 1);
}

TEST_CASE("DecodeRows maps HTTP statuses to store statuses") {
  const auto status = [&](int code, const std::string& body) {
    return DecodeRows(Table::kJobs, MakeResponse(code, body), 500);
  };
  CHECK(status(200, R"({"Ver":4})").status == StoreStatus::kOk);
  CHECK(status(412, R"({"rows":[],"Ver":4})").status == StoreStatus::kConflict);
  CHECK(status(503, "").status == StoreStatus::kUnavailable);
  CHECK(status(429, "").status == StoreStatus::kUnavailable);
  CHECK(status(500, "").status == StoreStatus::kUnknown);
  CHECK(status(400, "").status == StoreStatus::kInvalid);
  CHECK(status(403, "").status == StoreStatus::kInvalid);
  CHECK(status(413, "").status == StoreStatus::kInvalid);
  CHECK(status(200, "{").status == StoreStatus::kUnknown);
  CHECK(status(410, "").history_lost);
}

TEST_CASE("a conflict reply gives the revisions of rows in CBOR") {
  // {"epoch": 1, "sequence": 2} in CBOR, as commits write it.
  const fleet::StoreRows rows = DecodeRows(
      Table::kJobs,
      MakeResponse(
          412,
          R"({"Ver":9,"rows":[{"Table":"progress","part":"fleet",)"
          R"("Key":"commit","Value":"omVlcG9jaAFoc2VxdWVuY2UC","Ver":8}]})"),
      500);
  CHECK(rows.status == StoreStatus::kConflict);
  CHECK(rows.errors.empty());
  REQUIRE(rows.rows.size() == 1);
  CHECK(rows.rows[0].revision == 8);
  CHECK(rows.rows[0].value == json{{"epoch", 1}, {"sequence", 2}});
}

TEST_CASE("a progress row in CBOR with an excessive length is left out") {
  // 0xbb begins a map whose size follows in 8 bytes.
  const fleet::StoreRows rows = DecodeRows(
      Table::kProgress,
      MakeResponse(200, R"({"Ver":9,"rows":[{"Key":"a","Value":"u///////////",)"
                        R"("Ver":8}]})"),
      500);
  CHECK(rows.status == StoreStatus::kOk);
  CHECK(rows.rows.empty());
  CHECK(rows.errors.size() == 1);
}

TEST_CASE("a page as long as its limit is followed by another") {
  const HttpResponse page = MakeResponse(
      200, R"({"Ver":9,"rows":[{"Key":"a","Value":"e30=","Ver":7},)"
           R"({"Key":"b","Value":"e30=","Ver":8}]})");
  CHECK(DecodeRows(Table::kJobs, page, 2).truncated);
  CHECK(DecodeRows(Table::kJobs, page, 2).last_key == "b");
  CHECK_FALSE(DecodeRows(Table::kJobs, page, 3).truncated);
}

TEST_CASE("the rows of a job share a partition, and jobs are spread") {
  CHECK(PartName(Table::kJobs, kJobId, 1) == "fleet");
  CHECK(PartName(Table::kProgress, kJobId, 8) == "fleet");
  CHECK(PartName(Table::kOwner, "epoch", 8) == "fleet");
  CHECK(PartName(Table::kTargets, "i-1", 8).empty());
  std::map<std::string, int> jobs_by_part;
  for (int n = 0; n < 800; ++n) {
    const std::string id = "00000000000" + std::to_string(10000 + n);
    const std::string part = PartName(Table::kJobs, id, 8);
    CHECK(PartName(Table::kJobs, id + ".x", 8) == part);
    ++jobs_by_part[part];
  }
  CHECK(jobs_by_part.size() == 8);
  for (const auto& [part, jobs] : jobs_by_part) {
    CAPTURE(part);
    CHECK(jobs > 60);
    CHECK(jobs < 140);
  }
}

TEST_CASE("EncodeCommit encodes conditions, writes and removals") {
  fleet::CommitRows commit;
  commit.conditions = {{{Table::kOwner, "epoch"}, 7}};
  commit.writes = {{{Table::kJobs, kJobId}, {{"queue", "q"}}},
                   {{Table::kProgress, kJobId}, nullptr},
                   {{Table::kWaves, "wave/1"}, {{"completed", true}}}};
  const json body = json::parse(EncodeCommit(commit, 1));
  CHECK(body["Expect"][0]["Ver"] == 7);
  CHECK(body["Expect"][0]["Table"] == "owner");
  CHECK(body["SetKeys"].size() == 2);
  CHECK(body["SetKeys"][0]["Value"] == "eyJxdWV1ZSI6InEifQ==");
  CHECK(body["SetKeys"][1]["Table"] == "status");
  CHECK(body["SetKeys"][1]["part"] == "");
  CHECK(body["SetKeys"][1]["Value"] == "eyJTdGF0ZSI6ImNvbXBsZXRlZCJ9");
  CHECK(body["Remove"][0]["Key"] == kJobId);
}

TEST_CASE("EncodeCommit escapes keys and keeps empty lists") {
  fleet::CommitRows commit;
  CHECK(json::parse(EncodeCommit(commit, 1)) ==
        json::parse(R"({"Expect":[],"SetKeys":[],"Remove":[]})"));
  commit.writes = {{{Table::kWaves, "a\"\\\n"}, nullptr},
                   {{Table::kWaves, "b"}, nullptr}};
  const json body = json::parse(EncodeCommit(commit, 1));
  CHECK(body["SetKeys"].empty());
  CHECK(body["Remove"].size() == 2);
  CHECK(body["Remove"][0]["Key"] == "a\"\\\n");
}

TEST_CASE("EncodeTargetRequest encodes the fields of each kind") {
  fleet::TargetRequest start{.kind = fleet::TargetRequestKind::kStart,
                             .fencing_token = 7};
  start.task = {kJobId, 0, 1, 17};
  start.run = 2;
  start.payload = "some text";
  start.lease_until_ms = 486000;
  start.checkpoint = "00000bb8";
  const json body = json::parse(EncodeTargetRequest(start));
  CHECK(body == json::parse(R"({"Task":"5c0e7a21d94b36f8.0.1.17","Run":2,
      "Spec":"some text","DeadlineMs":486000,"FencingToken":7,
      "LastCheckpoint":"00000bb8"})"));
  fleet::TargetRequest poll{.kind = fleet::TargetRequestKind::kPoll,
                            .fencing_token = 7};
  poll.last_end_stored = 57;
  poll.wait = std::chrono::milliseconds(1000);
  CHECK(json::parse(EncodeTargetRequest(poll)) ==
        json::parse(R"({"FencingToken":7,"AckCursor":57,"WaitMs":1000})"));
}

TEST_CASE("DecodeTargetReply decodes runs, ends and refusals") {
  const auto reply =
      DecodeTargetReply(MakeResponse(200, R"({"ClockMs":482113,"born":9,
        "Running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,380],["bad"]],
        "Ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],
                 [59,"5c0e7a21d94b36f8.0.1.8",1,"vanished",""],[60]]})"));
  CHECK(reply.result == TargetResult::kDone);
  CHECK(reply.clock_ms == 482113);
  CHECK(reply.started_unix_ms == 9);
  REQUIRE(reply.runs.size() == 1);
  CHECK(reply.runs[0].task == fleet::TaskName{kJobId, 0, 1, 17});
  CHECK(reply.runs[0].load == 380);
  REQUIRE(reply.ends.size() == 1);
  CHECK(reply.ends[0].number == 58);
  const auto refusal = [](const std::string& reason) {
    return DecodeTargetReply(
               MakeResponse(409, R"({"ClockMs":1,"Reason":")" + reason + "\"}"))
        .result;
  };
  CHECK(refusal("fence") == TargetResult::kFenced);
  CHECK(refusal("old") == TargetResult::kOldRun);
  CHECK(refusal("late") == TargetResult::kLeaseExpired);
  CHECK(refusal("room") == TargetResult::kNoRoom);
  CHECK(refusal("ticket") == TargetResult::kNoTicket);
  CHECK(refusal("new") == TargetResult::kInvalid);
  CHECK(DecodeTargetReply(MakeResponse(421, "")).result ==
        TargetResult::kOtherInstance);
  CHECK(DecodeTargetReply(MakeResponse(503, "")).result ==
        TargetResult::kUnhealthy);
  CHECK(DecodeTargetReply(MakeResponse(429, "x")).result ==
        TargetResult::kUnhealthy);
  CHECK(DecodeTargetReply(MakeResponse(500, "{")).result ==
        TargetResult::kNoReply);
}

TEST_CASE("DecodeConfiguration decodes a configuration") {
  std::vector<std::string> problems;
  const auto config = DecodeConfiguration(
      json::parse(
          R"({"Version":7,"Routes":[{"Name":"r","Host":"h.example",
        "PathPrefix":"/p/","TimeoutMs":3000,"TargetLatencyMs":600,
        "Priority":1,"Service":"desk","MaxAttempts":3,"SlackFactor":1.6,
        "Public":true,"Advice":{"DecideMs":5,"EachMs":1,"ValidMs":9}}],
        "Services":[{"Name":"desk","RejectsOverload":true,"Spare":false}],
        "Tenants":[{"Name":"t","ApiKeys":["k"],"Weight":5,
        "UpperLimit":{"Cpu":1,"MemMb":2,"Gpu":3}}]})"),
      problems);
  REQUIRE(config.ok());
  CHECK(problems.empty());
  CHECK(config->unreadable_entries == 0);
  CHECK(config->version == 7);
  CHECK(config->queues[0].approval->valid_ms == 9);
  CHECK(config->teams[0].ceiling == fleet::Resources{1, 2, 3});
  CHECK(MatchQueue(*config, "h.example", "/p/x") != nullptr);
  CHECK(MatchQueue(*config, "h.example", "/q/x") == nullptr);
  CHECK(FindTeamByKey(*config, "k") != nullptr);
}

TEST_CASE("DecodeConfiguration rejects a value without version or lists") {
  const auto bad =
      GENERATE(R"([])", R"({"Version":1})",
               R"({"Version":"1","Routes":[],"Services":[]})",
               R"({"Version":1,"Routes":{},"Services":[]})",
               R"({"Version":1,"Routes":[],"Services":7})",
               R"({"Version":1,"Routes":[],"Services":[],"Tenants":{}})");
  CAPTURE(bad);
  std::vector<std::string> problems;
  CHECK_FALSE(DecodeConfiguration(json::parse(bad), problems).ok());
}

/// A configuration whose route r, service desk and team t have further fields.
std::string ConfigurationWith(const std::string& route,
                              const std::string& service,
                              const std::string& team) {
  return R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/r/",)"
         R"("Service":"desk")" +
         route +
         R"(},{"Name":"s","Host":"h","PathPrefix":"/s/","Service":"desk"}],)"
         R"("Services":[{"Name":"desk")" +
         service + R"(}],"Tenants":[{"Name":"t","ApiKeys":["k"])" + team +
         R"(},{"Name":"u","ApiKeys":["l"]}]})";
}

// Guards against one odd field that holds back all routes and keys of a
// version.
TEST_CASE("an odd field of a configuration affects its own entry alone") {
  struct Case {
    std::string route, service, team, problem;
  };
  const Case odd = GENERATE(values<Case>({
      {R"(,"Priority":1.5)", "", "", "r: field 'Routes.Priority'"},
      {R"(,"MaxAttempts":"3")", "", "", "r: field 'Routes.MaxAttempts'"},
      {R"(,"TargetLatencyMs":-1)", "", "", "r: field 'Routes.TargetLatencyMs'"},
      {R"(,"Advice":[])", "", "", "r: field 'Routes.Advice'"},
      {"", R"(,"Spare":0)", "", "desk: field 'Services.Spare'"},
      {"", "", R"(,"Weight":"5")", "t: field 'Tenants.Weight'"},
      {"", "", R"(,"UpperLimit":{"Cpu":2.5})", "t: field 'UpperLimit.Cpu'"},
  }));
  CAPTURE(odd.problem);
  std::vector<std::string> problems;
  const auto config = DecodeConfiguration(
      json::parse(ConfigurationWith(odd.route, odd.service, odd.team)),
      problems);
  REQUIRE(config.ok());
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].starts_with(odd.problem));
  CHECK(config->unreadable_entries == 1);
  CHECK(MatchQueue(*config, "h", "/r/x") != nullptr);
  CHECK(MatchQueue(*config, "h", "/s/x") != nullptr);
  CHECK(FindTeamByKey(*config, "k") != nullptr);
  CHECK(FindTeamByKey(*config, "l") != nullptr);
  const bool odd_ceiling = odd.team.find("UpperLimit") != std::string::npos;
  CHECK(config->teams[0].ceiling_readable == !odd_ceiling);
}

TEST_CASE("an entry of a configuration without its names is left out") {
  const auto bad = GENERATE(
      R"({"Version":1,"Routes":[{}],"Services":[]})",
      R"({"Version":1,"Routes":[],"Services":[{}]})",
      R"({"Version":1,"Routes":[],"Services":[],"Tenants":[{}]})",
      R"({"Version":1,"Routes":[7],"Services":[]})",
      R"({"Version":1,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/",)"
      R"("Service":5}],"Services":[]})");
  CAPTURE(bad);
  std::vector<std::string> problems;
  const auto config = DecodeConfiguration(json::parse(bad), problems);
  REQUIRE(config.ok());
  CHECK(problems.size() == 1);
  CHECK(config->unreadable_entries == 1);
  CHECK(config->queues.empty());
  CHECK(config->pools.empty());
  CHECK(config->teams.empty());
}

// Guards against a version that is not understood because it writes whole
// numbers with a fraction of 0.
TEST_CASE("whole numbers of a configuration may have a fraction of 0") {
  std::vector<std::string> problems;
  const auto config = DecodeConfiguration(
      json::parse(ConfigurationWith(
          R"(,"TargetLatencyMs":600.0,"Priority":1.0,"MaxAttempts":3e0)", "",
          R"(,"Weight":2.5,"UpperLimit":{"Cpu":7.0})")),
      problems);
  REQUIRE(config.ok());
  CHECK(problems.empty());
  CHECK(config->queues[0].latency_target_ms == 600);
  CHECK(config->queues[0].priority == 1);
  CHECK(config->queues[0].max_attempts == 3);
  CHECK(config->teams[0].weight == 2.5);
  CHECK(config->teams[0].ceiling.cpu_milli == 7);
}

TEST_CASE("a configuration of which nothing can be read is reported as such") {
  const auto rows = [](const std::string& value) {
    const json body = {
        {"rows", {{{"Key", "config"}, {"Value", value}, {"Ver", 3}}}},
        {"Ver", 9}};
    return DecodeRows(Table::kConfiguration, MakeResponse(200, body.dump()),
                      500);
  };
  const fleet::StoreRows unreadable = rows("AAAA");
  CHECK(unreadable.configuration_unreadable);
  CHECK_FALSE(unreadable.configuration.has_value());
  CHECK(unreadable.errors.size() == 1);
  // {"Version":1,"Routes":[],"Services":[]}
  const fleet::StoreRows readable =
      rows("eyJWZXJzaW9uIjoxLCJSb3V0ZXMiOltdLCJTZXJ2aWNlcyI6W119");
  CHECK_FALSE(readable.configuration_unreadable);
  CHECK(readable.configuration->version == 1);
}

TEST_CASE("Replies of the host provider are decoded") {
  fleet::HostList list;
  const auto next = DecodeHosts(
      R"({"Machines":[{"Machine":"m-1","Pool":"p","State":"upkeep","Zone":"a",
        "Labels":["a"],"Id":"i-1"}],"NextToken":"t2"})",
      list);
  REQUIRE(next.ok());
  CHECK(*next == "t2");
  CHECK(list.hosts[0].state == fleet::HostState::kMaintenance);
  CHECK(DecodeHosts(R"({"Machines":[],"NextToken":null})", list)->empty());
  CHECK_FALSE(DecodeHosts("{}", list).ok());
  CHECK_FALSE(DecodeHosts(R"({"Machines":[{}]})", list).ok());
  CHECK(DecodeHostRequestResult(MakeResponse(409, R"({"Reason":"wave"})")) ==
        fleet::HostRequestResult::kWrongWave);
  CHECK(DecodeHostRequestResult(MakeResponse(409, R"({"Reason":"fence"})")) ==
        fleet::HostRequestResult::kFenced);
  CHECK(DecodeHostRequestResult(MakeResponse(409, "")) ==
        fleet::HostRequestResult::kBusy);
}

TEST_CASE("PercentEncode escapes all but letters, digits, - and .") {
  CHECK(PercentEncode("a.b-9") == "a.b-9");
  CHECK(PercentEncode("x~/\x01 ") == "x%7E%2F%01%20");
}

// Guards against a request that is passed over because of its value.
TEST_CASE("a row of an evacuation counts whatever its value is") {
  const std::string rows =
      R"({"Key":"evacuate/namche","Value":"e30=","Ver":4},)"
      R"({"Key":"evacuate/lukla","Value":7,"Ver":5},)"
      R"({"Key":"evacuate/tengboche","Deleted":true,"Ver":6})";
  const fleet::StoreRows out =
      DecodeRows(fleet::Table::kConfiguration,
                 {.status = 200,
                  .headers = {},
                  .body = R"({"Ver":6,"rows":[)" + rows + "]}"},
                 500);
  const std::vector<fleet::Evacuation> expected = {
      {"namche", true}, {"lukla", true}, {"tengboche", false}};
  CHECK(out.evacuations == expected);
}

// Guards against an open host request that a new owner does not know of.
TEST_CASE("an unreadable record of host requests is passed on") {
  const fleet::StoreRows out = DecodeRows(
      fleet::Table::kProgress,
      {.status = 200,
       .headers = {},
       .body =
           R"({"Ver":6,"rows":[{"Key":"host/m-1","Value":"/w==","Ver":4}]})"},
      500);
  REQUIRE(out.rows.size() == 1);
  CHECK(out.rows[0].key == "host/m-1");
  CHECK(out.errors.size() == 1);
}

}  // namespace
}  // namespace hyssopbarrow::platform
