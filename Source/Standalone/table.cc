#include "Standalone/table.h"

namespace hyssopbarrow {

std::vector<Row> Table::Read(std::string_view prefix) const {
  std::vector<Row> rows;
  for (auto it = rows_.lower_bound(prefix); it != rows_.end(); ++it) {
    if (!it->first.starts_with(prefix)) break;
    rows.push_back(it->second);
  }
  return rows;
}

StoreReply Table::Commit(const Transaction& transaction) {
  StoreReply reply{.status = StoreStatus::kOk, .rows = {}, .revision = 0};
  for (const RowCondition& condition : transaction.conditions) {
    auto row = rows_.find(condition.key);
    const std::int64_t present = row == rows_.end() ? 0 : row->second.revision;
    if (present == condition.revision) continue;
    reply.status = StoreStatus::kConflict;
    reply.rows.push_back(row == rows_.end() ? Row{condition.key, nullptr, 0}
                                            : row->second);
  }
  if (reply.status == StoreStatus::kConflict) return reply;
  reply.revision = ++revision_;
  for (const RowWrite& write : transaction.writes) {
    if (write.value.is_null()) {
      rows_.erase(write.key);
    } else {
      rows_[write.key] = {write.key, write.value, revision_};
    }
  }
  return reply;
}

}  // namespace hyssopbarrow
