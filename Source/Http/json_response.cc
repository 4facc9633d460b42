#include "Http/json_response.h"

namespace hyssopbarrow {

HttpResponse JsonResponse(int status, const nlohmann::json& json) {
  return {.status = status,
          .headers = {{"content-type", "application/json"}},
          .body = json.dump(-1, ' ', false,
                            nlohmann::json::error_handler_t::replace)};
}

HttpResponse ErrorResponse(int status, std::string_view text) {
  return JsonResponse(status, {{"error", text}});
}

}  // namespace hyssopbarrow
