#include "Policy/row_sizes.h"

#include <catch2/catch.hpp>
#include <limits>
#include <string>

#include "Fleet/fleet_simulation.h"
#include "Model/cbor.h"
#include "Policy/progress_rows.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kMaxRowBytes = 65'536;
/// Of a store that takes little, so that few tasks exceed it.
constexpr std::size_t kSmallRowBytes = 16'384;
constexpr std::int64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();
/// The store's limit on the keys of targets.
constexpr std::size_t kMaxTargetIdBytes = 200;
const std::string kLargeJob = "00000000000000b1";
const std::string kSmallJob = "00000000000000a1";

/// A timed job whose occurrences overlap: each lasts longer than `interval`.
JobSpec OverlappingJob(std::int64_t repeats, std::int64_t tasks,
                       std::int64_t start_ms, Duration interval) {
  JobSpec spec = SimpleJob(tasks, false);
  spec.steps[0].resources = {.cpu_milli = 5, .memory_mb = 1};
  spec.repeats = repeats;
  spec.start_ms = start_ms;
  spec.interval_ms = std::chrono::duration_cast<milliseconds>(interval).count();
  return spec;
}

/// Runs the tasks of ten occurrences of a timed job at a time, whose progress
/// takes more than `kSmallRowBytes`.
struct OverlapSimulation : FleetSimulation {
  static constexpr std::int64_t kOccurrences = 10;
  static constexpr std::int64_t kTasks = 100;

  OverlapSimulation()
      : FleetSimulation(7, 3, 4, {.max_row_bytes = kSmallRowBytes}) {
    task_duration = seconds(12);
    Run(seconds(3));
    Submit(kLargeJob,
           OverlappingJob(kOccurrences, kTasks, UnixMs(), milliseconds(300)));
    Run(seconds(4));
  }

  /// Size of the progress of all tasks of the timed job.
  std::size_t ProgressSize() const {
    const EntryState& host = entry(OwnerIndex());
    return CborSize(ProgressRow(host.owner->jobs.at(kLargeJob)));
  }

  bool HasStartedSmallJob() {
    Submit(kSmallJob, SimpleJob(1, false));
    Run(seconds(2));
    return StartsOf({kSmallJob, 0, 0, 0}) > 0;
  }

  bool RunsEachTaskOnce() const {
    for (std::int64_t occurrence = 0; occurrence < kOccurrences; ++occurrence) {
      for (std::int64_t task = 0; task < kTasks; ++task) {
        if (StartsOf({kLargeJob, occurrence, 0, task}) != 1) return false;
      }
    }
    return true;
  }
};

// Guards against a progress row that grows with the open occurrences of a timed
// job until the store refuses it, and with it all starts and ends of the fleet.
TEST_CASE("a timed job with overlapping occurrences holds up no other job") {
  OverlapSimulation simulation;
  REQUIRE(simulation.ProgressSize() > kSmallRowBytes);
  CHECK(simulation.HasStartedSmallJob());
  CHECK(simulation.store().largest_row_bytes() <= kSmallRowBytes);
  simulation.Run(seconds(25));
  CHECK(simulation.StateOf(kLargeJob) == JobState::kCompleted);
  CHECK(simulation.RunsEachTaskOnce());
  CHECK(simulation.UnfinishedTasksOfCompletedJobs().empty());
  CHECK(simulation.violations == std::vector<std::string>{});
}

// Guards against a new owner that starts tasks again because it does not find
// their progress in the rows of an overlapping timed job.
TEST_CASE("a new owner keeps the tasks of overlapping occurrences") {
  OverlapSimulation simulation;
  const int owner = simulation.OwnerIndex();
  REQUIRE(owner >= 0);
  SECTION("the owner is killed while nothing changes") {
    simulation.KillEntry(owner);
  }
  SECTION("the owner is killed while tasks end") {
    simulation.Run(seconds(6));
    simulation.KillEntry(owner);
  }
  simulation.Run(seconds(4));
  CHECK(simulation.HasStartedSmallJob());
  simulation.Run(seconds(25));
  CHECK(simulation.StateOf(kLargeJob) == JobState::kCompleted);
  CHECK(simulation.RunsEachTaskOnce());
  CHECK(simulation.violations == std::vector<std::string>{});
}

