#include "Policy/owner_runs.h"

#include <algorithm>
#include <utility>

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Targets' clocks may be 2% slow; the rest covers the way of the order.
constexpr double kLeaseClockMargin = 1.03;
constexpr Duration kLeaseWayMargin = milliseconds(150);

/// A waiting hold costs one look; shorter than half a lease, so that one lost
/// hold does not end it.
constexpr Duration kHoldWait = milliseconds(1400);
/// While tasks that fill are paced by the figures that holds bring.
constexpr Duration kPacedHoldWait = milliseconds(400);
constexpr Duration kOrderTimeout = milliseconds(700);  ///< 3 ms on a calm day.
/// Between holds while ends wait for the store.
constexpr Duration kUnstoredHoldGap = milliseconds(500);
constexpr Duration kOrderRetry = milliseconds(200);

std::int64_t Milliseconds(Duration d) {
  return duration_cast<milliseconds>(d).count();
}

void SendHold(Owner& owner, TargetView& target, Context& context) {
  const bool unstored = target.ends_seen > target.ends_stored;
  const bool lost = target.missed > 0;
  const bool wait = target.synced && !lost && !unstored && HasRuns(target);
  TargetOrder order{.kind = OrderKind::kHold};
  order.ends_seen = target.ends_stored;
  order.wait =
      wait ? (target.next_pace > context.at.now ? kPacedHoldWait : kHoldWait)
           : Duration::zero();
  // After a lost answer the lease is left to run out until the target is
  // heard again, or its work could never be given up.
  const bool extend = target.clock_ms.has_value() && !lost;
  SendOrder(owner, target, std::move(order), extend, context);
}

void RetryRunOrder(Owner& owner, TargetView& target, const TaskName& name,
                   Run& run, Context& context) {
  if (run.order_open) return;
  run.retry_at = context.at.now + kOrderRetry;
  if (run.phase == RunPhase::kStopping && !run.stopped_at.has_value()) {
    run.order_open = true;
    SendOrder(owner, target,
              {.kind = OrderKind::kStop, .task = name, .run = run.number},
              false, context);
  } else if (run.phase == RunPhase::kOrdered && !run.confirmed_at) {
    SendStart(owner, target, name, context);
  }
}

}  // namespace

void Note(Context& context, Severity severity, std::string event,
          std::vector<std::pair<std::string, std::string>> fields) {
  context.out.push_back(LogLine{.severity = severity,
                                .event = std::move(event),
                                .fields = std::move(fields)});
}

Duration HoldGap(const TargetView& target) {
  if (target.missed > 0) return kHoldRetry;
  const bool unstored = target.ends_seen > target.ends_stored;
  return unstored ? kUnstoredHoldGap : Duration::zero();
}

bool HasRuns(const TargetView& target) {
  return std::any_of(
      target.runs.begin(), target.runs.end(),
      [](const auto& it) { return it.second.phase != RunPhase::kPlanned; });
}

bool HoldIsDue(const TargetView& target) {
  const bool possible =
      !target.over && target.open_hold == 0 && !target.entry.address.empty();
  return possible && (HasRuns(target) || target.ends_told < target.ends_seen ||
                      !target.synced);
}

Duration LeaseOf(const Terms& terms) {
  return std::min(kLease, terms.longest_lease);
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
  run.need = step.need;
  if (step.fills) run.need.cpu_milli = 0;
  run.team_need = step.need;
  run.team = job.record.team;
  run.phase = RunPhase::kPlanned;
  run.ordered_at = now;
  target.used += run.need;
  owner.team_used[run.team] += run.team_need;
  Task* task = FindTask(job, name);
  task->sent.push_back({target.entry.id, target.entry.born, number});
  task->last_run = std::max(task->last_run, number);
  if (!job.has_run) {
    job.has_run = true;
    if (job.state == JobState::kPending) job.state = JobState::kRunning;
  }
  return target.runs[name] = std::move(run);
}

void BookSent(Owner& owner, Job& job, const TaskName& name, const Sent& sent,
              Context& context) {
  auto [it, fresh] = owner.targets.try_emplace(sent.target);
  TargetView& target = it->second;
  if (fresh) {
    target.entry.id = sent.target;
    target.entry.born = sent.born;
    target.entry.pool = job.record.pool;
    target.listed = false;
  }
  if (target.entry.born != sent.born || target.synced) return;
  target.lease_bound = std::max(target.lease_bound,
                                owner.since + kGoOnWithoutStore +
                                    LeaseOf(context.terms) + kLeaseWayMargin);
  Run& run = AddRun(owner, target, job, name, sent.run, context.at.now);
  run.phase = RunPhase::kRunning;
  run.confirmed_at = owner.since;
}

void DropRun(Owner& owner, TargetView& target, const TaskName& name) {
  auto it = target.runs.find(name);
  if (it == target.runs.end()) return;
  const Run& run = it->second;
  target.used -= run.need;
  owner.team_used[run.team] -= run.team_need;
  auto job = owner.jobs.find(name.job);
  if (job != owner.jobs.end()) {
    if (Task* task = FindTask(job->second, name)) {
      std::erase_if(task->sent, [&](const Sent& sent) {
        return sent.target == target.entry.id;
      });
      if (!run.checkpoint.empty()) task->checkpoint = run.checkpoint;
    }
  }
  target.runs.erase(it);
  owner.plan_due = true;
}

