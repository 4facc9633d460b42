#include "Policy/steward.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "Model/text.h"
#include "Policy/owner_runs.h"
#include "Policy/placement.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

constexpr Duration kPlanGap = milliseconds(100);
constexpr Duration kListGapBusy = milliseconds(500);
constexpr Duration kListGapIdle = milliseconds(2000);
constexpr Duration kOrderRetry = milliseconds(400);
/// The times of day of two machines may differ by so much.
constexpr Duration kClockDoubt = milliseconds(3000);
constexpr Duration kWriteRetry = milliseconds(300);
/// Part of a pool that may be out for upkeep while there is time.
constexpr double kPoolPart = 0.25;
/// Emptying a host takes about as long as a task runs.
constexpr Duration kEmptying = milliseconds(2500);
/// A wave is in a hurry once so much of its time is needed at the least.
constexpr double kHurry = 0.6;
/// A host counts as little used below this part of its capacity.
constexpr double kLittleUsed = 0.34;
/// Room that a pool holds above the work at hand: a factor, and a part of all
/// hosts. Demand rises faster than a host moves; figures in
/// docs/design/fleet.md.
constexpr double kDemandFactor = 1.1;
constexpr double kSpareRoomPart = 0.08;
/// A pool keeps its hosts for so long after it last was short of them.
constexpr Duration kKeepAfterRush = milliseconds(1500);

struct PoolNeed {
  double have = 0;  ///< Hosts that serve or are on their way.
  double want = 0;
};

class Plan {
 public:
  Plan(Owner& owner, Context& context)
      : owner_(owner), steward_(owner.steward), context_(context) {
    for (auto& [id, target] : owner_.targets) {
      if (target.listed && !target.over) by_host_[target.entry.host] = &target;
    }
  }

  void Run() {
    for (auto& [name, host] : steward_.hosts) Settle(host);
    for (auto& [number, wave] : steward_.waves) PlanWave(number, wave);
    PlanMoves();
    for (auto& [name, host] : steward_.hosts) Act(host);
    for (auto& [number, wave] : steward_.waves) ShowWave(number, wave);
  }

 private:
  Instant now() const { return context_.at.now; }

  TargetView* TargetOf(const HostView& host) {
    auto it = by_host_.find(host.host.name);
    return it == by_host_.end() ? nullptr : it->second;
  }

  bool IsSpare(const std::string& pool) const {
    if (context_.configuration == nullptr) return false;
    auto it = context_.configuration->pools.find(pool);
    return it != context_.configuration->pools.end() && it->second.spare;
  }

  /// Ends a duty whose host is back.
  void Settle(HostView& host) {
    if (host.duty == Duty::kNone || !host.ordered || host.open_order != 0) {
      return;
    }
    const Duration away = host.duty == Duty::kUpkeep ? context_.terms.upkeep
                                                     : context_.terms.move;
    const bool seen = steward_.listed_at > host.ordered_at + away;
    if (!seen || host.host.state != HostState::kUp) return;
    const bool done =
        host.duty == Duty::kUpkeep
            ? steward_.waves[host.wave].done.count(host.host.name) > 0
            : host.host.pool == host.destination;
    if (done) Release(host);
  }

  void Release(HostView& host) {
    if (TargetView* target = TargetOf(host)) target->reserved = false;
    host.duty = Duty::kNone;
    host.ordered = false;
    host.destination.clear();
    owner_.plan_due = true;
  }

  /// Stops placing tasks on a host so that it runs empty.
  void Reserve(HostView& host, Duty duty) {
    host.duty = duty;
    host.ordered = false;
    host.retry_at = now();
    if (TargetView* target = TargetOf(host)) target->reserved = true;
  }

  bool IsAway(const TaskName& name, const Task& task) const {
    for (const Sent& it : task.sent) {
      auto target = owner_.targets.find(it.target);
      if (target == owner_.targets.end()) continue;
      const bool heard = target->second.synced && target->second.missed == 0;
      if (!heard) continue;
      auto run = target->second.runs.find(name);
      const bool works = run != target->second.runs.end() &&
                         run->second.phase == RunPhase::kRunning &&
                         run->second.percent >= 100;
      if (works) return false;
    }
    return true;
  }

