#include "Policy/demand_trend.h"

#include <algorithm>

namespace hyssopbarrow::fleet {
namespace {

/// Long enough for jobs of a second to even out, and short against turns of
/// demand, which last some seconds.
constexpr Duration kTrendWindow = std::chrono::milliseconds(1000);
/// Of the demand, in a second: how much it varies without a trend.
constexpr double kVariation = 0.3;
/// The same in hosts, for pools with little demand.
constexpr double kMinVariation = 4;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void RecordDemand(DemandTrend& trend, double hosts, Instant now) {
  trend.samples.emplace_back(now, hosts);
  while (trend.samples.front().first < now - kTrendWindow) {
    trend.samples.pop_front();
  }
}

double ExpectedRise(const DemandTrend& trend, Duration lead) {
  if (trend.samples.size() < 2) return 0;
  const auto& [begin, first] = trend.samples.front();
  const auto& [end, last] = trend.samples.back();
  const double seconds = Seconds(end - begin);
  if (seconds <= 0) return 0;
  // Less than the whole window has been seen of a pool that is new to the
  // owner; a rise in it counts for no more.
  const double rise = last - first;
  const double variation =
      std::max(kMinVariation, kVariation * last) * std::max(seconds, 1.0);
  if (rise <= variation) return 0;
  return rise / std::max(seconds, Seconds(kTrendWindow)) * Seconds(lead);
}

}  // namespace hyssopbarrow::fleet
