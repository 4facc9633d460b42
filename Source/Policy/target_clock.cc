#include "Policy/target_clock.h"

#include <algorithm>

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Clocks of targets may run 2% slow. The rest is a margin.
constexpr double kSlowestRate = 0.97;
constexpr double kFastestRate = 1.01;
/// For the resolution of the clocks and the scheduling of both processes.
constexpr std::int64_t kReadingToleranceMs = 100;

std::int64_t Milliseconds(Duration duration) {
  return duration_cast<milliseconds>(duration).count();
}

std::int64_t Scale(double rate, std::int64_t ms) {
  return static_cast<std::int64_t>(rate * static_cast<double>(ms));
}

}  // namespace

std::int64_t EstimateClock(const ClockReading& reading, Instant now) {
  return reading.clock_ms + Milliseconds(now - reading.received_at);
}

Instant LatestTimeBefore(const ClockReading& reading, std::int64_t clock_ms) {
  const std::int64_t left_ms =
      std::max<std::int64_t>(0, clock_ms - reading.clock_ms);
  return reading.received_at + milliseconds(Scale(1 / kSlowestRate, left_ms));
}

bool IsSameClock(const ClockReading& earlier, const ClockReading& later) {
  const std::int64_t shortest_ms =
      Milliseconds(later.sent_at - earlier.received_at);
  const std::int64_t longest_ms =
      Milliseconds(later.received_at - earlier.sent_at);
  // The replies may have overtaken each other, so that the shortest time
  // between the readings is negative.
  const std::int64_t least_ms = shortest_ms >= 0
                                    ? Scale(kSlowestRate, shortest_ms)
                                    : Scale(kFastestRate, shortest_ms);
  const std::int64_t passed_ms = later.clock_ms - earlier.clock_ms;
  return passed_ms >= least_ms - kReadingToleranceMs &&
         passed_ms <= Scale(kFastestRate, longest_ms) + kReadingToleranceMs;
}

}  // namespace hyssopbarrow::fleet
