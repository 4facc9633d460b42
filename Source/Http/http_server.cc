#include "Http/http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <h2o.h>
#include <h2o/http1.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <list>
#include <new>
#include <utility>

#include "Model/text.h"

namespace hyssopbarrow {

struct Responder::Pending {
  h2o_req_t* request = nullptr;  ///< Null once answered or disconnected.
  std::function<void()> on_disconnect;
  std::function<void()> on_answer;
};

namespace {

constexpr int kListenBacklog = 1024;
/// Bounds what the kernel holds for each connection, and so what one iteration
/// of the loop reads. Larger than what a link of 10 Mbit/s carries in 20 ms.
constexpr int kReceiveBufferBytes = 32 << 10;
/// Answers to callers have less than 1 KB.
constexpr int kSendBufferBytes = 16 << 10;
constexpr Duration kCheckInterval = std::chrono::milliseconds(10);
/// Of the limit on bytes or connections, down to which connections are closed.
constexpr double kAfterClosing = 0.875;
/// Requests that wait for their answer may use this part of the bytes; the rest
/// is for those that are being received.
constexpr double kMaxWaitingPart = 0.5;

std::string ToText(const h2o_iovec_t& buf) { return {buf.base, buf.len}; }

HttpRequest ReadRequest(const h2o_req_t* req) {
  HttpRequest request;
  request.method = ToText(req->method);
  request.path = ToText(req->path_normalized);
  request.authority = ToText(req->authority);
  if (req->query_at != SIZE_MAX) {
    request.query.assign(req->path.base + req->query_at + 1,
                         req->path.len - req->query_at - 1);
  }
  request.headers.reserve(req->headers.size);
  for (std::size_t n = 0; n < req->headers.size; ++n) {
    const h2o_header_t& header = req->headers.entries[n];
    request.headers.push_back({ToText(*header.name), ToText(header.value)});
  }
  if (req->entity.base != nullptr) request.body = ToText(req->entity);
  return request;
}

/// An open connection.
struct Connection {
  h2o_socket_t* sock = nullptr;  ///< Null once closed.
  std::size_t bytes_read = 0;    ///< At the last check.
  std::size_t bytes_written = 0;
  Instant progress_at{};
  std::optional<Instant> request_began_at;  ///< Of one that is incomplete.
  bool waiting = false;                     ///< An answer is due.
  std::size_t waiting_bytes = 0;            ///< Of the request then.
  bool shut_down = false;
};

std::size_t HeldBytes(const Connection& connection) {
  const h2o_buffer_t* buf = connection.sock->input;
  return buf->size == 0 ? 0 : buf->capacity;
}

/// Allocated in the request's memory pool. h2o destroys it with the request,
/// which is how a disconnected caller is detected.
struct RequestGuard {
  std::shared_ptr<Responder::Pending> pending;
  std::shared_ptr<Connection> connection;
  std::size_t* waiting_bytes = nullptr;  ///< Of all connections.
};

void DisposeRequestGuard(void* data) {
  auto* guard = static_cast<RequestGuard*>(data);
  const std::shared_ptr<Responder::Pending> pending = std::move(guard->pending);
  guard->connection->waiting = false;
  *guard->waiting_bytes -= std::exchange(guard->connection->waiting_bytes, 0);
  guard->~RequestGuard();
  if (pending->request == nullptr) return;
  pending->request = nullptr;
  if (pending->on_disconnect) pending->on_disconnect();
}

std::shared_ptr<Responder::Pending> TrackRequest(
    h2o_req_t* req, const std::shared_ptr<Connection>& connection,
    std::size_t& waiting_bytes) {
  auto pending = std::make_shared<Responder::Pending>();
  pending->request = req;
  // h2o keeps the request until its answer has been read; a caller that does
  // not read it must not keep its connection.
  pending->on_answer = [connection] { connection->waiting = false; };
  void* buf = h2o_mem_alloc_shared(&req->pool, sizeof(RequestGuard),
                                   DisposeRequestGuard);
  connection->waiting = true;
  connection->waiting_bytes = HeldBytes(*connection);
  waiting_bytes += connection->waiting_bytes;
  connection->request_began_at.reset();
  new (buf) RequestGuard{pending, connection, &waiting_bytes};
  return pending;
}

void AddHeader(h2o_req_t* req, const HttpHeader& header) {
  const h2o_iovec_t name =
      h2o_strdup(&req->pool, header.name.data(), header.name.size());
  const h2o_iovec_t value =
      h2o_strdup(&req->pool, header.value.data(), header.value.size());
  h2o_add_header_by_str(&req->pool, &req->res.headers, name.base, name.len, 1,
                        nullptr, value.base, value.len);
}

const char* ReasonPhrase(int status) { return status < 400 ? "OK" : "Error"; }

absl::StatusOr<int> BindSocket(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  // Accepted sockets inherit it.
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes,
             sizeof(kSendBufferBytes));
  const sockaddr_in sa = ToSockaddr(address);
  const bool bound =
      bind(fd, reinterpret_cast<const sockaddr*>(&sa), sizeof(sa)) == 0;
  if (bound && listen(fd, kListenBacklog) == 0) return fd;
  const int error = errno;
  close(fd);
  return absl::UnavailableError(StrCat("cannot listen on ", ToString(address),
                                       ": ", std::strerror(error)));
}

}  // namespace

