#include "Policy/fleet_effects.h"

namespace hyssopbarrow::fleet {

std::string_view ToString(TargetResult result) {
  switch (result) {
    case TargetResult::kDone:
      return "done";
    case TargetResult::kFenced:
      return "fenced";
    case TargetResult::kOldRun:
      return "old_run";
    case TargetResult::kLeaseExpired:
      return "lease_over";
    case TargetResult::kNoRoom:
      return "no_room";
    case TargetResult::kNoTicket:
      return "no_ticket";
    case TargetResult::kInvalid:
      return "invalid";
    case TargetResult::kUnhealthy:
      return "unhealthy";
    case TargetResult::kOtherInstance:
      return "other_instance";
    case TargetResult::kNotSent:
      return "not_sent";
    case TargetResult::kNoReply:
      return "no_reply";
    case TargetResult::kRelayLost:
      return "relay_lost";
  }
  return "no_reply";
}

std::string_view ToString(RunEndKind kind) {
  switch (kind) {
    case RunEndKind::kDone:
      return "done";
    case RunEndKind::kFailed:
      return "failed";
    case RunEndKind::kStopped:
      return "stopped";
    case RunEndKind::kLeaseExpired:
      return "lapsed";
    case RunEndKind::kBroken:
      return "broken";
    case RunEndKind::kGangIncomplete:
      return "alone";
  }
  return "failed";
}

std::string_view ToString(HostRequestResult result) {
  switch (result) {
    case HostRequestResult::kDone:
      return "done";
    case HostRequestResult::kFenced:
      return "fenced";
    case HostRequestResult::kBusy:
      return "busy";
    case HostRequestResult::kWrongWave:
      return "wrong_wave";
    case HostRequestResult::kInvalid:
      return "invalid";
    case HostRequestResult::kLimited:
      return "limited";
    case HostRequestResult::kNotSent:
      return "not_sent";
    case HostRequestResult::kNoReply:
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
