#include "Policy/host_manager.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Policy/crashes.h"
#include "Policy/host_planner.h"
#include "Policy/host_records.h"
#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

constexpr Duration kPlanInterval = milliseconds(100);
/// Intervals of reading the host list, with and without an operation or a wave
/// in progress.
constexpr Duration kActiveListInterval = milliseconds(500);
constexpr Duration kInactiveListInterval = milliseconds(2000);
constexpr Duration kHostRequestRetryDelay = milliseconds(400);
constexpr Duration kWaveRowRetryDelay = milliseconds(300);

using HostsByTarget = std::unordered_map<std::string_view, const Host*>;

/// The hosts in the last list, by the target that they run.
HostsByTarget FindHostsByTarget(const HostManager& manager) {
  HostsByTarget hosts;
  for (const auto& [name, host] : manager.hosts) {
    if (!host.missing) hosts[host.host.target] = &host.host;
  }
  return hosts;
}

/// True if a list that was requested after the target was retired shows it.
bool IsBack(const TargetView& target, const HostsByTarget& hosts,
            Instant asked_at) {
  auto it = hosts.find(target.entry.id);
  return target.retired && target.listed && target.retired_at < asked_at &&
         it != hosts.end() && it->second->state == HostState::kUp;
}

/// Handles a target that no host in the last list runs. Its own host is not in
/// the list either, or unknown.
void HandleMissingTarget(Owner& owner, TargetView& target, Context& context) {
  if (std::exchange(target.missing, true)) {
    // A host that leaves the fleet takes its target along, which is no crash.
    if (target.entry.host.empty()) {
      HandleTargetCrash(owner, target, "no host runs it", context);
    }
    RetireTarget(owner, target, "no host runs it", context);
  } else if (!target.runs.empty()) {
    owner.host_manager.next_host_list = context.time.now;
  }
}

/// Retires unresponsive targets whose host runs another target or none, or is
/// in neither of the last two lists, and tracks those that are back.
void RetireReplacedTargets(Owner& owner, Context& context) {
  const HostManager& manager = owner.host_manager;
  const HostsByTarget running = FindHostsByTarget(manager);
  for (auto& [id, target] : owner.targets) {
    // The list tells nothing of what happened after it was requested.
    const Instant asked_at = manager.host_list_requested_at;
    if (IsBack(target, running, asked_at)) {
      TrackInstance(target, target.entry,
                    LatestUnknownLeaseEnd(context.timing, context.time.now),
                    context);
      AddToNextRound(owner, target);
    }
    const bool later_known =
        target.found_at > asked_at || target.last_reply_at > asked_at;
    const bool responsive = target.synced && target.unanswered_polls == 0;
    auto it = manager.hosts.find(target.entry.host);
    const bool host_listed = it != manager.hosts.end() && !it->second.missing;
    const bool unaffected = target.retired || responsive || later_known;
    const bool missing = !unaffected && !host_listed && !running.contains(id);
    if (missing) {
      HandleMissingTarget(owner, target, context);
      continue;
    }
    target.missing = false;
    if (unaffected || !host_listed) continue;
    const Host& host = it->second.host;
    const bool replaced = !host.target.empty() && host.target != id;
    const bool removed = host.target.empty() && host.state == HostState::kUp;
    if (replaced) {
      HandleTargetCrash(owner, target, "its host runs another target", context);
    }
    if (replaced || removed) {
      RetireTarget(owner, target, "its host no longer runs it", context);
    }
  }
}

/// Applies a complete host list. A host that moves between the pages of the
/// list while it is read may be in none of them, so hosts are removed only once
/// two lists in a row lack them.
void ApplyHostList(Owner& owner, const HostList& list, Context& context) {
  HostManager& manager = owner.host_manager;
  std::set<std::string> present;
  for (const Host& host : list.hosts) {
    present.insert(host.name);
    HostView& view = manager.hosts[host.name];
    view.host = host;
    view.missing = false;
  }
  for (auto it = manager.hosts.begin(); it != manager.hosts.end();) {
    HostView& view = it->second;
    if (present.count(it->first) > 0) {
      ++it;
    } else if (view.missing) {
      Log(context, Severity::kInfo, "host_removed", {{"host", it->first}});
      it = manager.hosts.erase(it);
    } else {
      view.missing = true;
      manager.next_host_list = context.time.now;
      ++it;
    }
  }
}

