#include "Standalone/worker_server.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr std::int64_t kMaxDelayMs = 60'000;
/// Runs are not counted any more from this number of request ids on.
constexpr std::size_t kMaxCountedRequests = 1'000'000;

Duration RequestedDelay(const HttpRequest& request) {
  const std::string text =
      FindHeader(request.headers, "x-delay-ms").value_or("0");
  const auto n = ParseInteger<std::int64_t>(text);
  const bool valid = n.has_value() && *n >= 0 && *n <= kMaxDelayMs;
  return std::chrono::milliseconds(valid ? *n : 0);
}

}  // namespace

WorkerServer::WorkerServer(EventLoop& loop, std::string name)
    : loop_(loop),
      name_(std::move(name)),
      server_(loop, HttpServerLimits{},
              [this](const HttpRequest& request, const Responder& responder) {
                Serve(request, responder);
              }) {}

void WorkerServer::Serve(const HttpRequest& request,
                         const Responder& responder) {
  if (request.path.starts_with("/run/") && request.method == "POST") {
    return Run(request, responder);
  }
  if (request.path == "/runs") {
    return responder.Send({.status = 200,
                           .headers = {},
                           .body = nlohmann::json(run_counts_).dump()});
  }
  responder.Send({.status = 404, .headers = {}, .body = "no such resource"});
}

void WorkerServer::Run(const HttpRequest& request, const Responder& responder) {
  const std::string id =
      FindHeader(request.headers, "x-request-id").value_or("");
  if (run_counts_.size() < kMaxCountedRequests) ++run_counts_[id];
  const HttpResponse response{
      .status = 200, .headers = {{"x-worker", name_}}, .body = request.body};
  const Duration delay = RequestedDelay(request);
  if (delay == Duration::zero()) return responder.Send(response);
  loop_.CallAt(loop_.Now() + delay,
               [responder, response] { responder.Send(response); });
}

}  // namespace hyssopbarrow
