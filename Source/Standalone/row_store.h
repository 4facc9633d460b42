#ifndef HYSSOPBARROW_STANDALONE_ROW_STORE_H_
#define HYSSOPBARROW_STANDALONE_ROW_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "Policy/fleet_effects.h"

namespace hyssopbarrow::fleet {

/// In-memory replacement for hyssopbarrow's tables in the platform's store:
/// rows with revisions, conditional commits and a bounded history of changes.
class RowStore {
 public:
  StoreRows Read(const ReadRows& request) const;

  /// Rows of the table that changed after the revision of `request`.
  /// `history_lost` is set if some of those changes were already dropped.
  StoreRows ChangesAfter(const WatchRows& request) const;

  /// Applies all writes if every condition holds. Otherwise applies none and
  /// returns kConflict with the rows that the conditions name.
  StoreRows Commit(const CommitRows& commit);

  /// Returns null if the row does not exist.
  const Row* Find(const RowRef& ref) const;

  std::int64_t revision() const { return revision_; }

 private:
  std::map<RowRef, Row> rows_;
  std::deque<std::pair<RowRef, Row>> changes_;
  std::int64_t last_dropped_revision_ = 0;  ///< Of `changes_`.
  std::int64_t revision_ = 0;
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_STANDALONE_ROW_STORE_H_
