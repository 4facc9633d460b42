#include "Daemon/settings.h"

#include <yaml-cpp/yaml.h>

#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <utility>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr std::int64_t kMaxDurationMs = 3'600'000;

using Setter = std::function<absl::Status(const std::string&)>;

/// A setting: its section, its key and the function that parses its value.
struct SettingField {
  std::string section;
  std::string key;
  bool required = true;
  Setter setter;
  bool is_list = false;  ///< The value is a list; `setter` parses each element.
};

absl::Status Expected(std::string_view what) {
  return absl::InvalidArgumentError(StrCat("expected ", what));
}

Setter StringSetter(std::string& out) {
  return [&out](const std::string& text) {
    if (text.empty()) return Expected("a non-empty string");
    out = text;
    return absl::OkStatus();
  };
}

Setter AddressSetter(Address& out) {
  return [&out](const std::string& text) {
    absl::StatusOr<Address> parsed = ParseAddress(text);
    if (!parsed.ok()) return parsed.status();
    out = *parsed;
    return absl::OkStatus();
  };
}

Setter LevelSetter(std::string& out) {
  return [&out](const std::string& text) {
    static const std::set<std::string> kLevels = {"debug", "info", "warn",
                                                  "error"};
    if (!kLevels.contains(text)) return Expected("debug, info, warn or error");
    out = text;
    return absl::OkStatus();
  };
}

Setter FormatSetter(LogFormat& out) {
  return [&out](const std::string& text) {
    if (text != "text" && text != "json") return Expected("text or json");
    out = text == "json" ? LogFormat::kJson : LogFormat::kText;
    return absl::OkStatus();
  };
}

Setter AddressListSetter(std::vector<Address>& out) {
  return [&out](const std::string& text) {
    Address address;
    absl::Status status = AddressSetter(address)(text);
    if (status.ok()) out.push_back(address);
    return status;
  };
}

Setter SecretFileSetter(std::string& out) {
  return [&out](const std::string& file) {
    std::ifstream in(file);
    if (!in || !std::getline(in, out) || out.empty()) {
      return Expected("a file whose first line is the secret");
    }
    return absl::OkStatus();
  };
}

Setter MillisecondsSetter(std::int64_t& out) {
  return [&out](const std::string& text) {
    const auto n = ParseInteger<std::int64_t>(text);
    if (!n.has_value() || *n < 0 || *n > kMaxDurationMs) {
      return Expected("milliseconds from 0 to 3600000");
    }
    out = *n;
    return absl::OkStatus();
  };
}

/// Fields of the optional section `peers`, used only if it is present.
std::vector<SettingField> MakePeerFields(PeerSettings& peers) {
  return {{"peers", "listen", true, AddressSetter(peers.listen)},
          {"peers", "advertise", false, AddressSetter(peers.advertise)},
          {"peers", "secret", false, StringSetter(peers.secret)},
          {"peers", "secret_file", false, SecretFileSetter(peers.secret)},
          {"peers", "seeds", false, AddressListSetter(peers.seeds), true}};
}

std::vector<SettingField> MakeSettingFields(Settings& settings) {
  return {
      {"node", "name", true, StringSetter(settings.node_name)},
      {"node", "data_centre", true, StringSetter(settings.data_centre)},
      {"callers", "listen", true, AddressSetter(settings.caller_listen)},
      {"operators", "listen", true, AddressSetter(settings.operator_listen)},
      {"table", "address", true, AddressSetter(settings.table)},
      {"stop", "drain_ms", false, MillisecondsSetter(settings.drain_ms)},
      {"log", "level", false, LevelSetter(settings.log_level)},
      {"log", "format", false, FormatSetter(settings.log_format)}};
}

absl::Status FieldError(const std::string& file, const YAML::Mark& mark,
                        std::string_view field, std::string_view what) {
  return absl::InvalidArgumentError(
      StrCat(file, ":", mark.line + 1, ": field '", field, "': ", what));
}

const SettingField* FindField(const std::vector<SettingField>& fields,
                              const std::string& section,
                              const std::string& key) {
  for (const SettingField& field : fields) {
    if (field.section == section && field.key == key) return &field;
  }
  return nullptr;
}

