#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "Model/text.h"
#include "Policy/evacuation.h"
#include "Policy/host_planner.h"
#include "Policy/host_records.h"
#include "Policy/owner_runs.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// Fraction of a pool's hosts that a wave on schedule may reserve at a time,
/// besides idle hosts.
constexpr double kMaxReservedPoolFraction = 0.25;
/// Time to empty a host: about the run time of a task.
constexpr Duration kHostEmptyingTime = milliseconds(2500);
/// After this time a request of the previous owner has arrived or timed out.
constexpr Duration kMaxRequestTransitTime = milliseconds(700);
/// A wave is behind schedule once its remaining hosts need at least this
/// fraction of the time left.
constexpr double kBehindScheduleFraction = 0.6;
/// Hosts that use a greater fraction of their CPU are reserved only if a wave
/// is behind schedule.
constexpr double kLowCpuUtilization = 0.34;

}  // namespace

bool HostPlanner::IsTaskUnavailable(const TaskName& name,
                                    const Task& task) const {
  for (const Assignment& assignment : task.assignments) {
    auto target = owner_.targets.find(assignment.target);
    if (target == owner_.targets.end()) continue;
    const bool responsive =
        target->second.synced && target->second.unanswered_polls == 0;
    if (!responsive) continue;
    auto run = target->second.runs.find(name);
    const bool available = run != target->second.runs.end() &&
                           run->second.phase == RunPhase::kRunning &&
                           run->second.speed_percent >= 100;
    if (available) return false;
  }
  return true;
}

bool HostPlanner::MayEvictTasks() const {
  const bool first_epoch = owner_.epoch <= 1;
  return now() < owner_.host_requests_allowed_until &&
         (first_epoch || now() >= owner_.owned_since +
                                      context_.timing.max_task_stop +
                                      kMaxRequestTransitTime);
}

std::int64_t HostPlanner::EvictTasks(TargetView& target) {
  if (!MayEvictTasks()) return 0;
  std::vector<TaskName> evicted;
  // At most one task of a step per round.
  std::set<std::pair<std::string, std::int64_t>> visited_steps;
  for (const auto& [name, run] : target.runs) {
    if (run.phase != RunPhase::kRunning) continue;
    auto it = owner_.jobs.find(name.job);
    if (it == owner_.jobs.end()) continue;
    Job& job = it->second;
    const Step& step = StepOf(job, name.step);
    const bool first_of_step =
        visited_steps.insert({name.job, name.step}).second;
    if (!step.long_running || !first_of_step) continue;
    const std::vector<Task>& tasks =
        job.open_occurrences.at(name.occurrence)
            .steps[static_cast<std::size_t>(name.step)]
            .tasks;
    std::int64_t unavailable = 0;
    for (std::size_t n = 0; n < tasks.size(); ++n) {
      const auto index = static_cast<std::int64_t>(n);
      if (index == name.index) continue;
      const TaskName other{name.job, name.occurrence, name.step, index};
      unavailable += IsTaskUnavailable(other, tasks[n]) ? 1 : 0;
    }
    // A host that has to be emptied may take a task of any step.
    const bool may_wait = target.evacuated && !target.reserved;
    const std::int64_t allowed =
        may_wait ? step.max_unavailable_tasks
                 : std::max<std::int64_t>(1, step.max_unavailable_tasks);
    if (unavailable >= allowed) continue;
    if (may_wait && !HasRoomElsewhere(owner_, target, name, step, now())) {
      continue;
    }
    evicted.push_back(name);
    // The room that was found is only known to suffice for one task.
    if (may_wait) break;
  }
  if (target.evacuated) {
    owner_.evacuation.moved_tasks += static_cast<std::int64_t>(evicted.size());
  }
  for (const TaskName& name : evicted) {
    StopRun(owner_, target, name,
            target.reserved ? "its host is being emptied"
                            : "its data centre is being evacuated",
            context_);
  }
  return static_cast<std::int64_t>(evicted.size());
}

void HostPlanner::LeaveEvacuatedDataCentres() {
  if (owner_.evacuation.data_centres.empty()) return;
  std::set<std::string_view> pools;
  for (auto& [id, target] : owner_.targets) {
    if (!target.evacuated || target.runs.empty() ||
        pools.contains(target.entry.pool)) {
      continue;
    }
    if (EvictTasks(target) > 0) pools.insert(target.entry.pool);
  }
  for (auto& [name, host] : host_manager_.hosts) {
    const bool planned_move =
        host.operation == HostOperation::kMove && !host.request_sent;
    if (planned_move && IsEvacuated(host)) ReleaseHost(host);
  }
}

