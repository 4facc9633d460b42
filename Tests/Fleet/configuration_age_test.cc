#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "Fleet/fleet_simulation.h"
#include "Fleet/owner_fixture.h"
#include "Policy/entry.h"
#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kHost[] = "jobs.example";
constexpr char kJobPath[] = "/book/00000000000000c1";

Configuration MakeConfiguration(std::int64_t version) {
  Configuration configuration{.version = version};
  configuration.queues.push_back({.name = "book",
                                  .host_name = kHost,
                                  .path_prefix = "/book/",
                                  .pool = "desk"});
  configuration.teams.push_back({.name = "huts", .keys = {"key"}});
  return configuration;
}

/// An entry host that follows the configuration and the ownership. The test is
/// the store.
struct EntryFixture {
  EntryFixture() {
    Tick();
    ReplyToConfiguration({.status = StoreStatus::kOk,
                          .configuration = MakeConfiguration(1),
                          .revision = 1});
    ReplyToConfiguration({.status = StoreStatus::kOk, .revision = 1});
    ReplyToOwnership();
    ReplyToOwnership();
  }

  void Tick() { OnTick(entry, {.now = now}, out); }

  void ReplyToConfiguration(const StoreRows& reply) {
    HandleStoreReply(entry, entry.configuration_follower.pending_request, reply,
                     {.now = now}, out);
  }

  void ReplyToOwnership() {
    HandleStoreReply(entry, entry.ownership_follower.pending_request,
                     {.status = StoreStatus::kOk, .revision = 1}, {.now = now},
                     out);
  }

  /// The last watch of the configuration that was sent.
  WatchRows LastWatch() const {
    WatchRows last;
    for (const Effect& effect : out) {
      const auto* watch = std::get_if<WatchRows>(&effect);
      const bool found =
          watch != nullptr && watch->table == Table::kConfiguration;
      if (found) last = *watch;
    }
    return last;
  }

