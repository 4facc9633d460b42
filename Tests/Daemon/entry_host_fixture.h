#ifndef HYSSOPBARROW_TESTS_DAEMON_ENTRY_HOST_FIXTURE_H_
#define HYSSOPBARROW_TESTS_DAEMON_ENTRY_HOST_FIXTURE_H_

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "Control/command.h"
#include "Daemon/daemon.h"
#include "Standalone/sample.h"
#include "Standalone/table_server.h"
#include "Standalone/worker_server.h"

namespace hyssopbarrow {

/// Detects a test that hangs; not a limit on speed.
inline constexpr Duration kTestTimeout = std::chrono::seconds(20);
inline const Address kAnyPort{"127.0.0.1", 0};

/// One entry host with an embedded table and two workers, on one event loop.
struct EntryHostFixture {
  EntryHostFixture()
      : table_server(loop, table),
        worker_a(loop, "a"),
        worker_b(loop, "b"),
        client(loop, HttpClientLimits{}) {
    REQUIRE(table_server.Listen(kAnyPort).ok());
    REQUIRE(worker_a.Listen(kAnyPort).ok());
    REQUIRE(worker_b.Listen(kAnyPort).ok());
    table.Commit(LoadTransaction(SampleSnapshot(
        {ToString(worker_a.BoundAddress()), ToString(worker_b.BoundAddress())},
        "namche")));
    Settings settings;
    settings.node_name = "entry-1";
    settings.data_centre = "namche";
    settings.caller_listen = kAnyPort;
    settings.operator_listen = kAnyPort;
    settings.table = table_server.BoundAddress();
    daemon = std::make_unique<Daemon>(loop, settings, 1);
    REQUIRE(daemon->Start().ok());
    RunUntil([&] { return daemon->node().configuration.snapshot.has_value(); });
  }

  /// All rows but those of the ceilings, which the entry host writes by itself.
  auto RowsOfOperators() {
    auto rows = table.Read("");
    std::erase_if(
        rows, [](const auto& row) { return row.key.starts_with("rights/"); });
    return rows;
  }

  const Snapshot& AdoptedSnapshot() const {
    return *daemon->node().configuration.snapshot;
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    const Instant deadline = SteadyNow() + kTestTimeout;
    while (!condition() && SteadyNow() < deadline) loop.RunOnce(deadline);
    REQUIRE(condition());
  }

  HttpResponse Send(const Address& address, HttpRequest request) {
    std::optional<HttpResponse> reply;
    client.Send({.address = address,
                 .request = std::move(request),
                 .deadline = SteadyNow() + kTestTimeout},
                [&](TransferResult result, HttpResponse response) {
                  REQUIRE(result == TransferResult::kComplete);
                  reply = std::move(response);
                });
    RunUntil([&] { return reply.has_value(); });
    return *reply;
  }

  HttpResponse SendCall(const std::string& queue,
                        std::vector<HttpHeader> headers,
                        const std::string& body) {
    return Send(daemon->CallerAddress(),
                {.method = "POST",
                 .path = "/v1/queues/" + queue + "/calls",
                 .headers = std::move(headers),
                 .body = body});
  }

  void SetFaults(const std::string& json) {
    bool done = false;
    client.Send({.address = table_server.BoundAddress(),
                 .request = {.method = "PUT", .path = "/faults", .body = json},
                 .deadline = SteadyNow() + kTestTimeout},
                [&](TransferResult, const HttpResponse&) { done = true; });
    RunUntil([&] { return done; });
  }

  ExitCode RunControlCommand(const std::vector<std::string>& arguments,
                             const CommandOptions& options = {}) {
    out.str("");
    err.str("");
    AdminClient admin(loop, client, daemon->OperatorAddress(),
                      std::string(kSampleOperatorKey));
    return RunCommand({.client = admin,
                       .jobs = admin,
                       .fleet = admin,
                       .options = options,
                       .out = out,
                       .err = err},
                      arguments);
  }

  EventLoop loop;
  Table table;
  TableServer table_server;
  WorkerServer worker_a;
  WorkerServer worker_b;
  HttpClient client;
  std::unique_ptr<Daemon> daemon;
  std::ostringstream out;
  std::ostringstream err;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_DAEMON_ENTRY_HOST_FIXTURE_H_