bool HasActiveOperations(const HostManager& manager) {
  const bool operations = std::any_of(
      manager.hosts.begin(), manager.hosts.end(), [](const auto& host) {
        return host.second.operation != HostOperation::kNone;
      });
  const bool waves =
      std::any_of(manager.waves.begin(), manager.waves.end(),
                  [](const auto& wave) { return !wave.second.completed; });
  return operations || waves;
}

}  // namespace

HostPlanner::HostPlanner(Owner& owner, Context& context)
    : owner_(owner), host_manager_(owner.host_manager), context_(context) {
  // The entry of a target may lapse while it has runs.
  for (auto& [id, target] : owner_.targets) {
    if (target.retired) continue;
    TargetView*& found = targets_by_host_[target.entry.host];
    const auto key = [](const TargetView& it) {
      return std::make_pair(it.listed, it.entry.started_unix_ms);
    };
    // The entry of an earlier target may still be listed.
    if (found == nullptr || key(*found) < key(target)) found = &target;
  }
}

void HostPlanner::IndexHosts() {
  for (const auto& [name, host] : host_manager_.hosts) {
    ++host_count_by_pool_[host.host.pool];
  }
  for (const auto& [number, wave] : host_manager_.waves) {
    if (wave.completed) continue;
    for (const std::string& name : wave.wave.hosts) {
      if (wave.done_hosts.count(name) == 0) hosts_to_maintain_.insert(name);
    }
  }
}

void HostPlanner::PlanRound() {
  for (auto& [name, host] : host_manager_.hosts) {
    FinishOperation(host);
    ReserveForEarlierRequest(host);
  }
  IndexHosts();
  for (auto& [number, wave] : host_manager_.waves) PlanWave(number, wave);
  LeaveEvacuatedDataCentres();
  PlanMoves();
  for (auto& [name, host] : host_manager_.hosts) AdvanceOperation(host);
  for (auto& [number, wave] : host_manager_.waves) WriteWaveRow(number, wave);
}

TargetView* HostPlanner::FindTargetOn(const HostView& host) {
  auto it = targets_by_host_.find(host.host.name);
  if (it != targets_by_host_.end()) return it->second;
  // A target that is known only from stored runs names no host.
  auto target = owner_.targets.find(host.host.target);
  const bool found = target != owner_.targets.end() && !target->second.retired;
  return found ? &target->second : nullptr;
}

void HostPlanner::FinishOperation(HostView& host) {
  if (host.operation == HostOperation::kNone || !host.request_sent ||
      host.pending_request != 0) {
    return;
  }
  const Duration duration = host.operation == HostOperation::kMaintenance
                                ? context_.timing.host_maintenance
                                : context_.timing.host_move;
  const bool list_follows_operation =
      host_manager_.host_list_received_at > host.request_sent_at + duration;
  if (!list_follows_operation || host.host.state != HostState::kUp) return;
  const bool done =
      host.operation == HostOperation::kMaintenance
          ? host_manager_.waves[host.wave].done_hosts.count(host.host.name) > 0
          : host.host.pool == host.destination;
  if (done) ReleaseHost(host);
}

void HostPlanner::ReleaseHost(HostView& host) {
  if (TargetView* target = FindTargetOn(host)) target->reserved = false;
  host.operation = HostOperation::kNone;
  host.request_sent = false;
  host.destination.clear();
  owner_.placement_due = true;
}

void HostPlanner::ReserveForEarlierRequest(HostView& host) {
  if (host.operation != HostOperation::kNone) return;
  TargetView* target = FindTargetOn(host);
  if (target == nullptr) return;
  const bool reserved = MustStayEmpty(owner_, target->entry, now());
  if (target->reserved == reserved) return;
  target->reserved = reserved;
  owner_.placement_due = true;
}

