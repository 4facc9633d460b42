#ifndef HYSSOPBARROW_FLEET_RELAY_CLIENT_H_
#define HYSSOPBARROW_FLEET_RELAY_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Http/event_loop.h"
#include "Policy/fleet_effects.h"

namespace hyssopbarrow::fleet {

/// Sends target requests through relays: one WebSocket to each relay, on which
/// requests and replies travel in batches.
///
/// A relay from which nothing arrives for a second is lost. Requests that wait
/// for its replies are then answered with kRelayLost, requests that were not
/// sent yet with kNotSent, or with kRelayLost if they are polls.
class RelayClient {
 public:
  using ReplyCallback = std::function<void(TargetReply)>;
  using LostCallback = std::function<void(const std::string& address)>;

  /// `clock` must also advance while the machine is suspended. `on_lost` is
  /// called before the requests of a lost relay are answered.
  RelayClient(EventLoop& loop, std::function<Instant()> clock,
              LostCallback on_lost);
  ~RelayClient();
  RelayClient(const RelayClient&) = delete;
  RelayClient& operator=(const RelayClient&) = delete;

  /// Sends a request to the target through `request.relay`. `callback` is
  /// called once, always after this function has returned.
  void Send(const TargetRequest& request, ReplyCallback callback);

  /// Number of relays with a connection.
  std::size_t LinkCount() const { return links_.size(); }

 private:
  struct Link;

  Link* FindLink(const std::string& address, std::int64_t number);
  Link& FindOrDial(const std::string& address);
  void ScheduleFlush(Link& link);
  void Flush(Link& link);
  void HandleReplies(Link& link, const std::string& message);
  void LoseLater(const Link& link);
  void Lose(const std::string& address, std::int64_t number);
  void CheckLinks();
  void ScheduleCheck();

  EventLoop& loop_;
  std::function<Instant()> clock_;
  LostCallback on_lost_;
  std::map<std::string, std::unique_ptr<Link>> links_;  ///< By address.
  std::int64_t next_link_ = 1;
  bool check_scheduled_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_FLEET_RELAY_CLIENT_H_
