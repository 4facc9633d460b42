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

/// A slot granted to a call.
struct GrantedSlot {
  GrantId grant;
  CallId call;
  std::int64_t attempt = 0;
  std::string team;
  QueueClass queue_class = QueueClass::kUrgent;
  std::string host;
  Instant start_time;
  Instant deadline;          ///< When the gateway ends the attempt.
  Instant next_check;        ///< When the gateway's state is checked again.
  double charge_s = 0;       ///< Slot seconds charged at the start.
  bool holds_right = false;  ///< Granted by this host, with one of its rights.
};

/// Identifies a process that requests slots of the cell.
struct GatewayKey {
  std::string name;
  std::int64_t incarnation = 0;

  friend auto operator<=>(const GatewayKey&, const GatewayKey&) = default;
};

/// The dispatcher's view of one gateway.
struct GatewayRecord {
  std::int64_t attempts = 0;    ///< Waiting or granted.
  std::int64_t digest = 0;      ///< Over `attempts`; see SlotSummary.
  std::int64_t mismatches = 0;  ///< Consecutive summaries that differed.
  Instant inventory_time;       ///< When the last inventory arrived.
};

/// State of one cell at its dispatcher. It is not stored: a new dispatcher
/// rebuilds it from the inventories of the gateways.
struct Cell {
  CellId id;
  FairQueue queue;
  SlotIndex slots;
  TargetHealthTable health;
  absl::flat_hash_map<GrantId, GrantedSlot> granted_slots;
  absl::flat_hash_map<CallId, GrantId> grant_by_call;
  std::set<std::pair<Instant, GrantId>> grant_checks;  ///< By `next_check`.
  std::map<GatewayKey, GatewayRecord> gateways;
  std::vector<std::string> blocked_teams;  ///< See TeamQueue::blocked.
  std::map<std::string, double> usage;  ///< Mean slots by team, last interval.
  std::int64_t long_slots = 0;          ///< Slots granted to long work.
  std::int64_t revision = 0;            ///< Snapshot revision of `slots`.
  bool has_urgent_queue = false;        ///< Some urgent queue uses the pool.
  bool owned = false;                   ///< This host is the cell's dispatcher.
  bool rebuilding = true;       ///< No grants until all gateways have reported.
  bool dispatch_needed = true;  ///< A slot may be granted in the next tick.
  Instant inventories_since;    ///< Older inventories are ignored.
  Instant earliest_rebuild_end;  ///< Rebuild does not end before.
  Instant latest_rebuild_end;    ///< Rebuild ends by then in any case.
  Instant next_ownership_check;
  Instant interval_end;
  Instant interval_start;
};

/// Returns the key of the process that holds `call`.
inline GatewayKey GatewayKeyOf(const CallId& call) {
  return {call.gateway, call.incarnation};
}

/// Appends a call to its team's queue.
void AddWaitingCall(Cell& cell, const Snapshot& snapshot, WaitingCall call);

/// Removes a waiting call and returns it.
WaitingCall ExtractWaitingCall(Cell& cell, FairQueue::WaitingIterator it);

/// Records a granted slot and marks it as used.
void AddGrantedSlot(Cell& cell, const GrantedSlot& slot);

/// Removes a granted slot, marks it as free and settles the team's charge. Only
/// a succeeded `result` counts for the mean slot time.
GrantedSlot ExtractGrantedSlot(Cell& cell, const GrantId& id, SlotResult result,
                               Instant now);

/// Sets the time of the next check of a grant.
void SetNextCheck(Cell& cell, GrantedSlot& slot, Instant time);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CELL_H_
