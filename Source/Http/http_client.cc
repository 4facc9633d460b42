#include "Http/http_client.h"

#include <h2o.h>
#include <h2o/http1client.h>
#include <sys/socket.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Model/text.h"
#include "absl/strings/ascii.h"

namespace hyssopbarrow {
namespace {

/// Fallback I/O timeout of h2o (24 hours). Exchanges normally end earlier, at
/// their own deadlines.
constexpr std::uint64_t kIoTimeoutMs = 24ULL * 3600 * 1000;
constexpr Duration kIdleCheckInterval = std::chrono::seconds(1);
/// A response of which nothing arrives for this long has stalled.
constexpr Duration kMaxStall = std::chrono::milliseconds(700);
/// A connection whose last response is not older than this when another one
/// times out is not taken for silent.
constexpr Duration kRecentResponse = std::chrono::milliseconds(200);

std::string FormatRequest(const ClientRequest& client_request) {
  const HttpRequest& request = client_request.request;
  std::string text =
      StrCat(request.method, " ", request.path,
             request.query.empty() ? "" : "?", request.query,
             " HTTP/1.1\r\nhost: ", ToString(client_request.address), "\r\n");
  for (const HttpHeader& header : request.headers) {
    StrAppend(text, header.name, ": ", header.value, "\r\n");
  }
  if (client_request.fresh_connection) StrAppend(text, "connection: close\r\n");
  StrAppend(text, "content-length: ", request.body.size(), "\r\n\r\n",
            request.body);
  return text;
}

/// A loop that never runs, for the timers with which h2o closes idle
/// connections: each pool has one, and a running loop walks all its timers in
/// each iteration.
h2o_loop_t* IdleLoop() {
  static h2o_loop_t* const kLoop = [] {
    h2o_loop_t* loop = h2o_evloop_create();
    KeepUntilExit(loop);
    return loop;
  }();
  return kLoop;
}

/// Makes the coming close reset the connection. A normal close would still
/// deliver request bytes that are in the send buffer, however late.
void ResetOnClose(h2o_http1client_t* client) {
  if (client->sock == nullptr) return;
  const linger reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(h2o_socket_get_fd(client->sock), SOL_SOCKET, SO_LINGER, &reset,
             sizeof(reset));
}

}  // namespace

struct HttpClient::Impl : std::enable_shared_from_this<Impl> {
  /// A connection to one address, or the attempt to open it. h2o keeps it in a
  /// pool of its own between two exchanges, so that it can be closed by itself.
  struct Connection {
    h2o_socketpool_t pool{};
    bool in_use = false;
    bool used_before = false;    ///< Has carried a complete exchange.
    Instant last_response_at{};  ///< End of its last complete exchange.
  };

  struct Exchange {
    Impl* owner = nullptr;
    std::int64_t number = 0;
    h2o_http1client_t* client = nullptr;
    Address address;
    Connection* connection = nullptr;  ///< Null for a fresh connection.
    std::string request_text;
    h2o_iovec_t write_buffer{};
    TimerId timer;
    Instant latest_send;
    Instant transfer_deadline;
    bool sent = false;
    bool progressed = false;  ///< Since `timer` was set.
    bool abandoned = false;   ///< Its connection closes after the next poll.
    HttpResponse response;
    TransferCallback callback;
  };

  using ExchangePtr = std::shared_ptr<Exchange>;

  struct AddressLess {
    bool operator()(const Address& a, const Address& b) const {
      return std::tie(a.ip, a.port) < std::tie(b.ip, b.port);
    }
  };

  Impl(EventLoop& event_loop, const HttpClientLimits& bounds,
       TimeoutObserver observer)
      : loop(event_loop), limits(bounds), on_timeout(std::move(observer)) {
    h2o_timeout_init(loop.raw(), &io_timeout, kIoTimeoutMs);
    context.loop = loop.raw();
    context.io_timeout = &io_timeout;
  }

