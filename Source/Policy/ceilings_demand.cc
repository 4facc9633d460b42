#include "Policy/ceilings_demand.h"

#include <algorithm>

namespace hyssopbarrow {
namespace {

/// Length of a window of DemandPeak.
constexpr Duration kDemandWindow = std::chrono::milliseconds(150);

/// Beyond its peak demand, a holder keeps the peak divided by this as a
/// reserve.
constexpr std::int64_t kPeakSlackDivisor = 8;

/// Fewer rights than the ceiling divided by this are not released, unless other
/// holders lack rights or more are held than the ceiling allows.
constexpr std::int64_t kMinReleaseDivisor = 32;

/// One of several holders keeps, without demand, its even share of the ceiling
/// divided by this.
constexpr std::int64_t kIdleRightsDivisor = 2;

/// Part of a holder's rights that is floating.
constexpr std::int64_t kFloatingPercent = 15;
constexpr std::int64_t kPercent = 100;

/// Shortfalls of one team at all other holders.
struct OtherShortfalls {
  std::int64_t sum = 0;
  std::int64_t count = 0;
};

OtherShortfalls ShortfallsOfOthers(const TeamLedger& ledger,
                                   const std::string& holder) {
  OtherShortfalls others;
  for (const auto& [name, n] : ledger.shortfalls) {
    if (name == holder) continue;
    others.sum += n;
    ++others.count;
  }
  return others;
}

/// Returns the rights that a holder without demand keeps.
std::int64_t IdleRights(const TeamDemand& demand, const TeamLedger& ledger) {
  if (demand.holders <= 1) return ledger.ceiling;
  return ledger.ceiling / (demand.holders * kIdleRightsDivisor);
}

/// Returns the most rights that the holder may keep. Lower than the ceiling
/// while other holders lack rights or more rights are held than the ceiling
/// allows.
std::int64_t MaxRights(const TeamDemand& demand, const TeamLedger& ledger,
                       const OtherShortfalls& others) {
  std::int64_t limit = ledger.ceiling;
  if (others.sum > 0 && ledger.free <= 0) {
    const std::int64_t even_share =
        (ledger.ceiling + others.count) / (others.count + 1);
    limit = std::max(even_share, demand.held - others.sum);
  }
  return std::min(limit, ProRataLimit(demand.held, ledger));
}

/// Returns the rights that the holder should have, regardless of how many are
/// free.
std::int64_t DesiredRights(const TeamDemand& demand, const TeamLedger& ledger,
                           const OtherShortfalls& others, std::int64_t limit) {
  const bool scarce = ledger.free < 0 || others.sum > 0;
  const std::int64_t slack = demand.peak / kPeakSlackDivisor;
  const std::int64_t desired =
      scarce ? demand.demand
             : std::max(demand.peak + slack, IdleRights(demand, ledger));
  return std::max(demand.in_use, std::min(desired, limit));
}

/// Returns how many free rights the holder takes: up to `lacking`, and no more
/// than an even share among all holders that lack rights.
std::int64_t ShareOfFreeRights(std::int64_t lacking, const TeamLedger& ledger,
                               const OtherShortfalls& others) {
  const std::int64_t free = std::max<std::int64_t>(ledger.free, 0);
  const std::int64_t share = (free + others.count) / (others.count + 1);
  return std::min(lacking, share);
}

}  // namespace

std::int64_t ObserveDemand(DemandPeak& peak, std::int64_t demand, Instant now) {
  if (now >= peak.window_end) {
    peak.previous = peak.current;
    peak.current = 0;
    peak.window_end = now + kDemandWindow;
  }
  peak.current = std::max(peak.current, demand);
  return std::max(peak.current, peak.previous);
}

TeamPlan PlanRights(const TeamDemand& demand, const TeamLedger& ledger,
                    const std::string& holder, bool stopping) {
  if (stopping) {
    return {.held = std::min(demand.held, demand.in_use),
            .shortfall = 0,
            .limit = ledger.ceiling};
  }
  const OtherShortfalls others = ShortfallsOfOthers(ledger, holder);
  const std::int64_t limit = MaxRights(demand, ledger, others);
  const std::int64_t desired = DesiredRights(demand, ledger, others, limit);
  TeamPlan plan{.held = demand.held, .shortfall = 0, .limit = limit};
  if (desired > demand.held) {
    plan.held += ShareOfFreeRights(desired - demand.held, ledger, others);
  }
  const std::int64_t min_release =
      others.sum > 0 || ledger.free < 0
          ? 1
          : std::max<std::int64_t>(1, ledger.ceiling / kMinReleaseDivisor);
  if (demand.held - desired >= min_release) plan.held = desired;
  plan.shortfall = std::max<std::int64_t>(
      0, std::min(demand.demand, ledger.ceiling) - plan.held);
  return plan;
}

std::int64_t ProRataLimit(std::int64_t held, const TeamLedger& ledger) {
  if (ledger.free >= 0) return ledger.ceiling;
  return held * ledger.ceiling / (ledger.ceiling - ledger.free);
}

Rights SplitRights(std::int64_t total) {
  const std::int64_t floating = total * kFloatingPercent / kPercent;
  return {.floor = total - floating, .floating = floating};
}

}  // namespace hyssopbarrow
