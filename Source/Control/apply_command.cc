#include "Control/apply_command.h"

#include <yaml-cpp/yaml.h>

#include <utility>

#include "Control/format.h"
#include "Model/json.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

const std::map<std::string, std::string>& KindBySection() {
  static const std::map<std::string, std::string> kKinds = {{"teams", "team"},
                                                            {"pools", "pool"},
                                                            {"hosts", "host"},
                                                            {"queues", "queue"},
                                                            {"keys", "key"}};
  return kKinds;
}

absl::Status ErrorAt(const std::string& file, const YAML::Mark& mark,
                     std::string_view message) {
  return absl::InvalidArgumentError(
      StrCat(file, ":", mark.line + 1, ": ", message));
}

/// An unquoted scalar that parses as a JSON number or boolean becomes that
/// value, all others become strings.
nlohmann::json ScalarToJson(const YAML::Node& node) {
  const bool quoted = node.Tag() == "!";
  if (quoted) return node.Scalar();
  auto json = ParseJson(node.Scalar());
  if (json.is_boolean() || json.is_number()) return json;
  return node.Scalar();
}

nlohmann::json ToJson(const YAML::Node& node) {
  if (node.IsScalar()) return ScalarToJson(node);
  if (node.IsSequence()) {
    nlohmann::json list = nlohmann::json::array();
    for (const YAML::Node& element : node) list.push_back(ToJson(element));
    return list;
  }
  nlohmann::json object = nlohmann::json::object();
  for (const auto& field : node) {
    object[field.first.Scalar()] = ToJson(field.second);
  }
  return object;
}

absl::Status ReadSection(const std::string& file, const YAML::Node& section,
                         RowsByName& rows) {
  if (!section.IsMap()) {
    return ErrorAt(file, section.Mark(), "expected rows by name");
  }
  for (const auto& row : section) {
    if (!row.second.IsMap()) {
      return ErrorAt(file, row.second.Mark(), "expected fields of the row");
    }
    const std::string name = row.first.Scalar();
    if (!rows.emplace(name, ToJson(row.second)).second) {
      return ErrorAt(file, row.first.Mark(),
                     StrCat("'", name, "' is given twice"));
    }
  }
  return absl::OkStatus();
}

absl::Status ReadDocument(const std::string& file, const YAML::Node& root,
                          WantedTable& table) {
  if (!root.IsMap()) return ErrorAt(file, root.Mark(), "expected sections");
  for (const auto& section : root) {
    const std::string name = section.first.Scalar();
    const auto kind = KindBySection().find(name);
    if (kind == KindBySection().end()) {
      return ErrorAt(
          file, section.first.Mark(),
          StrCat("section '", name, "' is not known; expected teams, ",
                 "pools, hosts, queues or keys"));
    }
    absl::Status status =
        ReadSection(file, section.second, table[kind->second]);
    if (!status.ok()) return status;
  }
  return absl::OkStatus();
}

nlohmann::json MergeFields(nlohmann::json present,
                           const nlohmann::json& wanted) {
  present.update(wanted);
  return present;
}

std::string FormatChange(const RowDifference& difference) {
  std::string text;
  for (const auto& field : difference.wanted.items()) {
    const bool was_present = difference.present.contains(field.key());
    const nlohmann::json before =
        was_present ? difference.present[field.key()] : nlohmann::json("-");
    if (was_present && before == field.value()) continue;
    StrAppend(text, "~ ", difference.kind, " ", difference.name, " ",
              field.key(), ": ", FormatValue(before), " -> ",
              FormatValue(field.value()), "\n");
  }
  return text;
}

}  // namespace

absl::StatusOr<WantedTable> ParseWantedTable(const std::string& text,
                                             const std::string& file) {
  WantedTable table;
  try {
    const YAML::Node root = YAML::Load(text);
    if (absl::Status s = ReadDocument(file, root, table); !s.ok()) return s;
  } catch (const YAML::Exception& error) {
    return ErrorAt(file, error.mark, error.msg);
  }
  return table;
}

std::vector<RowDifference> CompareRows(const std::string& kind,
                                       const std::vector<nlohmann::json>& rows,
                                       const RowsByName& wanted, bool prune) {
  std::vector<RowDifference> differences;
  RowsByName missing = wanted;
  for (const nlohmann::json& row : rows) {
    const std::string name = row["name"];
    const std::int64_t revision = row["revision"];
    const auto found = wanted.find(name);
    missing.erase(name);
    if (found == wanted.end()) {
      if (prune) {
        differences.push_back({kind, name, row["value"], nullptr, revision});
      }
      continue;
    }
    nlohmann::json merged = MergeFields(row["value"], found->second);
    if (merged == row["value"]) continue;
    differences.push_back(
        {kind, name, row["value"], std::move(merged), revision});
  }
  for (const auto& [name, value] : missing) {
    differences.push_back({kind, name, nullptr, value, 0});
  }
  return differences;
}

std::string FormatDifferences(const std::vector<RowDifference>& differences) {
  std::string text;
  for (const RowDifference& row : differences) {
    if (row.present.is_null()) {
      StrAppend(text, "+ ", row.kind, " ", row.name, " ", row.wanted.dump(),
                "\n");
    } else if (row.wanted.is_null()) {
      StrAppend(text, "- ", row.kind, " ", row.name, "\n");
    } else {
      text += FormatChange(row);
    }
  }
  return text;
}

nlohmann::json ToBatch(const std::vector<RowDifference>& differences) {
  nlohmann::json changes = nlohmann::json::array();
  for (const RowDifference& row : differences) {
    changes.push_back({{"kind", row.kind},
                       {"name", row.name},
                       {"value", row.wanted},
                       {"revision", row.revision}});
  }
  return {{"changes", changes}};
}

}  // namespace hyssopbarrow
