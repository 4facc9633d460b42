#ifndef HYSSOPBARROW_HTTP_ADDRESS_H_
#define HYSSOPBARROW_HTTP_ADDRESS_H_

#include <netinet/in.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace hyssopbarrow {

/// An IPv4 address with a port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  friend bool operator==(const Address&, const Address&) = default;
};

/// Parses `IP:port`. Errors: kInvalidArgument with the expected format.
absl::StatusOr<Address> ParseAddress(std::string_view text);

std::string ToString(const Address& address);

/// Converts to a socket address. `address.ip` must be a valid IPv4 address.
sockaddr_in ToSockaddr(const Address& address);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_HTTP_ADDRESS_H_
