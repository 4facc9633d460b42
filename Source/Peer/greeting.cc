#include "Peer/greeting.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "Model/cbor.h"
#include "Model/text.h"
#include "Peer/codec.h"
#include "absl/strings/escaping.h"

namespace hyssopbarrow {
namespace {

constexpr std::size_t kNonceBytes = 16;
constexpr std::size_t kMaxTextBytes = 128;
constexpr std::array<const char*, 7> kFieldNames = {
    "version",     "name",  "data_centre", "address",
    "incarnation", "nonce", "proof"};

nlohmann::json ToArray(const Greeting& greeting) {
  return {greeting.version, greeting.name,        greeting.data_centre,
          greeting.address, greeting.incarnation, greeting.nonce,
          greeting.proof};
}

std::string ToHex(const unsigned char* data, std::size_t n) {
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(data), n));
}

bool IsValidField(const nlohmann::json& value, std::size_t n) {
  const bool numeric = n == 0 || n == 4;
  if (numeric) return value.is_number_integer();
  return value.is_string() &&
         value.get_ref<const std::string&>().size() <= kMaxTextBytes;
}

}  // namespace

std::string EncodeGreeting(const Greeting& greeting) {
  return ToCbor(ToArray(greeting));
}

absl::StatusOr<Greeting> DecodeGreeting(std::string_view bytes) {
  const nlohmann::json array = ParseCbor(bytes);
  if (!array.is_array() || array.size() != kFieldNames.size()) {
    return absl::InvalidArgumentError(
        "greeting: expected a CBOR array of 7 fields");
  }
  for (std::size_t n = 0; n < kFieldNames.size(); ++n) {
    if (IsValidField(array[n], n)) continue;
    return absl::InvalidArgumentError(
        StrCat("greeting: field '", kFieldNames[n],
               "' has the wrong type or is longer than 128 bytes"));
  }
  Greeting greeting{.version = array[0],
                    .name = array[1],
                    .data_centre = array[2],
                    .address = array[3],
                    .incarnation = array[4],
                    .nonce = array[5],
                    .proof = array[6]};
  if (greeting.version != kPeerProtocolVersion) {
    return absl::InvalidArgumentError(
        StrCat("greeting: field 'version' must be ", kPeerProtocolVersion,
               ", not ", greeting.version));
  }
  if (greeting.name.empty() || greeting.nonce.empty()) {
    return absl::InvalidArgumentError(
        "greeting: fields 'name' and 'nonce' must not be empty");
  }
  return greeting;
}

std::string NewNonce() {
  std::array<unsigned char, kNonceBytes> buf{};
  if (RAND_bytes(buf.data(), buf.size()) != 1) std::abort();
  return ToHex(buf.data(), buf.size());
}

std::string ComputeProof(const std::string& secret, LinkEnd end,
                         Greeting dialler, Greeting acceptor) {
  dialler.proof.clear();
  acceptor.proof.clear();
  const char* label = end == LinkEnd::kDialler ? "dialler" : "acceptor";
  const std::string text = ToCbor({label, ToArray(dialler), ToArray(acceptor)});
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       buf.data(), &n);
  return ToHex(buf.data(), n);
}

bool IsSameProof(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace hyssopbarrow
