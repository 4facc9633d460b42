#include "Policy/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace hyssopbarrow {
namespace {

constexpr double kMeanSlotTimeGain = 0.1;
constexpr double kInitialMeanSlotSeconds = 0.1;
constexpr double kGrantRateGain = 0.3;
constexpr std::int64_t kMinIntervalsForGrantRate = 5;
constexpr std::int64_t kMinIntervalsForCorrection = 10;
constexpr double kCorrectionGain = 0.05;
constexpr double kCorrectionDecay = 0.95;
constexpr double kMaxCorrection = 20;

std::size_t IndexOf(QueueClass it) { return static_cast<std::size_t>(it); }

double SecondsOf(Instant at) {
  return std::chrono::duration<double>(at.time_since_epoch()).count();
}

bool HasWaiting(const TeamQueue& line) {
  return std::any_of(line.waiting.begin(), line.waiting.end(),
                     [](const auto& it) { return !it.empty(); });
}

void Unlink(FairQueue& queue, const TeamQueue& line) {
  for (auto& order : queue.order) order.erase({line.position, line.id});
}

void Link(FairQueue& queue, TeamQueue& line) {
  if (line.blocked) return;
  for (std::size_t n = 0; n < kQueueClassCount; ++n) {
    if (line.waiting[n].empty()) continue;
    queue.order[n].emplace(std::pair(line.position, line.id), &line);
  }
}

void MoveTo(FairQueue& queue, TeamQueue& line, double position) {
  if (position == line.position) return;
  Unlink(queue, line);
  line.position = position;
  Link(queue, line);
}

/// Slot seconds of the running attempts so far.
double ElapsedOf(const TeamQueue& line, Instant now) {
  return static_cast<double>(line.running) * SecondsOf(now) -
         line.start_time_sum_s;
}

}  // namespace

TeamQueue& GetOrCreateTeamQueue(FairQueue& queue, const Snapshot& snapshot,
                                const std::string& team) {
  auto [it, inserted] = queue.teams.try_emplace(team);
  TeamQueue& line = it->second;
  if (inserted) {
    line.team = team;
    line.id = std::ssize(queue.teams);
    line.position = queue.virtual_time;
    line.mean_slot_s = kInitialMeanSlotSeconds;
  }
  const Team* row = Find(snapshot.teams, team);
  line.base_weight = row == nullptr ? 1 : static_cast<double>(row->weight);
  line.weight = line.base_weight * line.correction;
  return line;
}

void PushCall(FairQueue& queue, TeamQueue& line, WaitingCall call) {
  if (!HasWaiting(line)) {
    line.position = std::max(line.position, queue.virtual_time);
  }
  call.sequence = queue.next_sequence++;
  auto& waiting = line.waiting[IndexOf(call.queue_class)];
  const auto it = waiting.insert(waiting.end(), std::move(call));
  queue.by_call[it->call] = it;
  queue.by_latest_start.emplace(std::pair(it->latest_start, it->sequence), it);
  if (waiting.size() == 1) Link(queue, line);
}

WaitingCall ExtractCall(FairQueue& queue, FairQueue::WaitingIterator it) {
  TeamQueue& line = queue.teams.find(it->team)->second;
  queue.by_call.erase(it->call);
  queue.by_latest_start.erase({it->latest_start, it->sequence});
  const std::size_t n = IndexOf(it->queue_class);
  WaitingCall call = std::move(*it);
  line.waiting[n].erase(it);
  if (line.waiting[n].empty()) {
    queue.order[n].erase({line.position, line.id});
  }
  return call;
}

TeamQueue* FirstTeamQueue(const FairQueue& queue, QueueClass queue_class) {
  const auto& order = queue.order[IndexOf(queue_class)];
  return order.empty() ? nullptr : order.begin()->second;
}

void SetBlocked(FairQueue& queue, TeamQueue& line, bool blocked) {
  if (line.blocked == blocked) return;
  Unlink(queue, line);
  line.blocked = blocked;
  line.blocked_in_interval = line.blocked_in_interval || blocked;
  Link(queue, line);
}

double ChargeStart(FairQueue& queue, TeamQueue& line, Instant now) {
  queue.virtual_time = std::max(queue.virtual_time, line.position);
  const double charge = line.mean_slot_s;
  MoveTo(queue, line, line.position + charge / line.weight);
  ++line.running;
  ++line.grant_count;
  line.charge_s += charge;
  line.start_time_sum_s += SecondsOf(now);
  return charge;
}

