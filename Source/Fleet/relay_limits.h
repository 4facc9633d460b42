#ifndef HYSSOPBARROW_FLEET_RELAY_LIMITS_H_
#define HYSSOPBARROW_FLEET_RELAY_LIMITS_H_

#include <cstddef>

#include "Model/time.h"

namespace hyssopbarrow::fleet {

/// How long requests and replies wait for others, to share a message.
constexpr Duration kRelayBatchDelay = std::chrono::milliseconds(6);
/// Longest time without a message on a connection in either direction.
constexpr Duration kRelayHeartbeat = std::chrono::milliseconds(300);
constexpr Duration kRelayCheckInterval = std::chrono::milliseconds(100);
constexpr std::size_t kMaxRelayMessageBytes = 4UL << 20;
/// A connection with more unsent bytes is closed.
constexpr std::size_t kMaxRelayUnsentBytes = 2UL << 20;

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_FLEET_RELAY_LIMITS_H_
