#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include "Ceilings/rights_fleet.h"

DEFINE_bool(large, true, "measure 42 hosts and 120 teams");
DEFINE_bool(small, true, "measure 7 hosts and 6 teams");
DEFINE_bool(baselines, true, "also measure the baseline schemes");
DEFINE_uint64(seed, 1, "seed of the load and the faults");

namespace hyssopbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::int64_t kCeiling = 120;
constexpr Duration kWarmUp = seconds(20);
constexpr Duration kRotationInterval = seconds(4);
constexpr Duration kOutage = minutes(10);
constexpr int kLargeTeams = 120;

struct Size {
  int hosts = 0;
  int teams = 0;
  std::int64_t audit_interval = 1;
};

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

void SetAllDemands(RightsFleet& fleet, const Size& size, std::int64_t demand) {
  for (int host = 0; host < size.hosts; ++host) {
    for (int team = 0; team < size.teams; ++team) {
      fleet.SetDemand(host, team, demand);
    }
  }
}

/// Moves each team's demand from host to host: five times the mean, which is
/// the whole ceiling, at one host and a twentieth of the mean at all others.
void RunRotation(RightsFleet& fleet, const Size& size, Duration span) {
  const std::int64_t mean = kCeiling / 5;
  SetAllDemands(fleet, size, mean / 20);
  const Instant end = fleet.now() + span;
  for (int turn = 0; fleet.now() < end; ++turn) {
    // The teams change hosts at different times within an interval.
    for (int team = 0; team < size.teams; ++team) {
      fleet.SetDemand((turn + team) % size.hosts, team, mean / 20);
      fleet.SetDemand((turn + team + 1) % size.hosts, team, 5 * mean);
      fleet.Run(kRotationInterval / size.teams);
    }
  }
}

double PercentRunning(const RightsFleet& fleet) {
  return 100 * fleet.counts().running / fleet.counts().runnable;
}

const char* NameOf(RightsScheme scheme) {
  switch (scheme) {
    case RightsScheme::kLedger:
      return "ledger";
    case RightsScheme::kUncoordinated:
      return "none";
    case RightsScheme::kStaticSplit:
      return "static";
  }
  return "";
}

void Print(const char* load, const Size& size, RightsScheme scheme,
           const RightsFleet& fleet, Duration span) {
  const FleetCounts& counts = fleet.counts();
  const double n = Seconds(span);
  std::printf("%-22s %3dx%-4d %-7s %10lld %7.1f %8.1f %8.1f %7.1f %9.2f  %s\n",
              load, size.hosts, size.teams, NameOf(scheme),
              static_cast<long long>(counts.violations), PercentRunning(fleet),
              static_cast<double>(counts.commits) / n,
              static_cast<double>(counts.conflicts) / n,
              static_cast<double>(counts.reads) / n,
              static_cast<double>(counts.read_bytes) / n / size.hosts / 1000,
              fleet.violation().empty() ? "-" : fleet.violation().c_str());
}

void PrintHeader() {
  std::printf("%-22s %-8s %-7s %10s %7s %8s %8s %7s %9s  %s\n", "load", "size",
              "scheme", "violations", "used %", "writes/s", "confl./s",
              "reads/s", "KB/s/host", "ledger check");
}

RightsFleet MakeFleet(RightsScheme scheme, const Size& size) {
  RightsFleet fleet(scheme, size.hosts, size.teams, kCeiling, FLAGS_seed);
  fleet.SetAuditInterval(size.audit_interval);
  fleet.Run(kWarmUp);
  return fleet;
}

void Idle(const Size& size) {
  RightsFleet fleet = MakeFleet(RightsScheme::kLedger, size);
  fleet.ResetCounts();
  fleet.Run(minutes(1));
  Print("idle", size, RightsScheme::kLedger, fleet, minutes(1));
}

void Steady(RightsScheme scheme, const Size& size) {
  RightsFleet fleet = MakeFleet(scheme, size);
  SetAllDemands(fleet, size, 2 * kCeiling / size.hosts);
  fleet.Run(kWarmUp);
  fleet.ResetCounts();
  fleet.Run(minutes(1));
  Print("steady, 2x ceiling", size, scheme, fleet, minutes(1));
}

void Rotating(RightsScheme scheme, const Size& size, const char* name,
              RightsTableFaults faults, Duration span) {
  RightsFleet fleet = MakeFleet(scheme, size);
  RunRotation(fleet, size, kWarmUp);
  fleet.ResetCounts();
  fleet.faults = faults;
  RunRotation(fleet, size, span);
  Print(name, size, scheme, fleet, span);
}

void SteadyOutage(RightsScheme scheme, const Size& size) {
  RightsFleet fleet = MakeFleet(scheme, size);
  SetAllDemands(fleet, size, 2 * kCeiling / size.hosts);
  fleet.Run(kWarmUp);
  fleet.ResetCounts();
  fleet.faults.unavailable = true;
  fleet.Run(kOutage);
  Print("steady, down 10 min", size, scheme, fleet, kOutage);
}

void RotatingOutage(RightsScheme scheme, const Size& size) {
  RightsFleet fleet = MakeFleet(scheme, size);
  RunRotation(fleet, size, kWarmUp);
  fleet.ResetCounts();
  fleet.faults.unavailable = true;
  RunRotation(fleet, size, kOutage);
  Print("rotating, down 10 min", size, scheme, fleet, kOutage);
}

