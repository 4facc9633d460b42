#ifndef HYSSOPBARROW_POLICY_TARGET_HEALTH_H_
#define HYSSOPBARROW_POLICY_TARGET_HEALTH_H_

#include <cstdint>
#include <map>
#include <string>

#include "Model/messages.h"
#include "Model/time.h"

namespace hyssopbarrow {

/// Whether a worker gets work.
enum class TargetState {
  kHealthy,    ///< Gets work without restriction.
  kEjected,    ///< Gets no work until its ejection ends.
  kProbation,  ///< Gets one call at a time until enough have succeeded.
};

/// Measurements of one worker by a dispatcher.
struct TargetHealth {
  TargetState state = TargetState::kHealthy;
  double attempts = 0;    ///< Ended attempts, decayed by each further one.
  double failures = 0;    ///< Failed ones among `attempts`.
  double latency_ms = 0;  ///< Moving average over succeeded attempts.
  std::int64_t consecutive_failures = 0;
  std::int64_t trials_passed = 0;  ///< Consecutive successes on probation.
  std::int64_t ejections = 0;      ///< Since the last recovery from probation.
  Instant ejected_until;
};

/// Health of the workers of one cell, by host name.
struct TargetHealthTable {
  std::map<std::string, TargetHealth, std::less<>> targets;
  std::int64_t ejected_count = 0;  ///< Number of workers in state kEjected.
  double latency_ms = 0;  ///< Moving average over all succeeded attempts.
};

/// Records the result of an attempt at `host`. Ejects the worker if it fails
/// too often, unless too large a part of the cell's `hosts` workers is ejected.
/// Returns true when the worker's state changed.
bool RecordResult(TargetHealthTable& table, const std::string& host,
                  SlotResult result, Duration slot_time, std::int64_t hosts,
                  Instant now);

/// Moves workers whose ejection has ended to probation. Returns true when a
/// state changed.
bool TickTargetHealth(TargetHealthTable& table, Instant now);

/// Returns the state of `host`; kHealthy when no result was recorded.
TargetState StateOf(const TargetHealthTable& table, const std::string& host);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_TARGET_HEALTH_H_
