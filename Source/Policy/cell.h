#ifndef HYSSOPBARROW_POLICY_CELL_H_
#define HYSSOPBARROW_POLICY_CELL_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Model/messages.h"
#include "Model/snapshot.h"
#include "Model/time.h"
#include "Policy/fair_queue.h"
#include "Policy/slot_index.h"
#include "Policy/target_health.h"
#include "absl/container/flat_hash_map.h"

namespace hyssopbarrow {

/// A slot in use.
struct GrantedSlot {
  GrantId grant;
  CallId call;
  std::int64_t attempt = 0;
  std::string team;
  QueueClass queue_class = QueueClass::kUrgent;
  std::string host;
  Instant start_time;
  Instant deadline;          ///< The gateway ends the attempt by then.
  Instant next_check;        ///< When the gateway is asked about it again.
  double charge_s = 0;       ///< Slot seconds charged to the team at the start.
  bool holds_right = false;  ///< Granted here, against a right of this host.
};

/// One process that asks for slots of the cell.
struct GatewayKey {
  std::string name;
  std::int64_t incarnation = 0;

  friend auto operator<=>(const GatewayKey&, const GatewayKey&) = default;
};

/// What the dispatcher knows of one gateway.
struct GatewayRecord {
  std::int64_t attempts = 0;    ///< Requests waiting or granted.
  std::int64_t digest = 0;      ///< Over them; see SlotSummary.
  std::int64_t mismatches = 0;  ///< Summaries in a row that differed.
  Instant inventory_time;       ///< Last inventory.
};

/// State of one cell at its dispatcher. Soft: a new owner rebuilds it.
struct Cell {
  CellId id;
  FairQueue queue;
  SlotIndex slots;
  TargetHealthTable health;
  absl::flat_hash_map<GrantId, GrantedSlot> granted_slots;
  absl::flat_hash_map<CallId, GrantId> grant_by_call;
  std::set<std::pair<Instant, GrantId>>
      grant_checks;  ///< Grants by `check_at`.
  std::map<GatewayKey, GatewayRecord> gateways;
  std::vector<std::string>
      blocked_teams;                    ///< Teams without a right to run more.
  std::map<std::string, double> usage;  ///< Mean slots in the last interval.
  std::int64_t long_slots = 0;
  std::int64_t revision = 0;      ///< Of the snapshot in `slots`.
  bool has_urgent_queue = false;  ///< Some urgent queue uses the pool.
  bool owned = false;             ///< This host is the cell's dispatcher.
  bool rebuilding = true;         ///< Grants wait until gateways have reported.
  bool dispatch_needed = true;    ///< Something may be granted.
  Instant inventories_since;      ///< Older inventories do not count.
  Instant earliest_rebuild_end;   ///< Not complete before.
  Instant latest_rebuild_end;     ///< Complete at the latest.
  Instant next_ownership_check;
  Instant interval_end;
  Instant interval_start;
};

/// Key of the process that made `call`.
inline GatewayKey GatewayKeyOf(const CallId& call) {
  return {call.gateway, call.incarnation};
}

/// Puts a request in line.
void AddWaitingCall(Cell& cell, const Snapshot& snapshot, WaitingCall call);

/// Takes a request out of line.
WaitingCall ExtractWaitingCall(Cell& cell, FairQueue::WaitingIterator it);

/// Counts a slot as used.
void AddGrantedSlot(Cell& cell, const GrantedSlot& slot);

/// Frees a slot and settles the team's account.
GrantedSlot ExtractGrantedSlot(Cell& cell, const GrantId& id, SlotResult result,
                               Instant now);

/// Sets when the gateway is next asked about a grant.
void SetNextCheck(Cell& cell, GrantedSlot& slot, Instant at);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CELL_H_
