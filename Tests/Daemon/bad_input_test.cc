#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <string>
#include <vector>

#include "Daemon/entry_host_fixture.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr char kPath[] = "/v1/queues/book/calls";
const HttpHeader kKey{"authorization", "Bearer sample-namche"};

/// A request that must be rejected, with the expected status and error.
struct InvalidRequest {
  std::string method;
  std::string path;
  std::vector<HttpHeader> headers;
  int status;
  std::string expected_text;  ///< Part of the response body.
};

std::vector<InvalidRequest> InvalidCallerRequests() {
  const std::string long_key(129, 'k');
  const std::string long_name(300, 'q');
  return {
      {"POST", "/", {kKey}, 404, "no such resource"},
      {"POST", "/v1", {kKey}, 404, "no such resource"},
      {"POST", "/v1/queues", {kKey}, 404, "no such resource"},
      {"POST", "/v1/queues/", {kKey}, 404, "no such resource"},
      {"POST", "/v1/queues//calls", {kKey}, 404, "no such resource"},
      {"POST", "/v1/queues/book", {kKey}, 404, "no such resource"},
      {"POST", "/v1/queues/book/calls/", {kKey}, 404, "no such resource"},
      {"POST", "/v1/queues/a/b/calls", {kKey}, 404, "no such resource"},
      {"POST", "/v2/queues/book/calls", {kKey}, 404, "no such resource"},
      {"POST", "/v1/queues/../calls", {kKey}, 404, "no such resource"},
      {"POST", "/v1/queues/BOOK/calls", {kKey}, 404, "unknown-queue"},
      {"POST", "/v1/queues/%00/calls", {kKey}, 404, "unknown-queue"},
      {"POST", "/v1/queues/" + long_name + "/calls", {kKey}, 404, "unknown"},
      {"GET", kPath, {kKey}, 404, "POST"},
      {"PUT", kPath, {kKey}, 404, "POST"},
      {"DELETE", kPath, {kKey}, 404, "POST"},
      {"PATCH", kPath, {kKey}, 404, "POST"},
      {"OPTIONS", kPath, {kKey}, 404, "POST"},
      {"post", kPath, {kKey}, 404, "POST"},
      {"POST", kPath, {}, 401, "key-missing"},
      {"POST", kPath, {{"authorization", ""}}, 400, "authorization"},
      {"POST", kPath, {{"authorization", "Bearer"}}, 400, "authorization"},
      {"POST", kPath, {{"authorization", "Bearer "}}, 400, "authorization"},
      {"POST", kPath, {{"authorization", "Basic eA=="}}, 400, "authorization"},
      {"POST", kPath, {{"authorization", "bearer x"}}, 400, "authorization"},
      {"POST", kPath, {{"authorization", "Bearer x"}}, 403, "key-rejected"},
      {"POST", kPath, {{"authorization", "Bearer sample-namche2"}}, 403, "key"},
      {"POST",
       kPath,
       {{"authorization", "Bearer sample-operator"}},
       403,
       "key-rejected"},
      {"POST", kPath, {kKey, {"x-deadline-ms", ""}}, 400, "x-deadline-ms"},
      {"POST", kPath, {kKey, {"x-deadline-ms", "0"}}, 400, "x-deadline-ms"},
      {"POST", kPath, {kKey, {"x-deadline-ms", "-5"}}, 400, "x-deadline-ms"},
      {"POST", kPath, {kKey, {"x-deadline-ms", "1.5"}}, 400, "x-deadline-ms"},
      {"POST", kPath, {kKey, {"x-deadline-ms", "1s"}}, 400, "x-deadline-ms"},
      {"POST", kPath, {kKey, {"x-deadline-ms", "604800001"}}, 400, "integer"},
      {"POST",
       kPath,
       {kKey, {"x-deadline-ms", "99999999999999999999"}},
       400,
       "x-deadline-ms"},
      {"POST", kPath, {kKey, {"x-unrepeatable", "yes"}}, 400, "unrepeatable"},
      {"POST", kPath, {kKey, {"x-unrepeatable", "True"}}, 400, "unrepeatable"},
      {"POST", kPath, {kKey, {"x-unrepeatable", ""}}, 400, "unrepeatable"},
      {"POST", kPath, {kKey, {"idempotency-key", ""}}, 400, "idempotency-key"},
      {"POST", kPath, {kKey, {"idempotency-key", long_key}}, 400, "128"},
  };
}