  /// Returns an idle connection to `address`, the one that was used last, or a
  /// new one.
  Connection& TakeConnection(const Address& address) {
    auto [it, inserted] = connections.try_emplace(address);
    if (inserted && connections.size() == 1) ScheduleIdleCheck();
    Connection* best = nullptr;
    for (const auto& candidate : it->second) {
      const bool better = !candidate->in_use &&
                          (best == nullptr || candidate->last_response_at >
                                                  best->last_response_at);
      if (better) best = candidate.get();
    }
    if (best == nullptr) {
      best = it->second.emplace_back(std::make_unique<Connection>()).get();
      sockaddr_in sa = ToSockaddr(address);
      h2o_socketpool_init_by_address(
          &best->pool, reinterpret_cast<sockaddr*>(&sa), sizeof(sa), 0, 1);
      h2o_socketpool_set_timeout(&best->pool, IdleLoop(),
                                 limits.idle_timeout_ms);
    }
    best->in_use = true;
    return *best;
  }

  /// Closes the connections to `address` that are idle and of which
  /// `is_obsolete` is true, and returns their number.
  template <typename Predicate>
  std::int64_t CloseIdle(std::vector<std::unique_ptr<Connection>>& list,
                         Predicate is_obsolete) {
    return static_cast<std::int64_t>(
        std::erase_if(list, [&](const auto& connection) {
          const bool close = !connection->in_use && is_obsolete(*connection);
          if (close) h2o_socketpool_dispose(&connection->pool);
          return close;
        }));
  }

  void ScheduleIdleCheck() {
    idle_check = loop.CallAt(loop.Now() + kIdleCheckInterval,
                             [this] { CloseUnusedConnections(); });
  }

  void CloseUnusedConnections() {
    const Instant idle_limit =
        loop.Now() - std::chrono::milliseconds(limits.idle_timeout_ms);
    for (auto it = connections.begin(); it != connections.end();) {
      CloseIdle(it->second, [&](const Connection& connection) {
        return connection.last_response_at <= idle_limit;
      });
      it = it->second.empty() ? connections.erase(it) : std::next(it);
    }
    if (!connections.empty()) ScheduleIdleCheck();
  }

  /// Closes the connections that may have gone silent together with that of
  /// `exchange`, which has timed out.
  void CloseSilentConnections(const Exchange& exchange) {
    auto it = connections.find(exchange.address);
    if (it == connections.end()) return on_timeout({exchange.address});
    const Instant recent_since = loop.Now() - kRecentResponse;
    const std::int64_t closed =
        CloseIdle(it->second, [&](const Connection& connection) {
          return connection.last_response_at < recent_since;
        });
    const bool pooled = exchange.connection != nullptr;
    on_timeout({.address = exchange.address,
                .reused = pooled && exchange.connection->used_before,
                .idle_closed = closed,
                .kept = static_cast<std::int64_t>(it->second.size()) -
                        (pooled ? 1 : 0)});
  }

  /// Keeps the connection of an exchange for further ones if the exchange is
  /// complete; h2o has closed it otherwise.
  void ReleaseConnection(const Exchange& exchange, bool complete) {
    Connection* connection = exchange.connection;
    if (connection == nullptr) return;
    connection->in_use = false;
    connection->used_before = true;
    connection->last_response_at = loop.Now();
    if (complete) return;
    auto it = connections.find(exchange.address);
    CloseIdle(it->second, [connection](const Connection& other) {
      return &other == connection;
    });
  }

  /// Removes an exchange that has ended. An abandoned one keeps its connection
  /// until that is closed.
  ExchangePtr Remove(std::int64_t number, bool complete) {
    auto node = exchanges.extract(number);
    if (node.empty()) return nullptr;
    ExchangePtr exchange = std::move(node.mapped());
    if (!exchange->abandoned) ReleaseConnection(*exchange, complete);
    return exchange;
  }

  void Connect(Exchange& exchange, const ClientRequest& request) {
    if (!request.fresh_connection) {
      exchange.connection = &TakeConnection(request.address);
      h2o_http1client_connect_with_pool(&exchange.client, &exchange, &context,
                                        &exchange.connection->pool, OnConnect);
      return;
    }
    h2o_http1client_connect(
        &exchange.client, &exchange, &context,
        h2o_iovec_init(request.address.ip.data(), request.address.ip.size()),
        request.address.port, 0, OnConnect);
  }

