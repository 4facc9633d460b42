#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Fleet/relay_client.h"
#include "Fleet/relay_codec.h"
#include "Fleet/relay_server.h"
#include "Http/event_loop.h"
#include "Peer/websocket.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Answers target requests when told to.
class FakeTargets : public Backend {
 public:
  void Read(const ReadRows&, std::function<void(StoreRows)>) override {}
  void Watch(const WatchRows&, std::function<void(StoreRows)>) override {}
  void Commit(const CommitRows&, std::function<void(StoreRows)>) override {}
  void Send(const TargetRequest& request,
            std::function<void(TargetReply)> callback) override {
    requests.push_back(request);
    callbacks.push_back(std::move(callback));
  }
  void RequestApproval(const ApprovalRequest&,
                       std::function<void(ApprovalReply)>) override {}
  void FetchHosts(const ListHosts&, std::function<void(HostList)>) override {}
  void Send(const HostRequest&,
            std::function<void(HostRequestResult)>) override {}

  std::vector<TargetRequest> requests;
  std::vector<std::function<void(TargetReply)>> callbacks;
};

/// A relay client and a relay server on one loop.
struct LinkFixture {
  LinkFixture()
      : client(
            loop, [this] { return SteadyNow() + client_pause; },
            [this](const std::string& address) { lost.push_back(address); }) {
    StartServer();
  }

  void StartServer() {
    server = std::make_unique<RelayServer>(
        loop, targets, [this] { return SteadyNow() + server_pause; },
        [this](const std::string& reason) { errors.push_back(reason); });
    REQUIRE(server->Listen({"127.0.0.1", 0}).ok());
  }

  void Send(std::int64_t id, TargetRequestKind kind) {
    TargetRequest request{.id = id, .kind = kind, .target = "i-1"};
    request.relay = ToString(server->BoundAddress());
    request.timeout = milliseconds(700);
    client.Send(request, [this, id](const TargetReply& reply) {
      results[id] = reply.result;
    });
  }

  /// Runs the loop until `done` or for 4 s. The server ticks only if `tick`.
  void RunUntil(const std::function<bool()>& done, bool tick = true) {
    const Instant end = SteadyNow() + seconds(4);
    while (!done() && SteadyNow() < end) {
      if (tick && server != nullptr) server->Tick();
      loop.RunOnce(SteadyNow() + milliseconds(5));
    }
  }

  EventLoop loop;
  FakeTargets targets;
  Duration client_pause{};  ///< Added to the client's clock.
  Duration server_pause{};  ///< Added to the server's clock.
  std::vector<std::string> lost;
  std::vector<std::string> errors;
  std::map<std::int64_t, TargetResult> results;
  std::unique_ptr<RelayServer> server;
  RelayClient client;
};

TEST_CASE("a relay carries requests and replies") {
  LinkFixture fixture;
  fixture.Send(1, TargetRequestKind::kStart);
  fixture.Send(2, TargetRequestKind::kPoll);
  fixture.RunUntil([&] { return fixture.targets.requests.size() == 2; });
  REQUIRE(fixture.targets.requests.size() == 2);
  CHECK(fixture.targets.requests[0].kind == TargetRequestKind::kStart);
  fixture.targets.callbacks[1]({.result = TargetResult::kDone});
  fixture.targets.callbacks[0]({.result = TargetResult::kNoRoom});
  fixture.RunUntil([&] { return fixture.results.size() == 2; });
  CHECK(fixture.results[1] == TargetResult::kNoRoom);
  CHECK(fixture.results[2] == TargetResult::kDone);
  CHECK(fixture.lost.empty());
}

TEST_CASE("a request that a relay does not answer in time gets no reply") {
  LinkFixture fixture;
  fixture.Send(1, TargetRequestKind::kStart);
  fixture.RunUntil([&] { return fixture.results.size() == 1; });
  CHECK(fixture.results[1] == TargetResult::kNoReply);
  CHECK(fixture.lost.empty());
}