bool HasSection(const std::vector<SettingField>& fields,
                const std::string& section) {
  for (const SettingField& field : fields) {
    if (field.section == section) return true;
  }
  return false;
}

absl::Status ParseField(const std::string& file, const std::string& name,
                        const YAML::Node& node, const SettingField& field) {
  const bool list = field.is_list && node.IsSequence();
  std::vector<YAML::Node> values;
  if (list) {
    for (const auto& value : node) values.push_back(value);
  } else {
    values.push_back(node);
  }
  for (const YAML::Node& value : values) {
    if (!value.IsScalar() || list != field.is_list) {
      return FieldError(
          file, value.Mark(), name,
          field.is_list ? "expected a list" : "expected one value");
    }
    absl::Status status = field.setter(value.as<std::string>());
    if (!status.ok()) {
      return FieldError(file, value.Mark(), name,
                        std::string(status.message()));
    }
  }
  return absl::OkStatus();
}

absl::Status ParseSection(const std::string& file, const std::string& section,
                          const YAML::Node& node,
                          const std::vector<SettingField>& fields,
                          std::set<const SettingField*>& seen) {
  for (const auto& entry : node) {
    const auto key = entry.first.as<std::string>();
    const std::string name = StrCat(section, ".", key);
    const SettingField* field = FindField(fields, section, key);
    if (field == nullptr) {
      return FieldError(file, entry.first.Mark(), name, "is unknown");
    }
    if (!seen.insert(field).second) {
      return FieldError(file, entry.first.Mark(), name, "is given twice");
    }
    absl::Status status = ParseField(file, name, entry.second, *field);
    if (!status.ok()) return status;
  }
  return absl::OkStatus();
}

absl::Status ParseDocument(const std::string& file, const YAML::Node& root,
                           const std::vector<SettingField>& fields) {
  std::set<const SettingField*> seen;
  if (!root.IsMap()) {
    return FieldError(file, root.Mark(), "document", "expected sections");
  }
  for (const auto& entry : root) {
    const auto section = entry.first.as<std::string>();
    if (!HasSection(fields, section)) {
      return FieldError(file, entry.first.Mark(), section, "is unknown");
    }
    if (!entry.second.IsMap()) {
      return FieldError(file, entry.second.Mark(), section,
                        "expected a section");
    }
    absl::Status status =
        ParseSection(file, section, entry.second, fields, seen);
    if (!status.ok()) return status;
  }
  for (const SettingField& field : fields) {
    if (!field.required || seen.contains(&field)) continue;
    return FieldError(file, root.Mark(), StrCat(field.section, ".", field.key),
                      "is missing");
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<Settings> ParseSettings(const std::string& text,
                                       const std::string& file) {
  Settings settings;
  PeerSettings peers;
  std::vector<SettingField> fields = MakeSettingFields(settings);
  try {
    const YAML::Node root = YAML::Load(text);
    const bool with_peers = root.IsMap() && root["peers"];
    if (with_peers) {
      for (SettingField& field : MakePeerFields(peers)) {
        fields.push_back(std::move(field));
      }
    }
    if (absl::Status s = ParseDocument(file, root, fields); !s.ok()) return s;
    if (with_peers && peers.secret.empty()) {
      return FieldError(file, root["peers"].Mark(), "peers",
                        "expected 'secret' or 'secret_file'");
    }
    if (with_peers) {
      if (peers.advertise.ip.empty()) peers.advertise = peers.listen;
      settings.peers = peers;
    }
  } catch (const YAML::Exception& error) {
    return FieldError(file, error.mark, "document", error.msg);
  }
  return settings;
}

absl::StatusOr<Settings> LoadSettings(const std::string& file) {
  std::ifstream in(file);
  if (!in) return absl::NotFoundError(StrCat(file, ": cannot be read"));
  std::ostringstream buf;
  buf << in.rdbuf();
  return ParseSettings(buf.str(), file);
}

}  // namespace hyssopbarrow
