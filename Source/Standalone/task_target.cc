#include "Standalone/task_target.h"

#include <algorithm>

namespace hyssopbarrow::fleet {
namespace {

constexpr std::int64_t kFullSpeedPercent = 100;

void Hold(TaskTarget& target, const TargetOrder& order, OrderReply& reply) {
  std::erase_if(target.ends, [&](const ListedEnd& it) {
    return it.number <= order.ends_seen;
  });
  reply.ended = target.ends;
  for (const auto& [task, run] : target.runs) {
    reply.running.push_back(
        {.task = task, .run = run, .percent = kFullSpeedPercent});
  }
}

void Stop(TaskTarget& target, const TargetOrder& order) {
  std::int64_t& ended = target.ended_runs[order.task];
  ended = std::max(ended, order.run);
  auto run = target.runs.find(order.task);
  if (run == target.runs.end() || run->second > order.run) return;
  EndRun(target, order.task, run->second, EndKind::kStopped);
}

OrderResult Start(TaskTarget& target, const TargetOrder& order,
                  std::int64_t clock_ms) {
  auto run = target.runs.find(order.task);
  if (run != target.runs.end()) {
    return run->second == order.run ? OrderResult::kDone : OrderResult::kOldRun;
  }
  if (target.ended_runs[order.task] >= order.run) return OrderResult::kOldRun;
  if (order.lease_until_ms.value_or(0) < clock_ms) {
    return OrderResult::kLeaseOver;
  }
  target.runs[order.task] = order.run;
  return OrderResult::kDone;
}

}  // namespace

OrderReply Carry(TaskTarget& target, const TargetOrder& order,
                 std::int64_t clock_ms) {
  OrderReply reply{.clock_ms = clock_ms, .born = target.entry.born};
  if (order.token < target.token) {
    reply.result = OrderResult::kFenced;
    return reply;
  }
  target.token = order.token;
  if (order.lease_until_ms.has_value()) {
    target.lease_until_ms =
        std::max(target.lease_until_ms, *order.lease_until_ms);
  }
  reply.result = OrderResult::kDone;
  switch (order.kind) {
    case OrderKind::kHold:
      Hold(target, order, reply);
      break;
    case OrderKind::kStart:
      reply.result = Start(target, order, clock_ms);
      break;
    case OrderKind::kStop:
      Stop(target, order);
      break;
    case OrderKind::kPace:
      break;
  }
  return reply;
}

bool EndRun(TaskTarget& target, const TaskName& task, std::int64_t run,
            EndKind kind) {
  auto it = target.runs.find(task);
  if (it == target.runs.end() || it->second != run) return false;
  target.runs.erase(it);
  std::int64_t& ended = target.ended_runs[task];
  ended = std::max(ended, run);
  target.ends.push_back(
      {.number = target.next_end++, .task = task, .run = run, .kind = kind});
  return true;
}

bool EndLapsedRuns(TaskTarget& target, std::int64_t clock_ms) {
  if (clock_ms <= target.lease_until_ms) return false;
  while (!target.runs.empty()) {
    const auto [task, run] = *target.runs.begin();
    EndRun(target, task, run, EndKind::kLapsed);
  }
  return true;
}

}  // namespace hyssopbarrow::fleet
