#include "Fleet/relay_client.h"

#include <unordered_map>
#include <utility>
#include <vector>

#include "Fleet/relay_codec.h"
#include "Fleet/relay_limits.h"
#include "Http/address.h"
#include "Peer/tcp_stream.h"
#include "Peer/websocket.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

constexpr Duration kConnectTimeout = milliseconds(700);
/// Above three heartbeats of the relay.
constexpr Duration kRelaySilence = milliseconds(1000);
/// A request that has waited for longer is not sent: the owner's permission to
/// send it may have expired while this process was paused.
constexpr Duration kMaxQueueTime = milliseconds(500);
/// Added to the timeout of a request for the way through the relay.
constexpr Duration kRelayMargin = milliseconds(200);
constexpr Duration kUnusedLinkTimeout = milliseconds(10'000);

}  // namespace

struct RelayClient::Link {
  struct Queued {
    TargetRequest request;
    Instant queued_at;  ///< By the client's clock.
  };
  struct Waiting {
    TargetRequestKind kind = TargetRequestKind::kPoll;
    bool sent = false;
    Instant deadline;
    ReplyCallback callback;
  };

  std::string address;
  std::int64_t number = 0;
  bool open = false;
  bool flush_scheduled = false;
  Instant silent_since;  ///< When something was last received, or the dial.
  Instant last_sent_at;
  Instant last_used_at;
  std::vector<Queued> queue;
  std::unordered_map<std::int64_t, Waiting> waiting;  ///< By request id.
  std::unique_ptr<TcpStream> tcp;
  std::unique_ptr<WebSocket> websocket;
};

RelayClient::RelayClient(EventLoop& loop, std::function<Instant()> clock,
                         LostCallback on_lost)
    : loop_(loop), clock_(std::move(clock)), on_lost_(std::move(on_lost)) {}

RelayClient::~RelayClient() = default;

void RelayClient::Send(const TargetRequest& request, ReplyCallback callback) {
  Link& link = FindOrDial(request.relay);
  link.last_used_at = loop_.Now();
  link.waiting[request.id] = {
      .kind = request.kind,
      .deadline = loop_.Now() + request.timeout + kRelayMargin,
      .callback = std::move(callback)};
  link.queue.push_back({request, clock_()});
  ScheduleFlush(link);
}

RelayClient::Link* RelayClient::FindLink(const std::string& address,
                                         std::int64_t number) {
  auto it = links_.find(address);
  const bool found = it != links_.end() && it->second->number == number;
  return found ? it->second.get() : nullptr;
}

RelayClient::Link& RelayClient::FindOrDial(const std::string& address) {
  auto [it, inserted] = links_.try_emplace(address);
  if (!inserted) return *it->second;
  it->second = std::make_unique<Link>();
  Link& link = *it->second;
  link.address = address;
  link.number = next_link_++;
  link.silent_since = loop_.Now();
  ScheduleCheck();
  const absl::StatusOr<Address> parsed = ParseAddress(address);
  if (!parsed.ok()) {
    LoseLater(link);
    return link;
  }
  link.websocket = std::make_unique<WebSocket>(
      WebSocket::Role::kClient, kMaxRelayMessageBytes,
      WebSocketCallbacks{
          .write = [&link](const char* data,
                           std::size_t n) { link.tcp->Write(data, n); },
          .on_open =
              [this, &link] {
                link.open = true;
                link.silent_since = loop_.Now();
                ScheduleFlush(link);
              },
          .on_message =
              [this, &link](const std::string& message) {
                HandleReplies(link, message);
              },
          .on_closed = [this, &link] { LoseLater(link); }});
  link.tcp = std::make_unique<TcpStream>(
      loop_, *parsed,
      TcpCallbacks{.on_connected = [&link] { link.websocket->Start(); },
                   .on_bytes =
                       [&link](const char* data, std::size_t n) {
                         link.websocket->Receive(data, n);
                       },
                   .on_drained = [] {},
                   .on_closed = [this, &link] { LoseLater(link); }});
  return link;
}

