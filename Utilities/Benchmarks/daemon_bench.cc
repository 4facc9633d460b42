// Compares calls through one daemon with direct calls to its worker.
//
// Worker, daemon and callers each run an event loop on their own thread and
// communicate over loopback, so one run measures both paths on one machine.

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Daemon/daemon.h"
#include "Daemon/logging.h"
#include "Standalone/sample.h"
#include "Standalone/table_server.h"
#include "Standalone/worker_server.h"

DEFINE_int32(seconds, 5, "duration of each measurement");
DEFINE_int32(callers, 2, "threads that send calls");
DEFINE_int32(concurrency, 32, "calls in flight for each caller thread");
DEFINE_int32(body_bytes, 64, "size of each request's body");

namespace hyssopbarrow {
namespace {

const Address kLoopbackAnyPort{"127.0.0.1", 0};
constexpr Duration kLoopTimeout = std::chrono::milliseconds(10);
constexpr Duration kCallTimeout = std::chrono::seconds(30);
constexpr std::int64_t kWorkerSlots = 4096;

/// Runs an event loop on its own thread until destruction. `setup` builds the
/// server on that thread and returns the function that destroys it.
class LoopThread {
 public:
  explicit LoopThread(std::function<std::function<void()>(EventLoop&)> setup)
      : thread_([this, setup = std::move(setup)] {
          EventLoop loop;
          const std::function<void()> dispose = setup(loop);
          ready_.set_value();
          while (!stop_) loop.RunOnce(SteadyNow() + kLoopTimeout);
          dispose();
        }) {
    ready_.get_future().wait();
  }

  ~LoopThread() {
    stop_ = true;
    thread_.join();
  }

 private:
  std::atomic<bool> stop_ = false;
  std::promise<void> ready_;
  std::thread thread_;
};

/// Results of one caller thread.
struct CallerResult {
  std::vector<Duration> latencies;
  std::int64_t failures = 0;
};

/// Sends calls in a closed loop until `end`.
class Caller {
 public:
  Caller(const Address& address, const std::string& path, Instant end)
      : end_(end),
        client_(loop_, HttpClientLimits{}),
        request_{
            .address = address,
            .request = {.method = "POST",
                        .path = path,
                        .query = {},
                        .headers = {{"authorization", "Bearer sample-namche"}},
                        .body = std::string(
                            static_cast<std::size_t>(FLAGS_body_bytes), 'x')}} {
  }

  CallerResult Run(int concurrency) {
    for (int n = 0; n < concurrency; ++n) Send();
    while (in_flight_ > 0) loop_.RunOnce(SteadyNow() + kLoopTimeout);
    return std::move(result_);
  }

 private:
  void Send() {
    ++in_flight_;
    const Instant sent = SteadyNow();
    request_.deadline = sent + kCallTimeout;
    client_.Send(request_, [this, sent](TransferResult result,
                                        const HttpResponse& response) {
      --in_flight_;
      const Instant now = SteadyNow();
      result_.latencies.push_back(now - sent);
      const bool ok =
          result == TransferResult::kComplete && response.status == 200;
      if (!ok) ++result_.failures;
      if (now < end_) Send();
    });
  }

