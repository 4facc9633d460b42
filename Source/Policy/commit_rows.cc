#include "Policy/commit_rows.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

#include "Model/cbor.h"
#include "Model/text.h"
#include "Policy/progress_rows.h"
#include "Policy/row_sizes.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// Of a commit as it is sent; the store takes 1 MB.
constexpr std::int64_t kMaxCommitBytes = 900'000;
/// Names of a row in a commit: those of fields, its table, part and key.
constexpr std::int64_t kRowReferenceBytes = 300;
/// How long the rows of a job stay out of the commits after a refusal.
constexpr Duration kIsolatedRetryInterval = milliseconds(2000);
/// A new owner that begins with a summary of this age has lost little.
constexpr Duration kRunTimesWriteInterval = milliseconds(10'000);
/// Room for about 40 images.
constexpr std::int64_t kMaxRunTimesBytes = 16 << 10;
/// Of one job, so that a job with many tasks does not hold up others.
constexpr std::size_t kMaxJobRows = 40;

/// Leaves room for several rows in a commit, however large the store takes
/// them.
std::int64_t MaxRowBytes(const Context& context) {
  return std::min(context.timing.max_row_bytes, kMaxCommitBytes / 4);
}

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

/// Size of a row in a commit, where values are in base64.
std::int64_t SentSize(std::int64_t value_bytes) {
  return (value_bytes + 2) / 3 * 4 + kRowReferenceBytes;
}

bool HasRoom(const Draft& draft, std::int64_t sent_bytes) {
  return draft.bytes + sent_bytes <= kMaxCommitBytes;
}

void AddWrite(Draft& draft, std::string key, nlohmann::json value,
              std::int64_t bytes) {
  draft.bytes += SentSize(bytes);
  if (bytes > draft.pending.largest_bytes) {
    draft.pending.largest_bytes = bytes;
    draft.pending.largest_key = key;
  }
  draft.commit.writes.emplace_back(RowRef{Table::kProgress, std::move(key)},
                                   std::move(value));
}

std::int64_t SizeOf(const nlohmann::json& value) {
  return static_cast<std::int64_t>(CborSize(value));
}

/// Appends the rows of a job, in `added`, to a commit.
void MoveInto(Draft& draft, Draft added) {
  const auto append = [](auto& to, auto& from) {
    to.insert(to.end(), std::make_move_iterator(from.begin()),
              std::make_move_iterator(from.end()));
  };
  append(draft.commit.writes, added.commit.writes);
  append(draft.pending.task_rows, added.pending.task_rows);
  append(draft.pending.starts_to_send, added.pending.starts_to_send);
  if (added.pending.largest_bytes > draft.pending.largest_bytes) {
    draft.pending.largest_bytes = added.pending.largest_bytes;
    draft.pending.largest_key = added.pending.largest_key;
  }
  draft.bytes = added.bytes;
}

enum class AddedRows {
  kAll,
  kSome,  ///< The others did not fit.
  kNone   ///< The store would refuse one; the job is isolated.
};

/// Adds rows of a job that differ from those in the store, and the runs that
/// start once these are stored.
AddedRows AddJobRows(Owner& owner, Job& job, Draft& draft, Context& context) {
  const std::string& id = job.record.id;
  const std::int64_t max_row_bytes = MaxRowBytes(context);
  const std::int64_t tasks_per_row = TasksPerRow(job.record, max_row_bytes);
  const TaskRowChanges changes = FindTaskRowChanges(job, tasks_per_row);
  Draft added = {.bytes = draft.bytes};
  const std::size_t max_rows =
      std::min(kMaxJobRows, kMaxCommitRows - draft.commit.writes.size());
  const auto add = [&](const TaskRange& tasks, nlohmann::json value,
                       std::int64_t bytes, std::uint64_t digest) {
    AddWrite(added, StrCat(id, TaskRowSuffix(tasks)), std::move(value), bytes);
    added.pending.task_rows.push_back(
        {.job = id, .tasks = tasks, .digest = digest});
  };
  nlohmann::json job_value = ProgressRow(job, !changes.split);
  const std::int64_t job_bytes = SizeOf(job_value);
  if (job_bytes > max_row_bytes) {
    IsolateJob(owner, id, id, job_bytes, context);
    return AddedRows::kNone;
  }
  if (!HasRoom(added, SentSize(job_bytes))) {
    draft.full = true;
    return AddedRows::kSome;
  }
  std::optional<TaskRange> first_left;
  for (const auto& [tasks, digest] : changes.written) {
    nlohmann::json value = TaskRow(job, tasks, tasks_per_row);
    const std::int64_t bytes = SizeOf(value);
    if (bytes > max_row_bytes) {
      IsolateJob(owner, id, StrCat(id, TaskRowSuffix(tasks)), bytes, context);
      return AddedRows::kNone;
    }
    // Leaves room for the row of the job.
    draft.full = !HasRoom(added, SentSize(bytes) + SentSize(job_bytes));
    if (draft.full || added.commit.writes.size() + 1 >= max_rows) {
      first_left = tasks;
      break;
    }
    add(tasks, std::move(value), bytes, digest);
  }
  CollectStarts(owner, job, first_left, added.pending);
  JobRowWrite& job_row = draft.pending.jobs[id];
  // The row of the job may be the only one with the progress of tasks whose
  // rows are left.
  const bool writes_job_row = !first_left.has_value() || !job.tasks_in_job_row;
  if (writes_job_row) {
    AddWrite(added, id, std::move(job_value), job_bytes);
    job_row = {.written = true,
               .final_state = IsFinal(job.state),
               .has_tasks = !changes.split && !job.open_occurrences.empty()};
  }
  bool all = !first_left.has_value();
  // A row that says that an occurrence is finished comes before the deletion
  // of those of its tasks.
  for (const TaskRange& tasks : changes.removed) {
    all = all && added.commit.writes.size() < max_rows;
    if (!all) break;
    add(tasks, nullptr, 0, 0);
  }
  MoveInto(draft, std::move(added));
  return all ? AddedRows::kAll : AddedRows::kSome;
}

}  // namespace

