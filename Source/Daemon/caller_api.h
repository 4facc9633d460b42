#ifndef HYSSOPBARROW_DAEMON_CALLER_API_H_
#define HYSSOPBARROW_DAEMON_CALLER_API_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "Http/http_server.h"
#include "Model/outcome.h"
#include "Policy/claim_row.h"
#include "Policy/effects.h"
#include "absl/status/statusor.h"

namespace hyssopbarrow {

/// A caller's request that has not been answered yet.
struct PendingCall {
  std::string queue;
  std::string body;
  std::string content_type;
  Responder responder;
  Instant arrived_at;
  std::optional<Instant> started_at;  ///< First sent to a worker.
};

/// Parses a call from `POST /v1/queues/QUEUE/calls`.
///
/// Errors: kNotFound for another path or method; kInvalidArgument naming the
/// invalid header.
absl::StatusOr<CallArrived> ParseCall(const HttpRequest& request,
                                      std::int64_t number, Instant now);

/// Returns the response to a call that no worker answered.
HttpResponse RefusalResponse(Outcome outcome, Reason reason,
                             const std::string& request_id);

/// Returns the response to a call that a worker answered.
HttpResponse AnsweredResponse(const HttpResponse& worker,
                              const std::string& request_id);

/// Returns the response to a resubmitted call from its recorded answer.
HttpResponse RecordedResponse(const RecordedAnswer& answer,
                              const std::string& request_id);

/// Returns the record of a worker's response, or nullopt if its body exceeds
/// kMaxRecordedBodyBytes.
std::optional<RecordedAnswer> MakeRecordedAnswer(const HttpResponse& worker);

/// Returns the response to a request that ParseCall rejected.
HttpResponse BadRequestResponse(const absl::Status& status);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_DAEMON_CALLER_API_H_