std::vector<InvalidRequest> InvalidOperatorRequests() {
  const HttpHeader key{"authorization", "Bearer sample-operator"};
  return {
      {"GET", "/admin/v1/team", {}, 403, "read"},
      {"GET", "/admin/v1/team", {kKey}, 403, "read"},
      {"GET", "/admin/v1/fleet", {key}, 404, "kind"},
      {"GET", "/admin/v1/team/a/b", {key}, 404, "kind"},
      {"PUT", "/admin/v1/team", {key}, 405, "must name a row"},
      {"PUT", "/admin/v1/team/x", {key}, 400, "JSON object"},
      {"PATCH", "/admin/v1/team/x", {key}, 405, "PUT"},
      {"DELETE", "/admin/v1/team/x", {key}, 404, "does not exist"},
      {"DELETE", "/admin/v1/pool/booking", {key}, 400, "refers to 'booking'"},
      {"DELETE",
       "/admin/v1/team/namche",
       {key, {"if-match", "x"}},
       400,
       "if-match"},
      {"GET", "/admin/v1/batch", {key}, 405, "POST"},
      {"POST", "/admin/v1/batch", {key}, 400, "changes"},
  };
}

void CheckRequests(EntryHostFixture& fixture, const Address& address,
                   const std::vector<InvalidRequest>& cases) {
  for (const InvalidRequest& request : cases) {
    INFO(request.method << " " << request.path << " expects "
                        << request.expected_text);
    const HttpResponse response =
        fixture.Send(address, {.method = request.method,
                               .path = request.path,
                               .headers = request.headers});
    CHECK(response.status == request.status);
    CHECK(response.body.find(request.expected_text) != std::string::npos);
  }
}

TEST_CASE(
    "Invalid caller requests are rejected with an error and run nothing") {
  EntryHostFixture fixture;
  CheckRequests(fixture, fixture.daemon->CallerAddress(),
                InvalidCallerRequests());
  for (const auto* worker : {&fixture.worker_a, &fixture.worker_b}) {
    const HttpResponse runs = fixture.Send(worker->BoundAddress(),
                                           {.method = "GET", .path = "/runs"});
    CHECK(runs.body == "{}");
  }
  CHECK(fixture.SendCall("book", {kKey}, "still serving").body ==
        "still serving");
}

TEST_CASE("Invalid operator requests are rejected and change nothing") {
  EntryHostFixture fixture;
  const auto before = fixture.RowsOfOperators();
  CheckRequests(fixture, fixture.daemon->OperatorAddress(),
                InvalidOperatorRequests());
  CHECK(fixture.RowsOfOperators() == before);
}

/// Sends `text` on a new connection and reads until the daemon closes the
/// connection.
std::string RawExchange(EntryHostFixture& fixture, const std::string& text) {
  const sockaddr_in sa = ToSockaddr(fixture.daemon->CallerAddress());
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&sa), sizeof(sa)) == 0);
  REQUIRE(send(fd, text.data(), text.size(), 0) ==
          static_cast<ssize_t>(text.size()));
  std::string answer;
  std::array<char, 4096> buf{};
  bool closed = false;
  fixture.RunUntil([&] {
    const ssize_t n = recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n > 0) answer.append(buf.data(), static_cast<std::size_t>(n));
    closed = n == 0 || (n < 0 && errno != EAGAIN);
    return closed;
  });
  close(fd);
  return answer;
}

TEST_CASE("A body above the size limit is rejected by its content-length") {
  EntryHostFixture fixture;
  const std::size_t n = HttpServerLimits{}.max_body_bytes + 1;
  const std::string answer =
      RawExchange(fixture, StrCat("POST ", kPath, " HTTP/1.1\r\nhost: x\r\n",
                                  "content-length: ", n, "\r\n\r\n"));
  CHECK(answer.starts_with("HTTP/1.1 413"));
}

TEST_CASE("Invalid HTTP affects only its own connection") {
  EntryHostFixture fixture;
  for (const char* text :
       {"hello\r\n\r\n", "POST\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nbad header\r\n\r\n"}) {
    INFO(text);
    const std::string answer = RawExchange(fixture, text);
    CHECK(answer.find(" 200 ") == std::string::npos);
  }
  CHECK(fixture.SendCall("book", {kKey}, "still serving").body ==
        "still serving");
}

}  // namespace
}  // namespace hyssopbarrow
