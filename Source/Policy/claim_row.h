#ifndef HYSSOPBARROW_POLICY_CLAIM_ROW_H_
#define HYSSOPBARROW_POLICY_CLAIM_ROW_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "Model/outcome.h"

namespace hyssopbarrow {

/// Key prefix of the claim rows: `claims/<digest>`.
inline constexpr std::string_view kClaimPrefix = "claims/";

/// Largest body of a worker's answer that is stored in a claim row.
inline constexpr std::size_t kMaxRecordedBodyBytes = 2048;

/// State of a request in its claim row.
enum class ClaimRowState {
  kClaimed,   ///< The host that claimed it may have sent it.
  kReleased,  ///< It was not sent and may be claimed again.
  kAnswered,  ///< A worker answered it.
  kUnknown,   ///< It was sent, but no complete answer was received.
};

/// Value of a claim row.
struct ClaimRow {
  ClaimRowState state = ClaimRowState::kUnknown;
  std::string nonce;        ///< Identifies the submission that wrote the row.
  std::int64_t period = 0;  ///< Retention period in which it was written.
  std::optional<RecordedAnswer> answer;

  friend bool operator==(const ClaimRow&, const ClaimRow&) = default;
};

/// Returns the key of the claim row for `idempotency_key`, which is scoped to
/// `team`, or to `queue` if `team` is empty.
std::string ClaimRowKey(std::string_view team, std::string_view queue,
                        std::string_view idempotency_key);

nlohmann::json ToJson(const ClaimRow& row);

/// Parses the value of a claim row. A value that is not an object yields
/// kUnknown with an empty nonce, and an unknown state yields kUnknown, so that
/// the key is not claimed again.
ClaimRow ParseClaimRow(const nlohmann::json& value);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CLAIM_ROW_H_
