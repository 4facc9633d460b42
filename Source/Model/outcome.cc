#include "Model/outcome.h"

namespace hyssopbarrow {

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ToString(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kNoConfiguration:
      return "no-configuration";
    case Reason::kUnknownQueue:
      return "unknown-queue";
    case Reason::kKeyMissing:
      return "key-missing";
    case Reason::kKeyRejected:
      return "key-rejected";
    case Reason::kKeyUnconfirmed:
      return "key-unconfirmed";
    case Reason::kDeadlineTooShort:
      return "deadline-too-short";
    case Reason::kQueueFull:
      return "queue-full";
    case Reason::kNoCapacity:
      return "no-capacity";
    case Reason::kCeiling:
      return "ceiling";
    case Reason::kWorkerUnreachable:
      return "worker-unreachable";
    case Reason::kWorkerBroken:
      return "worker-broken";
    case Reason::kWorkerTimeout:
      return "worker-timeout";
    case Reason::kDispatcherLost:
      return "dispatcher-lost";
    case Reason::kStoreUnavailable:
      return "store-unavailable";
    case Reason::kDuplicate:
      return "duplicate";
    case Reason::kAnswerNotKept:
      return "answer-not-kept";
    case Reason::kStopping:
      return "stopping";
    case Reason::kCancelled:
      return "cancelled";
  }
  return "none";
}

}  // namespace hyssopbarrow
