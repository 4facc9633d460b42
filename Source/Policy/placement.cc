#include "Policy/placement.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Policy/crashes.h"
#include "Policy/isolation.h"
#include "Policy/owner_runs.h"
#include "Policy/target_instance.h"
#include "Policy/target_polls.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Each pending request uses its own connection, and targets accept 64
/// connections.
constexpr std::int64_t kMaxPendingRequestsPerTarget = 4;
/// Run numbers reserved for each epoch, so that those of an owner are above
/// those of all earlier owners.
constexpr std::int64_t kRunNumbersPerEpoch = 1000;
/// Targets named in one approval request.
constexpr std::size_t kMaxApprovalTargets = 30;
/// Limits what a large slack factor allows, so that the clock can add it.
constexpr double kMaxSlackMs = 1e15;
constexpr Duration kApprovalRetryDelay = milliseconds(200);
constexpr Duration kApprovalTimeout = milliseconds(2000);
/// Pending approval requests. The policy handles those of a machine in turn, so
/// that one of them is answered in time if the policy takes a quarter of the
/// timeout for each. More would wait there beyond their timeouts in a backlog.
constexpr std::size_t kMaxPendingApprovals = 4;
/// How long before its expiry an approval is no longer used.
constexpr Duration kApprovalExpiryMargin = milliseconds(100);
/// How long a task that may crash its target waits for one of its own.
constexpr Duration kMaxIsolationWait = milliseconds(3000);

enum class CandidateRank {
  kLongRunning,  ///< Runs until cancelled; must run again at once.
  kOnTime,       ///< Can still meet the latency target.
  kLate,
};

/// Order of targets in an approval request.
enum class ApprovalRank {
  kUsable,  ///< Approved by the last reply, and fits the step.
  kInTurn,  ///< Not named since the turn began.
  kNamed,
};

/// A job's occurrence, ordered by `Key` within its pool.
struct Candidate {
  CandidateRank rank = CandidateRank::kLate;
  std::int64_t priority = 0;
  Instant latest_start{};
  Job* job = nullptr;
  std::int64_t number = 0;
  Occurrence* occurrence = nullptr;

  auto Key() const { return std::tie(rank, priority, latest_start); }
};

/// The usable targets of a pool and the occurrences to place on them.
struct PoolView {
  std::vector<Candidate> candidates;
  std::vector<FreeTarget> targets;
  /// Demands that fit on no target. Free resources only shrink while tasks are
  /// placed, so that greater demands do not fit either.
  std::vector<Resources> unplaceable;
};

bool IsUnplaceable(const PoolView& pool, const Resources& need) {
  return std::any_of(
      pool.unplaceable.begin(), pool.unplaceable.end(),
      [&](const Resources& demand) { return Fits(demand, need); });
}

/// Keeps only the smallest demands, of which there are few in any backlog.
void AddUnplaceable(PoolView& pool, const Resources& need) {
  std::erase_if(pool.unplaceable,
                [&](const Resources& demand) { return Fits(need, demand); });
  pool.unplaceable.push_back(need);
}

Resources FreeResources(const TargetView& target) {
  Resources free = target.entry.capacity;
  free -= target.used;
  return free;
}

