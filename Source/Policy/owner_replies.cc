#include <algorithm>
#include <utility>

#include "Model/text.h"
#include "Policy/crashes.h"
#include "Policy/owner_ends.h"
#include "Policy/owner_load.h"
#include "Policy/owner_runs.h"
#include "Policy/target_instance.h"
#include "Policy/target_polls.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// How long a target gets no starts after a request failed because the target
/// was unresponsive, unhealthy or full.
constexpr Duration kAvoidUnresponsive = milliseconds(250);
constexpr Duration kAvoidUnhealthy = milliseconds(1000);
constexpr Duration kAvoidFull = milliseconds(150);
/// Delay before an unanswered start or stop request is sent again.
constexpr Duration kUnansweredRetryDelay = milliseconds(150);
/// Delay before a task is planned again after a target could not parse its
/// start request.
constexpr Duration kInvalidRetryDelay = milliseconds(1000);
/// How long a run with an unknown job may continue. Job rows reach the owner a
/// few milliseconds after they are stored.
constexpr Duration kUnknownRunGrace = milliseconds(1500);
/// Added to a run number that a target rejected as old. Skips run numbers that
/// an earlier instance may have used.
constexpr std::int64_t kRunNumberSkip = 10;

/// True if the task still needs a run, or may have this one as a copy.
bool MayContinue(const Job& job, const Task& task, const Step& step) {
  if (IsFinal(job.state) || task.done) return false;
  return task.assignments.empty() || (step.allows_copies && !step.gang);
}

void HandleReportedRun(Owner& owner, TargetView& target,
                       const ReportedRun& reported, Context& context) {
  auto it = target.runs.find(reported.task);
  if (it == target.runs.end()) {
    HandleUntrackedRun(owner, target, reported, context);
    it = target.runs.find(reported.task);
    if (it == target.runs.end()) return;
  }
  Run& run = it->second;
  if (reported.run != run.number) return;
  // The earlier owner that stored the run may not have started it.
  const bool first_report = run.unreported || !run.confirmed_at;
  if (first_report) {
    if (Job* job = FindJob(owner, reported.task.job)) job->has_run = true;
  }
  run.unreported = false;
  run.stored_for_earlier_instance = false;
  run.instance_confirmed = true;
  if (!run.confirmed_at) run.confirmed_at = context.time.now;
  if (run.phase == RunPhase::kStarting) run.phase = RunPhase::kRunning;
  run.speed_percent = reported.speed_percent;
  run.load = reported.load;
  if (!reported.checkpoint.empty()) run.checkpoint = reported.checkpoint;
  ClearCrashesAfterLongRun(owner, reported.task, run, context);
}

/// Drops runs that the target reports neither as running nor as ended, although
/// it confirmed their start or stop before the poll was sent.
void DropVanishedRuns(Owner& owner, TargetView& target,
                      const TargetReply& reply, Instant sent_at,
                      Context& context) {
  std::vector<TaskName> vanished;
  for (const auto& [name, run] : target.runs) {
    const bool settled =
        (run.confirmed_at && *run.confirmed_at < sent_at) ||
        (run.stop_confirmed_at && *run.stop_confirmed_at < sent_at);
    const bool reported = std::any_of(
        reply.runs.begin(), reply.runs.end(),
        [&task = name](const ReportedRun& it) { return it.task == task; });
    if (settled && !reported) vanished.push_back(name);
  }
  for (const TaskName& name : vanished) {
    Log(context, Severity::kWarn, "run_vanished",
        {{"task", ToString(name)}, {"target", target.entry.id}});
    const Run& run = target.runs.at(name);
    const std::int64_t number = run.number;
    const bool crashed = run.stored_for_earlier_instance;
    DropRun(owner, target, name);
    if (!crashed) continue;
    CountCrashedAssignment(owner, name,
                           {.target = target.entry.id, .run = number}, context);
  }
}

