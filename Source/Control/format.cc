#include "Control/format.h"

#include <algorithm>
#include <set>

namespace hyssopbarrow {
namespace {

/// Fields left out of tables because they are long and of little use there.
const std::set<std::string>& HiddenFields() {
  static const std::set<std::string> kHidden = {"digest"};
  return kHidden;
}

std::set<std::string> FieldsOf(const std::vector<nlohmann::json>& rows) {
  std::set<std::string> fields;
  for (const nlohmann::json& row : rows) {
    for (const auto& field : row["value"].items()) fields.insert(field.key());
  }
  for (const std::string& field : HiddenFields()) fields.erase(field);
  return fields;
}

}  // namespace

std::string FormatValue(const nlohmann::json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string FormatColumns(const std::vector<std::vector<std::string>>& lines) {
  std::vector<std::size_t> widths;
  for (const auto& line : lines) {
    widths.resize(std::max(widths.size(), line.size()));
    for (std::size_t n = 0; n < line.size(); ++n) {
      widths[n] = std::max(widths[n], line[n].size());
    }
  }
  std::string text;
  for (const auto& line : lines) {
    for (std::size_t n = 0; n < line.size(); ++n) {
      text += line[n];
      const bool last = n + 1 == line.size();
      text += last ? "\n" : std::string(widths[n] - line[n].size() + 2, ' ');
    }
  }
  return text;
}

std::string FormatRows(const std::vector<nlohmann::json>& rows) {
  const std::set<std::string> fields = FieldsOf(rows);
  std::vector<std::vector<std::string>> lines = {{"name"}};
  lines[0].insert(lines[0].end(), fields.begin(), fields.end());
  lines[0].emplace_back("revision");
  for (const nlohmann::json& row : rows) {
    std::vector<std::string> line = {FormatValue(row["name"])};
    for (const std::string& field : fields) {
      const bool present = row["value"].contains(field);
      line.push_back(present ? FormatValue(row["value"][field]) : "-");
    }
    line.push_back(row["revision"].dump());
    lines.push_back(std::move(line));
  }
  return FormatColumns(lines);
}

}  // namespace hyssopbarrow
