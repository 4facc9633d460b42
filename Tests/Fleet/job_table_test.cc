#include "Policy/job_table.h"

#include <catch2/catch.hpp>

#include "Fleet/fleet_simulation.h"
#include "Policy/progress_rows.h"

namespace hyssopbarrow::fleet {
namespace {

constexpr char kId[] = "00000000000000a1";

Job NewJob(const JobSpec& spec) {
  Job job;
  job.record = {.id = kId, .queue = "book", .pool = "desk", .spec = spec};
  job.open_occurrences[0] = NewOccurrence(spec, {});
  return job;
}

TEST_CASE("a progress row restores the state that a later owner needs") {
  Job job = NewJob(SimpleJob(3, true));
  MarkTaskDone(job, {kId, 0, 0, 1});
  Task* task = FindTask(job, {kId, 0, 0, 2});
  REQUIRE(task != nullptr);
  task->failed_runs = {1, 1001};
  task->crashed_runs = {{3, CrashEvidence::kUnconfirmed},
                        {1002, CrashEvidence::kCertain}};
  task->checkpoint = "0000abcd";
  task->assignments = {{"i-1", 77, 1002}, {"i-2", 78, 1001, "10.0.0.2:80"}};
  job.state = JobState::kRunning;
  job.has_run = true;

  Job restored = NewJob(SimpleJob(3, true));
  const nlohmann::json row = nlohmann::json::parse(ProgressRow(job).dump());
  REQUIRE(ApplyProgress(row, {}, restored).ok());
  CHECK(restored.state == JobState::kRunning);
  CHECK(restored.has_run);
  CHECK(restored.open_occurrences[0].steps[0].done_tasks == 1);
  CHECK(FindTask(restored, {kId, 0, 0, 1})->done);
  CHECK_FALSE(FindTask(restored, {kId, 0, 0, 0})->done);
  const Task* restored_task = FindTask(restored, {kId, 0, 0, 2});
  CHECK(restored_task->failed_runs == std::set<std::int64_t>{1, 1001});
  CHECK(restored_task->crashed_runs == task->crashed_runs);
  CHECK(restored_task->checkpoint == "0000abcd");
  CHECK(restored_task->assignments ==
        std::vector<Assignment>{{"i-1", 77, 1002},
                                {"i-2", 78, 1001, "10.0.0.2:80"}});
  CHECK(restored_task->last_run == 1002);
}

TEST_CASE("an invalid progress row is an error") {
  const auto row =
      GENERATE(R"({})", R"({"state":"lost"})", R"({"state":7})",
               R"({"state":"running","done":{"0.0":7}})",
               R"({"state":"running","done":{"0.9":"1"}})",
               R"({"state":"running","done":{"0.0":"0000000"}})",
               R"({"state":"running","failures":{"0.0.0":"x"}})",
               R"({"state":"running","crashes":{"0.0.0":[[1]]}})",
               R"({"state":"running","saved":{"0.0.0":5}})",
               R"({"state":"running","sent":{"0.0.0":[["i-1"]]}})",
               R"({"state":"running","sent":{"0.7.0":[["i-1",1,1]]}})",
               R"({"state":"running","finished":"all"})");
  Job job = NewJob(SimpleJob(3, true));
  CAPTURE(row);
  CHECK_FALSE(ApplyProgress(nlohmann::json::parse(row), {}, job).ok());
}

TEST_CASE("the end of one gang member counts for all members") {
  JobSpec spec = SimpleJob(4, false);
  spec.steps[0].gang = true;
  Job job = NewJob(spec);
  CHECK(MarkTaskDone(job, {kId, 0, 0, 3}));
  CHECK(job.open_occurrences[0].steps[0].done_tasks == 4);
  CHECK_FALSE(MarkTaskDone(job, {kId, 0, 0, 1}));
  CloseOccurrenceIfComplete(job, 0);
  CHECK(job.state == JobState::kCompleted);
}

TEST_CASE("a repeated job is complete after its last occurrence") {
  JobSpec spec = SimpleJob(1, false);
  spec.repeats = 2;
  Job job = NewJob(spec);
  job.open_occurrences[1] = NewOccurrence(spec, {});
  MarkTaskDone(job, {kId, 1, 0, 0});
  CloseOccurrenceIfComplete(job, 1);
  CHECK(job.state != JobState::kCompleted);
  MarkTaskDone(job, {kId, 0, 0, 0});
  CloseOccurrenceIfComplete(job, 0);
  CHECK(job.state == JobState::kCompleted);
}

TEST_CASE("a job record is unchanged after it is stored and loaded") {
  JobSpec spec = SimpleJob(2, true);
  spec.steps[0].data_rack = "r1";
  spec.steps[0].max_per_target = 1;
  spec.steps[1].long_running = true;
  spec.steps[1].max_unavailable_tasks = 1;
  spec.repeats = 3;
  spec.start_ms = 5;
  spec.interval_ms = 7;
  const JobRecord record{.id = kId,
                         .queue = "book",
                         .pool = "desk",
                         .team = "huts",
                         .accepted_ms = 9,
                         .spec = spec};
  const auto restored =
      ParseJobRecord(kId, nlohmann::json::parse(ToJson(record).dump()));
  REQUIRE(restored.ok());
  CHECK(*restored == record);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