void HandlePollReply(Owner& owner, TargetView& target,
                     const PendingTargetRequest& request,
                     const TargetReply& reply, Context& context) {
  const Instant now = context.time.now;
  for (const RunEnd& end : reply.ends) {
    if (end.number <= target.last_end_processed) continue;
    // An earlier owner may have started tasks of a job whose row has not
    // arrived here yet.
    const bool job_may_be_unloaded =
        now < owner.owned_since + kUnknownRunGrace &&
        FindJob(owner, end.task.job) == nullptr;
    if (job_may_be_unloaded) break;
    target.last_end_processed = end.number;
    HandleRunEnd(owner, target, end, context);
    owner.unstored_ends.push_back(
        {.target = target.entry.id,
         .started_unix_ms = target.entry.started_unix_ms,
         .number = end.number,
         .changes_end = owner.changed_jobs.EndPosition(),
         .job = end.task.job});
  }
  // An acknowledgement in the numbers of an earlier instance counts for none.
  if (request.started_unix_ms == target.entry.started_unix_ms) {
    target.last_end_acknowledged =
        std::max(target.last_end_acknowledged, request.last_end_stored);
  }
  for (const ReportedRun& reported : reply.runs) {
    HandleReportedRun(owner, target, reported, context);
  }
  if (reply.complete) {
    std::erase_if(target.unknown_runs, [&](const auto& unknown) {
      return std::none_of(
          reply.runs.begin(), reply.runs.end(),
          [&](const ReportedRun& it) { return it.task == unknown.first; });
    });
    DropVanishedRuns(owner, target, reply, request.sent_at, context);
  }
  if (!target.synced) {
    target.synced = true;
    owner.placement_due = true;
  }
  target.next_poll = now + PollDelay(target, now);
}

/// Handles a rejected start request. This attempt has not run, but earlier
/// start requests without a reply may still take effect.
void HandleStartRefusal(Owner& owner, TargetView& target, const TaskName& name,
                        std::string_view reason, Context& context) {
  auto it = target.runs.find(name);
  if (it == target.runs.end()) return;
  Log(context, Severity::kWarn, "start_refused",
      {{"task", ToString(name)},
       {"run", std::to_string(it->second.number)},
       {"target", target.entry.id},
       {"reason", std::string(reason)}});
  if (it->second.start_outcome_unknown) {
    StopRun(owner, target, name, reason, context);
  } else {
    DropRun(owner, target, name);
  }
}

/// `same_instance` is true if the reply is certainly from the instance that is
/// known.
void HandleStartReply(Owner& owner, TargetView& target,
                      const PendingTargetRequest& request,
                      const TargetReply& reply, bool same_instance,
                      Context& context) {
  const TaskName& name = request.task;
  auto it = target.runs.find(name);
  if (it == target.runs.end() || it->second.number != request.run) return;
  Run& run = it->second;
  const Instant now = context.time.now;
  run.request_pending = false;
  Job* job = FindJob(owner, name.job);
  Task* task = job == nullptr ? nullptr : FindTask(*job, name);
  switch (reply.result) {
    case TargetResult::kDone:
      RecordStartReply(owner.load, now - request.sent_at);
      if (!run.confirmed_at) {
        const bool first_attempt = !run.start_outcome_unknown;
        if (first_attempt && run.checkpoint.empty()) run.measured_from = now;
        run.confirmed_at = now;
      }
      if (same_instance) run.instance_confirmed = true;
      if (run.phase == RunPhase::kStarting) run.phase = RunPhase::kRunning;
      if (job != nullptr) job->has_run = true;
      return;
    case TargetResult::kNoReply:
    case TargetResult::kRelayLost:
      run.start_outcome_unknown = true;
      run.retry_at = now + kUnansweredRetryDelay;
      return;
    case TargetResult::kOldRun:
      if (task != nullptr) task->last_run = request.run + kRunNumberSkip;
      // An earlier start request without a reply may have run and ended; the
      // next poll reports the end.
      if (run.start_outcome_unknown) {
        run.stop_confirmed_at = now;
        run.phase = RunPhase::kStopping;
        target.next_poll = now;
        return;
      }
      break;
    case TargetResult::kNoRoom:
      target.avoid_until = std::max(target.avoid_until, now + kAvoidFull);
      break;
    case TargetResult::kNoTicket:
      owner.approvals.erase(StepName(name));
      break;
    case TargetResult::kInvalid:
      if (task != nullptr) task->earliest_start = now + kInvalidRetryDelay;
      break;
    case TargetResult::kUnhealthy:
      target.avoid_until = std::max(target.avoid_until, now + kAvoidUnhealthy);
      break;
    case TargetResult::kLeaseExpired:
    case TargetResult::kFenced:
    case TargetResult::kOtherInstance:
    case TargetResult::kNotSent:
      break;
  }
  HandleStartRefusal(owner, target, name, ToString(reply.result), context);
}

