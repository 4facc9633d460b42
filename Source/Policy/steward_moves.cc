#include <algorithm>

#include "Policy/placement.h"
#include "Policy/steward_plan.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// Room that a pool holds above the work at hand: a factor, and a part of all
/// hosts. Demand rises faster than a host moves; figures in
/// docs/design/fleet.md.
constexpr double kDemandFactor = 1.1;
constexpr double kSpareRoomPart = 0.08;
/// A pool keeps its hosts for so long after it last was short of them.
constexpr Duration kKeepAfterRush = milliseconds(1500);

}  // namespace

bool Plan::IsSpare(const std::string& pool) const {
  if (context_.configuration == nullptr) return false;
  auto it = context_.configuration->pools.find(pool);
  return it != context_.configuration->pools.end() && it->second.spare;
}

double Plan::HostsIn(const std::string& pool) const {
  return static_cast<double>(std::count_if(
      steward_.hosts.begin(), steward_.hosts.end(),
      [&](const auto& it) { return it.second.host.pool == pool; }));
}

std::map<std::string, double> Plan::Work() const {
  std::map<std::string, double> work;
  for (const auto& [id, target] : owner_.targets) {
    work[target.entry.pool] += static_cast<double>(target.used.cpu_milli);
  }
  for (const std::string& id : owner_.active) {
    const Job& job = owner_.jobs.at(id);
    double& pool = work[std::string(PoolOf(job, context_))];
    for (const auto& [number, occurrence] : job.open) {
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        const auto step = static_cast<std::int64_t>(s);
        if (!IsReady(job, occurrence, step)) continue;
        for (const Task& it : occurrence.steps[s].tasks) {
          const bool waits = !it.done && it.sent.empty();
          if (waits) {
            pool += static_cast<double>(StepOf(job, step).need.cpu_milli);
          }
        }
      }
    }
  }
  return work;
}

void Plan::PlanMoves() {
  if (context_.configuration == nullptr || steward_.hosts.empty()) return;
  const std::map<std::string, double> work = Work();
  std::map<std::string, PoolNeed> needs;
  double host_cpu = 0;
  for (const auto& [id, target] : owner_.targets) {
    host_cpu = std::max(host_cpu,
                        static_cast<double>(target.entry.capacity.cpu_milli));
  }
  if (host_cpu <= 0) return;
  const double spare_room =
      kSpareRoomPart * static_cast<double>(steward_.hosts.size());
  for (const auto& [name, pool] : context_.configuration->pools) {
    if (pool.spare) continue;
    auto it = work.find(name);
    const double cpu = it == work.end() ? 0 : it->second;
    needs[name].want =
        std::max(1.0, kDemandFactor * cpu / host_cpu + spare_room);
  }
  for (const auto& [name, host] : steward_.hosts) {
    if (host.duty == Duty::kMove) {
      if (needs.count(host.destination)) ++needs[host.destination].have;
    } else if (host.duty == Duty::kNone && host.host.state == HostState::kUp &&
               needs.count(host.host.pool)) {
      ++needs[host.host.pool].have;
    }
  }
  for (auto& [name, need] : needs) {
    if (need.want > need.have) steward_.crowded[name] = now();
  }
  for (auto& [name, need] : needs) Fill(name, need, needs);
  for (auto& [name, need] : needs) Shed(name, need);
}

bool Plan::IsBusyPool(const std::string& pool) const {
  auto it = steward_.crowded.find(pool);
  return it != steward_.crowded.end() && now() - it->second < kKeepAfterRush;
}

std::vector<HostView*> Plan::EmptyHosts(const std::string& pool) {
  std::vector<HostView*> empty;
  for (auto& [name, host] : steward_.hosts) {
    const bool free = host.duty == Duty::kNone && host.host.pool == pool &&
                      host.host.state == HostState::kUp &&
                      !WaitsForUpkeep(host);
    if (!free) continue;
    const TargetView* target = TargetOf(host);
    const bool idle = target == nullptr
                          ? IsSpare(pool)
                          : IsEmpty(target) && !target->entry.draining;
    if (idle) empty.push_back(&host);
  }
  return empty;
}

bool Plan::WaitsForUpkeep(const HostView& host) const {
  return std::any_of(
      steward_.waves.begin(), steward_.waves.end(), [&](const auto& it) {
        const WaveView& wave = it.second;
        const auto& hosts = wave.wave.hosts;
        return !wave.completed && wave.done.count(host.host.name) == 0 &&
               std::find(hosts.begin(), hosts.end(), host.host.name) !=
                   hosts.end();
      });
}

void Plan::MoveTo(HostView& host, const std::string& pool, double want,
                  double have) {
  Reserve(host, Duty::kMove);
  host.destination = pool;
  Note(context_, Severity::kInfo, "move_planned",
       {{"host", host.host.name},
        {"from", host.host.pool},
        {"to", pool},
        {"want_percent", std::to_string(static_cast<int>(100 * want))},
        {"have", std::to_string(static_cast<int>(have))}});
}

void Plan::Fill(const std::string& name, PoolNeed& need,
                std::map<std::string, PoolNeed>& needs) {
  if (need.have >= need.want) return;
  std::vector<std::string> sources;
  for (const auto& [pool, spec] : context_.configuration->pools) {
    if (spec.spare) sources.insert(sources.begin(), pool);
    if (!spec.spare && pool != name && !IsBusyPool(pool)) {
      sources.push_back(pool);
    }
  }
  for (const std::string& pool : sources) {
    for (HostView* host : EmptyHosts(pool)) {
      if (need.have >= need.want) return;
      auto giver = needs.find(pool);
      if (giver != needs.end()) {
        if (giver->second.have - 1 < giver->second.want) break;
        --giver->second.have;
      }
      MoveTo(*host, name, need.want, need.have);
      ++need.have;
    }
  }
}

void Plan::Shed(const std::string& name, PoolNeed& need) {
  if (IsBusyPool(name)) return;
  std::string spare;
  for (const auto& [pool, spec] : context_.configuration->pools) {
    if (spec.spare) spare = pool;
  }
  if (spare.empty()) return;
  for (HostView* host : EmptyHosts(name)) {
    if (need.have - 1 < need.want) return;
    --need.have;
    MoveTo(*host, spare, need.want, need.have);
  }
}

}  // namespace hyssopbarrow::fleet
