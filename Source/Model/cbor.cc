#include "Model/cbor.h"

namespace hyssopbarrow {

std::string ToCbor(const nlohmann::json& value) {
  std::string bytes;
  nlohmann::json::to_cbor(value, bytes);
  return bytes;
}

nlohmann::json ParseCbor(std::string_view bytes) {
  try {
    nlohmann::json value = nlohmann::json::from_cbor(bytes, true, false);
    return value.is_discarded() ? nlohmann::json() : value;
  } catch (const nlohmann::json::exception&) {
    return nullptr;
  }
}

}  // namespace hyssopbarrow
