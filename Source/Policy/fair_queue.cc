#include "Policy/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace hyssopbarrow {
namespace {

/// Gain and initial value of TeamQueue::mean_slot_s.
constexpr double kMeanSlotTimeGain = 0.1;
constexpr double kInitialMeanSlotSeconds = 0.1;
/// Gain of the moving average TeamQueue::grants_per_s, and the number of
/// consecutive intervals with waiting calls after which it is used.
constexpr double kGrantRateGain = 0.3;
constexpr std::int64_t kMinIntervalsForGrantRate = 5;
/// A team's weight is corrected after this many consecutive intervals in which
/// its calls waited.
constexpr std::int64_t kMinIntervalsForCorrection = 10;
/// In each interval, the logarithm of a team's correction falls by this times
/// the relative deviation of its usage per weight from the mean.
constexpr double kCorrectionGain = 0.05;
/// In each interval in which other cells aren't used or the team had no
/// backlog, its correction is raised to this power, so that it returns to 1.
constexpr double kCorrectionDecay = 0.95;
/// A correction is at most this and at least its inverse.
constexpr double kMaxCorrectionFactor = 20;

std::size_t IndexOf(QueueClass queue_class) {
  return static_cast<std::size_t>(queue_class);
}

double SecondsOf(Instant time) {
  return std::chrono::duration<double>(time.time_since_epoch()).count();
}

bool HasWaiting(const TeamQueue& team_queue) {
  return std::any_of(team_queue.waiting.begin(), team_queue.waiting.end(),
                     [](const auto& calls) { return !calls.empty(); });
}

void RemoveFromOrder(FairQueue& queue, const TeamQueue& team_queue) {
  for (auto& order : queue.order) {
    order.erase({team_queue.position, team_queue.id});
  }
}

void AddToOrder(FairQueue& queue, TeamQueue& team_queue) {
  if (team_queue.blocked) return;
  for (std::size_t n = 0; n < kQueueClassCount; ++n) {
    if (team_queue.waiting[n].empty()) continue;
    queue.order[n].emplace(std::pair(team_queue.position, team_queue.id),
                           &team_queue);
  }
}

void SetPosition(FairQueue& queue, TeamQueue& team_queue, double position) {
  if (position == team_queue.position) return;
  RemoveFromOrder(queue, team_queue);
  team_queue.position = position;
  AddToOrder(queue, team_queue);
}

/// Returns the slot seconds used so far by the running attempts.
double RunningSlotSeconds(const TeamQueue& team_queue, Instant now) {
  return static_cast<double>(team_queue.running) * SecondsOf(now) -
         team_queue.start_time_sum_s;
}

}  // namespace

TeamQueue& GetOrCreateTeamQueue(FairQueue& queue, const Snapshot& snapshot,
                                const std::string& team) {
  auto [it, inserted] = queue.teams.try_emplace(team);
  TeamQueue& team_queue = it->second;
  if (inserted) {
    team_queue.team = team;
    team_queue.id = std::ssize(queue.teams);
    team_queue.position = queue.virtual_time;
    team_queue.mean_slot_s = kInitialMeanSlotSeconds;
  }
  const Team* row = Find(snapshot.teams, team);
  team_queue.base_weight =
      row == nullptr ? 1 : static_cast<double>(row->weight);
  team_queue.weight = team_queue.base_weight * team_queue.correction;
  return team_queue;
}

void PushCall(FairQueue& queue, TeamQueue& team_queue, WaitingCall call) {
  if (!HasWaiting(team_queue)) {
    team_queue.position = std::max(team_queue.position, queue.virtual_time);
  }
  call.sequence = queue.next_sequence++;
  auto& waiting = team_queue.waiting[IndexOf(call.queue_class)];
  const auto it = waiting.insert(waiting.end(), std::move(call));
  queue.by_call[it->call] = it;
  queue.by_latest_start.emplace(std::pair(it->latest_start, it->sequence), it);
  if (waiting.size() == 1) AddToOrder(queue, team_queue);
}

WaitingCall ExtractCall(FairQueue& queue, FairQueue::WaitingIterator it) {
  TeamQueue& team_queue = queue.teams.find(it->team)->second;
  queue.by_call.erase(it->call);
  queue.by_latest_start.erase({it->latest_start, it->sequence});
  const std::size_t n = IndexOf(it->queue_class);
  WaitingCall call = std::move(*it);
  team_queue.waiting[n].erase(it);
  if (team_queue.waiting[n].empty()) {
    queue.order[n].erase({team_queue.position, team_queue.id});
  }
  return call;
}

TeamQueue* FirstTeamQueue(const FairQueue& queue, QueueClass queue_class) {
  const auto& order = queue.order[IndexOf(queue_class)];
  return order.empty() ? nullptr : order.begin()->second;
}

void SetBlocked(FairQueue& queue, TeamQueue& team_queue, bool blocked) {
  if (team_queue.blocked == blocked) return;
  RemoveFromOrder(queue, team_queue);
  team_queue.blocked = blocked;
  team_queue.blocked_in_interval = team_queue.blocked_in_interval || blocked;
  AddToOrder(queue, team_queue);
}

double ChargeStart(FairQueue& queue, TeamQueue& team_queue, Instant now) {
  queue.virtual_time = std::max(queue.virtual_time, team_queue.position);
  const double charge = team_queue.mean_slot_s;
  SetPosition(queue, team_queue,
              team_queue.position + charge / team_queue.weight);
  ++team_queue.running;
  ++team_queue.grant_count;
  team_queue.charge_s += charge;
  team_queue.start_time_sum_s += SecondsOf(now);
  return charge;
}