  /// Detaches an exchange from its h2o client, which h2o frees, and schedules
  /// the callback.
  static void Finish(Exchange& exchange, TransferResult result) {
    exchange.client = nullptr;
    ScheduleCallback(exchange, result);
  }

  static void ScheduleCallback(Exchange& exchange, TransferResult result) {
    Impl& self = *exchange.owner;
    self.loop.CancelTimer(exchange.timer);
    self.loop.Defer(
        [weak = self.weak_from_this(), number = exchange.number, result] {
          if (const auto owner = weak.lock()) {
            owner->RunCallback(number, result);
          }
        });
  }

  void RunCallback(std::int64_t number, TransferResult result) {
    const ExchangePtr exchange =
        Remove(number, result == TransferResult::kComplete);
    if (exchange == nullptr) return;
    exchange->callback(result, std::move(exchange->response));
  }

  static TransferResult FailureResult(const Exchange& exchange) {
    return exchange.sent ? TransferResult::kBroken
                         : TransferResult::kNotConnected;
  }

  static h2o_http1client_head_cb OnConnect(h2o_http1client_t* client,
                                           const char* error,
                                           h2o_iovec_t** bufs,
                                           std::size_t* count,
                                           int* method_is_head) {
    auto& exchange = *static_cast<Exchange*>(client->data);
    if (IsClosedByReturn(exchange)) return nullptr;
    if (error != nullptr) {
      Finish(exchange, TransferResult::kNotConnected);
      return nullptr;
    }
    if (SteadyNow() >= exchange.latest_send) {
      Finish(exchange, TransferResult::kNotConnected);
      return nullptr;
    }
    exchange.sent = true;
    exchange.write_buffer = h2o_iovec_init(exchange.request_text.data(),
                                           exchange.request_text.size());
    *bufs = &exchange.write_buffer;
    *count = 1;
    *method_is_head = 0;
    return OnHead;
  }

  static h2o_http1client_body_cb OnHead(h2o_http1client_t* client,
                                        const char* error, int, int status,
                                        h2o_iovec_t, h2o_header_t* headers,
                                        std::size_t count, int) {
    auto& exchange = *static_cast<Exchange*>(client->data);
    if (IsClosedByReturn(exchange)) return nullptr;
    if (error != nullptr && error != h2o_http1client_error_is_eos) {
      Finish(exchange, FailureResult(exchange));
      return nullptr;
    }
    exchange.progressed = true;
    exchange.response.status = status;
    for (std::size_t n = 0; n < count; ++n) {
      std::string name(headers[n].name->base, headers[n].name->len);
      absl::AsciiStrToLower(&name);
      exchange.response.headers.push_back(
          {std::move(name), {headers[n].value.base, headers[n].value.len}});
    }
    if (error == nullptr) return OnBody;
    Finish(exchange, TransferResult::kComplete);
    return nullptr;
  }

  static int OnBody(h2o_http1client_t* client, const char* error) {
    auto& exchange = *static_cast<Exchange*>(client->data);
    if (IsClosedByReturn(exchange)) return -1;
    const bool complete = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !complete) {
      Finish(exchange, TransferResult::kBroken);
      return 0;
    }
    exchange.progressed = true;
    h2o_buffer_t** input = &client->sock->input;
    exchange.response.body.append((*input)->bytes, (*input)->size);
    h2o_buffer_consume(input, (*input)->size);
    if (exchange.response.body.size() >
        exchange.owner->limits.max_response_bytes) {
      Finish(exchange, TransferResult::kBroken);
      return -1;
    }
    if (complete) Finish(exchange, TransferResult::kComplete);
    return 0;
  }

  /// Closes the connection of an exchange without a complete response, after
  /// the next poll.
  void Abandon(const ExchangePtr& exchange) {
    if (exchange->client == nullptr || exchange->abandoned) return;
    exchange->abandoned = true;
    loop.CallAfterPoll([exchange] {
      Impl& self = *exchange->owner;
      self.CloseClient(*exchange);
      self.ReleaseConnection(*exchange, false);
    });
  }

