#ifndef HYSSOPBARROW_TESTS_REPLAY_NETWORK_H_
#define HYSSOPBARROW_TESTS_REPLAY_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "Model/time.h"

namespace hyssopbarrow {

/// Clock of the simulation: runs actions in the order of their instants, and
/// those of one instant in the order in which they were added.
class Schedule {
 public:
  using Action = std::function<void()>;

  Instant Now() const { return now_; }

  void At(Instant instant, Action action);
  void After(Duration delay, Action action) {
    At(now_ + delay, std::move(action));
  }

  /// Runs every action due up to and including `end`, then sets the time to
  /// `end`.
  void RunUntil(Instant end);

 private:
  Instant now_ = Instant(std::chrono::hours(1));
  std::int64_t next_sequence_ = 0;
  std::map<std::pair<Instant, std::int64_t>, Action> actions_;
};

/// Sender or receiver of messages.
struct Endpoint {
  std::string name;
  std::string data_centre;
};

/// Decides which endpoints reach each other and how long a message takes.
///
/// A cut names two endpoints or data centres; `*` stands for all other data
/// centres.
class Network {
 public:
  explicit Network(std::mt19937_64& random) : random_(random) {}

  void Cut(const std::string& a, const std::string& b);
  void Heal(const std::string& a, const std::string& b);
  void SetLossPercent(int percent) { loss_percent_ = percent; }

  bool Reaches(const Endpoint& a, const Endpoint& b) const;
  bool IsLost();
  Duration Delay(const Endpoint& a, const Endpoint& b);

  /// Arrival time of a message sent at `now`. Messages from one endpoint to
  /// another keep their order.
  Instant ArrivalTime(const Endpoint& from, const Endpoint& to, Instant now);

 private:
  using Pair = std::pair<std::string, std::string>;

  std::mt19937_64& random_;
  std::set<Pair> cuts_;
  int loss_percent_ = 0;
  std::map<Pair, Instant> last_arrival_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_REPLAY_NETWORK_H_
