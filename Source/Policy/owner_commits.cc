#include "Policy/owner_commits.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

#include "Model/text.h"
#include "Policy/host_manager.h"
#include "Policy/owner_load.h"
#include "Policy/owner_runs.h"
#include "Policy/placement.h"
#include "Policy/progress_rows.h"
#include "Policy/row_sizes.h"
#include "Policy/store_keys.h"
#include "Policy/target_polls.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// The store accepts 100 entries in a commit.
constexpr std::size_t kMaxCommitRows = 80;
/// Of one job, so that a job with many tasks does not hold up others.
constexpr std::size_t kMaxJobRows = 40;
/// Lets run ends that arrive together share a commit that is not full.
constexpr Duration kMinCommitInterval = milliseconds(8);
constexpr Duration kCommitRetryDelay = milliseconds(100);
/// An unanswered commit blocks all starts. It is abandoned after
/// kCommitTimeoutFactor times the latency of the last commit, and its rows are
/// committed again together with later changes.
constexpr Duration kMinCommitTimeout = milliseconds(150);
constexpr Duration kMaxCommitTimeout = milliseconds(1000);
constexpr int kCommitTimeoutFactor = 5;
/// How long job rows are kept beyond the retention promised to callers.
constexpr Duration kRetentionMargin = milliseconds(30'000);

/// Adds the planned runs of a job, which start once its rows are stored. Leaves
/// out those in rows that did not fit into the commit, from `end` on.
void CollectStarts(const Owner& owner, Job& job,
                   const std::optional<TaskRange>& end,
                   PendingCommit& pending) {
  ForEachTask(job, [&](const TaskName& name, const Task& task) {
    for (const Assignment& assignment : task.assignments) {
      const auto& runs = owner.targets.at(assignment.target).runs;
      const auto run = runs.find(name);
      const bool planned =
          run != runs.end() && run->second.phase == RunPhase::kPlanned;
      const bool written = !end.has_value() || PositionOf(job, name) < *end;
      if (planned && written) {
        pending.starts_to_send.emplace_back(name, assignment);
      }
    }
  });
}

/// Adds rows of a job that differ from those in the store, and the runs that
/// start once these are stored. Returns false if some did not fit.
bool AddJobRows(const Owner& owner, Job& job, PendingCommit& pending,
                CommitRows& commit, const Context& context) {
  const std::string& id = job.record.id;
  const std::int64_t tasks_per_row =
      TasksPerRow(job.record, context.timing.max_row_bytes);
  const TaskRowChanges changes = FindTaskRowChanges(job, tasks_per_row);
  const std::size_t max_rows =
      std::min(commit.writes.size() + kMaxJobRows, kMaxCommitRows);
  const auto add = [&](const TaskRange& tasks, nlohmann::json value,
                       std::uint64_t digest) {
    commit.writes.emplace_back(
        RowRef{Table::kProgress, StrCat(id, TaskRowSuffix(tasks))},
        std::move(value));
    pending.task_rows.push_back({.job = id, .tasks = tasks, .digest = digest});
  };
  std::optional<TaskRange> first_left;
  for (const auto& [tasks, digest] : changes.written) {
    // Leaves room for the row of the job.
    if (commit.writes.size() + 1 >= max_rows) {
      first_left = tasks;
      break;
    }
    add(tasks, TaskRow(job, tasks, tasks_per_row), digest);
  }
  CollectStarts(owner, job, first_left, pending);
  JobRowWrite& job_row = pending.jobs[id];
  // The row of the job may be the only one with the progress of tasks whose
  // rows are left.
  if (first_left.has_value() && job.tasks_in_job_row) return false;
  commit.writes.emplace_back(RowRef{Table::kProgress, id},
                             ProgressRow(job, !changes.split));
  job_row = {.written = true,
             .final_state = IsFinal(job.state),
             .has_tasks = !changes.split && !job.open_occurrences.empty()};
  if (first_left.has_value()) return false;
  // A row that says that an occurrence is finished comes before the deletion
  // of those of its tasks.
  for (const TaskRange& tasks : changes.removed) {
    if (commit.writes.size() >= max_rows) return false;
    add(tasks, nullptr, 0);
  }
  return true;
}

/// Sends the starts whose assignments the commit has stored.
void SendStoredStarts(Owner& owner, const PendingCommit& pending,
                      Context& context) {
  for (const auto& [name, assignment] : pending.starts_to_send) {
    auto target = owner.targets.find(assignment.target);
    if (target == owner.targets.end()) continue;
    auto run = target->second.runs.find(name);
    const bool valid = run != target->second.runs.end() &&
                       run->second.number == assignment.run &&
                       run->second.phase == RunPhase::kPlanned;
    if (!valid) continue;
    const bool usable =
        MayStartTasks(owner, context.time.now) &&
        IsUsable(target->second, context.time.now) &&
        HasRecentReading(target->second,
                         context.time.now - kMaxStoreTimeOfStart);
    if (!usable) {
      Log(context, Severity::kWarn, "start_dropped",
          {{"task", ToString(name)},
           {"run", std::to_string(assignment.run)},
           {"target", assignment.target},
           {"reason", MayStartTasks(owner, context.time.now)
                          ? "the target is not usable"
                          : "the lease or the tables are out of date"}});
      DropRun(owner, target->second, name);
      continue;
    }
    run->second.phase = RunPhase::kStarting;
    SendStart(owner, target->second, name, context);
    if (target->second.pending_poll == 0) {
      target->second.next_poll = context.time.now;
    }
    AddToNextRound(owner, target->second);
  }
}

/// Removes and returns the ends whose effect will be stored with the jobs that
/// have been taken from Owner::changed_jobs.
std::deque<UnstoredEnd> TakeCoveredEnds(Owner& owner) {
  const std::int64_t taken = owner.changed_jobs.FirstPosition();
  auto first_uncovered = std::find_if(
      owner.unstored_ends.begin(), owner.unstored_ends.end(),
      [taken](const UnstoredEnd& end) { return end.changes_end > taken; });
  std::deque<UnstoredEnd> covered(
      std::make_move_iterator(owner.unstored_ends.begin()),
      std::make_move_iterator(first_uncovered));
  owner.unstored_ends.erase(owner.unstored_ends.begin(), first_uncovered);
  return covered;
}

/// Marks ends as stored, so that the next polls acknowledge them.
void MarkEndsStored(Owner& owner, const std::deque<UnstoredEnd>& ends,
                    const Context& context) {
  for (const UnstoredEnd& end : ends) {
    auto it = owner.targets.find(end.target);
    if (it == owner.targets.end()) continue;
    TargetView& target = it->second;
    // Another instance numbers its ends from 1.
    const bool same_instance =
        target.entry.started_unix_ms == end.started_unix_ms;
    if (!same_instance || target.last_end_stored >= end.number) continue;
    target.last_end_stored = end.number;
    target.next_poll = context.time.now;
    AddToNextRound(owner, target);
  }
}

void AddWaveWrites(Owner& owner, PendingCommit& pending, CommitRows& commit) {
  for (auto& [number, view] : owner.host_manager.waves) {
    if (view.progress_stored) continue;
    const std::string key = StrCat(kWavePrefix, number);
    commit.writes.push_back(
        {{Table::kProgress, key},
         {{"done", view.done_hosts}, {"seen_ms", view.first_seen_unix_ms}}});
    pending.waves[number] = view.completed;
    view.progress_stored = true;
  }
}

void AddExpiredJobRemovals(Owner& owner, PendingCommit& pending,
                           CommitRows& commit, Context& context) {
  const Duration retention =
      context.timing.final_state_retention + kRetentionMargin;
  for (const auto& [id, job] : owner.jobs) {
    if (commit.writes.size() + 3 > kMaxCommitRows) return;
    const bool expired = job.final_state_stored && job.task_rows.empty() &&
                         job.finished_at + retention < context.time.now;
    if (!expired) continue;
    pending.removed_jobs.push_back(id);
    commit.writes.push_back({{Table::kJobs, id}, nullptr});
    commit.writes.push_back(
        {{Table::kJobs, StrCat(id, kCancelSuffix)}, nullptr});
    commit.writes.push_back({{Table::kProgress, id}, nullptr});
  }
}

void HandleCommitSuccess(Owner& owner, const PendingCommit& pending,
                         Context& context) {
  for (const auto& [id, row] : pending.jobs) {
    auto it = owner.jobs.find(id);
    if (it == owner.jobs.end() || !row.written) continue;
    if (row.final_state) it->second.final_state_stored = true;
    it->second.tasks_in_job_row = row.has_tasks;
  }
  for (const TaskRowWrite& row : pending.task_rows) {
    auto it = owner.jobs.find(row.job);
    if (it == owner.jobs.end()) continue;
    if (row.digest == 0) {
      it->second.task_rows.erase(row.tasks);
    } else {
      it->second.task_rows[row.tasks] = row.digest;
    }
  }
  SendStoredStarts(owner, pending, context);
  for (const std::string& id : pending.removed_jobs) owner.jobs.erase(id);
  MarkEndsStored(owner, pending.ends, context);
  for (const auto& [number, completed] : pending.waves) {
    owner.host_manager.waves[number].completion_stored = completed;
  }
}

void HandleCommitFailure(Owner& owner, PendingCommit pending) {
  // The jobs that are put back may be stored in any order.
  for (UnstoredEnd& end : pending.ends) {
    end.changes_end = owner.changed_jobs.FirstPosition();
  }
  for (const auto& [id, row] : pending.jobs) {
    owner.changed_jobs.PutFirst(id);
    auto it = owner.jobs.find(id);
    if (it == owner.jobs.end()) continue;
    if (row.has_tasks) it->second.tasks_in_job_row = true;
  }
  // The commit may take effect all the same.
  for (const TaskRowWrite& row : pending.task_rows) {
    auto it = owner.jobs.find(row.job);
    if (it != owner.jobs.end()) it->second.task_rows[row.tasks] = 0;
  }
  owner.unstored_ends.insert(owner.unstored_ends.begin(), pending.ends.begin(),
                             pending.ends.end());
  for (const auto& [number, completed] : pending.waves) {
    owner.host_manager.waves[number].progress_stored = false;
  }
}

}  // namespace

