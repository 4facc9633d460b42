#include <catch2/catch.hpp>
#include <random>

#include "Ceilings/rights_fleet.h"

namespace hyssopbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kHosts = 4;
constexpr std::int64_t kCeiling = 60;

/// Minimum fraction of a ceiling in use. Rights that are being transferred are
/// unused for a moment.
constexpr double kMinUsedFraction = 0.95;

/// Longer than the lease term, the clock drift margin and the longest work
/// together: rights that may be reclaimed have been reclaimed after it.
constexpr Duration kReclaimPeriod = seconds(25);

void SetDemands(RightsFleet& fleet, int hosts, std::int64_t demand) {
  for (int n = 0; n < hosts; ++n) fleet.SetDemand(n, 0, demand);
}

std::int64_t RunningOf(const RightsFleet& fleet) {
  return fleet.Audit()[0].running;
}

/// Returns the used fraction of the ceiling over the next 2 s. There must be
/// demand for all of it.
double UsedFraction(RightsFleet& fleet) {
  fleet.ResetCounts();
  fleet.Run(seconds(2));
  return fleet.counts().running / fleet.counts().runnable;
}

TEST_CASE("A single host uses the whole ceiling within 200 ms") {
  RightsFleet fleet(RightsScheme::kLedger, 1, 1, kCeiling, 1);
  fleet.SetDemand(0, 0, 2 * kCeiling);
  fleet.Run(milliseconds(200));
  CHECK(fleet.Running(0, 0) == kCeiling);
  CHECK(fleet.violation() == "");
}

TEST_CASE("Rights follow demand to one host and are shared under contention") {
  RightsFleet fleet(RightsScheme::kLedger, kHosts, 1, kCeiling, 2);
  fleet.Run(seconds(3));
  fleet.SetDemand(0, 0, 2 * kCeiling);
  fleet.Run(seconds(5));
  CHECK(fleet.Running(0, 0) == kCeiling);
  SetDemands(fleet, kHosts, 2 * kCeiling);
  fleet.Run(seconds(10));
  CHECK(UsedFraction(fleet) > kMinUsedFraction);
  for (int n = 0; n < kHosts; ++n) CHECK(fleet.Running(n, 0) >= 10);
  CHECK(fleet.violation() == "");
}

TEST_CASE("A lowered ceiling holds as work ends and a raised one is usable") {
  RightsFleet fleet(RightsScheme::kLedger, kHosts, 1, kCeiling, 3);
  SetDemands(fleet, kHosts, kCeiling);
  fleet.Run(seconds(5));
  fleet.SetCeiling(0, 40);
  fleet.SetCeiling(0, 20);
  fleet.Run(seconds(4));
  CHECK(RunningOf(fleet) <= 20);
  CHECK(RunningOf(fleet) >= 18);
  fleet.SetCeiling(0, 2 * kCeiling);
  fleet.Run(seconds(3));
  CHECK(UsedFraction(fleet) > kMinUsedFraction);
  CHECK(fleet.violation() == "");
}

TEST_CASE("A table outage leaves the floors usable") {
  RightsFleet fleet(RightsScheme::kLedger, kHosts, 1, kCeiling, 4);
  SetDemands(fleet, kHosts, kCeiling);
  fleet.Run(seconds(10));
  fleet.faults.unavailable = true;
  fleet.Run(minutes(1));
  CHECK(RunningOf(fleet) >= kCeiling * 8 / 10);
  fleet.faults.unavailable = false;
  fleet.Run(seconds(3));
  CHECK(UsedFraction(fleet) > kMinUsedFraction);
  CHECK(fleet.violation() == "");
}

TEST_CASE(
    "A killed host's floating rights are reclaimed, floors once it has ended") {
  RightsFleet fleet(RightsScheme::kLedger, kHosts, 1, kCeiling, 5);
  SetDemands(fleet, kHosts, kCeiling);
  fleet.Run(seconds(10));
  fleet.Kill(0);
  fleet.Run(kReclaimPeriod);
  const std::int64_t running_without_floor = RunningOf(fleet);
  CHECK(running_without_floor < kCeiling);
  SECTION("the platform's list") { fleet.MarkEnded(0); }
  SECTION("a later incarnation") { fleet.Replace(0); }
  SECTION("an operator") {
    const Row lease = fleet.table().Read("rights/lease/entry-0@1").at(0);
    CHECK(fleet.table().Commit(*EndHolderTransaction(lease)).status ==
          StoreStatus::kOk);
  }
  fleet.Run(kReclaimPeriod);
  CHECK(UsedFraction(fleet) > kMinUsedFraction);
  CHECK(fleet.violation() == "");
}