void DropAllRuns(Owner& owner, TargetView& target, std::string_view reason,
                 Context& context) {
  if (!target.runs.empty()) {
    Note(context, Severity::kWarn, "runs_lost",
         {{"target", target.entry.id},
          {"reason", std::string(reason)},
          {"runs", std::to_string(target.runs.size())},
          {"first", ToString(target.runs.begin()->first)}});
  }
  while (!target.runs.empty()) {
    DropRun(owner, target, target.runs.begin()->first);
  }
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
  it->second.retry_at = context.at.now;
  Note(context, Severity::kInfo, "stop_ordered",
       {{"task", ToString(name)},
        {"run", std::to_string(it->second.number)},
        {"target", target.entry.id},
        {"reason", std::string(reason)}});
  if (MayOrder(owner, context.at.now)) {
    RetryRunOrder(owner, target, name, it->second, context);
  }
}

void StopJob(Owner& owner, Job& job, std::string_view reason,
             Context& context) {
  ForEachTask(job, [&](const TaskName& name, Task& task) {
    for (const Sent& it : std::vector<Sent>(task.sent)) {
      StopRun(owner, owner.targets.at(it.target), name, reason, context);
    }
  });
}

void MarkChanged(Owner& owner, const Job& job) {
  owner.changed_jobs.insert(job.record.id);
}

void FinishJob(Owner& owner, Job& job, JobState state, std::string_view reason,
               Context& context) {
  job.state = state;
  job.final_at = context.at.now;
  owner.active.erase(job.record.id);
  MarkChanged(owner, job);
  Note(context, Severity::kInfo, "job_ended",
       {{"job", job.record.id},
        {"state", std::string(ToString(state))},
        {"reason", std::string(reason)},
        {"age_ms",
         std::to_string(Milliseconds(context.at.now - job.accepted))}});
  StopJob(owner, job, reason, context);
}

void SendOrder(Owner& owner, TargetView& target, TargetOrder order,
               bool extend_lease, Context& context) {
  order.id = context.next_id++;
  order.target = target.entry.id;
  order.address = target.entry.address;
  order.token = owner.epoch;
  order.timeout = kOrderTimeout + order.wait;
  order.fresh_connection = target.missed > 0;
  OpenOrder open{.kind = order.kind,
                 .target = order.target,
                 .task = order.task,
                 .run = order.run,
                 .ends_seen = order.ends_seen,
                 .sent_at = context.at.now,
                 .lease_before_ms = target.lease_until_ms,
                 .born = target.entry.born};
  if (extend_lease && target.missed > 0) {
    // Work on a target that is not heard is given up when its lease ends, so
    // nothing may extend that.
    order.lease_until_ms = target.lease_until_ms;
  } else if (extend_lease) {
    const Instant now = context.at.now;
    const Duration lease = LeaseOf(context.terms);
    const std::int64_t clock =
        *target.clock_ms + Milliseconds(now - target.clock_at);
    order.lease_until_ms = clock + Milliseconds(lease);
    target.lease_until_ms =
        std::max(target.lease_until_ms, *order.lease_until_ms);
    const auto bound = duration_cast<Duration>(lease * kLeaseClockMargin);
    target.lease_bound =
        std::max(target.lease_bound, now + bound + kLeaseWayMargin);
  }
  if (order.kind == OrderKind::kHold) {
    target.open_hold = order.id;
  } else {
    ++target.open_orders;
  }
  owner.orders[order.id] = std::move(open);
  context.out.emplace_back(std::move(order));
}

void SendStart(Owner& owner, TargetView& target, const TaskName& name,
               Context& context) {
  Run& run = target.runs.at(name);
  const Job& job = owner.jobs.at(name.job);
  run.order_open = true;
  run.ordered_at = context.at.now;
  TargetOrder order{.kind = OrderKind::kStart};
  order.task = name;
  order.run = run.number;
  order.payload = job.record.spec.payload;
  order.checkpoint = run.checkpoint;
  auto approval = owner.approvals.find(StepName(name));
  if (approval != owner.approvals.end()) {
    auto ticket = approval->second.tickets.find(target.entry.id);
    if (ticket != approval->second.tickets.end()) order.ticket = ticket->second;
  }
  SendOrder(owner, target, std::move(order), true, context);
}

void EndTarget(Owner& owner, TargetView& target, std::string_view reason,
               Context& context) {
  if (target.over) return;
  Note(context, Severity::kInfo, "target_over",
       {{"target", target.entry.id}, {"reason", std::string(reason)}});
  target.over = true;
  target.foreign.clear();
  DropAllRuns(owner, target, reason, context);
}

void AdvanceTarget(Owner& owner, TargetView& target, Context& context) {
  const Instant now = context.at.now;
  if (target.over || !owner.jobs_loaded) return;
  const bool unheard = !target.synced || target.missed > 0;
  const bool lapsed =
      unheard && now > target.lease_bound && !target.runs.empty();
  if (lapsed) DropAllRuns(owner, target, "lease ran out unheard", context);
  if (!MayOrder(owner, now)) return;
  std::vector<TaskName> due;
  for (const auto& [name, run] : target.runs) {
    const bool waits = !run.order_open && run.retry_at <= now;
    const bool unsettled =
        (run.phase == RunPhase::kOrdered && !run.confirmed_at) ||
        (run.phase == RunPhase::kStopping && !run.stopped_at);
    if (waits && unsettled && target.clock_ms.has_value()) due.push_back(name);
  }
  for (const TaskName& it : due) {
    RetryRunOrder(owner, target, it, target.runs.at(it), context);
  }
  if (target.next_hold > now || !HoldIsDue(target)) return;
  target.next_hold = now + HoldGap(target);
  SendHold(owner, target, context);
}

}  // namespace hyssopbarrow::fleet
