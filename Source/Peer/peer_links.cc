#include "Peer/peer_links.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "Model/text.h"
#include "Peer/codec.h"
#include "Peer/websocket.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kGreetingTimeout = std::chrono::milliseconds(3000);
constexpr Duration kReceiveTimeout = std::chrono::milliseconds(3000);
constexpr Duration kUnusedLinkTimeout = std::chrono::seconds(30);
constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(3200);
/// Delay before dialling a peer whose name sorts below this host's, so that two
/// hosts that discover each other do not both dial.
constexpr Duration kLowerNameHeadStart = std::chrono::milliseconds(500);
constexpr std::int64_t kMaxBackoffDoublings = 5;

bool IsHeartbeat(const PeerMessage& message) {
  return std::holds_alternative<Heartbeat>(message);
}

}  // namespace

struct PeerLinks::Link {
  enum class Stage { kAwaitingGreeting, kAwaitingProof, kOpen, kClosed };

  std::int64_t id = 0;
  LinkEnd end = LinkEnd::kAcceptor;
  Stage stage = Stage::kAwaitingGreeting;
  std::string expected_peer;    ///< Name of the peer that was dialled.
  std::string dialled_address;  ///< As `IP:port`.
  Greeting own_greeting;
  Greeting peer_greeting;
  Instant deadline;  ///< Closed if nothing arrives by then.
  Instant last_received_at;
  /// When a message other than heartbeats and member reports was last sent.
  Instant last_used_at;
  std::size_t handshake_bytes = 0;
  /// Latest heartbeat, sent once all earlier bytes are sent.
  std::optional<PeerMessage> pending_heartbeat;
  std::unique_ptr<TcpStream> tcp;
  std::unique_ptr<WebSocket> websocket;

  bool IsOpen() const { return stage == Stage::kOpen; }
};

struct PeerLinks::DialState {
  Address address;
  std::string expected_peer;  ///< Empty for a seed.
  Instant next_attempt;
  std::int64_t failures = 0;
};

PeerLinks::PeerLinks(EventLoop& loop, PeerLinkOptions options,
                     PeerLinkCallbacks callbacks)
    : loop_(loop),
      options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      listener_(loop, [this](st_h2o_socket_t* socket) { AcceptLink(socket); }),
      random_(options_.random_seed) {
  for (const Address& seed : options_.seeds) {
    dials_.emplace(ToString(seed), DialState{.address = seed});
  }
}

PeerLinks::~PeerLinks() = default;

absl::Status PeerLinks::Listen(const Address& listen, Address advertised) {
  if (absl::Status s = listener_.Listen(listen); !s.ok()) return s;
  if (advertised.port == 0) advertised.port = listener_.BoundAddress().port;
  advertised_ = ToString(advertised);
  return absl::OkStatus();
}

void PeerLinks::Defer(std::function<void()> action) {
  loop_.Defer(
      [alive = std::weak_ptr<bool>(alive_), action = std::move(action)] {
        if (!alive.expired()) action();
      });
}

void PeerLinks::SetPeers(std::map<std::string, Address> known,
                         std::vector<std::string> wanted) {
  known_addresses_ = std::move(known);
  required_peers_ = std::move(wanted);
  for (const std::string& peer : required_peers_) {
    auto address = known_addresses_.find(peer);
    if (address == known_addresses_.end()) continue;
    DialState dial{.address = address->second, .expected_peer = peer};
    if (peer < options_.name) {
      dial.next_attempt = loop_.Now() + kLowerNameHeadStart;
    }
    dials_.try_emplace(ToString(address->second), dial);
  }
}

bool PeerLinks::IsRequiredPeer(const std::string& peer) const {
  return std::find(required_peers_.begin(), required_peers_.end(), peer) !=
         required_peers_.end();
}

bool PeerLinks::IsKnownAddress(const Address& address) const {
  return std::any_of(
      known_addresses_.begin(), known_addresses_.end(),
      [&](const auto& entry) { return entry.second == address; });
}

bool PeerLinks::HasLinkTo(const DialState& dial) const {
  const std::string address = ToString(dial.address);
  return std::any_of(links_.begin(), links_.end(), [&](const auto& entry) {
    const Link& link = *entry.second;
    if (link.stage == Link::Stage::kClosed) return false;
    const bool same_peer =
        link.IsOpen() && link.peer_greeting.name == dial.expected_peer;
    return same_peer || link.dialled_address == address ||
           (link.IsOpen() && link.peer_greeting.address == address);
  });
}

Duration PeerLinks::RandomBackoff(std::int64_t failures) {
  const std::int64_t doublings = std::min(failures, kMaxBackoffDoublings);
  const Duration longest =
      std::min(kMaxBackoff, kInitialBackoff * (std::int64_t{1} << doublings));
  std::uniform_int_distribution<std::int64_t> jitter(longest.count() / 2,
                                                     longest.count());
  return Duration(jitter(random_));
}

