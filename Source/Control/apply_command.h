#ifndef HYSSOPBARROW_CONTROL_APPLY_COMMAND_H_
#define HYSSOPBARROW_CONTROL_APPLY_COMMAND_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace hyssopbarrow {

/// Rows of one kind by name.
using RowsByName = std::map<std::string, nlohmann::json>;

/// Contents of a table file: rows by kind (`team`, `pool`, ...) and name.
using WantedTable = std::map<std::string, RowsByName>;

/// Parses YAML with the sections `teams`, `pools`, `hosts`, `queues` and
/// `keys`, each a map of rows by name. `file` is used in error messages.
///
/// Errors: kInvalidArgument with file, line and what was expected.
absl::StatusOr<WantedTable> ParseWantedTable(const std::string& text,
                                             const std::string& file);

/// Row to create, change or delete.
struct RowDifference {
  std::string kind;
  std::string name;
  nlohmann::json present;     ///< Null if the row does not exist.
  nlohmann::json wanted;      ///< Null if the row is to be deleted.
  std::int64_t revision = 0;  ///< Of the present row; 0 if there is none.

  friend bool operator==(const RowDifference&, const RowDifference&) = default;
};

/// Compares present `rows` of one kind with the wanted ones. Fields missing in
/// `wanted` keep their value; rows missing in it are deleted only with `prune`.
std::vector<RowDifference> CompareRows(const std::string& kind,
                                       const std::vector<nlohmann::json>& rows,
                                       const RowsByName& wanted, bool prune);

/// One line for each created or deleted row (`+`, `-`) and changed field (`~`).
std::string FormatDifferences(const std::vector<RowDifference>& differences);

/// Body of a batch request that applies the differences.
nlohmann::json ToBatch(const std::vector<RowDifference>& differences);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_CONTROL_APPLY_COMMAND_H_
