#include "Policy/owner_runs.h"

#include <algorithm>
#include <utility>

#include "Policy/crashes.h"
#include "Policy/relays.h"
#include "Policy/row_sizes.h"
#include "Policy/target_polls.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Clocks of targets may run 2% slow, so that a lease lasts 1.02 times as long;
/// the rest is a margin.
constexpr double kLeaseClockFactor = 1.03;
/// Longest time until a request with a lease reaches its target, and until the
/// target has ended its runs.
constexpr Duration kLeaseDeliveryMargin = milliseconds(150);

/// Replies take 3 ms under low load.
constexpr Duration kTargetRequestTimeout = milliseconds(700);
/// Delay before a start or stop request is sent again, unless its reply sets
/// another delay.
constexpr Duration kRunRequestRetryDelay = milliseconds(200);

std::int64_t Milliseconds(Duration duration) {
  return duration_cast<milliseconds>(duration).count();
}

/// Sends the stop request of a stopping run or the start request of a starting
/// run, unless the target has confirmed it or a request is pending.
void SendStopOrStart(Owner& owner, TargetView& target, const TaskName& name,
                     Run& run, Context& context) {
  if (run.request_pending) return;
  run.retry_at = context.time.now + kRunRequestRetryDelay;
  const bool start_due = run.phase == RunPhase::kStarting &&
                         !run.confirmed_at && !target.evacuated;
  if (run.phase == RunPhase::kStopping && !run.stop_confirmed_at.has_value()) {
    run.request_pending = true;
    SendTargetRequest(
        owner, target,
        {.kind = TargetRequestKind::kStop, .task = name, .run = run.number},
        false, context);
  } else if (start_due && MayStartTasks(owner, context.time.now)) {
    SendStart(owner, target, name, context);
  }
}

/// The address of a target for a progress row; empty if it does not fit into
/// the space for the target's id.
std::string StorableAddress(const Target& target) {
  const bool fits =
      target.id.size() + target.address.size() + 2 <= kMaxAssignmentTextBytes;
  return fits ? target.address : "";
}

}  // namespace

void Log(Context& context, Severity severity, std::string event,
         std::vector<std::pair<std::string, std::string>> fields) {
  context.out.push_back(LogLine{.severity = severity,
                                .event = std::move(event),
                                .fields = std::move(fields)});
}

bool HasStartedRuns(const TargetView& target) {
  return std::any_of(
      target.runs.begin(), target.runs.end(),
      [](const auto& run) { return run.second.phase != RunPhase::kPlanned; });
}

Duration TargetLease(const TimingSettings& settings) {
  return std::min(kTargetLease, settings.max_lease);
}

Instant LatestUnknownLeaseEnd(const TimingSettings& settings, Instant now) {
  return now + duration_cast<Duration>(settings.max_lease * kLeaseClockFactor) +
         kLeaseDeliveryMargin;
}

Job* FindJob(Owner& owner, const std::string& id) {
  auto it = owner.jobs.find(id);
  return it == owner.jobs.end() ? nullptr : &it->second;
}

Run& AddRun(Owner& owner, TargetView& target, Job& job, const TaskName& name,
            std::int64_t number, Instant now) {
  const Step& step = StepOf(job, name.step);
  Run run;
  run.number = number;
  run.resources = step.resources;
  if (step.background) run.resources.cpu_milli = 0;
  run.team_resources = step.resources;
  run.team = job.record.team;
  run.background = step.background;
  run.tail_latency_target_ms = step.tail_latency_target_ms;
  run.phase = RunPhase::kPlanned;
  run.start_sent_at = now;
  target.used += run.resources;
  owner.team_used[run.team] += run.team_resources;
  if (Task* task = FindTask(job, name)) {
    task->assignments.push_back(
        {.target = target.entry.id,
         .started_unix_ms = target.entry.started_unix_ms,
         .run = number,
         .address = step.long_running ? StorableAddress(target.entry) : ""});
    task->last_run = std::max(task->last_run, number);
  }
  if (job.state == JobState::kPending) job.state = JobState::kRunning;
  auto existing = target.runs.find(name);
  if (existing != target.runs.end() && existing->second.background) {
    --target.background_runs;
  }
  if (run.background) ++target.background_runs;
  return target.runs[name] = std::move(run);
}

