#include "Policy/membership.h"

#include <catch2/catch.hpp>
#include <set>

#include "Policy/registration.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(100);
const Instant kStart = Instant{} + std::chrono::hours(1000);

MembershipState NewState() {
  return MembershipState({.name = "a",
                          .data_centre = "namche",
                          .incarnation = 5,
                          .address = "10.0.0.1:7000"});
}

void DeliverHeartbeat(MembershipState& state, const std::string& from,
                      std::int64_t incarnation, Instant now,
                      const std::string& data_centre = "namche") {
  const Heartbeat heartbeat{.data_centre = data_centre};
  const PeerEnvelope envelope{from, incarnation, heartbeat};
  if (!AcceptIncarnation(state, envelope)) return;
  HandleHeartbeat(state, envelope, heartbeat, now);
}

/// Returns a cell for which `name` is responsible at `now`.
CellId FindCellOf(const MembershipState& state, const std::string& name,
                  Instant now) {
  for (int n = 0;; ++n) {
    CellId cell{"pool-" + std::to_string(n), "namche"};
    if (ResponsibleHost(state, cell, now) == name) return cell;
  }
}

TEST_CASE("A flapping member does not take over its cells at each return") {
  MembershipState state = NewState();
  Instant now = kStart;
  DeliverHeartbeat(state, "b", 1, now);
  const CellId cell = FindCellOf(state, "b", now);
  int changes = 0;
  std::string host = "b";
  for (int n = 0; n < 600; ++n, now += kStep) {
    Outbox out;
    TickMembership(state, {}, {}, now, out);
    const bool is_unresponsive = n % 30 < 14;
    if (!is_unresponsive) DeliverHeartbeat(state, "b", 1, now);
    const std::string current = ResponsibleHost(state, cell, now);
    changes += current == host ? 0 : 1;
    host = current;
  }
  // After the second return, the settle time exceeds the member's cycle. By
  // liveness alone, the responsible host would change 40 times.
  CHECK(changes == 5);
  for (int n = 0; n < 400; ++n, now += kStep) {
    DeliverHeartbeat(state, "b", 1, now);
  }
  CHECK(ResponsibleHost(state, cell, now) == "b");
}

TEST_CASE("A paused process keeps its members and gets no cells at first") {
  MembershipState state = NewState();
  Instant now = kStart;
  Outbox out;
  TickMembership(state, {}, {}, now, out);
  DeliverHeartbeat(state, "b", 1, now);
  const CellId own = FindCellOf(state, "a", now);
  now += std::chrono::seconds(60);
  TickMembership(state, {}, {}, now, out);
  CHECK(IsLive(state, "b", now));
  CHECK(ResponsibleHost(state, own, now) == "b");
  CHECK(state.pause_count == 1);
  now += std::chrono::seconds(2);
  CHECK(ResponsibleHost(state, own, now) == "a");
}

TEST_CASE("Messages of an older incarnation are dropped") {
  MembershipState state = NewState();
  DeliverHeartbeat(state, "b", 7, kStart);
  CHECK_FALSE(AcceptIncarnation(state, {"b", 6, Heartbeat{}}));
  CHECK(AcceptIncarnation(state, {"b", 8, Heartbeat{}}));
  CHECK_FALSE(IsLive(state, "b", kStart));
}

TEST_CASE("Links are a full mesh in a data centre and few to others") {
  MembershipState state = NewState();
  MemberReport report;
  for (const char* data_centre : {"namche", "lukla", "tengboche"}) {
    for (int n = 0; n < 7; ++n) {
      const std::string name = data_centre + std::to_string(n);
      report.members.push_back({.name = name,
                                .data_centre = data_centre,
                                .address = "10.0.0.2:" + std::to_string(n)});
    }
  }
  HandleMemberReport(state, {"x", 1, report}, report, kStart);
  CHECK(WantedLinks(state, kStart).size() == 7 + 2);
  // If the chosen peer of another data centre is unresponsive, another one is
  // chosen.
  const WantedLink chosen = WantedLinks(state, kStart).back();
  DeliverHeartbeat(state, chosen.peer, 1, kStart, "tengboche");
  const Instant later = kStart + std::chrono::minutes(1);
  CHECK(WantedLinks(state, later).back().peer != chosen.peer);
}

TEST_CASE("Reported liveness counts only from the member's data centre") {
  MembershipState state = NewState();
  DeliverHeartbeat(state, "l1", 1, kStart, "lukla");
  const MemberReport report{{{.name = "l2", .data_centre = "lukla"},
                             {.name = "t1", .data_centre = "tengboche"}}};
  HandleMemberReport(state, {"l1", 1, report}, report, kStart);
  CHECK(IsLive(state, "l2", kStart));
  CHECK_FALSE(IsLive(state, "t1", kStart));
}

/// Drives the registration of one host and answers its reads.
struct RegistrationDriver {
  Outbox out;
  std::int64_t next_id = 1;

  /// Ticks and answers the read of the member rows with `rows`. Returns the
  /// transaction that follows.
  std::optional<Transaction> Read(MembershipState& state, std::vector<Row> rows,
                                  Instant now) {
    out = {};
    TickRegistration(state, next_id, now, out);
    if (out.store_requests.empty()) return std::nullopt;
    const std::int64_t id = out.store_requests.back().id;
    out = {};
    const StoreReply reply{StoreStatus::kOk, std::move(rows), 0};
    REQUIRE(HandleRegistrationReply(state, id, reply, next_id, now, out));
    if (out.store_requests.empty()) return std::nullopt;
    return std::get<Transaction>(out.store_requests.back().operation);
  }
};

TEST_CASE("The member row is written, replaces stale ones and is deleted") {
  MembershipState state = NewState();
  RegistrationDriver driver;
  const Row stale{
      "members/old", {{"address", "10.0.0.1:7000"}, {"incarnation", 1}}, 4};
  const auto written = driver.Read(state, {stale}, kStart);
  REQUIRE(written.has_value());
  CHECK(written->conditions ==
        std::vector<RowCondition>{{"members/a", 0}, {"members/old", 4}});
  REQUIRE(written->writes.size() == 2);
  CHECK(written->writes[1].value.is_null());
  // The reply to the write is lost; the next read shows that it took effect.
  const std::int64_t id = state.registration.pending_request_id;
  StoreReply lost{StoreStatus::kUnknown, {}, 0};
  CHECK(HandleRegistrationReply(state, id, lost, driver.next_id, kStart,
                                driver.out));
  const Row own{"members/a", written->writes[0].value, 9};
  const Instant later = kStart + std::chrono::seconds(2);
  CHECK_FALSE(driver.Read(state, {own}, later).has_value());
  BeginStop(state, Duration::zero(), later);
  const auto deleted = driver.Read(state, {own}, later);
  REQUIRE(deleted.has_value());
  CHECK(deleted->writes == std::vector<RowWrite>{{"members/a", nullptr}});
}

TEST_CASE("A row with a higher incarnation is not overwritten") {
  MembershipState state = NewState();
  RegistrationDriver driver;
  const Row newer{"members/a", {{"incarnation", 6}}, 4};
  CHECK_FALSE(driver.Read(state, {newer}, kStart).has_value());
  CHECK(state.registration.superseded);
}

}  // namespace
}  // namespace hyssopbarrow
