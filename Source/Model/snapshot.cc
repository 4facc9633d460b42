#include "Model/snapshot.h"

#include <openssl/sha.h>

#include <array>
#include <optional>
#include <set>
#include <utility>

#include "Model/json.h"
#include "Model/text.h"
#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"

namespace hyssopbarrow {
namespace {

constexpr std::int64_t kMaxCount = 1'000'000;
/// A service level of 100% would leave an error budget of zero.
constexpr std::int64_t kMaxAvailabilityPpm = 999'999;
constexpr std::int64_t kMaxDurationMs = 7LL * 24 * 3600 * 1000;
constexpr std::size_t kDigestHexLength = 64;
constexpr std::size_t kMaxNameLength = 64;

/// Reads the fields of one row and keeps the first error.
class FieldReader {
 public:
  FieldReader(std::string_view kind, std::string_view name,
              const nlohmann::json& value)
      : row_name_(StrCat(kind, " '", name, "'")), value_(value) {
    if (!value.is_object()) Fail("value", "an object");
  }

  void Text(const char* field, std::string& out, bool required) {
    const nlohmann::json* found = FindField(field, required);
    if (found == nullptr) return;
    if (!found->is_string()) return Fail(field, "a string");
    out = found->get<std::string>();
    if (required && out.empty()) Fail(field, "a non-empty string");
  }

  void Integer(const char* field, std::int64_t& out, std::int64_t low,
               std::int64_t high) {
    const nlohmann::json* found = FindField(field, false);
    if (found == nullptr) return;
    const std::string expected = StrCat("an integer from ", low, " to ", high);
    const std::optional<std::int64_t> n = AsInteger(*found);
    if (!n.has_value() || *n < low || *n > high) return Fail(field, expected);
    out = *n;
  }

  void Boolean(const char* field, bool& out) {
    const nlohmann::json* found = FindField(field, false);
    if (found == nullptr) return;
    if (!found->is_boolean()) return Fail(field, "true or false");
    out = found->get<bool>();
  }

  void TextList(const char* field, std::vector<std::string>& out) {
    const nlohmann::json* found = FindField(field, false);
    if (found == nullptr) return;
    if (!found->is_array()) return Fail(field, "a list of strings");
    for (const nlohmann::json& element : *found) {
      if (!element.is_string()) return Fail(field, "a list of strings");
      out.push_back(element.get<std::string>());
    }
  }

  template <typename Choices, typename Enum>
  void Choice(const char* field, Enum& out, const Choices& choices) {
    const nlohmann::json* found = FindField(field, false);
    if (found == nullptr) return;
    std::string names;
    for (const auto& [name, value] : choices) {
      if (found->is_string() && found->get<std::string>() == name) {
        out = value;
        return;
      }
      StrAppend(names, names.empty() ? "" : " or ", name);
    }
    Fail(field, names);
  }

  void Fail(std::string_view field, std::string_view expected) {
    if (!status_.ok()) return;
    status_ = absl::InvalidArgumentError(
        StrCat(row_name_, ": field '", field, "' must be ", expected));
  }

  /// Returns the first error, or one for the first field that was not read.
  absl::Status Finish() {
    if (!status_.ok()) return status_;
    for (const auto& item : value_.items()) {
      if (!known_.contains(item.key())) {
        return absl::InvalidArgumentError(
            StrCat(row_name_, ": field '", item.key(), "' is not known"));
      }
    }
    return status_;
  }

 private:
  const nlohmann::json* FindField(const char* field, bool required) {
    known_.insert(field);
    if (!value_.is_object()) return nullptr;
    auto it = value_.find(field);
    if (it != value_.end()) return &*it;
    if (required) Fail(field, "present");
    return nullptr;
  }

