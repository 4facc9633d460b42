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
  kCancelling,  ///< Cancelled at its worker; the slot is held until that took
                ///< effect.
};

/// A caller's request between arrival and answer.
struct Call {
  std::int64_t number = 0;
  std::string team;
  std::string queue;
  bool unrepeatable = false;
  std::optional<std::string> idempotency_key;
  Instant deadline;
  CallStage stage = CallStage::kWaiting;
  CellId cell;                    ///< Where a slot was asked for.
  std::int64_t slot_attempt = 0;  ///< Grows with each request for another slot.
  GrantId grant;                  ///< Valid while running.
  std::int64_t worker_attempt = 0;
  std::string host;
  std::vector<std::string> excluded_hosts;  ///< Hosts that failed it.
  std::vector<CellId> refused_cells;        ///< Cells that refused it.
  std::int64_t worker_errors = 0;    ///< Workers that answered with an error.
  bool may_have_run = false;         ///< Or an earlier submission of it.
  bool caller_disconnected = false;  ///< Runs on only to record its outcome.
};

/// What this gateway holds and waits for in one cell.
struct CellTracker {
  std::string dispatcher;  ///< Who was told; empty when there is nobody.
  std::set<std::int64_t> waiting;  ///< Numbers of calls.
  std::set<std::int64_t> running;
  std::int64_t digest = 0;  ///< Over both; see SlotSummary.
  Instant next_summary;
  Instant summaries_until;  ///< Summaries are sent until then.
};

/// Calls held by this host.
struct GatewayState {
  std::map<std::int64_t, Call> calls;
  std::map<std::int64_t, std::int64_t> call_by_attempt;
  std::set<std::pair<Instant, std::int64_t>>
      deadlines;  ///< Unless running; of a
                  ///< call that ends, when its slot is free.
  std::map<CellId, CellTracker> cells;
  CellDirectory directory;
  RetryBudget retry_budget;
  std::int64_t next_attempt = 1;
  Instant next_spill;
};

/// What the gateway consults while it handles an event.
struct GatewayContext {
  const ConfigurationState& configuration;
  const MembershipState& membership;
  const ShareState& share;
  Instant now;
};

/// Checks a new request and asks a cell's dispatcher for a slot; an
/// unrepeatable one stays in kClaiming.
void StartCall(GatewayState& state, const GatewayContext& context,
               const CallArrived& arrived, Outbox& out);

/// What has to be claimed before call `number` may be sent; nothing when it is
/// not in kClaiming.
std::optional<ClaimRequest> MakeClaimRequest(const GatewayState& state,
                                             const GatewayContext& context,
                                             std::int64_t number);

/// Asks for a slot after a granted claim, or answers.
void HandleClaimResult(GatewayState& state, const GatewayContext& context,
                       const ClaimResult& verdict, Outbox& out);

/// Drops a request whose caller is gone. An unrepeatable one that may have been
/// sent goes on, so that its outcome is recorded.
void AbandonCall(GatewayState& state, const GatewayContext& context,
                 std::int64_t number, Outbox& out);

/// Sends the call to the granted host, or returns a slot that is not needed.
void HandleSlotGrant(GatewayState& state, const GatewayContext& context,
                     const SlotGrant& grant, Outbox& out);

/// Asks another cell, or answers `not-run` or `unknown`.
void HandleSlotRefusal(GatewayState& state, const GatewayContext& context,
                       const SlotRefusal& refusal, Outbox& out);

/// Reports everything held in a cell.
void HandleSlotInventoryRequest(GatewayState& state,
                                const GatewayContext& context,
                                const std::string& from,
                                const SlotInventoryRequest& request,
                                Outbox& out);

/// Releases the slot and answers, or tries again where that is safe.
void HandleAttemptEnd(GatewayState& state, const GatewayContext& context,
                      const AttemptEnded& ended, Outbox& out);

/// Registers with new dispatchers, sends summaries, moves waiting calls to
/// free cells, and ends calls that passed their deadline.
void TickGateway(GatewayState& state, const GatewayContext& context,
                 Outbox& out);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_GATEWAY_H_
