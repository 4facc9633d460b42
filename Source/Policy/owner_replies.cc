#include <algorithm>
#include <utility>

#include "Model/text.h"
#include "Policy/owner_ends.h"
#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr Duration kAvoidUnresponsive = milliseconds(250);
constexpr Duration kAvoidUnhealthy = milliseconds(1000);
constexpr Duration kAvoidFull = milliseconds(150);
constexpr Duration kUnansweredRetryDelay = milliseconds(150);
constexpr Duration kInvalidRetryDelay = milliseconds(1000);
/// Jobs reach the owner a few milliseconds after they are stored; a run whose
/// job is unknown for longer is not ours.
constexpr Duration kUnknownRunGrace = milliseconds(1500);
/// Room for the numbers of runs that an earlier life may have used.
constexpr std::int64_t kRunNumberSkip = 10;

/// True if a run that the target lists may go on.
bool MayContinue(const Job& job, const Task& task, const Step& step) {
  if (IsFinal(job.state) || task.done) return false;
  return task.assignments.empty() || (step.allows_copies && !step.gang);
}

void HandleReportedRun(Owner& owner, TargetView& target,
                       const ReportedRun& listed, Context& context) {
  auto it = target.runs.find(listed.task);
  if (it == target.runs.end()) {
    HandleUntrackedRun(owner, target, listed, context);
    it = target.runs.find(listed.task);
    if (it == target.runs.end()) return;
  }
  Run& run = it->second;
  if (listed.run != run.number) return;
  if (!run.confirmed_at) run.confirmed_at = context.time.now;
  if (run.phase == RunPhase::kStarting) run.phase = RunPhase::kRunning;
  run.speed_percent = listed.speed_percent;
  run.load = listed.load;
  if (!listed.checkpoint.empty()) run.checkpoint = listed.checkpoint;
}

/// Drops runs that the target neither runs nor lists as ended, though it had
/// settled them before the hold was sent.
void DropVanishedRuns(Owner& owner, TargetView& target,
                      const TargetReply& reply, Instant sent_at,
                      Context& context) {
  std::set<TaskName> listed;
  for (const ReportedRun& it : reply.runs) listed.insert(it.task);
  std::vector<TaskName> vanished;
  for (const auto& [name, run] : target.runs) {
    const bool settled =
        (run.confirmed_at && *run.confirmed_at < sent_at) ||
        (run.stop_confirmed_at && *run.stop_confirmed_at < sent_at);
    if (settled && listed.count(name) == 0) vanished.push_back(name);
  }
  for (const TaskName& it : vanished) {
    Log(context, Severity::kWarn, "run_vanished",
        {{"task", ToString(it)}, {"target", target.entry.id}});
    DropRun(owner, target, it);
  }
}

void HandlePollReply(Owner& owner, TargetView& target,
                     const PendingTargetRequest& open, const TargetReply& reply,
                     Context& context) {
  const Instant now = context.time.now;
  const Duration taken = now - open.sent_at;
  const std::int64_t clock_on_arrival =
      reply.clock_ms - duration_cast<milliseconds>(taken).count();
  const bool lapsed = open.previous_lease_until_ms > 0 &&
                      clock_on_arrival > open.previous_lease_until_ms;
  // An end that was listed before the lease ran out stands only if it was
  // acknowledged before.
  std::int64_t last_lapse = 0;
  for (const RunEnd& it : reply.ends) {
    if (it.kind == RunEndKind::kLeaseExpired) last_lapse = it.number;
  }
  for (const RunEnd& it : reply.ends) {
    if (it.number <= target.last_end_processed) continue;
    // An earlier owner may have started tasks of a job whose row is on its way.
    const bool early = now < owner.owned_since + kUnknownRunGrace &&
                       FindJob(owner, it.task.job) == nullptr;
    if (early) break;
    // A run that was ordered after the hold was sent is covered by the lease
    // that came with its start.
    const auto run = target.runs.find(it.task);
    const bool younger = run != target.runs.end() &&
                         run->second.number == it.run &&
                         run->second.start_sent_at >= open.sent_at;
    const bool counts = (!lapsed || younger) && it.number >= last_lapse;
    target.last_end_processed = it.number;
    HandleRunEnd(owner, target, it, counts, context);
  }
  target.last_end_acknowledged =
      std::max(target.last_end_acknowledged, open.last_end_stored);
  for (const ReportedRun& it : reply.runs) {
    HandleReportedRun(owner, target, it, context);
  }
  if (reply.ends_complete) {
    DropVanishedRuns(owner, target, reply, open.sent_at, context);
  }
  if (!target.synced) {
    target.synced = true;
    owner.placement_due = true;
  }
  target.next_poll = now + PollDelay(target);
}

