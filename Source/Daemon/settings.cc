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

/// One setting: its section, its key and how its text is taken in.
struct Field {
  std::string section;
  std::string key;
  bool required = true;
  Setter set;
  bool list = false;  ///< Takes a list; `set` is called for each element.
};

absl::Status Expected(std::string_view what) {
  return absl::InvalidArgumentError(StrCat("expected ", what));
}

Setter Text(std::string& out) {
  return [&out](const std::string& text) {
    if (text.empty()) return Expected("a string that is not empty");
    out = text;
    return absl::OkStatus();
  };
}

Setter AddressText(Address& out) {
  return [&out](const std::string& text) {
    absl::StatusOr<Address> parsed = ParseAddress(text);
    if (!parsed.ok()) return parsed.status();
    out = *parsed;
    return absl::OkStatus();
  };
}

Setter Level(std::string& out) {
  return [&out](const std::string& text) {
    static const std::set<std::string> kLevels = {"debug", "info", "warn",
                                                  "error"};
    if (!kLevels.contains(text)) return Expected("debug, info, warn or error");
    out = text;
    return absl::OkStatus();
  };
}

Setter Format(LogFormat& out) {
  return [&out](const std::string& text) {
    if (text != "text" && text != "json") return Expected("text or json");
    out = text == "json" ? LogFormat::kJson : LogFormat::kText;
    return absl::OkStatus();
  };
}

Setter AddressList(std::vector<Address>& out) {
  return [&out](const std::string& text) {
    Address address;
    absl::Status status = AddressText(address)(text);
    if (status.ok()) out.push_back(address);
    return status;
  };
}

Setter SecretFile(std::string& out) {
  return [&out](const std::string& file) {
    std::ifstream in(file);
    if (!in || !std::getline(in, out) || out.empty()) {
      return Expected("a file whose first line is the secret");
    }
    return absl::OkStatus();
  };
}

Setter Milliseconds(std::int64_t& out) {
  return [&out](const std::string& text) {
    const auto n = ParseInteger<std::int64_t>(text);
    if (!n.has_value() || *n < 0 || *n > kMaxDurationMs) {
      return Expected("milliseconds from 0 to 3600000");
    }
    out = *n;
    return absl::OkStatus();
  };
}

/// The peers section has fields of its own; it is left out as a whole.
std::vector<Field> PeerFieldsOf(PeerSettings& it) {
  return {{"peers", "listen", true, AddressText(it.listen)},
          {"peers", "advertise", false, AddressText(it.advertise)},
          {"peers", "secret", false, Text(it.secret)},
          {"peers", "secret_file", false, SecretFile(it.secret)},
          {"peers", "seeds", false, AddressList(it.seeds), true}};
}

std::vector<Field> FieldsOf(Settings& it) {
  return {{"node", "name", true, Text(it.node_name)},
          {"node", "data_centre", true, Text(it.data_centre)},
          {"callers", "listen", true, AddressText(it.caller_listen)},
          {"operators", "listen", true, AddressText(it.operator_listen)},
          {"table", "address", true, AddressText(it.table)},
          {"stop", "drain_ms", false, Milliseconds(it.drain_ms)},
          {"log", "level", false, Level(it.log_level)},
          {"log", "format", false, Format(it.log_format)}};
}

absl::Status At(const std::string& file, const YAML::Mark& mark,
                std::string_view field, std::string_view what) {
  return absl::InvalidArgumentError(
      StrCat(file, ":", mark.line + 1, ": field '", field, "': ", what));
}

const Field* FindField(const std::vector<Field>& fields,
                       const std::string& section, const std::string& key) {
  for (const Field& it : fields) {
    if (it.section == section && it.key == key) return &it;
  }
  return nullptr;
}

bool HasSection(const std::vector<Field>& fields, const std::string& section) {
  for (const Field& it : fields) {
    if (it.section == section) return true;
  }
  return false;
}

absl::Status TakeField(const std::string& file, const std::string& name,
                       const YAML::Node& node, const Field& field) {
  const bool list = field.list && node.IsSequence();
  std::vector<YAML::Node> values;
  if (list) {
    for (const auto& it : node) values.push_back(it);
  } else {
    values.push_back(node);
  }
  for (const YAML::Node& it : values) {
    if (!it.IsScalar() || list != field.list) {
      return At(file, it.Mark(), name,
                field.list ? "expected a list" : "expected one value");
    }
    absl::Status status = field.set(it.as<std::string>());
    if (!status.ok()) {
      return At(file, it.Mark(), name, std::string(status.message()));
    }
  }
  return absl::OkStatus();
}

absl::Status TakeSection(const std::string& file, const std::string& section,
                         const YAML::Node& node,
                         const std::vector<Field>& fields,
                         std::set<const Field*>& seen) {
  for (const auto& it : node) {
    const auto key = it.first.as<std::string>();
    const std::string name = StrCat(section, ".", key);
    const Field* field = FindField(fields, section, key);
    if (field == nullptr) {
      return At(file, it.first.Mark(), name, "is not known");
    }
    if (!seen.insert(field).second) {
      return At(file, it.first.Mark(), name, "is given twice");
    }
    absl::Status status = TakeField(file, name, it.second, *field);
    if (!status.ok()) return status;
  }
  return absl::OkStatus();
}

absl::Status TakeDocument(const std::string& file, const YAML::Node& root,
                          const std::vector<Field>& fields) {
  std::set<const Field*> seen;
  if (!root.IsMap()) {
    return At(file, root.Mark(), "document", "expected sections");
  }
  for (const auto& it : root) {
    const auto section = it.first.as<std::string>();
    if (!HasSection(fields, section)) {
      return At(file, it.first.Mark(), section, "is not known");
    }
    if (!it.second.IsMap()) {
      return At(file, it.second.Mark(), section, "expected a section");
    }
    absl::Status status = TakeSection(file, section, it.second, fields, seen);
    if (!status.ok()) return status;
  }
  for (const Field& it : fields) {
    if (!it.required || seen.contains(&it)) continue;
    return At(file, root.Mark(), StrCat(it.section, ".", it.key), "is missing");
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<Settings> ParseSettings(const std::string& text,
                                       const std::string& file) {
  Settings settings;
  PeerSettings peers;
  std::vector<Field> fields = FieldsOf(settings);
  try {
    const YAML::Node root = YAML::Load(text);
    const bool with_peers = root.IsMap() && root["peers"];
    if (with_peers) {
      for (Field& it : PeerFieldsOf(peers)) fields.push_back(std::move(it));
    }
    if (absl::Status s = TakeDocument(file, root, fields); !s.ok()) return s;
    if (with_peers && peers.secret.empty()) {
      return At(file, root["peers"].Mark(), "peers",
                "expected 'secret' or 'secret_file'");
    }
    if (with_peers) {
      if (peers.advertise.ip.empty()) peers.advertise = peers.listen;
      settings.peers = peers;
    }
  } catch (const YAML::Exception& error) {
    return At(file, error.mark, "document", error.msg);
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
