#ifndef HYSSOPBARROW_MODEL_ROW_H_
#define HYSSOPBARROW_MODEL_ROW_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace hyssopbarrow {

/// One row of the platform's transactional table.
struct Row {
  std::string key;
  nlohmann::json value;
  /// Increases with each write of the row; 0 if the row does not exist.
  std::int64_t revision = 0;

  friend bool operator==(const Row&, const Row&) = default;
};

/// Requires that a row still has the revision that was read; 0 requires that it
/// does not exist.
struct RowCondition {
  std::string key;
  std::int64_t revision = 0;

  friend bool operator==(const RowCondition&, const RowCondition&) = default;
};

/// New value of a row; a null value deletes it.
struct RowWrite {
  std::string key;
  nlohmann::json value;

  friend bool operator==(const RowWrite&, const RowWrite&) = default;
};

/// Writes that are applied atomically if every condition holds.
struct Transaction {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;

  friend bool operator==(const Transaction&, const Transaction&) = default;
};

/// Result of a request to the store.
enum class StoreStatus {
  kOk,           ///< Rows were read, or the transaction committed.
  kConflict,     ///< A condition did not hold; nothing was written.
  kUnavailable,  ///< Nothing was written: not sent, or refused by the store.
  kUnknown,      ///< No reply: the transaction may have committed.
  kInvalid,      ///< Nothing was written: the store takes no such transaction.
};

/// Reply of the store. `rows` has the rows read if a read returned kOk, and the
/// current rows whose conditions failed if a commit returned kConflict.
struct StoreReply {
  StoreStatus status = StoreStatus::kUnavailable;
  std::vector<Row> rows;
  /// Revision assigned to all rows of a committed transaction.
  std::int64_t revision = 0;

  friend bool operator==(const StoreReply&, const StoreReply&) = default;
};

nlohmann::json ToJson(const Transaction& transaction);
nlohmann::json ToJson(const Row& row);

/// Errors: kInvalidArgument naming the field that is missing or has a wrong
/// type.
absl::StatusOr<Transaction> ParseTransaction(const nlohmann::json& json);

/// Errors: kInvalidArgument naming the field that is missing or has a wrong
/// type.
absl::StatusOr<std::vector<Row>> ParseRows(const nlohmann::json& json);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_MODEL_ROW_H_
