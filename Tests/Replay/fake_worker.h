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

/// Ways in which a target serves.
enum class WorkerMode {
  kAnswers,
  kFailsFast,    ///< Answers everything with an error of its own at once.
  kHangs,        ///< Takes requests and never answers.
  kSlow,         ///< Takes ten times as long.
  kUnreachable,  ///< Refuses connections.
};

/// A target: runs what it is sent until done, cancelled or out of time.
struct FakeWorker {
  Endpoint endpoint;
  std::int64_t slots = 8;
  std::int64_t running = 0;
  WorkerMode mode = WorkerMode::kAnswers;
};

/// What a gateway asks of a target.
struct WorkerTask {
  std::int64_t run = 0;  ///< Unique in the replay.
  std::size_t submission = 0;
  Duration service_time{};
  Instant deadline;  ///< In virtual time.
};

/// All targets of the fleet.
class FakeWorkers {
 public:
  using Reply = std::function<void(SlotResult)>;

  FakeWorkers(Schedule& schedule, Checker& checker)
      : schedule_(schedule), checker_(checker) {}

  void Add(const std::string& name, const std::string& data_centre,
           std::int64_t slots);

  /// Sets the mode of all workers whose name begins with `prefix`.
  void SetMode(const std::string& prefix, WorkerMode mode);

  const FakeWorker* Find(const std::string& name) const;

  /// Begins a run now. `reply` is called when the worker answers.
  void StartRun(const std::string& worker, const WorkerTask& task,
                const Reply& reply);

  /// The connection of a run was closed; the worker stops it.
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
