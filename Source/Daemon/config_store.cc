#include "Daemon/config_store.h"

#include <algorithm>
#include <utility>

#include "Model/json.h"
#include "Model/snapshot.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kRequestTimeout = std::chrono::milliseconds(1000);
constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
/// Number of write ids kept in the revision row. They show whether a commit
/// whose reply was lost took effect.
constexpr std::size_t kMaxRecentWrites = 64;

std::string RowKey(const ConfigChange& change) {
  return StrCat(kConfigPrefix, change.kind, "/", change.name);
}

const Row* FindRow(const std::vector<Row>& rows, std::string_view key) {
  auto it = std::find_if(rows.begin(), rows.end(),
                         [&](const Row& row) { return row.key == key; });
  return it == rows.end() ? nullptr : &*it;
}

std::int64_t SnapshotRevision(const Row* row) {
  return row == nullptr ? 0 : IntegerOrZero(row->value, "number");
}

/// Returns the snapshot revision that committed `write_id`, or 0 if it is not
/// among the recent writes.
std::int64_t FindCommittedRevision(const Row* row,
                                   const std::string& write_id) {
  if (row == nullptr || !row->value.contains("recent")) return 0;
  for (const nlohmann::json& write : row->value["recent"]) {
    if (TextOrEmpty(write, "id") == write_id) {
      return IntegerOrZero(write, "number");
    }
  }
  return 0;
}

nlohmann::json NextRevisionValue(const Row* row, const std::string& write_id) {
  const std::int64_t number = SnapshotRevision(row) + 1;
  nlohmann::json recent = nlohmann::json::array();
  recent.push_back({{"id", write_id}, {"number", number}});
  if (row != nullptr && row->value.contains("recent")) {
    for (const nlohmann::json& write : row->value["recent"]) {
      if (recent.size() < kMaxRecentWrites) recent.push_back(write);
    }
  }
  return {{"number", number}, {"recent", recent}};
}

/// Returns the rows as they would be after the writes.
std::vector<Row> ApplyWrites(std::vector<Row> rows,
                             const std::vector<RowWrite>& writes) {
  for (const RowWrite& write : writes) {
    std::erase_if(rows, [&](const Row& row) { return row.key == write.key; });
    if (!write.value.is_null()) rows.push_back({write.key, write.value, 0});
  }
  return rows;
}

ConfigChangeResult MakeFailure(absl::Status status) {
  return {.status = std::move(status), .revision = 0, .conflicts = {}};
}

ConfigChangeResult MakeSuccess(std::int64_t revision) {
  return {.status = absl::OkStatus(), .revision = revision, .conflicts = {}};
}

std::int64_t RevisionOf(const Row* row) {
  return row == nullptr ? 0 : row->revision;
}

/// Returns the changes whose rows do not have the expected revision.
std::vector<ConfigConflict> FindConflicts(const ConfigBatch& batch,
                                          const std::vector<Row>& rows) {
  std::vector<ConfigConflict> conflicts;
  for (const ConfigChange& change : batch.changes) {
    const std::string key = RowKey(change);
    const Row* present = FindRow(rows, key);
    const std::int64_t revision = RevisionOf(present);
    if (change.expected_revision.value_or(revision) == revision) continue;
    conflicts.push_back(
        {change, present == nullptr ? Row{key, nullptr, 0} : *present});
  }
  return conflicts;
}

ConfigChangeResult MakeConflictResult(std::vector<ConfigConflict> conflicts) {
  const ConfigChange& first = conflicts.front().change;
  ConfigChangeResult result = MakeFailure(absl::AbortedError(StrCat(
      first.kind, " '", first.name, "' was changed by another operator")));
  result.conflicts = std::move(conflicts);
  return result;
}

/// Errors: kNotFound if a row to delete does not exist.
absl::Status CheckDeletions(const ConfigBatch& batch,
                            const std::vector<Row>& rows) {
  for (const ConfigChange& change : batch.changes) {
    if (!change.value.is_null() || FindRow(rows, RowKey(change)) != nullptr) {
      continue;
    }
    return absl::NotFoundError(
        StrCat(change.kind, " '", change.name, "' does not exist"));
  }
  return absl::OkStatus();
}

