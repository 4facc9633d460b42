#include "Standalone/table_server.h"

#include <utility>

#include "Http/json_response.h"
#include "Model/json.h"

namespace hyssopbarrow {
namespace {

nlohmann::json RowsJson(const std::vector<Row>& rows) {
  nlohmann::json items = nlohmann::json::array();
  for (const Row& row : rows) items.push_back(ToJson(row));
  return {{"rows", items}};
}

std::string_view PrefixParameter(std::string_view query) {
  constexpr std::string_view kParameter = "prefix=";
  return query.starts_with(kParameter) ? query.substr(kParameter.size()) : "";
}

}  // namespace

TableServer::TableServer(EventLoop& loop, Table& table)
    : table_(table),
      server_(loop, HttpServerLimits{},
              [this](const HttpRequest& request, const Responder& responder) {
                Serve(request, responder);
              }) {}

void TableServer::Serve(const HttpRequest& request,
                        const Responder& responder) {
  if (request.path == "/faults") return responder.Send(SetFaults(request));
  if (faults_.down) return responder.Send(ErrorResponse(503, "table is down"));
  if (request.path == "/rows" && request.method == "GET") {
    return responder.Send(JsonResponse(
        200, RowsJson(table_.Read(PrefixParameter(request.query)))));
  }
  if (request.path == "/transactions" && request.method == "POST") {
    return Commit(request, responder);
  }
  responder.Send(ErrorResponse(404, "no such resource"));
}

void TableServer::Commit(const HttpRequest& request,
                         const Responder& responder) {
  const auto json = ParseJson(request.body);
  absl::StatusOr<Transaction> transaction = ParseTransaction(json);
  if (!transaction.ok()) {
    return responder.Send(
        ErrorResponse(400, std::string(transaction.status().message())));
  }
  const StoreReply reply = table_.Commit(*transaction);
  if (faults_.lose_replies) {
    unanswered_requests_.push_back(responder);
    return;
  }
  if (reply.status == StoreStatus::kConflict) {
    return responder.Send(JsonResponse(409, RowsJson(reply.rows)));
  }
  responder.Send(JsonResponse(200, {{"revision", reply.revision}}));
}

HttpResponse TableServer::SetFaults(const HttpRequest& request) {
  const auto json = ParseJson(request.body);
  if (!json.is_object()) return ErrorResponse(400, "expected an object");
  faults_.down = FlagOrFalse(json, "down");
  faults_.lose_replies = FlagOrFalse(json, "lose_replies");
  return JsonResponse(
      200, {{"down", faults_.down}, {"lose_replies", faults_.lose_replies}});
}

}  // namespace hyssopbarrow