void CountExistingStart(TeamQueue& team_queue, Instant now) {
  ++team_queue.running;
  team_queue.start_time_sum_s += SecondsOf(now);
}

void SettleCharge(FairQueue& queue, TeamQueue& team_queue, Instant start_time,
                  double charge_s, bool measured, Instant now) {
  const double used_s = SecondsOf(now) - SecondsOf(start_time);
  --team_queue.running;
  team_queue.charge_s -= charge_s;
  team_queue.start_time_sum_s -= SecondsOf(start_time);
  team_queue.ended_slot_s += used_s;
  if (measured) {
    team_queue.mean_slot_s +=
        kMeanSlotTimeGain * (used_s - team_queue.mean_slot_s);
  }
  // Slot time beyond the charge that UpdatePosition has already charged.
  double covered_s =
      std::min(team_queue.overrun_charge_s, std::max(0.0, used_s - charge_s));
  team_queue.overrun_charge_s -= covered_s;
  if (team_queue.running == 0) {
    covered_s += team_queue.overrun_charge_s;
    team_queue.overrun_charge_s = 0;
    team_queue.charge_s = 0;
    team_queue.start_time_sum_s = 0;
  }
  SetPosition(queue, team_queue,
              team_queue.position +
                  (used_s - charge_s - covered_s) / team_queue.weight);
}

void UpdatePosition(FairQueue& queue, TeamQueue& team_queue, double max_lag,
                    Instant now) {
  const double overrun_s =
      std::max(0.0, RunningSlotSeconds(team_queue, now) - team_queue.charge_s -
                        team_queue.overrun_charge_s);
  team_queue.overrun_charge_s += overrun_s;
  double position = team_queue.position + overrun_s / team_queue.weight;
  if (HasWaiting(team_queue) || team_queue.running > 0) {
    position = std::clamp(position, queue.virtual_time - max_lag,
                          queue.virtual_time + max_lag);
  }
  SetPosition(queue, team_queue, position);
}

void CorrectWeights(FairQueue& queue, bool used_elsewhere) {
  double usage = 0;
  double weights = 0;
  // Only teams that could have used more slots are compared with each other.
  auto competes = [=](const TeamQueue& team_queue) {
    return used_elsewhere && !team_queue.blocked_in_interval &&
           team_queue.backlogged_intervals >= kMinIntervalsForCorrection;
  };
  for (const auto& [team, team_queue] : queue.teams) {
    if (!competes(team_queue)) continue;
    usage += team_queue.fleet_slots;
    weights += team_queue.base_weight;
  }
  const double mean_usage = weights > 0 ? usage / weights : 0;
  for (auto& [team, team_queue] : queue.teams) {
    if (competes(team_queue) && mean_usage > 0) {
      const double deviation =
          team_queue.fleet_slots / team_queue.base_weight / mean_usage - 1;
      team_queue.correction *=
          std::exp(-kCorrectionGain * std::clamp(deviation, -1.0, 1.0));
    } else if (!used_elsewhere || team_queue.backlogged_intervals == 0) {
      team_queue.correction = std::pow(team_queue.correction, kCorrectionDecay);
    }
    team_queue.correction = std::clamp(
        team_queue.correction, 1 / kMaxCorrectionFactor, kMaxCorrectionFactor);
    team_queue.weight = team_queue.base_weight * team_queue.correction;
    team_queue.blocked_in_interval = false;
  }
}

double MeasureUsage(TeamQueue& team_queue, double interval_s, Instant now) {
  const double running_s = RunningSlotSeconds(team_queue, now);
  const double used_s =
      team_queue.ended_slot_s + running_s - team_queue.reported_slot_s;
  team_queue.reported_slot_s = running_s;
  team_queue.ended_slot_s = 0;
  const double rate = static_cast<double>(team_queue.grant_count) / interval_s;
  team_queue.grant_count = 0;
  if (HasWaiting(team_queue)) {
    team_queue.grants_per_s =
        team_queue.backlogged_intervals == 0
            ? rate
            : team_queue.grants_per_s +
                  kGrantRateGain * (rate - team_queue.grants_per_s);
    ++team_queue.backlogged_intervals;
  } else {
    team_queue.backlogged_intervals = 0;
  }
  return std::max(0.0, used_s / interval_s);
}

Instant LatestStart(const TeamQueue& team_queue, Duration remaining,
                    Instant now) {
  constexpr double kUsPerSecond = 1e6;
  constexpr double kReservedMeanSlotTimes = 2;
  const Duration reserved(static_cast<std::int64_t>(
      team_queue.mean_slot_s * kReservedMeanSlotTimes * kUsPerSecond));
  return now + remaining - std::min(reserved, remaining / 2);
}

Duration ExpectedWait(const TeamQueue& team_queue, QueueClass queue_class) {
  if (team_queue.backlogged_intervals < kMinIntervalsForGrantRate) {
    return Duration::zero();
  }
  std::size_t calls_ahead =
      team_queue.waiting[IndexOf(QueueClass::kUrgent)].size();
  if (queue_class == QueueClass::kLong) {
    calls_ahead += team_queue.waiting[IndexOf(QueueClass::kLong)].size();
  }
  if (calls_ahead == 0) return Duration::zero();
  constexpr double kMinGrantsPerSecond = 0.001;
  const double seconds =
      static_cast<double>(calls_ahead + 1) /
          std::max(kMinGrantsPerSecond, team_queue.grants_per_s) +
      team_queue.mean_slot_s;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace hyssopbarrow
