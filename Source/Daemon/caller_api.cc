#include "Daemon/caller_api.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "Model/json.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr std::string_view kQueuePrefix = "/v1/queues/";
constexpr std::string_view kCallSuffix = "/calls";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::size_t kMaxIdempotencyKeyBytes = 128;
constexpr std::int64_t kMaxDeadlineMs = 7LL * 24 * 3600 * 1000;

absl::Status InvalidHeader(std::string_view name, std::string_view expected) {
  return absl::InvalidArgumentError(
      StrCat("header '", name, "' must be ", expected));
}

absl::Status ParseKey(const HttpRequest& request, CallArrived& out) {
  const auto text = FindHeader(request.headers, "authorization");
  if (!text.has_value()) return absl::OkStatus();
  std::string_view secret = *text;
  if (!ConsumePrefix(secret, kBearerPrefix) || secret.empty()) {
    return InvalidHeader("authorization", "'Bearer KEY'");
  }
  out.key = std::string(secret);
  return absl::OkStatus();
}

absl::Status ParseIdempotencyKey(const HttpRequest& request, CallArrived& out) {
  const auto text = FindHeader(request.headers, "idempotency-key");
  if (!text.has_value()) return absl::OkStatus();
  if (text->empty() || text->size() > kMaxIdempotencyKeyBytes) {
    return InvalidHeader("idempotency-key", "1 to 128 characters");
  }
  out.idempotency_key = *text;
  return absl::OkStatus();
}

absl::Status ParseFlag(const HttpRequest& request, std::string_view name,
                       bool& out) {
  const std::string text = FindHeader(request.headers, name).value_or("false");
  if (text != "true" && text != "false") {
    return InvalidHeader(name, "true or false");
  }
  out = text == "true";
  return absl::OkStatus();
}

absl::Status ParseFlags(const HttpRequest& request, CallArrived& out) {
  absl::Status status = ParseFlag(request, "x-unrepeatable", out.unrepeatable);
  status.Update(ParseFlag(request, "x-resubmission", out.resubmission));
  return status;
}

absl::Status ParseDeadline(const HttpRequest& request, Instant now,
                           CallArrived& out) {
  const auto text = FindHeader(request.headers, "x-deadline-ms");
  if (!text.has_value()) return absl::OkStatus();
  const auto n = ParseInteger<std::int64_t>(*text);
  if (!n.has_value() || *n < 1 || *n > kMaxDeadlineMs) {
    return InvalidHeader("x-deadline-ms", "an integer from 1 to 604800000");
  }
  out.deadline = now + std::chrono::milliseconds(*n);
  return absl::OkStatus();
}

int StatusOf(Outcome outcome, Reason reason) {
  const bool is_duplicate =
      reason == Reason::kDuplicate || reason == Reason::kAnswerNotKept;
  if (is_duplicate) return 409;
  if (outcome == Outcome::kUnknown) return 502;
  switch (reason) {
    case Reason::kUnknownQueue:
      return 404;
    case Reason::kKeyMissing:
      return 401;
    case Reason::kKeyRejected:
      return 403;
    case Reason::kQueueFull:
    case Reason::kCeiling:
      return 429;
    default:
      return 503;
  }
}

}  // namespace

absl::StatusOr<CallArrived> ParseCall(const HttpRequest& request,
                                      std::int64_t number, Instant now) {
  std::string_view path = request.path;
  const bool matches =
      ConsumePrefix(path, kQueuePrefix) && ConsumeSuffix(path, kCallSuffix);
  if (!matches || path.empty() || path.find('/') != std::string_view::npos) {
    return absl::NotFoundError("no such resource; use /v1/queues/QUEUE/calls");
  }
  if (request.method != "POST") {
    return absl::NotFoundError("calls must use POST");
  }
  CallArrived call;
  call.number = number;
  call.queue = std::string(path);
  if (absl::Status s = ParseKey(request, call); !s.ok()) return s;
  if (absl::Status s = ParseIdempotencyKey(request, call); !s.ok()) return s;
  if (absl::Status s = ParseFlags(request, call); !s.ok()) return s;
  if (absl::Status s = ParseDeadline(request, now, call); !s.ok()) return s;
  return call;
}

HttpResponse RefusalResponse(Outcome outcome, Reason reason,
                             const std::string& request_id) {
  const nlohmann::json body = {{"outcome", ToString(outcome)},
                               {"reason", ToString(reason)},
                               {"request_id", request_id}};
  HttpResponse response{
      .status = StatusOf(outcome, reason),
      .headers = {{"content-type", "application/json"},
                  {"x-outcome", std::string(ToString(outcome))},
                  {"x-reason", std::string(ToString(reason))},
                  {"x-request-id", request_id}},
      .body = FormatJson(body)};
  if (response.status == 429 || response.status == 503) {
    response.headers.push_back({"retry-after", "1"});
  }
  return response;
}

HttpResponse AnsweredResponse(const HttpResponse& worker,
                              const std::string& request_id) {
  HttpResponse response{
      .status = worker.status,
      .headers = {{"x-outcome", "answered"}, {"x-request-id", request_id}},
      .body = worker.body};
  const auto content_type = FindHeader(worker.headers, "content-type");
  if (content_type.has_value()) {
    response.headers.push_back({"content-type", *content_type});
  }
  return response;
}

HttpResponse RecordedResponse(const RecordedAnswer& answer,
                              const std::string& request_id) {
  HttpResponse response{.status = answer.status,
                        .headers = {{"x-outcome", "answered"},
                                    {"x-recorded", "true"},
                                    {"x-request-id", request_id}},
                        .body = answer.body};
  if (!answer.content_type.empty()) {
    response.headers.push_back({"content-type", answer.content_type});
  }
  return response;
}

std::optional<RecordedAnswer> MakeRecordedAnswer(const HttpResponse& worker) {
  if (worker.body.size() > kMaxRecordedBodyBytes) return std::nullopt;
  return RecordedAnswer{
      .status = worker.status,
      .content_type = FindHeader(worker.headers, "content-type").value_or(""),
      .body = worker.body};
}

HttpResponse BadRequestResponse(const absl::Status& status) {
  const nlohmann::json body = {{"outcome", ToString(Outcome::kNotRun)},
                               {"error", std::string(status.message())}};
  return {.status = absl::IsNotFound(status) ? 404 : 400,
          .headers = {{"content-type", "application/json"},
                      {"x-outcome", std::string(ToString(Outcome::kNotRun))}},
          .body = FormatJson(body)};
}

}  // namespace hyssopbarrow