void HandleStopReply(TargetView& target, const PendingTargetRequest& request,
                     const TargetReply& reply, const Context& context) {
  auto it = target.runs.find(request.task);
  if (it == target.runs.end() || it->second.number != request.run) return;
  it->second.request_pending = false;
  const bool answered = reply.result != TargetResult::kNoReply &&
                        reply.result != TargetResult::kRelayLost &&
                        reply.result != TargetResult::kNotSent &&
                        reply.result != TargetResult::kUnhealthy;
  if (answered) {
    it->second.stop_confirmed_at = context.time.now;
  } else {
    it->second.retry_at = context.time.now + kUnansweredRetryDelay;
  }
}

/// Makes the next throttling check send the speed again if the request failed.
void HandleThrottleReply(TargetView& target,
                         const PendingTargetRequest& request,
                         const TargetReply& reply) {
  auto it = target.runs.find(request.task);
  if (it == target.runs.end() || it->second.number != request.run) return;
  constexpr std::int64_t kUnknownSpeed = -1;
  if (reply.result != TargetResult::kDone) {
    it->second.requested_speed_percent = kUnknownSpeed;
  }
}

/// Handles a request to which the target did not reply, or a poll that it
/// rejected.
void HandleSilence(TargetView& target, TargetRequestKind kind,
                   bool is_current_poll, const TargetReply& reply,
                   Context& context) {
  const Instant now = context.time.now;
  target.avoid_until = std::max(target.avoid_until, now + kAvoidUnresponsive);
  // Only unanswered polls mark a target as unresponsive.
  if (!is_current_poll) return;
  const bool was_responsive = target.unanswered_polls++ == 0;
  target.next_poll = now + PollDelay(target, now);
  if (!was_responsive) return;
  Log(context, Severity::kWarn, "target_unresponsive",
      {{"target", target.entry.id},
       {"request_kind", std::to_string(static_cast<int>(kind))},
       {"result", std::string(ToString(reply.result))}});
}

}  // namespace

void HandleUntrackedRun(Owner& owner, TargetView& target,
                        const ReportedRun& reported, Context& context) {
  Job* job = FindJob(owner, reported.task.job);
  const Instant now = context.time.now;
  Task* task = job == nullptr ? nullptr : FindTask(*job, reported.task);
  const bool has_step = job != nullptr && reported.task.step >= 0 &&
                        reported.task.step < static_cast<std::int64_t>(
                                                 job->record.spec.steps.size());
  if (has_step && task == nullptr) {
    // The occurrence is not open here yet, or it is complete.
    const bool is_open =
        job->finished_occurrences.count(reported.task.occurrence) == 0;
    if (is_open && !IsFinal(job->state)) {
      job->open_occurrences.try_emplace(reported.task.occurrence,
                                        NewOccurrence(job->record.spec, now));
      task = FindTask(*job, reported.task);
    }
  }
  if (!has_step) {
    const auto [it, inserted] = target.unknown_runs.try_emplace(
        reported.task, UnknownRun{reported, now});
    if (job == nullptr && now - it->second.first_seen < kUnknownRunGrace) {
      owner.unknown_run_targets[reported.task.job].insert(target.entry.id);
      return;
    }
    owner.unknown_run_targets.erase(reported.task.job);
    TargetRequest stop{.kind = TargetRequestKind::kStop};
    stop.task = reported.task;
    stop.run = reported.run;
    SendTargetRequest(owner, target, std::move(stop), false, context);
    Log(context, Severity::kWarn, "run_stop_requested",
        {{"task", ToString(reported.task)},
         {"run", std::to_string(reported.run)},
         {"target", target.entry.id},
         {"reason", "the job is unknown"}});
    return;
  }
  target.unknown_runs.erase(reported.task);
  const bool may_continue =
      task != nullptr &&
      MayContinue(*job, *task, StepOf(*job, reported.task.step));
  Run& run = AddRun(owner, target, *job, reported.task, reported.run, now);
  run.confirmed_at = now;
  run.instance_confirmed = true;
  run.phase = RunPhase::kRunning;
  job->has_run = true;
  Log(context, Severity::kInfo, "run_adopted",
      {{"task", ToString(reported.task)},
       {"run", std::to_string(reported.run)},
       {"target", target.entry.id},
       {"wanted", may_continue ? "yes" : "no"}});
  if (!may_continue) {
    StopRun(owner, target, reported.task, "the task needs no further run",
            context);
  }
}

