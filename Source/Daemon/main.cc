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
#include "Standalone/embedded_fleet.h"
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
              "file to write the bound addresses to, as JSON, once all "
              "listeners are open");

namespace hyssopbarrow {
namespace {

constexpr int kExitStartupFailure = 2;
constexpr int kStandaloneWorkers = 3;
constexpr Duration kRowReadTimeout = std::chrono::milliseconds(1000);
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(50);

volatile std::sig_atomic_t g_stop_requested = 0;

void OnSignal(int) { g_stop_requested = 1; }

int ReportError(const absl::Status& status) {
  std::cerr << "hyssopbarrowd: " << status.message() << "\n";
  return kExitStartupFailure;
}

Settings MakeStandaloneSettings() {
  Settings settings;
  settings.node_name = "standalone";
  settings.data_centre = "local";
  settings.caller_listen = {"127.0.0.1", 8080};
  settings.operator_listen = {"127.0.0.1", 8081};
  settings.table = {"127.0.0.1", 0};
  settings.drain_ms = 0;
  return settings;
}

fleet::EntryHostSettings MakeJobHostSettings(const Settings& settings) {
  return {.node = settings.node_name,
          .holder = settings.node_name,
          .callers = {"127.0.0.1", 8082},
          .readiness = {"127.0.0.1", 0},
          .peers = {"127.0.0.1", 8083},
          .relay = {"127.0.0.1", 0},
          .metrics = {"127.0.0.1", 0}};
}

/// Embedded table, workers and fleet of `--standalone`, and the entry host that
/// runs jobs on them.
struct EmbeddedServices {
  explicit EmbeddedServices(EventLoop& loop) : table_server(loop, table) {}

  Table table;
  TableServer table_server;
  std::vector<std::unique_ptr<WorkerServer>> workers;
  std::unique_ptr<fleet::EmbeddedFleet> fleet;
  fleet::JobCodec codec;
  std::unique_ptr<fleet::EntryHost> jobs;
};

absl::Status StartEmbedded(EventLoop& loop, Settings& settings,
                           EmbeddedServices& embedded) {
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
      std::make_unique<fleet::EmbeddedFleet>(loop, SampleFleet(sample));
  embedded.jobs = std::make_unique<fleet::EntryHost>(
      loop, MakeJobHostSettings(settings), *embedded.fleet, embedded.codec);
  return embedded.jobs->Start();
}

std::int64_t ClockIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
      .count();
}

/// Returns the incarnation of this start: the clock's value, but above the
/// incarnation in this host's member row in case the clock was set back. Uses
/// the clock alone if the table cannot be read.
std::int64_t ChooseIncarnation(EventLoop& loop, const Settings& settings) {
  if (!settings.peers.has_value()) return ClockIncarnation();
  HttpClient client(loop, HttpClientLimits{});
  TableClient table(client, settings.table);
  std::optional<StoreReply> reply;
  const Instant deadline = SteadyNow() + kRowReadTimeout;
  table.Read(StrCat(kMembersPrefix, settings.node_name), deadline,
             [&](const StoreReply& store_reply) { reply = store_reply; });
  while (!reply.has_value()) loop.RunOnce(deadline);
  return NextIncarnation(reply->rows, settings.node_name, ClockIncarnation());
}

/// Writes the bound addresses to `file`. It is renamed into place, so that a
/// reader never sees a partial file.
absl::Status WriteAddressFile(const Daemon& daemon, const std::string& file) {
  nlohmann::json json = {{"callers", ToString(daemon.CallerAddress())},
                         {"operators", ToString(daemon.OperatorAddress())}};
  if (daemon.links() != nullptr) json["peers"] = daemon.links()->advertised();
  const std::string part = file + ".part";
  std::ofstream(part) << json.dump() << "\n";
  if (std::rename(part.c_str(), file.c_str()) == 0) return absl::OkStatus();
  return absl::UnavailableError(StrCat("cannot write ", file));
}

/// Runs the daemon until a stop signal; `run_once` runs one loop iteration.
int RunDaemon(EventLoop& loop, const Settings& settings,
              const std::function<void()>& run_once) {
  Daemon daemon(loop, settings, ChooseIncarnation(loop, settings));
  if (absl::Status s = daemon.Start(); !s.ok()) return ReportError(s);
  if (!FLAGS_address_file.empty()) {
    absl::Status status = WriteAddressFile(daemon, FLAGS_address_file);
    if (!status.ok()) return ReportError(status);
  }
  while (!daemon.IsStopped()) {
    run_once();
    if (g_stop_requested != 0) daemon.RequestStop();
  }
  Log(LogLevel::kInfo, "stopped");
  return 0;
}

int RunStandalone() {
  EventLoop loop;
  Settings settings = MakeStandaloneSettings();
  ConfigureLogging(settings.log_level, settings.log_format);
  EmbeddedServices embedded(loop);
  if (absl::Status s = StartEmbedded(loop, settings, embedded); !s.ok()) {
    return ReportError(s);
  }
  return RunDaemon(loop, settings, [&embedded] { embedded.jobs->RunOnce(); });
}

int RunWithSettings() {
  if (FLAGS_settings.empty()) {
    return ReportError(absl::InvalidArgumentError(
        "--settings FILE or --standalone is required"));
  }
  absl::StatusOr<Settings> settings = LoadSettings(FLAGS_settings);
  if (!settings.ok()) return ReportError(settings.status());
  if (FLAGS_check_settings) {
    std::cout << FLAGS_settings << ": settings are valid\n";
    return 0;
  }
  ConfigureLogging(settings->log_level, settings->log_format);
  EventLoop loop;
  return RunDaemon(loop, *settings,
                   [&loop] { loop.RunOnce(SteadyNow() + kStopCheckInterval); });
}

int Main() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  return FLAGS_standalone ? RunStandalone() : RunWithSettings();
}

}  // namespace
}  // namespace hyssopbarrow

int main(int argc, char** argv) {
  gflags::SetUsageMessage("serves one entry host of hyssopbarrow");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hyssopbarrow::Main();
}
