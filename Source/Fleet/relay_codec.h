#ifndef HYSSOPBARROW_FLEET_RELAY_CODEC_H_
#define HYSSOPBARROW_FLEET_RELAY_CODEC_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "Policy/fleet_effects.h"
#include "absl/status/statusor.h"

namespace hyssopbarrow::fleet {

/// Replies by the ids of their requests.
using RelayReplies = std::vector<std::pair<std::int64_t, TargetReply>>;

/// Encodes target requests in CBOR. A payload that several requests share is
/// included once. TargetRequest::relay is left out.
std::string EncodeRelayRequests(const std::vector<TargetRequest>& requests);

/// Errors: kInvalidArgument naming the request and the field.
absl::StatusOr<std::vector<TargetRequest>> DecodeRelayRequests(
    const std::string& bytes);

std::string EncodeRelayReplies(const RelayReplies& replies);

/// Errors: kInvalidArgument naming the reply and the field.
absl::StatusOr<RelayReplies> DecodeRelayReplies(const std::string& bytes);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_FLEET_RELAY_CODEC_H_
