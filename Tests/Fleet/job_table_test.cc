#include "Policy/job_table.h"

#include <catch2/catch.hpp>

#include "Fleet/world.h"

namespace hyssopbarrow::fleet {
namespace {

constexpr char kId[] = "00000000000000a1";

Job NewJob(const JobSpec& spec) {
  Job job;
  job.record = {.id = kId, .queue = "book", .pool = "desk", .spec = spec};
  job.open[0] = NewOccurrence(spec, {});
  return job;
}

TEST_CASE("a progress row brings back all that a later owner must know") {
  Job job = NewJob(SimpleJob(3, true));
  MarkDone(job, {kId, 0, 0, 1});
  Task* task = FindTask(job, {kId, 0, 0, 2});
  REQUIRE(task != nullptr);
  task->failures = {1, 1001};
  task->checkpoint = "0000abcd";
  task->sent = {{"i-1", 77, 1002}};
  job.state = JobState::kRunning;
  job.has_run = true;

  Job read = NewJob(SimpleJob(3, true));
  const nlohmann::json row = nlohmann::json::parse(ProgressRow(job).dump());
  REQUIRE(ApplyProgress(row, {}, read).ok());
  CHECK(read.state == JobState::kRunning);
  CHECK(read.has_run);
  CHECK(read.open[0].steps[0].done == 1);
  CHECK(FindTask(read, {kId, 0, 0, 1})->done);
  CHECK_FALSE(FindTask(read, {kId, 0, 0, 0})->done);
  const Task* again = FindTask(read, {kId, 0, 0, 2});
  CHECK(again->failures == std::set<std::int64_t>{1, 1001});
  CHECK(again->checkpoint == "0000abcd");
  CHECK(again->sent == std::vector<Sent>{{"i-1", 77, 1002}});
  CHECK(again->last_run == 1002);
}

TEST_CASE("a progress row that cannot be read is an error") {
  const auto row =
      GENERATE(R"({})", R"({"state":"lost"})", R"({"state":7})",
               R"({"state":"running","done":{"0.0":7}})",
               R"({"state":"running","done":{"0.9":"1"}})",
               R"({"state":"running","done":{"0.0":"0000000"}})",
               R"({"state":"running","failures":{"0.0.0":"x"}})",
               R"({"state":"running","saved":{"0.0.0":5}})",
               R"({"state":"running","sent":{"0.0.0":[["i-1"]]}})",
               R"({"state":"running","sent":{"0.7.0":[["i-1",1,1]]}})",
               R"({"state":"running","finished":"all"})");
  Job job = NewJob(SimpleJob(3, true));
  CAPTURE(row);
  CHECK_FALSE(ApplyProgress(nlohmann::json::parse(row), {}, job).ok());
}

TEST_CASE("one end of a gang's member stands for all") {
  JobSpec spec = SimpleJob(4, false);
  spec.steps[0].gang = true;
  Job job = NewJob(spec);
  CHECK(MarkDone(job, {kId, 0, 0, 3}));
  CHECK(job.open[0].steps[0].done == 4);
  CHECK_FALSE(MarkDone(job, {kId, 0, 0, 1}));
  CloseIfComplete(job, 0);
  CHECK(job.state == JobState::kCompleted);
}

TEST_CASE("a repeated job is complete with its last run") {
  JobSpec spec = SimpleJob(1, false);
  spec.repeats = 2;
  Job job = NewJob(spec);
  job.open[1] = NewOccurrence(spec, {});
  MarkDone(job, {kId, 1, 0, 0});
  CloseIfComplete(job, 1);
  CHECK(job.state != JobState::kCompleted);
  MarkDone(job, {kId, 0, 0, 0});
  CloseIfComplete(job, 0);
  CHECK(job.state == JobState::kCompleted);
}

TEST_CASE("a job's record is the same after it was stored") {
  JobSpec spec = SimpleJob(2, true);
  spec.steps[0].data_rack = "r1";
  spec.steps[0].max_per_target = 1;
  spec.steps[1].lasts = true;
  spec.steps[1].may_miss = 1;
  spec.repeats = 3;
  spec.start_ms = 5;
  spec.interval_ms = 7;
  const JobRecord record{.id = kId,
                         .queue = "book",
                         .pool = "desk",
                         .team = "huts",
                         .accepted_ms = 9,
                         .spec = spec};
  const auto read =
      ParseJobRecord(kId, nlohmann::json::parse(ToJson(record).dump()));
  REQUIRE(read.ok());
  CHECK(*read == record);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
