#include "Policy/placement.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// Starts under way to one target; each takes a connection of its own, and
/// targets allow 64.
constexpr std::int64_t kMaxPendingRequestsPerTarget = 8;
/// Run numbers of an owner begin above those of all owners before.
constexpr std::int64_t kRunNumbersPerEpoch = 1000;
/// Targets named in one request for approval.
constexpr std::size_t kMaxApprovalTargets = 30;
constexpr Duration kApprovalRetryDelay = milliseconds(200);
constexpr Duration kApprovalTimeout = milliseconds(2000);
constexpr Duration kApprovalExpiryMargin = milliseconds(100);

enum class CandidateRank {
  kLongRunning,  ///< Has to be back at once.
  kOnTime,       ///< Can still meet its objective.
  kLate,
};

/// A job's occurrence in its pool's order of work.
struct Candidate {
  CandidateRank rank = CandidateRank::kLate;
  std::int64_t priority = 0;
  Instant latest_start{};
  Job* job = nullptr;
  std::int64_t number = 0;
  Occurrence* occurrence = nullptr;

  auto Key() const { return std::tie(rank, priority, latest_start); }
};

struct PoolView {
  std::vector<Candidate> candidates;
  std::vector<TargetView*> targets;
};

Resources FreeResources(const TargetView& target) {
  Resources free = target.entry.capacity;
  free -= target.used;
  return free;
}

std::string_view RackOf(const TargetView& target) {
  // The kind comes first, the rack last.
  return target.entry.labels.empty() ? std::string_view()
                                     : target.entry.labels.back();
}

std::int64_t CountRunsOfStep(const TargetView& target, const TaskName& first) {
  auto it =
      target.runs.lower_bound({first.job, first.occurrence, first.step, 0});
  std::int64_t n = 0;
  for (;
       it != target.runs.end() && it->first.job == first.job &&
       it->first.occurrence == first.occurrence && it->first.step == first.step;
       ++it) {
    ++n;
  }
  return n;
}

class Placer {
 public:
  Placer(Owner& owner, Context& context) : owner_(owner), context_(context) {}

  void Run() {
    CollectCandidates();
    for (auto& [name, pool] : pools_) {
      std::stable_sort(pool.candidates.begin(), pool.candidates.end(),
                       [](const Candidate& a, const Candidate& b) {
                         return a.Key() < b.Key();
                       });
      for (const Candidate& it : pool.candidates) PlaceJob(pool, it);
    }
  }

 private:
  Instant now() const { return context_.time.now; }

  void CollectCandidates() {
    for (auto& [id, target] : owner_.targets) {
      PoolView& pool = pools_[target.entry.pool];
      if (IsUsable(target, now())) pool.targets.push_back(&target);
    }
    for (const std::string& id : owner_.active_jobs) {
      Job& job = owner_.jobs.at(id);
      PoolView& pool = pools_[std::string(PoolOf(job, context_))];
      if (pool.targets.empty()) continue;
      const Queue* queue = QueueOf(job);
      for (auto& [number, occurrence] : job.open_occurrences) {
        pool.candidates.push_back(
            MakeCandidate(job, queue, number, occurrence));
      }
    }
  }

  const Queue* QueueOf(const Job& job) const {
    return context_.configuration == nullptr
               ? nullptr
               : FindQueue(*context_.configuration, job.record.queue);
  }

  Candidate MakeCandidate(Job& job, const Queue* queue, std::int64_t number,
                          Occurrence& occurrence) const {
    Candidate it{.job = &job, .number = number, .occurrence = &occurrence};
    it.priority = queue == nullptr ? 0 : queue->priority;
    it.latest_start = LatestStart(job, occurrence, queue);
    const bool lasts = job.record.spec.steps.front().long_running;
    it.rank = lasts ? CandidateRank::kLongRunning
                    : (it.latest_start >= now() ? CandidateRank::kOnTime
                                                : CandidateRank::kLate);
    return it;
  }

  void PlaceJob(PoolView& pool, const Candidate& candidate) {
    Job& job = *candidate.job;
    const auto steps =
        static_cast<std::int64_t>(candidate.occurrence->steps.size());
    for (std::int64_t s = 0; s < steps; ++s) {
      StepProgress& step =
          candidate.occurrence->steps[static_cast<std::size_t>(s)];
      const bool complete =
          step.done_tasks == static_cast<std::int64_t>(step.tasks.size());
      if (complete || !AreDependenciesDone(job, *candidate.occurrence, s))
        continue;
      const TaskName name{job.record.id, candidate.number, s, 0};
      if (!EnsureApproval(pool, job, name)) continue;
      if (StepOf(job, s).gang) {
        PlaceGang(pool, job, name, step);
      } else {
        PlaceStep(pool, job, name, step);
      }
    }
  }