// Guards against owners that are killed between the commits of one job.
TEST_CASE("a new owner completes an overlapping job whenever the last died") {
  const int delay_ms = GENERATE(310, 620, 925, 1240, 1555);
  CAPTURE(delay_ms);
  FleetSimulation simulation(static_cast<std::uint64_t>(delay_ms), 3, 4,
                             {.max_row_bytes = kSmallRowBytes});
  simulation.task_duration = seconds(2);
  simulation.Run(seconds(3));
  simulation.Submit(kLargeJob, OverlappingJob(8, 200, simulation.UnixMs(),
                                              milliseconds(300)));
  simulation.Run(milliseconds(delay_ms));
  simulation.KillEntry(simulation.OwnerIndex());
  simulation.Run(seconds(20));
  CHECK(simulation.StateOf(kLargeJob) == JobState::kCompleted);
  CHECK(simulation.UnfinishedTasksOfCompletedJobs().empty());
  CHECK(simulation.violations == std::vector<std::string>{});
}

Job NewJob(const JobSpec& spec, std::int64_t occurrences) {
  Job job;
  job.record = {.id = kLargeJob, .queue = "book", .pool = "desk", .spec = spec};
  job.state = JobState::kRunning;
  for (std::int64_t n = 0; n < occurrences; ++n) {
    job.open_occurrences[n] = NewOccurrence(spec, {});
  }
  return job;
}

/// Gives a task the largest progress that it can have.
void FillTask(const JobRecord& record, Task& task) {
  for (std::int64_t n = 0; n < 2; ++n) {
    task.assignments.push_back({.target = std::string(kMaxTargetIdBytes, 'i'),
                                .started_unix_ms = kMaxNumber,
                                .run = kMaxNumber - n});
  }
  for (std::int64_t n = 0; n < MaxStoredFailures(record); ++n) {
    task.failed_runs.insert(kMaxNumber - n);
  }
  for (std::int64_t n = 0; n < 4; ++n) {
    task.crashed_runs[kMaxNumber - n] = CrashEvidence::kCertain;
  }
  task.checkpoint = std::string(kMaxCheckpointBytes, 'c');
}

/// The rows of a job after its id, as they are stored.
std::map<std::string, nlohmann::json> RowsOf(const Job& job) {
  const std::int64_t tasks_per_row = TasksPerRow(job.record, kMaxRowBytes);
  const TaskRowChanges changes = FindTaskRowChanges(job, tasks_per_row);
  std::map<std::string, nlohmann::json> rows;
  rows[""] = ProgressRow(job, !changes.split);
  for (const auto& [tasks, digest] : changes.written) {
    rows[TaskRowSuffix(tasks)] = TaskRow(job, tasks, tasks_per_row);
  }
  return rows;
}

