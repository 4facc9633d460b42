#include "Policy/owner_commits.h"

#include <algorithm>
#include <utility>

#include "Model/text.h"
#include "Policy/owner_runs.h"
#include "Policy/placement.h"
#include "Policy/steward.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// Rows of one commit; the store takes 100 entries.
constexpr std::size_t kCommitRows = 80;
/// Lets ends that arrive together share a commit.
constexpr Duration kCommitGap = milliseconds(8);
constexpr Duration kCommitRetry = milliseconds(100);
/// A commit without answer holds up all starts, so it is given up after some
/// times what commits take, and sent again with what has changed since.
constexpr Duration kShortestCommitTimeout = milliseconds(150);
constexpr Duration kLongestCommitTimeout = milliseconds(1000);
constexpr int kCommitTimeoutFactor = 5;
/// Longest time for which jobs are kept beyond what callers are promised.
constexpr Duration kRowSlack = milliseconds(30'000);

/// Runs of a job that wait for its row to be stored.
void CollectStarts(const Owner& owner, Job& job, OpenCommit& open) {
  ForEachTask(job, [&](const TaskName& name, const Task& task) {
    for (const Sent& it : task.sent) {
      const auto& runs = owner.targets.at(it.target).runs;
      const auto run = runs.find(name);
      const bool waits =
          run != runs.end() && run->second.phase == RunPhase::kPlanned;
      if (waits) open.starts.emplace_back(name, it);
    }
  });
}

/// Orders the starts whose rows are stored now.
void OrderStarts(Owner& owner, const OpenCommit& open, Context& context) {
  for (const auto& [name, sent] : open.starts) {
    auto target = owner.targets.find(sent.target);
    if (target == owner.targets.end()) continue;
    auto run = target->second.runs.find(name);
    const bool valid = run != target->second.runs.end() &&
                       run->second.number == sent.run &&
                       run->second.phase == RunPhase::kPlanned;
    if (!valid) continue;
    const bool usable = MayOrder(owner, context.at.now) &&
                        IsUsable(target->second, context.at.now);
    if (!usable) {
      DropRun(owner, target->second, name);
      continue;
    }
    run->second.phase = RunPhase::kOrdered;
    SendStart(owner, target->second, name, context);
    if (target->second.open_hold == 0) {
      target->second.next_hold = context.at.now;
    }
  }
}

/// Notes that the effect of ends is stored, so that they may be acknowledged.
void StoreEnds(Owner& owner, const OpenCommit& open, const Context& context) {
  for (const auto& [id, number] : open.ends) {
    auto it = owner.targets.find(id);
    if (it == owner.targets.end() || it->second.ends_stored >= number) continue;
    it->second.ends_stored = number;
    it->second.next_hold = context.at.now;
  }
}

void CommitWaves(Owner& owner, OpenCommit& open, CommitRows& commit) {
  for (auto& [number, view] : owner.steward.waves) {
    if (view.stored) continue;
    const std::string key = StrCat(kWavePrefix, number);
    commit.writes.push_back({{Table::kProgress, key},
                             {{"done", view.done}, {"seen_ms", view.seen_ms}}});
    open.waves[number] = view.completed;
    view.stored = true;
  }
}

void RemoveExpired(Owner& owner, OpenCommit& open, CommitRows& commit,
                   Context& context) {
  const Duration kept = context.terms.state_kept + kRowSlack;
  for (const auto& [id, job] : owner.jobs) {
    if (commit.writes.size() + 3 > kCommitRows) return;
    const bool expired =
        job.final_stored && job.final_at + kept < context.at.now;
    if (!expired) continue;
    open.removed.push_back(id);
    commit.writes.push_back({{Table::kJobs, id}, nullptr});
    commit.writes.push_back(
        {{Table::kJobs, StrCat(id, kCancelSuffix)}, nullptr});
    commit.writes.push_back({{Table::kProgress, id}, nullptr});
  }
}

void Committed(Owner& owner, const OpenCommit& open, Context& context) {
  for (const auto& [id, final] : open.jobs) {
    auto it = owner.jobs.find(id);
    if (it != owner.jobs.end() && final) it->second.final_stored = true;
  }
  OrderStarts(owner, open, context);
  for (const std::string& id : open.removed) owner.jobs.erase(id);
  StoreEnds(owner, open, context);
  for (const auto& [number, completed] : open.waves) {
    owner.steward.waves[number].completion_stored = completed;
  }
}

void Uncommitted(Owner& owner, const OpenCommit& open) {
  for (const auto& [id, final] : open.jobs) owner.changed_jobs.insert(id);
  for (const auto& [number, completed] : open.waves) {
    owner.steward.waves[number].stored = false;
  }
}

}  // namespace

bool MayCommit(const Owner& owner, Instant now) {
  return !owner.commit.has_value() && owner.next_commit <= now &&
         owner.progress_loaded;
}

void CommitChanges(Owner& owner, Context& context, bool sweep) {
  if (!MayCommit(owner, context.at.now)) return;
  OpenCommit open;
  CommitRows commit;
  while (!owner.changed_jobs.empty() && commit.writes.size() < kCommitRows) {
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
      open.ends[id] = target.ends_seen;
    }
  }
  CommitWaves(owner, open, commit);
  if (sweep) RemoveExpired(owner, open, commit, context);
  if (commit.writes.empty()) {
    // Ends that changed nothing need no row.
    StoreEnds(owner, open, context);
    return;
  }
  open.id = context.next_id++;
  open.sent_at = context.at.now;
  ++owner.commit_sequence;
  commit.id = open.id;
  owner.commit_timeout = std::clamp(
      owner.commit_timeout, kShortestCommitTimeout, kLongestCommitTimeout);
  commit.timeout = owner.commit_timeout;
  commit.conditions = {
      {{Table::kOwner, std::string(kEpochKey)}, owner.epoch_revision},
      {{Table::kProgress, std::string(kCommitKey)}, owner.commit_revision}};
  commit.writes.push_back(
      {{Table::kProgress, std::string(kCommitKey)},
       {{"epoch", owner.epoch}, {"sequence", owner.commit_sequence}}});
  owner.commit = std::move(open);
  context.out.emplace_back(std::move(commit));
}

bool TakeCommitReply(Owner& owner, std::int64_t id, const StoreRows& reply,
                     Context& context) {
  if (TakeWaveWrite(owner, id, reply.status, context)) return true;
  if (!owner.commit.has_value() || owner.commit->id != id) return false;
  const OpenCommit open = *std::move(owner.commit);
  owner.commit.reset();
  if (reply.status == StoreStatus::kOk) {
    owner.commit_revision = reply.revision;
    owner.next_commit = context.at.now + kCommitGap;
    owner.commit_timeout =
        kCommitTimeoutFactor * (context.at.now - open.sent_at);
    Committed(owner, open, context);
    return true;
  }
  Uncommitted(owner, open);
  const bool unanswered = reply.status == StoreStatus::kUnknown;
  if (unanswered) owner.commit_timeout *= 2;
  owner.next_commit = context.at.now + (unanswered ? kCommitGap : kCommitRetry);
  if (reply.status != StoreStatus::kConflict) return true;
  for (const Row& row : reply.rows) {
    if (row.key == kCommitKey) owner.commit_revision = row.revision;
    if (row.key == kEpochKey && row.revision != owner.epoch_revision) {
      owner.fenced = true;
      Note(context, Severity::kWarn, "owner_replaced",
           {{"epoch", std::to_string(owner.epoch)},
            {"by_revision", std::to_string(row.revision)}});
    }
  }
  return true;
}

}  // namespace hyssopbarrow::fleet
