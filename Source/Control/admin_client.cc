#include "Control/admin_client.h"

#include <utility>

#include "Model/json.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kRequestTimeout = std::chrono::seconds(30);
constexpr int kStatusOk = 200;

ExitCode ExitCodeOf(int status) {
  switch (status) {
    case kStatusOk:
      return ExitCode::kOk;
    case 400:
    case 405:
    case 413:
      return ExitCode::kUsage;
    case 403:
      return ExitCode::kForbidden;
    case 404:
      return ExitCode::kNotFound;
    case 409:
      return ExitCode::kConflict;
    case 503:
      return ExitCode::kUnreachable;
    case 504:
      return ExitCode::kUnknown;
    default:
      return ExitCode::kFailed;
  }
}

AdminReply ParseReply(const HttpResponse& response) {
  auto json = ParseJson(response.body);
  if (json.is_object()) return {ExitCodeOf(response.status), std::move(json)};
  const std::string text = StrCat("HTTP status ", response.status);
  const bool ok = response.status == kStatusOk;
  return {ok ? ExitCode::kFailed : ExitCodeOf(response.status),
          {{"error", text}}};
}

}  // namespace

AdminReply AdminClient::Send(const AdminRequest& request) {
  ClientRequest out{
      .address = daemon_,
      .request = {.method = request.method,
                  .path = StrCat(base_, request.path),
                  .query = {},
                  .headers = {{"authorization", StrCat("Bearer ", key_)}},
                  .body = request.body.is_null() ? "" : request.body.dump()},
      .deadline = SteadyNow() + kRequestTimeout,
      .fresh_connection = true};
  if (request.if_match.has_value()) {
    out.request.headers.push_back({"if-match", StrCat(*request.if_match)});
  }
  bool done = false;
  AdminReply reply{ExitCode::kUnreachable,
                   {{"error", StrCat("cannot reach ", ToString(daemon_))}}};
  client_.Send(out, [&](TransferResult result, const HttpResponse& response) {
    done = true;
    if (result == TransferResult::kComplete) reply = ParseReply(response);
  });
  while (!done) loop_.RunOnce(out.deadline);
  return reply;
}

void AdminClient::Wait(Duration duration) {
  const Instant end = SteadyNow() + duration;
  while (SteadyNow() < end) loop_.RunOnce(end);
}

AdminReply AdminClient::List(const std::string& kind) {
  return Send({.method = "GET", .path = kind});
}

}  // namespace hyssopbarrow
