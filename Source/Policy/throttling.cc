#include "Policy/throttling.h"

#include <algorithm>
#include <vector>

#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

/// Figures of targets cover the last half second; a change of pace takes a
/// tenth of one to show.
constexpr Duration kThrottleInterval = std::chrono::milliseconds(500);
/// Between two looks at all targets; a fifth of the gap between two changes.
constexpr Duration kThrottleCheckInterval = std::chrono::milliseconds(100);
/// Parts of the bound above which filling tasks slow down, and below which
/// they may do more.
constexpr double kSlowDownTailRatio = 0.85;
constexpr double kSpeedUpTailRatio = 0.6;
constexpr std::int64_t kFullSpeedPercent = 100;  ///< Percent.
constexpr std::int64_t kMinSpeedPercent = 10;
constexpr std::int64_t kSpeedUpStepPercent = 15;

/// Step of a run; null if its job is not known.
const Step* FindStep(const Owner& owner, const TaskName& name) {
  auto job = owner.jobs.find(name.job);
  return job == owner.jobs.end() ? nullptr : &StepOf(job->second, name.step);
}

/// Worst tail of the serving tasks on a target, as a part of its bound.
double WorstTailRatio(const Owner& owner, const TargetView& target) {
  double worst = 0;
  for (const auto& [name, run] : target.runs) {
    const Step* step = FindStep(owner, name);
    if (step == nullptr || step->tail_latency_target_ms <= 0) continue;
    if (run.phase != RunPhase::kRunning) continue;
    worst =
        std::max(worst, static_cast<double>(run.load) /
                            static_cast<double>(step->tail_latency_target_ms));
  }
  return worst;
}

std::int64_t NextSpeedPercent(std::int64_t pace, double worst) {
  if (worst > 1) return 0;
  if (worst > kSlowDownTailRatio)
    return pace / 2 < kMinSpeedPercent ? 0 : pace / 2;
  if (worst < kSpeedUpTailRatio)
    return std::min(kFullSpeedPercent, pace + kSpeedUpStepPercent);
  return pace;
}

}  // namespace

void AdvanceThrottling(Owner& owner, Context& context) {
  if (owner.next_throttle_check > context.time.now) return;
  owner.next_throttle_check = context.time.now + kThrottleCheckInterval;
  for (auto& [id, target] : owner.targets) {
    if (target.next_throttle > context.time.now || target.unanswered_polls > 0)
      continue;
    std::vector<TaskName> fillers;
    for (const auto& [name, run] : target.runs) {
      const Step* step = FindStep(owner, name);
      const bool fills = step != nullptr && step->background &&
                         run.phase == RunPhase::kRunning;
      if (fills) fillers.push_back(name);
    }
    if (fillers.empty()) continue;
    target.next_throttle = context.time.now + kThrottleInterval;
    // A waiting hold brings no figures.
    if (target.pending_poll == 0) target.next_poll = context.time.now;
    const double worst = WorstTailRatio(owner, target);
    for (const TaskName& name : fillers) {
      Run& run = target.runs.at(name);
      const std::int64_t pace =
          NextSpeedPercent(run.requested_speed_percent, worst);
      if (pace == run.requested_speed_percent) continue;
      Log(context, Severity::kInfo, "pace_ordered",
          {{"task", ToString(name)},
           {"target", id},
           {"percent", std::to_string(pace)},
           {"tail_percent", std::to_string(static_cast<int>(100 * worst))}});
      run.requested_speed_percent = pace;
      TargetRequest order{.kind = TargetRequestKind::kThrottle};
      order.task = name;
      order.run = run.number;
      order.speed_percent = pace;
      SendTargetRequest(owner, target, std::move(order), false, context);
    }
  }
}

}  // namespace hyssopbarrow::fleet
