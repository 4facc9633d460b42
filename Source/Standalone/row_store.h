#ifndef HYSSOPBARROW_STANDALONE_ROW_STORE_H_
#define HYSSOPBARROW_STANDALONE_ROW_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "Policy/fleet_effects.h"

namespace hyssopbarrow::fleet {

/// Stand-in for the project's own tables in the platform's store: rows with
/// revisions, conditional commits and the history of the latest
/// changes.
class RowStore {
 public:
  StoreRows Read(const ReadRows& request) const;

  /// The rows of a table that have changed after the revision of `request`;
  /// `history_lost` if that is too long ago.
  StoreRows ChangesAfter(const WatchRows& request) const;

  /// Takes effect whole or, when a condition does not hold, not at all; the
  /// reply then has the rows that the conditions name.
  StoreRows Commit(const CommitRows& commit);

  /// The row; null if it is absent.
  const Row* Find(const RowRef& ref) const;

  std::int64_t revision() const { return revision_; }

 private:
  std::map<RowRef, Row> rows_;
  std::deque<std::pair<RowRef, Row>> changes_;
  std::int64_t last_dropped_revision_ =
      0;  ///< Revision of the last change dropped.
  std::int64_t revision_ = 0;
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_STANDALONE_ROW_STORE_H_
