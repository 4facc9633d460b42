#include "Policy/evacuation.h"

#include <algorithm>
#include <vector>

#include "Policy/owner_runs.h"
#include "Policy/placement.h"

namespace hyssopbarrow::fleet {
namespace {

/// Withdraws the starts on a target that it has not confirmed. One that was
/// sent may still arrive, so its run is stopped.
void WithdrawStarts(Owner& owner, TargetView& target, Context& context) {
  std::vector<TaskName> unconfirmed;
  for (const auto& [name, run] : target.runs) {
    const bool started = run.confirmed_at.has_value() ||
                         run.phase == RunPhase::kRunning ||
                         run.phase == RunPhase::kStopping;
    if (!started) unconfirmed.push_back(name);
  }
  for (const TaskName& name : unconfirmed) {
    StopRun(owner, target, name, "its data centre is being evacuated", context);
  }
  owner.evacuation.withdrawn_starts +=
      static_cast<std::int64_t>(unconfirmed.size());
}

void LogRequest(const EntryState& entry, const std::string& data_centre,
                bool requested, const StoreRows& reply, Context& context) {
  std::int64_t targets = 0;
  if (entry.owner.has_value()) {
    targets = std::count_if(entry.owner->targets.begin(),
                            entry.owner->targets.end(), [&](const auto& it) {
                              return it.second.entry.data_centre == data_centre;
                            });
  }
  Log(context, Severity::kInfo,
      requested ? "evacuation_requested" : "evacuation_withdrawn",
      {{"data_centre", data_centre},
       {"revision", std::to_string(reply.revision)},
       {"owner", entry.owner.has_value() ? "yes" : "no"},
       {"targets", std::to_string(targets)}});
}

}  // namespace

void ApplyEvacuations(EntryState& entry, const StoreRows& reply,
                      const TableUpdate& update, Context& context) {
  if (update.first_page) entry.evacuations_read.clear();
  EvacuatedDataCentres changed = entry.evacuated;
  EvacuatedDataCentres& applied =
      update.full_read ? entry.evacuations_read : changed;
  for (const Evacuation& evacuation : reply.evacuations) {
    if (evacuation.requested) {
      applied.insert(evacuation.data_centre);
    } else {
      applied.erase(evacuation.data_centre);
    }
  }
  if (update.full_read) {
    // What is requested takes effect at once, what is missing only once the
    // whole table has been read.
    changed.insert(applied.begin(), applied.end());
    if (update.loaded) changed = applied;
  }
  if (changed == entry.evacuated) return;
  for (const std::string& it : changed) {
    if (entry.evacuated.contains(it)) continue;
    LogRequest(entry, it, true, reply, context);
  }
  for (const std::string& it : entry.evacuated) {
    if (changed.contains(it)) continue;
    LogRequest(entry, it, false, reply, context);
  }
  entry.evacuated = std::move(changed);
  if (entry.owner.has_value()) {
    UpdateEvacuatedTargets(*entry.owner, entry.evacuated, context);
  }
}

void UpdateEvacuatedTargets(Owner& owner, const EvacuatedDataCentres& evacuated,
                            Context& context) {
  owner.evacuation.data_centres = evacuated;
  owner.placement_due = true;
  owner.all_jobs_placeable = true;
  for (auto& [id, target] : owner.targets) {
    const bool was_evacuated = target.evacuated;
    target.evacuated = evacuated.contains(target.entry.data_centre);
    if (!target.evacuated || was_evacuated) continue;
    WithdrawStarts(owner, target, context);
    AddToNextRound(owner, target);
  }
}

bool HasRoomElsewhere(const Owner& owner, const TargetView& target,
                      const TaskName& name, const Step& step, Instant now) {
  Resources need = step.resources;
  if (step.background) need.cpu_milli = 0;
  TaskName first = name;
  first.index = 0;
  return std::any_of(
      owner.targets.begin(), owner.targets.end(), [&](const auto& candidate) {
        const TargetView& other = candidate.second;
        if (other.entry.pool != target.entry.pool || !IsUsable(other, now)) {
          return false;
        }
        Resources free = other.entry.capacity;
        free -= other.used;
        return Fits(need, free) && !other.runs.contains(name) &&
               (step.max_per_target == 0 ||
                CountRunsOfStep(other, first) < step.max_per_target) &&
               (step.required_label.empty() ||
                HasLabel(other.entry, step.required_label));
      });
}

}  // namespace hyssopbarrow::fleet
