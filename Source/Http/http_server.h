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
  /// To receive a whole request, from its first byte on.
  std::int64_t request_timeout_ms = 10'000;
  std::int64_t max_connections = 4096;
  /// For buffers with what connections have sent and is not answered.
  std::size_t max_input_bytes = 64UL << 20;
  /// Without progress, a connection on which no answer is due is closed.
  std::int64_t idle_timeout_ms = 15'000;

  friend bool operator==(const HttpServerLimits&,
                         const HttpServerLimits&) = default;
};

/// Connections that a server has closed, and requests that it has refused,
/// because of its limits.
struct HttpServerCounts {
  std::int64_t closed_for_memory = 0;       ///< They held the most.
  std::int64_t closed_as_slow = 0;          ///< Their request took too long.
  std::int64_t closed_as_idle = 0;          ///< No progress.
  std::int64_t closed_for_connections = 0;  ///< Too many were open.
  std::int64_t refused_connections = 0;     ///< As above; closed at once.
  std::int64_t refused_requests = 0;        ///< Answered with 503.

  friend bool operator==(const HttpServerCounts&,
                         const HttpServerCounts&) = default;
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

  /// Closes connections that exceed the limits on time and memory. To be called
  /// after each iteration of the loop; checks at most once in 10 ms.
  void EnforceLimits();

  const HttpServerCounts& counts() const;
  /// Size of the buffers with what connections have sent, at the last check.
  std::size_t InputBytes() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_HTTP_HTTP_SERVER_H_
