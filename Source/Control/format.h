#ifndef HYSSOPBARROW_CONTROL_FORMAT_H_
#define HYSSOPBARROW_CONTROL_FORMAT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hyssopbarrow {

/// Formats rows of the operator interface, {"kind", "name", "revision",
/// "value"}, as a table: one line for each row and one column for each field of
/// the values, in alphabetical order.
std::string FormatRows(const std::vector<nlohmann::json>& rows);

/// Pads the cells to the width of their columns.
std::string FormatColumns(const std::vector<std::vector<std::string>>& lines);

/// A string without quotes; any other value as JSON.
std::string FormatValue(const nlohmann::json& value);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_CONTROL_FORMAT_H_
