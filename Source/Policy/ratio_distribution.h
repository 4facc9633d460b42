#ifndef HYSSOPBARROW_POLICY_RATIO_DISTRIBUTION_H_
#define HYSSOPBARROW_POLICY_RATIO_DISTRIBUTION_H_

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>
#include <vector>

namespace hyssopbarrow::fleet {

/// The share of ratios that are below RatioDistribution::high_ratio.
constexpr double kHighShare = 0.9;

/// Logarithm below that of any ratio.
constexpr double kAnyRatio = -1000;

/// Weights by the logarithm of a ratio.
using RatioHistogram = decltype(boost::histogram::make_histogram_with(
    std::vector<double>(), boost::histogram::axis::regular<>()));

/// A distribution of ratios between run times. The ratios that were added last
/// count most.
struct RatioDistribution {
  RatioDistribution();

  RatioHistogram weights;  ///< Their sum is 1.
  double variance = 0;     ///< Of the logarithms, about 0.
  // Of `weights`, as of the last update.
  double mean_ratio = 1;
  double high_ratio = 1;
};

/// A distribution of the given variance, from which others begin.
RatioDistribution PriorDistribution(double variance);

/// Adds a ratio with `share` of the weight of all.
void AddRatio(RatioDistribution& distribution, double log_ratio, double share);

/// Ratio below which `share` of the weight lies that is above `from`, a
/// logarithm; 1 if there is none.
double QuantileAbove(const RatioDistribution& distribution, double from,
                     double share);

/// Mean of the ratios above `from`, a logarithm; 0 if there are none.
double MeanAbove(const RatioDistribution& distribution, double from);

/// The first bin with weight and the weights from there on, in thousandths.
nlohmann::json RatiosToJson(const RatioDistribution& distribution);

/// Sets the weights. Returns false if `list` is not what RatiosToJson returns.
bool ReadRatios(const nlohmann::json& list, RatioDistribution& distribution);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_RATIO_DISTRIBUTION_H_
