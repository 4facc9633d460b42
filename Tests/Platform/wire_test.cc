#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Model/text.h"
#include "fleet_wire.h"
#include "job_wire.h"
#include "order_wire.h"
#include "store_wire.h"

namespace hyssopbarrow::platform {
namespace {

using fleet::OrderResult;
using fleet::Table;
using nlohmann::json;

constexpr char kJob[] = "5c0e7a21d94b36f8";

HttpResponse Answer(int status, const std::string& body) {
  return {.status = status, .headers = {}, .body = body};
}

TEST_CASE("a job is decoded with all fields of its steps") {
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
  CHECK(spec->steps[0].need == fleet::Resources{500, 256, 0});
  CHECK(spec->steps[0].data_rack == "r1-3");
  const fleet::Step& second = spec->steps[1];
  CHECK(second.need.gpus == 1);
  CHECK(second.depends_on == std::vector<std::int64_t>{0});
  CHECK((second.saves && second.gang && second.same_rack));
  CHECK((second.allows_copies && second.lasts && second.fills));
  CHECK(second.needs_label == "a");
  CHECK(second.max_per_target == 1);
  CHECK(second.image == "img");
  CHECK(second.tail_target_ms == 40);
  CHECK(second.may_miss == 1);
  CHECK(Validate(*spec).ok());
}

struct BadJob {
  std::string body;
  std::string mentions;  ///< Field that the error has to name.
};

/// A job whose only step has `field`.
std::string WithStep(const std::string& field) {
  return R"({"Spec":"x","Steps":[{"Count":1,)" + field + "}]}";
}

std::vector<BadJob> BadJobs() {
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
      {WithStep(R"("Cpu":-1)"), "need"},
      {WithStep(R"("Cpu":1099511627777)"), "need"},
      {WithStep(R"("Cpu":"1")"), "Cpu"},
      {WithStep(R"("MemMb":-1)"), "need"},
      {WithStep(R"("MemMb":1.5)"), "MemMb"},
      {WithStep(R"("Gpu":-1)"), "need"},
      {WithStep(R"("Gpu":[])"), "Gpu"},
      {WithStep(R"("EstimateMs":-1)"), "estimate_ms"},
      {WithStep(R"("EstimateMs":"long")"), "EstimateMs"},
      {WithStep(R"("DependsOn":[0])"), "depends_on"},
      {WithStep(R"("DependsOn":[1])"), "depends_on"},
      {WithStep(R"("DependsOn":[-1])"), "depends_on"},
      {WithStep(R"("DependsOn":0)"), "DependsOn"},
      {WithStep(R"("DependsOn":["0"])"), "DependsOn"},
      {WithStep(R"("DependsOn":[0.5])"), "DependsOn"},
      {WithStep(R"("Checkpointing":1)"), "Checkpointing"},
      {WithStep(R"("GangScheduled":"yes")"), "GangScheduled"},
      {WithStep(R"("SameRack":0)"), "SameRack"},
      {WithStep(R"("Requirements":1)"), "Requirements"},
      {WithStep(R"("Affinity":[])"), "Affinity"},
      {WithStep(R"("AntiAffinity":-1)"), "max_per_target"},
      {WithStep(R"("AntiAffinity":"one")"), "AntiAffinity"},
      {WithStep(R"("AllowDuplicates":"no")"), "AllowDuplicates"},
      {WithStep(R"("LongRunning":2)"), "LongRunning"},
      {WithStep(R"("Image":7)"), "Image"},
      {WithStep(R"("TargetMs":"40")"), "TargetMs"},
      {WithStep(R"("Fills":"all")"), "Fills"},
      {WithStep(R"("MayMiss":-1)"), "may_miss"},
      {WithStep(R"("MayMiss":{})"), "MayMiss"},
  };
}

TEST_CASE("a bad job is refused with the name of its field") {
  CHECK(BadJobs().size() >= 60);
  for (const BadJob& it : BadJobs()) {
    CAPTURE(it.body.substr(0, 200));
    const auto spec = DecodeJob(it.body);
    const absl::Status status = spec.ok() ? Validate(*spec) : spec.status();
    CHECK_FALSE(status.ok());
    const std::string message(status.message());
    CAPTURE(message);
    CHECK(message.find(it.mentions) != std::string::npos);
  }
}

TEST_CASE("unknown fields of a job are ignored") {
  CHECK(DecodeJob(R"({"Spec":"x","New":1,"Steps":[{"Count":1,"More":[]}]})")
            .ok());
}

/// An answer of the store with one row.
HttpResponse WithRow(const std::string& key, const std::string& base64) {
  const json body = {{"rows",
                      {{{"Table", "t"},
                        {"part", ""},
                        {"Key", key},
                        {"Value", base64},
                        {"Ver", 3}}}},
                     {"Ver", 9}};
  return Answer(200, body.dump());
}

TEST_CASE("a target's entry is decoded; a bad one names no target") {
  const std::string good =
      R"({"Service":"desk","Address":"10.0.0.9:80","Zone":"a","State":"ready",)"
      R"("born":5,"Machine":"m-1","Capacity":{"Cpu":64000,"MemMb":9,"Gpu":1},)"
      R"("Labels":["a","r1-1"]})";
  const auto target = DecodeTarget("i-1", json::parse(good));
  REQUIRE(target.ok());
  CHECK(target->host == "m-1");
  CHECK(target->capacity == fleet::Resources{64000, 9, 1});
  CHECK(target->born == 5);
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

TEST_CASE("a row that cannot be read is reported and stops nothing") {
  const auto rows = DecodeRows(Table::kTargets, WithRow("i-1", "bm90IGpzb24="));
  CHECK(rows.status == StoreStatus::kOk);
  CHECK(rows.targets.empty());
  CHECK(rows.removed_targets == std::vector<std::string>{"i-1"});
  CHECK(rows.problems.size() == 1);
  const auto jobs = DecodeRows(Table::kJobs, WithRow(kJob, "bm90IGpzb24="));
  CHECK(jobs.rows.empty());
  CHECK(jobs.problems.size() == 1);
}

TEST_CASE("the store's statuses say what may have been done") {
  const auto status = [&](int code, const std::string& body) {
    return DecodeRows(Table::kJobs, Answer(code, body));
  };
  CHECK(status(200, R"({"Ver":4})").status == StoreStatus::kOk);
  CHECK(status(412, R"({"rows":[],"Ver":4})").status == StoreStatus::kConflict);
  CHECK(status(503, "").status == StoreStatus::kUnavailable);
  CHECK(status(429, "").status == StoreStatus::kUnavailable);
  CHECK(status(500, "").status == StoreStatus::kUnknown);
  CHECK(status(200, "{").status == StoreStatus::kUnknown);
  CHECK(status(410, "").history_lost);
}

TEST_CASE("a commit carries conditions, values and removals") {
  fleet::CommitRows commit;
  commit.conditions = {{{Table::kOwner, "epoch"}, 7}};
  commit.writes = {{{Table::kJobs, kJob}, {{"queue", "q"}}},
                   {{Table::kProgress, kJob}, nullptr},
                   {{Table::kWaves, "wave/1"}, {{"completed", true}}}};
  const json body = json::parse(EncodeCommit(commit));
  CHECK(body["Expect"][0]["Ver"] == 7);
  CHECK(body["Expect"][0]["Table"] == "owner");
  CHECK(body["SetKeys"].size() == 2);
  CHECK(body["SetKeys"][0]["Value"] == "eyJxdWV1ZSI6InEifQ==");
  CHECK(body["SetKeys"][1]["Table"] == "status");
  CHECK(body["SetKeys"][1]["part"] == "");
  CHECK(body["SetKeys"][1]["Value"] == "eyJTdGF0ZSI6ImNvbXBsZXRlZCJ9");
  CHECK(body["Remove"][0]["Key"] == kJob);
}

TEST_CASE("orders name task, run, token and lease") {
  fleet::TargetOrder order{.kind = fleet::OrderKind::kStart, .token = 7};
  order.task = {kJob, 0, 1, 17};
  order.run = 2;
  order.payload = "some text";
  order.lease_until_ms = 486000;
  order.checkpoint = "00000bb8";
  const json body = json::parse(EncodeOrder(order));
  CHECK(body == json::parse(R"({"Task":"5c0e7a21d94b36f8.0.1.17","Run":2,
      "Spec":"some text","DeadlineMs":486000,"FencingToken":7,
      "LastCheckpoint":"00000bb8"})"));
  fleet::TargetOrder hold{.kind = fleet::OrderKind::kHold, .token = 7};
  hold.ends_seen = 57;
  hold.wait = std::chrono::milliseconds(1000);
  CHECK(json::parse(EncodeOrder(hold)) ==
        json::parse(R"({"FencingToken":7,"AckCursor":57,"WaitMs":1000})"));
}

TEST_CASE("a target's answers are decoded") {
  const auto reply = DecodeOrderReply(Answer(200, R"({"ClockMs":482113,"born":9,
        "Running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,380],["bad"]],
        "Ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],
                 [59,"5c0e7a21d94b36f8.0.1.8",1,"vanished",""],[60]]})"));
  CHECK(reply.result == OrderResult::kDone);
  CHECK(reply.clock_ms == 482113);
  CHECK(reply.born == 9);
  REQUIRE(reply.running.size() == 1);
  CHECK(reply.running[0].task == fleet::TaskName{kJob, 0, 1, 17});
  CHECK(reply.running[0].load == 380);
  REQUIRE(reply.ended.size() == 1);
  CHECK(reply.ended[0].number == 58);
  const auto refusal = [](const std::string& reason) {
    return DecodeOrderReply(
               Answer(409, R"({"ClockMs":1,"Reason":")" + reason + "\"}"))
        .result;
  };
  CHECK(refusal("fence") == OrderResult::kFenced);
  CHECK(refusal("old") == OrderResult::kOldRun);
  CHECK(refusal("late") == OrderResult::kLeaseOver);
  CHECK(refusal("room") == OrderResult::kNoRoom);
  CHECK(refusal("ticket") == OrderResult::kNoTicket);
  CHECK(refusal("new") == OrderResult::kInvalid);
  CHECK(DecodeOrderReply(Answer(421, "")).result ==
        OrderResult::kOtherInstance);
  CHECK(DecodeOrderReply(Answer(503, "")).result == OrderResult::kUnhealthy);
  CHECK(DecodeOrderReply(Answer(429, "x")).result == OrderResult::kUnhealthy);
  CHECK(DecodeOrderReply(Answer(500, "{")).result == OrderResult::kNoReply);
}