void HostPlanner::ReserveHost(HostView& host, HostOperation operation) {
  host.operation = operation;
  host.request_sent = false;
  host.retry_at = now();
  if (TargetView* target = FindTargetOn(host)) target->reserved = true;
}

bool HostPlanner::MaySendHostRequest(const HostView& host) const {
  return now() < owner_.host_requests_allowed_until &&
         IsFreeOfEarlierRequests(owner_, host.host.name, now());
}

double HostPlanner::CpuUtilization(const HostView& host) {
  const TargetView* target = FindTargetOn(host);
  if (target == nullptr || target->runs.empty()) return 0;
  // The capacity of a target whose entry is missing is unknown.
  if (target->entry.capacity.cpu_milli == 0) return 1;
  return static_cast<double>(target->used.cpu_milli) /
         static_cast<double>(target->entry.capacity.cpu_milli);
}

bool HostPlanner::IsEmpty(const TargetView* target) const {
  return target == nullptr ||
         (target->runs.empty() && target->unknown_runs.empty() &&
          target->pending_requests == 0);
}

void HostPlanner::AdvanceOperation(HostView& host) {
  if (host.operation == HostOperation::kNone || host.pending_request != 0) {
    return;
  }
  const bool done =
      host.operation == HostOperation::kMaintenance &&
      host_manager_.waves[host.wave].done_hosts.count(host.host.name) > 0;
  if (done || host.retry_at > now()) return;
  TargetView* target = FindTargetOn(host);
  if (target != nullptr && !host.request_sent) target->reserved = true;
  if (!host.request_sent && !IsEmpty(target)) {
    EvictTasks(*target);
    return;
  }
  if (!host.request_sent && host.operation == HostOperation::kMaintenance) {
    const WaveView& wave = host_manager_.waves[host.wave];
    if (CountHostsInMaintenance(host.wave) >=
        std::max<std::int64_t>(1, wave.wave.max_unavailable)) {
      return;
    }
  }
  const bool moved = host.operation == HostOperation::kMove &&
                     host.request_sent && host.host.pool == host.destination;
  if (moved || !MaySendHostRequest(host)) return;
  if (!EnsureRequestRecorded(owner_, host.host.name)) return;
  host.pending_request = context_.next_id++;
  host_manager_.host_by_request[host.pending_request] = host.host.name;
  host.request_sent = true;
  host.request_sent_at = now();
  RecordHostRequestSent(owner_, host.host.name, now());
  HostRequest request{.id = host.pending_request, .host = host.host.name};
  request.fencing_token = owner_.epoch;
  request.latest_send = owner_.host_requests_allowed_until;
  if (host.operation == HostOperation::kMove) {
    request.pool = host.destination;
  } else {
    request.wave = host.wave;
  }
  Log(context_, Severity::kInfo, "host_request_sent",
      {{"host", host.host.name},
       {"operation",
        host.operation == HostOperation::kMove ? "move" : "maintenance"},
       {"pool", host.destination},
       {"wave", std::to_string(host.wave)},
       {"epoch", std::to_string(owner_.epoch)}});
  context_.out.emplace_back(std::move(request));
}

void AdvanceHostManager(Owner& owner, Context& context) {
  HostManager& manager = owner.host_manager;
  const Instant now = context.time.now;
  if (manager.next_plan > now) return;
  manager.next_plan = now + kPlanInterval;
  if (manager.pending_host_list == 0 && manager.next_host_list <= now) {
    manager.pending_host_list = context.next_id++;
    manager.host_list_requested_at = now;
    manager.next_host_list =
        now + (HasActiveOperations(manager) ? kActiveListInterval
                                            : kInactiveListInterval);
    context.out.emplace_back(ListHosts{.id = manager.pending_host_list});
  }
  RemoveOldHostRecords(owner, now);
  HostPlanner(owner, context).PlanRound();
}

