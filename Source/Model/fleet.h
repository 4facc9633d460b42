#ifndef HYSSOPBARROW_MODEL_FLEET_H_
#define HYSSOPBARROW_MODEL_FLEET_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopbarrow::fleet {

/// What a task asks for, a target offers or a team may use.
struct Resources {
  std::int64_t cpu_milli = 0;  ///< Thousandths of a core.
  std::int64_t memory_mb = 0;
  std::int64_t gpus = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
};

/// True if `need` fits into `free` in every dimension.
bool Fits(const Resources& need, const Resources& free);

/// True if `used` plus `need` stays within `ceiling`; 0 means no ceiling.
bool WithinCeiling(const Resources& used, const Resources& need,
                   const Resources& ceiling);

/// Terms of the placement policy that has to approve the targets of a step.
struct ApprovalTiming {
  std::int64_t base_ms = 0;        ///< For each request.
  std::int64_t per_target_ms = 0;  ///< For each target named.
  std::int64_t valid_ms = 0;       ///< Life of an approval.

  friend bool operator==(const ApprovalTiming&,
                         const ApprovalTiming&) = default;
};

/// A queue: where its jobs are handed in and which pool runs them.
struct Queue {
  std::string name;
  std::string host_name;    ///< Host header that selects the queue.
  std::string path_prefix;  ///< Ends with '/'; the longest prefix wins.
  std::string pool;
  bool open = false;          ///< Accepts calls without a key.
  std::int64_t priority = 0;  ///< 0 comes first.
  std::int64_t max_attempts = 1;
  double slack_factor = 1;
  std::int64_t latency_target_ms = 0;
  std::int64_t timeout_ms = 0;
  std::optional<ApprovalTiming> approval;

  friend bool operator==(const Queue&, const Queue&) = default;
};

struct Pool {
  std::string name;
  bool rejects_overload = true;  ///< Its targets reject what does not fit.
  bool spare = false;  ///< Its hosts are switched off and cost nothing.

  friend bool operator==(const Pool&, const Pool&) = default;
};

struct Team {
  std::string name;
  std::vector<std::string> keys;
  std::int64_t weight = 1;
  Resources ceiling;

  friend bool operator==(const Team&, const Team&) = default;
};

/// The operators' configuration of one version.
struct Configuration {
  std::int64_t version = 0;
  std::vector<Queue> queues;
  std::map<std::string, Pool> pools;
  std::vector<Team> teams;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

const Queue* FindQueue(const Configuration& configuration,
                       std::string_view name);

/// The queue that serves `path` at `host_name`; null if there is none.
const Queue* MatchQueue(const Configuration& configuration,
                        std::string_view host_name, std::string_view path);

const Team* FindTeamByKey(const Configuration& configuration,
                          std::string_view key);

const Team* FindTeam(const Configuration& configuration, std::string_view name);

/// One life of a host in a pool, which runs tasks.
struct Target {
  std::string id;
  std::string pool;
  std::string address;
  std::string data_centre;
  std::string host;
  bool draining = false;
  std::int64_t started_unix_ms = 0;  ///< Unix milliseconds of its start.
  Resources capacity;
  std::vector<std::string> labels;  ///< Kind and rack.

  friend bool operator==(const Target&, const Target&) = default;
};

bool HasLabel(const Target& target, std::string_view label);

enum class HostState { kUp, kMoving, kMaintenance, kDown };

/// A host as its provider lists it.
struct Host {
  std::string name;
  std::string pool;
  HostState state = HostState::kDown;
  std::string data_centre;
  std::vector<std::string> labels;
  std::string target;  ///< Id of its present target; empty if it has none.

  friend bool operator==(const Host&, const Host&) = default;
};

/// A request for upkeep of hosts.
struct Wave {
  std::int64_t number = 0;
  std::vector<std::string> hosts;
  std::int64_t duration_ms = 0;
  std::int64_t max_unavailable = 1;  ///< Hosts that may be out at once.

  friend bool operator==(const Wave&, const Wave&) = default;
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_MODEL_FLEET_H_
