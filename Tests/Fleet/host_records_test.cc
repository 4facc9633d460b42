#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "Fleet/owner_fixture.h"
#include "Policy/entry_internal.h"
#include "Policy/host_manager.h"
#include "Policy/owner_commits.h"
#include "Policy/placement.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kHostName[] = "m-1";
constexpr char kRecordKey[] = "host/m-1";

/// The second owner of a fleet. Its only host has been idle for long in a pool
/// that does not need it, and its target is responsive.
struct Successor : OwnerFixture {
  Configuration pools;

  Successor() {
    pools.pools["desk"] = {.name = "desk"};
    pools.pools["store"] = {.name = "store", .spare = true};
    configuration = &pools;
    owner.epoch = 2;
    owner.owned_since = now;
    owner.progress_loaded = true;
    owner.host_requests_allowed_until = now + std::chrono::hours(1);
    for (const std::string name : {"m-0", kHostName}) {
      HostView& host = owner.host_manager.hosts[name];
      host.host = {.name = name, .pool = "desk", .state = HostState::kUp};
      TargetView& target = owner.targets[name];
      target.entry = {.id = name,
                      .pool = "desk",
                      .host = name,
                      .started_unix_ms = 1,
                      .capacity = {.cpu_milli = 16'000}};
      target.synced = true;
    }
    owner.targets["m-0"].used.cpu_milli = 1000;
    owner.targets["m-0"].runs[{"0000000000000001", 0, 0, 0}] = {};
  }

  void Restore(const nlohmann::json& record) {
    StoreRows rows{.status = StoreStatus::kOk};
    rows.rows.push_back({.key = kRecordKey, .value = record});
    Context context = MakeContext();
    ApplyProgressRows(owner, rows, context);
  }

  /// Lets the owner find the entry of the host's target, which is responsive.
  TargetView& FindTarget() {
    StoreRows rows{.status = StoreStatus::kOk};
    rows.targets.push_back({.id = kHostName,
                            .pool = "desk",
                            .host = kHostName,
                            .started_unix_ms = 1,
                            .capacity = {.cpu_milli = 16'000}});
    Context context = MakeContext();
    ApplyTargetRows(owner, rows, false, context);
    TargetView& target = owner.targets[kHostName];
    target.synced = true;
    return target;
  }

  /// Lets the owner act for `duration`. The store answers each commit with
  /// `status`.
  void Run(Duration duration, StoreStatus status = StoreStatus::kOk) {
    const Instant end = now + duration;
    for (; now < end; now += milliseconds(100)) {
      Context context = MakeContext();
      AdvanceHostManager(owner, context);
      CommitChanges(owner, context, false);
      if (!owner.pending_commit.has_value()) continue;
      HandleCommitReply(owner, owner.pending_commit->id, {.status = status},
                        context);
    }
  }

  std::int64_t CountRequests() const {
    return std::count_if(out.begin(), out.end(), [](const Effect& effect) {
      return std::holds_alternative<HostRequest>(effect);
    });
  }

  /// What the last commit writes to the host's record; empty if nothing.
  std::optional<nlohmann::json> LastRecord() const {
    std::optional<nlohmann::json> record;
    for (const Effect& effect : out) {
      const auto* commit = std::get_if<CommitRows>(&effect);
      if (commit == nullptr) continue;
      for (const auto& [row, value] : commit->writes) {
        if (row.key == kRecordKey) record = value;
      }
    }
    return record;
  }

  void Reply(HostRequestResult result) {
    Context context = MakeContext();
    HandleHostReply(owner, owner.host_manager.hosts[kHostName].pending_request,
                    result, context);
  }
};

// Guards against ONE: the move of a cut-off owner was carried out six seconds
// later, after its successor had moved the same host.
TEST_CASE("a host with an open request of an earlier owner is left alone") {
  Successor fleet;
  SECTION("the record says so") {
    fleet.Restore({{"epoch", 1}, {"open", true}});
  }
  SECTION("the record cannot be read") { fleet.Restore("?"); }
  fleet.Run(milliseconds(14'900));
  CHECK(fleet.CountRequests() == 0);
  fleet.Run(milliseconds(500));
  CHECK(fleet.CountRequests() == 1);
}

// Guards against two owners in touch that alternate within the gap.
TEST_CASE("a host whose last request was answered waits for the gap") {
  Successor fleet;
  fleet.Restore({{"epoch", 1}, {"open", false}});
  fleet.Run(milliseconds(2900));
  CHECK(fleet.CountRequests() == 0);
  fleet.Run(milliseconds(500));
  CHECK(fleet.CountRequests() == 1);
}

TEST_CASE("a host without a record needs no wait after a takeover") {
  Successor fleet;
  fleet.Run(milliseconds(300));
  CHECK(fleet.CountRequests() == 1);
  CHECK(fleet.LastRecord() == nlohmann::json{{"epoch", 2}, {"open", true}});
}

// Guards against a request that a successor cannot know of.
TEST_CASE("no host request is sent before its record is stored") {
  Successor fleet;
  SECTION("the commit has no answer") {
    fleet.Run(seconds(2), StoreStatus::kUnknown);
  }
  SECTION("the owner is replaced between commit and request") {
    fleet.Run(seconds(2), StoreStatus::kUnavailable);
    fleet.owner.host_requests_allowed_until = fleet.now;
    fleet.Run(seconds(2));
  }
  CHECK(fleet.CountRequests() == 0);
}

// Guards against records that stay for ever, and against those that are gone
// while a request may still be carried out.
TEST_CASE("a record is kept while a request may be carried out") {
  Successor fleet;
  fleet.Run(milliseconds(300));
  REQUIRE(fleet.CountRequests() == 1);
  SECTION("the request is answered") {
    fleet.Reply(HostRequestResult::kInvalid);
    fleet.owner.host_manager.hosts.erase(kHostName);
    fleet.Run(milliseconds(500));
    CHECK(fleet.LastRecord() == nlohmann::json{{"epoch", 2}, {"open", false}});
    fleet.Run(seconds(3));
  }
  SECTION("it is not, and the host leaves the list") {
    fleet.owner.host_manager.hosts.erase(kHostName);
    fleet.Run(seconds(14));
    CHECK(fleet.LastRecord() == nlohmann::json{{"epoch", 2}, {"open", true}});
    fleet.Run(seconds(2));
  }
  CHECK(fleet.LastRecord() == nlohmann::json());
}

// Guards against a wave that takes out more hosts than allowed, because a
// request of an earlier owner is carried out after one of its successor.
TEST_CASE("a wave counts hosts that an earlier request may take out") {
  Successor fleet;
  fleet.Restore({{"epoch", 1}, {"open", true}});
  fleet.owner.targets["m-0"].runs.clear();
  fleet.owner.targets["m-0"].used = {};
  fleet.owner.host_manager.waves[1].wave = {.number = 1,
                                            .hosts = {"m-0", kHostName},
                                            .duration_ms = 60'000,
                                            .max_unavailable = 1};
  fleet.Run(milliseconds(14'900));
  CHECK(fleet.CountRequests() == 0);
  fleet.Run(milliseconds(500));
  CHECK(fleet.CountRequests() == 1);
}

// Guards against AVAIL: a request of the former owner, carried out late, ended
// tasks that its successor had started on the host.
TEST_CASE("nothing is started where an earlier request may be carried out") {
  Successor fleet;
  fleet.owner.targets.erase(kHostName);
  fleet.Restore({{"epoch", 1}, {"open", true}});
  TargetView& target = fleet.FindTarget();
  fleet.Run(milliseconds(14'900));
  CHECK_FALSE(IsUsable(target, fleet.now));
  fleet.Run(milliseconds(500));
  fleet.Reply(HostRequestResult::kInvalid);
  CHECK(IsUsable(target, fleet.now));
}

// Guards against AVAIL: the entry of a target was missing for a moment while a
// request for its host was on its way, and tasks were started there.
TEST_CASE("a target that is found again stays reserved for a host request") {
  Successor fleet;
  fleet.Run(milliseconds(300));
  REQUIRE(fleet.CountRequests() == 1);
  fleet.owner.targets.erase(kHostName);
  TargetView& target = fleet.FindTarget();
  CHECK_FALSE(IsUsable(target, fleet.now));
  SECTION("the request has got no reply") {
    fleet.Reply(HostRequestResult::kNoReply);
    fleet.Run(seconds(1));
    CHECK_FALSE(IsUsable(target, fleet.now));
  }
  SECTION("the request is refused") {
    fleet.Reply(HostRequestResult::kInvalid);
    CHECK(IsUsable(target, fleet.now));
  }
}

// Guards against LIMIT: a request without a reply may still be carried out,
// although the next one could not be sent.
TEST_CASE("a request that was not sent leaves an earlier one open") {
  Successor fleet;
  fleet.Run(milliseconds(300));
  const bool unanswered = GENERATE(false, true);
  if (unanswered) fleet.Reply(HostRequestResult::kNoReply);
  fleet.Run(milliseconds(500));
  fleet.Reply(HostRequestResult::kNotSent);
  CHECK(fleet.owner.host_manager.hosts[kHostName].request_sent == unanswered);
}

// Guards against records that wait for ever after a commit was refused.
TEST_CASE("records are stored while the size of commits is limited") {
  Successor fleet;
  fleet.owner.commit_job_limit = 5;
  fleet.Run(milliseconds(300));
  CHECK(fleet.CountRequests() == 1);
}

// Owners of earlier versions store no records.
TEST_CASE("requests of an owner without records are waited for") {
  Successor fleet;
  fleet.owner.host_manager.unrecorded_requests_end =
      fleet.now + milliseconds(1000);
  fleet.Run(milliseconds(1000));
  CHECK(fleet.CountRequests() == 0);
  fleet.Run(milliseconds(300));
  CHECK(fleet.CountRequests() == 1);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