Transaction ToTransaction(const ConfigBatch& batch,
                          const std::vector<Row>& rows) {
  const Row* revision_row = FindRow(rows, kConfigRevisionKey);
  const std::string revision_key(kConfigRevisionKey);
  Transaction transaction{
      .conditions = {{revision_key, RevisionOf(revision_row)}},
      .writes = {
          {revision_key, NextRevisionValue(revision_row, batch.write_id)}}};
  for (const ConfigChange& change : batch.changes) {
    const std::string key = RowKey(change);
    transaction.conditions.push_back({key, RevisionOf(FindRow(rows, key))});
    transaction.writes.push_back({key, change.value});
  }
  return transaction;
}

}  // namespace

struct ConfigStore::Attempt {
  ConfigBatch batch;
  Instant deadline;
  ConfigChangeCallback callback;
  bool maybe_committed = false;  ///< The reply to a commit was lost.
};

void ConfigStore::Apply(const ConfigBatch& batch, Instant deadline,
                        ConfigChangeCallback callback) {
  for (const ConfigChange& change : batch.changes) {
    if (change.value.is_null()) continue;
    absl::Status status =
        CheckConfigRow(change.kind, change.name, change.value);
    if (!status.ok()) return callback(MakeFailure(status));
  }
  ReadThenCommit({batch, deadline, std::move(callback)});
}

void ConfigStore::FailAttempt(const Attempt& attempt, std::string_view why) {
  if (!attempt.maybe_committed) {
    return attempt.callback(
        MakeFailure(absl::UnavailableError(std::string(why))));
  }
  attempt.callback(MakeFailure(absl::UnknownError(
      "the table's reply was lost; the change may take effect")));
}

void ConfigStore::ReadThenCommit(const Attempt& attempt) {
  if (loop_.Now() >= attempt.deadline) {
    return FailAttempt(attempt, "the table did not answer in time");
  }
  const Instant latest =
      std::min(attempt.deadline, loop_.Now() + kRequestTimeout);
  table_.Read(kConfigPrefix, latest, [this, attempt](const StoreReply& reply) {
    if (reply.status == StoreStatus::kOk) return Commit(attempt, reply.rows);
    if (!attempt.maybe_committed) {
      return FailAttempt(attempt, "the table cannot be read");
    }
    loop_.CallAt(loop_.Now() + kRetryDelay,
                 [this, attempt] { ReadThenCommit(attempt); });
  });
}

void ConfigStore::Commit(const Attempt& attempt, const std::vector<Row>& rows) {
  const ConfigBatch& batch = attempt.batch;
  const std::int64_t written =
      FindCommittedRevision(FindRow(rows, kConfigRevisionKey), batch.write_id);
  if (written != 0) return attempt.callback(MakeSuccess(written));
  std::vector<ConfigConflict> conflicts = FindConflicts(batch, rows);
  if (!conflicts.empty()) {
    return attempt.callback(MakeConflictResult(std::move(conflicts)));
  }
  if (absl::Status s = CheckDeletions(batch, rows); !s.ok()) {
    return attempt.callback(MakeFailure(s));
  }
  const Transaction transaction = ToTransaction(batch, rows);
  absl::StatusOr<Snapshot> whole =
      ParseSnapshot(ApplyWrites(rows, transaction.writes));
  if (!whole.ok()) return attempt.callback(MakeFailure(whole.status()));
  const Instant latest =
      std::min(attempt.deadline, loop_.Now() + kRequestTimeout);
  table_.Commit(
      transaction, latest,
      [this, attempt, number = whole->revision](const StoreReply& reply) {
        HandleCommitReply(attempt, number, reply);
      });
}

void ConfigStore::HandleCommitReply(Attempt attempt, std::int64_t number,
                                    const StoreReply& reply) {
  if (reply.status == StoreStatus::kOk) {
    return attempt.callback(MakeSuccess(number));
  }
  if (reply.status == StoreStatus::kUnavailable) {
    return FailAttempt(attempt, "the table cannot be written");
  }
  attempt.maybe_committed =
      attempt.maybe_committed || reply.status == StoreStatus::kUnknown;
  loop_.CallAt(loop_.Now() + kRetryDelay,
               [this, attempt] { ReadThenCommit(attempt); });
}

}  // namespace hyssopbarrow
