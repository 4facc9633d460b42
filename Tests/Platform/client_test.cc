#include "client.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <optional>
#include <string>

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

/// Watches the jobs without a wait and returns the reply.
fleet::StoreRows WatchJobs(EventLoop& loop, const SlowStore& store) {
  PlatformSettings settings;
  settings.store = store.BoundAddress();
  PlatformClient client(loop, settings);
  std::optional<fleet::StoreRows> reply;
  client.Watch({.id = 1, .table = fleet::Table::kJobs, .revision = 5},
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

}  // namespace
}  // namespace hyssopbarrow::platform
