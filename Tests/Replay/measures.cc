#include "Replay/measures.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "Model/messages.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

/// A call waits in earnest once it is older than a round trip to a dispatcher.
constexpr Duration kMinWaitingTime = std::chrono::milliseconds(100);

constexpr Duration kShareWindow = std::chrono::seconds(5);

/// Running and waiting work of one team in one pool.
struct Demand {
  double running = 0;
  double waiting = 0;
  double weight = 1;
};

using PoolDemand = std::map<std::string, Demand>;

std::int64_t CountOf(const std::map<std::string, std::int64_t>& counts,
                     const std::string& name) {
  const std::int64_t* n = Find(counts, name);
  return n == nullptr ? 0 : *n;
}

bool IsBelowCeiling(const Record& record, const std::string& team) {
  if (team.empty()) return true;
  const Team* row = Find(record.CurrentTable().teams, team);
  return row != nullptr && CountOf(record.running_by_team, team) < row->ceiling;
}

bool IsWaiting(const Record& record, const SubmissionRecord& it, Instant now) {
  const bool aged = it.arrived + kMinWaitingTime < now && now < it.deadline;
  const EntryRecord& entry = record.entries.at(it.entry);
  return aged && it.running == 0 && it.runs == 0 && entry.running &&
         !entry.paused;
}

std::map<std::string, PoolDemand> DemandByPool(const Record& record,
                                               Instant now) {
  const Snapshot& table = record.CurrentTable();
  std::map<std::string, PoolDemand> demand;
  auto of = [&](const RequestRecord& request) -> Demand* {
    const Queue* queue = Find(table.queues, request.queue);
    const Team* team = Find(table.teams, request.team);
    if (queue == nullptr || team == nullptr) return nullptr;
    Demand& it = demand[queue->pool][request.team];
    it.weight = static_cast<double>(team->weight);
    return &it;
  };
  for (const auto& [id, run] : record.runs) {
    const SubmissionRecord& it = record.submissions[run.submission];
    Demand* d = of(record.requests[it.request]);
    if (d != nullptr) ++d->running;
  }
  for (std::size_t n : record.open_submissions) {
    const SubmissionRecord& it = record.submissions[n];
    const RequestRecord& request = record.requests[it.request];
    if (!IsWaiting(record, it, now)) continue;
    if (!IsBelowCeiling(record, request.team)) continue;
    Demand* d = of(request);
    if (d != nullptr) ++d->waiting;
  }
  return demand;
}

/// Weighted max-min division of what runs: nobody gets more than it asks for.
std::map<std::string, double> Entitlements(const PoolDemand& demand) {
  double left = 0;
  for (const auto& [team, it] : demand) left += it.running;
  std::map<std::string, double> entitled;
  std::vector<std::string> hungry;
  for (const auto& [team, it] : demand) hungry.push_back(team);
  while (!hungry.empty()) {
    double weights = 0;
    for (const auto& it : hungry) weights += demand.at(it).weight;
    const double unit = left / weights;
    auto is_filled = [&](const std::string& it) {
      const Demand& d = demand.at(it);
      return d.running + d.waiting <= unit * d.weight;
    };
    auto filled = std::find_if(hungry.begin(), hungry.end(), is_filled);
    if (filled == hungry.end()) {
      for (const auto& it : hungry) entitled[it] = unit * demand.at(it).weight;
      break;
    }
    const Demand& d = demand.at(*filled);
    entitled[*filled] = d.running + d.waiting;
    left -= d.running + d.waiting;
    hungry.erase(filled);
  }
  return entitled;
}

void EndWindow(Measures& measures, ShareWindow& window) {
  double running = 0;
  double wrong = 0;
  for (const auto& [team, entitled] : window.entitled) {
    running += window.running[team];
    wrong += std::abs(entitled - window.running[team]) / 2;
  }
  ++measures.ended_windows;
  measures.window_distance += wrong / std::max(1.0, running);
  window = {};
}

void AddToWindow(Measures& measures, const std::string& pool,
                 const PoolDemand& demand,
                 const std::map<std::string, double>& entitlements,
                 Instant now) {
  ShareWindow& window = measures.windows[pool];
  if (window.entitled.empty()) window.end_time = now + kShareWindow;
  for (const auto& [team, entitled] : entitlements) {
    window.entitled[team] += entitled;
    window.running[team] += demand.at(team).running;
  }
  if (now >= window.end_time) EndWindow(measures, window);
}

