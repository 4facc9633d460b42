#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "Model/text.h"
#include "Policy/host_planner.h"
#include "Policy/owner_runs.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// Part of a pool that may be out for upkeep while there is time.
constexpr double kMaxPoolFractionInMaintenance = 0.25;
/// Emptying a host takes about as long as a task runs.
constexpr Duration kHostEmptyingTime = milliseconds(2500);
/// An order that the owner before has sent arrives or is given up by then.
constexpr Duration kMaxRequestTransitTime = milliseconds(700);
/// A wave is in a hurry once so much of its time is needed at the least.
constexpr double kBehindScheduleFraction = 0.6;
/// A host counts as little used below this part of its capacity.
constexpr double kLowCpuUtilization = 0.34;

}  // namespace

bool HostPlanner::IsTaskUnavailable(const TaskName& name,
                                    const Task& task) const {
  for (const Assignment& it : task.assignments) {
    auto target = owner_.targets.find(it.target);
    if (target == owner_.targets.end()) continue;
    const bool heard =
        target->second.synced && target->second.unanswered_polls == 0;
    if (!heard) continue;
    auto run = target->second.runs.find(name);
    const bool works = run != target->second.runs.end() &&
                       run->second.phase == RunPhase::kRunning &&
                       run->second.speed_percent >= 100;
    if (works) return false;
  }
  return true;
}

bool HostPlanner::MayEvictTasks() const {
  const bool first = owner_.epoch <= 1;
  return now() < owner_.host_requests_allowed_until &&
         (first || now() >= owner_.owned_since + context_.timing.max_task_stop +
                                kMaxRequestTransitTime);
}

void HostPlanner::EvictTasks(TargetView& target) {
  if (!MayEvictTasks()) return;
  std::vector<TaskName> stop;
  std::set<std::pair<std::string, std::int64_t>> touched;
  for (const auto& [name, run] : target.runs) {
    if (run.phase != RunPhase::kRunning) continue;
    auto it = owner_.jobs.find(name.job);
    if (it == owner_.jobs.end()) continue;
    Job& job = it->second;
    const Step& step = StepOf(job, name.step);
    const bool fresh = touched.insert({name.job, name.step}).second;
    if (!step.long_running || !fresh) continue;
    const std::vector<Task>& tasks =
        job.open_occurrences.at(name.occurrence)
            .steps[static_cast<std::size_t>(name.step)]
            .tasks;
    std::int64_t away = 0;
    for (std::size_t n = 0; n < tasks.size(); ++n) {
      const auto index = static_cast<std::int64_t>(n);
      if (index == name.index) continue;
      const TaskName other{name.job, name.occurrence, name.step, index};
      away += IsTaskUnavailable(other, tasks[n]) ? 1 : 0;
    }
    if (away < std::max<std::int64_t>(1, step.max_unavailable_tasks))
      stop.push_back(name);
  }
  for (const TaskName& it : stop) {
    StopRun(owner_, target, it, "its host is being emptied", context_);
  }
}

std::int64_t HostPlanner::CountHostsInMaintenance(std::int64_t wave) const {
  std::int64_t out = 0;
  for (const auto& [name, host] : host_manager_.hosts) {
    const bool ours =
        host.operation == HostOperation::kMaintenance && host.wave == wave;
    const bool down = host.host.state == HostState::kMaintenance;
    if ((ours && host.request_sent) || (down && !ours)) ++out;
  }
  return out;
}

void HostPlanner::PlanWave(std::int64_t number, WaveView& wave) {
  if (wave.completed || wave.wave.hosts.empty() ||
      host_manager_.hosts.empty()) {
    return;
  }
  std::vector<HostView*> left;
  bool complete = true;
  std::map<std::string, double> reserved_by_pool;
  std::int64_t reserved = 0;
  for (const std::string& name : wave.wave.hosts) {
    if (wave.done_hosts.count(name) > 0) continue;
    auto it = host_manager_.hosts.find(name);
    if (it == host_manager_.hosts.end()) continue;  // Gone for good.
    complete = false;
    HostView& host = it->second;
    if (host.operation == HostOperation::kMaintenance) {
      ++reserved;
      ++reserved_by_pool[host.host.pool];
    } else if (host.operation == HostOperation::kNone &&
               host.host.state == HostState::kUp) {
      left.push_back(&host);
    }
  }
  if (complete) {
    wave.completed = true;
    wave.progress_stored = false;
    Log(context_, Severity::kInfo, "wave_completed",
        {{"wave", std::to_string(number)}});
    return;
  }
  const std::int64_t left_ms =
      wave.first_seen_unix_ms + wave.wave.duration_ms - context_.time.unix_ms;
  const auto time_left =
      static_cast<double>(std::max<std::int64_t>(0, left_ms)) * 1000;
  const std::int64_t limit =
      std::max<std::int64_t>(1, wave.wave.max_unavailable);
  const auto remaining = static_cast<std::int64_t>(left.size()) + reserved;
  const std::int64_t rounds = (remaining + limit - 1) / limit;
  const Duration least =
      (context_.timing.host_maintenance + kHostEmptyingTime) * rounds;
  const bool hurry =
      static_cast<double>(least.count()) > kBehindScheduleFraction * time_left;
  std::sort(left.begin(), left.end(), [&](HostView* a, HostView* b) {
    return std::make_tuple(CpuUtilization(*a), a->host.name) <
           std::make_tuple(CpuUtilization(*b), b->host.name);
  });
  const std::int64_t out = CountHostsInMaintenance(number);
  for (HostView* host : left) {
    if (reserved + out >= limit) return;
    const double used = CpuUtilization(*host);
    if (!hurry && used > kLowCpuUtilization) return;
    const double pool_size = CountHosts(host->host.pool);
    const double most =
        std::max(1.0, kMaxPoolFractionInMaintenance * pool_size);
    const bool idle = used <= 0;
    const bool crowded = reserved_by_pool[host->host.pool] >= most;
    if (!hurry && !idle && crowded) continue;
    host->wave = number;
    ReserveHost(*host, HostOperation::kMaintenance);
    ++reserved;
    ++reserved_by_pool[host->host.pool];
    Log(context_, Severity::kInfo, "host_reserved",
        {{"host", host->host.name},
         {"wave", std::to_string(number)},
         {"used_percent", std::to_string(static_cast<int>(100 * used))},
         {"hurry", hurry ? "yes" : "no"}});
  }
}

void HostPlanner::WriteWaveRow(std::int64_t number, WaveView& wave) {
  if (wave.pending_write != 0 || wave.retry_at > now()) return;
  if (wave.wave.hosts.empty() && !wave.completion_stored) return;
  const bool completed = wave.completion_stored;
  if (wave.published_completed.has_value() &&
      *wave.published_completed == completed) {
    return;
  }
  wave.pending_write = context_.next_id++;
  wave.published_completed = completed;
  CommitRows commit{.id = wave.pending_write};
  commit.writes.push_back({{Table::kWaves, StrCat(kWavePrefix, number)},
                           {{"completed", completed}}});
  context_.out.emplace_back(std::move(commit));
}

}  // namespace hyssopbarrow::fleet
