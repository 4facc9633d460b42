#include "Fleet/job_api.h"

#include <catch2/catch.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "Control/command.h"
#include "Fleet/entry_host.h"
#include "Standalone/embedded_fleet.h"
#include "Standalone/sample.h"

namespace hyssopbarrow::fleet {
namespace {

const Address kAnyPort{"127.0.0.1", 0};
constexpr Duration kTestTimeout = std::chrono::seconds(20);
constexpr const char* kJob = "00000000000000aa";

/// An entry host with an embedded fleet, and clients of its HTTP APIs.
struct JobApiFixture {
  JobApiFixture()
      : embedded_fleet(loop, SampleFleet(SampleSnapshot(
                                 {"127.0.0.1:1", "127.0.0.1:2"}, "namche"))),
        host(loop,
             {.node = "entry-1",
              .holder = "entry-1",
              .callers = kAnyPort,
              .readiness = kAnyPort,
              .peers = kAnyPort,
              .metrics = kAnyPort},
             embedded_fleet, codec),
        client(loop, HttpClientLimits{}) {
    REQUIRE(host.Start().ok());
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    const Instant deadline = SteadyNow() + kTestTimeout;
    while (!condition() && SteadyNow() < deadline) host.RunOnce();
    REQUIRE(condition());
  }

  HttpResponse Send(const Address& address, const HttpRequest& request) {
    std::optional<HttpResponse> reply;
    client.Send({.address = address,
                 .request = request,
                 .deadline = SteadyNow() + kTestTimeout},
                [&](TransferResult result, const HttpResponse& response) {
                  REQUIRE(result == TransferResult::kComplete);
                  reply = response;
                });
    RunUntil([&] { return reply.has_value(); });
    return *reply;
  }

  HttpResponse SendJobRequest(
      const std::string& method, const std::string& path,
      const std::string& body = "",
      const std::string& key = std::string(kSampleCallerKey)) {
    return Send(host.CallerAddress(),
                {.method = method,
                 .path = "/v1/queues/" + path,
                 .headers = {{"authorization", "Bearer " + key}},
                 .body = body});
  }

  std::string JobStateOf(const std::string& path) {
    const HttpResponse response = SendJobRequest("GET", path);
    if (response.status != 200) return "";
    return nlohmann::json::parse(response.body).value("state", "");
  }

  nlohmann::json FleetRows(const std::string& kind) {
    const HttpResponse response = Send(
        host.PeerAddress(), {.method = "GET", .path = "/v1/fleet/" + kind});
    return response.status == 200 ? nlohmann::json::parse(response.body)["rows"]
                                  : nlohmann::json();
  }

  /// Keeps ticking the host while other code runs the event loop.
  void KeepTicking() {
    loop.CallAt(SteadyNow() + host.Tick(), [this] { KeepTicking(); });
  }

  void RunUntilOwner() {
    RunUntil([&] {
      return host.entry().configuration.has_value() && host.entry().owner &&
             host.entry().owner->ready;
    });
  }

  EventLoop loop;
  EmbeddedFleet embedded_fleet;
  JobCodec codec;
  EntryHost host;
  HttpClient client;
};

TEST_CASE("A job with two steps is stored, run and reported as completed") {
  JobApiFixture fixture;
  fixture.RunUntilOwner();
  const std::string path = std::string("book/jobs/") + kJob;
  const HttpResponse response = fixture.SendJobRequest(
      "POST", path,
      R"({"payload": "ledger", "steps": [{"count": 3, "cpu_milli": 1000,
                "estimate_ms": 30}, {"estimate_ms": 10, "depends_on": [0]}]})");
  REQUIRE(response.status == 200);
  CHECK(FindHeader(response.headers, "x-outcome") == "accepted");
  fixture.RunUntil([&] { return fixture.JobStateOf(path) == "completed"; });
  const nlohmann::json jobs = fixture.FleetRows("jobs");
  REQUIRE(jobs.size() == 1);
  CHECK(jobs[0]["name"] == kJob);
  CHECK(jobs[0]["value"]["team"] == "namche");
  CHECK(jobs[0]["value"]["tasks"] == 4);
  CHECK(jobs[0]["value"]["tasks_done"] == 4);
  CHECK(fixture.FleetRows("targets").size() == 2);
  CHECK(fixture.FleetRows("owners")[0]["name"] == "entry-1");
  CHECK(fixture.FleetRows("relays").empty());
  CHECK(fixture.FleetRows("waves") == nlohmann::json::array());
  CHECK(fixture.FleetRows("hosts").is_null());
  const nlohmann::json run_times = fixture.FleetRows("run-times");
  REQUIRE(run_times.size() == 1);
  CHECK(run_times[0]["name"] == "book");
  CHECK(run_times[0]["value"]["ends"] == 4);
  CHECK(run_times[0]["value"]["expected_ms"] > 0);
}

