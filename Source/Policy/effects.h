#ifndef HYSSOPBARROW_POLICY_EFFECTS_H_
#define HYSSOPBARROW_POLICY_EFFECTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Model/messages.h"
#include "Model/outcome.h"
#include "Model/row.h"
#include "Model/time.h"

namespace hyssopbarrow {

// Events: the inputs of a node, one for each step.

/// A caller submitted a call. The daemon keeps its body.
struct CallArrived {
  std::int64_t number = 0;  ///< Unique at this host; part of the CallId.
  std::string queue;
  std::optional<std::string> key;  ///< Secret of the caller's API key.
  std::optional<std::string> idempotency_key;
  bool unrepeatable = false;  ///< Must not be run twice.
  bool resubmission = false;  ///< The caller's earlier one may have run.
  std::optional<Instant> deadline;
};

/// The caller closed its connection or cancelled the call.
struct CallerDisconnected {
  std::int64_t number = 0;
};

/// An attempt at a worker ended.
struct AttemptEnded {
  std::int64_t attempt = 0;
  SlotResult result = SlotResult::kUnused;
  /// Set if the answer may be stored for resubmissions.
  std::optional<RecordedAnswer> answer;
};

/// A message from a peer arrived.
struct PeerMessageReceived {
  PeerEnvelope envelope;
};

/// The link to a peer was opened or closed.
struct PeerLinkChanged {
  std::string peer;
  bool connected = false;
};

/// The store replied to the StoreRequest with the same id.
struct StoreReplied {
  std::int64_t id = 0;
  StoreReply reply;
};

/// The process was asked to stop gracefully, without interrupting work.
struct StopRequested {
  Duration drain_period{};  ///< New calls are refused after it.
};

/// This host is about to write an operator's configuration change. Starts
/// frequent reads of the configuration.
struct ConfigChangeExpected {};

/// Time has passed. Fed to the node at short intervals.
struct Tick {};

using Event = std::variant<CallArrived, CallerDisconnected, AttemptEnded,
                           PeerMessageReceived, PeerLinkChanged, StoreReplied,
                           StopRequested, ConfigChangeExpected, Tick>;

// Effects: what the daemon does after a step.

/// Sends a message to a peer. It is dropped when there is no link.
struct PeerSend {
  std::string to;
  PeerMessage message;

  friend bool operator==(const PeerSend&, const PeerSend&) = default;
};

/// Reads all rows whose key starts with `prefix`.
struct StoreRead {
  std::string prefix;

  friend bool operator==(const StoreRead&, const StoreRead&) = default;
};

/// Sends a request to the store. StoreReplied follows with the same id.
struct StoreRequest {
  std::int64_t id = 0;
  std::variant<StoreRead, Transaction> operation;
  Instant deadline;

  friend bool operator==(const StoreRequest&, const StoreRequest&) = default;
};

/// Sends a call to a worker. AttemptEnded follows.
struct WorkerSend {
  std::int64_t attempt = 0;
  std::int64_t call = 0;  ///< CallArrived::number.
  std::string host;
  std::string address;
  Instant deadline;
  bool unrepeatable = false;  ///< Sent on a new connection.

  friend bool operator==(const WorkerSend&, const WorkerSend&) = default;
};

/// Closes an attempt's connection. No AttemptEnded follows.
struct WorkerCancel {
  std::int64_t attempt = 0;

  friend bool operator==(const WorkerCancel&, const WorkerCancel&) = default;
};

/// Answers the caller. With kAnswered, the caller gets the worker's answer to
/// `attempt`, or `recorded` when `attempt` is 0.
struct CallAnswer {
  std::int64_t call = 0;  ///< CallArrived::number.
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  std::int64_t attempt = 0;
  /// Stored answer to an earlier submission of the call.
  std::optional<RecordedAnswer> recorded;

  friend bool operator==(const CallAnswer&, const CallAnswer&) = default;
};

/// All effects of one step, each kind in the order in which they were decided.
struct Outbox {
  std::vector<PeerSend> peer_sends;
  std::vector<StoreRequest> store_requests;
  std::vector<WorkerSend> worker_sends;
  std::vector<WorkerCancel> worker_cancels;
  std::vector<CallAnswer> call_answers;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_EFFECTS_H_