void RelayClient::ScheduleFlush(Link& link) {
  if (link.flush_scheduled || !link.open || link.queue.empty()) return;
  link.flush_scheduled = true;
  loop_.CallAt(loop_.Now() + kRelayBatchDelay,
               [this, alive = std::weak_ptr<bool>(alive_),
                address = link.address, number = link.number] {
                 if (alive.expired()) return;
                 Link* found = FindLink(address, number);
                 if (found != nullptr) Flush(*found);
               });
}

void RelayClient::Flush(Link& link) {
  link.flush_scheduled = false;
  if (!link.open) return;
  const Instant now = clock_();
  std::vector<TargetRequest> batch;
  std::vector<ReplyCallback> expired;
  for (Link::Queued& queued : link.queue) {
    auto waiting = link.waiting.find(queued.request.id);
    if (waiting == link.waiting.end()) continue;
    if (now - queued.queued_at > kMaxQueueTime) {
      expired.push_back(std::move(waiting->second.callback));
      link.waiting.erase(waiting);
      continue;
    }
    waiting->second.sent = true;
    batch.push_back(std::move(queued.request));
  }
  link.queue.clear();
  if (!batch.empty()) {
    link.last_sent_at = loop_.Now();
    if (!link.websocket->Send(EncodeRelayRequests(batch))) LoseLater(link);
    if (link.tcp->UnsentBytes() > kMaxRelayUnsentBytes) LoseLater(link);
  }
  for (const ReplyCallback& callback : expired) {
    callback({.result = TargetResult::kNotSent});
  }
}

void RelayClient::HandleReplies(Link& link, const std::string& message) {
  link.silent_since = loop_.Now();
  absl::StatusOr<RelayReplies> replies = DecodeRelayReplies(message);
  if (!replies.ok()) return LoseLater(link);
  // A callback may send requests, but links are removed only later.
  for (auto& [id, reply] : *replies) {
    auto it = link.waiting.find(id);
    if (it == link.waiting.end()) continue;
    const ReplyCallback callback = std::move(it->second.callback);
    link.waiting.erase(it);
    callback(std::move(reply));
  }
}

void RelayClient::LoseLater(const Link& link) {
  loop_.Defer([this, alive = std::weak_ptr<bool>(alive_),
               address = link.address, number = link.number] {
    if (!alive.expired()) Lose(address, number);
  });
}

void RelayClient::Lose(const std::string& address, std::int64_t number) {
  if (FindLink(address, number) == nullptr) return;
  const std::unique_ptr<Link> link = std::move(links_.at(address));
  links_.erase(address);
  if (link->tcp != nullptr) link->tcp->Close();
  on_lost_(address);
  for (auto& [id, waiting] : link->waiting) {
    const bool may_have_run =
        waiting.sent || waiting.kind == TargetRequestKind::kPoll;
    waiting.callback({.result = may_have_run ? TargetResult::kRelayLost
                                             : TargetResult::kNotSent});
  }
}

void RelayClient::ScheduleCheck() {
  if (check_scheduled_) return;
  check_scheduled_ = true;
  loop_.CallAt(loop_.Now() + kRelayCheckInterval,
               [this, alive = std::weak_ptr<bool>(alive_)] {
                 if (!alive.expired()) CheckLinks();
               });
}

void RelayClient::CheckLinks() {
  check_scheduled_ = false;
  const Instant now = loop_.Now();
  std::vector<ReplyCallback> expired;
  for (const auto& [address, link] : links_) {
    const Duration limit = link->open ? kRelaySilence : kConnectTimeout;
    const bool unused =
        link->waiting.empty() && now - link->last_used_at > kUnusedLinkTimeout;
    if (unused || now - link->silent_since > limit) LoseLater(*link);
    std::erase_if(link->waiting, [&](auto& entry) {
      if (entry.second.deadline > now) return false;
      expired.push_back(std::move(entry.second.callback));
      return true;
    });
    if (link->open && now - link->last_sent_at > kRelayHeartbeat) {
      link->last_sent_at = now;
      link->websocket->Send(EncodeRelayRequests({}));
    }
  }
  for (const ReplyCallback& callback : expired) {
    callback({.result = TargetResult::kNoReply});
  }
  if (!links_.empty()) ScheduleCheck();
}

}  // namespace hyssopbarrow::fleet
