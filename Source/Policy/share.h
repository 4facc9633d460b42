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

/// Sorted names of a snapshot. Digests refer to names by their ordinals.
struct ShareNames {
  std::int64_t revision = 0;
  std::int64_t digest = 0;  ///< Hash over all names.
  std::vector<std::string> teams;
  std::vector<std::string> pools;
  std::vector<std::string> data_centres;
};

/// Free slots and waiting calls of a cell.
struct CellLoad {
  std::int64_t free_slots = 0;
  std::int64_t waiting = 0;

  friend bool operator==(const CellLoad&, const CellLoad&) = default;
};

/// Use of slots in one cell during the last usage interval.
struct CellReport {
  std::map<std::string, double> usage;  ///< Mean slots by team.
  std::int64_t free_slots = 0;
  std::int64_t waiting = 0;
};

/// Decoded content of a digest, or a sum of several.
struct ShareRecord {
  std::map<std::string, double> usage;  ///< Mean slots by team.
  std::map<CellId, CellLoad> cells;
  Instant valid_until;
};

/// Use of slots in the fleet. Each data centre has one aggregator host for each
/// shard of teams and pools. It adds up the digests of the data centre's hosts,
/// exchanges the sums with the other data centres and sends the fleet's total
/// to its hosts.
struct ShareState {
  using Source = std::pair<std::int64_t, std::string>;  ///< Shard and sender.

  ShareNames names;
  std::map<CellId, CellReport> own_cells;  ///< Cells dispatched here.
  std::map<Source, ShareRecord> hosts;
  std::map<Source, ShareRecord> data_centres;
  /// Totals of the fleet by shard. Their usage excludes this host's cells.
  std::map<std::int64_t, ShareRecord> fleet;
  Instant next_digest;
  std::int64_t round = 0;  ///< Number of digest rounds so far.
};

/// Sets the measured usage of a cell that this host dispatches.
void SetCellReport(ShareState& state, const CellId& cell, CellReport report);

/// Removes a cell that this host no longer dispatches.
void RemoveCellReport(ShareState& state, const CellId& cell);

/// Returns the mean number of slots that `team` uses in all cells but `cell`.
double UsageInOtherCells(const ShareState& state, const CellId& cell,
                         const std::string& team);

/// Returns the last known load of a cell; null when no valid record has it.
const CellLoad* FindCellLoad(const ShareState& state, const CellId& cell,
                             Instant now);

/// Stores a peer's digest. `data_centre` is the sender's. Ignores a digest over
/// other names than those of the current snapshot.
void HandleShareDigest(ShareState& state, const std::string& from,
                       const std::string& data_centre,
                       const ShareDigest& digest, Instant now);

/// Sends digests to the aggregators and, as an aggregator, sums to others, when
/// they are due.
void TickShare(ShareState& state, const Snapshot& snapshot,
               const MembershipState& membership, Instant now, Outbox& out);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_SHARE_H_
