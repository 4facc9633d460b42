#ifndef HYSSOPBARROW_PEER_CODEC_H_
#define HYSSOPBARROW_PEER_CODEC_H_

#include <string>
#include <string_view>

#include "Model/messages.h"
#include "absl/status/statusor.h"

namespace hyssopbarrow {

/// Version of the protocol between entry hosts. Links to peers with another
/// version are refused.
inline constexpr int kPeerProtocolVersion = 1;

/// Encodes a message as a CBOR array: its index in PeerMessage, followed by its
/// fields in order.
std::string EncodeMessage(const PeerMessage& message);

/// Decodes a message encoded by EncodeMessage.
///
/// Errors: kInvalidArgument naming the message and the field that is missing,
/// has the wrong type or is out of range, or for extra bytes or fields.
absl::StatusOr<PeerMessage> DecodeMessage(std::string_view bytes);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_PEER_CODEC_H_
