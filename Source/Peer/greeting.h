#ifndef HYSSOPBARROW_PEER_GREETING_H_
#define HYSSOPBARROW_PEER_GREETING_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace hyssopbarrow {

/// First message of each side of a new link; identifies the entry host.
struct Greeting {
  std::int64_t version = 0;
  std::string name;
  std::string data_centre;
  std::string address;  ///< `IP:port` where it accepts links.
  std::int64_t incarnation = 0;
  std::string nonce;
  std::string proof;  ///< Empty in the dialler's greeting.

  friend bool operator==(const Greeting&, const Greeting&) = default;
};

/// The end of a link that a proof authenticates.
enum class LinkEnd { kDialler, kAcceptor };

std::string EncodeGreeting(const Greeting& greeting);

/// Decodes a greeting. Errors: kInvalidArgument naming the field that is
/// missing or invalid, also when the version is not kPeerProtocolVersion.
absl::StatusOr<Greeting> DecodeGreeting(std::string_view bytes);

/// Returns 16 random bytes in hexadecimal. Each greeting needs a new nonce.
std::string NewNonce();

/// Returns the HMAC-SHA-256 with key `secret` of `end` and both greetings, with
/// their proofs left out, in hexadecimal.
std::string ComputeProof(const std::string& secret, LinkEnd end,
                         Greeting dialler, Greeting acceptor);

/// Compares two proofs in constant time.
bool IsSameProof(std::string_view a, std::string_view b);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_PEER_GREETING_H_
