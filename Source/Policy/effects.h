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

/// A request arrived from a caller. Its body stays with the daemon.
struct CallArrived {
  std::int64_t number = 0;  ///< Local number, becomes part of the CallId.
  std::string queue;
  std::optional<std::string> key;  ///< Secret as sent by the caller.
  std::optional<std::string> idempotency_key;
  bool unrepeatable = false;
  bool resubmission = false;  ///< An earlier submission may have run.
  std::optional<Instant> deadline;
};

/// The caller closed its connection or cancelled.
struct CallerDisconnected {
  std::int64_t number = 0;
};

/// An attempt at a worker ended.
struct AttemptEnded {
  std::int64_t attempt = 0;
  SlotResult result = SlotResult::kUnused;
  std::optional<RecordedAnswer> answer;  ///< When it may be kept.
};

/// A peer's message arrived.
struct PeerMessageReceived {
  PeerEnvelope envelope;
};

/// The link to a peer was opened or closed.
struct PeerLinkChanged {
  std::string peer;
  bool connected = false;
};

/// The table answered request `id`.
struct StoreReplied {
  std::int64_t id = 0;
  StoreReply reply;
};

/// The process was asked to stop without cutting off work.
struct StopRequested {
  Duration drain_period{};  ///< New calls are taken for so long.
};

/// An operator's change is about to be written by this host.
struct ConfigChangeExpected {};

/// Time passed.
struct Tick {};

using Event = std::variant<CallArrived, CallerDisconnected, AttemptEnded,
                           PeerMessageReceived, PeerLinkChanged, StoreReplied,
                           StopRequested, ConfigChangeExpected, Tick>;

/// Sends a message to a peer; dropped when there is no link.
struct PeerSend {
  std::string to;
  PeerMessage message;

  friend bool operator==(const PeerSend&, const PeerSend&) = default;
};

/// Reads all rows below a prefix.
struct StoreRead {
  std::string prefix;

  friend bool operator==(const StoreRead&, const StoreRead&) = default;
};

/// Asks the table; answered by StoreReplied with the same id.
struct StoreRequest {
  std::int64_t id = 0;
  std::variant<StoreRead, Transaction> operation;
  Instant deadline;

  friend bool operator==(const StoreRequest&, const StoreRequest&) = default;
};

/// Sends a call to a worker; answered by AttemptEnded.
struct WorkerSend {
  std::int64_t attempt = 0;
  std::int64_t call = 0;
  std::string host;
  std::string address;
  Instant deadline;
  bool unrepeatable = false;  ///< Sent on a connection of its own.

  friend bool operator==(const WorkerSend&, const WorkerSend&) = default;
};

/// Closes an attempt's connection; no AttemptEnded follows.
struct WorkerCancel {
  std::int64_t attempt = 0;

  friend bool operator==(const WorkerCancel&, const WorkerCancel&) = default;
};

/// Answers the caller. With kAnswered the worker's reply to `attempt` is
/// attached, or `recorded` when `attempt` is 0.
struct CallAnswer {
  std::int64_t call = 0;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  std::int64_t attempt = 0;
  std::optional<RecordedAnswer> recorded;  ///< Replaces the worker's reply.

  friend bool operator==(const CallAnswer&, const CallAnswer&) = default;
};

/// All effects of one step, in the order in which they were decided.
struct Outbox {
  std::vector<PeerSend> peer_sends;
  std::vector<StoreRequest> store_requests;
  std::vector<WorkerSend> worker_sends;
  std::vector<WorkerCancel> worker_cancels;
  std::vector<CallAnswer> call_answers;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_EFFECTS_H_
