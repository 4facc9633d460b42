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

/// The cells and spare pools of one snapshot.
struct CellDirectory {
  std::int64_t revision = 0;
  std::map<CellId, std::int64_t>
      serving_hosts;  ///< Cells with at least one host.
  std::vector<std::string> spare_pools;
};

/// Rebuilds the directory when the revision of `snapshot` differs.
void RefreshDirectory(CellDirectory& directory, const Snapshot& snapshot);

/// Inputs of the choice of a cell.
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

/// Chooses the cell for a call of `queue`, other than the cells in `refused`.
/// Chooses the local cell, unless it has no worker or no dispatcher, or is full
/// while other cells have free slots. Other cells are chosen at random from
/// `seed`, with a probability proportional to their free slots.
ChosenCell ChooseCell(const SpillContext& context, const Queue& queue,
                      const std::vector<CellId>& refused, std::uint64_t seed);

/// Like ChooseCell, but chooses only among cells other than the local one that
/// are known to have free slots.
ChosenCell ChooseFreeCell(const SpillContext& context, const Queue& queue,
                          const std::vector<CellId>& refused,
                          std::uint64_t seed);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_SPILL_H_
