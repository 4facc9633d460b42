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

/// Amounts of resources: requested by a task, offered by a target or allowed
/// for a team.
struct Resources {
  std::int64_t cpu_milli = 0;  ///< Thousandths of a core.
  std::int64_t memory_mb = 0;  ///< Megabytes.
  std::int64_t gpus = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
};

/// Returns true if `demand` fits into `free` in every dimension.
bool Fits(const Resources& demand, const Resources& free);

/// Returns true if `used` plus `demand` is at most `ceiling` in every
/// dimension; a dimension whose ceiling is 0 is unlimited.
bool WithinCeiling(const Resources& used, const Resources& demand,
                   const Resources& ceiling);

/// Timing of the placement policy that has to approve the targets of a step.
struct ApprovalTiming {
  std::int64_t base_ms = 0;        ///< Decision time for each request.
  std::int64_t per_target_ms = 0;  ///< Added for each target in a request.
  std::int64_t valid_ms = 0;       ///< How long an approval is valid.

  friend bool operator==(const ApprovalTiming&,
                         const ApprovalTiming&) = default;
};

/// A queue: the address at which its jobs are submitted, and the pool that runs
/// them.
struct Queue {
  std::string name;
  std::string host_name;    ///< Host header that selects the queue.
  std::string path_prefix;  ///< Ends with '/'; the longest prefix wins.
  std::string pool;
  bool open = false;              ///< Accepts calls without an API key.
  std::int64_t priority = 0;      ///< 0 is the highest priority.
  std::int64_t max_attempts = 1;  ///< Failed runs of a task that fail its job.
  double slack_factor = 1;        ///< Allowed job duration / its critical path.
  std::int64_t latency_target_ms = 0;
  std::int64_t timeout_ms = 0;
  std::optional<ApprovalTiming> approval;

  friend bool operator==(const Queue&, const Queue&) = default;
};

struct Pool {
  std::string name;
  bool rejects_overload = true;  ///< Targets reject tasks that do not fit.
  bool spare = false;  ///< Its hosts are switched off and cost nothing.

  friend bool operator==(const Pool&, const Pool&) = default;
};

struct Team {
  std::string name;
  std::vector<std::string> keys;  ///< API keys of its callers.
  double weight = 1;              ///< For the fair share.
  Resources ceiling;              ///< Upper limit on use; 0 is unlimited.
  bool ceiling_readable = true;   ///< False: `ceiling` has the default value.

  friend bool operator==(const Team&, const Team&) = default;
};

/// One version of the operators' configuration.
struct Configuration {
  std::int64_t version = 0;
  std::vector<Queue> queues;
  std::map<std::string, Pool> pools;
  std::vector<Team> teams;
  /// Queues, pools and teams that are left out, or have default values, because
  /// they could not be read.
  std::int64_t unreadable_entries = 0;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// Returns the queue with this name; null if there is none.
const Queue* FindQueue(const Configuration& configuration,
                       std::string_view name);

/// Returns the queue with the longest path prefix that serves `path` at
/// `host_name`; null if there is none.
const Queue* MatchQueue(const Configuration& configuration,
                        std::string_view host_name, std::string_view path);

/// Returns the team that owns the API key `key`; null if there is none.
const Team* FindTeamByKey(const Configuration& configuration,
                          std::string_view key);

/// Returns the team with this name; null if there is none.
const Team* FindTeam(const Configuration& configuration, std::string_view name);

/// One instance of the process on a host that runs tasks for a pool.
struct Target {
  std::string id;
  std::string pool;
  std::string address;
  std::string data_centre;
  std::string host;
  bool draining = false;             ///< Takes no new tasks.
  std::int64_t started_unix_ms = 0;  ///< Start time of this instance.
  Resources capacity;
  std::vector<std::string> labels;  ///< Hardware kind first, rack last.

  friend bool operator==(const Target&, const Target&) = default;
};

bool HasLabel(const Target& target, std::string_view label);

enum class HostState { kUp, kMoving, kMaintenance, kDown };

/// A host as listed by the host provider.
struct Host {
  std::string name;
  std::string pool;
  HostState state = HostState::kDown;
  std::string data_centre;
  std::vector<std::string> labels;
  std::string target;  ///< Id of its current target; empty if none.

  friend bool operator==(const Host&, const Host&) = default;
};

/// A maintenance wave: an operator's request to maintain a set of hosts.
struct Wave {
  std::int64_t number = 0;
  std::vector<std::string> hosts;
  std::int64_t duration_ms = 0;      ///< Time allowed for the whole wave.
  std::int64_t max_unavailable = 1;  ///< Most hosts in maintenance at once.

  friend bool operator==(const Wave&, const Wave&) = default;
};

/// An operator's request to start nothing on the targets of a data centre, or
/// its withdrawal.
struct Evacuation {
  std::string data_centre;
  bool requested = true;

  friend bool operator==(const Evacuation&, const Evacuation&) = default;
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_MODEL_FLEET_H_
