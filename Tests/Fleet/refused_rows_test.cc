#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "Fleet/fleet_metrics.h"
#include "Fleet/fleet_simulation.h"
#include "Fleet/owner_fixture.h"
#include "Policy/owner_commits.h"
#include "Policy/owner_runs.h"
#include "Standalone/row_store.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// More jobs than rows in a commit.
constexpr int kManyJobs = 100;
constexpr int kMaxRefusals = 20;
const std::string kRefusedJob = "7777777777777777";

/// An owner whose commits go to a store, which refuses some rows.
struct RefusingStore : OwnerFixture {
  RefusingStore() {
    owner.progress_loaded = owner.jobs_loaded = true;
    owner.target_requests_allowed_until = now + seconds(100);
    owner.epoch_revision = owner.commit_revision = 0;
  }

  static std::string JobId(int n) {
    return std::to_string(7'700'000'000'000'000 + n * 10'000'000'000'000);
  }

  void ChangeMany() {
    for (int n = 0; n < kManyJobs; ++n) {
      MarkJobChanged(owner, AddJob(JobId(n)));
    }
    MarkJobChanged(owner, AddJob(kRefusedJob));
  }

  /// Lets the next commit take effect unless it has a row that is refused.
  /// Returns false if there is none.
  bool CommitOnce() {
    now += milliseconds(100);
    const std::size_t before = out.size();
    Context context = MakeContext();
    CommitChanges(owner, context, false);
    for (std::size_t n = before; n < out.size(); ++n) {
      const auto* commit = std::get_if<CommitRows>(&out[n]);
      if (commit == nullptr) continue;
      CommitRows request = *commit;
      request.conditions.clear();
      StoreRows reply;
      const bool refused = std::any_of(
          request.writes.begin(), request.writes.end(),
          [this](const auto& write) { return write.first.key == refused_key; });
      reply.status = StoreStatus::kInvalid;
      if (!refused) reply = store.Commit(request);
      if (reply.status == StoreStatus::kInvalid) ++refusals;
      HandleCommitReply(owner, request.id, reply, context);
      return true;
    }
    return false;
  }

  bool IsStored(const std::string& key) const {
    return store.Find({Table::kProgress, key}) != nullptr;
  }

  int CountStored() const {
    int count = 0;
    for (int n = 0; n < kManyJobs; ++n) count += IsStored(JobId(n)) ? 1 : 0;
    return count;
  }

  /// The log lines of rows that are refused.
  std::vector<LogLine> RefusedRows() const {
    std::vector<LogLine> lines;
    for (const Effect& effect : out) {
      const auto* line = std::get_if<LogLine>(&effect);
      if (line != nullptr && line->event == "row_refused") {
        lines.push_back(*line);
      }
    }
    return lines;
  }

  RowStore store;
  std::string refused_key = kRefusedJob;
  int refusals = 0;
};

// Guards against a refused commit that the owner sends again for ever, while no
// task of any job starts.
TEST_CASE("a row that the store refuses holds up no other job") {
  RefusingStore fixture;
  fixture.ChangeMany();
  while (fixture.CommitOnce() && fixture.refusals < kMaxRefusals) {
  }
  CHECK(fixture.CountStored() == kManyJobs);
  CHECK_FALSE(fixture.IsStored(kRefusedJob));
  CHECK(fixture.refusals < kMaxRefusals);
  const std::vector<LogLine> lines = fixture.RefusedRows();
  REQUIRE(lines.size() == 1);
  using Field = std::pair<std::string, std::string>;
  CHECK(lines[0].fields[0] == Field{"key", kRefusedJob});
  CHECK(lines[0].fields[1].first == "bytes");
  CHECK(std::stoi(lines[0].fields[1].second) > 0);
}

TEST_CASE("refused rows are counted in the metrics") {
  RefusingStore fixture;
  fixture.ChangeMany();
  while (fixture.CommitOnce() && fixture.refusals < kMaxRefusals) {
  }
  EntryState entry;
  entry.owner = fixture.owner;
  const std::string text = FormatMetrics({}, entry, fixture.now);
  CHECK(text.find("hyssopbarrow_rows_refused_total 1\n") != std::string::npos);
  CHECK(text.find("hyssopbarrow_jobs_isolated 1\n") != std::string::npos);
}

// Guards against a job that is never stored again after one refusal.
TEST_CASE("an isolated job is tried again and stored once that succeeds") {
  RefusingStore fixture;
  fixture.ChangeMany();
  while (fixture.CommitOnce() && fixture.refusals < kMaxRefusals) {
  }
  fixture.now += seconds(3);
  CHECK(fixture.CommitOnce());
  CHECK_FALSE(fixture.IsStored(kRefusedJob));
  fixture.refused_key.clear();
  fixture.now += seconds(3);
  CHECK(fixture.CommitOnce());
  CHECK(fixture.IsStored(kRefusedJob));
  CHECK(fixture.owner.isolated_jobs.empty());
}

// Guards against an end that is acknowledged although the row of its job is
// refused, and against ends that are not because of a job elsewhere.
TEST_CASE("an end in an isolated job is not acknowledged, nor later ones") {
  RefusingStore fixture;
  fixture.ChangeMany();
  const auto add_end = [&fixture](const std::string& target,
                                  std::int64_t number, const std::string& job) {
    fixture.owner.targets[target].entry.id = target;
    fixture.owner.unstored_ends.push_back(
        {.target = target,
         .number = number,
         .changes_end = fixture.owner.changed_jobs.EndPosition(),
         .job = job});
  };
  add_end("i-1", 1, RefusingStore::JobId(1));
  add_end("i-1", 2, kRefusedJob);
  add_end("i-1", 3, RefusingStore::JobId(2));
  add_end("i-2", 1, RefusingStore::JobId(3));
  while (fixture.CommitOnce() && fixture.refusals < kMaxRefusals) {
  }
  CHECK(fixture.owner.targets.at("i-1").last_end_stored == 1);
  CHECK(fixture.owner.targets.at("i-2").last_end_stored == 1);
  fixture.refused_key.clear();
  fixture.now += seconds(3);
  while (fixture.CommitOnce()) {
  }
  CHECK(fixture.owner.targets.at("i-1").last_end_stored == 3);
}

// Guards against rows that are sent although the store is known to refuse them.
TEST_CASE("a row larger than the store takes is not sent") {
  RefusingStore fixture;
  fixture.refused_key.clear();
  fixture.timing.max_row_bytes = 300;
  fixture.ChangeMany();
  Job& job = fixture.owner.jobs.at(kRefusedJob);
  FindTask(job, {kRefusedJob, 0, 0, 0})->checkpoint = std::string(300, 'c');
  while (fixture.CommitOnce()) {
  }
  CHECK(fixture.CountStored() == kManyJobs);
  CHECK_FALSE(fixture.IsStored(kRefusedJob));
  CHECK(fixture.refusals == 0);
  CHECK(fixture.RefusedRows().size() == 1);
  CHECK(fixture.owner.isolated_jobs.count(kRefusedJob) == 1);
}

// Guards against progress rows of waves that hold up all starts.
TEST_CASE("a row of a wave that the store refuses holds up no job") {
  RefusingStore fixture;
  fixture.refused_key = "wave/3";
  fixture.ChangeMany();
  WaveView& wave = fixture.owner.host_manager.waves[3];
  wave.wave.number = 3;
  while (fixture.CommitOnce() && fixture.refusals < kMaxRefusals) {
  }
  CHECK(fixture.CountStored() == kManyJobs);
  CHECK(fixture.IsStored(kRefusedJob));
  CHECK(fixture.refusals < kMaxRefusals);
  CHECK(fixture.RefusedRows().size() == 1);
}

// Guards against commits that the store refuses for their size although each
// of their rows fits.
TEST_CASE("a commit of large rows fits into a call") {
  constexpr std::int64_t kTasks = 50;
  RefusingStore fixture;
  fixture.refused_key.clear();
  for (int n = 0; n < kManyJobs; ++n) {
    Job& job = fixture.AddJob(RefusingStore::JobId(n), kTasks);
    ForEachTask(job, [](const TaskName&, Task& task) {
      task.checkpoint = std::string(500, 'c');
    });
    MarkJobChanged(fixture.owner, job);
  }
  while (fixture.CommitOnce() && fixture.refusals < kMaxRefusals) {
  }
  CHECK(fixture.refusals == 0);
  CHECK(fixture.store.largest_row_bytes() > 20'000);
  CHECK(fixture.CountStored() == kManyJobs);
}

// Guards against a fleet that stops because the store takes less than its
// settings say.
TEST_CASE("a fleet whose store refuses the rows of a job runs the others") {
  FleetSimulation simulation(11, 3, 4);
  simulation.LimitStore({.max_row_bytes = 1000});
  simulation.task_duration = seconds(5);
  simulation.Run(seconds(3));
  JobSpec large = SimpleJob(50, false);
  large.steps[0].resources = {.cpu_milli = 5, .memory_mb = 1};
  simulation.Submit(kRefusedJob, large);
  simulation.Run(seconds(2));
  for (int n = 0; n < 5; ++n) {
    const std::string id = RefusingStore::JobId(n);
    simulation.Submit(id, SimpleJob(1, false));
    simulation.Run(seconds(1));
    CHECK(simulation.StartsOf({id, 0, 0, 0}) == 1);
  }
  CHECK(simulation.violations == std::vector<std::string>{});
}

}  // namespace
}  // namespace hyssopbarrow::fleet
