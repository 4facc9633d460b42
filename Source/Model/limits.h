#ifndef HYSSOPBARROW_MODEL_LIMITS_H_
#define HYSSOPBARROW_MODEL_LIMITS_H_

#include <cstdint>

namespace hyssopbarrow::fleet {

/// Limits each amount of a resource and each time span in milliseconds, so that
/// sums of them do not overflow.
constexpr std::int64_t kMaxAmount = 1LL << 40;
/// Largest epoch that is counted on from. Numbers of runs grow a thousand times
/// as fast.
constexpr std::int64_t kMaxEpoch = 1LL << 40;
/// Largest number of a run or of its end.
constexpr std::int64_t kMaxNumber = 1LL << 53;
/// The end of the year 9999.
constexpr std::int64_t kMaxUnixMs = 253'402'300'799'999;

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_MODEL_LIMITS_H_