void PeerLinks::StartDueDials(Instant now) {
  std::vector<std::pair<Address, std::string>> due;
  std::erase_if(dials_, [&](const auto& entry) {
    const DialState& dial = entry.second;
    const bool seed = dial.expected_peer.empty();
    return entry.first == advertised_ ||
           (!seed && !IsRequiredPeer(dial.expected_peer) &&
            !queued_messages_.contains(dial.expected_peer));
  });
  for (auto& [text, dial] : dials_) {
    const bool seed = dial.expected_peer.empty();
    if (seed && IsKnownAddress(dial.address)) continue;
    if (now < dial.next_attempt || HasLinkTo(dial)) continue;
    dial.next_attempt = now + RandomBackoff(dial.failures++);
    due.emplace_back(dial.address, dial.expected_peer);
  }
  for (const auto& [address, expected] : due) StartDial(address, expected);
}

void PeerLinks::Tick() {
  const Instant now = loop_.Now();
  CloseExpiredLinks(now);
  CloseUnusedLinks(now);
  StartDueDials(now);
}

void PeerLinks::CloseExpiredLinks(Instant now) {
  std::vector<std::int64_t> silent;
  for (const auto& [id, link] : links_) {
    const bool closed = link->stage == Link::Stage::kClosed;
    if (!closed && now >= link->deadline) silent.push_back(id);
  }
  for (std::int64_t id : silent) {
    const bool open = links_.at(id)->IsOpen();
    if (open) ++traffic_.links_timed_out;
    CloseLink(id, open ? "receive timeout" : "");
  }
}

/// Closes links that this host dialled, that are not required, and on which it
/// has sent no message for kUnusedLinkTimeout.
void PeerLinks::CloseUnusedLinks(Instant now) {
  std::vector<std::int64_t> unused;
  for (const auto& [id, link] : links_) {
    const bool dialled_here = link->IsOpen() && link->end == LinkEnd::kDialler;
    if (!dialled_here || IsRequiredPeer(link->peer_greeting.name)) continue;
    if (!known_addresses_.contains(link->peer_greeting.name)) continue;
    if (now >= link->last_used_at + kUnusedLinkTimeout) unused.push_back(id);
  }
  for (std::int64_t id : unused) CloseLink(id, "");
}

TcpCallbacks PeerLinks::MakeTcpCallbacks(std::int64_t id) {
  return {.on_connected =
              [this, id] {
                auto it = links_.find(id);
                if (it != links_.end() && it->second->websocket) {
                  it->second->websocket->Start();
                }
              },
          .on_bytes = [this, id](const char* data,
                                 std::size_t n) { HandleBytes(id, data, n); },
          .on_drained = [this, id] { SendPendingHeartbeat(id); },
          .on_closed = [this, id] { CloseLink(id, ""); }};
}

void PeerLinks::AcceptLink(st_h2o_socket_t* socket) {
  auto link = std::make_unique<Link>();
  link->id = next_link_id_++;
  const std::size_t unauthenticated = static_cast<std::size_t>(
      std::count_if(links_.begin(), links_.end(),
                    [](const auto& entry) { return !entry.second->IsOpen(); }));
  link->tcp =
      std::make_unique<TcpStream>(loop_, socket, MakeTcpCallbacks(link->id));
  if (unauthenticated >= options_.limits.max_unauthenticated_links) return;
  Link& added = *links_.emplace(link->id, std::move(link)).first->second;
  CreateWebSocket(added);
  added.websocket->Start();
}

void PeerLinks::StartDial(const Address& address, const std::string& expected) {
  auto link = std::make_unique<Link>();
  link->id = next_link_id_++;
  link->end = LinkEnd::kDialler;
  link->expected_peer = expected;
  link->dialled_address = ToString(address);
  Link& added = *links_.emplace(link->id, std::move(link)).first->second;
  CreateWebSocket(added);
  added.tcp =
      std::make_unique<TcpStream>(loop_, address, MakeTcpCallbacks(added.id));
}

/// Creates the WebSocket of a new link and starts the greeting timeout.
void PeerLinks::CreateWebSocket(Link& link) {
  link.own_greeting = MakeGreeting();
  link.deadline = loop_.Now() + kGreetingTimeout;
  const std::int64_t id = link.id;
  const auto role = link.end == LinkEnd::kDialler ? WebSocket::Role::kClient
                                                  : WebSocket::Role::kServer;
  WebSocketCallbacks callbacks{
      .write =
          [this, &link](const char* data, std::size_t n) {
            traffic_.bytes_sent += static_cast<std::int64_t>(n);
            link.tcp->Write(data, n);
          },
      .on_open =
          [this, &link] {
            if (link.end == LinkEnd::kDialler) SendGreeting(link);
          },
      .on_message = [this,
                     id](const std::string& frame) { HandleFrame(id, frame); },
      .on_closed = [this, id] { CloseLink(id, ""); }};
  link.websocket = std::make_unique<WebSocket>(
      role, options_.limits.max_message_bytes, std::move(callbacks));
}

