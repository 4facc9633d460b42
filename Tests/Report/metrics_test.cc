#include <catch2/catch.hpp>

#include "Metrics/call_metrics.h"

namespace hyssopbarrow {
namespace {

TEST_CASE("Metrics count calls by queue, outcome and reason") {
  CallMetrics metrics;
  const CallRecord answered{.queue = "book",
                            .outcome = Outcome::kAnswered,
                            .start_latency = std::chrono::milliseconds(2),
                            .total_latency = std::chrono::milliseconds(50)};
  RecordCall(metrics, answered);
  RecordCall(metrics, answered);
  RecordCall(metrics, {.queue = "book", .reason = Reason::kCeiling});
  const std::string text =
      FormatMetrics(metrics, {{"calls_open", "Calls in progress.", 3}});
  const auto check_contains = [&](const std::string& line) {
    INFO(line);
    CHECK(text.find(line) != std::string::npos);
  };
  check_contains(
      "hyssopbarrow_calls_total{queue=\"book\",outcome=\"answered\","
      "reason=\"none\"} 2\n");
  check_contains(
      "hyssopbarrow_calls_total{queue=\"book\",outcome=\"not-run\","
      "reason=\"ceiling\"} 1\n");
  check_contains("hyssopbarrow_start_seconds_count{queue=\"book\"} 2\n");
  check_contains("hyssopbarrow_total_seconds_count{queue=\"book\"} 3\n");
  check_contains(
      "hyssopbarrow_total_seconds_bucket{queue=\"book\",le=\"+Inf\"} 3\n");
  check_contains("hyssopbarrow_total_seconds_sum{queue=\"book\"} 0.1\n");
  check_contains(
      "# TYPE hyssopbarrow_calls_open gauge\nhyssopbarrow_calls_open 3\n");
}

}  // namespace
}  // namespace hyssopbarrow
