#include "Fleet/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace hyssopbarrow::fleet {
namespace {

/// A pipe that is read only on request.
class Pipe {
 public:
  Pipe() { REQUIRE(pipe(fds_.data()) == 0); }
  ~Pipe() {
    close(fds_[0]);
    close(fds_[1]);
  }
  int writer() const { return fds_[1]; }
  std::string Read() {
    fcntl(fds_[0], F_SETFL, O_NONBLOCK);
    std::string all;
    std::array<char, 65536> buf{};
    for (ssize_t n = 0; (n = read(fds_[0], buf.data(), buf.size())) > 0;) {
      all.append(buf.data(), static_cast<std::size_t>(n));
    }
    return all;
  }

 private:
  std::array<int, 2> fds_{};
};

TEST_CASE("a reader that stops does not block the log") {
  Pipe pipe;
  DecisionLog log(pipe.writer(), "node-1");
  const std::string text(500, 'x');
  for (int second = 0; second < 100; ++second) {
    const EventTime time{.now = Instant(std::chrono::seconds(second))};
    for (int n = 0; n < 100; ++n) {
      log.Write({.event = "event", .fields = {{"text", text}}}, time);
      log.Flush();
    }
  }
  CHECK(log.dropped_lines() > 0);
  CHECK_FALSE(pipe.Read().empty());
}

TEST_CASE("lines of each event are limited, and omitted lines are counted") {
  Pipe pipe;
  DecisionLog log(pipe.writer(), "node-1");
  const EventTime first{.now = Instant(std::chrono::seconds(1)), .unix_ms = 5};
  for (int n = 0; n < 1000; ++n) log.Write({.event = "start"}, first);
  log.Write({.event = "other"}, first);
  const EventTime later{.now = Instant(std::chrono::seconds(3))};
  log.Write({.event = "start"}, later);
  log.Flush();
  CHECK(log.dropped_lines() == 600);
  CHECK(log.lines() == 403);
  const std::string text = pipe.Read();
  CHECK(text.find(R"("event":"log_limited","of":"start","left_out":"600")") !=
        std::string::npos);
  const auto line = nlohmann::json::parse(text.substr(0, text.find('\n')));
  CHECK(line["node"] == "node-1");
  CHECK(line["unix_ms"] == 5);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
