#ifndef HYSSOPBARROW_POLICY_DEMAND_TREND_H_
#define HYSSOPBARROW_POLICY_DEMAND_TREND_H_

#include <deque>
#include <utility>

#include "Model/time.h"

namespace hyssopbarrow::fleet {

/// Recent demand of a pool, in hosts. A demand that rises by turns rises faster
/// than hosts can be moved, so pools order hosts for where it will be.
struct DemandTrend {
  std::deque<std::pair<Instant, double>> samples;  ///< Oldest first.
};

/// Adds the present demand and forgets what no longer tells the trend.
void RecordDemand(DemandTrend& trend, double hosts, Instant now);

/// Returns by how many hosts the demand will have risen after `lead`, if it
/// goes on as it has lately; 0 if it falls, or rises no faster than it varies.
double ExpectedRise(const DemandTrend& trend, Duration lead);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_DEMAND_TREND_H_