std::string_view RackOf(const TargetView& target) {
  // The rack is the last label.
  return target.entry.labels.empty() ? std::string_view()
                                     : target.entry.labels.back();
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
      for (const Candidate& candidate : pool.candidates) {
        PlaceJob(pool, candidate);
      }
    }
  }

 private:
  Instant now() const { return context_.time.now; }

  void CollectCandidates() {
    for (auto& [id, target] : owner_.targets) {
      if (!IsUsable(target, now())) continue;
      pools_[target.entry.pool].targets.push_back(
          {FreeResources(target), &target, IsIsolated(owner_, target, now())});
    }
    std::erase_if(owner_.crash_suspects, [this](const TaskName& name) {
      Job* job = FindJob(owner_, name.job);
      const Task* task = job == nullptr ? nullptr : FindTask(*job, name);
      return task == nullptr || task->done || IsFinal(job->state);
    });
    if (owner_.all_jobs_placeable) owner_.placeable_jobs = owner_.active_jobs;
    owner_.all_jobs_placeable = false;
    std::erase_if(owner_.placeable_jobs, [this](const std::string& id) {
      auto it = owner_.jobs.find(id);
      return it == owner_.jobs.end() || !CollectCandidatesOf(it->second);
    });
  }

  /// Adds the candidates of a job. Returns false if it has no task to place.
  bool CollectCandidatesOf(Job& job) {
    if (IsFinal(job.state)) return false;
    bool placeable = false;
    for (auto& [number, occurrence] : job.open_occurrences) {
      if (!HasRunnableTask(job, occurrence)) continue;
      placeable = true;
      const Queue* queue = QueueOf(job);
      auto pool = pools_.find(queue == nullptr ? job.record.pool : queue->pool);
      if (pool == pools_.end()) continue;
      pool->second.candidates.push_back(
          MakeCandidate(job, queue, number, occurrence));
    }
    return placeable;
  }

  bool IsRunnable(const Task& task) const {
    return !task.done && task.assignments.empty() &&
           task.earliest_start <= now();
  }

  bool HasRunnableTask(const Job& job, const Occurrence& occurrence) const {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const std::vector<Task>& tasks = occurrence.steps[s].tasks;
      const bool runnable =
          std::any_of(tasks.begin(), tasks.end(),
                      [&](const Task& task) { return IsRunnable(task); });
      if (runnable &&
          AreDependenciesDone(job, occurrence, static_cast<std::int64_t>(s))) {
        return true;
      }
    }
    return false;
  }

  const Queue* QueueOf(const Job& job) const {
    return context_.configuration == nullptr
               ? nullptr
               : FindQueue(*context_.configuration, job.record.queue);
  }

  Candidate MakeCandidate(Job& job, const Queue* queue, std::int64_t number,
                          Occurrence& occurrence) const {
    Candidate candidate{
        .job = &job, .number = number, .occurrence = &occurrence};
    candidate.priority = queue == nullptr ? 0 : queue->priority;
    candidate.latest_start =
        LatestStart(owner_.run_times, job, occurrence, queue);
    const bool lasts = job.record.spec.steps.front().long_running;
    candidate.rank =
        lasts ? CandidateRank::kLongRunning
              : (candidate.latest_start >= now() ? CandidateRank::kOnTime
                                                 : CandidateRank::kLate);
    return candidate;
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
      if (complete || !AreDependenciesDone(job, *candidate.occurrence, s)) {
        continue;
      }
      const TaskName name{job.record.id, candidate.number, s, 0};
      if (!EnsureApproval(pool, job, name)) continue;
      if (StepOf(job, s).gang) {
        PlaceGang(pool, job, name, step);
      } else {
        PlaceStep(pool, job, name, step);
      }
    }
  }

  void PlaceStep(PoolView& pool, Job& job, TaskName name, StepProgress& step) {
    bool full = false;
    for (std::size_t n = 0; n < step.tasks.size(); ++n) {
      Task& task = step.tasks[n];
      if (!IsRunnable(task)) continue;
      name.index = static_cast<std::int64_t>(n);
      if (!task.crashed_runs.empty()) {
        PlaceSuspect(pool, job, name, task);
        continue;
      }
      if (full) continue;
      FreeTarget* target = ChooseTarget(pool, job, name, task);
      if (target == nullptr) {
        // The other tasks have the same requirements, unless this one avoids
        // targets where it has failed.
        full = task.failed_targets.empty();
        continue;
      }
      if (IsReadyToStart(*target, NeedOf(StepOf(job, name.step)))) {
        PlanRun(job, name, task, *target, NextRunNumber(task.last_run));
      }
    }
  }

  /// Places a task that may crash its target where no other run can be the
  /// cause of the next crash. Places it as any other task if it has waited too
  /// long for such a target.
  void PlaceSuspect(PoolView& pool, Job& job, const TaskName& name,
                    Task& task) {
    const Step& step = StepOf(job, name.step);
    if (!WithinTeamCeiling(job, step.resources)) return;
    FreeTarget* target = IsolateTarget(
        pool.targets, NeedOf(step),
        [&](const TargetView& it) { return IsEligible(it, step, name); },
        now());
    const bool isolated = target != nullptr;
    if (!isolated) {
      if (!task.isolation_deadline) {
        task.isolation_deadline = now() + kMaxIsolationWait;
      }
      if (*task.isolation_deadline > now()) return;
      target = ChooseTarget(pool, job, name, task);
      if (target == nullptr) return;
    }
    if (!IsReadyToStart(*target, NeedOf(step))) return;
    task.isolation_deadline.reset();
    PlanRun(job, name, task, *target, NextRunNumber(task.last_run));
    target->target->runs.at(name).isolated = isolated;
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

  /// What a task of the step uses of a target.
  static Resources NeedOf(const Step& step) {
    Resources need = step.resources;
    if (step.background) need.cpu_milli = 0;
    return need;
  }

  /// True if the target may run the task, provided that its free resources
  /// suffice.
  bool IsEligible(const TargetView& target, const Step& step,
                  const TaskName& name) const {
    if (!step.required_label.empty() &&
        !HasLabel(target.entry, step.required_label)) {
      return false;
    }
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

  /// Returns the best target that fits the task; null if there is none. Prefers
  /// targets where the task has not failed, then the rack of its data, then, to
  /// spread a long-running step, few runs of the step, then little free CPU.
  FreeTarget* ChooseTarget(PoolView& pool, const Job& job, const TaskName& name,
                           const Task& task) {
    const Step& step = StepOf(job, name.step);
    const Resources need = NeedOf(step);
    if (IsUnplaceable(pool, need)) return nullptr;
    if (!WithinTeamCeiling(job, step.resources)) return nullptr;
    FreeTarget* best = nullptr;
    bool fits_somewhere = false;
    auto best_key = std::make_tuple(0L, 0L, 0L, 0L);
    for (FreeTarget& candidate : pool.targets) {
      if (candidate.isolated || !Fits(need, candidate.free)) continue;
      fits_somewhere = true;
      TargetView& target = *candidate.target;
      const auto failed = task.failed_targets.empty()
                              ? 0L
                              : static_cast<std::int64_t>(
                                    task.failed_targets.count(target.entry.id));
      const std::int64_t other_rack =
          !step.data_rack.empty() && !HasLabel(target.entry, step.data_rack)
              ? 1
              : 0;
      const std::int64_t runs_of_step =
          step.long_running ? CountRunsOfStep(target, name) : 0;
      const auto key = std::make_tuple(failed, other_rack, runs_of_step,
                                       candidate.free.cpu_milli);
      if (best != nullptr && key >= best_key) continue;
      if (!IsEligible(target, step, name)) continue;
      if (target.pending_requests >= kMaxPendingRequestsPerTarget) {
        target.start_deferred = true;
        continue;
      }
      best = &candidate;
      best_key = key;
    }
    if (!fits_somewhere) AddUnplaceable(pool, need);
    return best;
  }

  std::int64_t NextRunNumber(std::int64_t last) const {
    return std::max(last, (owner_.epoch - 1) * kRunNumbersPerEpoch) + 1;
  }

  /// Returns true if tasks can start on the target. Otherwise polls it and
  /// keeps the resources that the task needs, for the round that follows the
  /// reply.
  bool IsReadyToStart(FreeTarget& chosen, const Resources& need) {
    if (HasRecentReading(*chosen.target, now())) return true;
    chosen.free -= need;
    RequestPoll(owner_, *chosen.target, context_);
    return false;
  }

  void PlanRun(Job& job, const TaskName& name, Task& task, FreeTarget& chosen,
               std::int64_t number) {
    TargetView& target = *chosen.target;
    fleet::Run& run = AddRun(owner_, target, job, name, number, now());
    chosen.free = FreeResources(target);
    run.checkpoint = task.checkpoint;
    ++owner_.start_count;
    MarkJobChanged(owner_, job);
    Log(context_, Severity::kInfo, "start_planned",
        {{"task", ToString(name)},
         {"run", std::to_string(number)},
         {"target", target.entry.id},
         {"born", std::to_string(target.entry.started_unix_ms)},
         {"reply_age_ms", std::to_string(duration_cast<milliseconds>(
                                             now() - target.last_reply_at)
                                             .count())},
         {"free_cpu_milli", std::to_string(chosen.free.cpu_milli)}});
  }

  /// Places all tasks of a gang or none.
  void PlaceGang(PoolView& pool, Job& job, TaskName name, StepProgress& step) {
    std::int64_t last = 0;
    std::string checkpoint;
    for (const Task& task : step.tasks) {
      if (!task.assignments.empty() || task.earliest_start > now()) return;
      last = std::max(last, task.last_run);
      if (!task.checkpoint.empty()) checkpoint = task.checkpoint;
    }
    const Step& spec = StepOf(job, name.step);
    Resources total;
    for (std::size_t n = 0; n < step.tasks.size(); ++n) total += spec.resources;
    if (!WithinTeamCeiling(job, total)) return;
    std::vector<FreeTarget*> targets;
    if (spec.same_rack) {
      std::set<std::string_view> racks;
      for (const FreeTarget& target : pool.targets) {
        racks.insert(RackOf(*target.target));
      }
      for (const std::string_view rack : racks) {
        targets = FindGangTargets(pool, spec, name, step.tasks.size(), rack);
        if (!targets.empty()) break;
      }
    }
    if (targets.empty()) {
      targets = FindGangTargets(pool, spec, name, step.tasks.size(), {});
    }
    if (targets.empty()) return;
    bool ready = true;
    for (FreeTarget* target : targets) {
      ready = IsReadyToStart(*target, NeedOf(spec)) && ready;
    }
    if (!ready) return;
    const std::int64_t number = NextRunNumber(last);
    for (std::size_t n = 0; n < targets.size(); ++n) {
      name.index = static_cast<std::int64_t>(n);
      step.tasks[n].checkpoint = checkpoint;
      PlanRun(job, name, step.tasks[n], *targets[n], number);
    }
  }

  /// Returns a target for each of `count` tasks; empty if not all of them fit.
  /// Searches all racks if `rack` is empty.
  std::vector<FreeTarget*> FindGangTargets(PoolView& pool, const Step& step,
                                           const TaskName& name,
                                           std::size_t count,
                                           std::string_view rack) const {
    std::vector<FreeTarget*> targets;
    const Resources need = NeedOf(step);
    for (FreeTarget& target : pool.targets) {
      if (!rack.empty() && RackOf(*target.target) != rack) continue;
      const bool fits = !target.isolated && Fits(need, target.free) &&
                        IsEligible(*target.target, step, name);
      if (!fits) continue;
      Resources free = target.free;
      std::int64_t runs_on_target = CountRunsOfStep(*target.target, name);
      while (
          targets.size() < count && Fits(step.resources, free) &&
          (step.max_per_target == 0 || runs_on_target < step.max_per_target)) {
        targets.push_back(&target);
        free -= step.resources;
        ++runs_on_target;
      }
    }
    if (targets.size() < count) targets.clear();
    return targets;
  }

  /// Returns true if the step needs no approval or has a valid one. Otherwise
  /// requests an approval, unless a request is pending or was just made.
  bool EnsureApproval(const PoolView& pool, const Job& job,
                      const TaskName& name) {
    const Queue* queue = QueueOf(job);
    if (queue == nullptr || !queue->approval.has_value()) return true;
    if (!context_.timing.approvals_enabled) return true;
    Approval& approval = owner_.approvals[StepName(name)];
    if (approval.valid_until > now() && !approval.tickets.empty()) return true;
    if (approval.pending_request != 0 || approval.retry_at > now() ||
        owner_.pending_approvals.size() >= kMaxPendingApprovals) {
      return false;
    }
    approval.pending_request = context_.next_id++;
    owner_.pending_approvals[approval.pending_request] = StepName(name);
    approval.retry_at = now() + kApprovalRetryDelay;
    ApprovalRequest request{.id = approval.pending_request,
                            .step = StepName(name),
                            .timeout = kApprovalTimeout};
    // The policy may allow only targets with little room, so all are named in
    // turn, and those with the most free CPU first. A target that was approved
    // and has room stays in the request.
    const Step& step = StepOf(job, name.step);
    std::vector<std::tuple<ApprovalRank, std::int64_t, std::string>> targets;
    for (const FreeTarget& it : pool.targets) {
      const std::string& id = it.target->entry.id;
      // Eligible targets are those that the last reply has approved.
      const bool usable = !it.isolated && Fits(NeedOf(step), it.free) &&
                          IsEligible(*it.target, step, name);
      const bool named = approval.named.contains(id);
      targets.emplace_back(usable  ? ApprovalRank::kUsable
                           : named ? ApprovalRank::kNamed
                                   : ApprovalRank::kInTurn,
                           -it.free.cpu_milli, id);
    }
    std::sort(targets.begin(), targets.end());
    bool turn_ended = false;
    for (const auto& [rank, negative_free_cpu, id] : targets) {
      if (request.targets.size() == kMaxApprovalTargets) break;
      if (rank == ApprovalRank::kNamed && !turn_ended) {
        turn_ended = true;
        approval.named.clear();
      }
      approval.named.insert(id);
      request.targets.push_back(id);
    }
    context_.out.emplace_back(std::move(request));
    return false;
  }

  Owner& owner_;
  Context& context_;
  std::map<std::string, PoolView> pools_;
};

}  // namespace

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

