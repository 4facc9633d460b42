#include "Standalone/task_target.h"

#include <algorithm>

namespace hyssopbarrow::fleet {
namespace {

constexpr std::int64_t kFullSpeedPercent = 100;

void Hold(TaskTarget& target, const TargetRequest& order, TargetReply& reply) {
  std::erase_if(target.ends, [&](const RunEnd& it) {
    return it.number <= order.last_end_stored;
  });
  reply.ends = target.ends;
  for (const auto& [task, run] : target.runs) {
    reply.runs.push_back(
        {.task = task, .run = run, .speed_percent = kFullSpeedPercent});
  }
}

void Stop(TaskTarget& target, const TargetRequest& order) {
  std::int64_t& ended = target.ended_runs[order.task];
  ended = std::max(ended, order.run);
  auto run = target.runs.find(order.task);
  if (run == target.runs.end() || run->second > order.run) return;
  EndRun(target, order.task, run->second, RunEndKind::kStopped);
}

TargetResult Start(TaskTarget& target, const TargetRequest& order,
                   std::int64_t clock_ms) {
  auto run = target.runs.find(order.task);
  if (run != target.runs.end()) {
    return run->second == order.run ? TargetResult::kDone
                                    : TargetResult::kOldRun;
  }
  if (target.ended_runs[order.task] >= order.run) return TargetResult::kOldRun;
  if (order.lease_until_ms.value_or(0) < clock_ms) {
    return TargetResult::kLeaseExpired;
  }
  target.runs[order.task] = order.run;
  return TargetResult::kDone;
}

}  // namespace

TargetReply HandleTargetRequest(TaskTarget& target, const TargetRequest& order,
                                std::int64_t clock_ms) {
  TargetReply reply{.clock_ms = clock_ms,
                    .started_unix_ms = target.entry.started_unix_ms};
  if (order.fencing_token < target.fencing_token) {
    reply.result = TargetResult::kFenced;
    return reply;
  }
  target.fencing_token = order.fencing_token;
  if (order.lease_until_ms.has_value()) {
    target.lease_until_ms =
        std::max(target.lease_until_ms, *order.lease_until_ms);
  }
  reply.result = TargetResult::kDone;
  switch (order.kind) {
    case TargetRequestKind::kPoll:
      Hold(target, order, reply);
      break;
    case TargetRequestKind::kStart:
      reply.result = Start(target, order, clock_ms);
      break;
    case TargetRequestKind::kStop:
      Stop(target, order);
      break;
    case TargetRequestKind::kThrottle:
      break;
  }
  return reply;
}

bool EndRun(TaskTarget& target, const TaskName& task, std::int64_t run,
            RunEndKind kind) {
  auto it = target.runs.find(task);
  if (it == target.runs.end() || it->second != run) return false;
  target.runs.erase(it);
  std::int64_t& ended = target.ended_runs[task];
  ended = std::max(ended, run);
  target.ends.push_back({.number = target.next_end_number++,
                         .task = task,
                         .run = run,
                         .kind = kind});
  return true;
}

bool EndRunsIfLeaseExpired(TaskTarget& target, std::int64_t clock_ms) {
  if (clock_ms <= target.lease_until_ms) return false;
  while (!target.runs.empty()) {
    const auto [task, run] = *target.runs.begin();
    EndRun(target, task, run, RunEndKind::kLeaseExpired);
  }
  return true;
}

}  // namespace hyssopbarrow::fleet
