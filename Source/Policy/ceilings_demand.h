#ifndef HYSSOPBARROW_POLICY_CEILINGS_DEMAND_H_
#define HYSSOPBARROW_POLICY_CEILINGS_DEMAND_H_

#include <cstdint>
#include <string>

#include "Model/time.h"
#include "Policy/ceilings_ledger.h"

namespace hyssopbarrow {

/// Highest demand of the current and the previous time window.
struct DemandPeak {
  std::int64_t current = 0;
  std::int64_t previous = 0;
  Instant window_end;

  friend bool operator==(const DemandPeak&, const DemandPeak&) = default;
};

/// Adds an observation and returns the highest demand of both windows.
std::int64_t ObserveDemand(DemandPeak& peak, std::int64_t demand, Instant now);

/// A holder's use of and demand for one team's rights.
struct TeamDemand {
  std::int64_t in_use = 0;
  std::int64_t demand = 0;   ///< In use and waiting now.
  std::int64_t peak = 0;     ///< Recent peak of `demand`.
  std::int64_t held = 0;     ///< Rights in this holder's row.
  std::int64_t holders = 1;  ///< Number of live holders.
};

/// Planned rights of one team at one holder.
struct TeamPlan {
  std::int64_t held = 0;       ///< Rights to hold after the next transaction.
  std::int64_t shortfall = 0;  ///< Demand beyond `held`, up to the ceiling.
  std::int64_t limit = 0;      ///< Maximum of rights in use from now on.

  friend bool operator==(const TeamPlan&, const TeamPlan&) = default;
};

/// Plans how many rights of a team `holder` should hold. With `stopping`, all
/// that are not in use are released.
TeamPlan PlanRights(const TeamDemand& demand, const TeamLedger& ledger,
                    const std::string& holder, bool stopping);

/// Returns how many of its `held` rights a holder may use while more are held
/// than a lowered ceiling allows. The limits of all holders add up to at most
/// the ceiling. Without such an excess, returns the ceiling.
std::int64_t ProRataLimit(std::int64_t held, const TeamLedger& ledger);

/// Splits `total` rights into floor and floating rights.
Rights SplitRights(std::int64_t total);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CEILINGS_DEMAND_H_
