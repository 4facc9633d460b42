#ifndef HYSSOPBARROW_POLICY_OWNER_LOAD_H_
#define HYSSOPBARROW_POLICY_OWNER_LOAD_H_

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Notes a commit that the store has answered after `latency`. `rows_left` is
/// the number of changed rows that did not fit.
void RecordCommit(OwnerLoad& load, std::size_t rows, std::size_t rows_left,
                  Duration latency);

/// Notes a start request that was answered after `latency`.
void RecordStartReply(OwnerLoad& load, Duration latency);

/// Logs the load since the last report and begins a new one, if that is due.
void ReportLoad(Owner& owner, Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_OWNER_LOAD_H_