std::string_view PoolOf(const Job& job, const Context& context) {
  if (context.configuration != nullptr) {
    const Queue* queue = FindQueue(*context.configuration, job.record.queue);
    if (queue != nullptr) return queue->pool;
  }
  return job.record.pool;
}

Instant LatestStart(const RunTimes& run_times, const Job& job,
                    const Occurrence& occurrence, const Queue* queue) {
  const double slack = queue == nullptr ? 1.0 : queue->slack_factor;
  const std::int64_t latency_target_ms =
      queue == nullptr ? 0 : queue->latency_target_ms;
  const CriticalPath path = FindCriticalPath(run_times, job, occurrence);
  const auto total_ms = static_cast<double>(path.whole_ms);
  const auto allowed_ms = static_cast<std::int64_t>(
                              std::clamp(slack * total_ms, 0.0, kMaxSlackMs)) +
                          latency_target_ms;
  const Instant from =
      job.record.spec.repeats > 0 ? occurrence.due : job.accepted_at;
  return from + milliseconds(allowed_ms - path.remaining_ms);
}

bool IsUsable(const TargetView& target, Instant now) {
  return target.listed && !target.retired && target.synced &&
         !target.entry.draining && !target.reserved && !target.evacuated &&
         target.unanswered_polls == 0 && target.avoid_until <= now &&
         !target.instance_doubted && IsDescribed(target) &&
         target.unknown_runs.empty();
}

void PlaceTasks(Owner& owner, Context& context) {
  Placer(owner, context).Run();
}

bool HandleApprovalReply(Owner& owner, std::int64_t id,
                         const ApprovalReply& reply, Context& context) {
  const auto request = owner.pending_approvals.extract(id);
  if (request.empty()) return false;
  const std::string& step = request.mapped();
  owner.placement_due = true;
  auto it = owner.approvals.find(step);
  // A target may have refused the approval before.
  if (it == owner.approvals.end() || it->second.pending_request != id) {
    return true;
  }
  Approval& approval = it->second;
  approval.pending_request = 0;
  // After a request without an answer, the other steps come first.
  approval.retry_at = context.time.now + kApprovalRetryDelay;
  if (reply.answered) {
    approval.tickets = reply.tickets;
    approval.valid_until =
        context.time.now + milliseconds(reply.valid_ms) - kApprovalExpiryMargin;
  }
  Log(context, Severity::kInfo, "approval",
      {{"step", step},
       {"answered", reply.answered ? "yes" : "no"},
       {"targets", std::to_string(reply.tickets.size())}});
  return true;
}

}  // namespace hyssopbarrow::fleet
