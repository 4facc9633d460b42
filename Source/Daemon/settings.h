#ifndef HYSSOPBARROW_DAEMON_SETTINGS_H_
#define HYSSOPBARROW_DAEMON_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Http/address.h"
#include "absl/status/statusor.h"

namespace hyssopbarrow {

enum class LogFormat { kText, kJson };

/// Settings of the links to other entry hosts.
struct PeerSettings {
  Address listen;
  Address advertise;   ///< Sent to peers; port 0 means the bound port.
  std::string secret;  ///< Shared by all entry hosts.
  std::vector<Address> seeds;

  friend bool operator==(const PeerSettings&, const PeerSettings&) = default;
};

/// Settings of one entry host, read from a YAML file at start-up.
struct Settings {
  std::string node_name;
  std::string data_centre;
  Address caller_listen;
  Address operator_listen;
  Address table;
  std::optional<PeerSettings> peers;
  std::int64_t drain_ms =
      3000;  ///< Calls are accepted this long after a stop request.
  std::string log_level = "info";
  LogFormat log_format = LogFormat::kText;

  friend bool operator==(const Settings&, const Settings&) = default;
};

/// Parses settings from YAML text. `file` is the name used in errors.
///
/// Errors: kInvalidArgument with file, line, field and expected value, for the
/// first key that is unknown, missing or has an invalid value.
absl::StatusOr<Settings> ParseSettings(const std::string& text,
                                       const std::string& file);

/// Reads settings from a file. Errors: kNotFound if it cannot be read, and
/// those of ParseSettings.
absl::StatusOr<Settings> LoadSettings(const std::string& file);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_DAEMON_SETTINGS_H_
