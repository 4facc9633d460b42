#ifndef HYSSOPBARROW_METRICS_EXPOSITION_H_
#define HYSSOPBARROW_METRICS_EXPOSITION_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Model/time.h"

namespace hyssopbarrow {

/// Seconds on a logarithmic axis.
using LatencyHistogram = decltype(boost::histogram::make_histogram_with(
    std::vector<std::uint64_t>(),
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>()));

/// Latencies of one kind, with their sum.
struct LatencySeries {
  LatencySeries();

  LatencyHistogram seconds;
  double sum = 0;
};

void Record(LatencySeries& series, Duration latency);

/// Parts of a text in the exposition format of Prometheus, version 0.0.4.
std::string FormatNumber(double value);
void AppendHeading(std::string& out, std::string_view name,
                   std::string_view type, std::string_view help);

/// Buckets, sum and count of a series with one label.
void AppendHistogram(std::string& out, std::string_view name,
                     std::string_view label, std::string_view value,
                     const LatencySeries& series);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_METRICS_EXPOSITION_H_
