#include <algorithm>

#include "Policy/host_planner.h"
#include "Policy/host_records.h"
#include "Policy/placement.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// Headroom of a pool above its present CPU demand: a factor on the demand, and
/// a fraction of all hosts. Demand rises faster than a host can be moved; see
/// docs/design/fleet.md for the measurements.
constexpr double kHeadroomFactor = 1.1;
constexpr double kHeadroomFleetFraction = 0.08;
/// How long a pool keeps its hosts after it was last short of hosts.
constexpr Duration kKeepHostsAfterShortage = milliseconds(1500);

}  // namespace

bool HostPlanner::IsSpare(const std::string& pool) const {
  if (context_.configuration == nullptr) return false;
  auto it = context_.configuration->pools.find(pool);
  return it != context_.configuration->pools.end() && it->second.spare;
}

double HostPlanner::CountHosts(const std::string& pool) const {
  auto it = host_count_by_pool_.find(pool);
  return it == host_count_by_pool_.end() ? 0 : static_cast<double>(it->second);
}

std::map<std::string, double> HostPlanner::CpuDemandByPool() const {
  std::map<std::string, double> demand;
  for (const auto& [id, target] : owner_.targets) {
    demand[target.entry.pool] += static_cast<double>(target.used.cpu_milli);
  }
  for (const std::string& id : owner_.active_jobs) {
    const Job& job = owner_.jobs.at(id);
    double& pool_demand = demand[std::string(PoolOf(job, context_))];
    for (const auto& [number, occurrence] : job.open_occurrences) {
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        const auto step = static_cast<std::int64_t>(s);
        if (!AreDependenciesDone(job, occurrence, step)) continue;
        for (const Task& task : occurrence.steps[s].tasks) {
          const bool waits = !task.done && task.assignments.empty();
          if (waits) {
            pool_demand +=
                static_cast<double>(StepOf(job, step).resources.cpu_milli);
          }
        }
      }
    }
  }
  return demand;
}

void HostPlanner::PlanMoves() {
  if (context_.configuration == nullptr || host_manager_.hosts.empty()) return;
  const std::map<std::string, double> cpu_demand = CpuDemandByPool();
  std::map<std::string, PoolDemand> demands;
  double host_cpu_milli = 0;
  for (const auto& [id, target] : owner_.targets) {
    host_cpu_milli = std::max(
        host_cpu_milli, static_cast<double>(target.entry.capacity.cpu_milli));
  }
  if (host_cpu_milli <= 0) return;
  const double headroom_hosts =
      kHeadroomFleetFraction * static_cast<double>(host_manager_.hosts.size());
  for (const auto& [name, pool] : context_.configuration->pools) {
    if (pool.spare) continue;
    auto it = cpu_demand.find(name);
    const double cpu_milli = it == cpu_demand.end() ? 0 : it->second;
    PoolDemand& demand = demands[name];
    const double for_demand = kHeadroomFactor * cpu_milli / host_cpu_milli;
    demand.needed_hosts = std::max(1.0, for_demand);
    demand.required_hosts = std::max(1.0, for_demand + headroom_hosts);
  }
  for (const auto& [name, host] : host_manager_.hosts) {
    if (IsEvacuated(host)) continue;
    if (host.operation == HostOperation::kMove) {
      if (demands.count(host.destination)) {
        ++demands[host.destination].available_hosts;
      }
    } else if (host.operation == HostOperation::kNone &&
               host.host.state == HostState::kUp &&
               demands.count(host.host.pool)) {
      ++demands[host.host.pool].available_hosts;
    }
  }
  for (auto& [name, demand] : demands) {
    if (demand.required_hosts > demand.available_hosts) {
      host_manager_.last_saturated[name] = now();
    }
  }
  EmptyHosts empty = FindEmptyHosts();
  // Headroom of one pool is worth less than the present demand of another.
  MoveHostsToPools(&PoolDemand::needed_hosts, demands, empty);
  MoveHostsToPools(&PoolDemand::required_hosts, demands, empty);
  for (auto& [name, demand] : demands) {
    MoveHostsToSparePool(name, demand, empty[name]);
  }
}

