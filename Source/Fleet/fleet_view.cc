#include "Fleet/fleet_view.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "Http/json_response.h"
#include "Model/text.h"

namespace hyssopbarrow::fleet {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxRows = 1000;  ///< About 200 KB of text.

json MakeRow(std::string_view kind, const std::string& name,
             std::int64_t revision, json value) {
  return {{"kind", kind},
          {"name", name},
          {"revision", revision},
          {"value", std::move(value)}};
}

json ValueOf(const Job& job) {
  const JobSpec& spec = job.record.spec;
  std::int64_t tasks_per_occurrence = 0;
  for (const Step& step : spec.steps) tasks_per_occurrence += step.count;
  std::int64_t done =
      tasks_per_occurrence *
      static_cast<std::int64_t>(job.finished_occurrences.size());
  std::int64_t running = 0;
  std::int64_t failed_runs = 0;
  for (const auto& [number, occurrence] : job.open_occurrences) {
    for (const StepProgress& step : occurrence.steps) {
      done += step.done_tasks;
      for (const Task& task : step.tasks) {
        running += task.assignments.empty() ? 0 : 1;
        failed_runs += static_cast<std::int64_t>(task.failed_runs.size());
      }
    }
  }
  return {
      {"queue", job.record.queue},
      {"team", job.record.team},
      {"state", ToString(job.state)},
      {"stored", job.final_state_stored},
      {"tasks", tasks_per_occurrence * std::max<std::int64_t>(1, spec.repeats)},
      {"tasks_done", done},
      {"tasks_running", running},
      {"failed_runs", failed_runs}};
}

json ValueOf(const TargetView& target) {
  return {{"pool", target.entry.pool},
          {"host", target.entry.host},
          {"data_centre", target.entry.data_centre},
          {"listed", target.listed},
          {"heard", target.synced && target.unanswered_polls == 0},
          {"draining", target.entry.draining},
          {"reserved", target.reserved},
          {"runs", target.runs.size()},
          {"cpu_milli_used", target.used.cpu_milli},
          {"cpu_milli", target.entry.capacity.cpu_milli}};
}

json ValueOf(const WaveView& wave) {
  return {{"hosts", wave.wave.hosts.size()},
          {"hosts_done", wave.done_hosts.size()},
          {"limit", wave.wave.max_unavailable},
          {"completed", wave.completed}};
}

/// Keys of a map, sorted.
template <typename Map>
std::vector<std::string> SortedKeys(const Map& map) {
  std::vector<std::string> keys;
  keys.reserve(map.size());
  for (const auto& [key, value] : map) keys.push_back(key);
  std::sort(keys.begin(), keys.end());
  return keys;
}

std::vector<json> JobRows(const Owner& owner) {
  const std::vector<std::string> ids = SortedKeys(owner.jobs);
  std::vector<json> rows;
  for (const bool final : {false, true}) {
    for (const std::string& id : ids) {
      const Job& job = owner.jobs.at(id);
      if (IsFinal(job.state) != final) continue;
      rows.push_back(MakeRow("job", id, owner.commit_sequence, ValueOf(job)));
    }
  }
  return rows;
}

std::vector<json> TargetRows(const Owner& owner) {
  std::vector<json> rows;
  for (const std::string& id : SortedKeys(owner.targets)) {
    rows.push_back(MakeRow("target", id, owner.commit_sequence,
                           ValueOf(owner.targets.at(id))));
  }
  return rows;
}

std::vector<json> WaveRows(const Owner& owner) {
  std::vector<json> rows;
  for (const auto& [number, wave] : owner.host_manager.waves) {
    rows.push_back(MakeRow("wave", std::to_string(number),
                           owner.commit_sequence, ValueOf(wave)));
  }
  return rows;
}

std::vector<json> RelayRows(const Owner& owner, Instant now) {
  std::vector<json> rows;
  for (const auto& [node, relay] : owner.relays) {
    rows.push_back(MakeRow("relay", node, owner.commit_sequence,
                           {{"address", relay.address},
                            {"data_centre", relay.data_centre},
                            {"capacity", relay.capacity},
                            {"targets", relay.targets},
                            {"failures", relay.failures},
                            {"usable", relay.usable_from <= now}}));
  }
  return rows;
}

/// What is expected of a task with the usual estimate.
json ValueOf(const RunTimes& run_times, const RunTimeKey& key,
             const RunTimeModel& model) {
  constexpr double kPercent = 100;
  const RunTimeForecast forecast = ForecastRunTime(run_times, key);
  const double factor = std::exp(std::sqrt(model.errors.variance));
  return {{"usual_declared_ms", key.declared_ms},
          {"expected_ms", forecast.expected_ms},
          {"high_ms", forecast.high_ms},
          {"usual_error_pct", std::llround((factor - 1) * kPercent)},
          {"ends", model.ends}};
}

/// By queue and, where tasks have them, image.
std::vector<json> RunTimeRows(const Owner& owner) {
  std::vector<json> rows;
  for (const auto& [queue, images] : owner.run_times.models) {
    for (const auto& [image, model] : images) {
      const RunTimeKey key{
          .queue = queue,
          .image = image,
          .declared_ms = std::llround(std::exp(model.declared_mean))};
      rows.push_back(MakeRow(
          "run-times", image.empty() ? queue : StrCat(queue, " ", image),
          owner.commit_sequence, ValueOf(owner.run_times, key, model)));
    }
  }
  return rows;
}

std::vector<json> OwnerRows(const EntryState& entry) {
  const Ownership& ownership = entry.ownership;
  if (!ownership.loaded || ownership.released) return {};
  return {MakeRow("owner", ownership.holder, ownership.lease_revision,
                  {{"epoch", ownership.epoch},
                   {"address", ownership.address},
                   {"this_host", entry.owner.has_value()}})};
}

/// Every entry host knows the evacuations; `age_ms` says as of when.
std::vector<json> EvacuationRows(const EntryState& entry, Instant now) {
  std::vector<json> rows;
  const TableFollower& follower = entry.configuration_follower;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - follower.known_at);
  for (const std::string& data_centre : entry.evacuated) {
    json value = {{"age_ms", age.count()}};
    if (entry.owner.has_value()) {
      std::int64_t runs = 0;
      std::int64_t targets = 0;
      for (const auto& [id, target] : entry.owner->targets) {
        if (target.entry.data_centre != data_centre) continue;
        ++targets;
        runs += static_cast<std::int64_t>(target.runs.size());
      }
      value["targets"] = targets;
      value["runs"] = runs;
    }
    rows.push_back(MakeRow("evacuation", data_centre, follower.revision,
                           std::move(value)));
  }
  return rows;
}