void RestoreAssignment(Owner& owner, Job& job, const TaskName& name,
                       const Assignment& assignment, Context& context) {
  auto [it, inserted] = owner.targets.try_emplace(assignment.target);
  TargetView& target = it->second;
  if (inserted) {
    target.entry.id = assignment.target;
    target.entry.started_unix_ms = assignment.started_unix_ms;
    target.entry.pool = job.record.pool;
    target.listed = false;
  }
  // Without its entry, the target can only be reached where it was.
  if (target.entry.address.empty()) target.entry.address = assignment.address;
  const bool earlier_instance =
      assignment.started_unix_ms < target.entry.started_unix_ms;
  if (target.synced) {
    // The target has reported its runs.
    const bool lost = earlier_instance && target.unknown_runs.count(name) == 0;
    if (lost) CountCrashedAssignment(owner, name, assignment, context);
    return;
  }
  // The earlier owner may have learned of an instance before its entry arrives.
  target.entry.started_unix_ms =
      std::max(target.entry.started_unix_ms, assignment.started_unix_ms);
  // The earlier owner may have started the run in an instance whose clock it
  // did not know.
  const Instant last_request_at = owner.earlier_requests_end;
  const auto lease =
      duration_cast<Duration>(TargetLease(context.timing) * kLeaseClockFactor);
  target.latest_lease_end = std::max(
      target.latest_lease_end,
      earlier_instance ? LatestUnknownLeaseEnd(context.timing, last_request_at)
                       : last_request_at + lease + kLeaseDeliveryMargin);
  Run& run = AddRun(owner, target, job, name, assignment.run, context.time.now);
  run.phase = RunPhase::kRunning;
  run.confirmed_at = owner.owned_since;
  run.unreported = true;
  run.stored_for_earlier_instance = earlier_instance;
}

void DropRun(Owner& owner, TargetView& target, const TaskName& name) {
  auto it = target.runs.find(name);
  if (it == target.runs.end()) return;
  const Run& run = it->second;
  if (run.background) --target.background_runs;
  target.used -= run.resources;
  owner.team_used[run.team] -= run.team_resources;
  auto job = owner.jobs.find(name.job);
  if (job != owner.jobs.end()) {
    if (Task* task = FindTask(job->second, name)) {
      std::erase_if(task->assignments, [&](const Assignment& assignment) {
        return assignment.target == target.entry.id;
      });
      if (!run.checkpoint.empty()) task->checkpoint = run.checkpoint;
    }
    owner.placeable_jobs.insert(name.job);
  }
  target.runs.erase(it);
  owner.placement_due = true;
}

void DropAllRuns(Owner& owner, TargetView& target, std::string_view reason,
                 Context& context) {
  DropRunsExcept(owner, target, {}, reason, context);
}

void DropRunsExcept(Owner& owner, TargetView& target,
                    const std::set<TaskName>& kept, std::string_view reason,
                    Context& context) {
  std::vector<TaskName> lost;
  for (const auto& [name, run] : target.runs) {
    if (kept.count(name) == 0) lost.push_back(name);
  }
  if (lost.empty()) return;
  Log(context, Severity::kWarn, "runs_lost",
      {{"target", target.entry.id},
       {"reason", std::string(reason)},
       {"born", std::to_string(target.entry.started_unix_ms)},
       {"reply_age_ms",
        std::to_string(Milliseconds(context.time.now - target.last_reply_at))},
       {"runs", std::to_string(lost.size())},
       {"kept", std::to_string(target.runs.size() - lost.size())},
       {"first_task", ToString(lost.front())}});
  for (const TaskName& name : lost) DropRun(owner, target, name);
}

void StopRun(Owner& owner, TargetView& target, const TaskName& name,
             std::string_view reason, Context& context) {
  auto it = target.runs.find(name);
  if (it == target.runs.end() || it->second.phase == RunPhase::kStopping) {
    return;
  }
  if (it->second.phase == RunPhase::kPlanned) {
    DropRun(owner, target, name);
    return;
  }
  it->second.phase = RunPhase::kStopping;
  it->second.retry_at = context.time.now;
  Log(context, Severity::kInfo, "run_stop_requested",
      {{"task", ToString(name)},
       {"run", std::to_string(it->second.number)},
       {"target", target.entry.id},
       {"reason", std::string(reason)}});
  if (MaySendTargetRequests(owner, context.time.now)) {
    SendStopOrStart(owner, target, name, it->second, context);
  }
}

void StopJobRuns(Owner& owner, Job& job, std::string_view reason,
                 Context& context) {
  ForEachTask(job, [&](const TaskName& name, Task& task) {
    for (const Assignment& assignment :
         std::vector<Assignment>(task.assignments)) {
      StopRun(owner, owner.targets.at(assignment.target), name, reason,
              context);
    }
  });
}

void MarkJobChanged(Owner& owner, const Job& job) {
  owner.changed_jobs.Add(job.record.id);
}

void FinishJob(Owner& owner, Job& job, JobState state, std::string_view reason,
               Context& context) {
  job.state = state;
  job.finished_at = context.time.now;
  owner.active_jobs.erase(job.record.id);
  MarkJobChanged(owner, job);
  Log(context, Severity::kInfo, "job_ended",
      {{"job", job.record.id},
       {"state", std::string(ToString(state))},
       {"reason", std::string(reason)},
       {"age_ms",
        std::to_string(Milliseconds(context.time.now - job.accepted_at))}});
  StopJobRuns(owner, job, reason, context);
}

