#ifndef HYSSOPBARROW_POLICY_TARGET_HEALTH_H_
#define HYSSOPBARROW_POLICY_TARGET_HEALTH_H_

#include <cstdint>
#include <map>
#include <string>

#include "Model/messages.h"
#include "Model/time.h"

namespace hyssopbarrow {

/// Whether a worker is given work.
enum class TargetState {
  kHealthy,
  kEjected,    ///< Gets no work until its ejection ends.
  kProbation,  ///< Gets one request at a time until enough have succeeded.
};

/// What a dispatcher has measured of one worker.
struct TargetHealth {
  TargetState state = TargetState::kHealthy;
  double attempts = 0;  ///< Finished attempts, old ones discounted.
  double failures = 0;  ///< Failed ones among them.
  double latency_ms =
      0;  ///< Moving average of the slot time of answered attempts.
  std::int64_t consecutive_failures = 0;
  std::int64_t trials_passed = 0;  ///< Successes in a row while on probation.
  std::int64_t ejections = 0;      ///< Since the last full recovery.
  Instant ejected_until;
};

/// Health of the workers of one cell, by host name.
struct TargetHealthTable {
  std::map<std::string, TargetHealth, std::less<>> targets;
  std::int64_t ejected_count = 0;  ///< Workers in state kEjected.
  double latency_ms = 0;           ///< Moving average over all workers.
};

/// Takes in how an attempt at `host` ended. May eject the worker, as long as
/// no more than a fixed part of the cell's `hosts` workers is ejected. Returns
/// true when the worker's state changed.
bool RecordResult(TargetHealthTable& table, const std::string& host,
                  SlotResult result, Duration slot_time, std::int64_t hosts,
                  Instant now);

/// Moves workers whose ejection has ended to probation. Returns true when a
/// state changed.
bool TickTargetHealth(TargetHealthTable& table, Instant now);

/// State of `host`; healthy when nothing is known.
TargetState StateOf(const TargetHealthTable& table, const std::string& host);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_TARGET_HEALTH_H_
