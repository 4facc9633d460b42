#include <gflags/gflags.h>

#include <cstdio>
#include <string>

#include "Fleet/fleet_simulation.h"
#include "Model/text.h"

DEFINE_int32(targets, 350, "targets of the fleet");
DEFINE_int32(entries, 3, "entry hosts");
DEFINE_double(jobs_per_s, 60, "jobs of eight short tasks submitted per second");
DEFINE_int32(lasting, 100, "jobs of eight long-running tasks");
DEFINE_int32(seconds, 20, "virtual time under load");
DEFINE_uint64(seed, 1, "seed of the load and of all delays");

namespace hyssopbarrow::fleet {
namespace {

constexpr std::int64_t kTasksPerJob = 8;
constexpr Duration kWarmUp = std::chrono::seconds(5);

std::string JobId(int number) {
  std::string digits = std::to_string(number);
  return std::string(16 - digits.size(), '0') + digits;
}

/// Prints the processor time that the owner's decisions take under load.
/// Returns 1 if the simulation found a violation.
int Measure() {
  FleetSimulation fleet(FLAGS_seed, FLAGS_entries, FLAGS_targets);
  int next = 0;
  for (int n = 0; n < FLAGS_lasting; ++n) {
    JobSpec spec = SimpleJob(kTasksPerJob, false);
    spec.steps[0].long_running = true;
    spec.steps[0].max_per_target = 1;
    fleet.Submit(JobId(next++), spec);
  }
  fleet.Run(kWarmUp);
  const std::int64_t events_before = fleet.event_count;
  const Duration time_before = fleet.decision_time;
  const int first = next;
  for (int ms = 0; ms < FLAGS_seconds * 1000; ++ms) {
    const int due = static_cast<int>(FLAGS_jobs_per_s * ms / 1000);
    while (next - first < due) {
      fleet.Submit(JobId(next++), SimpleJob(kTasksPerJob, false));
    }
    fleet.Run(std::chrono::milliseconds(1));
  }
  const auto us =
      static_cast<double>((fleet.decision_time - time_before).count());
  const double starts = static_cast<double>(next - first) * kTasksPerJob;
  int completed = 0;
  for (int n = first; n < next; ++n) {
    completed += fleet.StateOf(JobId(n)) == JobState::kCompleted ? 1 : 0;
  }
  std::printf(
      "targets %d  jobs %d  completed %d  events/s %.0f\n", FLAGS_targets,
      next - first, completed,
      static_cast<double>(fleet.event_count - events_before) / FLAGS_seconds);
  std::printf("decisions: %.4f of a core, %.1f us for each start\n",
              us / 1e6 / FLAGS_seconds, us / starts);
  for (const std::string& violation : fleet.violations) {
    std::printf("%s\n", violation.c_str());
  }
  return fleet.violations.empty() ? 0 : 1;
}

}  // namespace
}  // namespace hyssopbarrow::fleet

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures the cost of the fleet owner's decisions");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hyssopbarrow::fleet::Measure();
}
