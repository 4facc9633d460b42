#include "Http/event_loop.h"

#include <h2o.h>

#include <algorithm>
#include <ctime>

namespace hyssopbarrow {
namespace {

constexpr Duration kMaxPollWait = std::chrono::milliseconds(100);

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
  // Callbacks may own sockets. h2o must not have them in its list of pending
  // sockets when they are closed, so run an iteration first.
  h2o_evloop_run(loop_, 0);
  timers_.clear();
  deferred_.clear();
  // h2o frees closed sockets during iterations of its loop.
  for (int n = 0; n < 2; ++n) h2o_evloop_run(loop_, 0);
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

void EventLoop::Run() {
  running_ = true;
  while (running_) RunOnce(SteadyNow() + kMaxPollWait);
}

void EventLoop::RunOnce(Instant latest) {
  now_ = SteadyNow();
  h2o_evloop_run(loop_, WaitMilliseconds(latest));
  now_ = SteadyNow();
  const bool timers_ran = RunDueTimers();
  const bool deferred_ran = RunDeferred();
  has_new_work_ = timers_ran || deferred_ran;
}

bool EventLoop::RunDueTimers() {
  bool ran = false;
  while (!timers_.empty() && timers_.begin()->first.deadline <= now_) {
    auto node = timers_.extract(timers_.begin());
    node.mapped()();
    ran = true;
  }
  return ran;
}

bool EventLoop::RunDeferred() {
  std::vector<std::function<void()>> batch;
  batch.swap(deferred_);
  for (auto& callback : batch) callback();
  return !batch.empty();
}

std::int32_t EventLoop::WaitMilliseconds(Instant latest) const {
  // Don't wait after callbacks ran: h2o completes writes that were started
  // outside its own iteration only after the next poll.
  if (has_new_work_ || !deferred_.empty()) return 0;
  if (!timers_.empty()) {
    latest = std::min(latest, timers_.begin()->first.deadline);
  }
  const Duration wait = Remaining(latest, now_);
  return static_cast<std::int32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(wait).count());
}

}  // namespace hyssopbarrow
