#include "Standalone/task_target.h"

#include <algorithm>

namespace hyssopbarrow::fleet {
namespace {

constexpr std::int64_t kFullSpeedPercent = 100;

void HandlePoll(TaskTarget& target, const TargetRequest& request,
                TargetReply& reply) {
  std::erase_if(target.ends, [&](const RunEnd& end) {
    return end.number <= request.last_end_stored;
  });
  reply.ends = target.ends;
  for (const auto& [task, run] : target.runs) {
    reply.runs.push_back(
        {.task = task, .run = run, .speed_percent = kFullSpeedPercent});
  }
}

void StopRun(TaskTarget& target, const TargetRequest& request) {
  std::int64_t& ended = target.ended_runs[request.task];
  ended = std::max(ended, request.run);
  auto run = target.runs.find(request.task);
  if (run == target.runs.end() || run->second > request.run) return;
  EndRun(target, request.task, run->second, RunEndKind::kStopped);
}

TargetResult StartRun(TaskTarget& target, const TargetRequest& request,
                      std::int64_t clock_ms) {
  auto run = target.runs.find(request.task);
  if (run != target.runs.end()) {
    return run->second == request.run ? TargetResult::kDone
                                      : TargetResult::kOldRun;
  }
  if (target.ended_runs[request.task] >= request.run) {
    return TargetResult::kOldRun;
  }
  if (request.lease_until_ms.value_or(0) < clock_ms) {
    return TargetResult::kLeaseExpired;
  }
  target.runs[request.task] = request.run;
  return TargetResult::kDone;
}

}  // namespace

TargetReply HandleTargetRequest(TaskTarget& target,
                                const TargetRequest& request,
                                std::int64_t clock_ms) {
  TargetReply reply{.clock_ms = clock_ms,
                    .started_unix_ms = target.entry.started_unix_ms};
  if (request.fencing_token < target.fencing_token) {
    reply.result = TargetResult::kFenced;
    return reply;
  }
  target.fencing_token = request.fencing_token;
  if (request.lease_until_ms.has_value()) {
    target.lease_until_ms =
        std::max(target.lease_until_ms, *request.lease_until_ms);
  }
  reply.result = TargetResult::kDone;
  switch (request.kind) {
    case TargetRequestKind::kPoll:
      HandlePoll(target, request, reply);
      break;
    case TargetRequestKind::kStart:
      reply.result = StartRun(target, request, clock_ms);
      break;
    case TargetRequestKind::kStop:
      StopRun(target, request);
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
