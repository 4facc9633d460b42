#include "Fleet/decision_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hyssopbarrow::fleet {
namespace {

/// For each event name; twice the task starts of an owner under load.
constexpr std::int64_t kMaxLinesPerSecond = 400;
/// A pipe that polls as writable accepts this much without blocking (POSIX
/// PIPE_BUF).
constexpr std::size_t kMaxWriteBytes = 4096;
constexpr std::size_t kMaxBufferBytes = 256UL << 10;
/// Bounds the time of a flush.
constexpr int kMaxWritesPerFlush = 16;

std::string_view LevelOf(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return "INFO";
    case Severity::kWarn:
      return "WARN";
    case Severity::kError:
      return "ERROR";
  }
  return "INFO";
}

}  // namespace

void DecisionLog::Write(const LogLine& line, const EventTime& time) {
  Bucket& bucket = buckets_[line.event];
  if (time.now >= bucket.window_end) {
    if (bucket.dropped_lines > 0) {
      Append({.severity = Severity::kWarn,
              .event = "log_limited",
              .fields = {{"of", line.event},
                         {"left_out", std::to_string(bucket.dropped_lines)}}},
             time);
    }
    bucket = {.window_end = time.now + std::chrono::seconds(1)};
  }
  if (bucket.lines >= kMaxLinesPerSecond) {
    ++bucket.dropped_lines;
    ++dropped_lines_;
    return;
  }
  ++bucket.lines;
  Append(line, time);
}

void DecisionLog::Append(const LogLine& line, const EventTime& time) {
  nlohmann::ordered_json json = {{"unix_ms", time.unix_ms},
                                 {"level", LevelOf(line.severity)},
                                 {"node", node_},
                                 {"event", line.event}};
  for (const auto& [name, value] : line.fields) json[name] = value;
  const std::string text =
      json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (buffer_.size() + text.size() + 1 > kMaxBufferBytes) {
    ++dropped_lines_;
    return;
  }
  buffer_ += text;
  buffer_ += '\n';
  ++lines_;
}

void DecisionLog::Flush() {
  for (int n = 0; n < kMaxWritesPerFlush && !buffer_.empty(); ++n) {
    pollfd poll_fd{.fd = descriptor_, .events = POLLOUT, .revents = 0};
    const bool ready =
        poll(&poll_fd, 1, 0) == 1 && (poll_fd.revents & POLLOUT) != 0;
    if (!ready) return;
    const std::size_t size = std::min(buffer_.size(), kMaxWriteBytes);
    const ssize_t written = write(descriptor_, buffer_.data(), size);
    if (written <= 0) return;
    buffer_.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace hyssopbarrow::fleet
