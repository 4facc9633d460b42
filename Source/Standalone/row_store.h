#ifndef HYSSOPBARROW_STANDALONE_ROW_STORE_H_
#define HYSSOPBARROW_STANDALONE_ROW_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "Policy/fleet_effects.h"

namespace hyssopbarrow::fleet {

/// What the store takes in a row and in a commit. The defaults are those of the
/// platform.
struct StoreLimits {
  std::size_t max_row_bytes = 65'536;        ///< Of a value.
  std::size_t max_commit_bytes = 1'000'000;  ///< As sent.
  std::size_t max_entries = 100;             ///< Conditions and writes.
};

/// In-memory replacement for hyssopbarrow's tables in the platform's store:
/// rows with revisions, conditional commits and a bounded history of changes.
class RowStore {
 public:
  explicit RowStore(const StoreLimits& limits = {}) : limits_(limits) {}

  void SetLimits(const StoreLimits& limits) { limits_ = limits; }

  StoreRows Read(const ReadRows& request) const;

  /// Rows of the table that changed after the revision of `request`.
  /// `history_lost` is set if some of those changes were already dropped.
  StoreRows ChangesAfter(const WatchRows& request) const;

  /// Applies all writes if every condition holds. Otherwise applies none and
  /// returns kConflict with the rows that the conditions name, or kInvalid if
  /// the commit exceeds a limit.
  StoreRows Commit(const CommitRows& commit);

  /// Returns null if the row does not exist.
  const Row* Find(const RowRef& ref) const;

  std::int64_t revision() const { return revision_; }
  /// Size of the largest value that a commit has offered.
  std::size_t largest_row_bytes() const { return largest_row_bytes_; }

 private:
  bool Takes(const CommitRows& commit);

  StoreLimits limits_;
  std::size_t largest_row_bytes_ = 0;
  std::map<RowRef, Row> rows_;
  std::deque<std::pair<RowRef, Row>> changes_;
  std::int64_t last_dropped_revision_ = 0;  ///< Of `changes_`.
  std::int64_t revision_ = 0;
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_STANDALONE_ROW_STORE_H_
