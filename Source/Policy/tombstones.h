#ifndef HYSSOPBARROW_POLICY_TOMBSTONES_H_
#define HYSSOPBARROW_POLICY_TOMBSTONES_H_

#include <cstdint>
#include <deque>
#include <string>

#include "Model/time.h"
#include "Policy/fleet_effects.h"
#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// A tombstone that this entry host has written under the id of a job.
struct Tombstone {
  std::string job;
  std::int64_t revision = 0;
  Instant remove_at{};

  friend bool operator==(const Tombstone&, const Tombstone&) = default;
};

/// Tombstones to remove once no write can take effect late any more. Those of a
/// host that ends before stay in the store.
struct Tombstones {
  std::deque<Tombstone> kept;        ///< In the order of `remove_at`.
  std::int64_t pending_request = 0;  ///< Request id; 0 if none.
};

/// Notes a tombstone that has been stored with `revision`, unless a fixed
/// number is noted; a further one stays in the store.
void KeepTombstone(Tombstones& tombstones, const std::string& job,
                   std::int64_t revision, Instant now);

/// Removes the first tombstone if it is due and no removal is pending.
void RemoveDueTombstone(Tombstones& tombstones, Context& context);

/// Handles the store's reply to a removal. Returns false if `id` is not one.
bool HandleTombstoneRemoval(Tombstones& tombstones, std::int64_t id,
                            const StoreRows& reply, Context& context);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_TOMBSTONES_H_
