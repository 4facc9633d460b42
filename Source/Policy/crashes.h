#ifndef HYSSOPBARROW_POLICY_CRASHES_H_
#define HYSSOPBARROW_POLICY_CRASHES_H_

#include <set>
#include <string>
#include <vector>

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// True if the target may have crashed because of this run: it was started, and
/// the target has not been responsive for a while since.
bool MayHaveCausedCrash(const TargetView& target, const Run& run);

/// True if a run on the target, also a planned one, could be taken for the
/// cause of a crash that another task causes.
bool HasPossibleCause(const TargetView& target);

/// True if the target has an isolated run that may still crash it.
bool HasUndecidedIsolatedRun(const Owner& owner, const TargetView& target);

/// Drops all runs of a target of which another instance was seen, and counts
/// the crash against the tasks that may have caused it. Gives up jobs whose
/// tasks caused several crashes. Counts nothing if the target was being
/// emptied.
void HandleTargetCrash(Owner& owner, TargetView& target,
                       std::string_view reason, Context& context);

/// As above, but keeps the runs in `present`, which the new instance has or may
/// have, and those in `unanswered`, which may also have caused the crash.
void HandleTargetCrash(Owner& owner, TargetView& target,
                       std::string_view reason,
                       const std::set<TaskName>& present,
                       const std::set<TaskName>& unanswered, Context& context);

/// Drops all runs of an unresponsive target and remembers them in case that it
/// has crashed.
void GiveUpRuns(Owner& owner, TargetView& target, std::string_view reason,
                Context& context);

/// Counts the crash of the earlier instance whose runs were given up, if
/// `entry` is another instance of that target or runs on the same host.
void CountLostRuns(Owner& owner, const Target& entry, Context& context);

/// Counts a crash during a run that an earlier owner stored, whose target has
/// another instance.
void CountCrashedAssignment(Owner& owner, const TaskName& name,
                            const Assignment& assignment, Context& context);

/// Fails the job if a task of it has caused several crashes.
void GiveUpCrashingJob(Owner& owner, Job& job, Context& context);

/// Clears the crashes of a task that has run for long on its present target.
void ClearCrashesAfterLongRun(Owner& owner, const TaskName& name,
                              const Run& run, Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_CRASHES_H_
