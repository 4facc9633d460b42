#ifndef HYSSOPBARROW_POLICY_SPILL_H_
#define HYSSOPBARROW_POLICY_SPILL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Model/messages.h"
#include "Model/snapshot.h"
#include "Model/time.h"
#include "Policy/membership.h"
#include "Policy/share.h"

namespace hyssopbarrow {

/// Serving hosts by cell, taken from one snapshot.
struct CellDirectory {
  std::int64_t revision = 0;
  std::map<CellId, std::int64_t>
      serving_hosts;  ///< Cells with at least one host.
  std::vector<std::string> spare_pools;
};

/// Brings the directory up to date.
void RefreshDirectory(CellDirectory& directory, const Snapshot& snapshot);

/// What the choice of a cell depends on.
struct SpillContext {
  const CellDirectory& directory;
  const ShareState& share;
  const MembershipState& membership;
  Instant now;
};

/// How a cell was chosen.
enum class CellChoice {
  kNone,       ///< No cell has a worker for the queue.
  kLocal,      ///< The queue's own cell in this data centre.
  kOtherCell,  ///< Another data centre's cell or a spare cell.
};

struct ChosenCell {
  CellChoice choice = CellChoice::kNone;
  CellId cell;
};

/// Picks the cell for a request of `queue` outside `refused`. The local cell,
/// unless it has no worker, no dispatcher, or no free slot while others have
/// some; those are picked in proportion to their free slots by `seed`.
ChosenCell ChooseCell(const SpillContext& context, const Queue& queue,
                      const std::vector<CellId>& refused, std::uint64_t seed);

/// Like ChooseCell, but only cells known to have free slots outside this data
/// centre's own cell.
ChosenCell ChooseFreeCell(const SpillContext& context, const Queue& queue,
                          const std::vector<CellId>& refused,
                          std::uint64_t seed);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_SPILL_H_