Greeting PeerLinks::MakeGreeting() const {
  return {.version = kPeerProtocolVersion,
          .name = options_.name,
          .data_centre = options_.data_centre,
          .address = advertised_,
          .incarnation = options_.incarnation,
          .nonce = NewNonce(),
          .proof = {}};
}

void PeerLinks::HandleBytes(std::int64_t id, const char* data, std::size_t n) {
  auto it = links_.find(id);
  if (it == links_.end() || it->second->stage == Link::Stage::kClosed) return;
  Link& link = *it->second;
  traffic_.bytes_received += static_cast<std::int64_t>(n);
  link.last_received_at = loop_.Now();
  if (link.IsOpen()) {
    link.deadline = link.last_received_at + kReceiveTimeout;
  } else {
    link.handshake_bytes += n;
    if (link.handshake_bytes > options_.limits.max_greeting_bytes) {
      return CloseLink(id, "handshake exceeds the size limit");
    }
  }
  link.websocket->Receive(data, n);
}

void PeerLinks::HandleFrame(std::int64_t id, const std::string& frame) {
  auto it = links_.find(id);
  if (it == links_.end()) return;
  Link& link = *it->second;
  switch (link.stage) {
    case Link::Stage::kAwaitingGreeting:
      return HandleGreeting(link, frame);
    case Link::Stage::kAwaitingProof:
      return HandleProof(link, frame);
    case Link::Stage::kOpen:
      return HandleMessage(link, frame);
    case Link::Stage::kClosed:
      return;
  }
}

void PeerLinks::SendGreeting(Link& link) {
  link.websocket->Send(EncodeGreeting(link.own_greeting));
}

/// The acceptor sends its proof first, and the dialler sends its own only if
/// the acceptor's is valid. So an acceptor without the secret never sees a
/// proof.
void PeerLinks::HandleGreeting(Link& link, const std::string& frame) {
  absl::StatusOr<Greeting> peer = DecodeGreeting(frame);
  if (!peer.ok()) {
    return CloseLink(link.id, std::string(peer.status().message()));
  }
  link.peer_greeting = *peer;
  if (peer->name == options_.name) {
    if (peer->incarnation == options_.incarnation) {
      dials_.erase(link.dialled_address);
      return CloseLink(link.id, "");
    }
    return CloseLink(link.id, "another process uses this host's name");
  }
  if (link.end == LinkEnd::kAcceptor) {
    link.own_greeting.proof = ComputeProof(options_.secret, LinkEnd::kAcceptor,
                                           *peer, link.own_greeting);
    link.stage = Link::Stage::kAwaitingProof;
    return SendGreeting(link);
  }
  const std::string expected = ComputeProof(options_.secret, LinkEnd::kAcceptor,
                                            link.own_greeting, *peer);
  if (!IsSameProof(expected, peer->proof)) {
    return CloseLink(link.id, "the shared secret differs");
  }
  link.websocket->Send(ComputeProof(options_.secret, LinkEnd::kDialler,
                                    link.own_greeting, *peer));
  OpenLink(link, *peer);
}

void PeerLinks::HandleProof(Link& link, const std::string& frame) {
  const std::string expected =
      ComputeProof(options_.secret, LinkEnd::kDialler, link.peer_greeting,
                   link.own_greeting);
  if (!IsSameProof(expected, frame)) {
    return CloseLink(link.id, "the shared secret differs");
  }
  OpenLink(link, link.peer_greeting);
}

/// Chooses between two open links to the same peer. The rules give the same
/// result on both ends, in whichever order the links were opened.
bool PeerLinks::ShouldKeepNewLink(const Link& fresh, const Link& other) const {
  if (fresh.peer_greeting.incarnation != other.peer_greeting.incarnation) {
    return fresh.peer_greeting.incarnation > other.peer_greeting.incarnation;
  }
  const bool reached_other_peer =
      !fresh.expected_peer.empty() &&
      fresh.expected_peer != fresh.peer_greeting.name;
  if (reached_other_peer) return false;
  const bool other_is_stale =
      loop_.Now() >= other.last_received_at + kReceiveTimeout / 2;
  if (other_is_stale || fresh.end == other.end) return true;
  const bool has_lower_name = options_.name < fresh.peer_greeting.name;
  return has_lower_name == (fresh.end == LinkEnd::kDialler);
}

