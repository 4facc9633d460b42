#include "Peer/tcp_stream.h"

#include <h2o.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr int kListenBacklog = 128;

absl::Status BindError(const Address& address) {
  return absl::UnavailableError(StrCat("cannot listen on ", ToString(address),
                                       ": ", std::strerror(errno)));
}

}  // namespace

struct TcpStream::Impl : std::enable_shared_from_this<Impl> {
  Impl(EventLoop& event_loop, TcpCallbacks calls)
      : loop(event_loop), callbacks(std::move(calls)) {}

  /// Returns the stream of `sock`, or null after CloseSocket.
  static std::shared_ptr<Impl> FromSocket(h2o_socket_t* sock) {
    auto* self = static_cast<Impl*>(sock->data);
    return self == nullptr ? nullptr : self->shared_from_this();
  }

  void Connect(const Address& address) {
    sockaddr_in sa = ToSockaddr(address);
    socket = h2o_socket_connect(loop.raw(), reinterpret_cast<sockaddr*>(&sa),
                                sizeof(sa), OnConnect);
    if (socket == nullptr) return DeferFailure();
    socket->data = this;
  }

  void AttachSocket(h2o_socket_t* sock) {
    socket = sock;
    socket->data = this;
    open = true;
    h2o_socket_read_start(socket, OnRead);
  }

  void DeferFailure() {
    loop.Defer([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->HandleFailure();
    });
  }

  void HandleFailure() {
    const auto keep = shared_from_this();
    CloseSocket();
    if (const auto closed = std::exchange(callbacks.on_closed, nullptr)) {
      closed();
    }
  }

  /// Detaches the socket and closes it after the next poll.
  void CloseSocket() {
    if (socket == nullptr) return;
    h2o_socket_t* sock = std::exchange(socket, nullptr);
    open = false;
    sock->data = nullptr;
    h2o_socket_read_stop(sock);
    loop.CallAfterPoll(
        [sock, bytes = std::move(in_flight)] { h2o_socket_close(sock); });
    in_flight = std::make_shared<std::string>();
  }

  static void OnConnect(h2o_socket_t* sock, const char* error) {
    const auto self = FromSocket(sock);
    if (self == nullptr) return;
    if (error != nullptr) return self->HandleFailure();
    self->open = true;
    h2o_socket_read_start(sock, OnRead);
    self->callbacks.on_connected();
    self->Flush();
  }

  static void OnRead(h2o_socket_t* sock, const char* error) {
    const auto self = FromSocket(sock);
    if (self == nullptr) return;
    if (error != nullptr) return self->HandleFailure();
    const std::string bytes(sock->input->bytes, sock->input->size);
    h2o_buffer_consume(&sock->input, sock->input->size);
    if (!bytes.empty()) self->callbacks.on_bytes(bytes.data(), bytes.size());
  }

  static void OnWritten(h2o_socket_t* sock, const char* error) {
    const auto self = FromSocket(sock);
    if (self == nullptr) return;
    self->in_flight->clear();
    if (error != nullptr) return self->HandleFailure();
    if (!self->unsent.empty()) return self->Flush();
    self->callbacks.on_drained();
  }

  void Flush() {
    if (!open || !in_flight->empty() || unsent.empty()) return;
    in_flight->swap(unsent);
    h2o_iovec_t buf = h2o_iovec_init(in_flight->data(), in_flight->size());
    h2o_socket_write(socket, &buf, 1, OnWritten);
  }

  EventLoop& loop;
  TcpCallbacks callbacks;
  h2o_socket_t* socket = nullptr;
  bool open = false;
  std::string unsent;
  std::shared_ptr<std::string> in_flight = std::make_shared<std::string>();
};

TcpStream::TcpStream(EventLoop& loop, const Address& address,
                     TcpCallbacks callbacks)
    : impl_(std::make_shared<Impl>(loop, std::move(callbacks))) {
  impl_->Connect(address);
}

TcpStream::TcpStream(EventLoop& loop, st_h2o_socket_t* socket,
                     TcpCallbacks callbacks)
    : impl_(std::make_shared<Impl>(loop, std::move(callbacks))) {
  impl_->AttachSocket(socket);
}

TcpStream::~TcpStream() { Close(); }

void TcpStream::Write(const char* data, std::size_t n) {
  impl_->unsent.append(data, n);
  impl_->Flush();
}

std::size_t TcpStream::UnsentBytes() const {
  return impl_->unsent.size() + impl_->in_flight->size();
}

void TcpStream::Close() {
  impl_->callbacks.on_closed = nullptr;
  impl_->CloseSocket();
}

TcpListener::TcpListener(EventLoop& loop, AcceptCallback callback)
    : loop_(loop), callback_(std::move(callback)) {}

TcpListener::~TcpListener() { Close(); }

absl::Status TcpListener::Listen(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in sa = ToSockaddr(address);
  socklen_t n = sizeof(sa);
  auto* raw = reinterpret_cast<sockaddr*>(&sa);
  if (bind(fd, raw, n) != 0 || listen(fd, kListenBacklog) != 0) {
    absl::Status status = BindError(address);
    close(fd);
    return status;
  }
  getsockname(fd, raw, &n);
  bound_ = {address.ip, ntohs(sa.sin_port)};
  socket_ =
      h2o_evloop_socket_create(loop_.raw(), fd, H2O_SOCKET_FLAG_DONT_READ);
  socket_->data = this;
  h2o_socket_read_start(socket_, [](h2o_socket_t* sock, const char* error) {
    if (error != nullptr) return;
    h2o_socket_t* accepted = h2o_evloop_socket_accept(sock);
    auto* self = static_cast<TcpListener*>(sock->data);
    if (accepted != nullptr) self->callback_(accepted);
  });
  return absl::OkStatus();
}

void TcpListener::Close() {
  if (socket_ != nullptr) h2o_socket_close(std::exchange(socket_, nullptr));
}

}  // namespace hyssopbarrow
