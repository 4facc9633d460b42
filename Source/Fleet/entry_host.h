#ifndef HYSSOPBARROW_FLEET_ENTRY_HOST_H_
#define HYSSOPBARROW_FLEET_ENTRY_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Fleet/backend.h"
#include "Fleet/decision_log.h"
#include "Fleet/fleet_metrics.h"
#include "Http/event_loop.h"
#include "Http/http_client.h"
#include "Http/http_server.h"
#include "Policy/entry.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace hyssopbarrow::fleet {

/// Addresses and figures of one entry host.
struct EntryHostSettings {
  std::string node;
  std::string holder;  ///< NODE@LIFE, differs between two lives of the node.
  std::int64_t cpu_milli = 0;  ///< Processor share; 0 if it is not known.
  Address callers;
  Address readiness;
  Address peers;
  Address metrics;
  Duration stop_timeout{};  ///< A stop ends the process by then.
  TimingSettings timing;

  friend bool operator==(const EntryHostSettings&,
                         const EntryHostSettings&) = default;
};

/// Turns I/O into events of the decision core and its effects into I/O.
class EntryHost {
 public:
  EntryHost(EventLoop& loop, const EntryHostSettings& settings,
            Backend& backend, const CallCodec& codec);

  /// Opens the listeners.
  /// Errors: kUnavailable when an address cannot be bound.
  absl::Status Start();

  /// Does all that is due; returns the time until Tick is due again.
  Duration Tick();

  /// Tick and one turn of the loop.
  void RunOnce();

  /// Hands over what this host owns and finishes the calls at hand.
  void RequestStop();
  bool IsStopped() const;

  /// Takes over changed figures; an error leaves those in force.
  void Reload(const absl::StatusOr<TimingSettings>& terms);

  const EntryState& entry() const { return entry_; }
  Address CallerAddress() const { return caller_server_.BoundAddress(); }
  Address PeerAddress() const { return peer_server_.BoundAddress(); }

 private:
  struct WaitingCaller {
    CallKind kind = CallKind::kState;
    Responder responder;
    Instant arrived;
  };

  EventTime Now() const;
  void Log(Severity severity, std::string event,
           std::vector<std::pair<std::string, std::string>> fields);
  void ServeCaller(const HttpRequest& request, const Responder& responder);
  void ServePeer(const HttpRequest& request, const Responder& responder);
  /// Hands an event to the decision core and does what it wants done.
  void HandleEvent(
      const std::function<void(const EventTime&, Effects&)>& event);
  /// Takes a reply of `system` to request `id` into the metrics and the core.
  template <typename Take>
  auto Record(std::string system, std::int64_t id, Take take);
  void Execute(const Effects& effects);
  void Execute(const Effect& effect);
  void SendOwnerQuery(const OwnerQuery& ask);
  void Answer(const CallReply& answer);

  EventLoop& loop_;
  EntryHostSettings settings_;
  Backend& backend_;
  const CallCodec& codec_;
  DecisionLog log_;
  FleetMetrics metrics_;
  EntryState entry_;
  HttpClient peer_client_;
  HttpServer caller_server_;
  HttpServer readiness_server_;
  HttpServer peer_server_;
  HttpServer metrics_server_;
  std::map<std::int64_t, WaitingCaller> waiting_callers_;
  std::int64_t next_call_number_ = 1;
  Instant next_tick_{};
  std::optional<Instant> stop_deadline_;
  Instant idle_since_{};
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_FLEET_ENTRY_HOST_H_
