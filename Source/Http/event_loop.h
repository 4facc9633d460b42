#ifndef HYSSOPBARROW_HTTP_EVENT_LOOP_H_
#define HYSSOPBARROW_HTTP_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "Model/time.h"

struct st_h2o_evloop_t;

namespace hyssopbarrow {

/// Identifies a timer of an EventLoop. Sorts by deadline.
struct TimerId {
  Instant deadline;
  std::int64_t number = 0;

  friend auto operator<=>(const TimerId&, const TimerId&) = default;
};

/// Single-threaded event loop: h2o socket events, timers and deferred calls.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Current time, cached per iteration of the loop.
  Instant Now() const { return now_; }

  /// Calls `callback` once at `deadline`.
  TimerId CallAt(Instant deadline, std::function<void()> callback);

  /// Cancels a timer; no effect after it has fired.
  void CancelTimer(const TimerId& id);

  /// Calls `callback` at the end of the current iteration.
  void Defer(std::function<void()> callback);

  /// Calls `callback` once h2o has polled and has no pending sockets. For
  /// closing sockets: a write that completes outside a poll makes its socket
  /// pending, and closing the socket does not remove it from h2o's list.
  void CallAfterPoll(std::function<void()> callback);

  /// Runs iterations until Stop is called.
  void Run();

  /// Makes Run return after the current iteration.
  void Stop() { running_ = false; }

  /// Runs one iteration that waits for events until `latest` at most.
  void RunOnce(Instant latest);

  /// Number of waits that a signal, or stopping the process, has interrupted.
  std::int64_t interrupted_waits() const { return interrupted_waits_; }

  st_h2o_evloop_t* raw() const { return loop_; }

 private:
  /// Lets h2o wait for events and handle them, and runs the callbacks of
  /// CallAfterPoll.
  void Poll(std::int32_t wait_ms);
  void RunDueTimers();
  void RunDeferred();
  std::int32_t WaitMilliseconds(Instant latest) const;

  st_h2o_evloop_t* loop_;
  Instant now_;
  bool running_ = false;
  std::int64_t interrupted_waits_ = 0;
  std::int64_t next_timer_number_ = 1;
  std::map<TimerId, std::function<void()>> timers_;
  std::vector<std::function<void()>> deferred_;
  std::vector<std::function<void()>> after_poll_;
};

/// Keeps an h2o object reachable until the process exits, for objects that h2o
/// 2.2 provides no way to free.
void KeepUntilExit(void* object);

/// Reads the steady clock, which also counts the time while the machine is
/// suspended.
Instant SteadyNow();

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_HTTP_EVENT_LOOP_H_
