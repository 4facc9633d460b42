#include "Policy/fleet_effects.h"

namespace hyssopbarrow::fleet {

std::string_view ToString(OrderResult result) {
  switch (result) {
    case OrderResult::kDone:
      return "done";
    case OrderResult::kFenced:
      return "fenced";
    case OrderResult::kOldRun:
      return "old_run";
    case OrderResult::kLeaseOver:
      return "lease_over";
    case OrderResult::kNoRoom:
      return "no_room";
    case OrderResult::kNoTicket:
      return "no_ticket";
    case OrderResult::kInvalid:
      return "invalid";
    case OrderResult::kUnhealthy:
      return "unhealthy";
    case OrderResult::kOtherInstance:
      return "other_instance";
    case OrderResult::kNotSent:
      return "not_sent";
    case OrderResult::kNoReply:
      return "no_reply";
  }
  return "no_reply";
}

std::string_view ToString(EndKind kind) {
  switch (kind) {
    case EndKind::kDone:
      return "done";
    case EndKind::kFailed:
      return "failed";
    case EndKind::kStopped:
      return "stopped";
    case EndKind::kLapsed:
      return "lapsed";
    case EndKind::kBroken:
      return "broken";
    case EndKind::kAlone:
      return "alone";
  }
  return "failed";
}

std::string_view ToString(HostResult result) {
  switch (result) {
    case HostResult::kDone:
      return "done";
    case HostResult::kFenced:
      return "fenced";
    case HostResult::kBusy:
      return "busy";
    case HostResult::kWrongWave:
      return "wrong_wave";
    case HostResult::kInvalid:
      return "invalid";
    case HostResult::kLimited:
      return "limited";
    case HostResult::kNoReply:
      return "no_reply";
  }
  return "no_reply";
}

std::string_view ToString(CallKind kind) {
  switch (kind) {
    case CallKind::kSubmit:
      return "submit";
    case CallKind::kState:
      return "state";
    case CallKind::kCancel:
      return "cancel";
    case CallKind::kWaiting:
      return "waiting";
  }
  return "state";
}

std::string_view ToString(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kAccepted:
      return "accepted";
    case CallOutcome::kState:
      return "state";
    case CallOutcome::kWaiting:
      return "waiting";
    case CallOutcome::kCancelled:
      return "cancelled";
    case CallOutcome::kNoQueue:
      return "no_queue";
    case CallOutcome::kNoJob:
      return "no_job";
    case CallOutcome::kBadKey:
      return "bad_key";
    case CallOutcome::kInvalid:
      return "invalid";
    case CallOutcome::kNotAccepted:
      return "not_accepted";
    case CallOutcome::kUnavailable:
      return "unavailable";
    case CallOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace hyssopbarrow::fleet
