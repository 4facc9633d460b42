#include "Policy/target_polls.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Policy/crashes.h"
#include "Policy/owner_runs.h"
#include "Policy/target_instance.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// How long a poll waits for an end. A waiting poll costs a single check. Less
/// than half a lease, so that one lost poll does not let the lease expire.
constexpr Duration kPollWait = milliseconds(1400);
/// Shorter wait while background tasks are throttled, which needs the load that
/// polls report, or while a task that may crash the target has just started.
constexpr Duration kShortPollWait = milliseconds(400);
/// Between polls of a target that has ends whose effect is not stored yet.
constexpr Duration kUnstoredEndsPollInterval = milliseconds(500);

/// A start that takes longer to be answered may have been lost.
constexpr Duration kUsualReplyTime = milliseconds(100);
/// Between polls of a target without runs that cannot be used.
constexpr Duration kRecoveryPollInterval = milliseconds(1000);
/// Of these targets that are polled in a round, of which there are 20 a second.
constexpr std::size_t kMaxRecoveryPolls = 10;

/// False while a start may have reached another instance, which numbers its
/// ends anew and forgets those that are acknowledged.
bool MayAcknowledgeEnds(const TargetView& target, Instant now) {
  const auto may_be_elsewhere = [now](const auto& it) {
    const Run& run = it.second;
    const bool unanswered =
        run.start_outcome_unknown || run.start_sent_at + kUsualReplyTime < now;
    return run.phase != RunPhase::kPlanned && !run.instance_confirmed &&
           unanswered;
  };
  return !target.instance_doubted &&
         std::none_of(target.runs.begin(), target.runs.end(), may_be_elsewhere);
}

/// True if only a reply can make the target usable: its entry is of another
/// instance than the last reply, or it has reported a run of an unknown job.
bool WaitsForReply(const TargetView& target) {
  return !IsDescribed(target) || !target.unknown_runs.empty();
}

/// True if the target would report the same ends again at once.
bool HasUnacknowledgedEnds(const TargetView& target, Instant now) {
  const bool unstored = target.last_end_processed > target.last_end_stored;
  const bool unacknowledged =
      target.last_end_processed > target.last_end_acknowledged;
  return unstored || (unacknowledged && !MayAcknowledgeEnds(target, now));
}

}  // namespace

void SendPoll(Owner& owner, TargetView& target, Context& context) {
  const bool unresponsive = target.unanswered_polls > 0;
  const bool wait =
      target.synced && !unresponsive && !target.instance_doubted &&
      !HasUnacknowledgedEnds(target, context.time.now) &&
      HasRecentReading(target, context.time.now) && HasStartedRuns(target);
  TargetRequest request{.kind = TargetRequestKind::kPoll};
  // Repeating an acknowledgement could make another instance forget its ends.
  const bool acknowledges =
      target.last_end_stored > target.last_end_acknowledged &&
      MayAcknowledgeEnds(target, context.time.now);
  if (acknowledges) request.last_end_stored = target.last_end_stored;
  const bool short_wait = target.next_throttle > context.time.now ||
                          HasUndecidedIsolatedRun(owner, target);
  request.wait =
      wait ? (short_wait ? kShortPollWait : kPollWait) : Duration::zero();
  // After an unanswered poll the lease is not extended until the target
  // replies. Otherwise the owner could never give up its runs.
  // An end that is acknowledged after the lease has expired counts for nothing.
  const bool needs_lease =
      HasStartedRuns(target) ||
      target.last_end_acknowledged < target.last_end_processed;
  const bool extend_lease = target.clock.has_value() && !unresponsive &&
                            !target.instance_doubted && needs_lease;
  target.poll_wanted = false;
  SendTargetRequest(owner, target, std::move(request), extend_lease, context);
}

Duration PollDelay(const TargetView& target, Instant now) {
  if (target.unanswered_polls > 0) {
    const bool idle = target.synced && target.runs.empty();
    return idle ? kRecoveryPollInterval : kPollRetryDelay;
  }
  if (HasUnacknowledgedEnds(target, now)) return kUnstoredEndsPollInterval;
  const bool idle = target.runs.empty();
  return idle && WaitsForReply(target) ? kRecoveryPollInterval
                                       : Duration::zero();
}

bool HasRecentReading(const TargetView& target, Instant now) {
  return target.clock.has_value() &&
         now - target.clock->received_at <= kMaxReadingAge;
}

void RequestPoll(Owner& owner, TargetView& target, Context& context) {
  target.poll_wanted = true;
  target.next_poll = context.time.now;
  AddToNextRound(owner, target);
  ScheduleRound(owner, context.time.now);
}

bool NeedsPoll(const TargetView& target) {
  const bool wanted = target.unanswered_polls == 0 &&
                      (target.instance_doubted || target.poll_wanted);
  const bool can_poll = !target.retired && target.pending_poll == 0 &&
                        !target.entry.address.empty();
  return can_poll &&
         (HasStartedRuns(target) ||
          target.last_end_acknowledged < target.last_end_processed ||
          !target.synced || wanted);
}

void PollUnusableTargets(Owner& owner, Context& context) {
  if (!owner.jobs_loaded || !MaySendTargetRequests(owner, context.time.now)) {
    return;
  }
  std::vector<TargetView*> due;
  for (auto& [id, target] : owner.targets) {
    const bool unusable = target.unanswered_polls > 0 || WaitsForReply(target);
    const bool can_poll = target.listed && !target.retired &&
                          target.pending_poll == 0 && target.runs.empty();
    if (unusable && can_poll && target.next_poll <= context.time.now) {
      due.push_back(&target);
    }
  }
  std::sort(due.begin(), due.end(), [](const auto* a, const auto* b) {
    return a->next_poll < b->next_poll;
  });
  if (due.size() > kMaxRecoveryPolls) due.resize(kMaxRecoveryPolls);
  for (TargetView* target : due) SendPoll(owner, *target, context);
}

}  // namespace hyssopbarrow::fleet