void PeerLinks::OpenLink(Link& link, const Greeting& peer) {
  link.stage = Link::Stage::kOpen;
  link.last_received_at = loop_.Now();
  link.last_used_at = loop_.Now();
  link.deadline = loop_.Now() + kReceiveTimeout;
  auto dial = dials_.find(link.dialled_address);
  if (dial != dials_.end()) dial->second.failures = 0;
  Link* other = FindOpenLink(peer.name);
  if (other != nullptr && !ShouldKeepNewLink(link, *other)) {
    return CloseLink(link.id, "");
  }
  open_link_by_peer_[peer.name] = link.id;
  ++traffic_.links_opened;
  if (other != nullptr) CloseLink(other->id, "");
  const auto waiting = queued_messages_.extract(peer.name);
  if (!waiting.empty()) {
    for (const PeerMessage& message : waiting.mapped()) {
      SendOnLink(link, message);
    }
  }
  Defer([this, name = peer.name] { callbacks_.on_link_change(name, true); });
}

void PeerLinks::HandleMessage(Link& link, const std::string& frame) {
  absl::StatusOr<PeerMessage> message = DecodeMessage(frame);
  if (!message.ok()) {
    return CloseLink(link.id, std::string(message.status().message()));
  }
  ++traffic_.messages_received;
  Defer([this, envelope = PeerEnvelope{
                   link.peer_greeting.name, link.peer_greeting.incarnation,
                   *std::move(message)}] { callbacks_.on_message(envelope); });
}

PeerLinks::Link* PeerLinks::FindOpenLink(const std::string& peer) {
  auto it = open_link_by_peer_.find(peer);
  if (it == open_link_by_peer_.end()) return nullptr;
  auto link = links_.find(it->second);
  const bool usable = link != links_.end() && link->second->IsOpen();
  return usable ? link->second.get() : nullptr;
}

void PeerLinks::Send(const std::string& to, const PeerMessage& message) {
  if (Link* link = FindOpenLink(to)) return SendOnLink(*link, message);
  auto address = known_addresses_.find(to);
  if (address == known_addresses_.end() || IsHeartbeat(message)) {
    ++traffic_.messages_dropped;
    return;
  }
  std::vector<PeerMessage>& waiting = queued_messages_[to];
  if (waiting.size() >= options_.limits.max_queued_messages) {
    ++traffic_.messages_dropped;
    return;
  }
  waiting.push_back(message);
  dials_.try_emplace(
      ToString(address->second),
      DialState{.address = address->second, .expected_peer = to});
}

void PeerLinks::SendOnLink(Link& link, const PeerMessage& message) {
  if (IsHeartbeat(message) && link.tcp->UnsentBytes() > 0) {
    if (link.pending_heartbeat.has_value()) ++traffic_.messages_dropped;
    link.pending_heartbeat = message;
    return;
  }
  const bool control =
      IsHeartbeat(message) || std::holds_alternative<MemberReport>(message);
  if (!control) link.last_used_at = loop_.Now();
  link.websocket->Send(EncodeMessage(message));
  ++traffic_.messages_sent;
  if (link.tcp->UnsentBytes() > options_.limits.max_unsent_bytes) {
    CloseLink(link.id, "too many unsent bytes");
  }
}

void PeerLinks::SendPendingHeartbeat(std::int64_t id) {
  auto it = links_.find(id);
  if (it == links_.end() || !it->second->IsOpen()) return;
  const auto heartbeat =
      std::exchange(it->second->pending_heartbeat, std::nullopt);
  if (heartbeat.has_value()) SendOnLink(*it->second, *heartbeat);
}

void PeerLinks::CloseLink(std::int64_t id, const std::string& why) {
  auto it = links_.find(id);
  if (it == links_.end()) return;
  Link& link = *it->second;
  if (link.stage == Link::Stage::kClosed) return;
  link.stage = Link::Stage::kClosed;
  if (link.tcp != nullptr) link.tcp->Close();
  if (link.peer_greeting.name.empty()) {
    queued_messages_.erase(link.expected_peer);
  }
  const std::string peer = link.peer_greeting.name;
  auto open = open_link_by_peer_.find(peer);
  const bool was_open = open != open_link_by_peer_.end() && open->second == id;
  if (was_open) open_link_by_peer_.erase(open);
  Defer([this, id, peer, was_open, why] {
    links_.erase(id);
    if (!why.empty()) callbacks_.on_link_error(peer, why);
    if (was_open && !open_link_by_peer_.contains(peer)) {
      callbacks_.on_link_change(peer, false);
    }
  });
}

}  // namespace hyssopbarrow