  bool IsRunnable(const Task& task) const {
    return !task.done && task.assignments.empty() &&
           task.earliest_start <= now();
  }

  void PlaceStep(PoolView& pool, Job& job, TaskName name, StepProgress& step) {
    for (std::size_t n = 0; n < step.tasks.size(); ++n) {
      Task& task = step.tasks[n];
      if (!IsRunnable(task)) continue;
      name.index = static_cast<std::int64_t>(n);
      TargetView* target = ChooseTarget(pool, job, name, task);
      if (target == nullptr) {
        // The other tasks ask for the same, unless this one avoids a target.
        if (task.failed_targets.empty()) return;
        continue;
      }
      PlanRun(job, name, task, *target, NextRunNumber(task.last_run));
    }
  }

  bool WithinTeamCeiling(const Job& job, const Resources& need) const {
    if (context_.configuration == nullptr || job.record.team.empty()) {
      return true;
    }
    const Team* team = FindTeam(*context_.configuration, job.record.team);
    if (team == nullptr) return true;
    auto used = owner_.team_used.find(job.record.team);
    return WithinCeiling(
        used == owner_.team_used.end() ? Resources{} : used->second, need,
        team->ceiling);
  }

  bool CanPlace(const TargetView& target, const Step& step,
                const TaskName& name) const {
    if (!step.required_label.empty() &&
        !HasLabel(target.entry, step.required_label)) {
      return false;
    }
    Resources need = step.resources;
    if (step.background) need.cpu_milli = 0;
    if (!Fits(need, FreeResources(target))) return false;
    if (target.runs.count(name) > 0) return false;
    if (step.max_per_target > 0 &&
        CountRunsOfStep(target, name) >= step.max_per_target) {
      return false;
    }
    if (owner_.approvals.empty()) return true;
    auto approval = owner_.approvals.find(StepName(name));
    return approval == owner_.approvals.end() ||
           approval->second.tickets.count(target.entry.id) > 0;
  }

  /// The fullest target that has room; a lasting step is spread instead.
  TargetView* ChooseTarget(PoolView& pool, const Job& job, const TaskName& name,
                           const Task& task) {
    const Step& step = StepOf(job, name.step);
    if (!WithinTeamCeiling(job, step.resources)) return nullptr;
    TargetView* best = nullptr;
    auto best_key = std::make_tuple(0L, 0L, 0L, 0L);
    for (TargetView* target : pool.targets) {
      if (!CanPlace(*target, step, name)) continue;
      if (target->pending_requests >= kMaxPendingRequestsPerTarget) {
        target->start_deferred = true;
        continue;
      }
      const auto failed = static_cast<std::int64_t>(
          task.failed_targets.count(target->entry.id));
      const std::int64_t far =
          !step.data_rack.empty() && !HasLabel(target->entry, step.data_rack)
              ? 1
              : 0;
      const std::int64_t same =
          step.long_running ? CountRunsOfStep(*target, name) : 0;
      const auto key = std::make_tuple(
          failed, far, same,
          target->entry.capacity.cpu_milli - target->used.cpu_milli);
      if (best == nullptr || key < best_key) {
        best = target;
        best_key = key;
      }
    }
    return best;
  }

  std::int64_t NextRunNumber(std::int64_t last) const {
    return std::max(last, (owner_.epoch - 1) * kRunNumbersPerEpoch) + 1;
  }

  void PlanRun(Job& job, const TaskName& name, Task& task, TargetView& target,
               std::int64_t number) {
    fleet::Run& run = AddRun(owner_, target, job, name, number, now());
    run.checkpoint = task.checkpoint;
    ++owner_.start_count;
    MarkJobChanged(owner_, job);
    Log(context_, Severity::kInfo, "start_planned",
        {{"task", ToString(name)},
         {"run", std::to_string(number)},
         {"target", target.entry.id},
         {"free_cpu_milli", std::to_string(FreeResources(target).cpu_milli)}});
  }

  /// Places all members of a gang or none.
  void PlaceGang(PoolView& pool, Job& job, TaskName name, StepProgress& step) {
    std::int64_t last = 0;
    std::string checkpoint;
    for (const Task& task : step.tasks) {
      if (!task.assignments.empty() || task.earliest_start > now()) return;
      last = std::max(last, task.last_run);
      if (!task.checkpoint.empty()) checkpoint = task.checkpoint;
    }
    const Step& spec = StepOf(job, name.step);
    Resources whole;
    for (std::size_t n = 0; n < step.tasks.size(); ++n) whole += spec.resources;
    if (!WithinTeamCeiling(job, whole)) return;
    std::vector<TargetView*> places;
    if (spec.same_rack) {
      std::set<std::string_view> racks;
      for (const TargetView* it : pool.targets) racks.insert(RackOf(*it));
      for (const std::string_view rack : racks) {
        places = FindGangTargets(pool, spec, name, step.tasks.size(), rack);
        if (!places.empty()) break;
      }
    }
    if (places.empty()) {
      places = FindGangTargets(pool, spec, name, step.tasks.size(), {});
    }
    if (places.empty()) return;
    const std::int64_t number = NextRunNumber(last);
    for (std::size_t n = 0; n < places.size(); ++n) {
      name.index = static_cast<std::int64_t>(n);
      step.tasks[n].checkpoint = checkpoint;
      PlanRun(job, name, step.tasks[n], *places[n], number);
    }
  }

