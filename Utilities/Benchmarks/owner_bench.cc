#include <gflags/gflags.h>

#include <cstdio>
#include <string>

#include "Fleet/fleet_simulation.h"
#include "Model/text.h"

DEFINE_int32(targets, 350, "targets of the fleet");
DEFINE_int32(entries, 3, "entry hosts");
DEFINE_double(jobs_per_s, 60, "jobs of eight short tasks handed in a second");
DEFINE_int32(lasting, 100, "jobs of eight lasting tasks");
DEFINE_int32(seconds, 20, "virtual time under load");
DEFINE_uint64(seed, 1, "seed of the load and of all delays");

namespace hyssopbarrow::fleet {
namespace {

constexpr std::int64_t kWidth = 8;  ///< Tasks of one job.
constexpr Duration kWarmUp = std::chrono::seconds(5);

std::string JobId(int number) {
  std::string digits = std::to_string(number);
  return std::string(16 - digits.size(), '0') + digits;
}

/// Prints what one second of load costs the decision cores.
int Measure() {
  FleetSimulation world(FLAGS_seed, FLAGS_entries, FLAGS_targets);
  int next = 0;
  for (int n = 0; n < FLAGS_lasting; ++n) {
    JobSpec spec = SimpleJob(kWidth, false);
    spec.steps[0].long_running = true;
    spec.steps[0].max_per_target = 1;
    world.Submit(JobId(next++), spec);
  }
  world.Run(kWarmUp);
  const std::int64_t events = world.event_count;
  const Duration spent = world.decision_time;
  const int first = next;
  for (int ms = 0; ms < FLAGS_seconds * 1000; ++ms) {
    const int wanted = static_cast<int>(FLAGS_jobs_per_s * ms / 1000);
    while (next - first < wanted) {
      world.Submit(JobId(next++), SimpleJob(kWidth, false));
    }
    world.Run(std::chrono::milliseconds(1));
  }
  const auto us = static_cast<double>((world.decision_time - spent).count());
  const double starts = static_cast<double>(next - first) * kWidth;
  int completed = 0;
  for (int n = first; n < next; ++n) {
    completed += world.StateOf(JobId(n)) == JobState::kCompleted ? 1 : 0;
  }
  std::printf("targets %d  jobs %d  completed %d  events/s %.0f\n",
              FLAGS_targets, next - first, completed,
              static_cast<double>(world.event_count - events) / FLAGS_seconds);
  std::printf("decisions: %.4f of a core, %.1f us for each start\n",
              us / 1e6 / FLAGS_seconds, us / starts);
  for (const std::string& it : world.violations) {
    std::printf("%s\n", it.c_str());
  }
  return world.violations.empty() ? 0 : 1;
}

}  // namespace
}  // namespace hyssopbarrow::fleet

int main(int argc, char** argv) {
  gflags::SetUsageMessage("cost of the fleet owner's decisions by size");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hyssopbarrow::fleet::Measure();
}