HttpResponse MakeRowsResponse(std::vector<json> rows) {
  const std::size_t left_out =
      rows.size() > kMaxRows ? rows.size() - kMaxRows : 0;
  rows.resize(rows.size() - left_out);
  return JsonResponse(200, {{"rows", rows}, {"more", left_out}});
}

}  // namespace

HttpResponse MakeFleetResponse(const EntryState& entry, std::string_view kind,
                               Instant now) {
  if (kind == "owners") return MakeRowsResponse(OwnerRows(entry));
  if (kind == "evacuations") {
    return MakeRowsResponse(EvacuationRows(entry, now));
  }
  if (kind != "jobs" && kind != "targets" && kind != "relays" &&
      kind != "waves" && kind != "run-times") {
    return ErrorResponse(404,
                         "expected jobs, targets, owners, relays, waves, "
                         "evacuations or run-times");
  }
  if (!entry.owner.has_value()) {
    return ErrorResponse(
        503, entry.ownership.released
                 ? "no entry host owns the fleet"
                 : StrCat("ask the owner at ", entry.ownership.address));
  }
  const Owner& owner = *entry.owner;
  if (kind == "jobs") return MakeRowsResponse(JobRows(owner));
  if (kind == "run-times") return MakeRowsResponse(RunTimeRows(owner));
  if (kind == "relays") return MakeRowsResponse(RelayRows(owner, now));
  return MakeRowsResponse(kind == "targets" ? TargetRows(owner)
                                            : WaveRows(owner));
}

}  // namespace hyssopbarrow::fleet
