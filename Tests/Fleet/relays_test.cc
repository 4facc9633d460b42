#include "Policy/relays.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

#include "Fleet/fleet_simulation.h"
#include "Fleet/owner_fixture.h"
#include "Model/text.h"
#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string DataCentre(int n) { return {n % 2 == 0 ? 'a' : 'b'}; }

/// An owner of 40 targets in two data centres, on a host that can carry eight,
/// beside five hosts that can carry 24 each.
struct RelayFixture : OwnerFixture {
  RelayFixture() {
    now = Instant(seconds(100));
    for (int n = 0; n < 40; ++n) {
      TargetView& target = owner.targets[StrCat("i-", n)];
      target.entry.id = StrCat("i-", n);
      target.entry.data_centre = DataCentre(n);
    }
    for (int n = 0; n < 5; ++n) {
      candidates[StrCat("node-", n)] = {
          .cpu_milli = 120,
          .link_mbps = 2,
          .relay_address = StrCat("10.0.0.", n, ":7001"),
          .data_centre = DataCentre(n)};
    }
  }

  void Assign() {
    Context context = MakeContext();
    AssignRelays(owner, candidates, self, context);
  }

  void Lose(const std::string& address) {
    Context context = MakeContext();
    HandleRelayLost(owner, address, candidates, self, context);
  }

  std::string AddressFor(const std::string& target, TargetRequestKind kind,
                         const std::string& job = "") {
    TargetRequest request{.kind = kind};
    request.task.job = job;
    return RelayAddress(owner, owner.targets.at(target), request, now);
  }

  std::set<std::string> PollAddresses() {
    std::set<std::string> addresses;
    for (const auto& [id, target] : owner.targets) {
      addresses.insert(AddressFor(id, TargetRequestKind::kPoll));
    }
    return addresses;
  }

  std::map<std::string, Candidate> candidates;
  Identity self{.node = "owner", .cpu_milli = 10, .link_mbps = 100};
};

TEST_CASE("an owner that can carry its fleet uses no relays") {
  RelayFixture fixture;
  fixture.self.cpu_milli = 500;
  fixture.Assign();
  CHECK(fixture.owner.relays.empty());
  CHECK(fixture.PollAddresses() == std::set<std::string>{""});
}

TEST_CASE("the smaller of CPU share and bandwidth limits a relay") {
  CHECK(RelayCapacity(500, 200) == 400);
  CHECK(RelayCapacity(120, 2) == 24);
  CHECK(RelayCapacity(0, 200) == 0);
  CHECK(RelayCapacity(500, 0) == 0);
}

TEST_CASE("relays have room for the fleet twice and share it evenly") {
  RelayFixture fixture;
  fixture.Assign();
  CHECK(fixture.owner.relays.size() == 4);
  for (const auto& [node, relay] : fixture.owner.relays) {
    CHECK(relay.targets == 10);
  }
  for (const auto& [id, target] : fixture.owner.targets) {
    CHECK(fixture.owner.relays.at(target.relay).data_centre ==
          target.entry.data_centre);
  }
}

TEST_CASE("a lost relay is replaced at once and used again after a delay") {
  RelayFixture fixture;
  fixture.Assign();
  const std::string lost = "10.0.0.0:7001";
  CHECK(fixture.PollAddresses().count(lost) == 1);
  fixture.Lose(lost);
  CHECK(fixture.PollAddresses().count(lost) == 0);
  CHECK(fixture.PollAddresses().count("") == 0);
  fixture.now += milliseconds(1900);
  fixture.Assign();
  CHECK(fixture.PollAddresses().count(lost) == 0);
  // Targets that arrive later go to the relay with the least load.
  fixture.now += milliseconds(200);
  fixture.owner.targets["i-new"].entry.data_centre = DataCentre(0);
  fixture.Assign();
  CHECK(fixture.AddressFor("i-new", TargetRequestKind::kPoll) == lost);
}

TEST_CASE("a relay that is lost again waits longer") {
  RelayFixture fixture;
  fixture.Assign();
  const std::string address = "10.0.0.0:7001";
  fixture.Lose(address);
  fixture.now += milliseconds(2100);
  fixture.Lose(address);
  CHECK(fixture.owner.relays.at("node-0").usable_from ==
        fixture.now + milliseconds(4000));
}

TEST_CASE("without a usable relay the owner sends requests itself") {
  RelayFixture fixture;
  fixture.Assign();
  for (int n = 0; n < 5; ++n) fixture.Lose(StrCat("10.0.0.", n, ":7001"));
  CHECK(fixture.PollAddresses() == std::set<std::string>{""});
  CHECK(fixture.AddressFor("i-1", TargetRequestKind::kStart, "job").empty());
}

