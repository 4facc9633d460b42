#include "Report/burn.h"

#include <catch2/catch.hpp>

namespace hyssopbarrow {
namespace {

constexpr std::int64_t kNow = 30'000'000;

Queue BookQueue() {
  Queue it;
  it.name = "book";
  it.availability_ppm = 990'000;
  return it;
}

void Record(BurnTable& table, int count, const BurnEvent& event) {
  for (int n = 0; n < count; ++n) RecordBurn(table, BookQueue(), event);
}

BurnEvent Good(std::int64_t minute) {
  return {.minute = minute, .outcome = Outcome::kAnswered};
}

BurnEvent Refused(std::int64_t minute, Reason reason) {
  return {.minute = minute, .outcome = Outcome::kNotRun, .reason = reason};
}

TEST_CASE("The burn rate compares bad calls with the budget of each window") {
  BurnTable table;
  Record(table, 98, Good(kNow - 2));
  Record(table, 2, Refused(kNow - 2, Reason::kQueueFull));
  Record(table, 100, Good(kNow - 30));
  const BurnSeries& series = table.at("book");
  CHECK(ComputeBurnRate(series, kBurnWindows[0], kNow).rate == Approx(2.0));
  CHECK(ComputeBurnRate(series, kBurnWindows[1], kNow).rate == Approx(1.0));
  CHECK(RemainingBudget(series, kNow) == Approx(0.0).margin(1e-9));
}

TEST_CASE("Causes are told apart and callers' faults do not burn") {
  BurnTable table;
  Record(table, 1, Refused(kNow, Reason::kCeiling));
  Record(table, 2, Refused(kNow, Reason::kStoreUnavailable));
  Record(table, 3, Refused(kNow, Reason::kWorkerBroken));
  Record(table, 4, Refused(kNow, Reason::kKeyUnconfirmed));
  Record(table, 5, Refused(kNow, Reason::kStopping));
  Record(table, 7, Refused(kNow, Reason::kKeyRejected));
  BurnEvent slow = Good(kNow);
  slow.slow = true;
  Record(table, 6, slow);
  const std::array<std::int64_t, kBurnCauses> expected = {1, 6, 4, 2, 3, 5};
  CHECK(BadCallsByCause(table.at("book"), kNow) == expected);
  CHECK(ComputeBurnRate(table.at("book"), kBurnWindows[0], kNow).calls == 21);
}

TEST_CASE("Minutes older than one day are dropped") {
  BurnTable table;
  Record(table, 1, Good(kNow - 1440));
  Record(table, 1, Good(kNow - 1439));
  Record(table, 1, Good(kNow));
  CHECK(table.at("book").minutes.size() == 2);
}

TEST_CASE("Reports of several hosts are merged from JSON") {
  BurnTable table;
  Record(table, 3, Good(kNow));
  Record(table, 1, Refused(kNow, Reason::kNoCapacity));
  const auto parsed = ParseBurnTable(ToJson(table));
  REQUIRE(parsed.ok());
  CHECK(*parsed == table);
  MergeBurn(table, *parsed);
  CHECK(table.at("book").minutes[0].good == 6);
  CHECK_FALSE(ParseBurnTable({{"queues", {{{"queue", 1}}}}}).ok());
  CHECK_FALSE(ParseBurnTable(nullptr).ok());
}

TEST_CASE("Text and page show the queue and escape its name") {
  BurnTable table;
  Queue queue = BookQueue();
  queue.name = "a<b";
  RecordBurn(table, queue, Refused(kNow, Reason::kNoCapacity));
  CHECK(FormatBurnText(table, kNow).find("full") != std::string::npos);
  const std::string page = FormatBurnPage(table, kNow);
  CHECK(page.find("a&lt;b") != std::string::npos);
  CHECK(page.find("a<b") == std::string::npos);
  CHECK(page.find("<rect") != std::string::npos);
}

TEST_CASE("A queue that spent nothing has no plot") {
  BurnTable table;
  Record(table, 3, Good(kNow));
  const std::string page = FormatBurnPage(table, kNow);
  CHECK(page.find("<svg") == std::string::npos);
  CHECK(page.find("No call spent the budget") != std::string::npos);
}

}  // namespace
}  // namespace hyssopbarrow
