#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "Fleet/relay_codec.h"

DEFINE_int32(replies, 8, "poll replies in a message");
DEFINE_int32(runs, 10, "runs that a target reports");
DEFINE_int32(rounds, 5000, "messages of each kind");

namespace hyssopbarrow::fleet {
namespace {

const TaskName kTask{"5c0e7a21d94b36f8", 0, 1, 7};

std::vector<TargetRequest> MakePolls() {
  std::vector<TargetRequest> polls;
  polls.reserve(static_cast<std::size_t>(FLAGS_replies));
  for (int n = 0; n < FLAGS_replies; ++n) {
    polls.push_back({.id = 100'000 + n,
                     .target = "i-7fb53f2cdb",
                     .address = "10.3.0.26:8345",
                     .fencing_token = 3,
                     .lease_until_ms = 123'456'789,
                     .last_end_stored = 57,
                     .wait = std::chrono::milliseconds(1400),
                     .timeout = std::chrono::milliseconds(2100)});
  }
  return polls;
}

RelayReplies MakeReplies() {
  TargetReply reply{.result = TargetResult::kDone,
                    .clock_ms = 482'113,
                    .started_unix_ms = 1'790'000'000'000};
  reply.runs.resize(static_cast<std::size_t>(FLAGS_runs),
                    {.task = kTask, .run = 2001, .speed_percent = 41});
  reply.ends.push_back({58, kTask, 2001, RunEndKind::kDone, ""});
  RelayReplies replies;
  for (int n = 0; n < FLAGS_replies; ++n) {
    replies.emplace_back(100'000 + n, reply);
  }
  return replies;
}

/// Prints the mean time that `action` takes for each reply or request.
template <typename Action>
void Print(const char* name, const Action& action) {
  const auto begin = std::chrono::steady_clock::now();
  for (int n = 0; n < FLAGS_rounds; ++n) action();
  const std::chrono::duration<double, std::micro> us =
      std::chrono::steady_clock::now() - begin;
  std::printf("%-20s %.2f us\n", name,
              us.count() / FLAGS_rounds / FLAGS_replies);
}

void Measure() {
  const std::vector<TargetRequest> polls = MakePolls();
  const RelayReplies replies = MakeReplies();
  const std::string polls_encoded = EncodeRelayRequests(polls);
  const std::string replies_encoded = EncodeRelayReplies(replies);
  Print("encode a poll", [&] { EncodeRelayRequests(polls); });
  Print("decode a poll", [&] { (void)DecodeRelayRequests(polls_encoded); });
  Print("encode a reply", [&] { EncodeRelayReplies(replies); });
  Print("decode a reply", [&] { (void)DecodeRelayReplies(replies_encoded); });
}

}  // namespace
}  // namespace hyssopbarrow::fleet

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures the cost of messages to and from relays");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  hyssopbarrow::fleet::Measure();
  return 0;
}
