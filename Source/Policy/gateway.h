#ifndef HYSSOPBARROW_POLICY_GATEWAY_H_
#define HYSSOPBARROW_POLICY_GATEWAY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Model/messages.h"
#include "Model/snapshot.h"
#include "Model/time.h"
#include "Policy/claims.h"
#include "Policy/configuration.h"
#include "Policy/effects.h"
#include "Policy/membership.h"
#include "Policy/retry_budget.h"
#include "Policy/share.h"
#include "Policy/spill.h"

namespace hyssopbarrow {

/// Stage of a call at its gateway.
enum class CallStage {
  kClaiming,  ///< Its idempotency key is being claimed.
  kWaiting,
  kRunning,
  kCancelling,  ///< Cancelled at its worker; the slot is held until the
                ///< cancellation has taken effect.
};

/// A caller's request from its arrival to its answer.
struct Call {
  std::int64_t number = 0;
  std::string team;
  std::string queue;
  bool unrepeatable = false;
  std::optional<std::string> idempotency_key;
  Instant deadline;
  CallStage stage = CallStage::kWaiting;
  CellId cell;  ///< Cell in which a slot is requested or held.
  std::int64_t slot_attempt = 0;    ///< Incremented with each slot request.
  GrantId grant;                    ///< Valid in kRunning and kCancelling.
  std::int64_t worker_attempt = 0;  ///< Number of the last attempt; 0 if none.
  std::string host;
  /// Hosts that failed it or were not serving.
  std::vector<std::string> excluded_hosts;
  std::vector<CellId> refused_cells;  ///< Cells that refused it a slot.
  std::int64_t worker_errors = 0;     ///< Workers that answered with an error.
  bool may_have_run = false;  ///< This or an earlier submission may have run.
  /// The attempt continues only to record its outcome.
  bool caller_disconnected = false;
};

/// Slots that this gateway holds and requests in one cell.
struct CellTracker {
  std::string dispatcher;  ///< Entry host that receives the requests; empty if
                           ///< none is known.
  std::set<std::int64_t> waiting;  ///< Numbers of calls that wait for a slot.
  std::set<std::int64_t> running;  ///< Numbers of calls that hold one.
  std::int64_t digest = 0;         ///< Over both sets; see SlotSummary.
  Instant next_summary;
  Instant summaries_until;  ///< Summaries are sent until then.
};

/// Calls of this host and the slots they hold.
struct GatewayState {
  std::map<std::int64_t, Call> calls;
  std::map<std::int64_t, std::int64_t> call_by_attempt;
  /// Deadlines of calls that are not running, with their numbers. In
  /// kCancelling, the time at which the slot is released.
  std::set<std::pair<Instant, std::int64_t>> deadlines;
  std::map<CellId, CellTracker> cells;
  CellDirectory directory;
  RetryBudget retry_budget;
  std::int64_t next_attempt = 1;
  Instant next_spill;
};

/// State that the gateway reads while it handles an event.
struct GatewayContext {
  const ConfigurationState& configuration;
  const MembershipState& membership;
  const ShareState& share;
  Instant now;
};

/// Validates a new request and requests a slot from a cell's dispatcher. An
/// unrepeatable request stays in kClaiming.
void StartCall(GatewayState& state, const GatewayContext& context,
               const CallArrived& arrived, Outbox& out);

/// Returns the claim that is required before call `number` may be sent; nullopt
/// if the call is not in kClaiming.
std::optional<ClaimRequest> MakeClaimRequest(const GatewayState& state,
                                             const GatewayContext& context,
                                             std::int64_t number);

/// Requests a slot if the claim was granted; otherwise answers the caller.
void HandleClaimResult(GatewayState& state, const GatewayContext& context,
                       const ClaimResult& result, Outbox& out);

/// Drops a call whose caller has disconnected. An unrepeatable call that may
/// have been sent continues, so that its outcome is recorded.
void AbandonCall(GatewayState& state, const GatewayContext& context,
                 std::int64_t number, Outbox& out);

/// Sends the call to the granted host, or releases a slot that is not needed.
void HandleSlotGrant(GatewayState& state, const GatewayContext& context,
                     const SlotGrant& grant, Outbox& out);

/// Requests a slot in another cell, or answers `not-run` or `unknown`.
void HandleSlotRefusal(GatewayState& state, const GatewayContext& context,
                       const SlotRefusal& refusal, Outbox& out);

/// Sends the inventory of a cell to its dispatcher.
void HandleSlotInventoryRequest(GatewayState& state,
                                const GatewayContext& context,
                                const std::string& from,
                                const SlotInventoryRequest& request,
                                Outbox& out);

/// Releases the slot, then retries the call if that is safe, or answers the
/// caller.
void HandleAttemptEnd(GatewayState& state, const GatewayContext& context,
                      const AttemptEnded& ended, Outbox& out);

/// Ends calls whose deadline has passed, sends inventories and summaries to the
/// dispatchers, and moves waiting calls to cells with free slots.
void TickGateway(GatewayState& state, const GatewayContext& context,
                 Outbox& out);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_GATEWAY_H_
