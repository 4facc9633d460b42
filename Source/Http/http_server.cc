#include "Http/http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <h2o.h>
#include <h2o/http1.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <new>
#include <utility>

#include "Model/text.h"

namespace hyssopbarrow {

struct Responder::Pending {
  h2o_req_t* request = nullptr;  ///< Null once answered or disconnected.
  std::function<void()> on_disconnect;
};

namespace {

constexpr int kListenBacklog = 1024;

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

/// Allocated in the request's memory pool. h2o destroys it with the request,
/// which is how a disconnected caller is detected.
struct RequestGuard {
  std::shared_ptr<Responder::Pending> pending;
};

void DisposeRequestGuard(void* data) {
  auto* guard = static_cast<RequestGuard*>(data);
  const std::shared_ptr<Responder::Pending> pending = std::move(guard->pending);
  guard->~RequestGuard();
  if (pending->request == nullptr) return;
  pending->request = nullptr;
  if (pending->on_disconnect) pending->on_disconnect();
}

std::shared_ptr<Responder::Pending> TrackRequest(h2o_req_t* req) {
  auto pending = std::make_shared<Responder::Pending>();
  pending->request = req;
  void* buf = h2o_mem_alloc_shared(&req->pool, sizeof(RequestGuard),
                                   DisposeRequestGuard);
  new (buf) RequestGuard{pending};
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

struct ServerHandler {
  h2o_handler_t super;
  HttpHandler* callback;
};

int OnRequest(h2o_handler_t* self, h2o_req_t* req) {
  const auto* handler = reinterpret_cast<ServerHandler*>(self);
  (*handler->callback)(ReadRequest(req), Responder(TrackRequest(req)));
  return 0;
}

absl::StatusOr<int> BindSocket(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
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
  Impl(EventLoop& event_loop, const HttpServerLimits& bounds,
       HttpHandler on_request)
      : loop(event_loop), limits(bounds), handler(std::move(on_request)) {
    h2o_config_init(&config);
    config.max_request_entity_size = limits.max_body_bytes;
    config.http1.req_timeout =
        static_cast<std::uint64_t>(limits.request_timeout_ms);
    config.http1.upgrade_to_http2 = 0;
    config.server_name = h2o_iovec_init(H2O_STRLIT("hyssopbarrow"));
    h2o_hostconf_t* host = h2o_config_register_host(
        &config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    auto* raw = reinterpret_cast<ServerHandler*>(
        h2o_create_handler(path, sizeof(ServerHandler)));
    raw->super.on_req = OnRequest;
    raw->callback = &handler;
    h2o_context_init(&context, loop.raw(), &config);
    accept.ctx = &context;
    accept.hosts = config.hosts;
  }

  static void OnAccept(h2o_socket_t* listener, const char* error) {
    if (error != nullptr) return;
    auto* self = static_cast<Impl*>(listener->data);
    h2o_socket_t* sock = h2o_evloop_socket_accept(listener);
    if (sock == nullptr) return;
    if (self->connections >= self->limits.max_connections) {
      h2o_socket_close(sock);
      return;
    }
    ++self->connections;
    sock->on_close.cb = [](void* data) { --*static_cast<std::int64_t*>(data); };
    sock->on_close.data = &self->connections;
    h2o_accept(&self->accept, sock);
  }

  EventLoop& loop;
  HttpServerLimits limits;
  HttpHandler handler;
  h2o_globalconf_t config{};
  h2o_context_t context{};
  h2o_accept_ctx_t accept{};
  h2o_socket_t* listener = nullptr;
  Address bound;
  std::int64_t connections = 0;
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

std::int64_t HttpServer::OpenConnections() const { return impl_->connections; }

}  // namespace hyssopbarrow