TEST_CASE("the request after an unanswered poll is sent directly") {
  RelayFixture fixture;
  fixture.Assign();
  fixture.owner.targets.at("i-1").unanswered_polls = 1;
  CHECK(fixture.AddressFor("i-1", TargetRequestKind::kPoll).empty());
  fixture.owner.targets.at("i-1").unanswered_polls = 2;
  CHECK_FALSE(fixture.AddressFor("i-1", TargetRequestKind::kPoll).empty());
}

TEST_CASE("the starts of a job share a relay") {
  RelayFixture fixture;
  fixture.Assign();
  std::set<std::string> addresses;
  for (const auto& [id, target] : fixture.owner.targets) {
    addresses.insert(
        fixture.AddressFor(id, TargetRequestKind::kStart, "0123456789abcdef"));
  }
  CHECK(addresses.size() == 1);
  CHECK(addresses.count("") == 0);
}

TEST_CASE("a poll lost with its relay does not mark its target as silent") {
  RelayFixture fixture;
  fixture.owner.jobs_loaded = true;
  fixture.owner.target_requests_allowed_until = fixture.now + seconds(1);
  TargetView& target = fixture.owner.targets.at("i-1");
  Context context = fixture.MakeContext();
  SendTargetRequest(fixture.owner, target, {.kind = TargetRequestKind::kPoll},
                    false, context);
  const std::int64_t id = target.pending_poll;
  CHECK(HandleTargetReply(fixture.owner, id,
                          {.result = TargetResult::kRelayLost}, context));
  CHECK(target.unanswered_polls == 0);
  CHECK(target.pending_poll == 0);
  CHECK(target.next_poll <= fixture.now);
}

std::string JobId(int n) {
  std::string id(16, '0');
  for (std::size_t at = id.size(); n > 0; n /= 10) {
    id[--at] = static_cast<char>('0' + n % 10);
  }
  return id;
}

/// Runs a fleet of 12 targets, of which the owner can carry none, for `time`
/// with `jobs` short jobs, and `disturb` each second.
void RunWithRelays(std::uint64_t seed, int jobs,
                   const std::function<void(FleetSimulation&, int)>& disturb) {
  FleetSimulation fleet(seed, 5, 12);
  fleet.cpu_milli = {5, 5, 5, 5, 5};
  fleet.link_mbps = 1;
  for (int n = 0; n < 5; ++n) fleet.KillEntry(n);
  fleet.Run(seconds(4));
  for (int n = 0; n < jobs; ++n) {
    fleet.Submit(JobId(n), SimpleJob(3, n % 2 == 0));
  }
  for (int second = 0; second < 20; ++second) {
    disturb(fleet, second);
    fleet.Run(seconds(1));
  }
  fleet.Run(seconds(20));
  CHECK(fleet.relayed_count > 0);
  for (int n = 0; n < jobs; ++n) {
    CAPTURE(seed, n);
    CHECK(fleet.StateOf(JobId(n)) == JobState::kCompleted);
  }
  CAPTURE(seed);
  CHECK(fleet.violations == std::vector<std::string>{});
  CHECK(fleet.UnfinishedTasksOfCompletedJobs().empty());
}

TEST_CASE("a fleet behind relays runs each task once") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    RunWithRelays(seed, 30, [](FleetSimulation&, int) {});
  }
}

TEST_CASE("no task runs twice while relays are killed and frozen") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RunWithRelays(seed, 30, [seed](FleetSimulation& fleet, int second) {
      const int victim = (static_cast<int>(seed) + 3 * second) % 5;
      if (second % 3 == 0) fleet.KillEntry(victim);
      if (second % 3 == 1) fleet.FreezeEntry(victim, milliseconds(2500));
    });
  }
}

TEST_CASE("no task runs twice while relays lose replies and targets") {
  for (std::uint64_t seed = 21; seed <= 35; ++seed) {
    RunWithRelays(seed, 30, [seed](FleetSimulation& fleet, int second) {
      fleet.faults.lost_reply_share = second < 15 ? 0.1 : 0;
      fleet.faults.late_request_share = second < 15 ? 0.05 : 0;
      const int victim = (static_cast<int>(seed) + second) % 5;
      if (second % 4 == 0) {
        fleet.DisconnectFromTargets(victim, {1, 2, 3, 4, 5, 6});
      } else {
        fleet.DisconnectFromTargets(victim, {});
      }
    });
  }
}

}  // namespace
}  // namespace hyssopbarrow::fleet
