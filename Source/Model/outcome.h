#ifndef HYSSOPBARROW_MODEL_OUTCOME_H_
#define HYSSOPBARROW_MODEL_OUTCOME_H_

#include <string>
#include <string_view>

namespace hyssopbarrow {

/// What a caller knows about the execution of its request.
enum class Outcome {
  kAnswered,  ///< The complete answer of a worker is attached.
  kNotRun,    ///< Guarantee: no byte that could start it was sent.
  kUnknown,   ///< The request may or may not have run.
};

/// Why a request has its outcome.
enum class Reason {
  kNone,
  kNoConfiguration,    ///< This host has no configuration snapshot yet.
  kUnknownQueue,       ///< The queue is not configured.
  kKeyMissing,         ///< The queue requires a key and none was sent.
  kKeyRejected,        ///< The key is unknown or withdrawn.
  kKeyUnconfirmed,     ///< The store has not confirmed the configuration for
                       ///< longer than the queue's `key_grace_ms`.
  kDeadlineTooShort,   ///< The request cannot start before its deadline.
  kQueueFull,          ///< The limit on waiting requests is reached.
  kNoCapacity,         ///< No worker can accept the request.
  kCeiling,            ///< The team is at its ceiling.
  kWorkerUnreachable,  ///< No connection to a worker could be made.
  kWorkerBroken,       ///< The connection closed before the complete answer.
  kWorkerTimeout,      ///< The answer did not arrive in time.
  kDispatcherLost,     ///< The dispatcher did not answer in time.
  kStoreUnavailable,   ///< The platform's store could not be written.
  kDuplicate,          ///< An earlier submission claimed the idempotency key.
  kAnswerNotKept,  ///< An earlier submission was answered; its answer is too
                   ///< large to be kept.
  kStopping,       ///< This host is shutting down.
  kCancelled,      ///< The caller cancelled or disconnected.
};

/// A worker's answer, stored for resubmissions if it is small enough.
struct RecordedAnswer {
  int status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const RecordedAnswer&,
                         const RecordedAnswer&) = default;
};

/// Returns the name used in headers and logs, for example `not-run`.
std::string_view ToString(Outcome outcome);

/// Returns the name used in headers and logs, for example `key-rejected`.
std::string_view ToString(Reason reason);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_MODEL_OUTCOME_H_
