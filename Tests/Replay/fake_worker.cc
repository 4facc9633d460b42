#include "Replay/fake_worker.h"

#include <algorithm>

namespace hyssopbarrow {
namespace {

constexpr Duration kFailureTime = std::chrono::milliseconds(1);
constexpr int kSlowFactor = 10;

}  // namespace

void FakeWorkers::Add(const std::string& name, const std::string& data_centre,
                      std::int64_t slots) {
  workers_[name] = {.endpoint = {name, data_centre}, .slots = slots};
}

void FakeWorkers::SetMode(const std::string& prefix, WorkerMode mode) {
  for (auto& [name, worker] : workers_) {
    if (!name.starts_with(prefix)) continue;
    worker.mode = mode;
    if (mode != WorkerMode::kAnswers) checker_.RecordBrokenHost(name);
  }
}

const FakeWorker* FakeWorkers::Find(const std::string& name) const {
  return hyssopbarrow::Find(workers_, name);
}

Duration FakeWorkers::ServiceTime(const FakeWorker& worker,
                                  const WorkerTask& task) const {
  if (worker.mode == WorkerMode::kFailsFast) return kFailureTime;
  if (worker.mode == WorkerMode::kHangs) return Duration::max() / 2;
  const std::int64_t load = std::max<std::int64_t>(1, worker.running);
  const std::int64_t rounds = (load + worker.slots - 1) / worker.slots;
  const int factor = worker.mode == WorkerMode::kSlow ? kSlowFactor : 1;
  return task.service_time * rounds * factor;
}

void FakeWorkers::StartRun(const std::string& name, const WorkerTask& task,
                           const Reply& reply) {
  FakeWorker& worker = workers_.at(name);
  ++worker.running;
  worker_by_run_[task.run] = name;
  checker_.RecordRunStart(task.run, {task.submission, name}, schedule_.Now());
  const Duration service = ServiceTime(worker, task);
  const bool in_time = service < task.deadline - schedule_.Now();
  const SlotResult result = worker.mode == WorkerMode::kFailsFast
                                ? SlotResult::kFailed
                                : SlotResult::kSucceeded;
  const Instant end = in_time ? schedule_.Now() + service : task.deadline;
  schedule_.At(end, [this, in_time, result, reply, run = task.run] {
    if (!worker_by_run_.contains(run)) return;
    EndRun(run);
    if (in_time) reply(result);
  });
}

void FakeWorkers::StopRun(std::int64_t run) {
  if (worker_by_run_.contains(run)) EndRun(run);
}

void FakeWorkers::EndRun(std::int64_t run) {
  --workers_.at(worker_by_run_.at(run)).running;
  worker_by_run_.erase(run);
  checker_.RecordRunEnd(run);
}

}  // namespace hyssopbarrow
