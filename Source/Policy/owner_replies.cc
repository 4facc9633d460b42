#include <algorithm>
#include <utility>

#include "Model/text.h"
#include "Policy/owner_ends.h"
#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr Duration kAvoidUnheard = milliseconds(250);
constexpr Duration kAvoidUnhealthy = milliseconds(1000);
constexpr Duration kAvoidFull = milliseconds(150);
constexpr Duration kRetryUnanswered = milliseconds(150);
constexpr Duration kRetryInvalid = milliseconds(1000);
/// Jobs reach the owner a few milliseconds after they are stored; a run whose
/// job is unknown for longer is not ours.
constexpr Duration kForeignPatience = milliseconds(1500);
/// Room for the numbers of runs that an earlier life may have used.
constexpr std::int64_t kRunSkip = 10;

/// True if a run that the target lists may go on.
bool IsWanted(const Job& job, const Task& task, const Step& step) {
  if (IsFinal(job.state) || task.done) return false;
  return task.sent.empty() || (step.allows_copies && !step.gang);
}

void TakeListed(Owner& owner, TargetView& target, const ListedRun& listed,
                Context& context) {
  auto it = target.runs.find(listed.task);
  if (it == target.runs.end()) {
    TakeUnbooked(owner, target, listed, context);
    it = target.runs.find(listed.task);
    if (it == target.runs.end()) return;
  }
  Run& run = it->second;
  if (listed.run != run.number) return;
  if (!run.confirmed_at) run.confirmed_at = context.at.now;
  if (run.phase == RunPhase::kOrdered) run.phase = RunPhase::kRunning;
  run.percent = listed.percent;
  run.load = listed.load;
  if (!listed.checkpoint.empty()) run.checkpoint = listed.checkpoint;
}

/// Drops runs that the target neither runs nor lists as ended, though it had
/// settled them before the hold was sent.
void DropVanished(Owner& owner, TargetView& target, const OrderReply& reply,
                  Instant sent_at, Context& context) {
  std::set<TaskName> listed;
  for (const ListedRun& it : reply.running) listed.insert(it.task);
  std::vector<TaskName> vanished;
  for (const auto& [name, run] : target.runs) {
    const bool settled = (run.confirmed_at && *run.confirmed_at < sent_at) ||
                         (run.stopped_at && *run.stopped_at < sent_at);
    if (settled && listed.count(name) == 0) vanished.push_back(name);
  }
  for (const TaskName& it : vanished) {
    Note(context, Severity::kWarn, "run_vanished",
         {{"task", ToString(it)}, {"target", target.entry.id}});
    DropRun(owner, target, it);
  }
}

void TakeHold(Owner& owner, TargetView& target, const OpenOrder& open,
              const OrderReply& reply, Context& context) {
  const Instant now = context.at.now;
  const Duration taken = now - open.sent_at;
  const std::int64_t clock_on_arrival =
      reply.clock_ms - duration_cast<milliseconds>(taken).count();
  const bool lapsed =
      open.lease_before_ms > 0 && clock_on_arrival > open.lease_before_ms;
  // An end that was listed before the lease ran out stands only if it was
  // acknowledged before.
  std::int64_t last_lapse = 0;
  for (const ListedEnd& it : reply.ended) {
    if (it.kind == EndKind::kLapsed) last_lapse = it.number;
  }
  for (const ListedEnd& it : reply.ended) {
    if (it.number <= target.ends_seen) continue;
    // An earlier owner may have started tasks of a job whose row is on its way.
    const bool early = now < owner.since + kForeignPatience &&
                       FindJob(owner, it.task.job) == nullptr;
    if (early) break;
    // A run that was ordered after the hold was sent is covered by the lease
    // that came with its start.
    const auto run = target.runs.find(it.task);
    const bool younger = run != target.runs.end() &&
                         run->second.number == it.run &&
                         run->second.ordered_at >= open.sent_at;
    const bool counts = (!lapsed || younger) && it.number >= last_lapse;
    target.ends_seen = it.number;
    TakeEnd(owner, target, it, counts, context);
  }
  target.ends_told = std::max(target.ends_told, open.ends_seen);
  for (const ListedRun& it : reply.running) {
    TakeListed(owner, target, it, context);
  }
  if (reply.ends_complete) {
    DropVanished(owner, target, reply, open.sent_at, context);
  }
  if (!target.synced) {
    target.synced = true;
    owner.plan_due = true;
  }
  target.next_hold = now + HoldGap(target);
}

