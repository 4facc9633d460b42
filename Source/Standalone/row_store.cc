#include "Standalone/row_store.h"

#include <algorithm>
#include <cstddef>

namespace hyssopbarrow::fleet {
namespace {

constexpr std::size_t kKeptChanges = 20'000;  ///< A few megabytes.

}  // namespace

StoreRows RowStore::Read(const ReadRows& request) const {
  StoreRows out{.status = StoreStatus::kOk};
  out.revision = revision_;
  for (const auto& [ref, row] : rows_) {
    const bool inside = ref.table == request.table &&
                        ref.key >= request.first &&
                        (request.end.empty() || ref.key < request.end);
    if (inside) out.rows.push_back(row);
  }
  return out;
}

StoreRows RowStore::ChangesAfter(const WatchRows& request) const {
  StoreRows out{.status = StoreStatus::kOk};
  out.revision = revision_;
  out.history_lost = request.revision < last_dropped_revision_;
  const auto first = std::partition_point(
      changes_.begin(), changes_.end(),
      [&](const auto& it) { return it.second.revision <= request.revision; });
  for (auto it = first; it != changes_.end(); ++it) {
    if (it->first.table == request.table) out.rows.push_back(it->second);
  }
  return out;
}

StoreRows RowStore::Commit(const CommitRows& commit) {
  StoreRows out;
  for (const auto& [ref, wanted] : commit.conditions) {
    const Row* row = Find(ref);
    if ((row == nullptr ? 0 : row->revision) == wanted) continue;
    out.status = StoreStatus::kConflict;
    for (const auto& [other, revision] : commit.conditions) {
      if (const Row* it = Find(other)) out.rows.push_back(*it);
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
  while (changes_.size() > kKeptChanges) {
    last_dropped_revision_ = changes_.front().second.revision;
    changes_.pop_front();
  }
  out.status = StoreStatus::kOk;
  out.revision = revision_;
  return out;
}

const Row* RowStore::Find(const RowRef& ref) const {
  auto it = rows_.find(ref);
  return it == rows_.end() ? nullptr : &it->second;
}

}  // namespace hyssopbarrow::fleet