TEST_CASE("an idle connection stays open by heartbeats") {
  LinkFixture fixture;
  fixture.Send(1, TargetRequestKind::kPoll);
  fixture.RunUntil([&] { return fixture.targets.requests.size() == 1; });
  const Instant end = SteadyNow() + milliseconds(2500);
  fixture.RunUntil([&] { return SteadyNow() > end; });
  CHECK(fixture.lost.empty());
  CHECK(fixture.client.LinkCount() == 1);
}

TEST_CASE("the end of a relay is reported with its open requests") {
  LinkFixture fixture;
  fixture.Send(1, TargetRequestKind::kStart);
  fixture.RunUntil([&] { return fixture.targets.requests.size() == 1; });
  fixture.server.reset();
  fixture.RunUntil([&] { return fixture.results.size() == 1; });
  CHECK(fixture.results[1] == TargetResult::kRelayLost);
  CHECK(fixture.lost.size() == 1);
  CHECK(fixture.client.LinkCount() == 0);
}

TEST_CASE("requests to an address without a relay are reported as not sent") {
  LinkFixture fixture;
  fixture.Send(1, TargetRequestKind::kStart);
  fixture.Send(2, TargetRequestKind::kPoll);
  fixture.server.reset();
  fixture.RunUntil([&] { return fixture.results.size() == 2; });
  CHECK(fixture.results[1] == TargetResult::kNotSent);
  CHECK(fixture.results[2] == TargetResult::kRelayLost);
  CHECK(fixture.targets.requests.empty());
}

TEST_CASE("a process paused before a request left does not send it after") {
  LinkFixture fixture;
  fixture.Send(1, TargetRequestKind::kPoll);
  fixture.RunUntil([&] { return fixture.targets.requests.size() == 1; });
  fixture.Send(2, TargetRequestKind::kStart);
  fixture.client_pause = seconds(3);
  fixture.RunUntil([&] { return fixture.results.count(2) > 0; });
  CHECK(fixture.results[2] == TargetResult::kNotSent);
  CHECK(fixture.targets.requests.size() == 1);
}

TEST_CASE("a relay executes nothing that arrived while it was paused") {
  LinkFixture fixture;
  fixture.Send(1, TargetRequestKind::kPoll);
  fixture.RunUntil([&] { return fixture.targets.requests.size() == 1; });
  fixture.server_pause = seconds(3);
  fixture.Send(2, TargetRequestKind::kStart);
  fixture.RunUntil([&] { return fixture.results.count(2) > 0; }, false);
  CHECK(fixture.results[2] == TargetResult::kRelayLost);
  CHECK(fixture.targets.requests.size() == 1);
  CHECK(fixture.errors.size() == 1);
}

TEST_CASE("a malformed message closes only its own connection") {
  LinkFixture fixture;
  fixture.Send(1, TargetRequestKind::kPoll);
  fixture.RunUntil([&] { return fixture.targets.requests.size() == 1; });
  std::unique_ptr<TcpStream> tcp;
  bool closed = false;
  WebSocket websocket(
      WebSocket::Role::kClient, 1UL << 20,
      {.write = [&](const char* data, std::size_t n) { tcp->Write(data, n); },
       .on_open = [&] { websocket.Send("no CBOR"); },
       .on_message = [](const std::string&) {},
       .on_closed = [&] { closed = true; }});
  tcp = std::make_unique<TcpStream>(
      fixture.loop, fixture.server->BoundAddress(),
      TcpCallbacks{
          .on_connected = [&] { websocket.Start(); },
          .on_bytes = [&](const char* data,
                          std::size_t n) { websocket.Receive(data, n); },
          .on_drained = [] {},
          .on_closed = [&] { closed = true; }});
  fixture.RunUntil([&] { return closed; });
  CHECK(closed);
  CHECK(fixture.errors.size() == 1);
  fixture.targets.callbacks[0]({.result = TargetResult::kDone});
  fixture.RunUntil([&] { return fixture.results.count(1) > 0; });
  CHECK(fixture.results[1] == TargetResult::kDone);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
