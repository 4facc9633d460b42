#ifndef HYSSOPBARROW_TESTS_REPLAY_MEASURES_H_
#define HYSSOPBARROW_TESTS_REPLAY_MEASURES_H_

#include <map>
#include <string>

#include "Replay/record.h"

namespace hyssopbarrow {

/// Slots held by each team and slots it was entitled to, in one pool over a
/// time window.
struct ShareWindow {
  Instant end_time;
  std::map<std::string, double> running;  ///< By team, summed over samples.
  std::map<std::string, double> entitled;
};

/// Sums over samples that are taken at equal intervals.
struct Measures {
  double slot_samples = 0;   ///< Slots of serving hosts.
  double idle_samples = 0;   ///< Slots idle while runnable work waited.
  double share_samples = 0;  ///< Pools in which several teams waited.
  double share_distance =
      0;  ///< Sum over those of the misallocated part, 0 to 1.
  std::map<std::string, double> contended_running;  ///< By team, summed over
                                                    ///< those pools.
  std::map<std::string, ShareWindow> windows;       ///< Open ones, by pool.
  double ended_windows = 0;
  double window_distance = 0;     ///< Sum over ended windows.
  double overcommitted_peak = 0;  ///< Most runs above its slots on any host.
  std::map<std::string, double> ceiling_peak;  ///< Highest use, 0 to 1.
};

/// Adds a sample of the state at `now`.
void AddSample(Measures& measures, const Record& record, Instant now);

/// Returns the figures of a whole replay, by name.
///
/// - availability.QUEUE: fraction of the authorized requests that got a
/// worker's
///   answer.
/// - start_p50_ms.QUEUE, start_p99_ms.QUEUE: time from arrival to the start on
/// a
///   worker.
/// - share_distance_5s: fraction of the slot time of a five-second window held
///   by teams beyond their entitlement while several teams wait.
/// - share_distance: the same for the running slots at one sample.
/// - idle_fraction: fraction of the slots that are idle while runnable work
///   waits.
/// - wasted_fraction: fraction of the submissions started on a worker that did
///   not get its answer.
/// - overcommitted_peak: most runs above its slots on any host.
/// - contended_slots.TEAM: mean slots in use in pools where several teams wait.
/// - ceiling_peak.TEAM: highest fraction of the ceiling in use.
std::map<std::string, double> Figures(const Measures& measures,
                                      const Record& record);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_REPLAY_MEASURES_H_
