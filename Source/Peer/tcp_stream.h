#ifndef HYSSOPBARROW_PEER_TCP_STREAM_H_
#define HYSSOPBARROW_PEER_TCP_STREAM_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "Http/address.h"
#include "Http/event_loop.h"
#include "absl/status/status.h"

struct st_h2o_socket_t;

namespace hyssopbarrow {

/// Callbacks of a TcpStream. None is called after Close.
struct TcpCallbacks {
  std::function<void()> on_connected;
  std::function<void(const char*, std::size_t)> on_bytes;
  std::function<void()> on_drained;  ///< All written bytes were sent.
  std::function<void()> on_closed;   ///< Failed or closed by the peer.
};

/// TCP connection on an event loop with a buffer for unsent bytes.
class TcpStream {
 public:
  /// Starts connecting to `address`. A failure is reported by `on_closed`,
  /// always after the constructor has returned.
  TcpStream(EventLoop& loop, const Address& address, TcpCallbacks callbacks);

  /// Takes ownership of an accepted socket; `on_connected` is not called.
  TcpStream(EventLoop& loop, st_h2o_socket_t* socket, TcpCallbacks callbacks);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Buffers bytes and sends them in order.
  void Write(const char* data, std::size_t n);

  /// Number of written bytes that are not yet sent.
  std::size_t UnsentBytes() const;

  /// Closes the connection and discards unsent bytes.
  void Close();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/// Listening TCP socket on an event loop.
class TcpListener {
 public:
  using AcceptCallback = std::function<void(st_h2o_socket_t*)>;

  TcpListener(EventLoop& loop, AcceptCallback callback);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /// Binds and listens; port 0 binds any free port.
  /// Errors: kUnavailable when the address cannot be bound.
  absl::Status Listen(const Address& address);

  Address BoundAddress() const { return bound_; }

  /// Stops accepting connections.
  void Close();

 private:
  EventLoop& loop_;
  AcceptCallback callback_;
  st_h2o_socket_t* socket_ = nullptr;
  Address bound_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_PEER_TCP_STREAM_H_
