#include "Http/address.h"

#include <arpa/inet.h>

#include "Model/text.h"

namespace hyssopbarrow {
absl::StatusOr<Address> ParseAddress(std::string_view text) {
  const auto error = absl::InvalidArgumentError(
      StrCat("expected IP:port, for example 127.0.0.1:8080, not '", text, "'"));
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return error;
  Address address{.ip = std::string(text.substr(0, colon))};
  // inet_pton reads up to a NUL.
  if (address.ip.find('\0') != std::string::npos) return error;
  in_addr buf{};
  if (inet_pton(AF_INET, address.ip.c_str(), &buf) != 1) return error;
  const auto port = ParseInteger<std::uint16_t>(text.substr(colon + 1));
  if (!port.has_value()) return error;
  address.port = *port;
  return address;
}

std::string ToString(const Address& address) {
  return StrCat(address.ip, ":", address.port);
}

sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &sa.sin_addr);
  return sa;
}

}  // namespace hyssopbarrow