struct HttpServer::Impl {
  struct ServerHandler {
    h2o_handler_t super;
    Impl* server;
  };
  using Connections = std::list<std::shared_ptr<Connection>>;
  /// What h2o passes back when it closes a socket.
  struct CloseContext {
    Impl* server;
    Connections::iterator it;
  };

  Impl(EventLoop& event_loop, const HttpServerLimits& bounds,
       HttpHandler on_request)
      : loop(event_loop), limits(bounds), handler(std::move(on_request)) {
    h2o_config_init(&config);
    config.max_request_entity_size = limits.max_body_bytes;
    // Counts from the last answer on; EnforceLimits is stricter.
    config.http1.req_timeout = static_cast<std::uint64_t>(
        limits.idle_timeout_ms + limits.request_timeout_ms);
    config.http1.upgrade_to_http2 = 0;
    config.server_name = h2o_iovec_init(H2O_STRLIT("hyssopbarrow"));
    h2o_hostconf_t* host = h2o_config_register_host(
        &config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    auto* raw = reinterpret_cast<ServerHandler*>(
        h2o_create_handler(path, sizeof(ServerHandler)));
    raw->super.on_req = OnRequest;
    raw->server = this;
    h2o_context_init(&context, loop.raw(), &config);
    accept.ctx = &context;
    accept.hosts = config.hosts;
  }

  static void OnAccept(h2o_socket_t* listener, const char* error) {
    if (error != nullptr) return;
    auto* self = static_cast<Impl*>(listener->data);
    h2o_socket_t* sock = h2o_evloop_socket_accept(listener);
    if (sock == nullptr) return;
    if (self->OpenCount() >= self->limits.max_connections) {
      ++self->counts.refused_connections;
      h2o_socket_close(sock);
      return;
    }
    auto connection = std::make_shared<Connection>();
    connection->sock = sock;
    connection->progress_at = SteadyNow();
    auto* context = new CloseContext{
        self, self->connections.insert(self->connections.end(), connection)};
    sock->on_close.cb = OnClose;
    sock->on_close.data = context;
    h2o_accept(&self->accept, sock);
  }

  static void OnClose(void* data) {
    const std::unique_ptr<CloseContext> context(
        static_cast<CloseContext*>(data));
    (*context->it)->sock = nullptr;
    context->server->connections.erase(context->it);
  }

  static int OnRequest(h2o_handler_t* raw, h2o_req_t* req) {
    Impl* self = reinterpret_cast<ServerHandler*>(raw)->server;
    const h2o_socket_t* sock = req->conn->callbacks->get_socket(req->conn);
    const auto* context = static_cast<CloseContext*>(sock->on_close.data);
    const std::shared_ptr<Connection> connection = *context->it;
    // What had arrived before the connection was shut down is still read.
    const bool fits =
        !connection->shut_down &&
        self->waiting_bytes + HeldBytes(*connection) <=
            static_cast<std::size_t>(
                kMaxWaitingPart *
                static_cast<double>(self->limits.max_input_bytes));
    const Responder responder(
        TrackRequest(req, connection, self->waiting_bytes));
    if (fits) {
      self->handler(ReadRequest(req), responder);
    } else {
      ++self->counts.refused_requests;
      responder.Send({.status = 503,
                      .headers = {{"retry-after", "1"}},
                      .body = {},
                      .close_connection = true});
    }
    return 0;
  }

  std::int64_t OpenCount() const {
    return static_cast<std::int64_t>(connections.size());
  }

  /// Has h2o find the connection closed once it has read what has arrived.
  void ShutDown(Connection& connection, std::int64_t& count) {
    if (connection.shut_down) return;
    connection.shut_down = true;
    ++count;
    shutdown(h2o_socket_get_fd(connection.sock), SHUT_RDWR);
  }

  /// Notes what has happened on a connection since the last check, and shuts it
  /// down if it takes too long.
  void CheckTime(Connection& connection, Instant now) {
    const h2o_socket_t& sock = *connection.sock;
    const bool progress = sock.bytes_read != connection.bytes_read ||
                          sock.bytes_written != connection.bytes_written;
    connection.bytes_read = sock.bytes_read;
    connection.bytes_written = sock.bytes_written;
    if (progress) connection.progress_at = now;
    if (connection.waiting) return;
    // h2o keeps a request in the buffer until its answer has been sent.
    if (sock.input->size == 0) {
      connection.request_began_at.reset();
    } else if (!connection.request_began_at.has_value()) {
      connection.request_began_at = now;
    }
    const bool slow = connection.request_began_at.has_value() &&
                      now - *connection.request_began_at >
                          std::chrono::milliseconds(limits.request_timeout_ms);
    if (slow) {
      ShutDown(connection, counts.closed_as_slow);
    } else if (now - connection.progress_at >
               std::chrono::milliseconds(limits.idle_timeout_ms)) {
      ShutDown(connection, counts.closed_as_idle);
    }
  }

  /// Connections on which no answer is due and that are not shut down.
  std::vector<Connection*> ClosableConnections() const {
    std::vector<Connection*> closable;
    for (const auto& it : connections) {
      if (!it->waiting && !it->shut_down) closable.push_back(it.get());
    }
    return closable;
  }

  /// Shuts down those that hold the most, and of these the slowest first.
  void LimitBytes() {
    if (input_bytes <= limits.max_input_bytes) return;
    const auto goal = static_cast<std::size_t>(
        kAfterClosing * static_cast<double>(limits.max_input_bytes));
    std::vector<Connection*> closable = ClosableConnections();
    std::sort(closable.begin(), closable.end(),
              [](const Connection* a, const Connection* b) {
                return std::make_pair(HeldBytes(*b), a->request_began_at) <
                       std::make_pair(HeldBytes(*a), b->request_began_at);
              });
    std::size_t left = input_bytes;
    for (const auto& it : connections) {
      if (it->shut_down) left -= HeldBytes(*it);
    }
    for (Connection* it : closable) {
      if (left <= goal || HeldBytes(*it) == 0) return;
      left -= HeldBytes(*it);
      ShutDown(*it, counts.closed_for_memory);
    }
  }

  /// Shuts down those without progress for the longest time, so that others can
  /// connect.
  void LimitConnections() {
    const auto goal = static_cast<std::int64_t>(
        kAfterClosing * static_cast<double>(limits.max_connections));
    std::int64_t left =
        std::count_if(connections.begin(), connections.end(),
                      [](const auto& it) { return !it->shut_down; });
    const bool crowded = left > (goal + limits.max_connections) / 2;
    if (!crowded) return;
    std::vector<Connection*> closable = ClosableConnections();
    const auto age = [](const Connection* it) {
      return it->request_began_at.value_or(it->progress_at);
    };
    std::sort(closable.begin(), closable.end(),
              [&](const Connection* a, const Connection* b) {
                return age(a) < age(b);
              });
    for (Connection* it : closable) {
      if (left-- <= goal) return;
      ShutDown(*it, counts.closed_for_connections);
    }
  }

  void EnforceLimits() {
    const Instant now = SteadyNow();
    if (now < next_check) return;
    next_check = now + kCheckInterval;
    input_bytes = 0;
    for (const auto& it : connections) {
      CheckTime(*it, now);
      input_bytes += HeldBytes(*it);
    }
    LimitBytes();
    LimitConnections();
  }

  EventLoop& loop;
  HttpServerLimits limits;
  HttpHandler handler;
  h2o_globalconf_t config{};
  h2o_context_t context{};
  h2o_accept_ctx_t accept{};
  h2o_socket_t* listener = nullptr;
  Address bound;
  Connections connections;
  std::size_t waiting_bytes = 0;  ///< Of requests whose answer is due.
  std::size_t input_bytes = 0;    ///< At the last check.
  Instant next_check{};
  HttpServerCounts counts;
};

std::optional<std::string> FindHeader(const std::vector<HttpHeader>& headers,
                                      std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (header.name == name) return header.value;
  }
  return std::nullopt;
}

