#include "Fleet/caller_limits.h"

#include <algorithm>

namespace hyssopbarrow::fleet {
namespace {

/// A job has up to 100 steps and a payload of 4000 bytes.
constexpr std::size_t kMaxBodyBytes = 256UL << 10;
/// Callers may take 3 s for the headers, and as long for the body.
constexpr std::int64_t kRequestTimeoutMs = 6000;
constexpr std::int64_t kMaxConnections = 1500;
constexpr std::int64_t kMinConnections = 64;
/// Parts of the machine's memory: for what callers have sent, whose buffers are
/// copied as they grow, for connections, and for calls without an answer. The
/// rest is for the owner and its tables, of which most is for jobs.
constexpr std::int64_t kInputDivisor = 6;
constexpr std::int64_t kConnectionsDivisor = 4;
constexpr std::int64_t kCallsDivisor = 4;
constexpr std::int64_t kJobsDivisor = 3;
/// Of a connection: what the kernel holds for it, twice the sizes that the
/// server sets for its buffers.
constexpr std::int64_t kConnectionBytes = 96 << 10;
/// Of a call: its job, decoded and as sent to the store.
constexpr std::int64_t kCallBytes = 64 << 10;
/// Room for a few whole bodies, whose buffers grow by doubling.
constexpr std::int64_t kMinInputBytes = 8 * kMaxBodyBytes;
/// Descriptors for the store, targets, other entry hosts and the listeners.
constexpr std::int64_t kReservedDescriptors = 1024;
/// Of each of the three other listeners; together less than what is reserved.
constexpr std::int64_t kInternalConnections = 256;
constexpr std::size_t kInternalInputBytes = 4UL << 20;
constexpr std::size_t kInternalBodyBytes = 64UL << 10;
/// An open call has a connection of its caller and one to the store or owner.
constexpr std::int64_t kDescriptorsPerCaller = 2;
/// For settings that name none, as those of the embedded fleet.
constexpr std::int64_t kDefaultMemoryMb = 256;

}  // namespace

HttpServerLimits MakeInternalLimits() {
  return {.max_body_bytes = kInternalBodyBytes,
          .max_connections = kInternalConnections,
          .max_input_bytes = kInternalInputBytes};
}

CallerLimits MakeCallerLimits(std::int64_t memory_mb,
                              std::int64_t max_descriptors) {
  const std::int64_t memory = (memory_mb > 0 ? memory_mb : kDefaultMemoryMb)
                              << 20;
  CallerLimits limits;
  limits.http.max_body_bytes = kMaxBodyBytes;
  limits.http.request_timeout_ms = kRequestTimeoutMs;
  limits.http.max_input_bytes = static_cast<std::size_t>(
      std::max(memory / kInputDivisor, kMinInputBytes));
  limits.http.max_connections =
      std::clamp(memory / kConnectionsDivisor / kConnectionBytes,
                 kMinConnections, kMaxConnections);
  if (max_descriptors > 0) {
    limits.http.max_connections = std::clamp(
        (max_descriptors - kReservedDescriptors) / kDescriptorsPerCaller,
        kMinConnections, limits.http.max_connections);
  }
  limits.max_open_calls = std::min(limits.http.max_connections,
                                   memory / kCallsDivisor / kCallBytes);
  limits.max_job_bytes = memory / kJobsDivisor;
  return limits;
}

}  // namespace hyssopbarrow::fleet
