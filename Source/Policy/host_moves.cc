#include <algorithm>

#include "Policy/host_planner.h"
#include "Policy/placement.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// Room that a pool holds above the work at hand: a factor, and a part of all
/// hosts. Demand rises faster than a host moves; figures in
/// docs/design/fleet.md.
constexpr double kHeadroomFactor = 1.1;
constexpr double kHeadroomFleetFraction = 0.08;
/// A pool keeps its hosts for so long after it last was short of them.
constexpr Duration kKeepHostsAfterSaturation = milliseconds(1500);

}  // namespace

bool HostPlanner::IsSpare(const std::string& pool) const {
  if (context_.configuration == nullptr) return false;
  auto it = context_.configuration->pools.find(pool);
  return it != context_.configuration->pools.end() && it->second.spare;
}

double HostPlanner::CountHosts(const std::string& pool) const {
  return static_cast<double>(std::count_if(
      host_manager_.hosts.begin(), host_manager_.hosts.end(),
      [&](const auto& it) { return it.second.host.pool == pool; }));
}

std::map<std::string, double> HostPlanner::CpuDemandByPool() const {
  std::map<std::string, double> work;
  for (const auto& [id, target] : owner_.targets) {
    work[target.entry.pool] += static_cast<double>(target.used.cpu_milli);
  }
  for (const std::string& id : owner_.active_jobs) {
    const Job& job = owner_.jobs.at(id);
    double& pool = work[std::string(PoolOf(job, context_))];
    for (const auto& [number, occurrence] : job.open_occurrences) {
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        const auto step = static_cast<std::int64_t>(s);
        if (!AreDependenciesDone(job, occurrence, step)) continue;
        for (const Task& it : occurrence.steps[s].tasks) {
          const bool waits = !it.done && it.assignments.empty();
          if (waits) {
            pool += static_cast<double>(StepOf(job, step).resources.cpu_milli);
          }
        }
      }
    }
  }
  return work;
}

void HostPlanner::PlanMoves() {
  if (context_.configuration == nullptr || host_manager_.hosts.empty()) return;
  const std::map<std::string, double> work = CpuDemandByPool();
  std::map<std::string, PoolDemand> needs;
  double host_cpu = 0;
  for (const auto& [id, target] : owner_.targets) {
    host_cpu = std::max(host_cpu,
                        static_cast<double>(target.entry.capacity.cpu_milli));
  }
  if (host_cpu <= 0) return;
  const double spare_room =
      kHeadroomFleetFraction * static_cast<double>(host_manager_.hosts.size());
  for (const auto& [name, pool] : context_.configuration->pools) {
    if (pool.spare) continue;
    auto it = work.find(name);
    const double cpu = it == work.end() ? 0 : it->second;
    needs[name].required_hosts =
        std::max(1.0, kHeadroomFactor * cpu / host_cpu + spare_room);
  }
  for (const auto& [name, host] : host_manager_.hosts) {
    if (host.operation == HostOperation::kMove) {
      if (needs.count(host.destination))
        ++needs[host.destination].available_hosts;
    } else if (host.operation == HostOperation::kNone &&
               host.host.state == HostState::kUp &&
               needs.count(host.host.pool)) {
      ++needs[host.host.pool].available_hosts;
    }
  }
  for (auto& [name, need] : needs) {
    if (need.required_hosts > need.available_hosts)
      host_manager_.last_saturated[name] = now();
  }
  for (auto& [name, need] : needs) MoveHostsToPool(name, need, needs);
  for (auto& [name, need] : needs) MoveHostsToSparePool(name, need);
}

bool HostPlanner::IsSaturatedPool(const std::string& pool) const {
  auto it = host_manager_.last_saturated.find(pool);
  return it != host_manager_.last_saturated.end() &&
         now() - it->second < kKeepHostsAfterSaturation;
}

std::vector<HostView*> HostPlanner::FindEmptyHosts(const std::string& pool) {
  std::vector<HostView*> empty;
  for (auto& [name, host] : host_manager_.hosts) {
    const bool free =
        host.operation == HostOperation::kNone && host.host.pool == pool &&
        host.host.state == HostState::kUp && !WaitsForMaintenance(host);
    if (!free) continue;
    const TargetView* target = FindTargetOn(host);
    const bool idle = target == nullptr
                          ? IsSpare(pool)
                          : IsEmpty(target) && !target->entry.draining;
    if (idle) empty.push_back(&host);
  }
  return empty;
}

bool HostPlanner::WaitsForMaintenance(const HostView& host) const {
  return std::any_of(host_manager_.waves.begin(), host_manager_.waves.end(),
                     [&](const auto& it) {
                       const WaveView& wave = it.second;
                       const auto& hosts = wave.wave.hosts;
                       return !wave.completed &&
                              wave.done_hosts.count(host.host.name) == 0 &&
                              std::find(hosts.begin(), hosts.end(),
                                        host.host.name) != hosts.end();
                     });
}

void HostPlanner::ReserveForMove(HostView& host, const std::string& pool,
                                 double want, double have) {
  ReserveHost(host, HostOperation::kMove);
  host.destination = pool;
  Log(context_, Severity::kInfo, "move_planned",
      {{"host", host.host.name},
       {"from", host.host.pool},
       {"to", pool},
       {"want_percent", std::to_string(static_cast<int>(100 * want))},
       {"have", std::to_string(static_cast<int>(have))}});
}

void HostPlanner::MoveHostsToPool(const std::string& name, PoolDemand& need,
                                  std::map<std::string, PoolDemand>& needs) {
  if (need.available_hosts >= need.required_hosts) return;
  std::vector<std::string> sources;
  for (const auto& [pool, spec] : context_.configuration->pools) {
    if (spec.spare) sources.insert(sources.begin(), pool);
    if (!spec.spare && pool != name && !IsSaturatedPool(pool)) {
      sources.push_back(pool);
    }
  }
  for (const std::string& pool : sources) {
    for (HostView* host : FindEmptyHosts(pool)) {
      if (need.available_hosts >= need.required_hosts) return;
      auto giver = needs.find(pool);
      if (giver != needs.end()) {
        if (giver->second.available_hosts - 1 < giver->second.required_hosts)
          break;
        --giver->second.available_hosts;
      }
      ReserveForMove(*host, name, need.required_hosts, need.available_hosts);
      ++need.available_hosts;
    }
  }
}

void HostPlanner::MoveHostsToSparePool(const std::string& name,
                                       PoolDemand& need) {
  if (IsSaturatedPool(name)) return;
  std::string spare;
  for (const auto& [pool, spec] : context_.configuration->pools) {
    if (spec.spare) spare = pool;
  }
  if (spare.empty()) return;
  for (HostView* host : FindEmptyHosts(name)) {
    if (need.available_hosts - 1 < need.required_hosts) return;
    --need.available_hosts;
    ReserveForMove(*host, spare, need.required_hosts, need.available_hosts);
  }
}

}  // namespace hyssopbarrow::fleet
