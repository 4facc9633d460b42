#include "Policy/target_health.h"

#include <algorithm>

namespace hyssopbarrow {
namespace {

constexpr std::int64_t kConsecutiveFailuresToEject = 5;
constexpr double kMinAttemptsForRatio = 10;
constexpr double kFailureRatioToEject = 0.5;
constexpr double kMinRatioAboveOthers = 0.3;
constexpr double kAttemptDiscount = 0.95;
constexpr double kLatencyGain = 0.1;
constexpr double kMinTimeoutPerLatency = 3;
constexpr std::int64_t kMaxEjectedPercent = 40;
constexpr std::int64_t kTrialsToRecover = 3;
constexpr Duration kBaseEjectionTime = std::chrono::seconds(5);
constexpr std::int64_t kMaxEjectionFactor = 12;

bool IsConnectionFailure(SlotResult result) {
  return result == SlotResult::kUnreachable || result == SlotResult::kBroken ||
         result == SlotResult::kTimedOut;
}

double MillisecondsOf(Duration span) {
  return static_cast<double>(span.count()) / 1000;
}

/// A timeout that left the worker less time than answers usually take is the
/// deadline's fault.
bool IsInconclusive(const TargetHealthTable& table, SlotResult result,
                    Duration slot_time) {
  if (result == SlotResult::kTimedOut) {
    return MillisecondsOf(slot_time) < kMinTimeoutPerLatency * table.latency_ms;
  }
  return result == SlotResult::kUnused || result == SlotResult::kAbandoned;
}

void UpdateAverage(double& mean, double ms) {
  mean = mean == 0 ? ms : mean + kLatencyGain * (ms - mean);
}

double FailureRatio(double failures, double attempts) {
  return attempts > 0 ? failures / attempts : 0;
}

/// Failure ratio of all workers of the cell but `self`.
double FailureRatioOfOthers(const TargetHealthTable& table,
                            const TargetHealth& self) {
  double attempts = -self.attempts;
  double failures = -self.failures;
  for (const auto& [name, it] : table.targets) {
    attempts += it.attempts;
    failures += it.failures;
  }
  return FailureRatio(failures, attempts);
}

/// Work that fails wherever it runs raises the ratio of every worker, so a
/// worker is judged against the others.
bool IsFailing(const TargetHealthTable& table, const TargetHealth& it,
               SlotResult result) {
  if (IsConnectionFailure(result) &&
      it.consecutive_failures >= kConsecutiveFailuresToEject) {
    return true;
  }
  const double ratio = FailureRatio(it.failures, it.attempts);
  return it.attempts >= kMinAttemptsForRatio && ratio >= kFailureRatioToEject &&
         ratio >= FailureRatioOfOthers(table, it) + kMinRatioAboveOthers;
}

bool MayEject(const TargetHealthTable& table, std::int64_t hosts) {
  return (table.ejected_count + 1) * 100 <= hosts * kMaxEjectedPercent ||
         (table.ejected_count == 0 && hosts > 1);
}

void Eject(TargetHealthTable& table, TargetHealth& it, Instant now) {
  it.state = TargetState::kEjected;
  it.ejections = std::min(it.ejections + 1, kMaxEjectionFactor);
  it.ejected_until = now + kBaseEjectionTime * it.ejections;
  it.trials_passed = 0;
  ++table.ejected_count;
}

void Count(TargetHealth& it, bool failed, Duration slot_time) {
  it.attempts = it.attempts * kAttemptDiscount + 1;
  it.failures = it.failures * kAttemptDiscount + (failed ? 1 : 0);
  it.consecutive_failures = failed ? it.consecutive_failures + 1 : 0;
  if (failed) return;
  UpdateAverage(it.latency_ms, MillisecondsOf(slot_time));
}

/// One trial of a worker on probation.
bool RecordTrial(TargetHealthTable& table, TargetHealth& it, bool failed,
                 std::int64_t hosts, Instant now) {
  if (failed) {
    if (!MayEject(table, hosts)) return false;
    Eject(table, it, now);
    return true;
  }
  if (++it.trials_passed < kTrialsToRecover) return false;
  it = TargetHealth{.latency_ms = it.latency_ms};
  return true;
}

}  // namespace

bool RecordResult(TargetHealthTable& table, const std::string& host,
                  SlotResult result, Duration slot_time, std::int64_t hosts,
                  Instant now) {
  if (IsInconclusive(table, result, slot_time)) return false;
  TargetHealth& it = table.targets[host];
  const bool failed = result != SlotResult::kSucceeded;
  if (!failed) UpdateAverage(table.latency_ms, MillisecondsOf(slot_time));
  Count(it, failed, slot_time);
  if (it.state == TargetState::kProbation) {
    return RecordTrial(table, it, failed, hosts, now);
  }
  if (it.state == TargetState::kEjected || !failed) return false;
  if (!IsFailing(table, it, result) || !MayEject(table, hosts)) return false;
  Eject(table, it, now);
  return true;
}

bool TickTargetHealth(TargetHealthTable& table, Instant now) {
  if (table.ejected_count == 0) return false;
  bool changed = false;
  for (auto& [name, it] : table.targets) {
    if (it.state != TargetState::kEjected || now < it.ejected_until) continue;
    it.state = TargetState::kProbation;
    it.trials_passed = 0;
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
