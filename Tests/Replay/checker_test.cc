#include "Replay/checker.h"

#include <catch2/catch.hpp>
#include <utility>

namespace hyssopbarrow {
namespace {

Instant At(std::int64_t ms) { return Instant(std::chrono::milliseconds(ms)); }

Snapshot SmallTable() {
  Snapshot table{.revision = 1};
  table.teams["namche"] = {.name = "namche", .ceiling = 2};
  table.pools["booking"] = {.name = "booking"};
  table.pools["repairs"] = {.name = "repairs"};
  table.queues["book"] = {.name = "book", .pool = "booking"};
  table.queues["repair"] = {.name = "repair", .pool = "repairs"};
  table.hosts["h1"] = {
      .name = "h1", .pool = "booking", .address = "10.0.0.1:80"};
  table.keys["desk"] = {.name = "desk", .team = "namche"};
  return table;
}

/// A checker with one entry host that has been in reach for a minute.
struct CheckerFixture {
  CheckerFixture() {
    checker.RecordTableCommit(table, At(0));
    checker.RecordEntryStart("e1", "namche", At(0));
    checker.RecordAdoption("e1", table, At(100));
  }

  std::size_t Submit(bool unrepeatable = true) {
    const std::size_t request =
        checker.AddRequest({.queue = "book",
                            .team = "namche",
                            .key = "desk",
                            .unrepeatable = unrepeatable});
    return Resubmit(request);
  }

  std::size_t Resubmit(std::size_t request) {
    return checker.AddSubmission({.request = request,
                                  .entry = "e1",
                                  .arrived = At(now),
                                  .deadline = At(now + 1000)});
  }

  std::int64_t StartRun(std::size_t submission,
                        const std::string& host = "h1") {
    checker.RecordRunStart(++runs, {submission, host}, At(now));
    return runs;
  }

  void Answer(std::size_t submission, Outcome outcome,
              Reason reason = Reason::kNone, bool own = true) {
    checker.RecordAnswer({submission, outcome, reason, own}, At(now));
  }

  void Commit(const Snapshot& snapshot) {
    table = snapshot;
    ++table.revision;
    checker.RecordTableCommit(table, At(now));
  }

  std::int64_t CountOf(const std::string& guarantee) const {
    const Violation* violation = Find(checker.violations(), guarantee);
    return violation == nullptr ? 0 : violation->count;
  }

