#ifndef HYSSOPBARROW_POLICY_CEILINGS_DEMAND_H_
#define HYSSOPBARROW_POLICY_CEILINGS_DEMAND_H_

#include <cstdint>
#include <string>

#include "Model/time.h"
#include "Policy/ceilings_ledger.h"

namespace hyssopbarrow {

/// Highest demand of the present and the previous window.
struct DemandPeak {
  std::int64_t current = 0;
  std::int64_t previous = 0;
  Instant window_end;

  friend bool operator==(const DemandPeak&, const DemandPeak&) = default;
};

/// Adds an observation and returns the peak over both windows.
std::int64_t ObserveDemand(DemandPeak& peak, std::int64_t demand, Instant now);

/// What decides how many rights of a team a holder should have.
struct TeamDemand {
  std::int64_t in_use = 0;
  std::int64_t demand = 0;   ///< In use and waiting now.
  std::int64_t peak = 0;     ///< Recent peak of `demand`.
  std::int64_t held = 0;     ///< Rights in this holder's row.
  std::int64_t holders = 1;  ///< Holders that are alive.
};

/// What a holder should do about its rights of one team.
struct TeamPlan {
  std::int64_t held = 0;  ///< Rights to have after the next transaction.
  std::int64_t shortfall =
      0;                   ///< Rights lacking that the ledger cannot give now.
  std::int64_t limit = 0;  ///< Most rights to have in use from now on.

  friend bool operator==(const TeamPlan&, const TeamPlan&) = default;
};

/// Decides how many rights `holder` should have of a team. `stopping` gives
/// back all that are not in use.
TeamPlan PlanRights(const TeamDemand& demand, const TeamLedger& ledger,
                    const std::string& holder, bool stopping);

/// Most rights that a holder of `held` may use while more are held than a
/// lowered ceiling allows; the limits of all holders add up to the ceiling.
std::int64_t ProRataLimit(std::int64_t held, const TeamLedger& ledger);

/// Parts `total` rights into floor and floating ones.
Rights SplitRights(std::int64_t total);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CEILINGS_DEMAND_H_