/// Runs one second; returns the highest number of running calls of team 0.
std::int64_t MostRunning(RightsFleet& fleet) {
  std::int64_t most = 0;
  for (int n = 0; n < 20; ++n) {
    fleet.Run(milliseconds(50));
    most = std::max(most, fleet.Audit()[0].running);
  }
  return most;
}

/// Loses a host by `loss`, recovers it by `recovery` after a minute, and prints
/// how many rights the live hosts could not use and for how long.
template <typename Loss, typename Recovery>
void MeasureUnusableRights(const char* name, Loss loss, Recovery recovery) {
  const Size size{.hosts = 7, .teams = 1};
  RightsFleet fleet = MakeFleet(RightsScheme::kLedger, size);
  SetAllDemands(fleet, size, kCeiling);
  fleet.Run(kWarmUp);
  loss(fleet);
  fleet.Run(seconds(4));
  const Instant start = fleet.now() - seconds(4);
  const std::int64_t first = kCeiling - MostRunning(fleet);
  std::int64_t later = first;
  double reduced_s = 0;
  while (fleet.now() < start + minutes(1)) {
    const std::int64_t unusable = kCeiling - MostRunning(fleet);
    if (unusable < later) reduced_s = Seconds(fleet.now() - start);
    later = std::min(later, unusable);
  }
  recovery(fleet);
  const Instant recovered = fleet.now();
  double full_s = 0;
  while (fleet.now() < recovered + minutes(1) && full_s == 0) {
    const std::int64_t unusable = kCeiling - MostRunning(fleet);
    if (unusable <= 1) full_s = Seconds(fleet.now() - recovered);
  }
  std::printf("%-34s %8lld %10lld %10.0f %12.0f  %s\n", name,
              static_cast<long long>(first), static_cast<long long>(later),
              reduced_s, full_s, fleet.violation().empty() ? "-" : "VIOLATION");
}

void PrintUnusableRights() {
  std::printf(
      "\nUnusable rights after the loss of one host of seven, ceiling %lld\n"
      "%-34s %8s %10s %10s %12s  %s\n",
      static_cast<long long>(kCeiling), "loss, then after 60 s", "at first",
      "after 60 s", "fell at s", "full after s", "check");
  auto kill = [](RightsFleet& fleet) { fleet.Kill(0); };
  auto pause = [](RightsFleet& fleet) { fleet.SetPaused(0, true); };
  auto cut = [](RightsFleet& fleet) {
    fleet.SetPartitioned(0, true);
    fleet.SetDemand(0, 0, 0);
  };
  MeasureUnusableRights("killed, then replaced", kill,
                        [](RightsFleet& fleet) { fleet.Replace(0); });
  MeasureUnusableRights("killed, then marked as ended", kill,
                        [](RightsFleet& fleet) { fleet.MarkEnded(0); });
  MeasureUnusableRights(
      "killed, replaced at once",
      [](RightsFleet& fleet) {
        fleet.Kill(0);
        fleet.Replace(0);
      },
      [](RightsFleet&) {});
  MeasureUnusableRights("paused, then resumed", pause,
                        [](RightsFleet& fleet) { fleet.SetPaused(0, false); });
  MeasureUnusableRights(
      "partitioned and idle, then linked", cut,
      [](RightsFleet& fleet) { fleet.SetPartitioned(0, false); });
  MeasureUnusableRights(
      "stopped gracefully", [](RightsFleet& fleet) { fleet.Stop(0); },
      [](RightsFleet&) {});
}

/// Prints the processor time of one host's decisions.
void PrintCost(const Size& size) {
  RightsFleet fleet = MakeFleet(RightsScheme::kLedger, size);
  fleet.SetAuditInterval(1'000'000);
  const std::clock_t start = std::clock();
  RunRotation(fleet, size, seconds(20));
  const double spent =
      static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  std::printf(
      "cost %dx%d: %.2f%% of a core per host at 100 ticks/s, with the "
      "simulation's own work\n",
      size.hosts, size.teams, 100 * spent / 20 / size.hosts);
}

void MeasureSmall() {
  const Size size{.hosts = 7, .teams = 6};
  for (const RightsScheme scheme :
       {RightsScheme::kUncoordinated, RightsScheme::kStaticSplit,
        RightsScheme::kLedger}) {
    if (scheme != RightsScheme::kLedger && !FLAGS_baselines) continue;
    Steady(scheme, size);
    Rotating(scheme, size, "rotating", {}, minutes(2));
    SteadyOutage(scheme, size);
    RotatingOutage(scheme, size);
  }
  const auto ledger = RightsScheme::kLedger;
  Rotating(ledger, size, "rotating, 10% lost", {.lost_reply_probability = 0.1},
           minutes(2));
  Rotating(ledger, size, "rotating, 30% slow", {.slow_probability = 0.3},
           minutes(2));
  Idle(size);
  PrintUnusableRights();
  PrintCost(size);
}

void MeasureLarge() {
  const Size size{.hosts = 42, .teams = kLargeTeams, .audit_interval = 100};
  Idle(size);
  Rotating(RightsScheme::kLedger, size, "rotating", {}, seconds(20));
  PrintCost(size);
}

void Main() {
  PrintHeader();
  if (FLAGS_small) MeasureSmall();
  if (FLAGS_large) MeasureLarge();
}

}  // namespace
}  // namespace hyssopbarrow

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "measures the ledger of rights for team ceilings in virtual time");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  hyssopbarrow::Main();
}
