#include "Http/event_loop.h"

#include <h2o.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <iostream>

namespace hyssopbarrow {
namespace {

constexpr Duration kMaxPollWait = std::chrono::milliseconds(100);

void RunAll(const std::vector<std::function<void()>>& callbacks) {
  for (const auto& callback : callbacks) callback();
}

}  // namespace

Instant SteadyNow() {
  // std::chrono::steady_clock stands still while the machine is suspended, so
  // that deadlines would pass that much later.
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return Instant(std::chrono::seconds(ts.tv_sec) +
                 std::chrono::duration_cast<Duration>(
                     std::chrono::nanoseconds(ts.tv_nsec)));
}

EventLoop::EventLoop() : loop_(h2o_evloop_create()), now_(SteadyNow()) {}

EventLoop::~EventLoop() {
  // Callbacks may own sockets, which close after a poll.
  timers_.clear();
  deferred_.clear();
  while (!after_poll_.empty()) Poll(0);
  // h2o frees closed sockets during iterations of its loop.
  for (int n = 0; n < 2; ++n) Poll(0);
  KeepUntilExit(loop_);
}

void KeepUntilExit(void* object) {
  static auto* const kKept = new std::vector<void*>;
  kKept->push_back(object);
}

TimerId EventLoop::CallAt(Instant deadline, std::function<void()> callback) {
  const TimerId id{deadline, next_timer_number_++};
  timers_.emplace(id, std::move(callback));
  return id;
}

void EventLoop::CancelTimer(const TimerId& id) { timers_.erase(id); }

void EventLoop::Defer(std::function<void()> callback) {
  deferred_.push_back(std::move(callback));
}

void EventLoop::CallAfterPoll(std::function<void()> callback) {
  after_poll_.push_back(std::move(callback));
}

void EventLoop::Run() {
  running_ = true;
  while (running_) RunOnce(SteadyNow() + kMaxPollWait);
}

void EventLoop::RunOnce(Instant latest) {
  now_ = SteadyNow();
  Poll(WaitMilliseconds(latest));
  now_ = SteadyNow();
  RunDueTimers();
  RunDeferred();
}

void EventLoop::Poll(std::int32_t wait_ms) {
  const auto batch = std::exchange(after_poll_, {});
  // An interrupted call handles no pending sockets. Only a call that waits can
  // be interrupted.
  while (h2o_evloop_run(loop_, wait_ms) != 0) {
    if (errno != EINTR) {
      std::cerr << "event loop: waiting for events failed: "
                << std::strerror(errno) << "\n";
      std::abort();
    }
    ++interrupted_waits_;
    wait_ms = 0;
  }
  RunAll(batch);
}

void EventLoop::RunDueTimers() {
  while (!timers_.empty() && timers_.begin()->first.deadline <= now_) {
    auto node = timers_.extract(timers_.begin());
    node.mapped()();
  }
}

void EventLoop::RunDeferred() { RunAll(std::exchange(deferred_, {})); }

std::int32_t EventLoop::WaitMilliseconds(Instant latest) const {
  // h2o handles sockets that became pending outside a poll after the next one.
  const bool pending = loop_->_pending_as_client != nullptr ||
                       loop_->_pending_as_server != nullptr;
  if (pending || !deferred_.empty() || !after_poll_.empty()) return 0;
  if (!timers_.empty()) {
    latest = std::min(latest, timers_.begin()->first.deadline);
  }
  const Duration wait = Remaining(latest, now_);
  return static_cast<std::int32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(wait).count());
}

}  // namespace hyssopbarrow
