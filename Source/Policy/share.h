#ifndef HYSSOPBARROW_POLICY_SHARE_H_
#define HYSSOPBARROW_POLICY_SHARE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Model/messages.h"
#include "Model/snapshot.h"
#include "Model/time.h"
#include "Policy/effects.h"
#include "Policy/membership.h"

namespace hyssopbarrow {

/// Sorted names of a snapshot; digests carry ordinals in them.
struct ShareNames {
  std::int64_t revision = 0;
  std::int64_t digest = 0;  ///< Over all names.
  std::vector<std::string> teams;
  std::vector<std::string> pools;
  std::vector<std::string> data_centres;
};

/// Free slots and waiting requests of a cell.
struct CellLoad {
  std::int64_t free_slots = 0;
  std::int64_t waiting = 0;

  friend bool operator==(const CellLoad&, const CellLoad&) = default;
};

/// Use of slots in one cell during the last interval.
struct CellReport {
  std::map<std::string, double> usage;  ///< Mean slots by team.
  std::int64_t free_slots = 0;
  std::int64_t waiting = 0;
};

/// What a digest said.
struct ShareRecord {
  std::map<std::string, double> usage;
  std::map<CellId, CellLoad> cells;
  Instant valid_until;
};

/// Use of slots over the fleet. Each data centre has one aggregator for each
/// shard of teams and pools; it adds up its hosts' digests, exchanges the sums
/// with the other data centres, and tells its hosts the total.
struct ShareState {
  using Source = std::pair<std::int64_t, std::string>;  ///< Shard and sender.

  ShareNames names;
  std::map<CellId, CellReport> own_cells;  ///< Cells dispatched here.
  std::map<Source, ShareRecord> hosts;
  std::map<Source, ShareRecord> data_centres;
  std::map<std::int64_t, ShareRecord> fleet;  ///< By shard; usage without
                                              ///< this host's.
  Instant next_digest;
  std::int64_t round = 0;
};

/// Takes in the measured use of a cell that this host dispatches.
void SetCellReport(ShareState& state, const CellId& cell, CellReport report);

/// Forgets a cell that this host no longer dispatches.
void RemoveCellReport(ShareState& state, const CellId& cell);

/// Mean slots that `team` uses in the fleet outside `cell`.
double UsageInOtherCells(const ShareState& state, const CellId& cell,
                         const std::string& team);

/// Last known load of a cell; null when nothing recent is known.
const CellLoad* FindCellLoad(const ShareState& state, const CellId& cell,
                             Instant now);

/// Takes in a digest. `data_centre` is the sender's.
void HandleShareDigest(ShareState& state, const std::string& from,
                       const std::string& data_centre,
                       const ShareDigest& digest, Instant now);

/// Sends digests when they are due.
void TickShare(ShareState& state, const Snapshot& snapshot,
               const MembershipState& membership, Instant now, Outbox& out);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_SHARE_H_
