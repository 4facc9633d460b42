#ifndef HYSSOPBARROW_FLEET_ENTRY_HOST_H_
#define HYSSOPBARROW_FLEET_ENTRY_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Fleet/backend.h"
#include "Fleet/caller_limits.h"
#include "Fleet/decision_log.h"
#include "Fleet/fleet_metrics.h"
#include "Fleet/relay_client.h"
#include "Fleet/relay_server.h"
#include "Http/event_loop.h"
#include "Http/http_client.h"
#include "Http/http_server.h"
#include "Policy/entry.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace hyssopbarrow::fleet {

/// Settings of one entry host.
struct EntryHostSettings {
  std::string node;
  std::string holder;          ///< NODE@INSTANCE, differs between instances.
  std::int64_t cpu_milli = 0;  ///< CPU share; 0 if it is not known.
  std::int64_t link_mbps = 0;  ///< Bandwidth; 0 if it is not known.
  std::string data_centre;
  Address callers;
  Address readiness;
  Address peers;  ///< To which other entry hosts send queries.
  /// At which the owner sends target requests for this host to carry.
  Address relay;
  Address metrics;
  /// Memory and descriptors that the process may use; 0 if not known.
  std::int64_t memory_mb = 0;
  std::int64_t max_descriptors = 0;
  Duration stop_timeout{};  ///< From the request to stop to the process's end.
  TimingSettings timing;

  friend bool operator==(const EntryHostSettings&,
                         const EntryHostSettings&) = default;
};

/// Runs an entry host: passes calls, replies and ticks as events to the
/// decision core (Policy/entry.h) and carries out the effects that it returns.
class EntryHost {
 public:
  EntryHost(EventLoop& loop, const EntryHostSettings& settings,
            Backend& backend, const CallCodec& codec);

  /// Opens the listeners.
  /// Errors: kUnavailable when an address cannot be bound.
  absl::Status Start();

  /// Runs the decision core if it is due and flushes the log. Returns the
  /// longest time to wait until the next Tick.
  Duration Tick();

  /// Runs Tick and one iteration of the event loop.
  void RunOnce();

  /// Starts a graceful stop: releases the ownership of the fleet and answers
  /// the calls that are still open.
  void RequestStop();
  /// True once the process may exit: all calls are answered, the ownership is
  /// released and callers have stopped coming, or the stop timeout has passed.
  bool IsStopped() const;

  /// Applies reloaded timing settings; on an error the present ones stay.
  void Reload(const absl::StatusOr<TimingSettings>& timing);

  /// Counts and logs a request of this host that timed out.
  void RecordTimeout(const ExchangeTimeout& timeout);

  const EntryState& entry() const { return entry_; }
  Address CallerAddress() const { return caller_server_.BoundAddress(); }
  Address PeerAddress() const { return peer_server_.BoundAddress(); }

 private:
  /// A caller whose call is not answered yet.
  struct WaitingCaller {
    CallKind kind = CallKind::kState;
    Responder responder;
    Instant arrived_at;
  };

  EventTime Now() const;
  void Log(Severity severity, std::string event,
           std::vector<std::pair<std::string, std::string>> fields);
  void ServeCaller(const HttpRequest& request, const Responder& responder);
  /// Keeps callers within their part of memory and descriptors.
  void LimitCallers();
  void ServePeer(const HttpRequest& request, const Responder& responder);
  /// Passes an event to the decision core and carries out its effects.
  void HandleEvent(
      const std::function<void(const EventTime&, Effects&)>& event);
  /// Returns a callback that records the reply of `system` to request `id` in
  /// the metrics and passes it to `handler`.
  template <typename Handler>
  auto MakeReplyHandler(std::string system, std::int64_t id, Handler handler);
  void Execute(const Effects& effects);
  void Execute(const Effect& effect);
  void SendOwnerQuery(const OwnerQuery& query);
  void Answer(const CallReply& reply);

  EventLoop& loop_;
  EntryHostSettings settings_;
  Backend& backend_;
  const CallCodec& codec_;
  DecisionLog log_;
  FleetMetrics metrics_;
  EntryState entry_;
  HttpClient peer_client_;
  CallerLimits caller_limits_;
  HttpServer caller_server_;
  HttpServer readiness_server_;
  HttpServer peer_server_;
  HttpServer metrics_server_;
  RelayClient relay_client_;
  RelayServer relay_server_;
  std::map<std::int64_t, WaitingCaller> waiting_callers_;  ///< By call number.
  std::int64_t next_call_number_ = 1;
  Instant next_tick_{};
  std::int64_t refused_calls_ = 0;  ///< Too many calls were open.
  Instant next_limit_log_{};
  std::int64_t limited_when_logged_ = 0;
  std::optional<Instant> stop_deadline_;
  Instant idle_since_{};  ///< Last call or answer of a stopping host, or the
  ///< end of kMinStopDelay if that is later.
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_FLEET_ENTRY_HOST_H_
