#include "Policy/target_instance.h"

#include <algorithm>
#include <set>

#include "Policy/crashes.h"
#include "Policy/owner_runs.h"
#include "Policy/target_polls.h"

namespace hyssopbarrow::fleet {
namespace {

/// Forgets what holds only for one instance of a target.
void ResetInstance(TargetView& target) {
  target.last_end_processed = target.last_end_stored =
      target.last_end_acknowledged = 0;
  target.synced = false;
  target.instance_doubted = false;
  target.clock.reset();
  target.lease_until_ms = 0;
  target.unknown_runs.clear();
}

/// True if a reply to a poll sent at `sent_at` shows that the instance that
/// replied has, had or may still have the run. `run` is not known to be of an
/// earlier instance if its start was confirmed after the poll was sent.
bool MayBeInInstance(const TaskName& name, const Run& run,
                     const TargetReply& reply, Instant sent_at) {
  const bool running = std::any_of(
      reply.runs.begin(), reply.runs.end(), [&](const ReportedRun& it) {
        return it.task == name && it.run == run.number;
      });
  const bool ended =
      std::any_of(reply.ends.begin(), reply.ends.end(), [&](const RunEnd& it) {
        return it.task == name && it.run == run.number;
      });
  const bool confirmed_since = !run.instance_confirmed && run.confirmed_at &&
                               *run.confirmed_at >= sent_at;
  return running || ended || confirmed_since || !reply.complete;
}

/// Handles the first reply to a poll that is from another instance of the
/// target. Runs of the earlier instance are lost. A start that got no reply may
/// still reach the new instance, where its run is stopped first.
void HandleNewInstance(Owner& owner, TargetView& target,
                       const PendingTargetRequest& request,
                       const TargetReply& reply, Context& context) {
  Log(context, Severity::kInfo, "target_instance_changed",
      {{"target", target.entry.id},
       {"born", std::to_string(reply.started_unix_ms)},
       {"born_before", std::to_string(target.entry.started_unix_ms)}});
  std::set<TaskName> present;
  std::set<TaskName> unanswered;
  for (const auto& [name, run] : target.runs) {
    if (run.phase == RunPhase::kPlanned) continue;
    if (MayBeInInstance(name, run, reply, request.sent_at)) {
      present.insert(name);
    } else if (!run.confirmed_at) {
      unanswered.insert(name);
    }
  }
  HandleTargetCrash(owner, target, "the target restarted", present, unanswered,
                    context);
  target.entry.started_unix_ms = reply.started_unix_ms;
  target.found_at = context.time.now;
  ResetInstance(target);
  // A late request in the time of the earlier instance may extend the lease.
  target.latest_lease_end =
      std::max(target.latest_lease_end,
               LatestUnknownLeaseEnd(context.timing, context.time.now));
  for (auto& [name, run] : target.runs) {
    run.instance_confirmed = false;
    run.request_pending = false;
    run.stop_confirmed_at.reset();
    if (!run.confirmed_at) run.start_outcome_unknown = true;
  }
  for (const TaskName& name : unanswered) {
    StopRun(owner, target, name, "the target restarted before it replied",
            context);
  }
}

}  // namespace

bool IsDescribed(const TargetView& target) {
  return target.described_instance == 0 ||
         target.described_instance == target.entry.started_unix_ms;
}

void DoubtInstance(Owner& owner, TargetView& target, std::string_view reason,
                   Context& context) {
  if (target.instance_doubted) return;
  target.instance_doubted = true;
  // No lease is granted while the instance is doubted, so that further signs do
  // not put off the end of the runs.
  target.latest_lease_end =
      std::max(target.latest_lease_end,
               LatestUnknownLeaseEnd(context.timing, context.time.now));
  // A poll that waits would tell about the earlier instance.
  target.pending_poll = 0;
  Log(context, Severity::kInfo, "target_instance_doubted",
      {{"target", target.entry.id},
       {"born", std::to_string(target.entry.started_unix_ms)},
       {"reason", std::string(reason)}});
  RequestPoll(owner, target, context);
}

void HandleTargetGone(Owner& owner, TargetView& target,
                      const PendingTargetRequest& request, Context& context) {
  // A start that was refused has not run, so it is no cause of a crash.
  const auto run = target.runs.find(request.task);
  const bool refused =
      request.kind == TargetRequestKind::kStart && run != target.runs.end() &&
      run->second.number == request.run && !run->second.start_outcome_unknown;
  if (refused) DropRun(owner, target, request.task);
  HandleTargetCrash(owner, target, "another target has its address", context);
  ResetInstance(target);
  target.next_poll = context.time.now + kPollRetryDelay;
}

bool UpdateInstance(Owner& owner, TargetView& target,
                    const PendingTargetRequest& request,
                    const TargetReply& reply, bool is_current_poll,
                    Context& context) {
  const std::int64_t known = target.entry.started_unix_ms;
  const bool answers_poll = request.kind == TargetRequestKind::kPoll &&
                            reply.result == TargetResult::kDone;
  const bool other = reply.started_unix_ms != 0 && known != 0 &&
                     reply.started_unix_ms != known;
  if (other && answers_poll) {
    HandleNewInstance(owner, target, request, reply, context);
  } else if (other) {
    DoubtInstance(owner, target, "a reply names another instance", context);
    return false;
  }
  if (answers_poll) {
    if (reply.started_unix_ms != 0) {
      target.entry.started_unix_ms = reply.started_unix_ms;
    }
    target.address_replied = request.address;
    if (is_current_poll) target.instance_doubted = false;
  }
  if (reply.clock_ms <= 0) return answers_poll && !other;
  const ClockReading reading{.clock_ms = reply.clock_ms,
                             .sent_at = request.sent_at,
                             .received_at = context.time.now};
  const bool same_clock =
      target.clock.has_value() && IsSameClock(*target.clock, reading);
  if (answers_poll || same_clock) {
    target.clock = reading;
  } else if (target.clock.has_value()) {
    DoubtInstance(owner, target, "its clock does not go on", context);
  }
  return !other && (answers_poll || same_clock);
}

}  // namespace hyssopbarrow::fleet
