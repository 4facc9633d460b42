#include "client.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Http/http_server.h"
#include "Model/text.h"

namespace hyssopbarrow::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A store behind a narrow link: answers one request with a reply that arrives
/// in parts.
class SlowStore {
 public:
  /// Sends the first `sent_parts` of `parts` equal parts at intervals of `gap`.
  SlowStore(EventLoop& loop, std::size_t parts, std::size_t sent_parts,
            Duration gap)
      : loop_(loop), parts_(parts), unsent_parts_(sent_parts), gap_(gap) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in sa{};
    sa.sin_family = AF_INET;
    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(sa);
    auto* address = reinterpret_cast<sockaddr*>(&sa);
    REQUIRE(bind(listener_, address, size) == 0);
    REQUIRE(listen(listener_, 1) == 0);
    REQUIRE(getsockname(listener_, address, &size) == 0);
    port_ = ntohs(sa.sin_port);
    const std::string body =
        StrCat(R"({"Ver":9,"rows":[])", std::string(600, ' '), "}");
    reply_ = StrCat("HTTP/1.1 200 OK\r\ncontent-length: ", body.size(),
                    "\r\n\r\n", body);
    Accept();
  }
  ~SlowStore() {
    loop_.CancelTimer(timer_);
    if (connection_ >= 0) close(connection_);
    close(listener_);
  }
  SlowStore(const SlowStore&) = delete;
  SlowStore& operator=(const SlowStore&) = delete;

  Address BoundAddress() const { return {"127.0.0.1", port_}; }

 private:
  void Accept() {
    connection_ = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
    if (connection_ >= 0) return SendParts();
    timer_ = loop_.CallAt(loop_.Now() + milliseconds(5), [this] { Accept(); });
  }

  void SendParts() {
    if (unsent_parts_ == 0) return;
    --unsent_parts_;
    const std::size_t size = (reply_.size() + parts_ - 1) / parts_;
    const std::string part = reply_.substr(offset_, size);
    offset_ += part.size();
    send(connection_, part.data(), part.size(), MSG_NOSIGNAL);
    timer_ = loop_.CallAt(loop_.Now() + gap_, [this] { SendParts(); });
  }

  EventLoop& loop_;
  std::size_t parts_;
  std::size_t unsent_parts_;
  Duration gap_;
  std::uint16_t port_ = 0;
  int listener_ = -1;
  int connection_ = -1;
  std::string reply_;
  std::size_t offset_ = 0;
  TimerId timer_;
};

void IgnoreTimeout(const ExchangeTimeout&) {}

/// Watches the jobs without a wait and returns the reply.
fleet::StoreRows WatchJobs(EventLoop& loop, const SlowStore& store) {
  PlatformSettings settings;
  settings.store = store.BoundAddress();
  PlatformClient client(loop, settings, IgnoreTimeout);
  std::optional<fleet::StoreRows> reply;
  client.Watch({.id = 1,
                .table = fleet::Table::kJobs,
                .revision = 5,
                .timeout = milliseconds(700)},
               [&](const fleet::StoreRows& rows) { reply = rows; });
  while (!reply.has_value()) loop.RunOnce(SteadyNow() + milliseconds(50));
  return *reply;
}

// khumbu-sched-large small trouble-1, LOST and RECOVER: a new owner never got
// the jobs that had arrived while it read the others, because the reply was cut
// off after 0.7 s each time.
TEST_CASE("a reply to a watch is not cut off while it keeps arriving") {
  EventLoop loop;
  const SlowStore store(loop, 6, 6, milliseconds(250));
  const fleet::StoreRows rows = WatchJobs(loop, store);
  CHECK(rows.status == StoreStatus::kOk);
  CHECK(rows.revision == 9);
}

TEST_CASE("a reply to a watch that stalls is given up") {
  EventLoop loop;
  const SlowStore store(loop, 6, 2, milliseconds(250));
  const Instant start = SteadyNow();
  const fleet::StoreRows rows = WatchJobs(loop, store);
  CHECK(rows.status == StoreStatus::kUnavailable);
  CHECK(SteadyNow() - start < seconds(5));
}

/// A store with two jobs in each of three partitions, which refuses the request
/// with the number `refused_request`.
class PartitionedStore {
 public:
  PartitionedStore(EventLoop& loop, int refused_request)
      : server_(loop, {},
                [this, refused_request](const HttpRequest& request,
                                        const Responder& responder) {
                  ++request_count;
                  HttpResponse response = Page(request.query);
                  if (request_count == refused_request) response.status = 503;
                  responder.Send(response);
                }) {
    REQUIRE(server_.Listen({"127.0.0.1", 0}).ok());
  }

  Address BoundAddress() const { return server_.BoundAddress(); }

  int request_count = 0;

 private:
  /// A page of one row, or of none after the second row.
  static HttpResponse Page(const std::string& query) {
    const char part = query[query.find("part=jobs.") + 10];
    if (query.find("From=b") < query.size()) return MakePage("");
    const bool second = query.find("From=a") < query.size();
    return MakePage(StrCat(second ? "b" : "a", std::string(1, part)));
  }

  static HttpResponse MakePage(const std::string& key) {
    const std::string row =
        key.empty() ? "" : StrCat(R"({"Key":")", key, R"(","Value":"e30="})");
    HttpResponse response;
    response.body = StrCat(R"({"Ver":9,"rows":[)", row, "]}");
    return response;
  }

  HttpServer server_;
};

/// Reads all jobs page by page, as a table follower does, and returns the keys.
std::vector<std::string> ReadAllJobs(EventLoop& loop, PlatformClient& client) {
  std::vector<std::string> keys;
  fleet::ReadRows request{.id = 1, .table = fleet::Table::kJobs};
  for (bool more = true; more;) {
    std::optional<fleet::StoreRows> page;
    client.Read(request, [&](const fleet::StoreRows& rows) { page = rows; });
    while (!page.has_value()) loop.RunOnce(SteadyNow() + milliseconds(50));
    if (page->status != StoreStatus::kOk) continue;
    for (const Row& row : page->rows) keys.push_back(row.key);
    request.first = page->last_key + '\x01';
    more = page->truncated;
  }
  return keys;
}

// A new owner started its read of all jobs anew, from the first partition, when
// the store refused one page of it.
TEST_CASE("a read of the jobs continues with the page that failed") {
  EventLoop loop;
  PartitionedStore store(loop, 5);
  PlatformSettings settings;
  settings.store = store.BoundAddress();
  settings.job_parts = 3;
  settings.rows_per_read = 1;
  PlatformClient client(loop, settings, IgnoreTimeout);
  CHECK(ReadAllJobs(loop, client) ==
        std::vector<std::string>{"a0", "b0", "a1", "b1", "a2", "b2"});
  constexpr int kPages = 9;
  CHECK(store.request_count == kPages + 1);
}

}  // namespace
}  // namespace hyssopbarrow::platform
