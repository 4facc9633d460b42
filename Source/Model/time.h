#ifndef HYSSOPBARROW_MODEL_TIME_H_
#define HYSSOPBARROW_MODEL_TIME_H_

#include <chrono>

namespace hyssopbarrow {

/// Time span, for computing deadlines. State stores deadlines, not spans.
using Duration = std::chrono::microseconds;

/// Time on the steady clock of one host; not comparable between hosts.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Returns the time left until `deadline`; zero after it has passed.
constexpr Duration Remaining(Instant deadline, Instant now) {
  return deadline > now ? deadline - now : Duration::zero();
}

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_MODEL_TIME_H_
