#ifndef HYSSOPBARROW_TESTS_REPLAY_FAKE_WORKER_H_
#define HYSSOPBARROW_TESTS_REPLAY_FAKE_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "Model/time.h"
#include "Policy/effects.h"
#include "Replay/checker.h"
#include "Replay/network.h"

namespace hyssopbarrow {

/// How a worker handles requests.
enum class WorkerMode {
  kAnswers,
  kFailsFast,    ///< Answers every request with an error at once.
  kHangs,        ///< Accepts requests and never answers.
  kSlow,         ///< Takes ten times as long.
  kUnreachable,  ///< Refuses connections.
};

/// Fake worker: runs each request until it completes, is cancelled or reaches
/// its deadline.
struct FakeWorker {
  Endpoint endpoint;
  std::int64_t slots = 8;
  std::int64_t running = 0;
  WorkerMode mode = WorkerMode::kAnswers;
};

/// A request of a gateway to a worker.
struct WorkerTask {
  std::int64_t run = 0;  ///< Unique in the replay.
  std::size_t submission = 0;
  Duration service_time{};
  Instant deadline;  ///< In virtual time.
};

/// All workers of the fleet.
class FakeWorkers {
 public:
  using Reply = std::function<void(SlotResult)>;

  FakeWorkers(Schedule& schedule, Checker& checker)
      : schedule_(schedule), checker_(checker) {}

  void Add(const std::string& name, const std::string& data_centre,
           std::int64_t slots);

  /// Sets the mode of all workers whose name begins with `prefix`. Any mode but
  /// kAnswers marks the hosts as broken in the record.
  void SetMode(const std::string& prefix, WorkerMode mode);

  const FakeWorker* Find(const std::string& name) const;

  /// Starts a run now. `reply` is called if the worker answers before the
  /// deadline.
  void StartRun(const std::string& worker, const WorkerTask& task,
                const Reply& reply);

  /// Stops a run, as a worker does when the connection is closed. Does nothing
  /// if the run has ended.
  void StopRun(std::int64_t run);

 private:
  Duration ServiceTime(const FakeWorker& worker, const WorkerTask& task) const;
  void EndRun(std::int64_t run);

  Schedule& schedule_;
  Checker& checker_;
  std::map<std::string, FakeWorker> workers_;
  std::map<std::int64_t, std::string> worker_by_run_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_REPLAY_FAKE_WORKER_H_
