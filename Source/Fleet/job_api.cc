#include "Fleet/job_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "Http/json_response.h"
#include "Model/json.h"
#include "Model/snapshot.h"
#include "Model/text.h"

namespace hyssopbarrow::fleet {
namespace {

constexpr std::string_view kBearer = "Bearer ";
/// If the header `x-deadline-ms` is missing.
constexpr std::int64_t kDefaultDeadlineMs = 3000;
/// No call takes an hour.
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

/// HTTP status and value of the header `x-outcome`.
struct HttpOutcome {
  int status = 503;
  std::string_view outcome;
};

HttpOutcome ToHttpOutcome(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kAccepted:
      return {200, "accepted"};
    case CallOutcome::kState:
    case CallOutcome::kWaiting:
    case CallOutcome::kCancelled:
      return {200, "answered"};
    case CallOutcome::kNoQueue:
    case CallOutcome::kNoJob:
      return {404, "not-run"};
    case CallOutcome::kBadKey:
      return {403, "not-run"};
    case CallOutcome::kInvalid:
      return {400, "not-run"};
    case CallOutcome::kNotAccepted:
      return {503, "not-run"};
    case CallOutcome::kUnavailable:
      return {503, "unknown"};
    case CallOutcome::kUnknown:
      return {504, "unknown"};
  }
  return {504, "unknown"};
}

/// Sets `call.spec`, or `call.spec_error` if the body is not a valid job.
void ParseSpec(const std::string& body, Call& call) {
  const auto json = ParseJson(body);
  if (json.is_discarded()) {
    call.spec_error = "the body is not JSON";
    return;
  }
  absl::StatusOr<JobSpec> spec = ParseJobSpec(json);
  if (spec.ok()) {
    call.spec = *std::move(spec);
  } else {
    call.spec_error = std::string(spec.status().message());
  }
}

}  // namespace

std::string JobsPath(std::string_view queue) {
  return StrCat("/v1/queues/", queue, "/jobs/");
}

Call JobCodec::Decode(const HttpRequest& request) const {
  Call call{.kind = CallKind::kState, .path = request.path};
  call.request_id = FindHeader(request.headers, "x-request-id").value_or("");
  if (const auto header = FindHeader(request.headers, "authorization")) {
    std::string_view secret = *header;
    if (ConsumePrefix(secret, kBearer)) call.key = Sha256Hex(secret);
  }
  const auto deadline = FindHeader(request.headers, "x-deadline-ms");
  const auto ms =
      deadline ? ParseInteger<std::int64_t>(*deadline) : std::nullopt;
  call.time_left = std::chrono::milliseconds(std::clamp<std::int64_t>(
      ms.value_or(kDefaultDeadlineMs), 0, kMaxDeadlineMs));
  if (request.method == "POST" || request.method == "PUT") {
    call.kind = CallKind::kSubmit;
    ParseSpec(request.body, call);
  } else if (request.method == "DELETE") {
    call.kind = CallKind::kCancel;
  }
  return call;
}

HttpResponse JobCodec::Encode(const CallReply& reply) const {
  const HttpOutcome outcome = ToHttpOutcome(reply.outcome);
  nlohmann::json body = nlohmann::json::object();
  switch (reply.outcome) {
    case CallOutcome::kAccepted:
      body["state"] = ToString(JobState::kPending);
      break;
    case CallOutcome::kState:
      body["state"] = ToString(reply.state);
      break;
    case CallOutcome::kCancelled:
      body["state"] = ToString(JobState::kCancelled);
      break;
    case CallOutcome::kWaiting:
      body["waiting"] = reply.waiting;
      break;
    default:
      body["error"] = reply.detail.empty() ? ToString(reply.outcome)
                                           : std::string_view(reply.detail);
  }
  HttpResponse response = JsonResponse(outcome.status, body);
  response.headers.push_back({"x-outcome", std::string(outcome.outcome)});
  if (outcome.status == 503) response.headers.push_back({"retry-after", "1"});
  return response;
}

}  // namespace hyssopbarrow::fleet
