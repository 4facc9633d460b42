#include "Platform/table_client.h"

#include <utility>

#include "Model/json.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
constexpr int kStatusUnavailable = 503;

StoreReply WithStatus(StoreStatus status) {
  return {.status = status, .rows = {}, .revision = 0};
}

StoreReply ParseReadReply(const HttpResponse& response) {
  if (response.status != kStatusOk) {
    return WithStatus(StoreStatus::kUnavailable);
  }
  const auto json = ParseJson(response.body);
  absl::StatusOr<std::vector<Row>> rows = ParseRows(json);
  if (!rows.ok()) return WithStatus(StoreStatus::kUnavailable);
  return {.status = StoreStatus::kOk, .rows = *std::move(rows), .revision = 0};
}

StoreReply ParseCommitReply(const HttpResponse& response) {
  const auto json = ParseJson(response.body);
  if (response.status == kStatusUnavailable) {
    return WithStatus(StoreStatus::kUnavailable);
  }
  if (response.status == kStatusOk && json.is_object() &&
      json.contains("revision") && json["revision"].is_number_integer()) {
    return {
        .status = StoreStatus::kOk, .rows = {}, .revision = json["revision"]};
  }
  if (response.status != kStatusConflict) {
    return WithStatus(StoreStatus::kUnknown);
  }
  absl::StatusOr<std::vector<Row>> rows = ParseRows(json);
  if (!rows.ok()) return WithStatus(StoreStatus::kUnknown);
  return {.status = StoreStatus::kConflict,
          .rows = *std::move(rows),
          .revision = 0};
}

}  // namespace

void TableClient::Read(std::string_view prefix, Instant deadline,
                       StoreCallback callback) {
  const ClientRequest request{.address = address_,
                              .request = {.method = "GET",
                                          .path = "/rows",
                                          .query = StrCat("prefix=", prefix)},
                              .deadline = deadline};
  client_.Send(request,
               [callback = std::move(callback)](TransferResult result,
                                                const HttpResponse& response) {
                 const bool complete = result == TransferResult::kComplete;
                 callback(complete ? ParseReadReply(response)
                                   : WithStatus(StoreStatus::kUnavailable));
               });
}

void TableClient::Commit(const Transaction& transaction, Instant deadline,
                         StoreCallback callback) {
  const ClientRequest request{
      .address = address_,
      .request = {.method = "POST",
                  .path = "/transactions",
                  .body = FormatJson(ToJson(transaction))},
      .deadline = deadline};
  client_.Send(request,
               [callback = std::move(callback)](TransferResult result,
                                                const HttpResponse& response) {
                 if (result == TransferResult::kComplete) {
                   return callback(ParseCommitReply(response));
                 }
                 const bool sent = result != TransferResult::kNotConnected;
                 callback(WithStatus(sent ? StoreStatus::kUnknown
                                          : StoreStatus::kUnavailable));
               });
}

}  // namespace hyssopbarrow