void RecordRefusedRow(Owner& owner, const std::string& key, std::int64_t bytes,
                      Context& context) {
  ++owner.refused_row_count;
  Log(context, Severity::kError, "row_refused",
      {{"key", key},
       {"bytes", std::to_string(bytes)},
       {"limit", std::to_string(MaxRowBytes(context))}});
}

void IsolateJob(Owner& owner, const std::string& id, const std::string& key,
                std::int64_t bytes, Context& context) {
  owner.isolated_jobs[id] = context.time.now + kIsolatedRetryInterval;
  RecordRefusedRow(owner, key, bytes, context);
}

void AddChangedJobs(Owner& owner, Draft& draft, Context& context) {
  std::vector<std::pair<std::int64_t, std::string>> incomplete_jobs;
  // A job takes two rows at least if its tasks have rows of their own.
  while (!owner.changed_jobs.empty() && !draft.full &&
         draft.commit.writes.size() + 1 < kMaxCommitRows &&
         draft.pending.jobs.size() < owner.commit_job_limit) {
    const std::int64_t position = owner.changed_jobs.FirstPosition();
    auto it = owner.jobs.find(owner.changed_jobs.TakeFirst());
    if (it == owner.jobs.end() || owner.isolated_jobs.contains(it->first)) {
      continue;
    }
    if (AddJobRows(owner, it->second, draft, context) == AddedRows::kSome) {
      incomplete_jobs.emplace_back(position, it->first);
    }
  }
  for (const auto& [position, id] : incomplete_jobs) {
    owner.changed_jobs.PutBack(id, position);
  }
}

bool AddIsolatedJob(Owner& owner, Draft& draft, Context& context) {
  for (auto it = owner.isolated_jobs.begin();
       it != owner.isolated_jobs.end();) {
    const auto isolated = it++;
    if (isolated->second > context.time.now) continue;
    auto job = owner.jobs.find(isolated->first);
    if (job == owner.jobs.end()) {
      owner.isolated_jobs.erase(isolated);
    } else if (AddJobRows(owner, job->second, draft, context) !=
               AddedRows::kNone) {
      return true;
    }
  }
  return false;
}

void AddProgressWrite(Draft& draft, std::string key, nlohmann::json value) {
  const std::int64_t bytes = value.is_null() ? 0 : SizeOf(value);
  AddWrite(draft, std::move(key), std::move(value), bytes);
}

void AddRunTimesWrite(Owner& owner, Draft& draft, Context& context) {
  const bool due = owner.next_run_times_write <= context.time.now &&
                   owner.run_times.ends != owner.run_times_written_at;
  // It waits while the row is sought because of which the store refused a
  // commit, which is one of a job or a wave.
  const bool has_place = owner.commit_job_limit == kMaxCommitRows &&
                         draft.commit.writes.size() < kMaxCommitRows;
  if (!due || !has_place) return;
  nlohmann::json row = RunTimesRow(
      owner.run_times, std::min(kMaxRunTimesBytes, MaxRowBytes(context)));
  const std::int64_t bytes = SizeOf(row);
  if (!HasRoom(draft, SentSize(bytes))) return;
  AddWrite(draft, std::string(kRunTimesKey), std::move(row), bytes);
  owner.next_run_times_write = context.time.now + kRunTimesWriteInterval;
  owner.run_times_written_at = owner.run_times.ends;
}

void AddWaveWrites(Owner& owner, Draft& draft, Context& context) {
  for (auto& [number, view] : owner.host_manager.waves) {
    if (view.progress_stored) continue;
    std::string key = StrCat(kWavePrefix, number);
    nlohmann::json value = {{"done", view.done_hosts},
                            {"seen_ms", view.first_seen_unix_ms}};
    const std::int64_t bytes = SizeOf(value);
    if (bytes > MaxRowBytes(context)) {
      RecordRefusedRow(owner, key, bytes, context);
      view.progress_stored = true;  // Until the wave has changed.
      continue;
    }
    if (!HasRoom(draft, SentSize(bytes))) return;
    AddWrite(draft, std::move(key), std::move(value), bytes);
    draft.pending.waves[number] = view.completed;
    view.progress_stored = true;
  }
}

}  // namespace hyssopbarrow::fleet
