#include "Standalone/row_store.h"

#include <algorithm>
#include <cstddef>

#include "Model/cbor.h"

namespace hyssopbarrow::fleet {
namespace {

/// Limit on the change history; takes a few megabytes.
constexpr std::size_t kMaxKeptChanges = 20'000;

/// Names around the key and value of an entry.
constexpr std::size_t kEntryBytes = 64;

std::size_t Base64Size(std::size_t size) { return (size + 2) / 3 * 4; }

/// Progress is stored in CBOR, everything else in JSON.
std::size_t ValueSize(const RowRef& ref, const nlohmann::json& value) {
  return ref.table == Table::kProgress ? CborSize(value) : value.dump().size();
}

}  // namespace

StoreRows RowStore::Read(const ReadRows& request) const {
  StoreRows out{.status = StoreStatus::kOk};
  out.revision = revision_;
  for (const auto& [ref, row] : rows_) {
    const bool in_range = ref.table == request.table &&
                          ref.key >= request.first &&
                          (request.end.empty() || ref.key < request.end);
    if (in_range) out.rows.push_back(row);
  }
  return out;
}

StoreRows RowStore::ChangesAfter(const WatchRows& request) const {
  StoreRows out{.status = StoreStatus::kOk};
  out.revision = revision_;
  out.history_lost = request.revision < last_dropped_revision_;
  const auto first = std::partition_point(
      changes_.begin(), changes_.end(), [&](const auto& change) {
        return change.second.revision <= request.revision;
      });
  for (auto it = first; it != changes_.end(); ++it) {
    if (it->first.table == request.table) out.rows.push_back(it->second);
  }
  return out;
}

StoreRows RowStore::Commit(const CommitRows& commit) {
  StoreRows out;
  if (!Takes(commit)) {
    out.status = StoreStatus::kInvalid;
    return out;
  }
  for (const auto& [ref, expected] : commit.conditions) {
    const Row* row = Find(ref);
    if ((row == nullptr ? 0 : row->revision) == expected) continue;
    out.status = StoreStatus::kConflict;
    for (const auto& [other, revision] : commit.conditions) {
      if (const Row* present = Find(other)) out.rows.push_back(*present);
    }
    return out;
  }
  ++revision_;
  for (const auto& [ref, value] : commit.writes) {
    const Row row{.key = ref.key, .value = value, .revision = revision_};
    changes_.emplace_back(ref, row);
    if (value.is_null()) {
      rows_.erase(ref);
    } else {
      rows_[ref] = row;
    }
  }
  while (changes_.size() > kMaxKeptChanges) {
    last_dropped_revision_ = changes_.front().second.revision;
    changes_.pop_front();
  }
  out.status = StoreStatus::kOk;
  out.revision = revision_;
  return out;
}

bool RowStore::Takes(const CommitRows& commit) {
  std::size_t bytes = kEntryBytes * commit.conditions.size();
  for (const auto& [ref, value] : commit.writes) {
    std::size_t size = 0;
    if (!value.is_null()) size = ValueSize(ref, value);
    largest_row_bytes_ = std::max(largest_row_bytes_, size);
    if (size > limits_.max_row_bytes) return false;
    bytes += kEntryBytes + ref.key.size() + Base64Size(size);
  }
  return bytes <= limits_.max_commit_bytes &&
         commit.conditions.size() + commit.writes.size() <= limits_.max_entries;
}

const Row* RowStore::Find(const RowRef& ref) const {
  auto it = rows_.find(ref);
  return it == rows_.end() ? nullptr : &it->second;
}

}  // namespace hyssopbarrow::fleet
