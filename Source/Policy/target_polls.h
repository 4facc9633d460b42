#ifndef HYSSOPBARROW_POLICY_TARGET_POLLS_H_
#define HYSSOPBARROW_POLICY_TARGET_POLLS_H_

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Delay before a target is polled again after a failed poll.
constexpr Duration kPollRetryDelay = std::chrono::milliseconds(250);

/// Starts need a reading of the target's clock of at most this age; older ones
/// say little about a target that may have restarted since. Targets with runs
/// answer a poll every 1.4 s at least.
constexpr Duration kMaxReadingAge = std::chrono::milliseconds(3000);

/// How much older the reading may be when the start is sent, once its
/// assignment is stored.
constexpr Duration kMaxStoreTimeOfStart = std::chrono::milliseconds(1000);

/// True if what the owner knows of the target is recent enough to start tasks.
bool HasRecentReading(const TargetView& target, Instant now);

/// Polls a target without waiting for a run end, so that tasks can start there.
void RequestPoll(Owner& owner, TargetView& target, Context& context);

/// Delay before the next poll of a target.
Duration PollDelay(const TargetView& target, Instant now);

/// True if the target can be polled and has runs or ends to acknowledge, has
/// not answered this owner yet, or is responsive and a doubt or a task waits
/// for its reply.
bool NeedsPoll(const TargetView& target);

/// Polls the target. Extends its lease if it has runs or ends to acknowledge,
/// and acknowledges stored ends once.
void SendPoll(Owner& owner, TargetView& target, Context& context);

/// Polls listed targets without runs that have not answered their last poll,
/// whose entry is of another instance than their last reply, or that reported a
/// run of an unknown job, so that they can be used again. Sends a limited
/// number, the oldest first.
void PollUnusableTargets(Owner& owner, Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_TARGET_POLLS_H_
