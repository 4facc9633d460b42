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

  /// Runs iterations until Stop is called.
  void Run();

  /// Makes Run return after the current iteration.
  void Stop() { running_ = false; }

  /// Runs one iteration that waits for events until `latest` at most.
  void RunOnce(Instant latest);

  st_h2o_evloop_t* raw() const { return loop_; }

 private:
  /// Both return whether any callback ran.
  bool RunDueTimers();
  bool RunDeferred();
  std::int32_t WaitMilliseconds(Instant latest) const;

  st_h2o_evloop_t* loop_;
  Instant now_;
  bool running_ = false;
  bool has_new_work_ = false;  ///< Callbacks ran since h2o last polled.
  std::int64_t next_timer_number_ = 1;
  std::map<TimerId, std::function<void()>> timers_;
  std::vector<std::function<void()>> deferred_;
};

/// Keeps an h2o object reachable until the process exits, for objects that h2o
/// 2.2 provides no way to free.
void KeepUntilExit(void* object);

/// Reads the steady clock, which also counts the time while the machine is
/// suspended.
Instant SteadyNow();

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_HTTP_EVENT_LOOP_H_
