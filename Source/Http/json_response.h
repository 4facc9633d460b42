#ifndef HYSSOPBARROW_HTTP_JSON_RESPONSE_H_
#define HYSSOPBARROW_HTTP_JSON_RESPONSE_H_

#include <nlohmann/json.hpp>
#include <string_view>

#include "Http/http_server.h"

namespace hyssopbarrow {

/// Returns a response with body `json`. Invalid UTF-8 is replaced.
HttpResponse JsonResponse(int status, const nlohmann::json& json);

/// Returns a JSON response with `text` in the field `error`.
HttpResponse ErrorResponse(int status, std::string_view text);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_HTTP_JSON_RESPONSE_H_
