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

/// Prefix of the rows that make up a snapshot: `config/<kind>/<name>`.
inline constexpr std::string_view kConfigPrefix = "config/";

/// Row that every operator transaction writes; its `number` is the snapshot's
/// revision.
inline constexpr std::string_view kConfigRevisionKey = "config/revision";

/// A customer's member organisation.
struct Team {
  std::string name;
  std::int64_t weight = 1;  ///< Part of the share under pressure; at least 1.
  std::int64_t ceiling =
      0;  ///< Most slots the team may have running in the fleet.

  friend bool operator==(const Team&, const Team&) = default;
};

/// A group of hosts that serves queues.
struct Pool {
  std::string name;
  bool spare = false;  ///< Hosts held back for other pools' queues.
  std::int64_t max_unavailable =
      1;  ///< Availability budget: hosts that may be out at once.

  friend bool operator==(const Pool&, const Pool&) = default;
};

/// Stages of a host on its way between pools and through maintenance.
enum class HostState { kServing, kDraining, kMoving };

/// A target: one worker that runs requests in `slots` slots.
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

/// Whether people wait for a queue's answers.
enum class QueueClass { kUrgent, kLong };

/// A named entrance for requests, served by one pool.
struct Queue {
  std::string name;
  std::string pool;
  bool open = false;  ///< Accepts requests without a key.
  QueueClass queue_class = QueueClass::kUrgent;
  std::int64_t latency_target_ms =
      1000;  ///< Service level for the start of a request.
  std::int64_t timeout_ms = 30000;  ///< Deadline of a request that states none.
  std::int64_t max_waiting = 1000;  ///< Bound on waiting requests of one team.
  std::int64_t key_grace_ms =
      600000;  ///< How long known keys count while cut off.
  std::int64_t availability_ppm =
      999'000;  ///< Service level for answered requests, parts per million.
  bool use_spare = false;  ///< May run on the spare pool.

  friend bool operator==(const Queue&, const Queue&) = default;
};

enum class KeyRole { kCaller, kOperator };

/// A key is stored by the SHA-256 digest of its secret only.
struct Key {
  std::string name;
  std::string digest;  ///< Lower-case hexadecimal SHA-256 of the secret.
  std::string team;    ///< Empty for operator keys.
  KeyRole role = KeyRole::kCaller;
  std::vector<std::string> verbs;  ///< Operator verbs granted, `*` for all.
  bool withdrawn = false;

  friend bool operator==(const Key&, const Key&) = default;
};

/// The operators' table at one revision.
struct Snapshot {
  std::int64_t revision = 0;
  std::map<std::string, Team, std::less<>> teams;
  std::map<std::string, Pool, std::less<>> pools;
  std::map<std::string, Host, std::less<>> hosts;
  std::map<std::string, Queue, std::less<>> queues;
  std::map<std::string, Key, std::less<>> keys;  ///< By name.
  std::map<std::string, std::string, std::less<>>
      key_name_by_digest;  ///< Digest to key name.

  friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

/// Builds a snapshot from all rows below `config/`.
///
/// Errors: kInvalidArgument naming row and field; kNotFound without a revision
/// row.
absl::StatusOr<Snapshot> ParseSnapshot(const std::vector<Row>& rows);

/// Checks one row as an operator sent it, without its references to other rows.
absl::Status CheckConfigRow(std::string_view kind, std::string_view name,
                            const nlohmann::json& value);

/// The rows from which ParseSnapshot builds an equal snapshot.
std::vector<Row> ToRows(const Snapshot& snapshot);

nlohmann::json ToJson(const Team& team);
nlohmann::json ToJson(const Pool& pool);
nlohmann::json ToJson(const Host& host);
nlohmann::json ToJson(const Queue& queue);
nlohmann::json ToJson(const Key& key);

std::string_view ToString(HostState state);

/// Pointer into `table`, null when there is no such row.
template <typename Table>
const typename Table::mapped_type* Find(const Table& table,
                                        const std::string& name) {
  auto it = table.find(name);
  return it == table.end() ? nullptr : &it->second;
}

/// Lower-case hexadecimal SHA-256 of a key's secret.
std::string Sha256Hex(std::string_view secret);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_MODEL_SNAPSHOT_H_