void SendRecordedHostRequests(Owner& owner, Context& context) {
  HostManager& manager = owner.host_manager;
  if (manager.recorded_hosts.empty()) return;
  HostPlanner planner(owner, context);
  for (const std::string& name : std::exchange(manager.recorded_hosts, {})) {
    auto it = manager.hosts.find(name);
    if (it != manager.hosts.end()) planner.AdvanceOperation(it->second);
  }
}

bool HandleHostListReply(Owner& owner, std::int64_t id, const HostList& list,
                         Context& context) {
  HostManager& manager = owner.host_manager;
  if (manager.pending_host_list != id) return false;
  manager.pending_host_list = 0;
  if (!list.error.empty()) {
    Log(context, Severity::kWarn, "host_list_unreadable",
        {{"problem", list.error}});
  }
  if (!list.answered) return true;
  manager.host_list_received_at = context.time.now;
  ++manager.host_list_count;
  ApplyHostList(owner, list, context);
  RetireReplacedTargets(owner, context);
  return true;
}

bool HandleHostReply(Owner& owner, std::int64_t id, HostRequestResult result,
                     Context& context) {
  const auto node = owner.host_manager.host_by_request.extract(id);
  if (node.empty()) return false;
  auto it = owner.host_manager.hosts.find(node.mapped());
  // The host may have left the list and come back since.
  const bool outdated =
      it != owner.host_manager.hosts.end() && it->second.pending_request != id;
  if (outdated) return true;
  RecordHostReply(owner, node.mapped(), result, context);
  if (it != owner.host_manager.hosts.end()) {
    const std::string& name = it->first;
    HostView& host = it->second;
    host.pending_request = 0;
    host.retry_at = context.time.now + kHostRequestRetryDelay;
    Log(context,
        result == HostRequestResult::kDone ? Severity::kInfo : Severity::kWarn,
        "host_request_answered",
        {{"host", name}, {"result", std::string(ToString(result))}});
    // After these results a move is given up, and a maintenance is requested
    // again.
    const bool ends_move = result == HostRequestResult::kInvalid ||
                           result == HostRequestResult::kWrongWave ||
                           result == HostRequestResult::kBusy;
    if (result == HostRequestResult::kDone) {
      for (auto& [target_id, target] : owner.targets) {
        const bool reserved_here = target.reserved && target.entry.host == name;
        if (reserved_here) {
          RetireTarget(owner, target, "its host was moved or maintained",
                       context);
        }
      }
      host.request_sent_at = context.time.now;
      // A move is requested again only if the host list then still shows the
      // host in another pool.
      host.retry_at =
          context.time.now + context.timing.host_move + kInactiveListInterval;
      if (host.operation == HostOperation::kMaintenance) {
        WaveView& wave = owner.host_manager.waves[host.wave];
        wave.done_hosts.insert(name);
        wave.progress_stored = false;
      }
    } else if (ends_move && host.operation == HostOperation::kMove) {
      host.operation = HostOperation::kNone;
      host.request_sent = false;
      for (auto& [target_id, target] : owner.targets) {
        if (target.entry.host == name) target.reserved = false;
      }
    } else if (result == HostRequestResult::kNotSent) {
      // An earlier request for the operation may have got no reply.
      const HostRecord& record = owner.host_manager.records[name];
      host.request_sent = record.unanswered_until > context.time.now;
    } else if (ends_move || result == HostRequestResult::kLimited ||
               result == HostRequestResult::kFenced) {
      host.request_sent = false;
    }
  }
  return true;
}

bool HandleWaveRowReply(Owner& owner, std::int64_t id, StoreStatus status,
                        Context& context) {
  for (auto& [number, wave] : owner.host_manager.waves) {
    if (wave.pending_write != id) continue;
    wave.pending_write = 0;
    if (status != StoreStatus::kOk) {
      wave.published_completed.reset();
      wave.retry_at = context.time.now + kWaveRowRetryDelay;
    }
    return true;
  }
  return false;
}

}  // namespace hyssopbarrow::fleet
