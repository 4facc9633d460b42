#include "Replay/measures.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "Model/messages.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

/// A call counts as waiting only after this time, since a new call may still be
/// on its round trip to a dispatcher.
constexpr Duration kMinWaitingTime = std::chrono::milliseconds(100);

/// Length of the windows of share_distance_5s.
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

bool IsWaiting(const Record& record, const SubmissionRecord& submission,
               Instant now) {
  const bool old_enough =
      submission.arrived + kMinWaitingTime < now && now < submission.deadline;
  const EntryRecord& entry = record.entries.at(submission.entry);
  return old_enough && submission.running == 0 && submission.runs == 0 &&
         entry.running && !entry.paused;
}

std::map<std::string, PoolDemand> DemandByPool(const Record& record,
                                               Instant now) {
  const Snapshot& table = record.CurrentTable();
  std::map<std::string, PoolDemand> demand;
  auto demand_of = [&](const RequestRecord& request) -> Demand* {
    const Queue* queue = Find(table.queues, request.queue);
    const Team* team = Find(table.teams, request.team);
    if (queue == nullptr || team == nullptr) return nullptr;
    Demand& team_demand = demand[queue->pool][request.team];
    team_demand.weight = static_cast<double>(team->weight);
    return &team_demand;
  };
  for (const auto& [id, run] : record.runs) {
    const SubmissionRecord& submission = record.submissions[run.submission];
    Demand* d = demand_of(record.requests[submission.request]);
    if (d != nullptr) ++d->running;
  }
  for (std::size_t n : record.open_submissions) {
    const SubmissionRecord& submission = record.submissions[n];
    const RequestRecord& request = record.requests[submission.request];
    if (!IsWaiting(record, submission, now)) continue;
    if (!IsBelowCeiling(record, request.team)) continue;
    Demand* d = demand_of(request);
    if (d != nullptr) ++d->waiting;
  }
  return demand;
}

/// Divides the running slots among the teams by weighted max-min fairness: no
/// team is entitled to more than its demand.
std::map<std::string, double> Entitlements(const PoolDemand& demand) {
  double remaining_slots = 0;
  for (const auto& [team, team_demand] : demand) {
    remaining_slots += team_demand.running;
  }
  std::map<std::string, double> entitled;
  std::vector<std::string> unsatisfied;
  for (const auto& [team, team_demand] : demand) unsatisfied.push_back(team);
  while (!unsatisfied.empty()) {
    double weights = 0;
    for (const auto& name : unsatisfied) weights += demand.at(name).weight;
    const double unit = remaining_slots / weights;
    auto is_satisfied = [&](const std::string& name) {
      const Demand& d = demand.at(name);
      return d.running + d.waiting <= unit * d.weight;
    };
    auto satisfied =
        std::find_if(unsatisfied.begin(), unsatisfied.end(), is_satisfied);
    if (satisfied == unsatisfied.end()) {
      for (const auto& name : unsatisfied) {
        entitled[name] = unit * demand.at(name).weight;
      }
      break;
    }
    const Demand& d = demand.at(*satisfied);
    entitled[*satisfied] = d.running + d.waiting;
    remaining_slots -= d.running + d.waiting;
    unsatisfied.erase(satisfied);
  }
  return entitled;
}

void EndWindow(Measures& measures, ShareWindow& window) {
  double running = 0;
  double misallocated = 0;
  for (const auto& [team, entitled] : window.entitled) {
    running += window.running[team];
    misallocated += std::abs(entitled - window.running[team]) / 2;
  }
  ++measures.ended_windows;
  measures.window_distance += misallocated / std::max(1.0, running);
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
  for (const auto& [team, team_demand] : demand) {
    running += team_demand.running;
  }
  if (waiting < 2 || running == 0) return;
  double misallocated = 0;
  const auto entitlements = Entitlements(demand);
  AddToWindow(measures, pool, demand, entitlements, now);
  for (const auto& [team, entitled] : entitlements) {
    misallocated += std::abs(entitled - demand.at(team).running) / 2;
    measures.contended_running[team] += demand.at(team).running;
  }
  ++measures.share_samples;
  measures.share_distance += misallocated / running;
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
    for (const auto& [team, team_demand] : teams) {
      waiting += team_demand.waiting;
    }
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
  for (const SubmissionRecord& submission : record.submissions) {
    if (!submission.first_start.has_value()) continue;
    const auto us = static_cast<double>(
        (*submission.first_start - submission.arrived).count());
    waits[record.requests[submission.request].queue].push_back(us / kUsPerMs);
  }
  for (auto& [queue, values] : waits) {
    out[StrCat("start_p50_ms.", queue)] = Quantile(values, 0.50);
    out[StrCat("start_p99_ms.", queue)] = Quantile(values, 0.99);
  }
}

void AddWastedRuns(const Record& record, std::map<std::string, double>& out) {
  double begun = 0;
  double wasted = 0;
  for (const SubmissionRecord& submission : record.submissions) {
    if (submission.runs == 0 || submission.caller_disconnected ||
        submission.entry_killed) {
      continue;
    }
    ++begun;
    if (submission.outcome != Outcome::kAnswered) ++wasted;
  }
  out["wasted_fraction"] = wasted / std::max(1.0, begun);
}

void AddAvailability(const Record& record, std::map<std::string, double>& out) {
  std::map<std::string, double> all;
  std::map<std::string, double> answered;
  for (const RequestRecord& request : record.requests) {
    if (request.abandoned || request.unauthorized) continue;
    ++all[request.queue];
    if (request.answered) ++answered[request.queue];
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
