#ifndef HYSSOPBARROW_POLICY_CLAIM_ROW_H_
#define HYSSOPBARROW_POLICY_CLAIM_ROW_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "Model/outcome.h"

namespace hyssopbarrow {

/// Prefix of the rows that hold claims: `claims/<digest>`.
inline constexpr std::string_view kClaimPrefix = "claims/";

/// Largest body of a worker's answer that is kept in a claim's row.
inline constexpr std::size_t kMaxRecordedBodyBytes = 2048;

/// What a claim's row says about the request.
enum class ClaimRowState {
  kClaimed,   ///< Its holder may have sent it.
  kReleased,  ///< Its holder never sent it; it may be claimed again.
  kAnswered,  ///< A worker answered it.
  kUnknown,   ///< It was sent and no complete answer came.
};

/// Value of a claim's row.
struct ClaimRow {
  ClaimRowState state = ClaimRowState::kUnknown;
  std::string nonce;        ///< Names the submission that wrote the row.
  std::int64_t period = 0;  ///< Retention period in which it was written.
  std::optional<RecordedAnswer> answer;

  friend bool operator==(const ClaimRow&, const ClaimRow&) = default;
};

/// Key of the row for an idempotency key of `team`. Without a team the key is
/// scoped to the queue.
std::string ClaimRowKey(std::string_view team, std::string_view queue,
                        std::string_view idempotency_key);

nlohmann::json ToJson(const ClaimRow& row);

/// Reads a row's value. What cannot be read counts as kUnknown with an empty
/// nonce, so that it is never claimed again.
ClaimRow ParseClaimRow(const nlohmann::json& value);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CLAIM_ROW_H_