TEST_CASE("a configuration is decoded; a bad one names the field") {
  const auto config = DecodeConfiguration(json::parse(
      R"({"Version":7,"Routes":[{"Name":"r","Host":"h.example",
        "PathPrefix":"/p/","TimeoutMs":3000,"TargetLatencyMs":600,
        "Priority":1,"Service":"desk","MaxAttempts":3,"SlackFactor":1.6,
        "Public":true,"Advice":{"DecideMs":5,"EachMs":1,"ValidMs":9}}],
        "Services":[{"Name":"desk","RejectsOverload":true,"Spare":false}],
        "Tenants":[{"Name":"t","ApiKeys":["k"],"Weight":5,
        "UpperLimit":{"Cpu":1,"MemMb":2,"Gpu":3}}]})"));
  REQUIRE(config.ok());
  CHECK(config->version == 7);
  CHECK(config->queues[0].approval->valid_ms == 9);
  CHECK(config->teams[0].ceiling == fleet::Resources{1, 2, 3});
  CHECK(MatchQueue(*config, "h.example", "/p/x") != nullptr);
  CHECK(MatchQueue(*config, "h.example", "/q/x") == nullptr);
  CHECK(FindTeamByKey(*config, "k") != nullptr);
  const auto bad =
      GENERATE(R"([])", R"({"Version":1})",
               R"({"Version":"1","Routes":[],"Services":[]})",
               R"({"Version":1,"Routes":[{}],"Services":[]})",
               R"({"Version":1,"Routes":[],"Services":[{}]})",
               R"({"Version":1,"Routes":[],"Services":[],"Tenants":[{}]})",
               R"({"Version":1,"Routes":[],"Services":[],"Tenants":{}})");
  CAPTURE(bad);
  CHECK_FALSE(DecodeConfiguration(json::parse(bad)).ok());
}

