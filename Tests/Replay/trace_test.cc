#include "Replay/trace.h"

#include <catch2/catch.hpp>

#include "Replay/known_red.h"
#include "Replay/replay.h"

namespace hyssopbarrow {
namespace {

std::string ErrorOf(std::string_view text) {
  return std::string(ParseTrace(text).status().message());
}

TEST_CASE("A trace parses into events") {
  const auto events = ParseTrace(
      "# comment\n\n0 entry e1 dc=namche\n5000 pause e1 ms=100 # why\n");
  REQUIRE(events.ok());
  REQUIRE(events->size() == 2);
  CHECK((*events)[0].Text("dc", "") == "namche");
  CHECK((*events)[1].line == 4);
  CHECK((*events)[1].time == std::chrono::seconds(5));
  CHECK((*events)[1].Number("ms", 0) == 100);
}

TEST_CASE("Errors of a trace name the line") {
  CHECK(ErrorOf("0 end\n0 dance\n") == "line 2: unknown verb 'dance'");
  CHECK(ErrorOf("x end\n") == "line 1: 'x' is not a time in ms");
  CHECK(ErrorOf("0 cut a\n") == "line 1: 'cut' takes 2 words");
  CHECK(ErrorOf("0 pause a ms=soon\n") ==
        "line 1: field 'ms' must be a number");
  CHECK(ErrorOf("0 pause a s=1\n") == "line 1: 'pause' has no field 's'");
  CHECK(ErrorOf("0 pause a ms=1 ms=2\n") ==
        "line 1: field 'ms' is given twice");
  CHECK(ErrorOf("5 end\n4 end\n") ==
        "line 2: event time is before that of the previous event");
  CHECK_FALSE(ParseOutcome("requests about 5\n").ok());
  CHECK_FALSE(ParseOutcome("requests at-least many\n").ok());
}

TEST_CASE("Events that cannot be carried out name the line") {
  const auto events = ParseTrace("0 entry e1 dc=d\n5 cancel nobody\n");
  Replay replay(1);
  const absl::Status status = replay.Run(*events);
  CHECK(std::string(status.message()) ==
        "line 2: load 'nobody' does not exist");
}

TEST_CASE("A bound that does not hold or was not measured fails") {
  const ReplayResult result{.figures = {{"requests", 4.0}}};
  const auto outcome =
      ParseOutcome("requests at-least 5\nrequests at-most 4\nother at-least 1");
  REQUIRE(outcome.ok());
  const auto failed = FailedChecks(result, *outcome);
  CHECK(failed.size() == 2);
  CHECK(failed.contains("requests"));
  CHECK(failed.at("other") == "was not measured");
}

TEST_CASE("Known failures excuse exactly the listed checks") {
  const auto known = ParseKnownFailures(
      "Other text\nreplay storm ceiling 1,2 | seen | owner\n");
  REQUIRE(known.ok());
  const std::map<std::string, std::string> both = {{"ceiling", "x"},
                                                   {"key", "y"}};
  CHECK(CompareFailures(both, *known, "storm", 1) ==
        FailureComparison{.unexpected = {"key: y"}, .known = {"ceiling: x"}});
  CHECK(CompareFailures(both, *known, "storm", 3).unexpected.size() == 2);
  CHECK(CompareFailures({}, *known, "storm", 2).fixed ==
        std::vector<std::string>{"ceiling"});
  CHECK_FALSE(ParseKnownFailures("replay storm ceiling | x\n").ok());
}

TEST_CASE("The same seed replays the same way") {
  const auto events = ParseTrace(
      "0 row team t ceiling=9\n0 row pool p\n0 row queue q pool=p\n"
      "0 key k team=t\n0 hosts h pool=p dc=d count=2\n0 entry e1 dc=d\n"
      "0 entry e2 dc=d\n1 load l queue=q key=k rate=50 service_ms=200\n"
      "2000 kill e1\n3000 start e1\n5000 end\n");
  REQUIRE(events.ok());
  Replay first(7);
  Replay second(7);
  REQUIRE(first.Run(*events).ok());
  REQUIRE(second.Run(*events).ok());
  CHECK(first.Result().figures == second.Result().figures);
  CHECK(first.Result().figures.at("availability.q") > 0);
}

}  // namespace
}  // namespace hyssopbarrow
