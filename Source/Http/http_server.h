#ifndef HYSSOPBARROW_HTTP_HTTP_SERVER_H_
#define HYSSOPBARROW_HTTP_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Http/address.h"
#include "Http/event_loop.h"
#include "absl/status/status.h"

namespace hyssopbarrow {

struct HttpHeader {
  std::string name;  ///< Lower case.
  std::string value;

  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

/// A complete request.
struct HttpRequest {
  std::string method;
  std::string path;  ///< Normalised path without the query.
  std::string query;
  std::string authority;  ///< The Host header; HttpClient ignores it.
  std::vector<HttpHeader> headers;
  std::string body;
};

/// A complete response.
struct HttpResponse {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
  bool close_connection = false;  ///< Close the connection after this response.
};

/// Returns the value of the first header called `name` (in lower case).
std::optional<std::string> FindHeader(const std::vector<HttpHeader>& headers,
                                      std::string_view name);

/// Handle for answering a request. Copies refer to the same request.
class Responder {
 public:
  struct Pending;
  explicit Responder(std::shared_ptr<Pending> pending)
      : pending_(std::move(pending)) {}

  /// Sends the response. No effect if the caller has disconnected or the
  /// request was already answered.
  void Send(const HttpResponse& response) const;

  /// Sets a callback for when the caller disconnects before the response.
  void OnDisconnect(std::function<void()> callback) const;

 private:
  std::shared_ptr<Pending> pending_;
};

using HttpHandler = std::function<void(HttpRequest, Responder)>;

/// Limits of a server.
struct HttpServerLimits {
  std::size_t max_body_bytes = 4UL << 20;
  std::int64_t request_timeout_ms = 10'000;  ///< To receive a whole request.
  std::int64_t max_connections = 4096;
};

/// HTTP/1.1 server on one listening socket.
class HttpServer {
 public:
  HttpServer(EventLoop& loop, const HttpServerLimits& limits,
             HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and listens; port 0 binds any free port.
  /// Errors: kUnavailable when the address cannot be bound.
  absl::Status Listen(const Address& address);

  Address BoundAddress() const;

  /// Stops accepting connections.
  void CloseListener();

  /// Closes the listener, and each connection when it has no pending request.
  void BeginShutdown();

  /// Number of open connections.
  std::int64_t OpenConnections() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_HTTP_HTTP_SERVER_H_