/// The order to start was refused, so that this attempt has not run. Earlier
/// attempts without an answer may still be carried out.
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

void HandleStartReply(Owner& owner, TargetView& target,
                      const PendingTargetRequest& open,
                      const TargetReply& reply, Context& context) {
  const TaskName& name = open.task;
  auto it = target.runs.find(name);
  if (it == target.runs.end() || it->second.number != open.run) return;
  Run& run = it->second;
  const Instant now = context.time.now;
  run.request_pending = false;
  Job* job = FindJob(owner, name.job);
  Task* task = job == nullptr ? nullptr : FindTask(*job, name);
  switch (reply.result) {
    case TargetResult::kDone:
      if (!run.confirmed_at) run.confirmed_at = now;
      if (run.phase == RunPhase::kStarting) run.phase = RunPhase::kRunning;
      return;
    case TargetResult::kNoReply:
      run.start_outcome_unknown = true;
      run.retry_at = now + kUnansweredRetryDelay;
      return;
    case TargetResult::kOldRun:
      if (task != nullptr) task->last_run = open.run + kRunNumberSkip;
      // A run with an unanswered start may have ended: the list of ends tells.
      if (run.start_outcome_unknown) {
        run.stop_confirmed_at = now;
        run.phase = RunPhase::kStopping;
        target.next_poll = now;
        return;
      }
      break;
    case TargetResult::kLeaseExpired:
      run.start_outcome_unknown = false;
      target.clock_ms.reset();
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
    case TargetResult::kFenced:
    case TargetResult::kOtherInstance:
    case TargetResult::kNotSent:
      break;
  }
  HandleStartRefusal(owner, target, name, ToString(reply.result), context);
}

void HandleStopReply(TargetView& target, const PendingTargetRequest& open,
                     const TargetReply& reply, const Context& context) {
  auto it = target.runs.find(open.task);
  if (it == target.runs.end() || it->second.number != open.run) return;
  it->second.request_pending = false;
  const bool answered = reply.result != TargetResult::kNoReply &&
                        reply.result != TargetResult::kNotSent &&
                        reply.result != TargetResult::kUnhealthy;
  if (answered) {
    it->second.stop_confirmed_at = context.time.now;
  } else {
    it->second.retry_at = context.time.now + kUnansweredRetryDelay;
  }
}

/// A change of pace that did not take effect is ordered again.
void HandleThrottleReply(TargetView& target, const PendingTargetRequest& open,
                         const TargetReply& reply) {
  auto it = target.runs.find(open.task);
  if (it == target.runs.end() || it->second.number != open.run) return;
  constexpr std::int64_t kUnknownPace = -1;
  if (reply.result != TargetResult::kDone)
    it->second.requested_speed_percent = kUnknownPace;
}

/// Another life of the target answers: nothing that was started runs on.
void HandleNewInstance(Owner& owner, TargetView& target, std::int64_t born,
                       Context& context) {
  DropAllRuns(owner, target, "another life of the target answers", context);
  target.entry.started_unix_ms = born;
  target.last_end_processed = target.last_end_stored =
      target.last_end_acknowledged = 0;
  target.synced = false;
  target.clock_ms.reset();
  target.lease_until_ms = 0;
  target.unknown_runs.clear();
  target.next_poll = context.time.now + kPollRetryDelay;
}

}  // namespace