bool HandleTargetReply(Owner& owner, std::int64_t id,
                       const TargetReply& received, Context& context) {
  auto it = owner.pending_target_requests.find(id);
  if (it == owner.pending_target_requests.end()) return false;
  const PendingTargetRequest request = std::move(it->second);
  owner.pending_target_requests.erase(it);
  auto view = owner.targets.find(request.target);
  if (view == owner.targets.end()) return true;
  TargetView& target = view->second;
  AddToNextRound(owner, target);
  const Instant now = context.time.now;
  const bool is_poll = request.kind == TargetRequestKind::kPoll;
  const bool is_current_poll = is_poll && target.pending_poll == id;
  if (is_current_poll) target.pending_poll = 0;
  if (!is_poll) {
    --target.pending_requests;
    if (target.start_deferred) owner.placement_due = true;
    target.start_deferred = false;
  }
  if (request.started_unix_ms != target.entry.started_unix_ms ||
      target.retired) {
    return true;
  }
  const bool from_other = received.result == TargetResult::kOtherInstance;
  const bool known_address = target.address_replied.empty() ||
                             request.address == target.address_replied;
  const bool gone = from_other && known_address;
  // An entry may name an address that is not the target's.
  const TargetReply none;
  const TargetReply& reply = from_other && !gone ? none : received;
  const bool relay_lost = reply.result == TargetResult::kRelayLost;
  const bool responsive = reply.result != TargetResult::kNoReply &&
                          reply.result != TargetResult::kNotSent && !relay_lost;
  // A poll that the target rejects extends no lease.
  const bool poll_rejected =
      is_poll && responsive && reply.result != TargetResult::kDone;
  if (relay_lost) {
    if (is_current_poll) target.next_poll = now;
  } else if (!responsive || poll_rejected) {
    HandleSilence(target, request.kind, is_current_poll, reply, context);
  } else if (is_poll) {
    target.unanswered_polls = 0;
  }
  if (reply.result == TargetResult::kFenced) {
    owner.fenced = true;
    Log(context, Severity::kWarn, "fenced",
        {{"target", target.entry.id}, {"epoch", std::to_string(owner.epoch)}});
  }
  if (gone) {
    HandleTargetGone(owner, target, request, context);
    return true;
  }
  const bool was_recent = HasRecentReading(target, now);
  const bool same_instance =
      UpdateInstance(owner, target, request, reply, is_current_poll, context);
  if (responsive && !target.instance_doubted) {
    target.last_reply_at = now;
    if (!owner.lost_runs.empty()) {
      CountLostRuns(owner, target.entry, context);
      owner.lost_runs.erase(target.entry.id);
    }
  }
  switch (request.kind) {
    case TargetRequestKind::kPoll:
      if (reply.result == TargetResult::kDone) {
        if (!was_recent) owner.placement_due = true;
        HandlePollReply(owner, target, request, reply, context);
      } else if (responsive) {
        target.next_poll = now + kPollRetryDelay;
        target.avoid_until =
            std::max(target.avoid_until, now + kAvoidUnhealthy);
      }
      break;
    case TargetRequestKind::kStart:
      HandleStartReply(owner, target, request, reply, same_instance, context);
      break;
    case TargetRequestKind::kStop:
      HandleStopReply(target, request, reply, context);
      break;
    case TargetRequestKind::kThrottle:
      HandleThrottleReply(target, request, reply);
      break;
  }
  return true;
}

}  // namespace hyssopbarrow::fleet
