#ifndef HYSSOPBARROW_POLICY_CLAIMS_H_
#define HYSSOPBARROW_POLICY_CLAIMS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Model/outcome.h"
#include "Model/row.h"
#include "Model/time.h"
#include "Policy/claim_retention.h"
#include "Policy/claim_row.h"
#include "Policy/effects.h"

namespace hyssopbarrow {

/// Bounds on the store requests for claims of one host.
struct ClaimLimits {
  std::size_t max_batch = 64;  ///< Rows in one transaction.
  std::size_t max_batches_in_flight = 4;
  std::size_t max_reads_in_flight = 64;
  std::size_t max_claims = 8192;  ///< Claims that are not settled.
  Duration batch_interval = std::chrono::milliseconds(20);
  Duration outcome_delay = std::chrono::milliseconds(100);
};

/// Stages of a claim at its holder.
enum class ClaimStage {
  kClaiming,   ///< The row is being written; nothing may be sent.
  kHeld,       ///< The request may be sent.
  kRecording,  ///< The outcome is being written.
  kReleasing,  ///< The request was never sent; the row is being given free.
};

/// The store request that a claim waits for.
enum class ClaimStoreState { kNone, kQueued, kWriting, kReading };

/// One idempotency key that this host claims or holds.
///
/// Only the incarnation that wrote the row may release it, and only while no
/// byte was sent. No timeout and no other host ever does so, because the holder
/// may be paused between its decision to send and the sending.
struct Claim {
  std::int64_t call = 0;
  std::string key;    ///< Of its row.
  std::string nonce;  ///< Names this submission.
  bool has_idempotency_key =
      true;  ///< False when no resubmission can name the row.
  bool keep_answer = false;
  ClaimStage stage = ClaimStage::kClaiming;
  ClaimStoreState store_state = ClaimStoreState::kNone;
  ClaimStage written_stage =
      ClaimStage::kClaiming;  ///< Stage of the last write.
  std::int64_t revision = 0;  ///< Of the row that the next write replaces.
  bool has_uncertain_write =
      false;                 ///< A write may take effect without a reply.
  int unanswered_reads = 0;  ///< Without reply since the last write.
  ClaimRowState outcome = ClaimRowState::kClaimed;
  std::optional<RecordedAnswer> answer;
};

/// A request to claim the idempotency key of a call.
struct ClaimRequest {
  std::int64_t call = 0;
  std::string team;
  std::string queue;
  std::optional<std::string> idempotency_key;
  std::string nonce;
};

/// Decision on a call that waited for its claim.
struct ClaimResult {
  std::int64_t call = 0;
  bool granted = false;  ///< The call may be sent; else it ends as follows.
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  std::optional<RecordedAnswer> answer;

  friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

/// Claims of this host that are not settled, and their store requests.
struct ClaimsState {
  ClaimLimits limits;
  std::map<std::string, Claim> claims;  ///< By key of the row.
  std::map<std::int64_t, std::string> key_by_call;
  std::deque<std::string> immediate_writes;  ///< Keys of rows to be claimed.
  std::size_t resend_count =
      0;  ///< First keys of `urgent` that go out by themselves.
  std::deque<std::string> deferred_writes;  ///< Keys of rows to be settled.
  std::deque<std::string> queued_reads;     ///< Keys of rows to be read back.
  std::vector<std::string>
      failed_writes;  ///< Keys to be settled after `retry_at`.
  std::map<std::int64_t, std::vector<std::string>>
      pending_batches;                                ///< By request.
  std::map<std::int64_t, std::string> pending_reads;  ///< By request.
  Instant next_batch;
  Instant next_deferred_write;
  Instant next_retry;
  ClaimRetention retention;
};

/// Begins to claim; the verdict comes now or with a later reply.
std::optional<ClaimResult> BeginClaim(ClaimsState& state,
                                      const ClaimRequest& order);

/// Settles the claim of a call that ended, if it has one. `outcome` is
/// kReleased only when no byte of the call was sent.
void EndClaim(ClaimsState& state, std::int64_t call, ClaimRowState outcome,
              const std::optional<RecordedAnswer>& answer);

/// Settles the claims of all calls that are answered.
void SettleAnsweredCalls(ClaimsState& state,
                         const std::vector<CallAnswer>& answers);

/// Sends the store requests that are due, in batches.
void FlushClaims(ClaimsState& state, std::int64_t& next_request_id, Instant now,
                 Outbox& out);

/// Takes in a reply and appends the verdicts that follow. Returns whether `id`
/// was a request of this system.
bool HandleClaimReply(ClaimsState& state, std::int64_t id,
                      const StoreReply& reply, Instant now,
                      std::vector<ClaimResult>& verdicts);

/// Whether every outcome and release is written.
bool AreClaimsSettled(const ClaimsState& state);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CLAIMS_H_
