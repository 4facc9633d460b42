#include "Policy/ratio_distribution.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "Model/json.h"

namespace hyssopbarrow::fleet {
namespace {

namespace bh = boost::histogram;

using nlohmann::json;

/// Ratios from 1/55 to 55 in steps of a sixth. Longer tails than the sevenfold
/// ones that callers have are counted at the end.
constexpr unsigned kRatioBins = 48;
constexpr double kMaxLogRatio = 4;
/// Weights are stored as multiples of a thousandth.
constexpr std::int64_t kWeightUnits = 1000;

RatioHistogram MakeHistogram() {
  return bh::make_histogram_with(
      std::vector<double>(),
      bh::axis::regular<>(kRatioBins, -kMaxLogRatio, kMaxLogRatio));
}

/// Logarithm of the ratio of a bin; values beyond the last bin count there.
double LogRatioOf(int bin) {
  constexpr double kBinWidth = 2 * kMaxLogRatio / kRatioBins;
  return -kMaxLogRatio + (bin + 0.5) * kBinWidth;
}

/// Ratios of all bins.
const std::array<double, kRatioBins>& BinRatios() {
  static const std::array<double, kRatioBins> kRatios = [] {
    std::array<double, kRatioBins> ratios{};
    for (std::size_t n = 0; n < ratios.size(); ++n) {
      ratios.at(n) = std::exp(LogRatioOf(static_cast<int>(n)));
    }
    return ratios;
  }();
  return kRatios;
}

/// Calls `action(log_ratio, ratio, weight)` for each bin from the lowest on.
template <typename Action>
void ForEachBin(const RatioDistribution& distribution, const Action& action) {
  for (int n = 0; n < static_cast<int>(kRatioBins); ++n) {
    action(LogRatioOf(n), BinRatios().at(static_cast<std::size_t>(n)),
           distribution.weights.at(n));
  }
}

void UpdateRatios(RatioDistribution& distribution) {
  distribution.mean_ratio = MeanAbove(distribution, kAnyRatio);
  distribution.high_ratio = QuantileAbove(distribution, kAnyRatio, kHighShare);
}

}  // namespace

RatioDistribution::RatioDistribution() : weights(MakeHistogram()) {}

double QuantileAbove(const RatioDistribution& distribution, double from,
                     double share) {
  double total = 0;
  ForEachBin(distribution, [&](double log_ratio, double, double weight) {
    if (log_ratio > from) total += weight;
  });
  double below = 0;
  double quantile = 1;
  bool found = false;
  ForEachBin(distribution, [&](double log_ratio, double ratio, double weight) {
    if (found || log_ratio <= from || weight <= 0) return;
    below += weight;
    quantile = ratio;
    found = below >= share * total;
  });
  return quantile;
}

double MeanAbove(const RatioDistribution& distribution, double from) {
  double total = 0;
  double sum = 0;
  ForEachBin(distribution, [&](double log_ratio, double ratio, double weight) {
    if (log_ratio <= from) return;
    total += weight;
    sum += weight * ratio;
  });
  return total > 0 ? sum / total : 0;
}

RatioDistribution PriorDistribution(double variance) {
  RatioDistribution distribution;
  distribution.variance = variance;
  for (int n = 0; n < static_cast<int>(kRatioBins); ++n) {
    const double log_ratio = LogRatioOf(n);
    distribution.weights.at(n) =
        std::exp(-log_ratio * log_ratio / (2 * variance));
  }
  distribution.weights /= bh::algorithm::sum(distribution.weights);
  UpdateRatios(distribution);
  return distribution;
}

void AddRatio(RatioDistribution& distribution, double log_ratio, double share) {
  const double inside =
      std::clamp(log_ratio, LogRatioOf(0), LogRatioOf(kRatioBins - 1));
  distribution.weights *= 1 - share;
  distribution.weights(inside, bh::weight(share));
  distribution.variance +=
      share * (log_ratio * log_ratio - distribution.variance);
  UpdateRatios(distribution);
}

json RatiosToJson(const RatioDistribution& distribution) {
  json list = json::array();
  int first = 0;
  int n = 0;
  ForEachBin(distribution, [&](double, double, double weight) {
    const auto thousandths = std::llround(weight * kWeightUnits);
    if (list.empty() && thousandths > 0) first = n;
    if (!list.empty() || thousandths > 0) list.push_back(thousandths);
    ++n;
  });
  while (!list.empty() && list.back() == 0) list.erase(list.size() - 1);
  list.insert(list.begin(), first);
  return list;
}

bool ReadRatios(const json& list, RatioDistribution& distribution) {
  if (!list.is_array() || list.size() < 2 || list.size() > kRatioBins + 1) {
    return false;
  }
  std::vector<std::int64_t> values;
  for (const json& item : list) {
    const std::optional<std::int64_t> value = AsInteger(item);
    const bool valid =
        value.has_value() && *value >= 0 && *value <= 2 * kWeightUnits;
    if (!valid) return false;
    values.push_back(*value);
  }
  const std::int64_t first = values.front();
  if (first + static_cast<std::int64_t>(values.size()) - 1 > kRatioBins) {
    return false;
  }
  distribution.weights.reset();
  for (std::size_t n = 1; n < values.size(); ++n) {
    const double log_ratio = LogRatioOf(static_cast<int>(first + n - 1));
    distribution.weights(
        log_ratio, bh::weight(static_cast<double>(values[n]) / kWeightUnits));
  }
  const double sum = bh::algorithm::sum(distribution.weights);
  if (sum <= 0) return false;
  distribution.weights /= sum;
  UpdateRatios(distribution);
  return true;
}

}  // namespace hyssopbarrow::fleet
