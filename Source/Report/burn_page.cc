#include <algorithm>
#include <cstdio>

#include "Model/text.h"
#include "Report/burn.h"

namespace hyssopbarrow {
namespace {

constexpr int kPlotWidth = 720;
constexpr int kPlotHeight = 120;
constexpr int kPlotBars = 144;
constexpr std::int64_t kMinutesPerBar = 10;
/// Burn rate over the last hour from which the page warns.
constexpr double kWarningBurnRate = 10.0;

constexpr std::array<std::string_view, kBurnCauses> kCauseColours = {
    "#1f77b4", "#ff7f0e", "#9467bd", "#8c564b", "#d62728", "#7f7f7f"};

constexpr std::string_view kStyle =
    "body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:"
    "60rem;padding:0 1rem;color:#222}table{border-collapse:collapse}"
    "td,th{padding:.25rem .8rem;text-align:right;border-bottom:1px solid "
    "#ddd}td:first-child,th:first-child{text-align:left}.over{color:#b00;"
    "font-weight:600}svg{background:#fafafa;border:1px solid #ddd}"
    ".key{display:inline-block;width:.8rem;height:.8rem;margin:0 .3rem 0 "
    "1rem}";

std::string FormatFixed(double value, int digits) {
  std::array<char, 48> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%.*f", digits, value);
  return {buf.data(), static_cast<std::size_t>(n)};
}

std::string Escape(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

std::string FormatCell(double rate) {
  return StrCat("<td", rate > 1 ? " class=\"over\"" : "", ">",
                FormatFixed(rate, 2), "</td>");
}

std::string FormatSummary(const BurnTable& table, std::int64_t now) {
  std::string html =
      "<table><tr><th>queue</th><th>target</th><th>start within</th>";
  for (const BurnWindow& window : kBurnWindows) {
    StrAppend(html, "<th>burn ", window.name, "</th>");
  }
  html += "<th>budget left</th><th>calls in 24h</th></tr>\n";
  for (const auto& [name, series] : table) {
    const double target = static_cast<double>(series.availability_ppm) / 1e4;
    StrAppend(html, "<tr><td>", Escape(name), "</td><td>",
              FormatFixed(target, 3), "%</td><td>", series.latency_target_ms,
              " ms</td>");
    for (const BurnWindow& window : kBurnWindows) {
      html += FormatCell(ComputeBurnRate(series, window, now).rate);
    }
    const double left = RemainingBudget(series, now);
    StrAppend(html, "<td", left < 0 ? " class=\"over\"" : "", ">",
              FormatFixed(100 * left, 1), "%</td><td>",
              ComputeBurnRate(series, kBurnWindows.back(), now).calls,
              "</td></tr>\n");
  }
  return html + "</table>\n";
}

/// Bad calls by cause from minute `first` up to and including `last`.
std::array<std::int64_t, kBurnCauses> SumBadCalls(const BurnSeries& series,
                                                  std::int64_t first,
                                                  std::int64_t last) {
  std::array<std::int64_t, kBurnCauses> sum{};
  for (const BurnMinute& minute : series.minutes) {
    if (minute.minute < first || minute.minute > last) continue;
    for (std::size_t n = 0; n < kBurnCauses; ++n) sum[n] += minute.bad[n];
  }
  return sum;
}

/// One stacked bar of the plot; `scale` is in pixels per call.
std::string FormatBar(const std::array<std::int64_t, kBurnCauses>& bad,
                      double x, double width, double scale) {
  std::string svg;
  double y = kPlotHeight;
  for (std::size_t n = 0; n < kBurnCauses; ++n) {
    if (bad[n] == 0) continue;
    const double height = static_cast<double>(bad[n]) * scale;
    y -= height;
    StrAppend(svg, "<rect x=\"", FormatFixed(x, 1), "\" y=\"",
              FormatFixed(y, 1), "\" width=\"", FormatFixed(width, 1),
              "\" height=\"", FormatFixed(height, 1), "\" fill=\"",
              kCauseColours[n], "\"/>");
  }
  return svg;
}

std::string FormatPlot(const BurnSeries& series, std::int64_t now) {
  std::vector<std::array<std::int64_t, kBurnCauses>> bars;
  std::int64_t highest = 0;
  for (int n = 0; n < kPlotBars; ++n) {
    const std::int64_t last = now - (kPlotBars - 1 - n) * kMinutesPerBar;
    bars.push_back(SumBadCalls(series, last - kMinutesPerBar + 1, last));
    std::int64_t sum = 0;
    for (const std::int64_t calls : bars.back()) sum += calls;
    highest = std::max(highest, sum);
  }
  if (highest == 0) return "<p>No call spent the budget in 24 hours.</p>\n";
  std::string svg = StrCat("<svg width=\"", kPlotWidth, "\" height=\"",
                           kPlotHeight, "\" role=\"img\">");
  const double width = static_cast<double>(kPlotWidth) / kPlotBars;
  const double scale = (kPlotHeight - 4.0) / static_cast<double>(highest);
  for (int n = 0; n < kPlotBars; ++n) {
    svg += FormatBar(bars[n], n * width, width, scale);
  }
  return StrCat(svg,
                "</svg><p>Bad calls in the last 24 hours, 10 minutes per bar; "
                "the highest bar is ",
                highest, " calls.</p>\n");
}

std::string FormatLegend(const BurnSeries& series, std::int64_t now) {
  const auto bad_calls = BadCallsByCause(series, now);
  std::string html = "<p>";
  for (std::size_t n = 0; n < kBurnCauses; ++n) {
    StrAppend(html, "<span class=\"key\" style=\"background:", kCauseColours[n],
              "\"></span>", ToString(static_cast<BurnCause>(n)), " ",
              bad_calls[n]);
  }
  return html + "</p>\n";
}

std::string FormatWarning(const BurnSeries& series, std::int64_t now) {
  const double rate = ComputeBurnRate(series, kBurnWindows[1], now).rate;
  if (rate < kWarningBurnRate) return "";
  return StrCat("<p class=\"over\">At the rate of the last hour the budget of ",
                "24 hours lasts ", FormatFixed(24 / rate, 1), " hours.</p>\n");
}

}  // namespace

std::string FormatBurnPage(const BurnTable& table, std::int64_t now) {
  std::string html =
      StrCat("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">",
             "<title>Service-level burn</title><style>", kStyle,
             "</style></head><body><h1>Service-level burn</h1>\n",
             "<p>A burn rate of 1 uses up the error budget exactly.</p>\n",
             FormatSummary(table, now));
  for (const auto& [name, series] : table) {
    StrAppend(html, "<h2>", Escape(name), "</h2>\n", FormatWarning(series, now),
              FormatPlot(series, now), FormatLegend(series, now));
  }
  return html + "</body></html>\n";
}

}  // namespace hyssopbarrow
