#ifndef HYSSOPBARROW_STANDALONE_TABLE_H_
#define HYSSOPBARROW_STANDALONE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Model/row.h"

namespace hyssopbarrow {

/// In-memory replacement for the platform's transactional table.
class Table {
 public:
  /// Rows whose key starts with `prefix`, in order of their keys.
  std::vector<Row> Read(std::string_view prefix) const;

  /// Applies all writes and returns kOk if every condition holds; otherwise
  /// applies none and returns kConflict with the rows that differ.
  StoreReply Commit(const Transaction& transaction);

 private:
  std::map<std::string, Row, std::less<>> rows_;
  std::int64_t revision_ = 0;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_STANDALONE_TABLE_H_