bool MayCommit(const Owner& owner, Instant now) {
  return !owner.pending_commit.has_value() && owner.next_commit <= now &&
         owner.progress_loaded;
}

void CommitChanges(Owner& owner, Context& context, bool sweep) {
  if (!MayCommit(owner, context.time.now)) return;
  PendingCommit pending;
  CommitRows commit;
  std::vector<std::pair<std::int64_t, std::string>> incomplete_jobs;
  // A job takes two rows at least if its tasks have rows of their own.
  while (!owner.changed_jobs.empty() &&
         commit.writes.size() + 1 < kMaxCommitRows) {
    const std::int64_t position = owner.changed_jobs.FirstPosition();
    auto it = owner.jobs.find(owner.changed_jobs.TakeFirst());
    if (it == owner.jobs.end()) continue;
    if (!AddJobRows(owner, it->second, pending, commit, context)) {
      incomplete_jobs.emplace_back(position, it->first);
    }
  }
  for (const auto& [position, id] : incomplete_jobs) {
    owner.changed_jobs.PutBack(id, position);
  }
  pending.rows_left = owner.changed_jobs.size();
  pending.ends = TakeCoveredEnds(owner);
  AddWaveWrites(owner, pending, commit);
  if (sweep) AddExpiredJobRemovals(owner, pending, commit, context);
  if (commit.writes.empty()) {
    // Ends that changed no row need no commit.
    MarkEndsStored(owner, pending.ends, context);
    return;
  }
  pending.id = context.next_id++;
  pending.sent_at = context.time.now;
  ++owner.commit_sequence;
  commit.id = pending.id;
  owner.commit_timeout =
      std::clamp(owner.commit_timeout, kMinCommitTimeout, kMaxCommitTimeout);
  commit.timeout = owner.commit_timeout;
  commit.conditions = {
      {{Table::kOwner, std::string(kEpochKey)}, owner.epoch_revision},
      {{Table::kProgress, std::string(kCommitKey)}, owner.commit_revision}};
  commit.writes.push_back(
      {{Table::kProgress, std::string(kCommitKey)},
       {{"epoch", owner.epoch}, {"sequence", owner.commit_sequence}}});
  owner.pending_commit = std::move(pending);
  context.out.emplace_back(std::move(commit));
}

