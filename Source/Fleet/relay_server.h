#ifndef HYSSOPBARROW_FLEET_RELAY_SERVER_H_
#define HYSSOPBARROW_FLEET_RELAY_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Fleet/backend.h"
#include "Http/address.h"
#include "Http/event_loop.h"
#include "Peer/tcp_stream.h"
#include "absl/status/status.h"

namespace hyssopbarrow::fleet {

/// Carries target requests for the owner: sends those that arrive on its
/// connections to the targets, and the replies back. It decides nothing; the
/// fencing token and the lease in each request limit what a late one can do.
class RelayServer {
 public:
  /// Called with the reason when a connection is closed for an error.
  using ErrorCallback = std::function<void(const std::string& reason)>;

  /// `clock` must also advance while the machine is suspended.
  RelayServer(EventLoop& loop, Backend& backend, std::function<Instant()> clock,
              ErrorCallback on_error);
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  /// Errors: kUnavailable when the address cannot be bound.
  absl::Status Listen(const Address& address) {
    return listener_.Listen(address);
  }
  Address BoundAddress() const { return listener_.BoundAddress(); }

  /// To be called at least each 100 ms. Requests that arrive after a longer
  /// gap are not executed, because they may have waited while this process was
  /// paused.
  void Tick() { last_tick_ = clock_(); }

  /// Number of requests executed.
  std::int64_t request_count() const { return request_count_; }

 private:
  struct Session;

  void Accept(st_h2o_socket_t* socket);
  Session* FindSession(std::int64_t number);
  void HandleRequests(Session& session, const std::string& message);
  void QueueReply(std::int64_t session, std::int64_t id, TargetReply reply);
  void Flush(std::int64_t session);
  void CloseLater(std::int64_t session);
  void CheckSessions();
  void ScheduleCheck();

  EventLoop& loop_;
  Backend& backend_;
  std::function<Instant()> clock_;
  ErrorCallback on_error_;
  TcpListener listener_;
  Instant last_tick_;
  std::map<std::int64_t, std::unique_ptr<Session>> sessions_;
  std::int64_t next_session_ = 1;
  std::int64_t request_count_ = 0;
  bool check_scheduled_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_FLEET_RELAY_SERVER_H_
