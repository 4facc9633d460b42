#ifndef HYSSOPBARROW_POLICY_TARGET_CLOCK_H_
#define HYSSOPBARROW_POLICY_TARGET_CLOCK_H_

#include <cstdint>

#include "Model/time.h"

namespace hyssopbarrow::fleet {

/// A target's clock as a reply showed it. The target read the clock between
/// `sent_at` and `received_at`, which are times of this host.
struct ClockReading {
  std::int64_t clock_ms = 0;
  Instant sent_at{};  ///< When the request was sent.
  Instant received_at{};

  friend bool operator==(const ClockReading&, const ClockReading&) = default;
};

/// What the clock shows at `now` if it keeps time with this host; up to 2% of
/// the age of the reading too much if the clock is slow.
std::int64_t EstimateClock(const ClockReading& reading, Instant now);

/// Latest time at which the clock can still show less than `clock_ms`.
Instant LatestTimeBefore(const ClockReading& reading, std::int64_t clock_ms);

/// True if one clock can have shown both readings. The clock of a target that
/// restarts begins anew.
bool IsSameClock(const ClockReading& earlier, const ClockReading& later);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_TARGET_CLOCK_H_
