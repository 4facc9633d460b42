#ifndef HYSSOPBARROW_DAEMON_CONFIG_STORE_H_
#define HYSSOPBARROW_DAEMON_CONFIG_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Http/event_loop.h"
#include "Model/row.h"
#include "Platform/table_client.h"
#include "absl/status/status.h"

namespace hyssopbarrow {

/// An operator's change to one row of the table.
struct ConfigChange {
  std::string kind;  ///< `team`, `pool`, `host`, `queue` or `key`.
  std::string name;
  nlohmann::json value;  ///< Null deletes the row.
  /// Revision that the row must have; 0 requires that it does not exist.
  std::optional<std::int64_t> expected_revision;

  friend bool operator==(const ConfigChange&, const ConfigChange&) = default;
};

/// Changes that are committed atomically.
struct ConfigBatch {
  std::vector<ConfigChange> changes;
  std::string write_id;  ///< Unique to this batch.

  friend bool operator==(const ConfigBatch&, const ConfigBatch&) = default;
};

/// A change whose row has another revision than expected.
struct ConfigConflict {
  ConfigChange change;
  Row current_row;

  friend bool operator==(const ConfigConflict&,
                         const ConfigConflict&) = default;
};

/// Result of a batch.
struct ConfigChangeResult {
  absl::Status status;        ///< kAborted if there are conflicts.
  std::int64_t revision = 0;  ///< Snapshot revision with the changes.
  std::vector<ConfigConflict> conflicts;
};

using ConfigChangeCallback = std::function<void(ConfigChangeResult)>;

/// Commits operators' changes to the platform's table.
///
/// Each batch is one transaction conditional on the revisions of the changed
/// rows and of the snapshot, so that the resulting table is always valid as a
/// whole. After a lost reply, the batch's write id in the revision row shows
/// whether it was committed.
class ConfigStore {
 public:
  ConfigStore(EventLoop& loop, TableClient& table)
      : loop_(loop), table_(table) {}

  /// Commits `batch`. Errors in the result: kInvalidArgument naming the field,
  /// kAborted, kNotFound, kUnavailable (nothing was written) and kUnknown.
  void Apply(const ConfigBatch& batch, Instant deadline,
             ConfigChangeCallback callback);

 private:
  struct Attempt;
  void ReadThenCommit(const Attempt& attempt);
  void Commit(const Attempt& attempt, const std::vector<Row>& rows);
  void HandleCommitReply(Attempt attempt, std::int64_t number,
                         const StoreReply& reply);
  void FailAttempt(const Attempt& attempt, std::string_view why);

  EventLoop& loop_;
  TableClient& table_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_DAEMON_CONFIG_STORE_H_
