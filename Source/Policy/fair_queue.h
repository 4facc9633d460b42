#ifndef HYSSOPBARROW_POLICY_FAIR_QUEUE_H_
#define HYSSOPBARROW_POLICY_FAIR_QUEUE_H_

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Model/messages.h"
#include "Model/snapshot.h"
#include "Model/time.h"
#include "absl/container/flat_hash_map.h"

namespace hyssopbarrow {

/// A call that waits for a slot.
struct WaitingCall {
  CallId call;
  std::int64_t attempt = 0;
  std::string team;
  std::string queue;
  QueueClass queue_class = QueueClass::kUrgent;
  Instant deadline;
  Instant latest_start;  ///< A later start would not end by the deadline.
  std::vector<std::string> excluded;
  std::int64_t sequence = 0;  ///< Increases in the order of arrival.
};

/// Number of queue classes. A class is used as an index below this number.
inline constexpr std::size_t kQueueClassCount = 2;

/// One team in one cell: its waiting calls and its use of slot time. Slot time
/// is the time for which calls hold a slot, in seconds.
struct TeamQueue {
  std::string team;
  std::int64_t id = 0;     ///< Orders teams with equal positions.
  double base_weight = 1;  ///< From the configuration.
  double correction = 1;   ///< Compensates for the team's use of other cells.
  double weight = 1;       ///< `base_weight * correction`.
  std::array<std::list<WaitingCall>, kQueueClassCount> waiting;
  double position = 0;   ///< Charged slot seconds divided by the weight.
  bool blocked = false;  ///< Not picked until unblocked: at its ceiling or
                         ///< no free host suits its calls.
  bool blocked_in_interval = false;  ///< Was blocked in this interval.
  std::int64_t running = 0;
  double charge_s = 0;          ///< Charged in advance for running attempts.
  double overrun_charge_s = 0;  ///< For attempts that outlast `charge_s`.
  double mean_slot_s = 0;       ///< Moving average of an attempt's slot time.
  double start_time_sum_s = 0;  ///< Sum of the running attempts' start times.
  double fleet_slots = 0;   ///< Moving average of the slots used in all cells.
  double ended_slot_s = 0;  ///< Of attempts that ended in this interval.
  double reported_slot_s = 0;    ///< Of running attempts, in earlier intervals.
  std::int64_t grant_count = 0;  ///< Grants in this interval.
  double grants_per_s = 0;       ///< Moving average while calls waited.
  std::int64_t backlogged_intervals = 0;  ///< Consecutive; calls waited.
};

/// All teams of one cell, ordered by position.
///
/// Implements start-time fair queueing over slot time. A grant goes to the
/// waiting team with the lowest position and charges it the mean slot time of
/// its attempts; the release replaces the charge by the measured slot time. A
/// team without waiting calls restarts at `virtual_time` or later, so it gets
/// no credit for being idle.
struct FairQueue {
  using WaitingIterator = std::list<WaitingCall>::iterator;
  using Order = std::map<std::pair<double, std::int64_t>, TeamQueue*>;

  std::map<std::string, TeamQueue, std::less<>> teams;
  std::array<Order, kQueueClassCount> order;  ///< Teams that may be picked.
  absl::flat_hash_map<CallId, WaitingIterator> by_call;
  /// By `latest_start` and `sequence`.
  std::map<std::pair<Instant, std::int64_t>, WaitingIterator> by_latest_start;
  double virtual_time = 0;  ///< Highest position that was granted a slot.
  std::int64_t next_sequence = 1;
};

/// Returns the team's queue, which is created when it is missing, and updates
/// its weight from `snapshot`.
TeamQueue& GetOrCreateTeamQueue(FairQueue& queue, const Snapshot& snapshot,
                                const std::string& team);

/// Appends `call` to the queue of its team.
void PushCall(FairQueue& queue, TeamQueue& team_queue, WaitingCall call);

/// Removes a waiting call and returns it.
WaitingCall ExtractCall(FairQueue& queue, FairQueue::WaitingIterator it);

/// Returns the unblocked team with the lowest position that has waiting calls
/// of `queue_class`; null when there is none.
TeamQueue* FirstTeamQueue(const FairQueue& queue, QueueClass queue_class);

/// Removes a blocked team from the order, or adds it again.
void SetBlocked(FairQueue& queue, TeamQueue& team_queue, bool blocked);

/// Charges the start of one attempt. Returns the charged slot seconds.
double ChargeStart(FairQueue& queue, TeamQueue& team_queue, Instant now);

/// Counts an attempt that another dispatcher started, without a charge.
void CountExistingStart(TeamQueue& team_queue, Instant now);

/// Replaces the charge of an ended attempt by its measured slot time.
/// `measured` tells whether it enters the mean slot time.
void SettleCharge(FairQueue& queue, TeamQueue& team_queue, Instant start_time,
                  double charge_s, bool measured, Instant now);

/// Charges running attempts that outlast their charge, and limits the distance
/// of the position from `virtual_time` to `max_lag` slot seconds per weight.
void UpdatePosition(FairQueue& queue, TeamQueue& team_queue, double max_lag,
                    Instant now);

/// Adjusts the weights of backlogged teams so that their use of the fleet
/// becomes proportional to their configured weights. Returns the weights
/// towards the configured ones when no other cell is in use.
/// `TeamQueue::fleet_slots` must be current.
void CorrectWeights(FairQueue& queue, bool used_elsewhere);

/// Ends an interval of `interval_s` seconds. Returns the mean number of slots
/// that the team used in it.
double MeasureUsage(TeamQueue& team_queue, double interval_s, Instant now);

/// Returns the latest useful start of a call with `remaining` until its
/// deadline: twice the mean slot time before the deadline, but not before half
/// of `remaining` has passed, since the mean may be wrong.
Instant LatestStart(const TeamQueue& team_queue, Duration remaining,
                    Instant now);

/// Returns the time until a call appended now would end, estimated from the
/// grant rate and the mean slot time. Zero when no calls wait or the rate is
/// not known yet.
Duration ExpectedWait(const TeamQueue& team_queue, QueueClass queue_class);

/// Returns the number of waiting calls of all teams.
inline std::int64_t WaitingCount(const FairQueue& queue) {
  return static_cast<std::int64_t>(queue.by_call.size());
}

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_FAIR_QUEUE_H_