std::int64_t HostPlanner::CountHostsInMaintenance(std::int64_t wave) const {
  std::int64_t count = 0;
  for (const auto& [name, host] : host_manager_.hosts) {
    const bool in_wave =
        host.operation == HostOperation::kMaintenance && host.wave == wave;
    const bool in_maintenance = host.host.state == HostState::kMaintenance;
    if ((in_wave && host.request_sent) || (in_maintenance && !in_wave)) {
      ++count;
    }
  }
  const WaveView& view = host_manager_.waves.at(wave);
  for (const std::string& name : view.wave.hosts) {
    auto record = host_manager_.records.find(name);
    auto host = host_manager_.hosts.find(name);
    const bool may_go = record != host_manager_.records.end() &&
                        record->second.open &&
                        record->second.epoch != owner_.epoch &&
                        record->second.keep_until > now() &&
                        host != host_manager_.hosts.end() &&
                        host->second.host.state == HostState::kUp;
    if (may_go && view.done_hosts.count(name) == 0) ++count;
  }
  return count;
}

void HostPlanner::PlanWave(std::int64_t number, WaveView& wave) {
  if (wave.completed || wave.wave.hosts.empty() ||
      host_manager_.hosts.empty()) {
    return;
  }
  std::vector<HostView*> unreserved;
  bool complete = true;
  std::map<std::string, double> reserved_by_pool;
  std::int64_t reserved = 0;
  for (const std::string& name : wave.wave.hosts) {
    if (wave.done_hosts.count(name) > 0) continue;
    auto it = host_manager_.hosts.find(name);
    if (it == host_manager_.hosts.end()) {
      // One list may lack a host that is in the fleet.
      if (host_manager_.host_list_count < 2) complete = false;
      continue;
    }
    complete = false;
    HostView& host = it->second;
    if (host.operation == HostOperation::kMaintenance) {
      ++reserved;
      ++reserved_by_pool[host.host.pool];
    } else if (host.operation == HostOperation::kNone &&
               host.host.state == HostState::kUp &&
               IsFreeOfEarlierRequests(owner_, name, now())) {
      unreserved.push_back(&host);
    }
  }
  if (complete) {
    wave.completed = true;
    wave.progress_stored = false;
    Log(context_, Severity::kInfo, "wave_completed",
        {{"wave", std::to_string(number)}});
    return;
  }
  const std::int64_t time_left_ms =
      wave.first_seen_unix_ms + wave.wave.duration_ms - context_.time.unix_ms;
  const auto time_left_us =
      static_cast<double>(std::max<std::int64_t>(0, time_left_ms)) * 1000;
  const std::int64_t max_unavailable =
      std::max<std::int64_t>(1, wave.wave.max_unavailable);
  const auto remaining_hosts =
      static_cast<std::int64_t>(unreserved.size()) + reserved;
  const std::int64_t batches =
      (remaining_hosts + max_unavailable - 1) / max_unavailable;
  const Duration min_time =
      (context_.timing.host_maintenance + kHostEmptyingTime) * batches;
  const bool behind_schedule = static_cast<double>(min_time.count()) >
                               kBehindScheduleFraction * time_left_us;
  std::sort(unreserved.begin(), unreserved.end(),
            [&](HostView* a, HostView* b) {
              return std::make_tuple(CpuUtilization(*a), a->host.name) <
                     std::make_tuple(CpuUtilization(*b), b->host.name);
            });
  const std::int64_t in_maintenance = CountHostsInMaintenance(number);
  for (HostView* host : unreserved) {
    if (reserved + in_maintenance >= max_unavailable) return;
    const double utilization = CpuUtilization(*host);
    if (!behind_schedule && utilization > kLowCpuUtilization) return;
    const double pool_size = CountHosts(host->host.pool);
    const double max_reserved =
        std::max(1.0, kMaxReservedPoolFraction * pool_size);
    const bool idle = utilization <= 0;
    const bool pool_limit_reached =
        reserved_by_pool[host->host.pool] >= max_reserved;
    if (!behind_schedule && !idle && pool_limit_reached) continue;
    host->wave = number;
    ReserveHost(*host, HostOperation::kMaintenance);
    ++reserved;
    ++reserved_by_pool[host->host.pool];
    Log(context_, Severity::kInfo, "host_reserved",
        {{"host", host->host.name},
         {"wave", std::to_string(number)},
         {"used_percent", std::to_string(static_cast<int>(100 * utilization))},
         {"behind_schedule", behind_schedule ? "yes" : "no"}});
  }
}

void HostPlanner::WriteWaveRow(std::int64_t number, WaveView& wave) {
  if (wave.pending_write != 0 || wave.retry_at > now()) return;
  // A wave without hosts, such as one known so far only from its progress row,
  // is written only if it is completed.
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