void AddShareSample(Measures& measures, const std::string& pool,
                    const PoolDemand& demand, Instant now) {
  const auto waiting =
      std::count_if(demand.begin(), demand.end(),
                    [](const auto& it) { return it.second.waiting > 0; });
  double running = 0;
  for (const auto& [team, it] : demand) running += it.running;
  if (waiting < 2 || running == 0) return;
  double wrong = 0;
  const auto entitlements = Entitlements(demand);
  AddToWindow(measures, pool, demand, entitlements, now);
  for (const auto& [team, entitled] : entitlements) {
    wrong += std::abs(entitled - demand.at(team).running) / 2;
    measures.contended_running[team] += demand.at(team).running;
  }
  ++measures.share_samples;
  measures.share_distance += wrong / running;
}

void AddIdleSample(Measures& measures, const Record& record,
                   const std::map<std::string, PoolDemand>& demand) {
  std::map<std::string, double> idle;
  for (const auto& [name, host] : record.CurrentTable().hosts) {
    const bool serving = host.state == HostState::kServing;
    if (!serving || record.broken_hosts.contains(name)) continue;
    const auto slots = static_cast<double>(host.slots);
    const auto used =
        static_cast<double>(CountOf(record.running_by_host, name));
    measures.slot_samples += slots;
    measures.overcommitted_peak =
        std::max(measures.overcommitted_peak, used - slots);
    idle[host.pool] += std::max(0.0, slots - used);
  }
  for (const auto& [pool, teams] : demand) {
    double waiting = 0;
    for (const auto& [team, it] : teams) waiting += it.waiting;
    measures.idle_samples += std::min(idle[pool], waiting);
  }
}

double Quantile(std::vector<double>& values, double q) {
  const auto last = static_cast<double>(values.size() - 1);
  auto nth = values.begin() + static_cast<std::ptrdiff_t>(last * q);
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

void AddStartTimes(const Record& record, std::map<std::string, double>& out) {
  constexpr double kUsPerMs = 1000;
  std::map<std::string, std::vector<double>> waits;
  for (const SubmissionRecord& it : record.submissions) {
    if (!it.first_start.has_value()) continue;
    const auto us = static_cast<double>((*it.first_start - it.arrived).count());
    waits[record.requests[it.request].queue].push_back(us / kUsPerMs);
  }
  for (auto& [queue, values] : waits) {
    out[StrCat("start_p50_ms.", queue)] = Quantile(values, 0.50);
    out[StrCat("start_p99_ms.", queue)] = Quantile(values, 0.99);
  }
}

void AddWastedRuns(const Record& record, std::map<std::string, double>& out) {
  double begun = 0;
  double wasted = 0;
  for (const SubmissionRecord& it : record.submissions) {
    if (it.runs == 0 || it.caller_disconnected || it.entry_killed) continue;
    ++begun;
    if (it.outcome != Outcome::kAnswered) ++wasted;
  }
  out["wasted_fraction"] = wasted / std::max(1.0, begun);
}

void AddAvailability(const Record& record, std::map<std::string, double>& out) {
  std::map<std::string, double> all;
  std::map<std::string, double> answered;
  for (const RequestRecord& it : record.requests) {
    if (it.abandoned || it.unauthorized) continue;
    ++all[it.queue];
    if (it.answered) ++answered[it.queue];
  }
  for (const auto& [queue, n] : all) {
    out[StrCat("availability.", queue)] = answered[queue] / n;
  }
}

}  // namespace

void AddSample(Measures& measures, const Record& record, Instant now) {
  const auto demand = DemandByPool(record, now);
  for (const auto& [pool, teams] : demand) {
    AddShareSample(measures, pool, teams, now);
  }
  AddIdleSample(measures, record, demand);
  for (const auto& [name, team] : record.CurrentTable().teams) {
    if (team.ceiling == 0) continue;
    double& peak = measures.ceiling_peak[name];
    const auto n = static_cast<double>(CountOf(record.running_by_team, name));
    peak = std::max(peak, n / static_cast<double>(team.ceiling));
  }
}

std::map<std::string, double> Figures(const Measures& measures,
                                      const Record& record) {
  std::map<std::string, double> out;
  AddAvailability(record, out);
  AddStartTimes(record, out);
  AddWastedRuns(record, out);
  out["requests"] = static_cast<double>(record.requests.size());
  out["idle_fraction"] =
      measures.idle_samples / std::max(1.0, measures.slot_samples);
  out["share_distance"] =
      measures.share_distance / std::max(1.0, measures.share_samples);
  out["overcommitted_peak"] = measures.overcommitted_peak;
  out["share_distance_5s"] =
      measures.window_distance / std::max(1.0, measures.ended_windows);
  out["share_samples"] = measures.share_samples;
  for (const auto& [team, sum] : measures.contended_running) {
    out[StrCat("contended_slots.", team)] = sum / measures.share_samples;
  }
  for (const auto& [team, peak] : measures.ceiling_peak) {
    out[StrCat("ceiling_peak.", team)] = peak;
  }
  return out;
}

}  // namespace hyssopbarrow