bool HostPlanner::IsSaturatedPool(const std::string& pool) const {
  auto it = host_manager_.last_saturated.find(pool);
  return it != host_manager_.last_saturated.end() &&
         now() - it->second < kKeepHostsAfterShortage;
}

EmptyHosts HostPlanner::FindEmptyHosts() {
  EmptyHosts empty;
  for (auto& [name, host] : host_manager_.hosts) {
    const bool movable =
        host.operation == HostOperation::kNone && !IsEvacuated(host) &&
        host.host.state == HostState::kUp && !WaitsForMaintenance(host) &&
        IsFreeOfEarlierRequests(owner_, name, now());
    if (!movable) continue;
    const TargetView* target = FindTargetOn(host);
    const bool idle = target == nullptr || !target->listed
                          ? IsEmpty(target) && IsSpare(host.host.pool)
                          : IsEmpty(target) && !target->entry.draining;
    if (idle) empty[host.host.pool].push_back(&host);
  }
  return empty;
}

void HostPlanner::ReserveForMove(HostView& host, const std::string& pool,
                                 double required_hosts,
                                 double available_hosts) {
  ReserveHost(host, HostOperation::kMove);
  host.destination = pool;
  // `required_hosts_percent` is in hundredths of a host.
  Log(context_, Severity::kInfo, "move_planned",
      {{"host", host.host.name},
       {"from", host.host.pool},
       {"to", pool},
       {"required_hosts_percent",
        std::to_string(static_cast<int>(100 * required_hosts))},
       {"available_hosts", std::to_string(static_cast<int>(available_hosts))}});
}

void HostPlanner::MoveHostsToPools(double PoolDemand::*level,
                                   std::map<std::string, PoolDemand>& demands,
                                   EmptyHosts& empty) {
  std::map<std::string, PoolDemand*> short_pools;
  for (auto& [name, demand] : demands) {
    if (demand.available_hosts < demand.*level) short_pools[name] = &demand;
  }
  const auto has_smaller_part = [level](const auto& a, const auto& b) {
    return a.second->available_hosts / (a.second->*level) <
           b.second->available_hosts / (b.second->*level);
  };
  while (!short_pools.empty()) {
    auto it = std::min_element(short_pools.begin(), short_pools.end(),
                               has_smaller_part);
    const auto& [name, demand] = *it;
    HostView* host = TakeEmptyHost(name, demands, empty);
    if (host != nullptr) {
      ReserveForMove(*host, name, demand->required_hosts,
                     demand->available_hosts);
      ++demand->available_hosts;
    }
    const bool finished =
        host == nullptr || demand->available_hosts >= demand->*level;
    if (finished) short_pools.erase(it);
  }
}

HostView* HostPlanner::TakeEmptyHost(const std::string& name,
                                     std::map<std::string, PoolDemand>& demands,
                                     EmptyHosts& empty) {
  const auto take = [&empty](const std::string& pool) {
    std::vector<HostView*>& hosts = empty[pool];
    HostView* host = hosts.back();
    hosts.pop_back();
    return host;
  };
  for (const auto& [pool, hosts] : empty) {
    if (IsSpare(pool) && !hosts.empty()) return take(pool);
  }
  for (auto& [pool, demand] : demands) {
    const bool can_spare = pool != name && !IsSaturatedPool(pool) &&
                           demand.available_hosts - 1 >= demand.required_hosts;
    if (!can_spare || empty[pool].empty()) continue;
    --demand.available_hosts;
    return take(pool);
  }
  return nullptr;
}

void HostPlanner::MoveHostsToSparePool(const std::string& name,
                                       PoolDemand& demand,
                                       const std::vector<HostView*>& empty) {
  if (IsSaturatedPool(name)) return;
  std::string spare;
  for (const auto& [pool, spec] : context_.configuration->pools) {
    if (spec.spare) spare = pool;
  }
  if (spare.empty()) return;
  for (HostView* host : empty) {
    if (demand.available_hosts - 1 < demand.required_hosts) return;
    --demand.available_hosts;
    ReserveForMove(*host, spare, demand.required_hosts, demand.available_hosts);
  }
}

}  // namespace hyssopbarrow::fleet
