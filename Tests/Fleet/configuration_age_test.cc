#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "Fleet/fleet_simulation.h"
#include "Fleet/owner_fixture.h"
#include "Policy/entry.h"

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

}  // namespace
}  // namespace hyssopbarrow::fleet
