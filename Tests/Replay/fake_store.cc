#include "Replay/fake_store.h"

#include <memory>
#include <utility>
#include <variant>

namespace hyssopbarrow {
namespace {

constexpr int kMinLatencyUs = 1000;
constexpr int kMaxLatencyUs = 4000;
constexpr int kMinSlowLatencyUs = 300'000;
constexpr int kMaxSlowLatencyUs = 3'000'000;

/// In lossy mode one reply in this many is lost, at random.
constexpr int kRepliesPerLostReply = 3;

constexpr Duration kRefusalDelay = std::chrono::milliseconds(1);

StoreReply WithStatus(StoreStatus status) {
  return {.status = status, .rows = {}, .revision = 0};
}

StoreReply TimeoutReply(const StoreRequest& request) {
  const bool read = std::holds_alternative<StoreRead>(request.operation);
  return WithStatus(read ? StoreStatus::kUnavailable : StoreStatus::kUnknown);
}

}  // namespace

Duration FakeStore::Latency() {
  const bool slow = mode_ == StoreMode::kSlow;
  return Duration(std::uniform_int_distribution<int>(
      slow ? kMinSlowLatencyUs : kMinLatencyUs,
      slow ? kMaxSlowLatencyUs : kMaxLatencyUs)(random_));
}

StoreReply FakeStore::Execute(const StoreRequest& request) {
  if (const auto* read = std::get_if<StoreRead>(&request.operation)) {
    ++reads_;
    return {.status = StoreStatus::kOk,
            .rows = table_.Read(read->prefix),
            .revision = 0};
  }
  ++writes_;
  const auto& transaction = std::get<Transaction>(request.operation);
  StoreReply reply = table_.Commit(transaction);
  if (reply.status == StoreStatus::kOk && on_commit) on_commit(transaction);
  return reply;
}

void FakeStore::Serve(const StoreRequest& request,
                      const std::function<bool()>& reachable,
                      const Reply& reply) {
  if (mode_ == StoreMode::kDown || !reachable()) {
    schedule_.After(kRefusalDelay,
                    [reply] { reply(WithStatus(StoreStatus::kUnavailable)); });
    return;
  }
  auto replied = std::make_shared<bool>(false);
  auto reply_once = [replied, reply](const StoreReply& result) {
    if (!std::exchange(*replied, true)) reply(result);
  };
  schedule_.At(request.deadline,
               [request, reply_once] { reply_once(TimeoutReply(request)); });
  const Duration latency = Latency();
  schedule_.After(latency / 2, [=, this] {
    if (mode_ == StoreMode::kDown || mode_ == StoreMode::kSilent) return;
    const StoreReply result = Execute(request);
    const bool lost = mode_ == StoreMode::kLossy &&
                      std::uniform_int_distribution<int>(
                          1, kRepliesPerLostReply)(random_) == 1;
    if (lost) return;
    schedule_.After(latency / 2, [=] {
      if (reachable()) reply_once(result);
    });
  });
}

}  // namespace hyssopbarrow
