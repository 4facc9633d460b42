#include "Replay/checker.h"

#include <catch2/catch.hpp>
#include <utility>

namespace hyssopbarrow {
namespace {

Instant At(std::int64_t ms) { return Instant(std::chrono::milliseconds(ms)); }

Snapshot SmallTable() {
  Snapshot it{.revision = 1};
  it.teams["namche"] = {.name = "namche", .ceiling = 2};
  it.pools["booking"] = {.name = "booking"};
  it.pools["repairs"] = {.name = "repairs"};
  it.queues["book"] = {.name = "book", .pool = "booking"};
  it.queues["repair"] = {.name = "repair", .pool = "repairs"};
  it.hosts["h1"] = {.name = "h1", .pool = "booking", .address = "10.0.0.1:80"};
  it.keys["desk"] = {.name = "desk", .team = "namche"};
  return it;
}

/// A checker of one entry host that has been in reach for a minute.
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

  std::int64_t CountOf(const std::string& promise) const {
    const Violation* it = Find(checker.violations(), promise);
    return it == nullptr ? 0 : it->count;
  }

  Checker checker;
  Snapshot table = SmallTable();
  std::int64_t now = 60'000;
  std::int64_t runs = 0;
};

TEST_CASE("A run in which every promise holds has no violation") {
  CheckerFixture it;
  const std::size_t n = it.Submit();
  const std::int64_t run = it.StartRun(n);
  it.checker.RecordRunEnd(run);
  it.Answer(n, Outcome::kAnswered);
  it.checker.Observe(At(it.now));
  it.checker.Finish(At(it.now));
  CHECK(it.checker.violations().empty());
}

TEST_CASE("More running than a team's ceiling is caught") {
  CheckerFixture it;
  for (int n = 0; n < 3; ++n) it.StartRun(it.Submit());
  CHECK(it.CountOf("ceiling") == 1);
}

TEST_CASE("A lowered ceiling binds new runs once the limit has passed") {
  CheckerFixture it;
  Snapshot lowered = it.table;
  lowered.teams["namche"].ceiling = 1;
  it.Commit(lowered);
  it.now += 4000;
  it.checker.RecordRunEnd(it.StartRun(it.Submit()));
  it.StartRun(it.Submit());
  const std::int64_t second = it.StartRun(it.Submit());
  CHECK(it.CountOf("ceiling") == 0);
  it.checker.RecordRunEnd(second);
  it.now += 2000;
  it.StartRun(it.Submit());
  CHECK(it.CountOf("ceiling") == 1);
}

TEST_CASE("A second answer and a missing answer are caught") {
  CheckerFixture it;
  const std::size_t n = it.Submit();
  it.Answer(n, Outcome::kUnknown);
  it.Answer(n, Outcome::kUnknown);
  CHECK(it.CountOf("one-answer") == 1);
  it.Submit();
  it.checker.Finish(At(it.now));
  CHECK(it.CountOf("one-answer") == 2);
}

TEST_CASE("An answer to another submission is caught") {
  CheckerFixture it;
  it.Answer(it.Submit(), Outcome::kAnswered, Reason::kNone, false);
  CHECK(it.CountOf("own-answer") == 1);
}

TEST_CASE("not-run about a call that reached a worker is caught") {
  CheckerFixture it;
  const std::size_t before = it.Submit();
  it.StartRun(before);
  it.Answer(before, Outcome::kNotRun);
  CHECK(it.CountOf("not-run") == 1);
  const std::size_t after = it.Submit();
  it.Answer(after, Outcome::kNotRun);
  it.StartRun(after);
  CHECK(it.CountOf("not-run") == 2);
}

TEST_CASE("not-run about a resubmission of what ran is caught") {
  CheckerFixture it;
  const std::size_t n = it.Submit();
  it.StartRun(n);
  const std::size_t again = it.Resubmit(0);
  it.Answer(again, Outcome::kNotRun, Reason::kStoreUnavailable);
  CHECK(it.CountOf("not-run-resubmitted") == 1);
  CHECK(it.CountOf("not-run") == 0);
}

TEST_CASE("A second run of an unrepeatable request is caught") {
  CheckerFixture it;
  it.StartRun(it.Submit());
  it.StartRun(it.Resubmit(0));
  CHECK(it.CountOf("at-most-once") == 1);
  CheckerFixture repeatable;
  repeatable.StartRun(repeatable.Submit(false));
  repeatable.StartRun(repeatable.Resubmit(0));
  CHECK(repeatable.CountOf("at-most-once") == 0);
}

TEST_CASE("A withdrawn key is caught once the limit has passed in reach") {
  CheckerFixture it;
  Snapshot withdrawn = it.table;
  withdrawn.keys["desk"].withdrawn = true;
  it.Commit(withdrawn);
  it.now += 4000;
  it.StartRun(it.Submit());
  CHECK(it.CountOf("key") == 0);
  it.now += 2000;
  SECTION("in reach") {
    it.StartRun(it.Submit());
    CHECK(it.CountOf("key") == 1);
  }
  SECTION("out of reach") {
    it.checker.RecordEntryUnreachable("e1", At(it.now - 100));
    it.StartRun(it.Submit());
    CHECK(it.CountOf("key") == 0);
  }
}

TEST_CASE("New work for a leaving host is caught") {
  CheckerFixture it;
  Snapshot draining = it.table;
  draining.hosts["h1"].state = HostState::kDraining;
  it.Commit(draining);
  it.now += 4000;
  it.StartRun(it.Submit());
  CHECK(it.CountOf("leaving") == 0);
  it.now += 2000;
  it.StartRun(it.Submit());
  CHECK(it.CountOf("leaving") == 1);
}

TEST_CASE("A host in two pools is caught") {
  CheckerFixture it;
  Snapshot doubled = it.table;
  doubled.hosts["h2"] = {
      .name = "h2", .pool = "repairs", .address = "10.0.0.1:80"};
  it.Commit(doubled);
  CHECK(it.CountOf("one-pool") == 1);
}

TEST_CASE("Work of a pool that a host has left is caught") {
  CheckerFixture it;
  Snapshot moved = it.table;
  moved.hosts["h1"].pool = "repairs";
  it.Commit(moved);
  it.now += 6000;
  it.StartRun(it.Submit());
  CHECK(it.CountOf("one-pool") == 1);
}

TEST_CASE("A configuration that goes back or never was is caught") {
  CheckerFixture it;
  const Snapshot first = it.table;
  it.Commit(it.table);
  it.checker.RecordAdoption("e1", it.table, At(it.now));
  CHECK(it.CountOf("no-revert") == 0);
  it.checker.RecordAdoption("e1", first, At(it.now));
  CHECK(it.CountOf("no-revert") == 1);
  Snapshot other = it.table;
  other.teams["namche"].weight = 9;
  it.checker.RecordAdoption("e1", other, At(it.now));
  CHECK(it.CountOf("no-revert") == 2);
}

TEST_CASE("A change that is not in force in time is caught") {
  CheckerFixture it;
  it.Commit(it.table);
  it.now += 11'000;
  it.checker.Observe(At(it.now));
  CHECK(it.CountOf("in-force") == 0);
  it.now += 2000;
  it.checker.Observe(At(it.now));
  CHECK(it.CountOf("in-force") == 1);
}

TEST_CASE("A planned stop that cuts off work is caught") {
  CheckerFixture it;
  const std::size_t cut = it.Submit();
  it.Submit();
  it.checker.RecordStopStart("e1");
  it.Answer(cut, Outcome::kNotRun, Reason::kStopping);
  CHECK(it.CountOf("planned-stop") == 1);
  it.Answer(it.Submit(), Outcome::kNotRun, Reason::kStopping);
  CHECK(it.CountOf("planned-stop") == 1);
  it.checker.RecordStopEnd("e1", At(it.now));
  CHECK(it.CountOf("planned-stop") == 2);
}

TEST_CASE("An answer after its deadline is caught unless its host was paused") {
  CheckerFixture it;
  const std::size_t late = it.Submit();
  const std::size_t paused = it.Submit();
  it.now += 1600;
  it.Answer(late, Outcome::kUnknown);
  CHECK(it.CountOf("deadline") == 1);
  it.checker.RecordEntryPause("e1", At(it.now));
  it.checker.RecordEntryResume("e1", At(it.now));
  it.Answer(paused, Outcome::kUnknown);
  CHECK(it.CountOf("deadline") == 1);
}

}  // namespace
}  // namespace hyssopbarrow