TEST_CASE("hosts are listed page by page") {
  fleet::HostList list;
  const auto next = DecodeHosts(
      R"({"Machines":[{"Machine":"m-1","Pool":"p","State":"upkeep","Zone":"a",
        "Labels":["a"],"Id":"i-1"}],"NextToken":"t2"})",
      list);
  REQUIRE(next.ok());
  CHECK(*next == "t2");
  CHECK(list.hosts[0].state == fleet::HostState::kUpkeep);
  CHECK(DecodeHosts(R"({"Machines":[],"NextToken":null})", list)->empty());
  CHECK_FALSE(DecodeHosts("{}", list).ok());
  CHECK_FALSE(DecodeHosts(R"({"Machines":[{}]})", list).ok());
  CHECK(DecodeHostResult(Answer(409, R"({"Reason":"wave"})")) ==
        fleet::HostResult::kWrongWave);
  CHECK(DecodeHostResult(Answer(409, R"({"Reason":"fence"})")) ==
        fleet::HostResult::kFenced);
  CHECK(DecodeHostResult(Answer(409, "")) == fleet::HostResult::kBusy);
}

TEST_CASE("keys are encoded for a query") {
  CHECK(PercentEncode("a.b-9") == "a.b-9");
  CHECK(PercentEncode("x~/\x01 ") == "x%7E%2F%01%20");
}

}  // namespace
}  // namespace hyssopbarrow::platform
