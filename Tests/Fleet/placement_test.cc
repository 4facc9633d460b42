#include "Policy/placement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Model/text.h"
#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::seconds;

constexpr const char* kFirstJob = "0000000000000001";
constexpr const char* kSecondJob = "0000000000000002";
const Instant kNow{seconds(90)};

/// An owner of four targets of four cores, two on each of two racks.
struct PlacementFixture {
  PlacementFixture() {
    configuration.pools["desk"] = {.name = "desk"};
    configuration.queues = {{.name = "book",
                             .pool = "desk",
                             .slack_factor = 1,
                             .latency_target_ms = 500}};
    for (int n = 0; n < 4; ++n) {
      const std::string id = StrCat("i-", n);
      TargetView& target = owner.targets[id];
      target.entry = {.id = id,
                      .pool = "desk",
                      .address = "10.0.0.1:80",
                      .host = StrCat("m-", n),
                      .capacity = {.cpu_milli = 4000, .memory_mb = 1000},
                      .labels = {n == 3 ? "b" : "a", StrCat("r", n / 2)}};
      target.synced = true;
      target.clock_ms = 1;
    }
  }

  Job& AddJob(const std::string& id, Step step, Instant accepted = kNow) {
    Job& job = owner.jobs[id];
    job.record = {.id = id, .queue = "book", .pool = "desk", .team = "namche"};
    job.record.spec.steps = {std::move(step)};
    job.accepted_at = accepted;
    job.open_occurrences[0] = NewOccurrence(job.record.spec, accepted);
    owner.active_jobs.insert(id);
    return job;
  }

