#ifndef HYSSOPBARROW_PEER_PEER_LINKS_H_
#define HYSSOPBARROW_PEER_PEER_LINKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Http/address.h"
#include "Http/event_loop.h"
#include "Model/messages.h"
#include "Model/time.h"
#include "Peer/greeting.h"
#include "Peer/tcp_stream.h"

namespace hyssopbarrow {

/// Resource limits for the links of one entry host.
struct PeerLinkLimits {
  std::size_t max_message_bytes = 4UL << 20;
  std::size_t max_unsent_bytes = 8UL << 20;  ///< The link is closed above this.
  std::size_t max_greeting_bytes = 8UL << 10;
  std::size_t max_unauthenticated_links = 64;
  std::size_t max_queued_messages = 64;  ///< Per peer without a link.
};

/// Identity, shared secret and seed addresses of this entry host.
struct PeerLinkOptions {
  std::string name;
  std::string data_centre;
  std::int64_t incarnation = 0;
  std::string secret;  ///< Shared by all entry hosts; never sent or logged.
  std::vector<Address> seeds;
  std::uint64_t random_seed = 1;  ///< For the reconnect jitter.
  PeerLinkLimits limits;
};

/// Callbacks of PeerLinks, always called from a later step of the event loop
/// and never from within a PeerLinks function.
struct PeerLinkCallbacks {
  std::function<void(PeerEnvelope)> on_message;
  std::function<void(const std::string& peer, bool connected)> on_link_change;
  /// A link was refused or closed for a reason that an operator should see.
  std::function<void(const std::string& peer, const std::string& why)>
      on_link_error;
};

/// Traffic counters of all links since start-up.
struct PeerTraffic {
  std::int64_t bytes_sent = 0;
  std::int64_t bytes_received = 0;
  std::int64_t messages_sent = 0;
  std::int64_t messages_received = 0;
  std::int64_t messages_dropped = 0;
  std::int64_t links_opened = 0;
  std::int64_t links_timed_out = 0;  ///< Closed by the receive timeout.
};

/// Links of this entry host to its peers: one WebSocket per peer, carrying CBOR
/// messages.
///
/// A link that receives nothing within the receive timeout is closed and
/// dialled again. A message that cannot be sent is dropped, which is safe
/// because all messages can be repeated. A heartbeat queued behind unsent bytes
/// is replaced by the next heartbeat. A link with too many unsent bytes is
/// closed.
class PeerLinks {
 public:
  PeerLinks(EventLoop& loop, PeerLinkOptions options,
            PeerLinkCallbacks callbacks);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// Opens the listener. `advertised` is the address sent to peers; port 0 is
  /// replaced by the bound port.
  /// Errors: kUnavailable when the address cannot be bound.
  absl::Status Listen(const Address& listen, Address advertised);

  Address BoundAddress() const { return listener_.BoundAddress(); }
  const std::string& advertised() const { return advertised_; }

  /// Sets the addresses of all known peers, and the names of the peers that
  /// need a permanent link. Other peers are linked only while messages are
  /// sent to them.
  void SetPeers(std::map<std::string, Address> known,
                std::vector<std::string> wanted);

  /// Sends a message. Without an open link, dials the peer and queues the
  /// message until the link is open; drops it for an unknown peer, a full
  /// queue, or if it is a heartbeat.
  void Send(const std::string& to, const PeerMessage& message);

  /// Closes expired and unused links and starts dials that are due. To be
  /// called periodically.
  void Tick();

  const PeerTraffic& traffic() const { return traffic_; }

 private:
  struct Link;
  struct DialState;

  void AcceptLink(st_h2o_socket_t* socket);
  void StartDueDials(Instant now);
  void StartDial(const Address& address, const std::string& expected);
  void CreateWebSocket(Link& link);
  TcpCallbacks MakeTcpCallbacks(std::int64_t id);
  void HandleBytes(std::int64_t id, const char* data, std::size_t n);
  void HandleFrame(std::int64_t id, const std::string& frame);
  void SendPendingHeartbeat(std::int64_t id);
  void SendGreeting(Link& link);
  void HandleGreeting(Link& link, const std::string& frame);
  void HandleProof(Link& link, const std::string& frame);
  void OpenLink(Link& link, const Greeting& peer);
  bool ShouldKeepNewLink(const Link& fresh, const Link& other) const;
  void HandleMessage(Link& link, const std::string& frame);
  void SendOnLink(Link& link, const PeerMessage& message);
  void CloseLink(std::int64_t id, const std::string& why);
  void CloseExpiredLinks(Instant now);
  void CloseUnusedLinks(Instant now);
  Link* FindOpenLink(const std::string& peer);
  bool HasLinkTo(const DialState& dial) const;
  bool IsKnownAddress(const Address& address) const;
  bool IsRequiredPeer(const std::string& peer) const;
  Greeting MakeGreeting() const;
  void Defer(std::function<void()> action);
  Duration RandomBackoff(std::int64_t failures);

  EventLoop& loop_;
  PeerLinkOptions options_;
  PeerLinkCallbacks callbacks_;
  TcpListener listener_;
  std::string advertised_;
  std::mt19937_64 random_;
  std::map<std::int64_t, std::unique_ptr<Link>> links_;
  std::int64_t next_link_id_ = 1;
  std::map<std::string, std::int64_t>
      open_link_by_peer_;                   ///< Link id by peer name.
  std::map<std::string, DialState> dials_;  ///< By `IP:port`.
  std::map<std::string, Address> known_addresses_;
  std::vector<std::string> required_peers_;
  std::map<std::string, std::vector<PeerMessage>> queued_messages_;
  PeerTraffic traffic_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_PEER_PEER_LINKS_H_
