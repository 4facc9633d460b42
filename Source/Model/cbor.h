#ifndef HYSSOPBARROW_MODEL_CBOR_H_
#define HYSSOPBARROW_MODEL_CBOR_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace hyssopbarrow {

std::string ToCbor(const nlohmann::json& value);

/// Returns null for invalid CBOR. nlohmann's from_cbor throws on excessive
/// lengths even with allow_exceptions set to false.
nlohmann::json ParseCbor(std::string_view bytes);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_MODEL_CBOR_H_
