#ifndef HYSSOPBARROW_PEER_WEBSOCKET_H_
#define HYSSOPBARROW_PEER_WEBSOCKET_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace hyssopbarrow {

/// Callbacks of a WebSocket, called from within Start, Receive, Send and Close.
struct WebSocketCallbacks {
  /// Sends bytes to the peer.
  std::function<void(const char*, std::size_t)> write;
  std::function<void()> on_open;
  std::function<void(const std::string&)> on_message;
  std::function<void()> on_closed;  ///< The connection failed or was closed.
};

/// WebSocket protocol of one end of a connection, without I/O: the owner
/// transports the bytes.
class WebSocket {
 public:
  enum class Role { kClient, kServer };

  /// A received message larger than `max_message_bytes` closes the connection.
  WebSocket(Role role, std::size_t max_message_bytes,
            WebSocketCallbacks callbacks);
  ~WebSocket();
  WebSocket(const WebSocket&) = delete;
  WebSocket& operator=(const WebSocket&) = delete;

  /// Starts the opening handshake.
  void Start();

  /// Processes bytes received from the peer.
  void Receive(const char* data, std::size_t n);

  /// Sends a binary message. Returns false if the connection is not open.
  bool Send(const std::string& message);

  /// Starts the closing handshake.
  void Close();

 private:
  class Endpoint;
  template <typename Library>
  class TypedEndpoint;
  std::unique_ptr<Endpoint> endpoint_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_PEER_WEBSOCKET_H_