void HandleUntrackedRun(Owner& owner, TargetView& target,
                        const ReportedRun& listed, Context& context) {
  Job* job = FindJob(owner, listed.task.job);
  const Instant now = context.time.now;
  Task* task = job == nullptr ? nullptr : FindTask(*job, listed.task);
  if (job != nullptr && task == nullptr) {
    // An occurrence that was not opened here yet, or is complete.
    const bool valid =
        listed.task.step >= 0 &&
        listed.task.step <
            static_cast<std::int64_t>(job->record.spec.steps.size()) &&
        job->finished_occurrences.count(listed.task.occurrence) == 0;
    if (valid && !IsFinal(job->state)) {
      job->open_occurrences.try_emplace(listed.task.occurrence,
                                        NewOccurrence(job->record.spec, now));
      task = FindTask(*job, listed.task);
    }
  }
  if (task == nullptr) {
    const auto [it, fresh] =
        target.unknown_runs.try_emplace(listed.task, UnknownRun{listed, now});
    if (job == nullptr && now - it->second.first_seen < kUnknownRunGrace)
      return;
    TargetRequest stop{.kind = TargetRequestKind::kStop};
    stop.task = listed.task;
    stop.run = listed.run;
    SendTargetRequest(owner, target, std::move(stop), false, context);
    Log(context, Severity::kWarn, "stop_ordered",
        {{"task", ToString(listed.task)},
         {"run", std::to_string(listed.run)},
         {"target", target.entry.id},
         {"reason", "its job is unknown or has ended"}});
    return;
  }
  target.unknown_runs.erase(listed.task);
  const bool wanted = MayContinue(*job, *task, StepOf(*job, listed.task.step));
  Run& run = AddRun(owner, target, *job, listed.task, listed.run, now);
  run.confirmed_at = now;
  run.phase = RunPhase::kRunning;
  Log(context, Severity::kInfo, "run_adopted",
      {{"task", ToString(listed.task)},
       {"run", std::to_string(listed.run)},
       {"target", target.entry.id},
       {"wanted", wanted ? "yes" : "no"}});
  if (!wanted) StopRun(owner, target, listed.task, "not wanted", context);
}

bool HandleTargetReply(Owner& owner, std::int64_t id, const TargetReply& reply,
                       Context& context) {
  auto it = owner.pending_target_requests.find(id);
  if (it == owner.pending_target_requests.end()) return false;
  const PendingTargetRequest open = std::move(it->second);
  owner.pending_target_requests.erase(it);
  auto view = owner.targets.find(open.target);
  if (view == owner.targets.end()) return true;
  TargetView& target = view->second;
  const Instant now = context.time.now;
  const bool hold = open.kind == TargetRequestKind::kPoll;
  if (hold) {
    if (target.pending_poll == id) target.pending_poll = 0;
  } else {
    --target.pending_requests;
    if (target.start_deferred) owner.placement_due = true;
    target.start_deferred = false;
  }
  if (open.started_unix_ms != target.entry.started_unix_ms || target.retired)
    return true;
  const bool heard = reply.result != TargetResult::kNoReply &&
                     reply.result != TargetResult::kNotSent;
  if (!heard) {
    // One lost answer is no silence; that shows in the holds.
    if (hold && target.unanswered_polls++ == 0) {
      Log(context, Severity::kWarn, "target_unheard",
          {{"target", target.entry.id},
           {"order", std::to_string(static_cast<int>(open.kind))},
           {"result", std::string(ToString(reply.result))}});
    }
    target.avoid_until = std::max(target.avoid_until, now + kAvoidUnresponsive);
    if (hold) target.next_poll = now + kPollRetryDelay;
  } else {
    if (hold) target.unanswered_polls = 0;
    if (reply.clock_ms > 0) {
      target.clock_ms = reply.clock_ms;
      target.clock_at = now;
    }
  }
  if (reply.result == TargetResult::kFenced) {
    owner.fenced = true;
    Log(context, Severity::kWarn, "fenced",
        {{"target", target.entry.id}, {"epoch", std::to_string(owner.epoch)}});
  }
  const bool other_life =
      reply.result == TargetResult::kOtherInstance ||
      (reply.started_unix_ms != 0 && target.entry.started_unix_ms != 0 &&
       reply.started_unix_ms != target.entry.started_unix_ms);
  if (other_life) {
    HandleNewInstance(owner, target,
                      reply.started_unix_ms != 0 ? reply.started_unix_ms
                                                 : target.entry.started_unix_ms,
                      context);
    return true;
  }
  switch (open.kind) {
    case TargetRequestKind::kPoll:
      if (reply.result == TargetResult::kDone) {
        HandlePollReply(owner, target, open, reply, context);
      } else if (heard) {
        target.next_poll = now + kPollRetryDelay;
      }
      break;
    case TargetRequestKind::kStart:
      HandleStartReply(owner, target, open, reply, context);
      break;
    case TargetRequestKind::kStop:
      HandleStopReply(target, open, reply, context);
      break;
    case TargetRequestKind::kThrottle:
      HandleThrottleReply(target, open, reply);
      break;
  }
  return true;
}

}  // namespace hyssopbarrow::fleet