TEST_CASE("A long-running job runs until it is cancelled") {
  JobApiFixture fixture;
  fixture.RunUntilOwner();
  const std::string path = std::string("status/jobs/") + kJob;
  REQUIRE(
      fixture
          .SendJobRequest("POST", path, R"({"steps": [{"lasts": true}]})", "")
          .status == 200);
  fixture.RunUntil([&] { return fixture.JobStateOf(path) == "running"; });
  CHECK(fixture.SendJobRequest("DELETE", path).status == 200);
  fixture.RunUntil([&] { return fixture.JobStateOf(path) == "cancelled"; });
}

TEST_CASE("Rejection of a job names the field, and the job does not run") {
  JobApiFixture fixture;
  fixture.RunUntilOwner();
  const std::string path = std::string("book/jobs/") + kJob;
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"", "not JSON"},
      {"[]", "not a JSON object"},
      {"{}", "steps"},
      {R"({"steps": []})", "steps"},
      {R"({"steps": [7]})", "steps[0]"},
      {R"({"steps": [{}], "stesp": 1})", "stesp"},
      {R"({"steps": [{"cout": 1}]})", "steps[0].cout"},
      {R"({"steps": [{"count": "3"}]})", "steps[0].count"},
      {R"({"steps": [{"count": 0}]})", "steps[0].count"},
      {R"({"steps": [{"lasts": 1}]})", "steps[0].lasts"},
      {R"({"steps": [{"depends_on": [0]}]})", "steps[0].depends_on"},
      {R"({"steps": [{}, {"depends_on": ["0"]}]})", "steps[1].depends_on"},
      {R"({"steps": [{}], "payload": 7})", "payload"},
      {R"({"steps": [{}], "repeats": -1})", "repeats"}};
  for (const auto& [body, field] : cases) {
    const HttpResponse response = fixture.SendJobRequest("POST", path, body);
    INFO(body << " -> " << response.body);
    CHECK(response.status == 400);
    CHECK(response.body.find(field) != std::string::npos);
    CHECK(FindHeader(response.headers, "x-outcome") == "not-run");
  }
  CHECK(fixture.SendJobRequest("POST", path, "{}", "nobody").status == 403);
  CHECK(fixture.SendJobRequest("POST", "shop/jobs/00000000000000aa", "{}")
            .status == 404);
  CHECK(fixture.SendJobRequest("POST", "book/jobs/aa", R"({"steps": [{}]})")
            .status == 400);
  CHECK(fixture.SendJobRequest("GET", path).status == 404);
  CHECK(fixture.FleetRows("jobs").empty());
}

TEST_CASE("hyssopbarrowctl submits a job, waits for it and shows the fleet") {
  JobApiFixture fixture;
  fixture.RunUntilOwner();
  std::ostringstream out;
  std::ostringstream err;
  fixture.KeepTicking();
  AdminClient admin(fixture.loop, fixture.client, fixture.host.PeerAddress(),
                    "");
  AdminClient jobs(fixture.loop, fixture.client, fixture.host.CallerAddress(),
                   std::string(kSampleCallerKey), kQueuesPath);
  AdminClient fleet(fixture.loop, fixture.client, fixture.host.PeerAddress(),
                    "", kFleetPath);
  const auto run = [&](const std::vector<std::string>& arguments,
                       const CommandOptions& options = {}) {
    out.str("");
    err.str("");
    return RunCommand({.client = admin,
                       .jobs = jobs,
                       .fleet = fleet,
                       .options = options,
                       .out = out,
                       .err = err},
                      arguments);
  };
  CHECK(run({"submit", "book", "payload=ledger", "count=2", "estimate_ms=20"},
            {.job = kJob}) == ExitCode::kOk);
  CHECK(out.str() == std::string(kJob) + "\n");
  CHECK(run({"wait", "book", kJob}) == ExitCode::kOk);
  CHECK(out.str() == "completed\n");
  CHECK(run({"status", "book", kJob}) == ExitCode::kOk);
  CHECK(run({"status", "book", "00000000000000bb"}) == ExitCode::kNotFound);
  CHECK(run({"submit", "status", "lasts=true"}) == ExitCode::kOk);
  const std::string long_running_job =
      out.str().substr(0, out.str().size() - 1);
  CHECK(long_running_job.size() == 16);
  CHECK(run({"cancel", "status", long_running_job}) == ExitCode::kOk);
  CHECK(run({"wait", "status", long_running_job}) == ExitCode::kFailed);
  CHECK(out.str() == "cancelled\n");
  CHECK(run({"submit", "book", "count=many"}) == ExitCode::kUsage);
  CHECK(err.str().find("steps[0].count") != std::string::npos);
  CHECK(run({"submit", "book"}, {.spec = "/nonexistent"}) == ExitCode::kUsage);
  CHECK(run({"fleet", "jobs"}) == ExitCode::kOk);
  CHECK(out.str().find(kJob) != std::string::npos);
  CHECK(run({"fleet", "hosts"}) == ExitCode::kNotFound);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
