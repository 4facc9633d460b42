#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "Daemon/daemon.h"
#include "Daemon/logging.h"
#include "Daemon/settings.h"
#include "Fleet/entry_host.h"
#include "Fleet/job_api.h"
#include "Model/text.h"
#include "Policy/registration.h"
#include "Standalone/fleet_stand_in.h"
#include "Standalone/sample.h"
#include "Standalone/table_server.h"
#include "Standalone/worker_server.h"

DEFINE_string(settings, "", "YAML file with the settings of this entry host");
DEFINE_bool(check_settings, false,
            "check the settings, print the result and exit");
DEFINE_bool(standalone, false,
            "serve calls and jobs on loopback with an embedded table, "
            "embedded workers and an embedded fleet; "
            "needs no settings");

DEFINE_string(address_file, "",
              "file that is given the bound addresses as JSON once all "
              "listeners are open");

namespace hyssopbarrow {
namespace {

constexpr int kExitSettings = 2;
constexpr int kStandaloneWorkers = 3;
constexpr Duration kRowReadTimeout = std::chrono::milliseconds(1000);
constexpr Duration kStopPoll = std::chrono::milliseconds(50);

volatile std::sig_atomic_t g_stop_requested = 0;

void OnSignal(int) { g_stop_requested = 1; }

int Complain(const absl::Status& status) {
  std::cerr << "hyssopbarrowd: " << status.message() << "\n";
  return kExitSettings;
}

Settings StandaloneSettings() {
  Settings it;
  it.node_name = "standalone";
  it.data_centre = "local";
  it.caller_listen = {"127.0.0.1", 8080};
  it.operator_listen = {"127.0.0.1", 8081};
  it.table = {"127.0.0.1", 0};
  it.drain_ms = 0;
  return it;
}

fleet::EntryHostSettings JobSettings(const Settings& settings) {
  return {.node = settings.node_name,
          .holder = settings.node_name,
          .callers = {"127.0.0.1", 8082},
          .readiness = {"127.0.0.1", 0},
          .peers = {"127.0.0.1", 8083},
          .metrics = {"127.0.0.1", 0}};
}

/// The embedded stand-ins of `--standalone`, and the host that runs jobs on
/// them.
struct Embedded {
  explicit Embedded(EventLoop& loop) : table_server(loop, table) {}

  Table table;
  TableServer table_server;
  std::vector<std::unique_ptr<WorkerServer>> workers;
  std::unique_ptr<fleet::FleetStandIn> fleet;
  fleet::JobCodec codec;
  std::unique_ptr<fleet::EntryHost> jobs;
};

absl::Status StartEmbedded(EventLoop& loop, Settings& settings,
                           Embedded& embedded) {
  std::vector<std::string> addresses;
  for (int n = 0; n < kStandaloneWorkers; ++n) {
    auto worker =
        std::make_unique<WorkerServer>(loop, "target-" + std::to_string(n + 1));
    if (absl::Status s = worker->Listen({"127.0.0.1", 0}); !s.ok()) return s;
    addresses.push_back(ToString(worker->BoundAddress()));
    embedded.workers.push_back(std::move(worker));
  }
  if (absl::Status s = embedded.table_server.Listen(settings.table); !s.ok()) {
    return s;
  }
  settings.table = embedded.table_server.BoundAddress();
  const Snapshot sample = SampleSnapshot(addresses, settings.data_centre);
  embedded.table.Commit(LoadTransaction(sample));
  embedded.fleet =
      std::make_unique<fleet::FleetStandIn>(loop, SampleFleet(sample));
  embedded.jobs = std::make_unique<fleet::EntryHost>(
      loop, JobSettings(settings), *embedded.fleet, embedded.codec);
  return embedded.jobs->Start();
}

std::int64_t NewIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
      .count();
}

/// Incarnation of this start: by the clock, but above the one in this host's
/// row, in case that the clock went back. While the table cannot be read the
/// clock alone decides.
std::int64_t ChooseIncarnation(EventLoop& loop, const Settings& settings) {
  if (!settings.peers.has_value()) return NewIncarnation();
  HttpClient client(loop, HttpClientLimits{});
  TableClient table(client, settings.table);
  std::optional<StoreReply> reply;
  const Instant deadline = SteadyNow() + kRowReadTimeout;
  table.Read(StrCat(kMembersPrefix, settings.node_name), deadline,
             [&](const StoreReply& it) { reply = it; });
  while (!reply.has_value()) loop.RunOnce(deadline);
  return NextIncarnation(reply->rows, settings.node_name, NewIncarnation());
}

/// Writes the bound addresses; the file appears whole or not at all.
absl::Status WriteAddressFile(const Daemon& daemon, const std::string& file) {
  nlohmann::json json = {{"callers", ToString(daemon.CallerAddress())},
                         {"operators", ToString(daemon.OperatorAddress())}};
  if (daemon.links() != nullptr) json["peers"] = daemon.links()->advertised();
  const std::string part = file + ".part";
  std::ofstream(part) << json.dump() << "\n";
  if (std::rename(part.c_str(), file.c_str()) == 0) return absl::OkStatus();
  return absl::UnavailableError(StrCat("cannot write ", file));
}

/// Serves until a signal; `turn` is one turn of the loop.
int Serve(EventLoop& loop, const Settings& settings,
          const std::function<void()>& turn) {
  Daemon daemon(loop, settings, ChooseIncarnation(loop, settings));
  if (absl::Status s = daemon.Start(); !s.ok()) return Complain(s);
  if (!FLAGS_address_file.empty()) {
    absl::Status status = WriteAddressFile(daemon, FLAGS_address_file);
    if (!status.ok()) return Complain(status);
  }
  while (!daemon.IsStopped()) {
    turn();
    if (g_stop_requested != 0) daemon.RequestStop();
  }
  Log(LogLevel::kInfo, "stopped");
  return 0;
}

int ServeStandalone() {
  EventLoop loop;
  Settings settings = StandaloneSettings();
  ConfigureLogging(settings.log_level, settings.log_format);
  Embedded embedded(loop);
  if (absl::Status s = StartEmbedded(loop, settings, embedded); !s.ok()) {
    return Complain(s);
  }
  return Serve(loop, settings, [&embedded] { embedded.jobs->RunOnce(); });
}

int ServeWithSettings() {
  if (FLAGS_settings.empty()) {
    return Complain(absl::InvalidArgumentError(
        "--settings FILE or --standalone is needed"));
  }
  absl::StatusOr<Settings> settings = LoadSettings(FLAGS_settings);
  if (!settings.ok()) return Complain(settings.status());
  if (FLAGS_check_settings) {
    std::cout << FLAGS_settings << ": settings are valid\n";
    return 0;
  }
  ConfigureLogging(settings->log_level, settings->log_format);
  EventLoop loop;
  return Serve(loop, *settings,
               [&loop] { loop.RunOnce(SteadyNow() + kStopPoll); });
}

int Main() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  return FLAGS_standalone ? ServeStandalone() : ServeWithSettings();
}

}  // namespace
}  // namespace hyssopbarrow

int main(int argc, char** argv) {
  gflags::SetUsageMessage("serves one entry host of hyssopbarrow");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hyssopbarrow::Main();
}
