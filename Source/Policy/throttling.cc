#include "Policy/throttling.h"

#include <algorithm>
#include <vector>

#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

/// Between speed changes. The load that targets report covers the last 500 ms,
/// and a speed change takes a tenth of a second to show.
constexpr Duration kThrottleInterval = std::chrono::milliseconds(500);
/// Between checks of all targets for due speed changes. Delays a change by at
/// most a fifth of kThrottleInterval.
constexpr Duration kThrottleCheckInterval = std::chrono::milliseconds(100);
/// Ratios of tail latency to its target above which background tasks slow down,
/// and below which they speed up.
constexpr double kSlowDownTailRatio = 0.85;
constexpr double kSpeedUpTailRatio = 0.6;
constexpr std::int64_t kFullSpeedPercent = 100;
/// Tasks that would get less are slowed down to 0 instead.
constexpr std::int64_t kMinSpeedPercent = 10;
constexpr std::int64_t kSpeedUpStepPercent = 15;

/// Highest ratio of tail latency to its target among the serving tasks of a
/// target.
double WorstTailRatio(const TargetView& target) {
  double worst_ratio = 0;
  for (const auto& [name, run] : target.runs) {
    if (run.tail_latency_target_ms <= 0) continue;
    if (run.phase != RunPhase::kRunning) continue;
    worst_ratio = std::max(worst_ratio,
                           static_cast<double>(run.load) /
                               static_cast<double>(run.tail_latency_target_ms));
  }
  return worst_ratio;
}

/// Speed for a background task whose last requested speed is `speed_percent`;
/// 0 means that it does not progress.
std::int64_t NextSpeedPercent(std::int64_t speed_percent, double worst_ratio) {
  if (worst_ratio > 1) return 0;
  if (worst_ratio > kSlowDownTailRatio) {
    return speed_percent / 2 < kMinSpeedPercent ? 0 : speed_percent / 2;
  }
  if (worst_ratio < kSpeedUpTailRatio) {
    return std::min(kFullSpeedPercent, speed_percent + kSpeedUpStepPercent);
  }
  return speed_percent;
}

}  // namespace

void AdvanceThrottling(Owner& owner, Context& context) {
  if (owner.next_throttle_check > context.time.now) return;
  owner.next_throttle_check = context.time.now + kThrottleCheckInterval;
  for (auto& [id, target] : owner.targets) {
    if (target.background_runs == 0 ||
        target.next_throttle > context.time.now ||
        target.unanswered_polls > 0) {
      continue;
    }
    std::vector<TaskName> background_tasks;
    for (const auto& [name, run] : target.runs) {
      const bool is_active = run.background && run.phase == RunPhase::kRunning;
      if (is_active) background_tasks.push_back(name);
    }
    if (background_tasks.empty()) continue;
    target.next_throttle = context.time.now + kThrottleInterval;
    // A waiting poll reports no load, so poll at once unless one is pending.
    if (target.pending_poll == 0) target.next_poll = context.time.now;
    AddToNextRound(owner, target);
    const double worst_ratio = WorstTailRatio(target);
    for (const TaskName& name : background_tasks) {
      Run& run = target.runs.at(name);
      const std::int64_t speed_percent =
          NextSpeedPercent(run.requested_speed_percent, worst_ratio);
      if (speed_percent == run.requested_speed_percent) continue;
      Log(context, Severity::kInfo, "throttle_requested",
          {{"task", ToString(name)},
           {"target", id},
           {"percent", std::to_string(speed_percent)},
           {"tail_percent",
            std::to_string(static_cast<int>(100 * worst_ratio))}});
      run.requested_speed_percent = speed_percent;
      TargetRequest request{.kind = TargetRequestKind::kThrottle};
      request.task = name;
      request.run = run.number;
      request.speed_percent = speed_percent;
      SendTargetRequest(owner, target, std::move(request), false, context);
    }
  }
}

}  // namespace hyssopbarrow::fleet
