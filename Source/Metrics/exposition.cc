#include "Metrics/exposition.h"

#include <array>
#include <cstdio>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

namespace bh = boost::histogram;

constexpr unsigned kLatencyBuckets = 32;
constexpr double kLowestSeconds = 0.0001;
constexpr double kHighestSeconds = 1000.0;

}  // namespace

LatencySeries::LatencySeries()
    : seconds(bh::make_histogram_with(
          std::vector<std::uint64_t>(),
          bh::axis::regular<double, bh::axis::transform::log>(
              kLatencyBuckets, kLowestSeconds, kHighestSeconds))) {}

void Record(LatencySeries& series, Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  series.seconds(seconds);
  series.sum += seconds;
}

std::string FormatNumber(double value) {
  std::array<char, 32> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%.9g", value);
  return {buf.data(), static_cast<std::size_t>(n)};
}

void AppendHeading(std::string& out, std::string_view name,
                   std::string_view type, std::string_view help) {
  StrAppend(out, "# HELP hyssopbarrow_", name, " ", help, "\n");
  StrAppend(out, "# TYPE hyssopbarrow_", name, " ", type, "\n");
}

void AppendHistogram(std::string& out, std::string_view name,
                     std::string_view label, std::string_view value,
                     const LatencySeries& series) {
  const std::string labels = StrCat("{", label, "=\"", value, "\"");
  std::uint64_t count = series.seconds.at(-1);
  for (int n = 0; n < static_cast<int>(kLatencyBuckets); ++n) {
    count += series.seconds.at(n);
    const double upper = series.seconds.axis().bin(n).upper();
    StrAppend(out, "hyssopbarrow_", name, "_bucket", labels, ",le=\"",
              FormatNumber(upper), "\"} ", count, "\n");
  }
  count += series.seconds.at(static_cast<int>(kLatencyBuckets));
  StrAppend(out, "hyssopbarrow_", name, "_bucket", labels, ",le=\"+Inf\"} ",
            count, "\n");
  StrAppend(out, "hyssopbarrow_", name, "_sum", labels, "} ",
            FormatNumber(series.sum), "\n");
  StrAppend(out, "hyssopbarrow_", name, "_count", labels, "} ", count, "\n");
}

}  // namespace hyssopbarrow
