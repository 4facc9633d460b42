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

/// Limits on one host's store requests for claims.
struct ClaimLimits {
  std::size_t max_batch = 64;  ///< Rows per transaction.
  std::size_t max_batches_in_flight = 4;
  std::size_t max_reads_in_flight = 64;
  std::size_t max_claims = 8192;  ///< Unsettled claims; more are refused.
  /// Minimum time between batches; resends after a conflict are exempt.
  Duration batch_interval = std::chrono::milliseconds(20);
  /// How long outcomes and releases wait for a batch with new claims.
  Duration outcome_delay = std::chrono::milliseconds(100);
};

/// Stage of a claim on the host that holds it.
enum class ClaimStage {
  kClaiming,   ///< The row is being written; the request must not be sent yet.
  kHeld,       ///< The request may be sent.
  kRecording,  ///< The outcome is being written.
  kReleasing,  ///< The request was not sent; the row is being released.
};

/// Store operation that a claim is waiting for.
enum class ClaimStoreState { kNone, kQueued, kWriting, kReading };

/// An idempotency key that this host is claiming or holds.
///
/// Only the incarnation that wrote the row may release it, and only if no byte
/// of the request was sent. Neither a timeout nor another host releases it,
/// because the holder may be paused between deciding to send the request and
/// sending it.
struct Claim {
  std::int64_t call = 0;
  std::string key;    ///< Key of the claim row.
  std::string nonce;  ///< Identifies this submission.
  /// If false, the row key is derived from the nonce, and no resubmission can
  /// match it.
  bool has_idempotency_key = true;
  bool keep_answer = false;
  ClaimStage stage = ClaimStage::kClaiming;
  ClaimStoreState store_state = ClaimStoreState::kNone;
  /// Stage at the time of the last write.
  ClaimStage written_stage = ClaimStage::kClaiming;
  std::int64_t revision = 0;  ///< Row revision that the next write requires.
  /// A write without a reply may still take effect.
  bool has_uncertain_write = false;
  int unanswered_reads = 0;  ///< Consecutive reads without a reply.
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

/// Result of a claim request.
struct ClaimResult {
  std::int64_t call = 0;
  bool granted = false;  ///< The call may be sent. Otherwise it ends with the
                         ///< outcome below.
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  std::optional<RecordedAnswer> answer;

  friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

/// Unsettled claims of this host and their store requests.
struct ClaimsState {
  ClaimLimits limits;
  std::map<std::string, Claim> claims;  ///< By row key.
  std::map<std::int64_t, std::string> key_by_call;
  /// Row keys to write in the next batch.
  std::deque<std::string> immediate_writes;
  /// Number of keys at the front of `immediate_writes` that are resent after a
  /// conflict, in a batch without other rows.
  std::size_t resend_count = 0;
  /// Row keys of outcomes and releases, which may wait for `outcome_delay`.
  std::deque<std::string> deferred_writes;
  std::deque<std::string> queued_reads;  ///< Row keys to read back.
  /// Row keys to write again at `next_retry`.
  std::vector<std::string> failed_writes;
  /// Row keys by request id.
  std::map<std::int64_t, std::vector<std::string>> pending_batches;
  std::map<std::int64_t, std::string> pending_reads;  ///< By request id.
  Instant next_batch;
  Instant next_deferred_write;
  Instant next_retry;
  ClaimRetention retention;
};

/// Starts a claim. Returns the result if no store request is needed; otherwise
/// HandleClaimReply() provides it.
std::optional<ClaimResult> BeginClaim(ClaimsState& state,
                                      const ClaimRequest& request);

/// Records the outcome of an ended call in the claim of the call, if it has
/// one. `outcome` may be kReleased only if no byte of the call was sent.
void EndClaim(ClaimsState& state, std::int64_t call, ClaimRowState outcome,
              const std::optional<RecordedAnswer>& answer);

/// Records the outcomes of answered calls in their claims.
void SettleAnsweredCalls(ClaimsState& state,
                         const std::vector<CallAnswer>& answers);

/// Sends the store requests that are due, in batches.
void FlushClaims(ClaimsState& state, std::int64_t& next_request_id, Instant now,
                 Outbox& out);

/// Handles a store reply and appends the results of claims that it decides.
/// Returns false if `id` is not a request for claims.
bool HandleClaimReply(ClaimsState& state, std::int64_t id,
                      const StoreReply& reply, Instant now,
                      std::vector<ClaimResult>& results);

/// Returns true if every outcome and release is written.
bool AreClaimsSettled(const ClaimsState& state);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CLAIMS_H_
