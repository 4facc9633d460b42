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

/// A request that waits for a slot.
struct WaitingCall {
  CallId call;
  std::int64_t attempt = 0;
  std::string team;
  std::string queue;
  QueueClass queue_class = QueueClass::kUrgent;
  Instant deadline;
  Instant latest_start;  ///< A later start would be cut off by the deadline.
  std::vector<std::string> excluded;
  std::int64_t sequence = 0;  ///< Order of arrival.
};

/// Number of queue classes; a class is an index below it.
inline constexpr std::size_t kQueueClassCount = 2;

/// One team in one cell: its waiting work and its account of slot time.
struct TeamQueue {
  std::string team;
  std::int64_t id = 0;     ///< Breaks ties between equal positions.
  double base_weight = 1;  ///< Of the operators' table.
  double correction = 1;   ///< Makes up for the team's use in other cells.
  double weight = 1;       ///< Product of both.
  std::array<std::list<WaitingCall>, kQueueClassCount> waiting;
  double position = 0;   ///< Slot seconds used in proportion to the weight.
  bool blocked = false;  ///< At its ceiling; not picked until retried.
  bool blocked_in_interval = false;  ///< In this interval.
  std::int64_t running = 0;
  double charge_s = 0;  ///< Slot seconds charged ahead for running work.
  double overrun_charge_s = 0;  ///< Charged for running longer than expected.
  double mean_slot_s = 0;       ///< Mean measured slot seconds of an attempt.
  double start_time_sum_s = 0;  ///< Sum of the start times of running work, s.
  double fleet_slots = 0;       ///< Mean slots in all cells, smoothed.
  double ended_slot_s = 0;  ///< Slot seconds of ended work in this interval.
  double reported_slot_s =
      0;  ///< Slot seconds of running work already reported.
  std::int64_t grant_count = 0;  ///< Grants in this interval.
  double grants_per_s = 0;       ///< Grants a second while work waited.
  std::int64_t backlogged_intervals = 0;
};

/// All teams of one cell, ordered by position.
///
/// Start-time fair queueing over slot time: a pick takes the waiting team with
/// the lowest position, charges the expected slot time, and the release
/// replaces the charge by what was measured. A team that had nothing waiting
/// starts at the position of the last pick, so idleness earns no credit.
struct FairQueue {
  using WaitingIterator = std::list<WaitingCall>::iterator;
  using Order = std::map<std::pair<double, std::int64_t>, TeamQueue*>;

  std::map<std::string, TeamQueue, std::less<>> teams;
  std::array<Order, kQueueClassCount> order;  ///< Teams that may be picked.
  absl::flat_hash_map<CallId, WaitingIterator> by_call;
  std::map<std::pair<Instant, std::int64_t>, WaitingIterator>
      by_latest_start;      ///< `start_by`
  double virtual_time = 0;  ///< Highest position of a pick.
  std::int64_t next_sequence = 1;
};

/// The team's line, made when missing.
TeamQueue& GetOrCreateTeamQueue(FairQueue& queue, const Snapshot& snapshot,
                                const std::string& team);

/// Appends `call` to its team's line.
void PushCall(FairQueue& queue, TeamQueue& line, WaitingCall call);

/// Takes a waiting call out.
WaitingCall ExtractCall(FairQueue& queue, FairQueue::WaitingIterator it);

/// The team with the lowest position that has work of `queue_class` waiting;
/// null when there is none.
TeamQueue* FirstTeamQueue(const FairQueue& queue, QueueClass queue_class);

/// Takes a blocked team out of the order, or puts it back.
void SetBlocked(FairQueue& queue, TeamQueue& line, bool blocked);

/// Charges the start of one attempt. Returns the slot seconds charged.
double ChargeStart(FairQueue& queue, TeamQueue& line, Instant now);

/// Counts an attempt that another dispatcher started.
void CountExistingStart(TeamQueue& line, Instant now);

/// Replaces the charge of an attempt by its measured slot time.
void SettleCharge(FairQueue& queue, TeamQueue& line, Instant started,
                  double charged, bool measured, Instant now);

/// Charges running work that outlasts its charge, and bounds how far a position
/// may be from the others. `max_lag` is in slot seconds per weight.
void UpdatePosition(FairQueue& queue, TeamQueue& line, double max_lag,
                    Instant now);

/// Turns the weights of the waiting teams towards equal use of the fleet for
/// each unit of the table's weights, or back to the table's weights when no
/// other cell is in use. `TeamLine::fleet_usage` must be current.
void CorrectWeights(FairQueue& queue, bool used_elsewhere);

/// Mean slots that the team used since the last call, and starts an interval.
double MeasureUsage(TeamQueue& line, double interval_s, Instant now);

/// Latest useful start of a call with `remaining` until its deadline: early
/// enough to end within twice the measured run time, but never before half of
/// `remaining` has passed, since the run time may be wrong.
Instant LatestStart(const TeamQueue& line, Duration remaining, Instant now);

/// Time until a call appended now would end, by the measured rate of starts
/// and slot time; zero when nothing waits or nothing is known.
Duration ExpectedWait(const TeamQueue& line, QueueClass queue_class);

/// Calls that wait, of all teams.
inline std::int64_t WaitingCount(const FairQueue& queue) {
  return static_cast<std::int64_t>(queue.by_call.size());
}

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_FAIR_QUEUE_H_
