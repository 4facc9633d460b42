#include "Standalone/sample.h"

#include <utility>

#include "Fleet/job_api.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

Host SampleHost(std::size_t n, const std::string& address,
                const std::string& data_centre) {
  return {.name = StrCat("target-", n + 1),
          .pool = n == 0 ? "settlement" : "booking",
          .data_centre = data_centre,
          .rack = StrCat("rack-", n / 4 + 1),
          .address = address};
}

constexpr fleet::Resources kTargetCapacity = {.cpu_milli = 4000,
                                              .memory_mb = 4096};
constexpr std::int64_t kLatencyTargetMs = 1000;
constexpr std::int64_t kMaxAttempts = 3;

fleet::Configuration JobConfiguration(const Snapshot& snapshot) {
  fleet::Configuration configuration{.version = 1};
  for (const auto& [name, queue] : snapshot.queues) {
    configuration.queues.push_back({.name = name,
                                    .path_prefix = fleet::JobsPath(name),
                                    .pool = queue.pool,
                                    .open = queue.open,
                                    .max_attempts = kMaxAttempts,
                                    .slack_factor = 1,
                                    .latency_target_ms = kLatencyTargetMs});
  }
  for (const auto& [name, pool] : snapshot.pools) {
    configuration.pools[name] = {.name = name};
  }
  for (const auto& [name, team] : snapshot.teams) {
    fleet::Team entry{.name = name, .weight = static_cast<double>(team.weight)};
    for (const auto& [key_name, key] : snapshot.keys) {
      if (key.team == name) entry.keys.push_back(key.digest);
    }
    configuration.teams.push_back(std::move(entry));
  }
  return configuration;
}

}  // namespace

fleet::FleetSample SampleFleet(const Snapshot& snapshot) {
  fleet::FleetSample sample{.configuration = JobConfiguration(snapshot)};
  for (const auto& [name, host] : snapshot.hosts) {
    sample.targets.push_back({.id = name,
                              .pool = host.pool,
                              .address = host.address,
                              .data_centre = host.data_centre,
                              .host = name,
                              .started_unix_ms = 1,
                              .capacity = kTargetCapacity,
                              .labels = {host.rack}});
  }
  return sample;
}

Snapshot SampleSnapshot(const std::vector<std::string>& addresses,
                        const std::string& data_centre) {
  Snapshot snapshot;
  snapshot.revision = 1;
  snapshot.teams["namche"] = {.name = "namche", .weight = 2, .ceiling = 64};
  snapshot.teams["lukla"] = {.name = "lukla", .weight = 1, .ceiling = 64};
  snapshot.pools["booking"] = {.name = "booking"};
  snapshot.pools["settlement"] = {.name = "settlement"};
  snapshot.queues["book"] = {.name = "book", .pool = "booking"};
  snapshot.queues["status"] = {
      .name = "status", .pool = "booking", .open = true};
  snapshot.queues["tally"] = {
      .name = "tally", .pool = "settlement", .queue_class = QueueClass::kLong};
  snapshot.keys["namche-desk"] = {.name = "namche-desk",
                                  .digest = Sha256Hex(kSampleCallerKey),
                                  .team = "namche"};
  snapshot.keys["lukla-desk"] = {.name = "lukla-desk",
                                 .digest = Sha256Hex("sample-lukla"),
                                 .team = "lukla"};
  snapshot.keys["office"] = {.name = "office",
                             .digest = Sha256Hex(kSampleOperatorKey),
                             .role = KeyRole::kOperator,
                             .verbs = {"*"}};
  for (std::size_t n = 0; n < addresses.size(); ++n) {
    Host host = SampleHost(n, addresses[n], data_centre);
    snapshot.hosts.emplace(host.name, std::move(host));
  }
  return snapshot;
}

Transaction LoadTransaction(const Snapshot& snapshot) {
  Transaction transaction;
  for (Row& row : ToRows(snapshot)) {
    transaction.conditions.push_back({row.key, 0});
    transaction.writes.push_back({row.key, std::move(row.value)});
  }
  return transaction;
}

}  // namespace hyssopbarrow
