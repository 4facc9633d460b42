#include "Policy/owner_commits.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

#include "Model/text.h"
#include "Policy/commit_rows.h"
#include "Policy/host_manager.h"
#include "Policy/host_records.h"
#include "Policy/job_memory.h"
#include "Policy/owner_load.h"
#include "Policy/owner_runs.h"
#include "Policy/placement.h"
#include "Policy/store_keys.h"
#include "Policy/target_polls.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

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
/// have been taken from Owner::changed_jobs. Ends in isolated jobs stay, and so
/// do later ends of the same targets, which acknowledge the earlier ones.
std::deque<UnstoredEnd> TakeCoveredEnds(Owner& owner) {
  const std::int64_t taken = owner.changed_jobs.FirstPosition();
  auto first_uncovered = std::find_if(
      owner.unstored_ends.begin(), owner.unstored_ends.end(),
      [taken](const UnstoredEnd& end) { return end.changes_end > taken; });
  std::deque<UnstoredEnd> covered(
      std::make_move_iterator(owner.unstored_ends.begin()),
      std::make_move_iterator(first_uncovered));
  owner.unstored_ends.erase(owner.unstored_ends.begin(), first_uncovered);
  if (owner.isolated_jobs.empty()) return covered;
  std::set<std::string> held_targets;
  const auto held = std::stable_partition(
      covered.begin(), covered.end(), [&](const UnstoredEnd& end) {
        if (owner.isolated_jobs.contains(end.job)) {
          held_targets.insert(end.target);
        }
        return !held_targets.contains(end.target);
      });
  owner.unstored_ends.insert(owner.unstored_ends.begin(), held, covered.end());
  covered.erase(held, covered.end());
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
    // Other rows of an isolated job, and its ends, wait for the next commit.
    if (owner.isolated_jobs.erase(id) > 0) owner.changed_jobs.PutFirst(id);
    auto it = owner.jobs.find(id);
    if (it == owner.jobs.end() || !row.written) continue;
    it->second.tasks_in_job_row = row.has_tasks;
    if (!row.final_state) continue;
    it->second.final_state_stored = true;
    // Runs that are being stopped are in the views of their targets.
    it->second.open_occurrences.clear();
    CountJobBytes(owner, it->second);
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
  MarkHostRecordsStored(owner, pending);
  SendRecordedHostRequests(owner, context);
  for (const std::string& id : pending.removed_jobs) {
    auto removed = owner.jobs.find(id);
    if (removed == owner.jobs.end()) continue;
    UncountJobBytes(owner, removed->second);
    owner.jobs.erase(removed);
  }
  MarkEndsStored(owner, pending.ends, context);
  for (const auto& [number, completed] : pending.waves) {
    owner.host_manager.waves[number].completion_stored = completed;
  }
}

void HandleCommitFailure(Owner& owner, const PendingCommit& pending) {
  // The jobs that are put back may be stored in any order.
  std::deque<UnstoredEnd> ends = pending.ends;
  for (UnstoredEnd& end : ends) {
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
  owner.unstored_ends.insert(owner.unstored_ends.begin(), ends.begin(),
                             ends.end());
  for (const auto& [number, completed] : pending.waves) {
    owner.host_manager.waves[number].progress_stored = false;
  }
  MarkHostRecordsUnstored(owner, pending);
}

/// Narrows down which row made the store refuse a commit, and isolates its job
/// once it was committed alone.
void HandleRefusedCommit(Owner& owner, const PendingCommit& pending,
                         Context& context) {
  const std::size_t jobs = pending.jobs.size();
  if (jobs > 0 && !pending.waves.empty()) {
    owner.commit_waves_alone = true;
  } else if (jobs > 1) {
    owner.commit_job_limit = jobs / 2;
  } else if (jobs == 1 && !pending.host_records.empty()) {
    owner.commit_job_limit = 1;
  } else if (jobs == 1) {
    IsolateJob(owner, pending.jobs.begin()->first, pending.largest_key,
               pending.largest_bytes, context);
    owner.commit_job_limit = kMaxCommitRows;
  } else if (!pending.waves.empty()) {
    RecordRefusedRow(owner, pending.largest_key, pending.largest_bytes,
                     context);
    for (const auto& [number, completed] : pending.waves) {
      owner.host_manager.waves[number].progress_stored = true;
    }
    owner.commit_waves_alone = false;
  } else if (!pending.host_records.empty()) {
    // Their hosts get no request, and are tried again when one is due.
    RecordRefusedRow(owner, pending.largest_key, pending.largest_bytes,
                     context);
    for (const auto& [host, open] : pending.host_records) {
      owner.host_manager.changed_records.erase(host);
      owner.host_manager.records.erase(host);
    }
  }
}

}  // namespace

bool MayCommit(const Owner& owner, Instant now) {
  return !owner.pending_commit.has_value() && owner.next_commit <= now &&
         owner.progress_loaded;
}

void CommitChanges(Owner& owner, Context& context, bool sweep) {
  if (!MayCommit(owner, context.time.now)) return;
  Draft draft;
  PendingCommit& pending = draft.pending;
  CommitRows& commit = draft.commit;
  if (owner.commit_waves_alone) {
    AddWaveWrites(owner, draft, context);
    owner.commit_waves_alone = !commit.writes.empty();
  }
  const bool alone =
      owner.commit_waves_alone || AddIsolatedJob(owner, draft, context);
  if (!alone) {
    // They are left out while the row is sought because of which the store
    // refused a commit, which is one of a job or a wave.
    if (owner.commit_job_limit == kMaxCommitRows ||
        owner.changed_jobs.empty()) {
      AddHostRecordWrites(owner, draft);
    }
    AddChangedJobs(owner, draft, context);
    pending.ends = TakeCoveredEnds(owner);
    AddWaveWrites(owner, draft, context);
    if (sweep) AddExpiredJobRemovals(owner, pending, commit, context);
    if (!commit.writes.empty()) AddRunTimesWrite(owner, draft, context);
  }
  pending.rows_left = owner.changed_jobs.size();
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
    owner.commit_waves_alone = false;
    owner.commit_job_limit =
        std::min(kMaxCommitRows, 2 * owner.commit_job_limit);
    const bool full = pending.rows_left > 0;
    owner.next_commit =
        full ? context.time.now : context.time.now + kMinCommitInterval;
    owner.commit_timeout =
        kCommitTimeoutFactor * (context.time.now - pending.sent_at);
    HandleCommitSuccess(owner, pending, context);
    return true;
  }
  HandleCommitFailure(owner, pending);
  if (reply.status == StoreStatus::kInvalid) {
    HandleRefusedCommit(owner, pending, context);
    owner.next_commit = context.time.now + kMinCommitInterval;
    return true;
  }
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
