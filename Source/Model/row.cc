#include "Model/row.h"

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

absl::Status CheckField(const nlohmann::json& json, const char* field,
                        bool expect_integer) {
  if (!json.is_object() || !json.contains(field)) {
    return absl::InvalidArgumentError(StrCat("field '", field, "' is missing"));
  }
  const bool matches = expect_integer ? json[field].is_number_integer()
                                      : json[field].is_string();
  if (!matches) {
    const char* expected = expect_integer ? "an integer" : "a string";
    return absl::InvalidArgumentError(
        StrCat("field '", field, "' must be ", expected));
  }
  return absl::OkStatus();
}

absl::StatusOr<nlohmann::json> FindArray(const nlohmann::json& json,
                                         const char* field) {
  if (!json.is_object() || !json.contains(field) || !json[field].is_array()) {
    return absl::InvalidArgumentError(
        StrCat("field '", field, "' must be a list"));
  }
  return json[field];
}

}  // namespace

nlohmann::json ToJson(const Row& row) {
  return {{"key", row.key}, {"value", row.value}, {"revision", row.revision}};
}

nlohmann::json ToJson(const Transaction& transaction) {
  nlohmann::json conditions = nlohmann::json::array();
  for (const RowCondition& condition : transaction.conditions) {
    conditions.push_back(
        {{"key", condition.key}, {"revision", condition.revision}});
  }
  nlohmann::json writes = nlohmann::json::array();
  for (const RowWrite& write : transaction.writes) {
    writes.push_back({{"key", write.key}, {"value", write.value}});
  }
  return {{"conditions", conditions}, {"writes", writes}};
}

absl::StatusOr<Transaction> ParseTransaction(const nlohmann::json& json) {
  absl::StatusOr<nlohmann::json> conditions = FindArray(json, "conditions");
  if (!conditions.ok()) return conditions.status();
  absl::StatusOr<nlohmann::json> writes = FindArray(json, "writes");
  if (!writes.ok()) return writes.status();
  Transaction transaction;
  for (const nlohmann::json& item : *conditions) {
    if (absl::Status s = CheckField(item, "key", false); !s.ok()) return s;
    if (absl::Status s = CheckField(item, "revision", true); !s.ok()) return s;
    transaction.conditions.push_back({item["key"], item["revision"]});
  }
  for (const nlohmann::json& item : *writes) {
    if (absl::Status s = CheckField(item, "key", false); !s.ok()) return s;
    if (!item.contains("value")) {
      return absl::InvalidArgumentError("field 'value' is missing");
    }
    transaction.writes.push_back({item["key"], item["value"]});
  }
  return transaction;
}

absl::StatusOr<std::vector<Row>> ParseRows(const nlohmann::json& json) {
  absl::StatusOr<nlohmann::json> items = FindArray(json, "rows");
  if (!items.ok()) return items.status();
  std::vector<Row> rows;
  for (const nlohmann::json& item : *items) {
    if (absl::Status s = CheckField(item, "key", false); !s.ok()) return s;
    if (absl::Status s = CheckField(item, "revision", true); !s.ok()) return s;
    if (!item.contains("value")) {
      return absl::InvalidArgumentError("field 'value' is missing");
    }
    rows.push_back({item["key"], item["value"], item["revision"]});
  }
  return rows;
}

}  // namespace hyssopbarrow