  /// Makes a call and returns its answer if it is answered at once.
  std::optional<CallOutcome> Call(CallKind kind, const std::string& path,
                                  const std::string& key) {
    Effects effects;
    OnCall(entry,
           {.number = ++calls,
            .kind = kind,
            .host_name = kHost,
            .path = path,
            .key = key,
            .spec = SimpleJob(1, false),
            .time_left = seconds(3)},
           {.now = now, .unix_ms = 90'000}, effects);
    for (const Effect& effect : effects) {
      const auto* reply = std::get_if<CallReply>(&effect);
      if (reply != nullptr) return reply->outcome;
    }
    return std::nullopt;
  }

  Instant now{seconds(90)};
  EntryState entry;
  Effects out;
  std::int64_t calls = 0;
};

// khumbu-sched, CONFIG: an entry host whose watches got no reply refused a key
// and a route that had been added, and served a key that had been withdrawn.
TEST_CASE("an outdated configuration decides neither refusals nor writes") {
  EntryFixture fixture;
  fixture.now += milliseconds(1950);
  fixture.ReplyToOwnership();
  const auto call = [&](CallKind kind, const std::string& path,
                        const std::string& key) {
    return fixture.Call(kind, path, key);
  };
  SECTION("current") {
    CHECK(call(CallKind::kSubmit, kJobPath, "key") == std::nullopt);
    CHECK(call(CallKind::kCancel, kJobPath, "key") == std::nullopt);
    CHECK(call(CallKind::kSubmit, "/new/1", "key") == CallOutcome::kNoQueue);
    CHECK(call(CallKind::kSubmit, kJobPath, "new") == CallOutcome::kBadKey);
    CHECK(IsServing(fixture.entry, fixture.now));
  }
  SECTION("outdated") {
    fixture.now += milliseconds(51);
    for (const std::string key : {"key", "new"}) {
      for (const std::string path : {kJobPath, "/new/1"}) {
        CAPTURE(path, key);
        CHECK(call(CallKind::kSubmit, path, key) == CallOutcome::kNotAccepted);
        CHECK(call(CallKind::kCancel, path, key) == CallOutcome::kUnavailable);
        CHECK(call(CallKind::kState, path, key) == CallOutcome::kUnavailable);
      }
    }
    CHECK_FALSE(IsServing(fixture.entry, fixture.now));
  }
}

// Guards against queries that fail for as long as the store is down.
TEST_CASE("a host without the store answers queries that it knows to allow") {
  EntryFixture fixture;
  fixture.now += seconds(5);
  CHECK(fixture.Call(CallKind::kState, kJobPath, "key") == std::nullopt);
  CHECK(fixture.Call(CallKind::kState, kJobPath, "new") ==
        CallOutcome::kUnavailable);
  CHECK(fixture.Call(CallKind::kState, "/new/1", "key") ==
        CallOutcome::kUnavailable);
  CHECK(fixture.Call(CallKind::kSubmit, kJobPath, "key") ==
        CallOutcome::kNotAccepted);
}

// Guards against a host that learns of a change only when a further watch has
// waited, and against a watch as long as the bound.
TEST_CASE("a watch that failed is followed by one that does not wait") {
  EntryFixture fixture;
  CHECK(fixture.LastWatch().wait == seconds(1));
  fixture.now += milliseconds(1700);
  fixture.ReplyToConfiguration({});
  fixture.now += milliseconds(120);
  fixture.Tick();
  CHECK(fixture.LastWatch().wait == Duration::zero());
  fixture.ReplyToConfiguration({.status = StoreStatus::kOk, .revision = 1});
  CHECK(IsConfigurationCurrent(fixture.entry, fixture.now));
  CHECK(fixture.LastWatch().wait == seconds(1));
}

// khumbu-sched, CONFIG: each call put off the next tick by 50 ms, so that a
// host with more calls than 20 a second did not retry its watches.
TEST_CASE("calls do not put off the retry of a watch") {
  EntryFixture fixture;
  fixture.Tick();
  fixture.ReplyToConfiguration({});
  const Instant failed_at = fixture.now;
  const std::int64_t failed = fixture.LastWatch().id;
  while (fixture.now < failed_at + milliseconds(300)) {
    fixture.now += milliseconds(10);
    fixture.Call(CallKind::kState, kJobPath, "key");
    const bool due = NextTick(fixture.entry, fixture.now) <= fixture.now;
    if (due) fixture.Tick();
  }
  CHECK(fixture.LastWatch().id > failed);
}

// Guards against a configuration whose known age is that of two watches.
TEST_CASE("a change of the configuration is confirmed by a further watch") {
  EntryFixture fixture;
  fixture.now += milliseconds(900);
  fixture.ReplyToConfiguration({.status = StoreStatus::kOk,
                                .configuration = MakeConfiguration(2),
                                .revision = 2});
  CHECK(fixture.LastWatch().wait == Duration::zero());
  fixture.ReplyToConfiguration({.status = StoreStatus::kOk, .revision = 2});
  CHECK(fixture.entry.configuration_follower.known_at == fixture.now);
  CHECK(fixture.LastWatch().wait == seconds(1));
}

// Guards against a host that ends because the first version is not readable.
TEST_CASE("a host may start with an unreadable configuration") {
  EntryState entry;
  Effects out;
  OnTick(entry, {.now = Instant(seconds(90))}, out);
  for (int n = 0; n < 3; ++n) {
    HandleStoreReply(entry, entry.configuration_follower.pending_request,
                     {.status = StoreStatus::kOk,
                      .configuration_unreadable = true,
                      .revision = 1},
                     {.now = Instant(seconds(90 + n * 5))}, out);
    OnTick(entry, {.now = Instant(seconds(93 + n * 5))}, out);
  }
  CHECK_FALSE(IsServing(entry, Instant(seconds(105))));
}

TEST_CASE("the watch of the configuration follows its time bound") {
  EntryFixture fixture;
  fixture.entry.timing.max_configuration_age = seconds(3);
  fixture.now += seconds(1);
  fixture.ReplyToConfiguration({.status = StoreStatus::kOk, .revision = 1});
  CHECK(fixture.LastWatch().wait == milliseconds(1500));
}

// Guards against a host that passes over a version which it cannot read, says
// that it is ready and refuses what that version allows.
TEST_CASE("a host that cannot read the newest configuration is not ready") {
  EntryFixture fixture;
  fixture.ReplyToConfiguration({.status = StoreStatus::kOk,
                                .configuration_unreadable = true,
                                .revision = 2});
  fixture.ReplyToConfiguration({.status = StoreStatus::kOk, .revision = 3});
  CHECK_FALSE(IsServing(fixture.entry, fixture.now));
  CHECK(fixture.Call(CallKind::kSubmit, "/new/1", "key") ==
        CallOutcome::kNotAccepted);
  CHECK(fixture.Call(CallKind::kSubmit, kJobPath, "new") ==
        CallOutcome::kNotAccepted);
  CHECK(fixture.Call(CallKind::kSubmit, kJobPath, "key") == std::nullopt);
  fixture.ReplyToConfiguration({.status = StoreStatus::kOk,
                                .configuration = MakeConfiguration(3),
                                .revision = 4});
  CHECK(IsServing(fixture.entry, fixture.now));
  CHECK(fixture.Call(CallKind::kSubmit, "/new/1", "key") ==
        CallOutcome::kNoQueue);
}

// Guards against refusals that rest on entries which could not be read.
TEST_CASE("a configuration that is read in part refuses nothing for certain") {
  EntryFixture fixture;
  Configuration partial = MakeConfiguration(2);
  partial.unreadable_entries = 1;
  fixture.ReplyToConfiguration(
      {.status = StoreStatus::kOk, .configuration = partial, .revision = 2});
  CHECK(IsServing(fixture.entry, fixture.now));
  CHECK(fixture.Call(CallKind::kSubmit, kJobPath, "key") == std::nullopt);
  CHECK(fixture.Call(CallKind::kSubmit, "/new/1", "key") ==
        CallOutcome::kNotAccepted);
  CHECK(fixture.Call(CallKind::kSubmit, kJobPath, "new") ==
        CallOutcome::kNotAccepted);
}

TEST_CASE("a ceiling that cannot be read stays as it was") {
  EntryFixture fixture;
  Configuration before = MakeConfiguration(2);
  before.teams[0].ceiling = {.cpu_milli = 7};
  fixture.ReplyToConfiguration(
      {.status = StoreStatus::kOk, .configuration = before, .revision = 2});
  Configuration odd = MakeConfiguration(3);
  odd.teams[0].ceiling_readable = false;
  fixture.ReplyToConfiguration(
      {.status = StoreStatus::kOk, .configuration = odd, .revision = 3});
  CHECK(fixture.entry.configuration->version == 3);
  CHECK(fixture.entry.configuration->teams[0].ceiling.cpu_milli == 7);
}

// Guards against starts above a ceiling that was lowered while the owner got no
// reply to its watches of the configuration alone.
TEST_CASE("an owner that does not hear of changes starts no waiting job") {
  FleetSimulation simulation(53, 3, 1);
  simulation.Run(seconds(2));
  const int owner = simulation.OwnerIndex();
  REQUIRE(owner >= 0);
  simulation.StallWatches(owner, Table::kConfiguration, true);
  simulation.Run(seconds(3));
  const std::string id = "00000000000000bb";
  simulation.Submit(id, SimpleJob(1, false));
  simulation.Run(seconds(4));
  CHECK(simulation.OwnerIndex() == owner);
  CHECK(simulation.StartsOf({id, 0, 0, 0}) == 0);
  simulation.StallWatches(owner, Table::kConfiguration, false);
  simulation.Run(seconds(3));
  CHECK(simulation.StartsOf({id, 0, 0, 0}) == 1);
  CHECK(simulation.violations.empty());
}

}  // namespace
}  // namespace hyssopbarrow::fleet