  Checker checker;
  Snapshot table = SmallTable();
  std::int64_t now = 60'000;
  std::int64_t runs = 0;
};

TEST_CASE("A run in which every guarantee holds has no violation") {
  CheckerFixture fixture;
  const std::size_t n = fixture.Submit();
  const std::int64_t run = fixture.StartRun(n);
  fixture.checker.RecordRunEnd(run);
  fixture.Answer(n, Outcome::kAnswered);
  fixture.checker.Observe(At(fixture.now));
  fixture.checker.Finish(At(fixture.now));
  CHECK(fixture.checker.violations().empty());
}

TEST_CASE("More running than a team's ceiling is caught") {
  CheckerFixture fixture;
  for (int n = 0; n < 3; ++n) fixture.StartRun(fixture.Submit());
  CHECK(fixture.CountOf("ceiling") == 1);
}

TEST_CASE("A lowered ceiling binds new runs once the limit has passed") {
  CheckerFixture fixture;
  Snapshot lowered = fixture.table;
  lowered.teams["namche"].ceiling = 1;
  fixture.Commit(lowered);
  fixture.now += 4000;
  fixture.checker.RecordRunEnd(fixture.StartRun(fixture.Submit()));
  fixture.StartRun(fixture.Submit());
  const std::int64_t second = fixture.StartRun(fixture.Submit());
  CHECK(fixture.CountOf("ceiling") == 0);
  fixture.checker.RecordRunEnd(second);
  fixture.now += 2000;
  fixture.StartRun(fixture.Submit());
  CHECK(fixture.CountOf("ceiling") == 1);
}

TEST_CASE("A second answer and a missing answer are caught") {
  CheckerFixture fixture;
  const std::size_t n = fixture.Submit();
  fixture.Answer(n, Outcome::kUnknown);
  fixture.Answer(n, Outcome::kUnknown);
  CHECK(fixture.CountOf("one-answer") == 1);
  fixture.Submit();
  fixture.checker.Finish(At(fixture.now));
  CHECK(fixture.CountOf("one-answer") == 2);
}

TEST_CASE("An answer to another submission is caught") {
  CheckerFixture fixture;
  fixture.Answer(fixture.Submit(), Outcome::kAnswered, Reason::kNone, false);
  CHECK(fixture.CountOf("own-answer") == 1);
}

TEST_CASE("not-run about a call that reached a worker is caught") {
  CheckerFixture fixture;
  const std::size_t before = fixture.Submit();
  fixture.StartRun(before);
  fixture.Answer(before, Outcome::kNotRun);
  CHECK(fixture.CountOf("not-run") == 1);
  const std::size_t after = fixture.Submit();
  fixture.Answer(after, Outcome::kNotRun);
  fixture.StartRun(after);
  CHECK(fixture.CountOf("not-run") == 2);
}

TEST_CASE("not-run about a resubmission of what ran is caught") {
  CheckerFixture fixture;
  const std::size_t n = fixture.Submit();
  fixture.StartRun(n);
  const std::size_t resubmission = fixture.Resubmit(0);
  fixture.Answer(resubmission, Outcome::kNotRun, Reason::kStoreUnavailable);
  CHECK(fixture.CountOf("not-run-resubmitted") == 1);
  CHECK(fixture.CountOf("not-run") == 0);
}

TEST_CASE("A second run of an unrepeatable request is caught") {
  CheckerFixture fixture;
  fixture.StartRun(fixture.Submit());
  fixture.StartRun(fixture.Resubmit(0));
  CHECK(fixture.CountOf("at-most-once") == 1);
  CheckerFixture repeatable;
  repeatable.StartRun(repeatable.Submit(false));
  repeatable.StartRun(repeatable.Resubmit(0));
  CHECK(repeatable.CountOf("at-most-once") == 0);
}

TEST_CASE("A withdrawn key is caught once the limit has passed in reach") {
  CheckerFixture fixture;
  Snapshot withdrawn = fixture.table;
  withdrawn.keys["desk"].withdrawn = true;
  fixture.Commit(withdrawn);
  fixture.now += 4000;
  fixture.StartRun(fixture.Submit());
  CHECK(fixture.CountOf("key") == 0);
  fixture.now += 2000;
  SECTION("in reach") {
    fixture.StartRun(fixture.Submit());
    CHECK(fixture.CountOf("key") == 1);
  }
  SECTION("out of reach") {
    fixture.checker.RecordEntryUnreachable("e1", At(fixture.now - 100));
    fixture.StartRun(fixture.Submit());
    CHECK(fixture.CountOf("key") == 0);
  }
}

TEST_CASE("New work for a leaving host is caught") {
  CheckerFixture fixture;
  Snapshot draining = fixture.table;
  draining.hosts["h1"].state = HostState::kDraining;
  fixture.Commit(draining);
  fixture.now += 4000;
  fixture.StartRun(fixture.Submit());
  CHECK(fixture.CountOf("leaving") == 0);
  fixture.now += 2000;
  fixture.StartRun(fixture.Submit());
  CHECK(fixture.CountOf("leaving") == 1);
}

TEST_CASE("A host in two pools is caught") {
  CheckerFixture fixture;
  Snapshot doubled = fixture.table;
  doubled.hosts["h2"] = {
      .name = "h2", .pool = "repairs", .address = "10.0.0.1:80"};
  fixture.Commit(doubled);
  CHECK(fixture.CountOf("one-pool") == 1);
}

TEST_CASE("Work of a pool that a host has left is caught") {
  CheckerFixture fixture;
  Snapshot moved = fixture.table;
  moved.hosts["h1"].pool = "repairs";
  fixture.Commit(moved);
  fixture.now += 6000;
  fixture.StartRun(fixture.Submit());
  CHECK(fixture.CountOf("one-pool") == 1);
}

TEST_CASE("A configuration that goes back or never was is caught") {
  CheckerFixture fixture;
  const Snapshot first = fixture.table;
  fixture.Commit(fixture.table);
  fixture.checker.RecordAdoption("e1", fixture.table, At(fixture.now));
  CHECK(fixture.CountOf("no-revert") == 0);
  fixture.checker.RecordAdoption("e1", first, At(fixture.now));
  CHECK(fixture.CountOf("no-revert") == 1);
  Snapshot other = fixture.table;
  other.teams["namche"].weight = 9;
  fixture.checker.RecordAdoption("e1", other, At(fixture.now));
  CHECK(fixture.CountOf("no-revert") == 2);
}

TEST_CASE("A change that is not in force in time is caught") {
  CheckerFixture fixture;
  fixture.Commit(fixture.table);
  fixture.now += 11'000;
  fixture.checker.Observe(At(fixture.now));
  CHECK(fixture.CountOf("in-force") == 0);
  fixture.now += 2000;
  fixture.checker.Observe(At(fixture.now));
  CHECK(fixture.CountOf("in-force") == 1);
}

TEST_CASE("A planned stop that cuts off work is caught") {
  CheckerFixture fixture;
  const std::size_t cut = fixture.Submit();
  fixture.Submit();
  fixture.checker.RecordStopStart("e1");
  fixture.Answer(cut, Outcome::kNotRun, Reason::kStopping);
  CHECK(fixture.CountOf("planned-stop") == 1);
  fixture.Answer(fixture.Submit(), Outcome::kNotRun, Reason::kStopping);
  CHECK(fixture.CountOf("planned-stop") == 1);
  fixture.checker.RecordStopEnd("e1", At(fixture.now));
  CHECK(fixture.CountOf("planned-stop") == 2);
}

TEST_CASE("An answer after its deadline is caught unless its host was paused") {
  CheckerFixture fixture;
  const std::size_t late = fixture.Submit();
  const std::size_t paused = fixture.Submit();
  fixture.now += 1600;
  fixture.Answer(late, Outcome::kUnknown);
  CHECK(fixture.CountOf("deadline") == 1);
  fixture.checker.RecordEntryPause("e1", At(fixture.now));
  fixture.checker.RecordEntryResume("e1", At(fixture.now));
  fixture.Answer(paused, Outcome::kUnknown);
  CHECK(fixture.CountOf("deadline") == 1);
}

}  // namespace
}  // namespace hyssopbarrow