/// The order to start was refused, so that this attempt has not run. Earlier
/// attempts without an answer may still be carried out.
void StartRefused(Owner& owner, TargetView& target, const TaskName& name,
                  std::string_view reason, Context& context) {
  auto it = target.runs.find(name);
  if (it == target.runs.end()) return;
  Note(context, Severity::kWarn, "start_refused",
       {{"task", ToString(name)},
        {"run", std::to_string(it->second.number)},
        {"target", target.entry.id},
        {"reason", std::string(reason)}});
  if (it->second.start_unsettled) {
    StopRun(owner, target, name, reason, context);
  } else {
    DropRun(owner, target, name);
  }
}

void TakeStart(Owner& owner, TargetView& target, const OpenOrder& open,
               const OrderReply& reply, Context& context) {
  const TaskName& name = open.task;
  auto it = target.runs.find(name);
  if (it == target.runs.end() || it->second.number != open.run) return;
  Run& run = it->second;
  const Instant now = context.at.now;
  run.order_open = false;
  Job* job = FindJob(owner, name.job);
  Task* task = job == nullptr ? nullptr : FindTask(*job, name);
  switch (reply.result) {
    case OrderResult::kDone:
      if (!run.confirmed_at) run.confirmed_at = now;
      if (run.phase == RunPhase::kOrdered) run.phase = RunPhase::kRunning;
      return;
    case OrderResult::kNoReply:
      run.start_unsettled = true;
      run.retry_at = now + kRetryUnanswered;
      return;
    case OrderResult::kOldRun:
      if (task != nullptr) task->last_run = open.run + kRunSkip;
      // A run with an unanswered start may have ended: the list of ends tells.
      if (run.start_unsettled) {
        run.stopped_at = now;
        run.phase = RunPhase::kStopping;
        target.next_hold = now;
        return;
      }
      break;
    case OrderResult::kLeaseOver:
      run.start_unsettled = false;
      target.clock_ms.reset();
      break;
    case OrderResult::kNoRoom:
      target.avoid_until = std::max(target.avoid_until, now + kAvoidFull);
      break;
    case OrderResult::kNoTicket:
      owner.approvals.erase(StepName(name));
      break;
    case OrderResult::kInvalid:
      if (task != nullptr) task->not_before = now + kRetryInvalid;
      break;
    case OrderResult::kUnhealthy:
      target.avoid_until = std::max(target.avoid_until, now + kAvoidUnhealthy);
      break;
    case OrderResult::kFenced:
    case OrderResult::kOtherInstance:
    case OrderResult::kNotSent:
      break;
  }
  StartRefused(owner, target, name, ToString(reply.result), context);
}

void TakeStop(TargetView& target, const OpenOrder& open,
              const OrderReply& reply, const Context& context) {
  auto it = target.runs.find(open.task);
  if (it == target.runs.end() || it->second.number != open.run) return;
  it->second.order_open = false;
  const bool answered = reply.result != OrderResult::kNoReply &&
                        reply.result != OrderResult::kNotSent &&
                        reply.result != OrderResult::kUnhealthy;
  if (answered) {
    it->second.stopped_at = context.at.now;
  } else {
    it->second.retry_at = context.at.now + kRetryUnanswered;
  }
}

/// A change of pace that did not take effect is ordered again.
void TakePace(TargetView& target, const OpenOrder& open,
              const OrderReply& reply) {
  auto it = target.runs.find(open.task);
  if (it == target.runs.end() || it->second.number != open.run) return;
  constexpr std::int64_t kUnknownPace = -1;
  if (reply.result != OrderResult::kDone) it->second.pace = kUnknownPace;
}

/// Another life of the target answers: nothing that was started runs on.
void TakeNewLife(Owner& owner, TargetView& target, std::int64_t born,
                 Context& context) {
  DropAllRuns(owner, target, "another life of the target answers", context);
  target.entry.born = born;
  target.ends_seen = target.ends_stored = target.ends_told = 0;
  target.synced = false;
  target.clock_ms.reset();
  target.lease_until_ms = 0;
  target.foreign.clear();
  target.next_hold = context.at.now + kHoldRetry;
}

}  // namespace

