#include "Report/burn.h"

#include <catch2/catch.hpp>

namespace hyssopbarrow {
namespace {

constexpr std::int64_t kNowMinute = 30'000'000;

Queue BookQueue() {
  Queue queue;
  queue.name = "book";
  queue.availability_ppm = 990'000;
  return queue;
}

void RecordEvents(BurnTable& table, int count, const BurnEvent& event) {
  for (int n = 0; n < count; ++n) RecordBurn(table, BookQueue(), event);
}

BurnEvent GoodCall(std::int64_t minute) {
  return {.minute = minute, .outcome = Outcome::kAnswered};
}

BurnEvent RefusedCall(std::int64_t minute, Reason reason) {
  return {.minute = minute, .outcome = Outcome::kNotRun, .reason = reason};
}

TEST_CASE("The burn rate compares bad calls with the budget of each window") {
  BurnTable table;
  RecordEvents(table, 98, GoodCall(kNowMinute - 2));
  RecordEvents(table, 2, RefusedCall(kNowMinute - 2, Reason::kQueueFull));
  RecordEvents(table, 100, GoodCall(kNowMinute - 30));
  const BurnSeries& series = table.at("book");
  CHECK(ComputeBurnRate(series, kBurnWindows[0], kNowMinute).rate ==
        Approx(2.0));
  CHECK(ComputeBurnRate(series, kBurnWindows[1], kNowMinute).rate ==
        Approx(1.0));
  CHECK(RemainingBudget(series, kNowMinute) == Approx(0.0).margin(1e-9));
}

TEST_CASE("Bad calls are counted by cause; faults of callers are excluded") {
  BurnTable table;
  RecordEvents(table, 1, RefusedCall(kNowMinute, Reason::kCeiling));
  RecordEvents(table, 2, RefusedCall(kNowMinute, Reason::kStoreUnavailable));
  RecordEvents(table, 3, RefusedCall(kNowMinute, Reason::kWorkerBroken));
  RecordEvents(table, 4, RefusedCall(kNowMinute, Reason::kKeyUnconfirmed));
  RecordEvents(table, 5, RefusedCall(kNowMinute, Reason::kStopping));
  RecordEvents(table, 7, RefusedCall(kNowMinute, Reason::kKeyRejected));
  BurnEvent slow = GoodCall(kNowMinute);
  slow.slow = true;
  RecordEvents(table, 6, slow);
  const std::array<std::int64_t, kBurnCauses> expected = {1, 6, 4, 2, 3, 5};
  CHECK(BadCallsByCause(table.at("book"), kNowMinute) == expected);
  CHECK(ComputeBurnRate(table.at("book"), kBurnWindows[0], kNowMinute).calls ==
        21);
}

TEST_CASE("Minutes older than one day are dropped") {
  BurnTable table;
  RecordEvents(table, 1, GoodCall(kNowMinute - 1440));
  RecordEvents(table, 1, GoodCall(kNowMinute - 1439));
  RecordEvents(table, 1, GoodCall(kNowMinute));
  CHECK(table.at("book").minutes.size() == 2);
}

TEST_CASE("Reports of several hosts are merged from JSON") {
  BurnTable table;
  RecordEvents(table, 3, GoodCall(kNowMinute));
  RecordEvents(table, 1, RefusedCall(kNowMinute, Reason::kNoCapacity));
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
  RecordBurn(table, queue, RefusedCall(kNowMinute, Reason::kNoCapacity));
  CHECK(FormatBurnText(table, kNowMinute).find("full") != std::string::npos);
  const std::string page = FormatBurnPage(table, kNowMinute);
  CHECK(page.find("a&lt;b") != std::string::npos);
  CHECK(page.find("a<b") == std::string::npos);
  CHECK(page.find("<rect") != std::string::npos);
}

TEST_CASE("A queue without bad calls has no plot") {
  BurnTable table;
  RecordEvents(table, 3, GoodCall(kNowMinute));
  const std::string page = FormatBurnPage(table, kNowMinute);
  CHECK(page.find("<svg") == std::string::npos);
  CHECK(page.find("No call spent the budget") != std::string::npos);
}

}  // namespace
}  // namespace hyssopbarrow
