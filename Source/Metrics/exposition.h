#ifndef HYSSOPBARROW_METRICS_EXPOSITION_H_
#define HYSSOPBARROW_METRICS_EXPOSITION_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Model/time.h"

namespace hyssopbarrow {

/// Histogram of seconds with logarithmic buckets.
using LatencyHistogram = decltype(boost::histogram::make_histogram_with(
    std::vector<std::uint64_t>(),
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>()));

/// Latency histogram and the sum of its values.
struct LatencySeries {
  LatencySeries();

  LatencyHistogram seconds;
  double sum = 0;
};

/// Adds one latency to the series.
void Record(LatencySeries& series, Duration latency);

/// Formats a sample value of the Prometheus text format, version 0.0.4.
std::string FormatNumber(double value);

/// Appends the HELP and TYPE lines of a metric.
void AppendHeading(std::string& out, std::string_view name,
                   std::string_view type, std::string_view help);

/// Appends buckets, sum and count of a series with one label.
void AppendHistogram(std::string& out, std::string_view name,
                     std::string_view label, std::string_view value,
                     const LatencySeries& series);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_METRICS_EXPOSITION_H_