void Responder::Send(const HttpResponse& response) const {
  h2o_req_t* req = pending_->request;
  if (req == nullptr) return;
  pending_->request = nullptr;
  if (pending_->on_answer) pending_->on_answer();
  req->res.status = response.status;
  if (response.close_connection) req->http1_is_persistent = 0;
  req->res.reason = ReasonPhrase(response.status);
  req->res.content_length = response.body.size();
  for (const HttpHeader& header : response.headers) AddHeader(req, header);
  h2o_send_inline(req, response.body.data(), response.body.size());
}

void Responder::OnDisconnect(std::function<void()> callback) const {
  pending_->on_disconnect = std::move(callback);
}

HttpServer::HttpServer(EventLoop& loop, const HttpServerLimits& limits,
                       HttpHandler handler)
    : impl_(std::make_unique<Impl>(loop, limits, std::move(handler))) {}

HttpServer::~HttpServer() {
  CloseListener();
  h2o_context_request_shutdown(&impl_->context);
  impl_->handler = [](const HttpRequest&, const Responder& responder) {
    responder.Send({.status = 503, .headers = {}, .body = "stopped\n"});
  };
  KeepUntilExit(impl_.release());
}

absl::Status HttpServer::Listen(const Address& address) {
  absl::StatusOr<int> fd = BindSocket(address);
  if (!fd.ok()) return fd.status();
  sockaddr_in sa{};
  socklen_t n = sizeof(sa);
  getsockname(*fd, reinterpret_cast<sockaddr*>(&sa), &n);
  impl_->bound = {address.ip, ntohs(sa.sin_port)};
  impl_->listener = h2o_evloop_socket_create(impl_->loop.raw(), *fd,
                                             H2O_SOCKET_FLAG_DONT_READ);
  impl_->listener->data = impl_.get();
  h2o_socket_read_start(impl_->listener, Impl::OnAccept);
  return absl::OkStatus();
}

Address HttpServer::BoundAddress() const { return impl_->bound; }

void HttpServer::CloseListener() {
  if (impl_->listener == nullptr) return;
  h2o_socket_close(impl_->listener);
  impl_->listener = nullptr;
}

void HttpServer::BeginShutdown() {
  CloseListener();
  h2o_context_request_shutdown(&impl_->context);
}

std::int64_t HttpServer::OpenConnections() const { return impl_->OpenCount(); }

void HttpServer::EnforceLimits() { impl_->EnforceLimits(); }

const HttpServerCounts& HttpServer::counts() const { return impl_->counts; }

std::size_t HttpServer::InputBytes() const { return impl_->input_bytes; }

}  // namespace hyssopbarrow