void TakeUnbooked(Owner& owner, TargetView& target, const ListedRun& listed,
                  Context& context) {
  Job* job = FindJob(owner, listed.task.job);
  const Instant now = context.at.now;
  Task* task = job == nullptr ? nullptr : FindTask(*job, listed.task);
  if (job != nullptr && task == nullptr) {
    // An occurrence that was not opened here yet, or is complete.
    const bool valid = listed.task.step >= 0 &&
                       listed.task.step < static_cast<std::int64_t>(
                                              job->record.spec.steps.size()) &&
                       job->finished.count(listed.task.occurrence) == 0;
    if (valid && !IsFinal(job->state)) {
      job->open.try_emplace(listed.task.occurrence,
                            NewOccurrence(job->record.spec, now));
      task = FindTask(*job, listed.task);
    }
  }
  if (task == nullptr) {
    const auto [it, fresh] =
        target.foreign.try_emplace(listed.task, ForeignRun{listed, now});
    if (job == nullptr && now - it->second.since < kForeignPatience) return;
    TargetOrder stop{.kind = OrderKind::kStop};
    stop.task = listed.task;
    stop.run = listed.run;
    SendOrder(owner, target, std::move(stop), false, context);
    Note(context, Severity::kWarn, "stop_ordered",
         {{"task", ToString(listed.task)},
          {"run", std::to_string(listed.run)},
          {"target", target.entry.id},
          {"reason", "its job is unknown or has ended"}});
    return;
  }
  target.foreign.erase(listed.task);
  const bool wanted = IsWanted(*job, *task, StepOf(*job, listed.task.step));
  Run& run = AddRun(owner, target, *job, listed.task, listed.run, now);
  run.confirmed_at = now;
  run.phase = RunPhase::kRunning;
  Note(context, Severity::kInfo, "run_adopted",
       {{"task", ToString(listed.task)},
        {"run", std::to_string(listed.run)},
        {"target", target.entry.id},
        {"wanted", wanted ? "yes" : "no"}});
  if (!wanted) StopRun(owner, target, listed.task, "not wanted", context);
}

bool TakeOrderReply(Owner& owner, std::int64_t id, const OrderReply& reply,
                    Context& context) {
  auto it = owner.orders.find(id);
  if (it == owner.orders.end()) return false;
  const OpenOrder open = std::move(it->second);
  owner.orders.erase(it);
  auto view = owner.targets.find(open.target);
  if (view == owner.targets.end()) return true;
  TargetView& target = view->second;
  const Instant now = context.at.now;
  const bool hold = open.kind == OrderKind::kHold;
  if (hold) {
    if (target.open_hold == id) target.open_hold = 0;
  } else {
    --target.open_orders;
    if (target.throttled) owner.plan_due = true;
    target.throttled = false;
  }
  if (open.born != target.entry.born || target.over) return true;
  const bool heard = reply.result != OrderResult::kNoReply &&
                     reply.result != OrderResult::kNotSent;
  if (!heard) {
    // One lost answer is no silence; that shows in the holds.
    if (hold && target.missed++ == 0) {
      Note(context, Severity::kWarn, "target_unheard",
           {{"target", target.entry.id},
            {"order", std::to_string(static_cast<int>(open.kind))},
            {"result", std::string(ToString(reply.result))}});
    }
    target.avoid_until = std::max(target.avoid_until, now + kAvoidUnheard);
    if (hold) target.next_hold = now + kHoldRetry;
  } else {
    if (hold) target.missed = 0;
    if (reply.clock_ms > 0) {
      target.clock_ms = reply.clock_ms;
      target.clock_at = now;
    }
  }
  if (reply.result == OrderResult::kFenced) {
    owner.fenced = true;
    Note(context, Severity::kWarn, "fenced",
         {{"target", target.entry.id}, {"epoch", std::to_string(owner.epoch)}});
  }
  const bool other_life = reply.result == OrderResult::kOtherInstance ||
                          (reply.born != 0 && target.entry.born != 0 &&
                           reply.born != target.entry.born);
  if (other_life) {
    TakeNewLife(owner, target, reply.born != 0 ? reply.born : target.entry.born,
                context);
    return true;
  }
  switch (open.kind) {
    case OrderKind::kHold:
      if (reply.result == OrderResult::kDone) {
        TakeHold(owner, target, open, reply, context);
      } else if (heard) {
        target.next_hold = now + kHoldRetry;
      }
      break;
    case OrderKind::kStart:
      TakeStart(owner, target, open, reply, context);
      break;
    case OrderKind::kStop:
      TakeStop(target, open, reply, context);
      break;
    case OrderKind::kPace:
      TakePace(target, open, reply);
      break;
  }
  return true;
}

}  // namespace hyssopbarrow::fleet