void CountExistingStart(TeamQueue& line, Instant now) {
  ++line.running;
  line.start_time_sum_s += SecondsOf(now);
}

void SettleCharge(FairQueue& queue, TeamQueue& line, Instant started,
                  double charged, bool measured, Instant now) {
  const double used = SecondsOf(now) - SecondsOf(started);
  --line.running;
  line.charge_s -= charged;
  line.start_time_sum_s -= SecondsOf(started);
  line.ended_slot_s += used;
  if (measured)
    line.mean_slot_s += kMeanSlotTimeGain * (used - line.mean_slot_s);
  double covered =
      std::min(line.overrun_charge_s, std::max(0.0, used - charged));
  line.overrun_charge_s -= covered;
  if (line.running == 0) {
    covered += line.overrun_charge_s;
    line.overrun_charge_s = 0;
    line.charge_s = 0;
    line.start_time_sum_s = 0;
  }
  MoveTo(queue, line, line.position + (used - charged - covered) / line.weight);
}

void UpdatePosition(FairQueue& queue, TeamQueue& line, double max_lag,
                    Instant now) {
  const double late = std::max(
      0.0, ElapsedOf(line, now) - line.charge_s - line.overrun_charge_s);
  line.overrun_charge_s += late;
  double position = line.position + late / line.weight;
  if (HasWaiting(line) || line.running > 0) {
    position = std::clamp(position, queue.virtual_time - max_lag,
                          queue.virtual_time + max_lag);
  }
  MoveTo(queue, line, position);
}

void CorrectWeights(FairQueue& queue, bool used_elsewhere) {
  double usage = 0;
  double weights = 0;
  auto competes = [=](const TeamQueue& it) {
    return used_elsewhere && !it.blocked_in_interval &&
           it.backlogged_intervals >= kMinIntervalsForCorrection;
  };
  for (const auto& [team, line] : queue.teams) {
    if (!competes(line)) continue;
    usage += line.fleet_slots;
    weights += line.base_weight;
  }
  const double level = weights > 0 ? usage / weights : 0;
  for (auto& [team, line] : queue.teams) {
    if (competes(line) && level > 0) {
      const double off = line.fleet_slots / line.base_weight / level - 1;
      line.correction *=
          std::exp(-kCorrectionGain * std::clamp(off, -1.0, 1.0));
    } else if (!used_elsewhere || line.backlogged_intervals == 0) {
      line.correction = std::pow(line.correction, kCorrectionDecay);
    }
    line.correction =
        std::clamp(line.correction, 1 / kMaxCorrection, kMaxCorrection);
    line.weight = line.base_weight * line.correction;
    line.blocked_in_interval = false;
  }
}

double MeasureUsage(TeamQueue& line, double interval_s, Instant now) {
  const double elapsed = ElapsedOf(line, now);
  const double total = line.ended_slot_s + elapsed - line.reported_slot_s;
  line.reported_slot_s = elapsed;
  line.ended_slot_s = 0;
  const double rate = static_cast<double>(line.grant_count) / interval_s;
  line.grant_count = 0;
  if (HasWaiting(line)) {
    line.grants_per_s =
        line.backlogged_intervals == 0
            ? rate
            : line.grants_per_s + kGrantRateGain * (rate - line.grants_per_s);
    ++line.backlogged_intervals;
  } else {
    line.backlogged_intervals = 0;
  }
  return std::max(0.0, total / interval_s);
}

Instant LatestStart(const TeamQueue& line, Duration remaining, Instant now) {
  constexpr double kUsPerSecond = 1e6;
  constexpr double kSpread = 2;
  const Duration run(
      static_cast<std::int64_t>(line.mean_slot_s * kSpread * kUsPerSecond));
  return now + remaining - std::min(run, remaining / 2);
}

Duration ExpectedWait(const TeamQueue& line, QueueClass queue_class) {
  if (line.backlogged_intervals < kMinIntervalsForGrantRate)
    return Duration::zero();
  std::size_t ahead = line.waiting[IndexOf(QueueClass::kUrgent)].size();
  if (queue_class == QueueClass::kLong) {
    ahead += line.waiting[IndexOf(QueueClass::kLong)].size();
  }
  if (ahead == 0) return Duration::zero();
  constexpr double kMinRate = 0.001;
  const double seconds =
      static_cast<double>(ahead + 1) / std::max(kMinRate, line.grants_per_s) +
      line.mean_slot_s;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace hyssopbarrow
