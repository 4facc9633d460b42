#include "Policy/isolation.h"

#include <algorithm>

#include "Policy/crashes.h"

namespace hyssopbarrow::fleet {
namespace {

/// At most one target in kTargetsPerIsolated is isolated, but always one.
constexpr std::int64_t kTargetsPerIsolated = 3;
/// How long a target is kept free of other starts.
constexpr Duration kKeepTime = std::chrono::milliseconds(2000);
/// A target that has been known for less long may have restarted after a crash.
constexpr Duration kEstablishedAfter = std::chrono::milliseconds(5000);

bool MayIsolateAnother(const std::vector<FreeTarget>& targets) {
  const auto isolated =
      std::count_if(targets.begin(), targets.end(),
                    [](const FreeTarget& it) { return it.isolated; });
  const auto most =
      static_cast<std::int64_t>(targets.size()) / kTargetsPerIsolated;
  return isolated < std::max<std::int64_t>(1, most);
}

/// Returns the target with the most free resources for which `condition` holds.
template <typename Condition>
FreeTarget* FindEmptiest(std::vector<FreeTarget>& targets,
                         const Condition& condition) {
  FreeTarget* best = nullptr;
  for (FreeTarget& it : targets) {
    const bool better =
        best == nullptr || it.free.cpu_milli > best->free.cpu_milli;
    if (better && condition(it)) best = &it;
  }
  return best;
}

/// True if a crash of the target would say more of a task than of the target.
bool IsEstablished(const TargetView& target, Instant now) {
  return target.found_at + kEstablishedAfter <= now;
}

}  // namespace

bool IsIsolated(const Owner& owner, const TargetView& target, Instant now) {
  return target.kept_free_until > now || HasUndecidedIsolatedRun(owner, target);
}

FreeTarget* IsolateTarget(
    std::vector<FreeTarget>& targets, const Resources& need,
    const std::function<bool(const TargetView&)>& is_eligible, Instant now) {
  const auto kept = std::find_if(
      targets.begin(), targets.end(),
      [now](const auto& it) { return it.target->kept_free_until > now; });
  const bool has_kept = kept != targets.end();
  if (!has_kept && !MayIsolateAnother(targets)) return nullptr;
  const auto may_fit = [&](const FreeTarget& it) {
    return Fits(need, it.target->entry.capacity) && is_eligible(*it.target);
  };
  const bool any_established =
      std::any_of(targets.begin(), targets.end(), [&](const FreeTarget& it) {
        return IsEstablished(*it.target, now) && may_fit(it);
      });
  const auto is_sound = [&](const FreeTarget& it) {
    return !any_established || IsEstablished(*it.target, now);
  };
  FreeTarget* best = FindEmptiest(targets, [&](const FreeTarget& it) {
    return Fits(need, it.free) && !HasPossibleCause(*it.target) &&
           is_eligible(*it.target) && is_sound(it);
  });
  if (best != nullptr) {
    if (has_kept) {
      kept->target->kept_free_until = {};
      kept->isolated = false;
    }
    best->isolated = true;
    return best;
  }
  if (has_kept) return nullptr;
  best = FindEmptiest(targets, [&](const FreeTarget& it) {
    return !it.isolated && may_fit(it) && is_sound(it);
  });
  if (best != nullptr) {
    best->isolated = true;
    best->target->kept_free_until = now + kKeepTime;
  }
  return nullptr;
}

}  // namespace hyssopbarrow::fleet
