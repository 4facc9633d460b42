#include "Policy/target_clock.h"

#include <catch2/catch.hpp>

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(100)};

/// A reading of a clock with this rate that showed 5,000 at kStart. The request
/// and the reply take `latency` each.
ClockReading ReadAt(Instant time, double rate,
                    Duration latency = milliseconds(2)) {
  const double passed_ms =
      static_cast<double>((time - kStart) / milliseconds(1));
  return {.clock_ms = 5000 + static_cast<std::int64_t>(rate * passed_ms),
          .sent_at = time - latency,
          .received_at = time + latency};
}

// review/1: a lease that was counted from an old reading of a slow clock
// outlasted what the owner assumed by 1.3 s.
TEST_CASE("a lease from an old reading of a slow clock ends by its bound") {
  const auto idle = GENERATE(seconds(0), seconds(75), seconds(600));
  constexpr double kRate = 0.98;
  const ClockReading reading = ReadAt(kStart, kRate);
  const std::int64_t lease_until_ms =
      EstimateClock(reading, kStart + idle) + 4500;
  const Instant bound = LatestTimeBefore(reading, lease_until_ms);
  CHECK(ReadAt(bound, kRate).clock_ms >= lease_until_ms);
  CHECK(bound < kStart + (idle + milliseconds(4500)) * 1.04);
}

TEST_CASE("a clock at any allowed rate continues its earlier reading") {
  const double rate = GENERATE(0.98, 0.99, 1.0);
  const auto passed = GENERATE(milliseconds(0), milliseconds(30),
                               milliseconds(2500), milliseconds(75'000));
  const auto latency = GENERATE(milliseconds(1), milliseconds(700));
  CHECK(IsSameClock(ReadAt(kStart, rate),
                    ReadAt(kStart + passed, rate, latency)));
}

TEST_CASE("readings whose replies overtook each other are of one clock") {
  const ClockReading later = ReadAt(kStart + milliseconds(400), 0.98);
  ClockReading earlier = ReadAt(kStart, 0.98);
  earlier.received_at = kStart + milliseconds(900);
  CHECK(IsSameClock(later, earlier));
  CHECK(IsSameClock(earlier, later));
}

TEST_CASE("a clock that begins anew does not continue the earlier one") {
  const ClockReading before = ReadAt(kStart, 1.0);
  ClockReading after = ReadAt(kStart + seconds(2), 1.0);
  SECTION("it shows less") { after.clock_ms = before.clock_ms + 100; }
  SECTION("it shows more") { after.clock_ms += 5000; }
  CHECK_FALSE(IsSameClock(before, after));
}

}  // namespace
}  // namespace hyssopbarrow::fleet
