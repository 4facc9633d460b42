#include "Policy/gateway.h"

#include <algorithm>
#include <utility>

#include "Model/text.h"
#include "Policy/slot_client.h"

namespace hyssopbarrow {
namespace {

/// Time from closing the connection of a cancelled attempt until its slot is
/// released.
constexpr Duration kCancelledSlotHoldTime = std::chrono::milliseconds(100);

constexpr std::size_t kMaxAttempts = 3;
constexpr std::int64_t kMaxWorkerErrors = 2;
constexpr Duration kSpillInterval = std::chrono::milliseconds(500);

void AnswerCall(std::int64_t number, Outcome outcome, Reason reason,
                std::int64_t attempt, Outbox& out) {
  out.call_answers.push_back({.call = number,
                              .outcome = outcome,
                              .reason = reason,
                              .attempt = attempt});
}

/// Ends a call that no worker answered.
void FailCall(GatewayState& state, const Call& call, Reason reason,
              Outbox& out) {
  const Outcome outcome =
      call.may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  AnswerCall(call.number, outcome, reason, 0, out);
  state.calls.erase(call.number);
}

SpillContext MakeSpillContext(GatewayState& state,
                              const GatewayContext& context) {
  RefreshDirectory(state.directory, *context.configuration.snapshot);
  return {state.directory, context.share, context.membership, context.now};
}

/// Sets the cell in which `call` next requests a slot. Returns false if there
/// is none.
bool ChooseNextCell(GatewayState& state, const GatewayContext& context,
                    const Queue& queue, Call& call) {
  const ChosenCell chosen =
      ChooseCell(MakeSpillContext(state, context), queue, call.refused_cells,
                 static_cast<std::uint64_t>(call.number));
  if (chosen.choice == CellChoice::kNone) return false;
  call.cell = chosen.cell;
  return true;
}

const Queue* FindCallQueue(const GatewayContext& context, const Call& call) {
  return Find(context.configuration.snapshot->queues, call.queue);
}

bool HasOtherWorker(const GatewayState& state, const Call& call) {
  auto it = state.directory.serving_hosts.find(call.cell);
  if (it == state.directory.serving_hosts.end()) return false;
  return it->second > std::ssize(call.excluded_hosts) + 1;
}

/// Returns true if another attempt may help and cannot run an unrepeatable
/// request twice.
bool MayRetry(const GatewayState& state, const Call& call, SlotResult result) {
  if (call.excluded_hosts.size() + 1 >= kMaxAttempts ||
      call.caller_disconnected) {
    return false;
  }
  if (result == SlotResult::kUnreachable) return true;
  if (call.unrepeatable) return false;
  if (result != SlotResult::kFailed) return true;
  return call.worker_errors < kMaxWorkerErrors && HasOtherWorker(state, call);
}

bool IsAnswer(SlotResult result) {
  return result == SlotResult::kSucceeded || result == SlotResult::kFailed;
}

Reason FailureReason(SlotResult result) {
  switch (result) {
    case SlotResult::kUnreachable:
      return Reason::kWorkerUnreachable;
    case SlotResult::kTimedOut:
      return Reason::kWorkerTimeout;
    default:
      return Reason::kWorkerBroken;
  }
}

Instant EffectiveDeadline(const CallArrived& arrived, const Queue& queue,
                          Instant now) {
  const Instant latest = now + std::chrono::milliseconds(queue.timeout_ms);
  return std::min(arrived.deadline.value_or(latest), latest);
}

/// Sends the call to the host of its grant.
void StartAttempt(GatewayState& state, Call& call, const Host& host,
                  Outbox& out) {
  call.worker_attempt = state.next_attempt++;
  state.call_by_attempt.emplace(call.worker_attempt, call.number);
  out.worker_sends.push_back({.attempt = call.worker_attempt,
                              .call = call.number,
                              .host = host.name,
                              .address = host.address,
                              .deadline = call.deadline,
                              .unrepeatable = call.unrepeatable});
}

/// Returns the host of a grant if it may get work; null otherwise.
const Host* FindServingHost(const GatewayContext& context,
                            const SlotGrant& grant) {
  const auto& snapshot = context.configuration.snapshot;
  if (!snapshot.has_value()) return nullptr;
  const Host* host = Find(snapshot->hosts, grant.host);
  const bool is_serving = host != nullptr && host->state == HostState::kServing;
  return is_serving ? host : nullptr;
}

bool IsRetryableElsewhere(Reason reason) {
  return reason == Reason::kNoCapacity || reason == Reason::kQueueFull ||
         reason == Reason::kDeadlineTooShort;
}

void ExpireCalls(GatewayState& state, const GatewayContext& context,
                 Outbox& out) {
  while (!state.deadlines.empty() &&
         state.deadlines.begin()->first <= context.now) {
    const Call call = state.calls.at(state.deadlines.begin()->second);
    if (call.stage == CallStage::kCancelling) {
      state.deadlines.erase(state.deadlines.begin());
      ReleaseCallSlot(state, call, SlotResult::kAbandoned, out);
      state.calls.erase(call.number);
      continue;
    }
    if (call.stage == CallStage::kClaiming) {
      state.deadlines.erase(state.deadlines.begin());
      FailCall(state, call, Reason::kStoreUnavailable, out);
      continue;
    }
    const bool has_no_dispatcher = state.cells[call.cell].dispatcher.empty();
    CancelSlotRequest(state, context, call, out);
    FailCall(
        state, call,
        has_no_dispatcher ? Reason::kDispatcherLost : Reason::kDeadlineTooShort,
        out);
  }
}

/// Moves waiting calls to cells with free slots, those that arrived last first,
/// if `cell` has no free slot.
void SpillWaitingCalls(GatewayState& state, const GatewayContext& context,
                       const CellId& cell, Outbox& out) {
  const CellLoad* load = FindCellLoad(context.share, cell, context.now);
  if (load == nullptr || load->free_slots > 0) return;
  const std::set<std::int64_t> waiting = state.cells[cell].waiting;
  std::map<CellId, std::int64_t> moved;
  for (auto it = waiting.rbegin(); it != waiting.rend(); ++it) {
    Call& call = state.calls.at(*it);
    const Queue* queue = FindCallQueue(context, call);
    if (queue == nullptr) continue;
    const ChosenCell chosen = ChooseFreeCell(
        MakeSpillContext(state, context), *queue, call.refused_cells,
        static_cast<std::uint64_t>(call.number));
    if (chosen.choice == CellChoice::kNone) return;
    const CellLoad* target =
        FindCellLoad(context.share, chosen.cell, context.now);
    if (++moved[chosen.cell] > target->free_slots) return;
    CancelSlotRequest(state, context, call, out);
    call.cell = chosen.cell;
    RequestSlot(state, context, call, out);
  }
}

void TickSpill(GatewayState& state, const GatewayContext& context,
               Outbox& out) {
  if (context.now < state.next_spill) return;
  state.next_spill = context.now + kSpillInterval;
  std::vector<CellId> local_cells;
  for (const auto& [cell, tracker] : state.cells) {
    const bool is_local =
        cell.data_centre == context.membership.self.data_centre;
    if (is_local && !tracker.waiting.empty()) local_cells.push_back(cell);
  }
  for (const CellId& cell : local_cells) {
    SpillWaitingCalls(state, context, cell, out);
  }
}

}  // namespace

void StartCall(GatewayState& state, const GatewayContext& context,
               const CallArrived& arrived, Outbox& out) {
  auto refuse = [&](Reason reason) {
    const Outcome outcome =
        arrived.resubmission ? Outcome::kUnknown : Outcome::kNotRun;
    AnswerCall(arrived.number, outcome, reason, 0, out);
  };
  if (RefusesCalls(context.membership, context.now)) {
    return refuse(Reason::kStopping);
  }
  if (!context.configuration.snapshot.has_value()) {
    return refuse(Reason::kNoConfiguration);
  }
  const Queue* queue =
      Find(context.configuration.snapshot->queues, arrived.queue);
  if (queue == nullptr) return refuse(Reason::kUnknownQueue);
  const Admission admission =
      Admit(context.configuration, *queue, arrived.key, context.now);
  if (admission.reason != Reason::kNone) return refuse(admission.reason);
  const Instant deadline = EffectiveDeadline(arrived, *queue, context.now);
  if (deadline <= context.now) return refuse(Reason::kDeadlineTooShort);
  Call call{.number = arrived.number,
            .team = admission.team,
            .queue = queue->name,
            .unrepeatable = arrived.unrepeatable,
            .idempotency_key = arrived.idempotency_key,
            .deadline = deadline,
            .may_have_run = arrived.resubmission};
  if (!ChooseNextCell(state, context, *queue, call)) {
    return refuse(Reason::kNoCapacity);
  }
  CreditRetryBudget(state.retry_budget);
  if (call.unrepeatable) {
    call.stage = CallStage::kClaiming;
    state.deadlines.emplace(call.deadline, call.number);
  } else {
    RequestSlot(state, context, call, out);
  }
  state.calls.emplace(call.number, std::move(call));
}

std::optional<ClaimRequest> MakeClaimRequest(const GatewayState& state,
                                             const GatewayContext& context,
                                             std::int64_t number) {
  auto it = state.calls.find(number);
  const bool is_claiming =
      it != state.calls.end() && it->second.stage == CallStage::kClaiming;
  if (!is_claiming) return std::nullopt;
  const NodeIdentity& self = context.membership.self;
  return ClaimRequest{
      .call = number,
      .team = it->second.team,
      .queue = it->second.queue,
      .idempotency_key = it->second.idempotency_key,
      .nonce = StrCat(self.name, "-", self.incarnation, "-", number)};
}

void HandleClaimResult(GatewayState& state, const GatewayContext& context,
                       const ClaimResult& result, Outbox& out) {
  auto it = state.calls.find(result.call);
  const bool is_claiming =
      it != state.calls.end() && it->second.stage == CallStage::kClaiming;
  if (!is_claiming) return;
  state.deadlines.erase({it->second.deadline, result.call});
  Call& call = it->second;
  if (result.granted) {
    call.may_have_run = false;
    return RequestSlot(state, context, call, out);
  }
  const bool is_uncertain =
      result.outcome == Outcome::kNotRun && call.may_have_run;
  out.call_answers.push_back(
      {.call = result.call,
       .outcome = is_uncertain ? Outcome::kUnknown : result.outcome,
       .reason = result.reason,
       .recorded = result.answer});
  state.calls.erase(it);
}

void AbandonCall(GatewayState& state, const GatewayContext& context,
                 std::int64_t number, Outbox& out) {
  auto it = state.calls.find(number);
  if (it == state.calls.end()) return;
  Call& call = it->second;
  if (call.stage == CallStage::kRunning && call.unrepeatable) {
    call.caller_disconnected = true;
    return;
  }
  if (call.stage == CallStage::kRunning) {
    out.worker_cancels.push_back({call.worker_attempt});
    state.call_by_attempt.erase(call.worker_attempt);
    call.stage = CallStage::kCancelling;
    state.deadlines.insert({context.now + kCancelledSlotHoldTime, number});
    return;
  }
  if (call.stage == CallStage::kCancelling) return;
  if (call.stage == CallStage::kClaiming) {
    state.deadlines.erase({call.deadline, number});
  } else {
    CancelSlotRequest(state, context, call, out);
  }
  state.calls.erase(it);
}

void HandleSlotGrant(GatewayState& state, const GatewayContext& context,
                     const SlotGrant& grant, Outbox& out) {
  if (grant.call.incarnation != context.membership.self.incarnation) return;
  auto it = state.calls.find(grant.call.number);
  if (it == state.calls.end()) return DeclineGrant(grant, out);
  Call& call = it->second;
  const bool holds_slot =
      call.stage == CallStage::kRunning || call.stage == CallStage::kCancelling;
  if (holds_slot && call.grant == grant.grant) return;
  if (call.stage != CallStage::kWaiting || call.slot_attempt != grant.attempt) {
    return DeclineGrant(grant, out);
  }
  const Host* host = FindServingHost(context, grant);
  if (host == nullptr) {
    DeclineGrant(grant, out);
    call.excluded_hosts.push_back(grant.host);
    CancelSlotRequest(state, context, call, out);
    return RequestSlot(state, context, call, out);
  }
  AcquireCallSlot(state, context, call, grant, out);
  StartAttempt(state, call, *host, out);
}

void HandleSlotRefusal(GatewayState& state, const GatewayContext& context,
                       const SlotRefusal& refusal, Outbox& out) {
  if (refusal.call.incarnation != context.membership.self.incarnation) return;
  auto it = state.calls.find(refusal.call.number);
  if (it == state.calls.end()) return;
  Call& call = it->second;
  if (call.stage != CallStage::kWaiting ||
      call.slot_attempt != refusal.attempt) {
    return;
  }
  DropSlotRequest(state, call);
  call.refused_cells.push_back(call.cell);
  const Queue* queue = FindCallQueue(context, call);
  const bool retry = IsRetryableElsewhere(refusal.reason) &&
                     context.now < call.deadline && queue != nullptr &&
                     ChooseNextCell(state, context, *queue, call);
  if (retry) return RequestSlot(state, context, call, out);
  const Call failed_call = call;
  FailCall(state, failed_call, refusal.reason, out);
}

void HandleSlotInventoryRequest(GatewayState& state,
                                const GatewayContext& context,
                                const std::string& from,
                                const SlotInventoryRequest& request,
                                Outbox& out) {
  SendInventory(state, context, request.cell, from, out);
}

void HandleAttemptEnd(GatewayState& state, const GatewayContext& context,
                      const AttemptEnded& ended, Outbox& out) {
  auto attempt = state.call_by_attempt.find(ended.attempt);
  if (attempt == state.call_by_attempt.end()) return;
  Call& call = state.calls.at(attempt->second);
  state.call_by_attempt.erase(attempt);
  ReleaseCallSlot(state, call, ended.result, out);
  if (ended.result == SlotResult::kFailed) ++call.worker_errors;
  const bool retry = ended.result != SlotResult::kSucceeded &&
                     context.now < call.deadline &&
                     MayRetry(state, call, ended.result) &&
                     AcquireRetryToken(state.retry_budget, context.now);
  if (!retry && IsAnswer(ended.result)) {
    AnswerCall(call.number, Outcome::kAnswered, Reason::kNone, ended.attempt,
               out);
    out.call_answers.back().recorded = ended.answer;
    state.calls.erase(call.number);
    return;
  }
  call.may_have_run =
      call.may_have_run || ended.result != SlotResult::kUnreachable;
  call.excluded_hosts.push_back(call.host);
  if (retry) return RequestSlot(state, context, call, out);
  const Call failed_call = call;
  FailCall(state, failed_call, FailureReason(ended.result), out);
}

void TickGateway(GatewayState& state, const GatewayContext& context,
                 Outbox& out) {
  if (context.configuration.snapshot.has_value()) {
    RefreshDirectory(state.directory, *context.configuration.snapshot);
  }
  ExpireCalls(state, context, out);
  TickCellTrackers(state, context, out);
  TickSpill(state, context, out);
}

}  // namespace hyssopbarrow