  std::string row_name_;
  const nlohmann::json& value_;
  std::set<std::string, std::less<>> known_ = {"write_id"};
  absl::Status status_;
};

constexpr std::array<std::pair<std::string_view, HostState>, 3> kHostStates = {
    {{"serving", HostState::kServing},
     {"draining", HostState::kDraining},
     {"moving", HostState::kMoving}}};

constexpr std::array<std::pair<std::string_view, QueueClass>, 2> kQueueClasses =
    {{{"urgent", QueueClass::kUrgent}, {"long", QueueClass::kLong}}};

constexpr std::array<std::pair<std::string_view, KeyRole>, 2> kKeyRoles = {
    {{"caller", KeyRole::kCaller}, {"operator", KeyRole::kOperator}}};

template <typename Choices, typename Enum>
std::string_view NameOf(const Choices& choices, Enum value) {
  for (const auto& [name, choice] : choices) {
    if (choice == value) return name;
  }
  return "";
}

bool IsNameCharacter(char c) {
  return absl::ascii_isalnum(c) || c == '-' || c == '_' || c == '.';
}

absl::Status CheckName(std::string_view kind, std::string_view name) {
  bool valid = !name.empty() && name.size() <= kMaxNameLength;
  for (char c : name) valid = valid && IsNameCharacter(c);
  if (valid) return absl::OkStatus();
  return absl::InvalidArgumentError(StrCat(
      kind, " '", name,
      "': field 'name' must be 1 to 64 letters, digits, '-', '_' or '.'"));
}

absl::Status ParseValue(std::string_view name, const nlohmann::json& value,
                        Team& out) {
  FieldReader reader("team", name, value);
  out.name = name;
  reader.Integer("weight", out.weight, 1, kMaxCount);
  reader.Integer("ceiling", out.ceiling, 0, kMaxCount);
  return reader.Finish();
}

absl::Status ParseValue(std::string_view name, const nlohmann::json& value,
                        Pool& out) {
  FieldReader reader("pool", name, value);
  out.name = name;
  reader.Boolean("spare", out.spare);
  reader.Integer("max_unavailable", out.max_unavailable, 0, kMaxCount);
  return reader.Finish();
}

absl::Status ParseValue(std::string_view name, const nlohmann::json& value,
                        Host& out) {
  FieldReader reader("host", name, value);
  out.name = name;
  reader.Text("pool", out.pool, true);
  reader.Text("data_centre", out.data_centre, true);
  reader.Text("rack", out.rack, false);
  reader.Text("address", out.address, true);
  reader.Integer("slots", out.slots, 1, kMaxCount);
  reader.Integer("connections", out.connections, 1, kMaxCount);
  reader.Choice("state", out.state, kHostStates);
  return reader.Finish();
}

absl::Status ParseValue(std::string_view name, const nlohmann::json& value,
                        Queue& out) {
  FieldReader reader("queue", name, value);
  out.name = name;
  reader.Text("pool", out.pool, true);
  reader.Boolean("open", out.open);
  reader.Choice("class", out.queue_class, kQueueClasses);
  reader.Integer("latency_target_ms", out.latency_target_ms, 1, kMaxDurationMs);
  reader.Integer("timeout_ms", out.timeout_ms, 1, kMaxDurationMs);
  reader.Integer("max_waiting", out.max_waiting, 1, kMaxCount);
  reader.Integer("key_grace_ms", out.key_grace_ms, 0, kMaxDurationMs);
  reader.Integer("availability_ppm", out.availability_ppm, 0,
                 kMaxAvailabilityPpm);
  reader.Boolean("use_spare", out.use_spare);
  return reader.Finish();
}

bool IsDigest(std::string_view text) {
  bool valid = text.size() == kDigestHexLength;
  for (char c : text) {
    valid = valid && (absl::ascii_isdigit(c) || (c >= 'a' && c <= 'f'));
  }
  return valid;
}

absl::Status ParseValue(std::string_view name, const nlohmann::json& value,
                        Key& out) {
  FieldReader reader("key", name, value);
  out.name = name;
  reader.Text("digest", out.digest, true);
  reader.Text("team", out.team, false);
  reader.Choice("role", out.role, kKeyRoles);
  reader.TextList("verbs", out.verbs);
  reader.Boolean("withdrawn", out.withdrawn);
  if (!IsDigest(out.digest)) {
    reader.Fail("digest", "64 lower-case hexadecimal digits");
  }
  if (out.role == KeyRole::kCaller && out.team.empty()) {
    reader.Fail("team", "present");
  }
  return reader.Finish();
}

template <typename Value>
absl::Status ParseInto(std::string_view name, const nlohmann::json& value,
                       std::map<std::string, Value, std::less<>>& table) {
  Value parsed;
  absl::Status status = ParseValue(name, value, parsed);
  if (status.ok()) table.emplace(name, std::move(parsed));
  return status;
}

absl::Status ParseRowOfKind(std::string_view kind, std::string_view name,
                            const nlohmann::json& value, Snapshot& out) {
  if (absl::Status s = CheckName(kind, name); !s.ok()) return s;
  if (kind == "team") return ParseInto(name, value, out.teams);
  if (kind == "pool") return ParseInto(name, value, out.pools);
  if (kind == "host") return ParseInto(name, value, out.hosts);
  if (kind == "queue") return ParseInto(name, value, out.queues);
  if (kind == "key") return ParseInto(name, value, out.keys);
  return absl::InvalidArgumentError(StrCat("kind '", kind, "' is not known"));
}

absl::Status ParseRow(const Row& row, Snapshot& out) {
  std::string_view rest = row.key;
  ConsumePrefix(rest, kConfigPrefix);
  if (row.key == kConfigRevisionKey) {
    if (!row.value.is_object() || !row.value.contains("number") ||
        !row.value["number"].is_number_integer()) {
      return absl::InvalidArgumentError(
          "config/revision: field 'number' must be an integer");
    }
    out.revision = row.value["number"];
    return absl::OkStatus();
  }
  const std::size_t slash = rest.find('/');
  if (slash == std::string_view::npos) {
    return absl::InvalidArgumentError(
        StrCat("row '", row.key, "': key must be config/<kind>/<name>"));
  }
  return ParseRowOfKind(rest.substr(0, slash), rest.substr(slash + 1),
                        row.value, out);
}

absl::Status MissingReference(std::string_view kind, std::string_view name,
                              std::string_view field, std::string_view value) {
  return absl::InvalidArgumentError(StrCat(kind, " '", name, "': field '",
                                           field, "' refers to '", value,
                                           "', which does not exist"));
}

absl::Status CheckReferences(const Snapshot& snapshot) {
  for (const auto& [name, host] : snapshot.hosts) {
    if (Find(snapshot.pools, host.pool) == nullptr) {
      return MissingReference("host", name, "pool", host.pool);
    }
  }
  for (const auto& [name, queue] : snapshot.queues) {
    if (Find(snapshot.pools, queue.pool) == nullptr) {
      return MissingReference("queue", name, "pool", queue.pool);
    }
  }
  for (const auto& [name, key] : snapshot.keys) {
    if (key.role == KeyRole::kCaller &&
        Find(snapshot.teams, key.team) == nullptr) {
      return MissingReference("key", name, "team", key.team);
    }
  }
  return absl::OkStatus();
}

absl::Status IndexDigests(Snapshot& snapshot) {
  for (const auto& [name, key] : snapshot.keys) {
    auto [it, inserted] = snapshot.key_name_by_digest.emplace(key.digest, name);
    if (!inserted) {
      return absl::InvalidArgumentError(StrCat(
          "key '", name, "': field 'digest' is the same as that of key '",
          it->second, "'"));
    }
  }
  return absl::OkStatus();
}

template <typename Table>
void AppendRows(std::string_view kind, const Table& table,
                std::int64_t revision, std::vector<Row>& out) {
  for (const auto& [name, value] : table) {
    out.push_back(
        {StrCat(kConfigPrefix, kind, "/", name), ToJson(value), revision});
  }
}

}  // namespace

absl::StatusOr<Snapshot> ParseSnapshot(const std::vector<Row>& rows) {
  Snapshot snapshot;
  for (const Row& row : rows) {
    if (absl::Status s = ParseRow(row, snapshot); !s.ok()) return s;
  }
  if (snapshot.revision == 0) {
    return absl::NotFoundError("row 'config/revision' is missing");
  }
  if (absl::Status s = CheckReferences(snapshot); !s.ok()) return s;
  if (absl::Status s = IndexDigests(snapshot); !s.ok()) return s;
  return snapshot;
}

absl::Status CheckConfigRow(std::string_view kind, std::string_view name,
                            const nlohmann::json& value) {
  Snapshot scratch;
  return ParseRowOfKind(kind, name, value, scratch);
}

std::vector<Row> ToRows(const Snapshot& snapshot) {
  std::vector<Row> rows;
  rows.push_back({std::string(kConfigRevisionKey),
                  {{"number", snapshot.revision}},
                  snapshot.revision});
  AppendRows("team", snapshot.teams, snapshot.revision, rows);
  AppendRows("pool", snapshot.pools, snapshot.revision, rows);
  AppendRows("host", snapshot.hosts, snapshot.revision, rows);
  AppendRows("queue", snapshot.queues, snapshot.revision, rows);
  AppendRows("key", snapshot.keys, snapshot.revision, rows);
  return rows;
}

nlohmann::json ToJson(const Team& team) {
  return {{"weight", team.weight}, {"ceiling", team.ceiling}};
}

nlohmann::json ToJson(const Pool& pool) {
  return {{"spare", pool.spare}, {"max_unavailable", pool.max_unavailable}};
}

nlohmann::json ToJson(const Host& host) {
  return {{"pool", host.pool},
          {"data_centre", host.data_centre},
          {"rack", host.rack},
          {"address", host.address},
          {"slots", host.slots},
          {"connections", host.connections},
          {"state", ToString(host.state)}};
}

nlohmann::json ToJson(const Queue& queue) {
  return {{"pool", queue.pool},
          {"open", queue.open},
          {"class", NameOf(kQueueClasses, queue.queue_class)},
          {"latency_target_ms", queue.latency_target_ms},
          {"timeout_ms", queue.timeout_ms},
          {"max_waiting", queue.max_waiting},
          {"key_grace_ms", queue.key_grace_ms},
          {"availability_ppm", queue.availability_ppm},
          {"use_spare", queue.use_spare}};
}

nlohmann::json ToJson(const Key& key) {
  nlohmann::json json = {{"digest", key.digest},
                         {"role", NameOf(kKeyRoles, key.role)},
                         {"withdrawn", key.withdrawn}};
  if (!key.team.empty()) json["team"] = key.team;
  if (!key.verbs.empty()) json["verbs"] = key.verbs;
  return json;
}

std::string_view ToString(HostState state) {
  return NameOf(kHostStates, state);
}

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return absl::BytesToHexString(
      {reinterpret_cast<const char*>(digest.data()), digest.size()});
}

}  // namespace hyssopbarrow
