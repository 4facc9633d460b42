#ifndef HYSSOPBARROW_POLICY_COMMIT_ROWS_H_
#define HYSSOPBARROW_POLICY_COMMIT_ROWS_H_

#include <cstdint>
#include <string>

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// A commit that is being put together.
struct Draft {
  PendingCommit pending;
  CommitRows commit;
  std::int64_t bytes = 0;  ///< As sent.
  bool full = false;       ///< A row did not fit.
};

/// Logs and counts a row that the store refuses.
void RecordRefusedRow(Owner& owner, const std::string& key, std::int64_t bytes,
                      Context& context);

/// Keeps the rows of a job out of the commits of all others for a while,
/// because the store refuses row `key`.
void IsolateJob(Owner& owner, const std::string& id, const std::string& key,
                std::int64_t bytes, Context& context);

/// Adds rows of the jobs that have changed, the first one first.
void AddChangedJobs(Owner& owner, Draft& draft, Context& context);

/// Adds the rows of an isolated job that is to be tried again. Returns false if
/// there is none.
bool AddIsolatedJob(Owner& owner, Draft& draft, Context& context);

/// Adds the write of a small row of the progress table; a null value deletes
/// it.
void AddProgressWrite(Draft& draft, std::string key, nlohmann::json value);

/// Adds the summary of the learned run times if it is due.
void AddRunTimesWrite(Owner& owner, Draft& draft, Context& context);

/// Adds the progress of the maintenance waves that have changed.
void AddWaveWrites(Owner& owner, Draft& draft, Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_COMMIT_ROWS_H_
