#ifndef HYSSOPBARROW_DAEMON_DAEMON_H_
#define HYSSOPBARROW_DAEMON_DAEMON_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "Daemon/admin_api.h"
#include "Daemon/caller_api.h"
#include "Daemon/settings.h"
#include "Daemon/telemetry.h"
#include "Http/event_loop.h"
#include "Http/http_client.h"
#include "Http/http_server.h"
#include "Peer/peer_links.h"
#include "Platform/table_client.h"
#include "Policy/node.h"
#include "absl/status/status.h"

namespace hyssopbarrow {

/// One entry host: passes I/O to HandleEvent as events and executes the effects
/// that it returns.
class Daemon {
 public:
  /// `incarnation` must be higher than in every earlier start of this host.
  Daemon(EventLoop& loop, const Settings& settings, std::int64_t incarnation);

  /// Opens the listeners and starts the periodic tick.
  /// Errors: kUnavailable if an address cannot be bound.
  absl::Status Start();

  /// Starts a graceful shutdown: after the drain period new calls are refused,
  /// and calls in progress are finished.
  void RequestStop();

  /// Returns whether a requested stop is complete. To be called periodically:
  /// it also advances the shutdown.
  bool IsStopped();

  Address CallerAddress() const { return caller_server_.BoundAddress(); }
  Address OperatorAddress() const { return operator_server_.BoundAddress(); }
  /// Null without a `peers` section in the settings.
  const PeerLinks* links() const { return links_.get(); }
  const NodeState& node() const { return node_; }

 private:
  void HandleCallerRequest(HttpRequest request, const Responder& responder);
  void HandleOperatorRequest(const HttpRequest& request,
                             const Responder& responder);
  void ProcessEvent(const Event& event);
  void Execute(const Outbox& out);
  void Execute(const StoreRequest& request);
  void Execute(const WorkerSend& send);
  void Execute(const CallAnswer& answer);
  HttpResponse MakeResponse(const CallAnswer& answer,
                            const std::string& id) const;
  void CancelAttempt(std::int64_t attempt);
  void HandleAttemptEnd(std::int64_t attempt, TransferResult result,
                        HttpResponse response);
  void ScheduleTick();
  absl::Status StartPeers(const PeerSettings& peers);
  void UpdatePeers();
  void LogRejectedSnapshot();
  PeerLinkCallbacks MakeLinkCallbacks();
  bool IsMemberRowRemoved() const;
  bool AreStoreWritesSettled() const;
  std::string RequestId(std::int64_t call) const;

  EventLoop& loop_;
  Settings settings_;
  NodeState node_;
  HttpClient client_;
  TableClient table_;
  Telemetry telemetry_;
  AdminApi admin_;
  HttpServer caller_server_;
  HttpServer operator_server_;
  std::unordered_map<std::int64_t, PendingCall> calls_;
  std::unordered_map<std::int64_t, std::int64_t> exchange_by_attempt_;
  std::unordered_map<std::int64_t, HttpResponse> response_by_attempt_;
  std::int64_t next_call_ = 1;
  Instant settle_deadline_;  ///< Limit for AreStoreWritesSettled at a stop.
  std::unique_ptr<PeerLinks> links_;
  Instant next_peer_update_;
  bool shutting_down_ = false;
  std::string logged_rejection_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_DAEMON_DAEMON_H_
