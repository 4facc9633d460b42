#include "Fleet/relay_server.h"

#include <utility>
#include <vector>

#include "Fleet/relay_codec.h"
#include "Fleet/relay_limits.h"
#include "Model/text.h"
#include "Peer/websocket.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// Longest time between two ticks of a process that was not paused.
constexpr Duration kMaxTickGap = milliseconds(600);
/// A client sends a heartbeat each 300 ms.
constexpr Duration kClientSilence = milliseconds(3000);
constexpr std::int64_t kMaxPendingRequests = 4096;

}  // namespace

struct RelayServer::Session {
  std::int64_t number = 0;
  bool open = false;
  bool flush_scheduled = false;
  std::int64_t pending_requests = 0;
  Instant last_received_at;
  Instant last_sent_at;
  RelayReplies replies;
  std::unique_ptr<TcpStream> tcp;
  std::unique_ptr<WebSocket> websocket;
};

RelayServer::RelayServer(EventLoop& loop, Backend& backend,
                         std::function<Instant()> clock, ErrorCallback on_error)
    : loop_(loop),
      backend_(backend),
      clock_(std::move(clock)),
      on_error_(std::move(on_error)),
      listener_(loop, [this](st_h2o_socket_t* socket) { Accept(socket); }),
      last_tick_(clock_()) {}

RelayServer::~RelayServer() = default;

void RelayServer::Accept(st_h2o_socket_t* socket) {
  const std::int64_t number = next_session_++;
  Session& session =
      *sessions_.emplace(number, std::make_unique<Session>()).first->second;
  session.number = number;
  session.last_received_at = session.last_sent_at = loop_.Now();
  session.websocket = std::make_unique<WebSocket>(
      WebSocket::Role::kServer, kMaxRelayMessageBytes,
      WebSocketCallbacks{
          .write = [&session](const char* data,
                              std::size_t n) { session.tcp->Write(data, n); },
          .on_open = [&session] { session.open = true; },
          .on_message =
              [this, &session](const std::string& message) {
                HandleRequests(session, message);
              },
          .on_closed = [this, number] { CloseLater(number); }});
  session.tcp = std::make_unique<TcpStream>(
      loop_, socket,
      TcpCallbacks{.on_connected = [] {},
                   .on_bytes =
                       [&session](const char* data, std::size_t n) {
                         session.websocket->Receive(data, n);
                       },
                   .on_drained = [] {},
                   .on_closed = [this, number] { CloseLater(number); }});
  session.websocket->Start();
  ScheduleCheck();
}

RelayServer::Session* RelayServer::FindSession(std::int64_t number) {
  auto it = sessions_.find(number);
  return it == sessions_.end() ? nullptr : it->second.get();
}

void RelayServer::HandleRequests(Session& session, const std::string& message) {
  session.last_received_at = loop_.Now();
  const Duration gap = clock_() - last_tick_;
  if (gap > kMaxTickGap) {
    on_error_(StrCat("requests arrived after a pause of ",
                     std::chrono::duration_cast<milliseconds>(gap).count(),
                     " ms"));
    return CloseLater(session.number);
  }
  const absl::StatusOr<std::vector<TargetRequest>> requests =
      DecodeRelayRequests(message);
  if (!requests.ok()) {
    on_error_(std::string(requests.status().message()));
    return CloseLater(session.number);
  }
  for (const TargetRequest& request : *requests) {
    if (session.pending_requests >= kMaxPendingRequests) {
      QueueReply(session.number, request.id,
                 {.result = TargetResult::kNotSent});
      continue;
    }
    ++session.pending_requests;
    ++request_count_;
    backend_.Send(
        request, [this, alive = std::weak_ptr<bool>(alive_),
                  number = session.number, id = request.id](TargetReply reply) {
          if (alive.expired()) return;
          Session* found = FindSession(number);
          if (found == nullptr) return;
          --found->pending_requests;
          QueueReply(number, id, std::move(reply));
        });
  }
}

void RelayServer::QueueReply(std::int64_t session, std::int64_t id,
                             TargetReply reply) {
  Session* found = FindSession(session);
  if (found == nullptr) return;
  found->replies.emplace_back(id, std::move(reply));
  if (found->flush_scheduled) return;
  found->flush_scheduled = true;
  loop_.CallAt(loop_.Now() + kRelayBatchDelay,
               [this, alive = std::weak_ptr<bool>(alive_), session] {
                 if (!alive.expired()) Flush(session);
               });
}

void RelayServer::Flush(std::int64_t session) {
  Session* found = FindSession(session);
  if (found == nullptr) return;
  found->flush_scheduled = false;
  const RelayReplies replies = std::exchange(found->replies, {});
  found->last_sent_at = loop_.Now();
  const bool sent = found->websocket->Send(EncodeRelayReplies(replies));
  if (!sent || found->tcp->UnsentBytes() > kMaxRelayUnsentBytes) {
    CloseLater(session);
  }
}

void RelayServer::CloseLater(std::int64_t session) {
  loop_.Defer([this, alive = std::weak_ptr<bool>(alive_), session] {
    if (alive.expired()) return;
    Session* found = FindSession(session);
    if (found == nullptr) return;
    found->tcp->Close();
    sessions_.erase(session);
  });
}

void RelayServer::ScheduleCheck() {
  if (check_scheduled_) return;
  check_scheduled_ = true;
  loop_.CallAt(loop_.Now() + kRelayCheckInterval,
               [this, alive = std::weak_ptr<bool>(alive_)] {
                 if (!alive.expired()) CheckSessions();
               });
}

void RelayServer::CheckSessions() {
  check_scheduled_ = false;
  const Instant now = loop_.Now();
  for (const auto& [number, session] : sessions_) {
    if (now - session->last_received_at > kClientSilence) CloseLater(number);
    if (session->open && now - session->last_sent_at > kRelayHeartbeat) {
      session->last_sent_at = now;
      session->websocket->Send(EncodeRelayReplies({}));
    }
  }
  if (!sessions_.empty()) ScheduleCheck();
}

}  // namespace hyssopbarrow::fleet