void SendTargetRequest(Owner& owner, TargetView& target, TargetRequest request,
                       bool extend_lease, Context& context) {
  request.id = context.next_id++;
  request.target = target.entry.id;
  request.address = target.entry.address;
  request.relay = RelayAddress(owner, target, request, context.time.now);
  request.fencing_token = owner.epoch;
  request.timeout = kTargetRequestTimeout + request.wait;
  request.fresh_connection = target.unanswered_polls > 0;
  PendingTargetRequest pending{.kind = request.kind,
                               .target = request.target,
                               .address = request.address,
                               .task = request.task,
                               .run = request.run,
                               .last_end_stored = request.last_end_stored,
                               .sent_at = context.time.now,
                               .started_unix_ms = target.entry.started_unix_ms};
  if (extend_lease && target.unanswered_polls > 0) {
    // The runs of an unresponsive target are dropped when its lease expires, so
    // no request may extend the lease.
    request.lease_until_ms = target.lease_until_ms;
  } else if (extend_lease) {
    request.lease_until_ms = EstimateClock(*target.clock, context.time.now) +
                             Milliseconds(TargetLease(context.timing));
    target.lease_until_ms =
        std::max(target.lease_until_ms, *request.lease_until_ms);
    target.latest_lease_end =
        std::max(target.latest_lease_end,
                 LatestTimeBefore(*target.clock, *request.lease_until_ms) +
                     kLeaseDeliveryMargin);
  }
  if (request.kind == TargetRequestKind::kPoll) {
    target.pending_poll = request.id;
  } else {
    ++target.pending_requests;
  }
  owner.pending_target_requests[request.id] = std::move(pending);
  context.out.emplace_back(std::move(request));
}

void SendStart(Owner& owner, TargetView& target, const TaskName& name,
               Context& context) {
  Run& run = target.runs.at(name);
  const Job& job = owner.jobs.at(name.job);
  run.request_pending = true;
  run.start_sent_at = context.time.now;
  TargetRequest request{.kind = TargetRequestKind::kStart};
  request.task = name;
  request.run = run.number;
  request.payload = job.record.spec.payload;
  request.checkpoint = run.checkpoint;
  auto approval = owner.approvals.find(StepName(name));
  if (approval != owner.approvals.end()) {
    auto ticket = approval->second.tickets.find(target.entry.id);
    if (ticket != approval->second.tickets.end()) {
      request.ticket = ticket->second;
    }
  }
  SendTargetRequest(owner, target, std::move(request), true, context);
}

void RetireTarget(Owner& owner, TargetView& target, std::string_view reason,
                  Context& context) {
  if (target.retired) return;
  Log(context, Severity::kInfo, "target_retired",
      {{"target", target.entry.id}, {"reason", std::string(reason)}});
  target.unknown_runs.clear();
  GiveUpRuns(owner, target, reason, context);
  target.retired = true;
  target.retired_at = context.time.now;
}

void AdvanceTarget(Owner& owner, TargetView& target, Context& context) {
  const Instant now = context.time.now;
  if (target.retired || !owner.jobs_loaded) return;
  // A target that has not been polled may still report how its runs ended; one
  // whose address is unknown cannot be polled.
  const bool unlisted =
      !target.synced && owner.targets_loaded && target.entry.address.empty();
  const bool unresponsive = unlisted || target.unanswered_polls > 0;
  const bool lease_expired =
      unresponsive && now > target.latest_lease_end && !target.runs.empty();
  if (lease_expired) {
    GiveUpRuns(owner, target,
               "the lease expired while the target was unresponsive", context);
  }
  if (!MaySendTargetRequests(owner, now)) return;
  std::vector<TaskName> due;
  for (const auto& [name, run] : target.runs) {
    const bool can_retry = !run.request_pending && run.retry_at <= now;
    // A target that does not reply may come back as another instance, which
    // would take a repeated start request as a new one.
    const bool unconfirmed =
        (run.phase == RunPhase::kStarting && !run.confirmed_at &&
         target.unanswered_polls == 0 && !target.instance_doubted) ||
        (run.phase == RunPhase::kStopping && !run.stop_confirmed_at);
    if (can_retry && unconfirmed && target.clock.has_value()) {
      due.push_back(name);
    }
  }
  for (const TaskName& name : due) {
    SendStopOrStart(owner, target, name, target.runs.at(name), context);
  }
  if (target.next_poll > now || !NeedsPoll(target)) return;
  target.next_poll = now + PollDelay(target, now);
  SendPoll(owner, target, context);
}

}  // namespace hyssopbarrow::fleet