  /// Stops lasting tasks on a reserved target as far as their steps allow.
  void Evict(TargetView& target) {
    std::vector<TaskName> stop;
    std::set<std::pair<std::string, std::int64_t>> touched;
    for (const auto& [name, run] : target.runs) {
      if (run.phase != RunPhase::kRunning) continue;
      auto it = owner_.jobs.find(name.job);
      if (it == owner_.jobs.end()) continue;
      Job& job = it->second;
      const Step& step = StepOf(job, name.step);
      const bool fresh = touched.insert({name.job, name.step}).second;
      if (!step.lasts || !fresh) continue;
      const std::vector<Task>& tasks =
          job.open.at(name.occurrence)
              .steps[static_cast<std::size_t>(name.step)]
              .tasks;
      std::int64_t away = 0;
      for (std::size_t n = 0; n < tasks.size(); ++n) {
        const auto index = static_cast<std::int64_t>(n);
        if (index == name.index) continue;
        const TaskName other{name.job, name.occurrence, name.step, index};
        away += IsAway(other, tasks[n]) ? 1 : 0;
      }
      if (away < std::max<std::int64_t>(1, step.may_miss)) stop.push_back(name);
    }
    for (const TaskName& it : stop) {
      StopRun(owner_, target, it, "its host is being emptied", context_);
    }
  }

  /// An earlier owner may have ordered a host just before. Two owners must
  /// not order one host in turn within the gap; a target that is heard and has
  /// been up for longer shows that there was no such order.
  bool MayOrderHost(const TargetView* target) const {
    if (now() >= owner_.steward_until) return false;
    if (now() >= steward_.orders_from) return true;
    if (target == nullptr || !target->synced || target->missed > 0) {
      return false;
    }
    const std::int64_t up_ms = context_.at.unix_ms - target->entry.born;
    return milliseconds(up_ms) > context_.terms.turn_gap + kClockDoubt;
  }

  std::int64_t CountOut(std::int64_t wave) const {
    std::int64_t out = 0;
    for (const auto& [name, host] : steward_.hosts) {
      const bool ours = host.duty == Duty::kUpkeep && host.wave == wave;
      const bool down = host.host.state == HostState::kUpkeep;
      if ((ours && host.ordered) || (down && !ours)) ++out;
    }
    return out;
  }

  void PlanWave(std::int64_t number, WaveView& wave) {
    if (wave.completed || wave.wave.hosts.empty() || steward_.hosts.empty()) {
      return;
    }
    std::vector<HostView*> left;
    bool complete = true;
    std::map<std::string, double> reserved_by_pool;
    std::int64_t reserved = 0;
    for (const std::string& name : wave.wave.hosts) {
      if (wave.done.count(name) > 0) continue;
      auto it = steward_.hosts.find(name);
      if (it == steward_.hosts.end()) continue;  // Gone for good.
      complete = false;
      HostView& host = it->second;
      if (host.duty == Duty::kUpkeep) {
        ++reserved;
        ++reserved_by_pool[host.host.pool];
      } else if (host.duty == Duty::kNone &&
                 host.host.state == HostState::kUp) {
        left.push_back(&host);
      }
    }
    if (complete) {
      wave.completed = true;
      wave.stored = false;
      Note(context_, Severity::kInfo, "wave_completed",
           {{"wave", std::to_string(number)}});
      return;
    }
    const std::int64_t left_ms =
        wave.seen_ms + wave.wave.duration_ms - context_.at.unix_ms;
    const auto time_left =
        static_cast<double>(std::max<std::int64_t>(0, left_ms)) * 1000;
    const std::int64_t limit = std::max<std::int64_t>(1, wave.wave.limit);
    const auto remaining = static_cast<std::int64_t>(left.size()) + reserved;
    const std::int64_t rounds = (remaining + limit - 1) / limit;
    const Duration least = (context_.terms.upkeep + kEmptying) * rounds;
    const bool hurry = static_cast<double>(least.count()) > kHurry * time_left;
    std::sort(left.begin(), left.end(), [&](HostView* a, HostView* b) {
      return std::make_tuple(UsedPart(*a), a->host.name) <
             std::make_tuple(UsedPart(*b), b->host.name);
    });
    const std::int64_t out = CountOut(number);
    for (HostView* host : left) {
      if (reserved + out >= limit) return;
      const double used = UsedPart(*host);
      if (!hurry && used > kLittleUsed) return;
      const double pool_size = HostsIn(host->host.pool);
      const double most = std::max(1.0, kPoolPart * pool_size);
      const bool idle = used <= 0;
      const bool crowded = reserved_by_pool[host->host.pool] >= most;
      if (!hurry && !idle && crowded) continue;
      host->wave = number;
      Reserve(*host, Duty::kUpkeep);
      ++reserved;
      ++reserved_by_pool[host->host.pool];
      Note(context_, Severity::kInfo, "host_reserved",
           {{"host", host->host.name},
            {"wave", std::to_string(number)},
            {"used_percent", std::to_string(static_cast<int>(100 * used))},
            {"hurry", hurry ? "yes" : "no"}});
    }
  }

