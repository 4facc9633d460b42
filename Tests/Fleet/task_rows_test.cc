#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "Fleet/owner_fixture.h"
#include "Policy/owner_commits.h"
#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kLargeJob = "00000000000000b1";
const std::string kSmallJob = "00000000000000a1";

/// An owner whose commits the test answers.
struct RowsFixture : OwnerFixture {
  RowsFixture() {
    owner.progress_loaded = owner.jobs_loaded = owner.ready = true;
    owner.target_requests_allowed_until = now + seconds(100);
    owner.jobs_known_at = owner.targets_known_at = now;
    TargetView& target = owner.targets["i-1"];
    target.entry = {
        .id = "i-1", .address = "10.0.0.1:80", .started_unix_ms = 7};
    target.synced = true;
    target.clock = {.clock_ms = 1, .sent_at = now, .received_at = now};
  }

  /// Sends the next commit.
  CommitRows Commit() {
    now += milliseconds(200);
    owner.jobs_known_at = owner.targets_known_at = now;
    out.clear();
    Context context = MakeContext();
    CommitChanges(owner, context, false);
    for (const Effect& effect : out) {
      if (const auto* commit = std::get_if<CommitRows>(&effect)) return *commit;
    }
    return {};
  }

  void Answer(const CommitRows& commit, StoreStatus status) {
    Context context = MakeContext();
    HandleCommitReply(owner, commit.id, {.status = status}, context);
  }

  /// Adds a job of 4,000 tasks in four occurrences, which take 80 rows.
  Job& AddLargeJob() {
    Job& job = AddJob(kLargeJob, 1000);
    job.record.spec.repeats = 4;
    for (std::int64_t n = 0; n < 4; ++n) {
      job.open_occurrences[n] = NewOccurrence(job.record.spec, now);
    }
    return job;
  }

  void PlanAllTasks(Job& job) {
    TargetView& target = owner.targets.at("i-1");
    std::vector<TaskName> names;
    ForEachTask(job,
                [&](const TaskName& name, Task&) { names.push_back(name); });
    for (const TaskName& name : names) {
      AddRun(owner, target, job, name, 1, now);
    }
    MarkJobChanged(owner, job);
  }
};

bool Writes(const CommitRows& commit, const std::string& key) {
  return std::any_of(
      commit.writes.begin(), commit.writes.end(),
      [&key](const auto& write) { return write.first.key == key; });
}

// Guards against runs that start although their row was left for the next
// commit, and against a job that fills all rows of a commit.
TEST_CASE("a job with many rows is stored in several commits") {
  RowsFixture fixture;
  fixture.PlanAllTasks(fixture.AddLargeJob());
  MarkJobChanged(fixture.owner, fixture.AddJob(kSmallJob));
  const CommitRows first = fixture.Commit();
  CHECK(Writes(first, kSmallJob));
  CHECK(Writes(first, kLargeJob + ".0.0"));
  CHECK_FALSE(Writes(first, kLargeJob + ".3.0"));
  CHECK(first.writes.size() <= 80);
  fixture.Answer(first, StoreStatus::kOk);
  const std::int64_t starts = fixture.CountStarts();
  CHECK(starts > 0);
  CHECK(starts < 4000);
  std::int64_t all_starts = starts;
  for (int n = 0; n < 5 && all_starts < 4000; ++n) {
    const CommitRows commit = fixture.Commit();
    CHECK_FALSE(Writes(commit, kLargeJob + ".0.0"));
    fixture.Answer(commit, StoreStatus::kOk);
    all_starts += fixture.CountStarts();
  }
  CHECK(all_starts == 4000);
  CHECK(fixture.Commit().writes.empty());
}

// Guards against rows that a lost reply leaves out of date in the store.
TEST_CASE("the rows of a commit without answer are written again") {
  RowsFixture fixture;
  fixture.PlanAllTasks(fixture.AddLargeJob());
  const CommitRows first = fixture.Commit();
  fixture.Answer(first, StoreStatus::kUnknown);
  const CommitRows second = fixture.Commit();
  CHECK(second.writes.size() == first.writes.size());
  CHECK(Writes(second, kLargeJob + ".0.0"));
}

// Guards against an owner that replaces the row of an earlier version, which
// holds the progress of all tasks, while some are in no other row.
TEST_CASE("a job's row loses its tasks only once they all have rows") {
  RowsFixture fixture;
  Job& job = fixture.AddLargeJob();
  job.tasks_in_job_row = true;
  fixture.PlanAllTasks(job);
  const CommitRows first = fixture.Commit();
  CHECK(Writes(first, kLargeJob + ".0.0"));
  CHECK_FALSE(Writes(first, kLargeJob));
  fixture.Answer(first, StoreStatus::kOk);
  bool written = false;
  for (int n = 0; n < 5 && !written; ++n) {
    const CommitRows commit = fixture.Commit();
    written = Writes(commit, kLargeJob);
    CHECK(written == Writes(commit, kLargeJob + ".3.988"));
    fixture.Answer(commit, StoreStatus::kOk);
  }
  CHECK(written);
  CHECK_FALSE(job.tasks_in_job_row);
}

// Guards against ends that are acknowledged while some of the rows which they
// changed wait for the next commit.
TEST_CASE("an end is acknowledged once all rows of its job are stored") {
  RowsFixture fixture;
  fixture.PlanAllTasks(fixture.AddLargeJob());
  TargetView& target = fixture.owner.targets.at("i-1");
  target.last_end_processed = 1;
  fixture.owner.unstored_ends.push_back(
      {.target = "i-1",
       .started_unix_ms = 7,
       .number = 1,
       .changes_end = fixture.owner.changed_jobs.EndPosition()});
  fixture.Answer(fixture.Commit(), StoreStatus::kOk);
  CHECK(target.last_end_stored == 0);
  while (!fixture.owner.changed_jobs.empty()) {
    fixture.Answer(fixture.Commit(), StoreStatus::kOk);
  }
  CHECK(target.last_end_stored == 1);
}

// Guards against rows that stay in the store after their job.
TEST_CASE("the rows of tasks are deleted once their job is final") {
  RowsFixture fixture;
  Job& job = fixture.AddLargeJob();
  fixture.PlanAllTasks(job);
  while (!fixture.owner.changed_jobs.empty()) {
    fixture.Answer(fixture.Commit(), StoreStatus::kOk);
  }
  CHECK(job.task_rows.size() == 80);
  Context context = fixture.MakeContext();
  FinishJob(fixture.owner, job, JobState::kCancelled, "test", context);
  while (!fixture.owner.changed_jobs.empty()) {
    fixture.Answer(fixture.Commit(), StoreStatus::kOk);
  }
  CHECK(job.task_rows.empty());
  CHECK(job.final_state_stored);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
