#include "Policy/demand_trend.h"

#include <catch2/catch.hpp>

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLead = seconds(2);

/// Demand that begins at `from` hosts and grows by `per_s` for a second.
DemandTrend Grow(double from, double per_s) {
  DemandTrend trend;
  Instant now(seconds(90));
  for (int n = 0; n <= 20; ++n, now += milliseconds(100)) {
    RecordDemand(trend, from + per_s * n / 10, now);
  }
  return trend;
}

// Load: the turn of a pool begins, which asks for five times its mean at once.
// Guards against hosts that are ordered one shortage at a time, each 2 s late.
TEST_CASE("a demand that rises orders hosts for when they arrive") {
  CHECK(ExpectedRise(Grow(5, 30), kLead) == Approx(60));
}

// Guards against moves that follow the noise of a steady demand.
TEST_CASE("a demand that varies or falls orders no further hosts") {
  const double per_s = GENERATE(0.0, 3.0, -30.0);
  CAPTURE(per_s);
  CHECK(ExpectedRise(Grow(60, per_s), kLead) == 0);
  CHECK(ExpectedRise(DemandTrend{}, kLead) == 0);
}

// Guards against a new owner that takes the demand it finds for a rise.
TEST_CASE("the first look at a pool is no trend") {
  DemandTrend trend;
  RecordDemand(trend, 60, Instant(seconds(90)));
  CHECK(ExpectedRise(trend, kLead) == 0);
}

TEST_CASE("what is older than the trend is forgotten") {
  const DemandTrend trend = Grow(5, 30);
  CHECK(trend.samples.size() <= 11);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