  /// One target for each of `count` members; empty if there is no room.
  std::vector<TargetView*> FindGangTargets(const PoolView& pool,
                                           const Step& step,
                                           const TaskName& name,
                                           std::size_t count,
                                           std::string_view rack) const {
    std::vector<TargetView*> places;
    for (TargetView* target : pool.targets) {
      if (!rack.empty() && RackOf(*target) != rack) continue;
      if (!CanPlace(*target, step, name)) continue;
      Resources free = FreeResources(*target);
      std::int64_t here = CountRunsOfStep(*target, name);
      while (places.size() < count && Fits(step.resources, free) &&
             (step.max_per_target == 0 || here < step.max_per_target)) {
        places.push_back(target);
        free -= step.resources;
        ++here;
      }
    }
    if (places.size() < count) places.clear();
    return places;
  }

  /// True if the step needs no approval or has one that is valid.
  bool EnsureApproval(const PoolView& pool, const Job& job,
                      const TaskName& name) {
    const Queue* queue = QueueOf(job);
    if (queue == nullptr || !queue->approval.has_value()) return true;
    if (!context_.timing.approvals_enabled) return true;
    Approval& approval = owner_.approvals[StepName(name)];
    if (approval.valid_until > now() && !approval.tickets.empty()) return true;
    if (approval.pending_request != 0 || approval.retry_at > now())
      return false;
    approval.pending_request = context_.next_id++;
    approval.retry_at = now() + kApprovalRetryDelay;
    ApprovalRequest request{.id = approval.pending_request,
                            .step = StepName(name),
                            .timeout = kApprovalTimeout};
    std::vector<TargetView*> targets = pool.targets;
    std::sort(targets.begin(), targets.end(),
              [](const TargetView* a, const TargetView* b) {
                return FreeResources(*a).cpu_milli >
                       FreeResources(*b).cpu_milli;
              });
    for (const TargetView* it : targets) {
      if (request.targets.size() == kMaxApprovalTargets) break;
      request.targets.push_back(it->entry.id);
    }
    context_.out.emplace_back(std::move(request));
    return false;
  }

  Owner& owner_;
  Context& context_;
  std::map<std::string, PoolView> pools_;
};

}  // namespace

std::string_view PoolOf(const Job& job, const Context& context) {
  if (context.configuration != nullptr) {
    const Queue* queue = FindQueue(*context.configuration, job.record.queue);
    if (queue != nullptr) return queue->pool;
  }
  return job.record.pool;
}

Instant LatestStart(const Job& job, const Occurrence& occurrence,
                    const Queue* queue) {
  const double slack = queue == nullptr ? 1.0 : queue->slack_factor;
  const std::int64_t target = queue == nullptr ? 0 : queue->latency_target_ms;
  const auto whole = static_cast<double>(WholeCriticalPathMs(job.record.spec));
  const auto allowed = static_cast<std::int64_t>(slack * whole) + target;
  const Instant from =
      job.record.spec.repeats > 0 ? occurrence.due : job.accepted_at;
  return from +
         milliseconds(allowed - RemainingCriticalPathMs(job, occurrence));
}

bool IsUsable(const TargetView& target, Instant now) {
  return target.listed && !target.retired && target.synced &&
         !target.entry.draining && !target.reserved &&
         target.unanswered_polls == 0 && target.avoid_until <= now &&
         target.clock_ms.has_value();
}

void PlaceTasks(Owner& owner, Context& context) {
  Placer(owner, context).Run();
}

bool HandleApprovalReply(Owner& owner, std::int64_t id,
                         const ApprovalReply& reply, Context& context) {
  for (auto& [step, approval] : owner.approvals) {
    if (approval.pending_request != id) continue;
    approval.pending_request = 0;
    if (reply.answered) {
      approval.tickets = reply.tickets;
      approval.valid_until = context.time.now + milliseconds(reply.valid_ms) -
                             kApprovalExpiryMargin;
      approval.retry_at = context.time.now + kApprovalRetryDelay;
    }
    Log(context, Severity::kInfo, "approval",
        {{"step", step},
         {"answered", reply.answered ? "yes" : "no"},
         {"targets", std::to_string(reply.tickets.size())}});
    owner.placement_due = true;
    return true;
  }
  return false;
}

}  // namespace hyssopbarrow::fleet
