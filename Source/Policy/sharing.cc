#include "Policy/sharing.h"

#include <algorithm>
#include <vector>

#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

/// Figures of targets cover the last half second; a change of pace takes a
/// tenth of one to show.
constexpr Duration kGap = std::chrono::milliseconds(500);
/// Between two looks at all targets; a fifth of the gap between two changes.
constexpr Duration kLookGap = std::chrono::milliseconds(100);
/// Parts of the bound above which filling tasks slow down, and below which
/// they may do more.
constexpr double kSlowAbove = 0.85;
constexpr double kMoreBelow = 0.6;
constexpr std::int64_t kFullPace = 100;  ///< Percent.
constexpr std::int64_t kLowestPace = 10;
constexpr std::int64_t kMore = 15;

/// Step of a run; null if its job is not known.
const Step* FindStep(const Owner& owner, const TaskName& name) {
  auto job = owner.jobs.find(name.job);
  return job == owner.jobs.end() ? nullptr : &StepOf(job->second, name.step);
}

/// Worst tail of the serving tasks on a target, as a part of its bound.
double WorstTail(const Owner& owner, const TargetView& target) {
  double worst = 0;
  for (const auto& [name, run] : target.runs) {
    const Step* step = FindStep(owner, name);
    if (step == nullptr || step->tail_target_ms <= 0) continue;
    if (run.phase != RunPhase::kRunning) continue;
    worst = std::max(worst, static_cast<double>(run.load) /
                                static_cast<double>(step->tail_target_ms));
  }
  return worst;
}

std::int64_t NextPace(std::int64_t pace, double worst) {
  if (worst > 1) return 0;
  if (worst > kSlowAbove) return pace / 2 < kLowestPace ? 0 : pace / 2;
  if (worst < kMoreBelow) return std::min(kFullPace, pace + kMore);
  return pace;
}

}  // namespace

void AdvanceSharing(Owner& owner, Context& context) {
  if (owner.next_sharing > context.at.now) return;
  owner.next_sharing = context.at.now + kLookGap;
  for (auto& [id, target] : owner.targets) {
    if (target.next_pace > context.at.now || target.missed > 0) continue;
    std::vector<TaskName> fillers;
    for (const auto& [name, run] : target.runs) {
      const Step* step = FindStep(owner, name);
      const bool fills =
          step != nullptr && step->fills && run.phase == RunPhase::kRunning;
      if (fills) fillers.push_back(name);
    }
    if (fillers.empty()) continue;
    target.next_pace = context.at.now + kGap;
    // A waiting hold brings no figures.
    if (target.open_hold == 0) target.next_hold = context.at.now;
    const double worst = WorstTail(owner, target);
    for (const TaskName& name : fillers) {
      Run& run = target.runs.at(name);
      const std::int64_t pace = NextPace(run.pace, worst);
      if (pace == run.pace) continue;
      Note(context, Severity::kInfo, "pace_ordered",
           {{"task", ToString(name)},
            {"target", id},
            {"percent", std::to_string(pace)},
            {"tail_percent", std::to_string(static_cast<int>(100 * worst))}});
      run.pace = pace;
      TargetOrder order{.kind = OrderKind::kPace};
      order.task = name;
      order.run = run.number;
      order.percent = pace;
      SendOrder(owner, target, std::move(order), false, context);
    }
  }
}

}  // namespace hyssopbarrow::fleet
