#ifndef HYSSOPBARROW_HTTP_HTTP_CLIENT_H_
#define HYSSOPBARROW_HTTP_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Http/address.h"
#include "Http/event_loop.h"
#include "Http/http_server.h"

namespace hyssopbarrow {

/// Result of an HTTP exchange.
enum class TransferResult {
  kComplete,      ///< The whole response arrived.
  kNotConnected,  ///< No connection was made; no byte of the request was sent.
  kBroken,    ///< The connection failed after the request may have been sent.
  kTimedOut,  ///< The deadline passed after the request may have been sent.
};

/// A request to a server.
struct ClientRequest {
  Address address;
  HttpRequest request;
  Instant deadline;
  /// Nothing is sent after this time, nor after `deadline`: after a freeze the
  /// connection may be there before either has been noticed.
  Instant latest_send = Instant::max();
  /// A response that is arriving at `deadline` may take until then, as long as
  /// further parts of it arrive. No effect if it is not after `deadline`.
  Instant transfer_deadline{};
  bool fresh_connection =
      false;  ///< Use a new connection and close it afterwards.
};

using TransferCallback = std::function<void(TransferResult, HttpResponse)>;

/// Limits of a client.
struct HttpClientLimits {
  std::size_t max_response_bytes = 16UL << 20;
  std::uint64_t idle_timeout_ms =
      5'000;  ///< For connections that are not in use.
};

/// An exchange that got no response in time, and what this did to the other
/// connections to its address.
struct ExchangeTimeout {
  Address address;
  bool reused = false;  ///< Its connection had carried an exchange before.
  std::int64_t idle_closed = 0;  ///< Idle connections that were given up.
  std::int64_t kept = 0;         ///< Connections that are still used.

  friend bool operator==(const ExchangeTimeout&,
                         const ExchangeTimeout&) = default;
};

using TimeoutObserver = std::function<void(const ExchangeTimeout&)>;

/// HTTP/1.1 client that keeps connections open for further exchanges.
///
/// The connection of an incomplete exchange is closed, so that a late response
/// cannot be read as the response of another exchange. Open connections may go
/// silent together without being reset. So when an exchange times out, idle
/// connections to its address that have not delivered a response just before
/// are closed as well; those of a server that is only slow have.
class HttpClient {
 public:
  /// `on_timeout` is called for each exchange that times out.
  HttpClient(
      EventLoop& loop, const HttpClientLimits& limits,
      TimeoutObserver on_timeout = [](const ExchangeTimeout&) {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request and returns the exchange's number. `callback` is called
  /// once, always after this function has returned.
  std::int64_t Send(const ClientRequest& request, TransferCallback callback);

  /// Closes the connection of an exchange without calling its callback.
  void Cancel(std::int64_t exchange);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_HTTP_HTTP_CLIENT_H_
