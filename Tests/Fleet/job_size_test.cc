#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "Fleet/owner_fixture.h"
#include "Policy/entry.h"
#include "Policy/owner_runs.h"
#include "Policy/row_sizes.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::seconds;

const std::string kJob = "00000000000000c1";

/// An entry host to which jobs are submitted.
struct SubmitFixture {
  SubmitFixture() {
    entry.configuration.emplace();
    entry.configuration_follower.known_at = Instant(seconds(90));
    entry.configuration->queues.push_back({.name = "book",
                                           .host_name = "jobs.example",
                                           .path_prefix = "/book/",
                                           .pool = "desk",
                                           .open = true,
                                           .max_attempts = 3});
  }

  /// Submits a job and returns the answer, if it is refused at once.
  std::optional<CallReply> Submit(const JobSpec& spec) {
    Effects out;
    OnCall(entry,
           {.number = 1,
            .kind = CallKind::kSubmit,
            .host_name = "jobs.example",
            .path = "/book/" + kJob,
            .spec = spec,
            .time_left = seconds(3)},
           {.now = Instant(seconds(90)), .unix_ms = 90'000}, out);
    for (const Effect& effect : out) {
      const auto* reply = std::get_if<CallReply>(&effect);
      if (reply != nullptr) return *reply;
    }
    return std::nullopt;
  }

  EntryState entry;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Guards against a job that is inserted again and again because the store
// refuses its row, until the call's deadline.
TEST_CASE("a job that the store cannot hold is refused") {
  SubmitFixture fixture;
  JobSpec spec = SimpleJob(1, true);
  std::string field;
  SECTION("steps") {
    field = "field 'steps'";
    spec.steps[1].depends_on.assign(40'000, 0);
  }
  SECTION("payload") {
    field = "field 'payload'";
    // Takes six bytes a character in JSON.
    spec.payload = std::string(4000, '\x01');
    fixture.entry.timing.max_row_bytes = 20'000;
  }
  SECTION("attempts") {
    field = "field 'steps'";
    fixture.entry.configuration->queues[0].max_attempts = 10'000;
  }
  SECTION("a store that takes little") {
    field = "field 'steps'";
    fixture.entry.timing.max_row_bytes = 2000;
  }
  const auto reply = fixture.Submit(spec);
  REQUIRE(reply.has_value());
  CHECK(reply->outcome == CallOutcome::kInvalid);
  CAPTURE(reply->detail);
  CHECK(Contains(reply->detail, field));
}

TEST_CASE("the largest job that callers may submit is accepted") {
  SubmitFixture fixture;
  JobSpec spec = SimpleJob(1000, false);
  spec.payload = std::string(4000, '\x01');
  spec.repeats = 100'000;
  CHECK_FALSE(fixture.Submit(spec).has_value());
  CHECK(fixture.entry.calls.size() == 1);
}

// Guards against an endless retry of an insert that the store refuses.
TEST_CASE("an insert that the store refuses as invalid is answered") {
  SubmitFixture fixture;
  REQUIRE_FALSE(fixture.Submit(SimpleJob(1, false)).has_value());
  const std::int64_t id = fixture.entry.calls.at(1).pending_request;
  Effects out;
  HandleStoreReply(fixture.entry, id, {.status = StoreStatus::kInvalid},
                   {.now = Instant(seconds(90)), .unix_ms = 90'000}, out);
  CHECK(fixture.entry.calls.empty());
}

// Guards against progress that outgrows its row because a target reports a long
// checkpoint.
TEST_CASE("a checkpoint that has no room in a row is dropped") {
  constexpr std::int64_t kPoll = 1000;
  const std::size_t size = kMaxCheckpointBytes + GENERATE(0U, 1U);
  OwnerFixture fixture;
  EntryState entry;
  TargetView& target = fixture.owner.targets["i-1"];
  target.entry = {.id = "i-1", .address = "10.0.0.1:80"};
  Job& job = fixture.AddJob(kJob, 2);
  const TaskName reported = {kJob, 0, 0, 0};
  const TaskName ended = {kJob, 0, 0, 1};
  AddRun(fixture.owner, target, job, reported, 1, fixture.now);
  AddRun(fixture.owner, target, job, ended, 1, fixture.now);
  fixture.owner.pending_target_requests[kPoll] = {
      .kind = TargetRequestKind::kPoll,
      .target = "i-1",
      .sent_at = fixture.now};
  entry.owner = fixture.owner;
  const std::string checkpoint(size, 'c');
  Effects out;
  ForwardTargetReply(
      entry, kPoll,
      {.result = TargetResult::kDone,
       .clock_ms = 1,
       .runs = {{.task = reported, .run = 1, .checkpoint = checkpoint}},
       .ends = {{.number = 1,
                 .task = ended,
                 .run = 1,
                 .kind = RunEndKind::kStopped,
                 .checkpoint = checkpoint}}},
      {.now = fixture.now, .unix_ms = 90'000}, out);
  const std::size_t kept = size <= kMaxCheckpointBytes ? size : 0;
  Job& updated = entry.owner->jobs.at(kJob);
  CHECK(FindTask(updated, ended)->checkpoint.size() == kept);
  const auto& runs = entry.owner->targets.at("i-1").runs;
  REQUIRE(runs.contains(reported));
  CHECK(runs.at(reported).checkpoint.size() == kept);
}

// Guards against failures that outgrow their row because the attempts of a
// queue are raised while it has jobs.
TEST_CASE("a task fails after as many failures as its row has room for") {
  constexpr std::int64_t kPoll = 1000;
  OwnerFixture fixture;
  Configuration configuration;
  configuration.queues.push_back({.name = "book", .max_attempts = 1000});
  fixture.configuration = &configuration;
  TargetView& target = fixture.owner.targets["i-1"];
  target.entry = {.id = "i-1", .address = "10.0.0.1:80"};
  Job& job = fixture.AddJob(kJob);
  const std::int64_t limit = MaxStoredFailures(job.record);
  for (std::int64_t n = 1; n <= limit; ++n) {
    CHECK_FALSE(IsFinal(job.state));
    fixture.owner.pending_target_requests[kPoll] = {
        .kind = TargetRequestKind::kPoll,
        .target = "i-1",
        .sent_at = fixture.now};
    Context context = fixture.MakeContext();
    HandleTargetReply(fixture.owner, kPoll,
                      {.result = TargetResult::kDone,
                       .clock_ms = 1,
                       .ends = {{.number = n,
                                 .task = {kJob, 0, 0, 0},
                                 .run = n,
                                 .kind = RunEndKind::kFailed}}},
                      context);
  }
  CHECK(job.state == JobState::kFailed);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
