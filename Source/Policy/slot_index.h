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

/// Slots of one worker.
struct SlotHost {
  std::string rack;
  std::int64_t slots = 0;  ///< 0 if the worker may get no work.
  /// Slots in use, also those of hosts that get no more work.
  std::int64_t granted_slots = 0;
};

/// Slots of the workers of one cell, indexed by free slots.
struct SlotIndex {
  std::map<std::string, SlotHost, std::less<>> hosts;
  /// Hosts with free slots: the negated number of free slots and the name.
  std::set<std::pair<std::int64_t, std::string>> hosts_by_free_slots;
  std::int64_t total_slots = 0;  ///< Of the workers that may get work.
  std::int64_t free_slots = 0;
  std::int64_t usable_hosts = 0;
};

/// Rebuilds the index from the hosts of `cell` in `snapshot`. Hosts that are
/// draining, moving or ejected get no more work.
void RebuildSlotIndex(SlotIndex& index, const CellId& cell,
                      const Snapshot& snapshot,
                      const TargetHealthTable& health);

/// Counts a slot of `host` as used, even if the host is not in the index.
void AcquireHostSlot(SlotIndex& index, const std::string& host);

/// Counts a slot of `host` as free again.
void ReleaseHostSlot(SlotIndex& index, const std::string& host);

/// Returns the host with the most free slots that is not in `excluded`, on a
/// different rack than those if there is one. Null if no slot is free.
const std::string* PickHost(const SlotIndex& index,
                            const std::vector<std::string>& excluded);

/// Returns true if any usable host, with or without free slots, is not in
/// `excluded`.
bool HasUsableHost(const SlotIndex& index,
                   const std::vector<std::string>& excluded);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_SLOT_INDEX_H_
