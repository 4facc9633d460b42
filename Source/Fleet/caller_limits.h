#ifndef HYSSOPBARROW_FLEET_CALLER_LIMITS_H_
#define HYSSOPBARROW_FLEET_CALLER_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "Http/http_server.h"

namespace hyssopbarrow::fleet {

/// What all callers of an entry host together may use. docs/design/limits.md
/// has the reasons.
struct CallerLimits {
  HttpServerLimits http;
  std::int64_t max_open_calls = 0;  ///< Calls without an answer.
  /// What the accepted jobs may take in the memory of the owner.
  std::int64_t max_job_bytes = 0;

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// Limits of a listener that only our own processes and the platform use.
HttpServerLimits MakeInternalLimits();

/// Limits for a process that may use `memory_mb` megabytes and
/// `max_descriptors` descriptors; 0 means that one is not known.
CallerLimits MakeCallerLimits(std::int64_t memory_mb,
                              std::int64_t max_descriptors);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_FLEET_CALLER_LIMITS_H_
