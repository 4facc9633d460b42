#include <cinttypes>
#include <cstdio>

#include "Model/text.h"
#include "Report/burn.h"

namespace hyssopbarrow {
namespace {

constexpr int kLineBytes = 160;

template <typename... Values>
std::string Format(const char* format, Values... values) {
  std::array<char, kLineBytes> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), format, values...);
  return {buf.data(), static_cast<std::size_t>(n)};
}

std::string FormatQueue(const BurnSeries& series, std::int64_t now) {
  std::string line = Format("%-16s %9.3f%% %8" PRId64 " ms",
                            series.queue.substr(0, 16).c_str(),
                            static_cast<double>(series.availability_ppm) / 1e4,
                            series.latency_target_ms);
  for (const BurnWindow& window : kBurnWindows) {
    line += Format(" %8.2f", ComputeBurnRate(series, window, now).rate);
  }
  const BurnRate day = ComputeBurnRate(series, kBurnWindows.back(), now);
  line += Format(" %7.1f%% %9" PRId64 "\n", 100 * RemainingBudget(series, now),
                 day.calls);
  return line;
}

std::string FormatCauses(const BurnSeries& series, std::int64_t now) {
  std::string text;
  const auto bad_calls = BadCallsByCause(series, now);
  for (std::size_t n = 0; n < kBurnCauses; ++n) {
    if (bad_calls[n] == 0) continue;
    const auto name = std::string(ToString(static_cast<BurnCause>(n)));
    text += Format("  %-14s %" PRId64 "\n", name.c_str(), bad_calls[n]);
  }
  return text;
}

}  // namespace

std::string FormatBurnText(const BurnTable& table, std::int64_t now) {
  std::string text = Format("%-16s %10s %11s", "queue", "target", "start in");
  for (const BurnWindow& window : kBurnWindows) {
    const auto name = StrCat("burn ", window.name);
    text += Format(" %8s", name.c_str());
  }
  text += Format(" %8s %9s\n", "left", "calls");
  for (const auto& [name, series] : table) {
    text += FormatQueue(series, now);
    text += FormatCauses(series, now);
  }
  return text;
}

}  // namespace hyssopbarrow
