#include "Http/http_client.h"

#include <arpa/inet.h>
#include <h2o.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <ctime>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace hyssopbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kPollInterval = milliseconds(2);
/// Detects a test that hangs; not a limit on speed.
constexpr Duration kTestTimeout = seconds(20);

/// A server whose open connections can go silent: requests on them are read no
/// more, while new connections are served. Requests for /hang get no response.
class Server {
 public:
  explicit Server(EventLoop& loop) : loop_(loop) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in sa{};
    sa.sin_family = AF_INET;
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(sa);
    auto* address = reinterpret_cast<sockaddr*>(&sa);
    REQUIRE(bind(listener_, address, size) == 0);
    REQUIRE(listen(listener_, 128) == 0);
    REQUIRE(getsockname(listener_, address, &size) == 0);
    port_ = ntohs(sa.sin_port);
    Poll();
  }
  ~Server() {
    loop_.CancelTimer(timer_);
    for (const Connection& connection : connections_) close(connection.fd);
    close(listener_);
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  Address BoundAddress() const { return {"127.0.0.1", port_}; }

  /// Stops accepting and answering.
  void Stop() { loop_.CancelTimer(timer_); }

  /// Makes all open connections silent, or only the `count` oldest ones.
  void SilenceOpen(std::size_t count = SIZE_MAX) {
    const std::size_t n = std::min(count, connections_.size());
    for (std::size_t k = 0; k < n; ++k) connections_[k].silent = true;
  }

  std::size_t OpenCount() const { return connections_.size(); }

  int accepted = 0;

 private:
  struct Connection {
    int fd = -1;
    bool silent = false;
    std::string unread;
  };

  void Poll() {
    for (int fd = Accept(); fd >= 0; fd = Accept()) {
      connections_.push_back({.fd = fd});
      ++accepted;
    }
    std::erase_if(connections_, [](Connection& connection) {
      if (connection.silent || Serve(connection)) return false;
      close(connection.fd);
      return true;
    });
    timer_ = loop_.CallAt(loop_.Now() + kPollInterval, [this] { Poll(); });
  }

  int Accept() const {
    return accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
  }

  /// Answers the requests that have arrived. Returns false at the end of the
  /// connection.
  static bool Serve(Connection& connection) {
    char buf[4096];
    const ssize_t n = recv(connection.fd, buf, sizeof(buf), 0);
    if (n == 0) return false;
    if (n > 0) connection.unread.append(buf, static_cast<std::size_t>(n));
    const std::string end = "\r\n\r\n";
    for (std::size_t at = connection.unread.find(end); at != std::string::npos;
         at = connection.unread.find(end)) {
      const bool hangs = connection.unread.starts_with("GET /hang");
      connection.unread.erase(0, at + end.size());
      const std::string reply =
          "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
      if (!hangs) send(connection.fd, reply.data(), reply.size(), MSG_NOSIGNAL);
    }
    return true;
  }

  EventLoop& loop_;
  std::uint16_t port_ = 0;
  int listener_ = -1;
  std::vector<Connection> connections_;  ///< In the order of their acceptance.
  TimerId timer_;
};

constexpr Duration kFreezeAfter = milliseconds(100);
constexpr Duration kFreezeLength = milliseconds(900);

/// Stops the calling thread for kFreezeLength after kFreezeAfter, in the way of
/// SIGSTOP and SIGCONT: a call that waits is interrupted, and much later.
class Freeze {
 public:
  Freeze()
      : signaller_([thread = pthread_self()] {
          std::this_thread::sleep_for(kFreezeAfter);
          pthread_kill(thread, SIGUSR1);
        }) {
    struct sigaction action {};
    action.sa_handler = [](int) {
      const timespec length{
          .tv_sec = 0,
          .tv_nsec = std::chrono::nanoseconds(kFreezeLength).count()};
      nanosleep(&length, nullptr);
    };
    sigaction(SIGUSR1, &action, nullptr);
  }
  ~Freeze() { signaller_.join(); }
  Freeze(const Freeze&) = delete;
  Freeze& operator=(const Freeze&) = delete;

 private:
  std::thread signaller_;
};

bool HasPendingSockets(const EventLoop& loop) {
  return loop.raw()->_pending_as_client != nullptr ||
         loop.raw()->_pending_as_server != nullptr;
}