TEST_CASE("A paused host that was replaced uses no right when it resumes") {
  RightsFleet fleet(RightsScheme::kLedger, kHosts, 1, kCeiling, 6);
  SetDemands(fleet, kHosts, kCeiling);
  fleet.Run(seconds(10));
  fleet.SetPaused(0, true);
  SECTION("it can reach the table") {}
  SECTION("it is partitioned") { fleet.SetPartitioned(0, true); }
  fleet.Replace(0);
  fleet.Run(kReclaimPeriod);
  fleet.ResumeReplaced();
  fleet.Run(seconds(20));
  CHECK(UsedFraction(fleet) > kMinUsedFraction);
  CHECK(fleet.violation() == "");
}

TEST_CASE("A stopping host releases all rights") {
  RightsFleet fleet(RightsScheme::kLedger, kHosts, 1, kCeiling, 7);
  SetDemands(fleet, kHosts, kCeiling);
  fleet.Run(seconds(5));
  fleet.Stop(0);
  fleet.Run(seconds(5));
  CHECK(fleet.Stage(0) == HolderStage::kReleased);
  CHECK(UsedFraction(fleet) > kMinUsedFraction);
  CHECK(fleet.table().Read("rights/held/entry-0@1").empty());
}

/// Changes demand, ceilings, faults and hosts at random.
void InjectRandomEvent(RightsFleet& fleet, std::mt19937_64& random) {
  auto below = [&](int n) {
    return std::uniform_int_distribution<int>(0, n - 1)(random);
  };
  const int host = below(kHosts);
  switch (below(12)) {
    case 0:
      fleet.faults = {.unavailable = below(3) == 0};
      break;
    case 1:
      fleet.faults = {.slow_probability = 0.3, .lost_reply_probability = 0.3};
      break;
    case 2:
      fleet.SetPaused(host, below(2) == 0);
      break;
    case 3:
      fleet.SetPartitioned(host, below(2) == 0);
      break;
    case 4:
      fleet.Kill(host);
      fleet.Replace(host);
      break;
    case 5:
      fleet.SetCeiling(below(2), 10 + below(60));
      break;
    case 6:
      fleet.ResumeReplaced();
      break;
    case 7:
      fleet.SetPaused(host, true);
      fleet.Run(seconds(6));
      fleet.Replace(host);
      break;
    default:
      fleet.SetDemand(host, below(2), below(80));
      break;
  }
}

TEST_CASE("No combination of faults lets more work run than the ceiling") {
  const auto seed = GENERATE(range(1, 13));
  CAPTURE(seed);
  RightsFleet fleet(RightsScheme::kLedger, kHosts, 2, kCeiling, seed);
  std::mt19937_64 random(seed);
  for (int n = 0; n < 150; ++n) {
    InjectRandomEvent(fleet, random);
    fleet.Run(
        milliseconds(std::uniform_int_distribution<int>(10, 3000)(random)));
  }
  CHECK(fleet.violation() == "");
}

TEST_CASE("FindViolation detects each kind of violation") {
  const RightsAudit good{
      .ceiling = 10, .free = 2, .held = 8, .max_running = 8, .running = 8};
  CHECK_FALSE(FindViolation(good, good).has_value());
  RightsAudit bad = good;
  bad.held = 9;
  CHECK(FindViolation(good, bad).has_value());
  bad = good;
  bad.max_running = 11;
  CHECK(FindViolation(good, bad).has_value());
  bad = good;
  bad.running = 11;
  CHECK(FindViolation(good, bad).has_value());
  const RightsAudit lowered{.ceiling = 6, .free = -2, .held = 8};
  const RightsAudit acquired{.ceiling = 6, .free = -3, .held = 9};
  CHECK_FALSE(FindViolation(good, lowered).has_value());
  CHECK(FindViolation(lowered, acquired).has_value());
}

TEST_CASE("Hosts that do not coordinate violate the ceiling") {
  RightsFleet fleet(RightsScheme::kUncoordinated, kHosts, 1, kCeiling, 8);
  SetDemands(fleet, kHosts, kCeiling);
  fleet.Run(seconds(1));
  CHECK(fleet.counts().violations > 0);
}

}  // namespace
}  // namespace hyssopbarrow
