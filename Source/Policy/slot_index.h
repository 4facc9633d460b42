#ifndef HYSSOPBARROW_POLICY_SLOT_INDEX_H_
#define HYSSOPBARROW_POLICY_SLOT_INDEX_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Model/messages.h"
#include "Model/snapshot.h"
#include "Policy/target_health.h"

namespace hyssopbarrow {

/// A worker as its cell's dispatcher uses it.
struct SlotHost {
  std::string rack;
  std::int64_t slots = 0;          ///< 0 once it may get no work.
  std::int64_t granted_slots = 0;  ///< Granted slots, also of hosts that leave.
};

/// Slots of one cell's workers, with those that have free slots in order.
struct SlotIndex {
  std::map<std::string, SlotHost, std::less<>> hosts;
  std::set<std::pair<std::int64_t, std::string>>
      hosts_by_free_slots;       ///< By negated number of free slots.
  std::int64_t total_slots = 0;  ///< Of the workers that may get work.
  std::int64_t free_slots = 0;
  std::int64_t usable_hosts = 0;
};

/// Takes over the cell's hosts of `snapshot`. Hosts that drain, move or are
/// ejected get no more work.
void RebuildSlotIndex(SlotIndex& index, const CellId& cell,
                      const Snapshot& snapshot,
                      const TargetHealthTable& health);

/// Counts a slot of `host` as used; also when the host is not in the table.
void AcquireHostSlot(SlotIndex& index, const std::string& host);

/// Counts a slot of `host` as free again.
void ReleaseHostSlot(SlotIndex& index, const std::string& host);

/// The host with the most free slots that is not in `excluded`, on another
/// rack than those if there is one. Null when none is free.
const std::string* PickHost(const SlotIndex& index,
                            const std::vector<std::string>& excluded);

/// Whether any usable host, free or not, is outside `excluded`.
bool HasUsableHost(const SlotIndex& index,
                   const std::vector<std::string>& excluded);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_SLOT_INDEX_H_
