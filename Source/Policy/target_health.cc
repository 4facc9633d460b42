#include "Policy/target_health.h"

#include <algorithm>

namespace hyssopbarrow {
namespace {

/// Consecutive failures after which a worker with a failing connection is
/// ejected.
constexpr std::int64_t kConsecutiveFailuresToEject = 5;
/// A worker is also ejected if its failure ratio reaches kFailureRatioToEject
/// over enough attempts and exceeds that of the other workers by
/// kMinRatioAboveOthers.
constexpr double kMinAttemptsForRatio = 10;
constexpr double kFailureRatioToEject = 0.5;
constexpr double kMinRatioAboveOthers = 0.3;
/// Each further attempt multiplies the counts of attempts and failures in
/// TargetHealth by this before it is added.
constexpr double kAttemptDiscount = 0.95;
/// Gain of the moving averages of the latency.
constexpr double kLatencyGain = 0.1;
/// Timeouts shorter than this multiple of the cell's latency are ignored.
constexpr double kMinTimeoutPerLatency = 3;
/// Maximum part of a cell's workers that is ejected at a time. One of several
/// workers may always be ejected.
constexpr std::int64_t kMaxEjectedPercent = 40;
/// Consecutive successes by which a worker on probation becomes healthy.
constexpr std::int64_t kTrialsToRecover = 3;
/// An ejection lasts kBaseEjectionTime times the number of ejections, which is
/// counted up to kMaxEjectionFactor.
constexpr Duration kBaseEjectionTime = std::chrono::seconds(5);
constexpr std::int64_t kMaxEjectionFactor = 12;

bool IsConnectionFailure(SlotResult result) {
  return result == SlotResult::kUnreachable || result == SlotResult::kBroken ||
         result == SlotResult::kTimedOut;
}

double MillisecondsOf(Duration span) {
  return static_cast<double>(span.count()) / 1000;
}

/// Returns whether the result says nothing about the worker. That includes a
/// timeout shorter than answers usually take: the deadline was too short.
bool IsInconclusive(const TargetHealthTable& table, SlotResult result,
                    Duration slot_time) {
  if (result == SlotResult::kTimedOut) {
    return MillisecondsOf(slot_time) < kMinTimeoutPerLatency * table.latency_ms;
  }
  return result == SlotResult::kUnused || result == SlotResult::kAbandoned;
}

void UpdateAverage(double& mean_ms, double latency_ms) {
  mean_ms = mean_ms == 0 ? latency_ms
                         : mean_ms + kLatencyGain * (latency_ms - mean_ms);
}

double FailureRatio(double failures, double attempts) {
  return attempts > 0 ? failures / attempts : 0;
}

/// Returns the failure ratio over all workers of the cell except `self`.
double FailureRatioOfOthers(const TargetHealthTable& table,
                            const TargetHealth& self) {
  double attempts = -self.attempts;
  double failures = -self.failures;
  for (const auto& [name, target] : table.targets) {
    attempts += target.attempts;
    failures += target.failures;
  }
  return FailureRatio(failures, attempts);
}

/// Returns whether the worker fails often enough to be ejected. Its failure
/// ratio is compared with that of the others, since work that fails on every
/// worker raises all ratios.
bool IsFailing(const TargetHealthTable& table, const TargetHealth& target,
               SlotResult result) {
  if (IsConnectionFailure(result) &&
      target.consecutive_failures >= kConsecutiveFailuresToEject) {
    return true;
  }
  const double ratio = FailureRatio(target.failures, target.attempts);
  return target.attempts >= kMinAttemptsForRatio &&
         ratio >= kFailureRatioToEject &&
         ratio >= FailureRatioOfOthers(table, target) + kMinRatioAboveOthers;
}

bool MayEject(const TargetHealthTable& table, std::int64_t hosts) {
  return (table.ejected_count + 1) * 100 <= hosts * kMaxEjectedPercent ||
         (table.ejected_count == 0 && hosts > 1);
}

void Eject(TargetHealthTable& table, TargetHealth& target, Instant now) {
  target.state = TargetState::kEjected;
  target.ejections = std::min(target.ejections + 1, kMaxEjectionFactor);
  target.ejected_until = now + kBaseEjectionTime * target.ejections;
  target.trials_passed = 0;
  ++table.ejected_count;
}

void RecordAttempt(TargetHealth& target, bool failed, Duration slot_time) {
  target.attempts = target.attempts * kAttemptDiscount + 1;
  target.failures = target.failures * kAttemptDiscount + (failed ? 1 : 0);
  target.consecutive_failures = failed ? target.consecutive_failures + 1 : 0;
  if (failed) return;
  UpdateAverage(target.latency_ms, MillisecondsOf(slot_time));
}

/// Records an attempt at a worker on probation. Returns true when the worker's
/// state changed.
bool RecordTrial(TargetHealthTable& table, TargetHealth& target, bool failed,
                 std::int64_t hosts, Instant now) {
  if (failed) {
    if (!MayEject(table, hosts)) return false;
    Eject(table, target, now);
    return true;
  }
  if (++target.trials_passed < kTrialsToRecover) return false;
  target = TargetHealth{.latency_ms = target.latency_ms};
  return true;
}

}  // namespace

bool RecordResult(TargetHealthTable& table, const std::string& host,
                  SlotResult result, Duration slot_time, std::int64_t hosts,
                  Instant now) {
  if (IsInconclusive(table, result, slot_time)) return false;
  TargetHealth& target = table.targets[host];
  const bool failed = result != SlotResult::kSucceeded;
  if (!failed) UpdateAverage(table.latency_ms, MillisecondsOf(slot_time));
  RecordAttempt(target, failed, slot_time);
  if (target.state == TargetState::kProbation) {
    return RecordTrial(table, target, failed, hosts, now);
  }
  if (target.state == TargetState::kEjected || !failed) return false;
  if (!IsFailing(table, target, result) || !MayEject(table, hosts)) {
    return false;
  }
  Eject(table, target, now);
  return true;
}

bool TickTargetHealth(TargetHealthTable& table, Instant now) {
  if (table.ejected_count == 0) return false;
  bool changed = false;
  for (auto& [name, target] : table.targets) {
    if (target.state != TargetState::kEjected || now < target.ejected_until) {
      continue;
    }
    target.state = TargetState::kProbation;
    target.trials_passed = 0;
    --table.ejected_count;
    changed = true;
  }
  return changed;
}

TargetState StateOf(const TargetHealthTable& table, const std::string& host) {
  auto it = table.targets.find(host);
  return it == table.targets.end() ? TargetState::kHealthy : it->second.state;
}

}  // namespace hyssopbarrow
