#include "Policy/steward.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "Policy/owner_runs.h"
#include "Policy/steward_plan.h"

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

Plan::Plan(Owner& owner, Context& context)
    : owner_(owner), steward_(owner.steward), context_(context) {
  for (auto& [id, target] : owner_.targets) {
    if (target.listed && !target.over) by_host_[target.entry.host] = &target;
  }
}

void Plan::Run() {
  for (auto& [name, host] : steward_.hosts) Settle(host);
  for (auto& [number, wave] : steward_.waves) PlanWave(number, wave);
  PlanMoves();
  for (auto& [name, host] : steward_.hosts) Act(host);
  for (auto& [number, wave] : steward_.waves) ShowWave(number, wave);
}

TargetView* Plan::TargetOf(const HostView& host) {
  auto it = by_host_.find(host.host.name);
  return it == by_host_.end() ? nullptr : it->second;
}

void Plan::Settle(HostView& host) {
  if (host.duty == Duty::kNone || !host.ordered || host.open_order != 0) {
    return;
  }
  const Duration away =
      host.duty == Duty::kUpkeep ? context_.terms.upkeep : context_.terms.move;
  const bool seen = steward_.listed_at > host.ordered_at + away;
  if (!seen || host.host.state != HostState::kUp) return;
  const bool done =
      host.duty == Duty::kUpkeep
          ? steward_.waves[host.wave].done.count(host.host.name) > 0
          : host.host.pool == host.destination;
  if (done) Release(host);
}

void Plan::Release(HostView& host) {
  if (TargetView* target = TargetOf(host)) target->reserved = false;
  host.duty = Duty::kNone;
  host.ordered = false;
  host.destination.clear();
  owner_.plan_due = true;
}

void Plan::Reserve(HostView& host, Duty duty) {
  host.duty = duty;
  host.ordered = false;
  host.retry_at = now();
  if (TargetView* target = TargetOf(host)) target->reserved = true;
}

bool Plan::MayOrderHost(const TargetView* target) const {
  if (now() >= owner_.steward_until) return false;
  if (now() >= steward_.orders_from) return true;
  if (target == nullptr || !target->synced || target->missed > 0) {
    return false;
  }
  const std::int64_t up_ms = context_.at.unix_ms - target->entry.born;
  return milliseconds(up_ms) > context_.terms.turn_gap + kClockDoubt;
}

double Plan::UsedPart(const HostView& host) {
  const TargetView* target = TargetOf(host);
  if (target == nullptr || target->entry.capacity.cpu_milli == 0) return 0;
  return static_cast<double>(target->used.cpu_milli) /
         static_cast<double>(target->entry.capacity.cpu_milli);
}

bool Plan::IsEmpty(const TargetView* target) const {
  return target == nullptr ||
         (target->runs.empty() && target->open_orders == 0);
}

void Plan::Act(HostView& host) {
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