/// A client of one server, with the timeouts that it has reported.
struct ClientFixture {
  explicit ClientFixture(std::uint64_t idle_timeout_ms = 5000)
      : server(loop),
        client(loop, {.idle_timeout_ms = idle_timeout_ms},
               [this](const ExchangeTimeout& t) { timeouts.push_back(t); }) {}

  /// Sends a request whose result is added to `results`.
  void Send(const std::string& path, Duration timeout) {
    client.Send({.address = server.BoundAddress(),
                 .request = {.method = "GET", .path = path},
                 .deadline = SteadyNow() + timeout},
                [this](TransferResult result, const HttpResponse&) {
                  results.push_back(result);
                });
  }

  /// Runs until `count` results are there and returns the last one.
  TransferResult Await(std::size_t count) {
    const Instant deadline = SteadyNow() + kTestTimeout;
    while (results.size() < count && SteadyNow() < deadline) {
      loop.RunOnce(SteadyNow() + milliseconds(20));
    }
    REQUIRE(results.size() >= count);
    return results.back();
  }

  /// Sends one request and returns its result.
  TransferResult Exchange(const std::string& path, Duration timeout) {
    const std::size_t count = results.size() + 1;
    Send(path, timeout);
    return Await(count);
  }

  /// Leaves `count` idle connections behind.
  void OpenConnections(int count) {
    const std::size_t done = results.size() + static_cast<std::size_t>(count);
    for (int n = 0; n < count; ++n) Send("/", kTestTimeout);
    REQUIRE(Await(done) == TransferResult::kComplete);
    REQUIRE(server.OpenCount() == static_cast<std::size_t>(count));
  }

  void Run(Duration duration) {
    const Instant end = SteadyNow() + duration;
    while (SteadyNow() < end) loop.RunOnce(end);
  }

  EventLoop loop;
  Server server;
  std::vector<ExchangeTimeout> timeouts;
  std::vector<TransferResult> results;
  HttpClient client;
};

// khumbu-sched, CONFIG: each retry of a watch took another of the connections
// that had gone silent with the first one, for seconds each.
TEST_CASE("connections that went silent together cost one timeout") {
  ClientFixture fixture;
  fixture.OpenConnections(20);
  fixture.Run(milliseconds(300));
  fixture.server.SilenceOpen();
  CHECK(fixture.Exchange("/", milliseconds(100)) == TransferResult::kTimedOut);
  CHECK(fixture.Exchange("/", kTestTimeout) == TransferResult::kComplete);
  CHECK(fixture.server.accepted == 21);
  CHECK(fixture.timeouts ==
        std::vector<ExchangeTimeout>{{.address = fixture.server.BoundAddress(),
                                      .reused = true,
                                      .idle_closed = 19,
                                      .kept = 0}});
}

// Guards against the same fault where only a part of the connections is silent.
TEST_CASE("silent connections cost few timeouts beside sound ones") {
  ClientFixture fixture;
  fixture.OpenConnections(20);
  fixture.server.SilenceOpen(10);
  for (int n = 0; n < 20; ++n) fixture.Exchange("/", milliseconds(250));
  CHECK(fixture.timeouts.size() <= 1);
}

// Guards against a server that is only slow and loses all its connections with
// each request that times out.
TEST_CASE("a timeout leaves connections that have just delivered a response") {
  ClientFixture fixture;
  fixture.OpenConnections(3);
  fixture.Send("/hang", milliseconds(300));
  while (fixture.timeouts.empty()) {
    fixture.Exchange("/", kTestTimeout);
    fixture.Run(milliseconds(10));
  }
  CHECK(fixture.timeouts[0].kept == 1);
  CHECK(fixture.timeouts[0].idle_closed == 1);
  CHECK(fixture.Exchange("/", kTestTimeout) == TransferResult::kComplete);
  CHECK(fixture.server.accepted == 3);
}

// Guards against connections of a burst that stay open as long as the address
// is in use at all.
TEST_CASE("a connection that is not needed is closed") {
  ClientFixture fixture(300);
  fixture.OpenConnections(10);
  const Instant end = SteadyNow() + seconds(3);
  while (SteadyNow() < end && fixture.server.OpenCount() > 1) {
    fixture.Exchange("/", kTestTimeout);
    fixture.Run(milliseconds(50));
  }
  CHECK(fixture.server.OpenCount() == 1);
  CHECK(fixture.server.accepted == 10);
}