  double UsedPart(const HostView& host) {
    const TargetView* target = TargetOf(host);
    if (target == nullptr || target->entry.capacity.cpu_milli == 0) return 0;
    return static_cast<double>(target->used.cpu_milli) /
           static_cast<double>(target->entry.capacity.cpu_milli);
  }

  double HostsIn(const std::string& pool) const {
    return static_cast<double>(std::count_if(
        steward_.hosts.begin(), steward_.hosts.end(),
        [&](const auto& it) { return it.second.host.pool == pool; }));
  }

  /// Work at hand by pool, in thousandths of a core.
  std::map<std::string, double> Work() const {
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

  void PlanMoves() {
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
      } else if (host.duty == Duty::kNone &&
                 host.host.state == HostState::kUp &&
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

  bool IsBusyPool(const std::string& pool) const {
    auto it = steward_.crowded.find(pool);
    return it != steward_.crowded.end() && now() - it->second < kKeepAfterRush;
  }

  /// Hosts of `pool` that run nothing.
  std::vector<HostView*> EmptyHosts(const std::string& pool) {
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

  bool WaitsForUpkeep(const HostView& host) const {
    return std::any_of(
        steward_.waves.begin(), steward_.waves.end(), [&](const auto& it) {
          const WaveView& wave = it.second;
          const auto& hosts = wave.wave.hosts;
          return !wave.completed && wave.done.count(host.host.name) == 0 &&
                 std::find(hosts.begin(), hosts.end(), host.host.name) !=
                     hosts.end();
        });
  }

  void MoveTo(HostView& host, const std::string& pool, double want,
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

  void Fill(const std::string& name, PoolNeed& need,
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

  void Shed(const std::string& name, PoolNeed& need) {
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

  bool IsEmpty(const TargetView* target) const {
    return target == nullptr ||
           (target->runs.empty() && target->open_orders == 0);
  }

  /// Empties a host on duty and gives the order once it is empty.
  void Act(HostView& host) {
    if (host.duty == Duty::kNone || host.open_order != 0) return;
    const bool finished =
        host.duty == Duty::kUpkeep &&
        steward_.waves[host.wave].done.count(host.host.name) > 0;
    if (finished || host.retry_at > now()) return;
    TargetView* target = TargetOf(host);
    if (!host.ordered && !IsEmpty(target)) {
      Evict(*target);
      return;
    }
    if (!MayOrderHost(target)) return;
    if (!host.ordered && host.duty == Duty::kUpkeep) {
      const WaveView& wave = steward_.waves[host.wave];
      if (CountOut(host.wave) >= std::max<std::int64_t>(1, wave.wave.limit)) {
        return;
      }
    }
    const bool moved = host.duty == Duty::kMove && host.ordered &&
                       host.host.pool == host.destination;
    if (moved) return;
    host.open_order = context_.next_id++;
    host.ordered = true;
    host.ordered_at = now();
    HostOrder order{.id = host.open_order, .host = host.host.name};
    order.token = owner_.epoch;
    if (host.duty == Duty::kMove) {
      order.pool = host.destination;
    } else {
      order.wave = host.wave;
    }
    Note(context_, Severity::kInfo, "host_ordered",
         {{"host", host.host.name},
          {"duty", host.duty == Duty::kMove ? "move" : "upkeep"},
          {"pool", host.destination},
          {"wave", std::to_string(host.wave)},
          {"epoch", std::to_string(owner_.epoch)}});
    context_.out.emplace_back(std::move(order));
  }

  /// Lets the operators read how far a wave is.
  void ShowWave(std::int64_t number, WaveView& wave) {
    if (wave.open_write != 0 || wave.retry_at > now()) return;
    if (wave.wave.hosts.empty() && !wave.completion_stored) return;
    const bool completed = wave.completion_stored;
    if (wave.shown_completed.has_value() &&
        *wave.shown_completed == completed) {
      return;
    }
    wave.open_write = context_.next_id++;
    wave.shown_completed = completed;
    CommitRows commit{.id = wave.open_write};
    commit.writes.push_back({{Table::kWaves, StrCat(kWavePrefix, number)},
                             {{"completed", completed}}});
    context_.out.emplace_back(std::move(commit));
  }

  Owner& owner_;
  Steward& steward_;
  Context& context_;
  std::map<std::string, TargetView*> by_host_;
};

/// A target that is not heard and whose host runs another one is over.
void EndReplaced(Owner& owner, Context& context) {
  for (auto& [id, target] : owner.targets) {
    if (target.over || (target.synced && target.missed == 0)) continue;
    if (target.entry.host.empty()) {
      // Known by its runs alone: any host may have had it.
      const bool present =
          std::any_of(owner.steward.hosts.begin(), owner.steward.hosts.end(),
                      [&name = id](const auto& it) {
                        return it.second.host.target == name;
                      });
      if (!present) EndTarget(owner, target, "no host runs it", context);
      continue;
    }
    auto host = owner.steward.hosts.find(target.entry.host);
    if (host == owner.steward.hosts.end()) continue;
    const Host& it = host->second.host;
    const bool replaced = !it.target.empty() && it.target != id;
    const bool off = it.target.empty() && it.state == HostState::kUp;
    if (replaced || off) {
      EndTarget(owner, target, "its host runs another target", context);
    }
  }
}

bool HasDuties(const Steward& steward) {
  const bool duties =
      std::any_of(steward.hosts.begin(), steward.hosts.end(),
                  [](const auto& it) { return it.second.duty != Duty::kNone; });
  const bool waves =
      std::any_of(steward.waves.begin(), steward.waves.end(),
                  [](const auto& it) { return !it.second.completed; });
  return duties || waves;
}

}  // namespace

void AdvanceSteward(Owner& owner, Context& context) {
  Steward& steward = owner.steward;
  const Instant now = context.at.now;
  if (steward.next_plan > now) return;
  steward.next_plan = now + kPlanGap;
  if (steward.open_list == 0 && steward.next_list <= now) {
    steward.open_list = context.next_id++;
    steward.next_list =
        now + (HasDuties(steward) ? kListGapBusy : kListGapIdle);
    context.out.emplace_back(ListHosts{.id = steward.open_list});
  }
  Plan(owner, context).Run();
}

bool TakeHosts(Owner& owner, std::int64_t id, const HostList& list,
               Context& context) {
  Steward& steward = owner.steward;
  if (steward.open_list != id) return false;
  steward.open_list = 0;
  if (!list.problem.empty()) {
    Note(context, Severity::kWarn, "host_list_unreadable",
         {{"problem", list.problem}});
  }
  if (!list.answered) return true;
  steward.listed_at = context.at.now;
  std::set<std::string> present;
  for (const Host& it : list.hosts) {
    present.insert(it.name);
    steward.hosts[it.name].host = it;
  }
  EndReplaced(owner, context);
  for (auto it = steward.hosts.begin(); it != steward.hosts.end();) {
    it =
        present.count(it->first) == 0 ? steward.hosts.erase(it) : std::next(it);
  }
  return true;
}

bool TakeHostReply(Owner& owner, std::int64_t id, HostResult result,
                   Context& context) {
  for (auto& [name, host] : owner.steward.hosts) {
    if (host.open_order != id) continue;
    host.open_order = 0;
    host.retry_at = context.at.now + kOrderRetry;
    Note(context,
         result == HostResult::kDone ? Severity::kInfo : Severity::kWarn,
         "host_order_answered",
         {{"host", name}, {"result", std::string(ToString(result))}});
    const bool refused = result == HostResult::kInvalid ||
                         result == HostResult::kWrongWave ||
                         result == HostResult::kBusy;
    if (result == HostResult::kDone) {
      for (auto& [target_id, target] : owner.targets) {
        const bool left = target.entry.host == name && target.reserved;
        if (left) EndTarget(owner, target, "its host was taken out", context);
      }
      host.ordered_at = context.at.now;
      // Asked again only if the list still shows the host elsewhere by then.
      host.retry_at = context.at.now + context.terms.move + kListGapIdle;
      if (host.duty == Duty::kUpkeep) {
        WaveView& wave = owner.steward.waves[host.wave];
        wave.done.insert(name);
        wave.stored = false;
      }
    } else if (refused && host.duty == Duty::kMove) {
      host.duty = Duty::kNone;
      host.ordered = false;
      for (auto& [target_id, target] : owner.targets) {
        if (target.entry.host == name) target.reserved = false;
      }
    } else if (refused || result == HostResult::kLimited ||
               result == HostResult::kFenced) {
      host.ordered = false;
    }
    return true;
  }
  return false;
}

bool TakeWaveWrite(Owner& owner, std::int64_t id, StoreStatus status,
                   Context& context) {
  for (auto& [number, wave] : owner.steward.waves) {
    if (wave.open_write != id) continue;
    wave.open_write = 0;
    if (status != StoreStatus::kOk) {
      wave.shown_completed.reset();
      wave.retry_at = context.at.now + kWriteRetry;
    }
    return true;
  }
  return false;
}

}  // namespace hyssopbarrow::fleet
