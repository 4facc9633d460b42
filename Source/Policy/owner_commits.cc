#include "Policy/owner_commits.h"

#include <algorithm>
#include <utility>

#include "Model/text.h"
#include "Policy/host_manager.h"
#include "Policy/owner_runs.h"
#include "Policy/placement.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// Rows of one commit; the store takes 100 entries.
constexpr std::size_t kMaxCommitRows = 80;
/// Lets ends that arrive together share a commit.
constexpr Duration kMinCommitInterval = milliseconds(8);
constexpr Duration kCommitRetryDelay = milliseconds(100);
/// A commit without answer holds up all starts, so it is given up after some
/// times what commits take, and sent again with what has changed since.
constexpr Duration kMinCommitTimeout = milliseconds(150);
constexpr Duration kMaxCommitTimeout = milliseconds(1000);
constexpr int kCommitTimeoutFactor = 5;
/// Longest time for which jobs are kept beyond what callers are promised.
constexpr Duration kRetentionMargin = milliseconds(30'000);

/// Runs of a job that wait for its row to be stored.
void CollectStarts(const Owner& owner, Job& job, PendingCommit& open) {
  ForEachTask(job, [&](const TaskName& name, const Task& task) {
    for (const Assignment& it : task.assignments) {
      const auto& runs = owner.targets.at(it.target).runs;
      const auto run = runs.find(name);
      const bool waits =
          run != runs.end() && run->second.phase == RunPhase::kPlanned;
      if (waits) open.starts_to_send.emplace_back(name, it);
    }
  });
}

/// Orders the starts whose rows are stored now.
void SendStoredStarts(Owner& owner, const PendingCommit& open,
                      Context& context) {
  for (const auto& [name, sent] : open.starts_to_send) {
    auto target = owner.targets.find(sent.target);
    if (target == owner.targets.end()) continue;
    auto run = target->second.runs.find(name);
    const bool valid = run != target->second.runs.end() &&
                       run->second.number == sent.run &&
                       run->second.phase == RunPhase::kPlanned;
    if (!valid) continue;
    const bool usable = MaySendTargetRequests(owner, context.time.now) &&
                        IsUsable(target->second, context.time.now);
    if (!usable) {
      DropRun(owner, target->second, name);
      continue;
    }
    run->second.phase = RunPhase::kStarting;
    SendStart(owner, target->second, name, context);
    if (target->second.pending_poll == 0) {
      target->second.next_poll = context.time.now;
    }
  }
}

/// Notes that the effect of ends is stored, so that they may be acknowledged.
void MarkEndsStored(Owner& owner, const PendingCommit& open,
                    const Context& context) {
  for (const auto& [id, number] : open.ends) {
    auto it = owner.targets.find(id);
    if (it == owner.targets.end() || it->second.last_end_stored >= number)
      continue;
    it->second.last_end_stored = number;
    it->second.next_poll = context.time.now;
  }
}

void AddWaveWrites(Owner& owner, PendingCommit& open, CommitRows& commit) {
  for (auto& [number, view] : owner.host_manager.waves) {
    if (view.progress_stored) continue;
    const std::string key = StrCat(kWavePrefix, number);
    commit.writes.push_back(
        {{Table::kProgress, key},
         {{"done", view.done_hosts}, {"seen_ms", view.first_seen_unix_ms}}});
    open.waves[number] = view.completed;
    view.progress_stored = true;
  }
}

void AddExpiredJobRemovals(Owner& owner, PendingCommit& open,
                           CommitRows& commit, Context& context) {
  const Duration kept = context.timing.final_state_retention + kRetentionMargin;
  for (const auto& [id, job] : owner.jobs) {
    if (commit.writes.size() + 3 > kMaxCommitRows) return;
    const bool expired =
        job.final_state_stored && job.finished_at + kept < context.time.now;
    if (!expired) continue;
    open.removed_jobs.push_back(id);
    commit.writes.push_back({{Table::kJobs, id}, nullptr});
    commit.writes.push_back(
        {{Table::kJobs, StrCat(id, kCancelSuffix)}, nullptr});
    commit.writes.push_back({{Table::kProgress, id}, nullptr});
  }
}

void HandleCommitSuccess(Owner& owner, const PendingCommit& open,
                         Context& context) {
  for (const auto& [id, final] : open.jobs) {
    auto it = owner.jobs.find(id);
    if (it != owner.jobs.end() && final) it->second.final_state_stored = true;
  }
  SendStoredStarts(owner, open, context);
  for (const std::string& id : open.removed_jobs) owner.jobs.erase(id);
  MarkEndsStored(owner, open, context);
  for (const auto& [number, completed] : open.waves) {
    owner.host_manager.waves[number].completion_stored = completed;
  }
}

void HandleCommitFailure(Owner& owner, const PendingCommit& open) {
  for (const auto& [id, final] : open.jobs) owner.changed_jobs.insert(id);
  for (const auto& [number, completed] : open.waves) {
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
  PendingCommit open;
  CommitRows commit;
  while (!owner.changed_jobs.empty() && commit.writes.size() < kMaxCommitRows) {
    const std::string id = *owner.changed_jobs.begin();
    owner.changed_jobs.erase(owner.changed_jobs.begin());
    auto it = owner.jobs.find(id);
    if (it == owner.jobs.end()) continue;
    commit.writes.push_back({{Table::kProgress, id}, ProgressRow(it->second)});
    open.jobs[id] = IsFinal(it->second.state);
    CollectStarts(owner, it->second, open);
  }
  if (owner.changed_jobs.empty()) {
    for (const auto& [id, target] : owner.targets) {
      open.ends[id] = target.last_end_processed;
    }
  }
  AddWaveWrites(owner, open, commit);
  if (sweep) AddExpiredJobRemovals(owner, open, commit, context);
  if (commit.writes.empty()) {
    // Ends that changed nothing need no row.
    MarkEndsStored(owner, open, context);
    return;
  }
  open.id = context.next_id++;
  open.sent_at = context.time.now;
  ++owner.commit_sequence;
  commit.id = open.id;
  owner.commit_timeout =
      std::clamp(owner.commit_timeout, kMinCommitTimeout, kMaxCommitTimeout);
  commit.timeout = owner.commit_timeout;
  commit.conditions = {
      {{Table::kOwner, std::string(kEpochKey)}, owner.epoch_revision},
      {{Table::kProgress, std::string(kCommitKey)}, owner.commit_revision}};
  commit.writes.push_back(
      {{Table::kProgress, std::string(kCommitKey)},
       {{"epoch", owner.epoch}, {"sequence", owner.commit_sequence}}});
  owner.pending_commit = std::move(open);
  context.out.emplace_back(std::move(commit));
}

bool HandleCommitReply(Owner& owner, std::int64_t id, const StoreRows& reply,
                       Context& context) {
  if (HandleWaveRowReply(owner, id, reply.status, context)) return true;
  if (!owner.pending_commit.has_value() || owner.pending_commit->id != id)
    return false;
  const PendingCommit open = *std::move(owner.pending_commit);
  owner.pending_commit.reset();
  if (reply.status == StoreStatus::kOk) {
    owner.commit_revision = reply.revision;
    owner.next_commit = context.time.now + kMinCommitInterval;
    owner.commit_timeout =
        kCommitTimeoutFactor * (context.time.now - open.sent_at);
    HandleCommitSuccess(owner, open, context);
    return true;
  }
  HandleCommitFailure(owner, open);
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