bool HandleCommitReply(Owner& owner, std::int64_t id, const StoreRows& reply,
                       Context& context) {
  if (HandleWaveRowReply(owner, id, reply.status, context)) return true;
  if (!owner.pending_commit.has_value() || owner.pending_commit->id != id) {
    return false;
  }
  PendingCommit pending = *std::move(owner.pending_commit);
  owner.pending_commit.reset();
  if (reply.status == StoreStatus::kOk) {
    RecordCommit(owner.load, pending.jobs.size(), pending.rows_left,
                 context.time.now - pending.sent_at);
    owner.commit_revision = reply.revision;
    const bool full = pending.rows_left > 0;
    owner.next_commit =
        full ? context.time.now : context.time.now + kMinCommitInterval;
    owner.commit_timeout =
        kCommitTimeoutFactor * (context.time.now - pending.sent_at);
    HandleCommitSuccess(owner, pending, context);
    return true;
  }
  HandleCommitFailure(owner, std::move(pending));
  const bool unanswered = reply.status == StoreStatus::kUnknown;
  if (unanswered) owner.commit_timeout *= 2;
  owner.next_commit =
      context.time.now + (unanswered ? kMinCommitInterval : kCommitRetryDelay);
  if (reply.status != StoreStatus::kConflict) return true;
  for (const Row& row : reply.rows) {
    if (row.key == kCommitKey) owner.commit_revision = row.revision;
    if (row.key == kEpochKey && row.revision != owner.epoch_revision) {
      owner.fenced = true;
      Log(context, Severity::kWarn, "owner_replaced",
          {{"epoch", std::to_string(owner.epoch)},
           {"by_revision", std::to_string(row.revision)}});
    }
  }
  return true;
}

}  // namespace hyssopbarrow::fleet