  /// Requires that h2o has no pending sockets.
  static void CloseClient(Exchange& exchange) {
    if (exchange.client == nullptr) return;
    ResetOnClose(exchange.client);
    h2o_http1client_cancel(exchange.client);
    exchange.client = nullptr;
  }

  /// True if a callback of h2o concerns an abandoned exchange. h2o then closes
  /// the connection and frees the client as the callback returns.
  static bool IsClosedByReturn(Exchange& exchange) {
    if (exchange.abandoned) exchange.client = nullptr;
    return exchange.abandoned;
  }

  void SetDeadline(Exchange& exchange, Instant deadline) {
    exchange.progressed = false;
    exchange.timer = loop.CallAt(
        deadline, [this, number = exchange.number] { OnDeadline(number); });
  }

  void OnDeadline(std::int64_t number) {
    auto it = exchanges.find(number);
    if (it == exchanges.end() || it->second->client == nullptr) return;
    const ExchangePtr kept = it->second;
    Exchange& exchange = *kept;
    const Instant now = loop.Now();
    if (exchange.progressed && now < exchange.transfer_deadline) {
      SetDeadline(exchange,
                  std::min(now + kMaxStall, exchange.transfer_deadline));
      return;
    }
    Abandon(kept);
    if (exchange.sent) CloseSilentConnections(exchange);
    ScheduleCallback(exchange, exchange.sent ? TransferResult::kTimedOut
                                             : TransferResult::kNotConnected);
  }

  void Close() {
    for (auto& [address, list] : connections) {
      for (auto& connection : list) h2o_socketpool_dispose(&connection->pool);
    }
    h2o_timeout_dispose(loop.raw(), &io_timeout);
  }

  EventLoop& loop;
  HttpClientLimits limits;
  h2o_http1client_ctx_t context{};
  h2o_timeout_t io_timeout{};
  TimeoutObserver on_timeout;
  std::map<Address, std::vector<std::unique_ptr<Connection>>, AddressLess>
      connections;
  TimerId idle_check;
  std::unordered_map<std::int64_t, ExchangePtr> exchanges;
  std::int64_t next_exchange = 1;
};

HttpClient::HttpClient(EventLoop& loop, const HttpClientLimits& limits,
                       TimeoutObserver on_timeout)
    : impl_(std::make_shared<Impl>(loop, limits, std::move(on_timeout))) {}

HttpClient::~HttpClient() {
  EventLoop& loop = impl_->loop;
  loop.CancelTimer(impl_->idle_check);
  for (auto& [number, exchange] : impl_->exchanges) {
    loop.CancelTimer(exchange->timer);
    impl_->Abandon(exchange);
  }
  impl_->exchanges.clear();
  // Connections outlive the abandoned exchanges that use them.
  loop.CallAfterPoll([impl = std::move(impl_)] { impl->Close(); });
}

std::int64_t HttpClient::Send(const ClientRequest& request,
                              TransferCallback callback) {
  const std::int64_t number = impl_->next_exchange++;
  auto exchange = std::make_shared<Impl::Exchange>();
  exchange->owner = impl_.get();
  exchange->number = number;
  exchange->address = request.address;
  exchange->request_text = FormatRequest(request);
  exchange->callback = std::move(callback);
  exchange->latest_send = std::min(request.latest_send, request.deadline);
  exchange->transfer_deadline = request.transfer_deadline;
  impl_->SetDeadline(*exchange, request.deadline);
  Impl::Exchange& started =
      *impl_->exchanges.emplace(number, std::move(exchange)).first->second;
  impl_->Connect(started, request);
  return number;
}

void HttpClient::Cancel(std::int64_t exchange) {
  auto it = impl_->exchanges.find(exchange);
  if (it == impl_->exchanges.end()) return;
  impl_->loop.CancelTimer(it->second->timer);
  impl_->Abandon(it->second);
  impl_->Remove(exchange, false);
}

}  // namespace hyssopbarrow