  void Place() {
    Context context{.time = {.now = kNow, .unix_ms = 90'000},
                    .timing = terms,
                    .configuration = &configuration,
                    .next_id = next_id,
                    .out = out};
    PlaceTasks(owner, context);
  }

  /// Targets of the tasks of a job, one each task that has a run.
  std::vector<std::string> AssignedTargets(const std::string& id) const {
    std::vector<std::string> places;
    for (const Task& it :
         owner.jobs.at(id).open_occurrences.at(0).steps[0].tasks) {
      for (const Assignment& sent : it.assignments)
        places.push_back(sent.target);
    }
    return places;
  }

  Owner owner;
  Configuration configuration;
  TimingSettings terms;
  std::int64_t next_id = 1;
  Effects out;
};

Step MakeStep(std::int64_t count, std::int64_t cpu_milli) {
  return {.count = count,
          .resources = {.cpu_milli = cpu_milli, .memory_mb = 10},
          .estimate_ms = 400};
}

std::set<std::string> Distinct(const std::vector<std::string>& places) {
  return {places.begin(), places.end()};
}

TEST_CASE("tasks fill the fullest target that has room") {
  PlacementFixture desk;
  desk.AddJob(kFirstJob, MakeStep(5, 1000));
  desk.Place();
  CHECK(desk.AssignedTargets(kFirstJob).size() == 5);
  CHECK(Distinct(desk.AssignedTargets(kFirstJob)).size() == 2);
}

TEST_CASE("no target takes more than it has room for") {
  PlacementFixture desk;
  desk.AddJob(kFirstJob, MakeStep(30, 1500));
  desk.Place();
  CHECK(desk.AssignedTargets(kFirstJob).size() == 8);
  for (const auto& [id, target] : desk.owner.targets) {
    CHECK(target.used.cpu_milli <= target.entry.capacity.cpu_milli);
  }
}

TEST_CASE("a label that a step needs binds, a rack near its data draws") {
  PlacementFixture desk;
  Step needs = MakeStep(6, 1000);
  needs.required_label = "b";
  desk.AddJob(kFirstJob, needs);
  desk.Place();
  CHECK(desk.AssignedTargets(kFirstJob) == std::vector<std::string>(4, "i-3"));
  Step near = MakeStep(6, 1000);
  near.data_rack = "r1";
  desk.AddJob(kSecondJob, near);
  desk.Place();
  const std::vector<std::string> places = desk.AssignedTargets(kSecondJob);
  CHECK(places.size() == 6);
  CHECK(std::count(places.begin(), places.end(), "i-2") == 4);
}

TEST_CASE("a target takes no more tasks of a step than its limit") {
  PlacementFixture desk;
  Step step = MakeStep(6, 100);
  step.max_per_target = 1;
  desk.AddJob(kFirstJob, step);
  desk.Place();
  CHECK(desk.AssignedTargets(kFirstJob).size() == 4);
  CHECK(Distinct(desk.AssignedTargets(kFirstJob)).size() == 4);
}

TEST_CASE("lasting tasks are spread over the targets") {
  PlacementFixture desk;
  Step step = MakeStep(4, 100);
  step.long_running = true;
  desk.AddJob(kFirstJob, step);
  desk.Place();
  CHECK(Distinct(desk.AssignedTargets(kFirstJob)).size() == 4);
}

TEST_CASE("a gang starts whole, on one rack if that has room, or not at all") {
  PlacementFixture desk;
  Step step = MakeStep(4, 2000);
  step.gang = true;
  step.same_rack = true;
  SECTION("on one rack") {
    desk.AddJob(kFirstJob, step);
    desk.Place();
    CHECK(Distinct(desk.AssignedTargets(kFirstJob)) ==
          std::set<std::string>{"i-0", "i-1"});
  }
  SECTION("across racks") {
    step.count = 6;
    desk.AddJob(kFirstJob, step);
    desk.Place();
    CHECK(desk.AssignedTargets(kFirstJob).size() == 6);
  }
  SECTION("not at all") {
    step.count = 9;
    desk.AddJob(kFirstJob, step);
    desk.Place();
    CHECK(desk.AssignedTargets(kFirstJob).empty());
  }
}

TEST_CASE("a team stays under its ceiling") {
  PlacementFixture desk;
  desk.configuration.teams = {
      {.name = "namche", .ceiling = {.cpu_milli = 3500}}};
  desk.AddJob(kFirstJob, MakeStep(8, 1000));
  desk.Place();
  CHECK(desk.AssignedTargets(kFirstJob).size() == 3);
  CHECK(desk.owner.team_used["namche"].cpu_milli == 3000);
}

TEST_CASE("work that can be in time goes before work that is late") {
  PlacementFixture desk;
  desk.AddJob(kFirstJob, MakeStep(4, 4000), kNow - seconds(5));
  desk.AddJob(kSecondJob, MakeStep(4, 4000));
  desk.Place();
  CHECK(desk.AssignedTargets(kFirstJob).empty());
  CHECK(desk.AssignedTargets(kSecondJob).size() == 4);
}

TEST_CASE("a task is not tried again where it failed while others have room") {
  PlacementFixture desk;
  Job& job = desk.AddJob(kFirstJob, MakeStep(1, 1000));
  job.open_occurrences[0].steps[0].tasks[0].failed_targets = {"i-0", "i-1",
                                                              "i-2"};
  desk.Place();
  CHECK(desk.AssignedTargets(kFirstJob) == std::vector<std::string>{"i-3"});
}

TEST_CASE("a step that needs approval runs on approved targets only") {
  PlacementFixture desk;
  desk.terms.approvals_enabled = true;
  desk.configuration.queues[0].approval = ApprovalTiming{.valid_ms = 5000};
  desk.AddJob(kFirstJob, MakeStep(2, 1000));
  desk.Place();
  CHECK(desk.AssignedTargets(kFirstJob).empty());
  REQUIRE(desk.out.size() == 1);
  const ApprovalRequest request = std::get<ApprovalRequest>(desk.out[0]);
  CHECK(request.step == StrCat(kFirstJob, ".0.0"));
  CHECK(request.targets.size() == 4);
  Context context{.time = {.now = kNow, .unix_ms = 90'000},
                  .timing = desk.terms,
                  .configuration = &desk.configuration,
                  .next_id = desk.next_id,
                  .out = desk.out};
  REQUIRE(HandleApprovalReply(
      desk.owner, request.id,
      {.answered = true, .tickets = {{"i-2", "ticket"}}, .valid_ms = 5000},
      context));
  desk.Place();
  CHECK(desk.AssignedTargets(kFirstJob) == std::vector<std::string>(2, "i-2"));
}

TEST_CASE("targets that drain, are reserved or not heard get no tasks") {
  PlacementFixture desk;
  desk.owner.targets["i-0"].entry.draining = true;
  desk.owner.targets["i-1"].reserved = true;
  desk.owner.targets["i-2"].unanswered_polls = 1;
  desk.AddJob(kFirstJob, MakeStep(6, 1000));
  desk.Place();
  CHECK(desk.AssignedTargets(kFirstJob) == std::vector<std::string>(4, "i-3"));
}

}  // namespace
}  // namespace hyssopbarrow::fleet