// Guards against a limit on the tasks of a row that its worst case exceeds.
TEST_CASE("the largest progress of a job fits into its rows") {
  const std::int64_t tasks = GENERATE(1, 52, 53, 1000);
  const std::int64_t attempts = GENERATE(1, 3, 100);
  JobSpec spec = SimpleJob(1, false);
  spec.steps.assign(tasks == 1000 ? 100 : 1, spec.steps[0]);
  for (Step& step : spec.steps) {
    step.count = tasks / static_cast<std::int64_t>(spec.steps.size());
  }
  spec.repeats = 100'000;
  Job job = NewJob(spec, 0);
  job.record.max_attempts = attempts;
  // Every second one is open, which makes the most ranges.
  for (std::int64_t n = 0; n < 64; ++n) {
    job.open_occurrences[99'872 + 2 * n] = NewOccurrence(spec, {});
  }
  for (std::int64_t n = 0; n < 100'000; ++n) {
    if (job.open_occurrences.count(n) == 0) job.finished_occurrences.insert(n);
  }
  ForEachTask(job,
              [&](const TaskName&, Task& task) { FillTask(job.record, task); });
  for (const auto& [suffix, row] : RowsOf(job)) {
    CAPTURE(suffix);
    CHECK(ToCbor(row).size() <= kMaxRowBytes);
    CHECK(CborSize(row) == ToCbor(row).size());
  }
}

// Guards against a list of finished occurrences that grows without bound.
TEST_CASE("finished occurrences are stored as ranges") {
  JobSpec spec = SimpleJob(1, false);
  spec.repeats = 100'000;
  Job job = NewJob(spec, 0);
  for (std::int64_t n = 0; n < 99'999; ++n) {
    if (n != 7) job.finished_occurrences.insert(n);
  }
  const nlohmann::json row = ProgressRow(job);
  CHECK(ToCbor(row).size() < 100);
  Job restored = NewJob(spec, 0);
  REQUIRE(ApplyProgress(row, {}, restored).ok());
  CHECK(restored.finished_occurrences == job.finished_occurrences);
}

// Guards against rows of earlier versions that can no longer be read.
TEST_CASE("finished occurrences in a list of numbers are restored") {
  JobSpec spec = SimpleJob(1, false);
  spec.repeats = 5;
  Job restored = NewJob(spec, 0);
  const nlohmann::json row = {{"state", "running"}, {"finished", {0, 1, 3}}};
  REQUIRE(ApplyProgress(row, {}, restored).ok());
  CHECK(restored.finished_occurrences == std::set<std::int64_t>{0, 1, 3});
}

TEST_CASE("the rows of tasks restore the state that a later owner needs") {
  JobSpec spec = SimpleJob(100, true);
  spec.repeats = 2;
  Job job = NewJob(spec, 2);
  MarkTaskDone(job, {kLargeJob, 1, 0, 99});
  Task* task = FindTask(job, {kLargeJob, 1, 1, 2});
  REQUIRE(task != nullptr);
  task->failed_runs = {1, 1001};
  task->crashed_runs = {{3, CrashEvidence::kUnconfirmed}};
  task->checkpoint = "0000abcd";
  task->assignments = {{"i-1", 77, 1002}};
  Job restored = NewJob(spec, 0);
  for (const auto& [suffix, row] : RowsOf(job)) {
    const auto tasks = ParseTaskRowSuffix(suffix);
    if (!tasks.has_value()) {
      REQUIRE(ApplyProgress(row, {}, restored).ok());
    } else {
      REQUIRE(ApplyTaskRow(*tasks, row, {}, restored).ok());
    }
  }
  FinishRestoring(restored);
  CHECK(restored.open_occurrences[1].steps[0].done_tasks == 1);
  CHECK(FindTask(restored, {kLargeJob, 1, 0, 99})->done);
  const Task* restored_task = FindTask(restored, {kLargeJob, 1, 1, 2});
  REQUIRE(restored_task != nullptr);
  CHECK(restored_task->failed_runs == task->failed_runs);
  CHECK(restored_task->crashed_runs == task->crashed_runs);
  CHECK(restored_task->checkpoint == "0000abcd");
  CHECK(restored_task->assignments == task->assignments);
  CHECK(restored_task->last_run == 1002);
  // Nothing that is in the store is written again.
  const TaskRowChanges changes =
      FindTaskRowChanges(restored, TasksPerRow(restored.record, kMaxRowBytes));
  CHECK(changes.written.empty());
  CHECK(changes.removed.empty());
}

TEST_CASE("an invalid row of tasks is an error") {
  const auto row =
      GENERATE(R"({})", R"({"end":"x"})", R"({"end":9,"done":{"0.0":7}})",
               R"({"end":9,"sent":{"0.7.0":[["i-1",1,1]]}})");
  CAPTURE(row);
  Job job = NewJob(SimpleJob(3, false), 0);
  CHECK_FALSE(ApplyTaskRow({}, nlohmann::json::parse(row), {}, job).ok());
}

// Guards against rows of tasks that bring back an occurrence which is finished.
TEST_CASE("rows of tasks in finished occurrences are only removed") {
  JobSpec spec = SimpleJob(100, false);
  spec.repeats = 3;
  Job job = NewJob(spec, 0);
  job.finished_occurrences = {0};
  const nlohmann::json row = {{"end", 52}, {"done", {{"0.0", "1"}}}};
  REQUIRE(ApplyTaskRow({}, row, {}, job).ok());
  FinishRestoring(job);
  CHECK(job.open_occurrences.empty());
  CHECK(FindTaskRowChanges(job, 52).removed == std::vector<TaskRange>{{}});
}

// Guards against the restart of members of a gang whose end was stored with
// only some of its rows.
TEST_CASE("a gang with a done member is restored as done") {
  JobSpec spec = SimpleJob(100, true);
  spec.steps[0].gang = true;
  Job job = NewJob(spec, 0);
  const nlohmann::json row = {{"end", 52}, {"done", {{"0.0", "1"}}}};
  REQUIRE(ApplyTaskRow({}, row, {}, job).ok());
  FinishRestoring(job);
  CHECK(job.open_occurrences[0].steps[0].done_tasks == 100);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