  Instant end_;
  EventLoop loop_;
  HttpClient client_;
  ClientRequest request_;
  CallerResult result_;
  int in_flight_ = 0;
};

/// Throughput and latency of one measurement.
struct Figures {
  double per_second = 0;
  double median_us = 0;
  double p99_us = 0;
  std::int64_t failures = 0;
};

Figures Merge(std::vector<CallerResult> results, double seconds) {
  std::vector<Duration> all;
  Figures figures;
  for (CallerResult& result : results) {
    all.insert(all.end(), result.latencies.begin(), result.latencies.end());
    figures.failures += result.failures;
  }
  std::sort(all.begin(), all.end());
  figures.per_second = static_cast<double>(all.size()) / seconds;
  figures.median_us = static_cast<double>(all[all.size() / 2].count());
  figures.p99_us = static_cast<double>(all[all.size() * 99 / 100].count());
  return figures;
}

Figures Measure(const Address& address, const std::string& path, int callers,
                int concurrency) {
  const Instant start = SteadyNow();
  const Instant end = start + std::chrono::seconds(FLAGS_seconds);
  std::vector<std::future<CallerResult>> running;
  running.reserve(static_cast<std::size_t>(callers));
  for (int n = 0; n < callers; ++n) {
    running.push_back(std::async(std::launch::async, [&] {
      return Caller(address, path, end).Run(concurrency);
    }));
  }
  std::vector<CallerResult> results;
  results.reserve(running.size());
  for (auto& result : running) results.push_back(result.get());
  const Duration elapsed = SteadyNow() - start;
  return Merge(std::move(results), static_cast<double>(elapsed.count()) / 1e6);
}

void Print(const char* name, const Figures& figures) {
  std::printf("%-34s %10.0f %12.0f %12.0f %9" PRId64 "\n", name,
              figures.per_second, figures.median_us, figures.p99_us,
              figures.failures);
}

Snapshot BenchSnapshot(const std::string& worker) {
  Snapshot snapshot = SampleSnapshot({worker, worker}, "namche");
  for (auto& [name, host] : snapshot.hosts) host.slots = kWorkerSlots;
  for (auto& [name, team] : snapshot.teams) team.ceiling = kWorkerSlots;
  return snapshot;
}

/// Resident memory of this process in MB, from /proc.
double ResidentMegabytes() {
  std::ifstream in("/proc/self/statm");
  std::int64_t total = 0;
  std::int64_t resident = 0;
  in >> total >> resident;
  return static_cast<double>(resident) * 4096 / 1e6;
}

void Compare(const Address& worker, const Address& daemon) {
  std::printf("%-34s %10s %12s %12s %9s\n", "path", "calls/s", "median us",
              "99th us", "failures");
  const Figures direct_one = Measure(worker, "/run/book", 1, 1);
  Print("direct, 1 in flight", direct_one);
  const Figures daemon_one = Measure(daemon, "/v1/queues/book/calls", 1, 1);
  Print("through the daemon, 1 in flight", daemon_one);
  const Figures direct =
      Measure(worker, "/run/book", FLAGS_callers, FLAGS_concurrency);
  Print("direct, full concurrency", direct);
  const Figures through = Measure(daemon, "/v1/queues/book/calls",
                                  FLAGS_callers, FLAGS_concurrency);
  Print("through the daemon, full", through);
  std::printf("added median latency: %.0f us\n",
              daemon_one.median_us - direct_one.median_us);
  std::printf("throughput ratio: %.2f\n",
              through.per_second / direct.per_second);
}

/// Runs one worker, one table and one daemon, and measures both paths.
void Run() {
  std::promise<Address> worker_address;
  LoopThread worker([&](EventLoop& loop) {
    auto server = std::make_shared<WorkerServer>(loop, "target-1");
    if (!server->Listen(kLoopbackAnyPort).ok()) std::abort();
    worker_address.set_value(server->BoundAddress());
    return std::function<void()>([server]() mutable { server.reset(); });
  });
  const Address target = worker_address.get_future().get();

  Table table;
  table.Commit(LoadTransaction(BenchSnapshot(ToString(target))));
  std::promise<Address> table_address;
  LoopThread table_thread([&](EventLoop& loop) {
    auto server = std::make_shared<TableServer>(loop, table);
    if (!server->Listen(kLoopbackAnyPort).ok()) std::abort();
    table_address.set_value(server->BoundAddress());
    return std::function<void()>([server]() mutable { server.reset(); });
  });

  const Settings settings{.node_name = "entry-1",
                          .data_centre = "namche",
                          .caller_listen = kLoopbackAnyPort,
                          .operator_listen = kLoopbackAnyPort,
                          .table = table_address.get_future().get()};
  std::promise<Address> daemon_address;
  LoopThread daemon_thread([&](EventLoop& loop) {
    auto daemon = std::make_shared<Daemon>(loop, settings, 1);
    if (!daemon->Start().ok()) std::abort();
    daemon_address.set_value(daemon->CallerAddress());
    return std::function<void()>([daemon]() mutable { daemon.reset(); });
  });
  const Address daemon = daemon_address.get_future().get();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  std::printf("idle memory of the whole process: %.1f MB\n",
              ResidentMegabytes());
  Compare(target, daemon);
}

}  // namespace
}  // namespace hyssopbarrow

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "compares calls through one daemon with direct calls to its worker");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  hyssopbarrow::ConfigureLogging("warn", hyssopbarrow::LogFormat::kText);
  hyssopbarrow::Run();
  return 0;
}
