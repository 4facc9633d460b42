#ifndef HYSSOPBARROW_TESTS_REPLAY_MEASURES_H_
#define HYSSOPBARROW_TESTS_REPLAY_MEASURES_H_

#include <map>
#include <string>

#include "Replay/record.h"

namespace hyssopbarrow {

/// Slots in use and due in one pool over a window of time.
struct ShareWindow {
  Instant end_time;
  std::map<std::string, double> running;  ///< By team, summed over samples.
  std::map<std::string, double> entitled;
};

/// Sums over samples that are taken at equal intervals.
struct Measures {
  double slot_samples = 0;    ///< Slots of serving hosts.
  double idle_samples = 0;    ///< Slots idle while runnable work waited.
  double share_samples = 0;   ///< Pools in which several teams waited.
  double share_distance = 0;  ///< Sum over those of the distance, 0 to 1.
  std::map<std::string, double> contended_running;  ///< By team, summed over
                                                    ///< those pools.
  std::map<std::string, ShareWindow> windows;       ///< Open ones, by pool.
  double ended_windows = 0;
  double window_distance = 0;     ///< Sum over ended windows.
  double overcommitted_peak = 0;  ///< Most runs on one host beyond its slots.
  std::map<std::string, double> ceiling_peak;  ///< Highest use, 0 to 1.
};

/// Adds a sample of the moment `now`.
void AddSample(Measures& measures, const Record& record, Instant now);

/// The figures of a whole replay, by name.
///
/// availability.QUEUE: requests with a right that got a worker's answer.
/// start_p50_ms.QUEUE, start_p99_ms.QUEUE: from arrival to the worker's start.
/// share_distance_5s: part of the slot time of five seconds that the wrong team
/// got while several teams waited. share_distance: part of the running slots
/// that the wrong team holds while several teams wait. idle_fraction: slots
/// idle while runnable work waits. wasted_fraction: of the submissions that
/// began at a worker, those without its answer. overcommitted_peak: most runs
/// on one host beyond its slots. contended_slots.TEAM: mean slots in use where
/// several teams wait. ceiling_peak.TEAM: highest part of the ceiling in use.
std::map<std::string, double> Figures(const Measures& measures,
                                      const Record& record);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_REPLAY_MEASURES_H_