TEST_CASE("a cancelled exchange closes its connection") {
  ClientFixture fixture;
  fixture.OpenConnections(1);
  const std::int64_t exchange =
      fixture.client.Send({.address = fixture.server.BoundAddress(),
                           .request = {.method = "GET", .path = "/hang"},
                           .deadline = SteadyNow() + kTestTimeout},
                          [](TransferResult, const HttpResponse&) {});
  fixture.Run(milliseconds(50));
  fixture.client.Cancel(exchange);
  CHECK(fixture.Exchange("/", kTestTimeout) == TransferResult::kComplete);
  CHECK(fixture.server.accepted == 2);
}

// Guards against a request that is sent seconds late, because the connection
// was there before the deadline was noticed.
TEST_CASE("nothing is sent after the latest time to send") {
  ClientFixture fixture;
  fixture.OpenConnections(1);
  const bool late = GENERATE(false, true);
  const Instant latest_send =
      SteadyNow() + (late ? -milliseconds(1) : kTestTimeout);
  fixture.client.Send({.address = fixture.server.BoundAddress(),
                       .request = {.method = "GET", .path = "/"},
                       .deadline = SteadyNow() + kTestTimeout,
                       .latest_send = latest_send},
                      [&](TransferResult result, const HttpResponse&) {
                        fixture.results.push_back(result);
                      });
  CHECK(fixture.Await(2) ==
        (late ? TransferResult::kNotConnected : TransferResult::kComplete));
}

// review/11: a freeze interrupted a wait, and the timers that were due closed a
// socket of h2o's pending list, over which the process then looped for ever.
TEST_CASE("timers that are due after a freeze find no pending sockets") {
  ClientFixture fixture;
  fixture.OpenConnections(1);
  fixture.server.Stop();
  fixture.Run(milliseconds(5));
  fixture.Send("/", kTestTimeout);
  REQUIRE(HasPendingSockets(fixture.loop));
  std::optional<bool> pending;
  fixture.loop.CallAt(SteadyNow() + kFreezeAfter + kFreezeLength / 2,
                      [&] { pending = HasPendingSockets(fixture.loop); });
  const Freeze freeze;
  while (!pending.has_value()) fixture.loop.RunOnce(SteadyNow() + seconds(5));
  CHECK(pending == false);
  CHECK(fixture.loop.interrupted_waits() == 1);
}

// Guards against a request from outside the loop whose response is not read
// before the next event.
TEST_CASE("the loop does not wait while a socket is pending") {
  ClientFixture fixture;
  fixture.OpenConnections(1);
  fixture.server.Stop();
  fixture.Run(milliseconds(5));
  fixture.Send("/", kTestTimeout);
  bool waited = false;
  fixture.loop.CallAt(SteadyNow() + milliseconds(500), [&] { waited = true; });
  fixture.loop.RunOnce(SteadyNow() + seconds(5));
  CHECK_FALSE(waited);
  CHECK_FALSE(HasPendingSockets(fixture.loop));
}

// Guards against the fault of review/11 without a freeze: a socket that is
// closed after a request was sent on it, before h2o polls. The process crashes
// or hangs.
TEST_CASE("an exchange can be cancelled as soon as it is sent") {
  ClientFixture fixture;
  for (int n = 0; n < 100; ++n) {
    fixture.OpenConnections(1);
    fixture.client.Cancel(
        fixture.client.Send({.address = fixture.server.BoundAddress(),
                             .request = {.method = "GET", .path = "/"},
                             .deadline = SteadyNow() + kTestTimeout},
                            [](TransferResult, const HttpResponse&) {}));
    while (fixture.server.OpenCount() > 0) fixture.Run(milliseconds(5));
  }
}

// The same for the client's destructor.
TEST_CASE("a client can be destroyed as soon as it has sent a request") {
  EventLoop loop;
  Server server(loop);
  for (int n = 0; n < 100; ++n) {
    HttpClient client(loop, HttpClientLimits{});
    int answered = 0;
    const auto send = [&] {
      client.Send({.address = server.BoundAddress(),
                   .request = {.method = "GET", .path = "/"},
                   .deadline = SteadyNow() + kTestTimeout},
                  [&](TransferResult, const HttpResponse&) { ++answered; });
    };
    send();
    while (answered == 0) loop.RunOnce(SteadyNow() + milliseconds(20));
    send();
  }
  while (server.OpenCount() > 0) loop.RunOnce(SteadyNow() + milliseconds(20));
}

}  // namespace
}  // namespace hyssopbarrow
