#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "Model/text.h"
#include "Policy/owner_runs.h"
#include "Policy/steward_plan.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// Part of a pool that may be out for upkeep while there is time.
constexpr double kPoolPart = 0.25;
/// Emptying a host takes about as long as a task runs.
constexpr Duration kEmptying = milliseconds(2500);
/// An order that the owner before has sent arrives or is given up by then.
constexpr Duration kOrderOnWay = milliseconds(700);
/// A wave is in a hurry once so much of its time is needed at the least.
constexpr double kHurry = 0.6;
/// A host counts as little used below this part of its capacity.
constexpr double kLittleUsed = 0.34;

}  // namespace

bool Plan::IsAway(const TaskName& name, const Task& task) const {
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

bool Plan::MayEvict() const {
  const bool first = owner_.epoch <= 1;
  return now() < owner_.steward_until &&
         (first || now() >= owner_.since + context_.terms.stop + kOrderOnWay);
}

void Plan::Evict(TargetView& target) {
  if (!MayEvict()) return;
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

std::int64_t Plan::CountOut(std::int64_t wave) const {
  std::int64_t out = 0;
  for (const auto& [name, host] : steward_.hosts) {
    const bool ours = host.duty == Duty::kUpkeep && host.wave == wave;
    const bool down = host.host.state == HostState::kUpkeep;
    if ((ours && host.ordered) || (down && !ours)) ++out;
  }
  return out;
}

void Plan::PlanWave(std::int64_t number, WaveView& wave) {
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
    } else if (host.duty == Duty::kNone && host.host.state == HostState::kUp) {
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

void Plan::ShowWave(std::int64_t number, WaveView& wave) {
  if (wave.open_write != 0 || wave.retry_at > now()) return;
  if (wave.wave.hosts.empty() && !wave.completion_stored) return;
  const bool completed = wave.completion_stored;
  if (wave.shown_completed.has_value() && *wave.shown_completed == completed) {
    return;
  }
  wave.open_write = context_.next_id++;
  wave.shown_completed = completed;
  CommitRows commit{.id = wave.open_write};
  commit.writes.push_back({{Table::kWaves, StrCat(kWavePrefix, number)},
                           {{"completed", completed}}});
  context_.out.emplace_back(std::move(commit));
}

}  // namespace hyssopbarrow::fleet
