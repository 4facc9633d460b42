#ifndef HYSSOPBARROW_MODEL_SNAPSHOT_H_
#define HYSSOPBARROW_MODEL_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "Model/row.h"
#include "absl/status/statusor.h"

namespace hyssopbarrow {

/// Key prefix of the configuration rows: `config/<kind>/<name>`.
inline constexpr std::string_view kConfigPrefix = "config/";

/// Key of the row that every operator transaction writes. Its `number` is the
/// revision of the snapshot.
inline constexpr std::string_view kConfigRevisionKey = "config/revision";

/// A member organisation of the customer; the teams share the fleet.
struct Team {
  std::string name;
  std::int64_t weight = 1;  ///< For the fair share under load; at least 1.
  /// Maximum number of slots that the team may use in the fleet at once.
  std::int64_t ceiling = 0;

  friend bool operator==(const Team&, const Team&) = default;
};

/// A group of hosts that serves queues.
struct Pool {
  std::string name;
  bool spare = false;  ///< Hosts are reserved for queues of other pools.
  /// Availability budget: number of hosts that may be unavailable at once.
  std::int64_t max_unavailable = 1;

  friend bool operator==(const Pool&, const Pool&) = default;
};

/// State of a host during moves between pools and maintenance.
enum class HostState { kServing, kDraining, kMoving };

/// A target: one worker that runs up to `slots` requests at once.
struct Host {
  std::string name;
  std::string pool;
  std::string data_centre;
  std::string rack;
  std::string address;  ///< `IP:port` of its HTTP interface.
  std::int64_t slots = 8;
  std::int64_t connections = 64;
  HostState state = HostState::kServing;

  friend bool operator==(const Host&, const Host&) = default;
};

/// kUrgent if people wait for the answers of a queue, otherwise kLong.
enum class QueueClass { kUrgent, kLong };

/// A named queue of requests, served by one pool.
struct Queue {
  std::string name;
  std::string pool;
  bool open = false;  ///< Accepts requests without a key.
  QueueClass queue_class = QueueClass::kUrgent;
  /// Service level: time until a request starts.
  std::int64_t latency_target_ms = 1000;
  std::int64_t timeout_ms = 30000;  ///< Default timeout of a request.
  std::int64_t max_waiting = 1000;  ///< Limit on waiting requests per team.
  /// How long known keys are accepted after the store last confirmed the
  /// configuration.
  std::int64_t key_grace_ms = 600000;
  /// Service level: answered requests, in parts per million.
  std::int64_t availability_ppm = 999'000;
  bool use_spare = false;  ///< May run on the spare pool.

  friend bool operator==(const Queue&, const Queue&) = default;
};

enum class KeyRole { kCaller, kOperator };

/// An API key. Only the SHA-256 digest of its secret is stored.
struct Key {
  std::string name;
  std::string digest;  ///< Lower-case hexadecimal SHA-256 of the secret.
  std::string team;    ///< Empty for operator keys.
  KeyRole role = KeyRole::kCaller;
  std::vector<std::string> verbs;  ///< Permitted operator verbs; `*` for all.
  bool withdrawn = false;

  friend bool operator==(const Key&, const Key&) = default;
};

/// The operators' configuration at one revision.
struct Snapshot {
  std::int64_t revision = 0;
  std::map<std::string, Team, std::less<>> teams;
  std::map<std::string, Pool, std::less<>> pools;
  std::map<std::string, Host, std::less<>> hosts;
  std::map<std::string, Queue, std::less<>> queues;
  std::map<std::string, Key, std::less<>> keys;
  std::map<std::string, std::string, std::less<>> key_name_by_digest;

  friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

/// Builds a snapshot from all rows whose key starts with `config/`.
///
/// Errors: kInvalidArgument naming row and field; kNotFound if the revision row
/// is missing.
absl::StatusOr<Snapshot> ParseSnapshot(const std::vector<Row>& rows);

/// Checks one row sent by an operator, except its references to other rows.
/// Errors: kInvalidArgument naming row and field.
absl::Status CheckConfigRow(std::string_view kind, std::string_view name,
                            const nlohmann::json& value);

/// Returns rows from which ParseSnapshot builds an equal snapshot.
std::vector<Row> ToRows(const Snapshot& snapshot);

nlohmann::json ToJson(const Team& team);
nlohmann::json ToJson(const Pool& pool);
nlohmann::json ToJson(const Host& host);
nlohmann::json ToJson(const Queue& queue);
nlohmann::json ToJson(const Key& key);

std::string_view ToString(HostState state);

/// Returns a pointer to the row `name` in `table`; null if there is none.
template <typename Table>
const typename Table::mapped_type* Find(const Table& table,
                                        const std::string& name) {
  auto it = table.find(name);
  return it == table.end() ? nullptr : &it->second;
}

/// Returns the SHA-256 of `text` in lower-case hexadecimal.
std::string Sha256Hex(std::string_view text);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_MODEL_SNAPSHOT_H_
