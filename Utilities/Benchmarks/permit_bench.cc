#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

DEFINE_uint64(seed, 1, "seed of arrivals and service times");

namespace hyssopbarrow {
namespace {

constexpr std::size_t kGateways = 7;
constexpr int kSlots = 80;
constexpr double kOneWayDelayMs = 0.15;
constexpr double kMeanServiceMs = 50;
constexpr double kEndMs = 120'000;

/// Model of a cell whose dispatcher grants up to `permits` slots to each
/// gateway before there is demand and recalls them when other gateways' calls
/// wait.
class PermitModel {
 public:
  PermitModel(int permits, double load, std::uint64_t seed)
      : permits_(permits), load_(load), random_(seed) {}

  void Run() {
    GrantFreeSlots();
    Schedule(0, [this] { AddArrival(); });
    while (!events_.empty() && events_.top().time_ms < kEndMs) {
      const TimedEvent event = events_.top();
      events_.pop();
      UpdateHeldTotals(event.time_ms);
      event.run();
    }
  }

  void Print() {
    std::sort(start_ms_.begin(), start_ms_.end());
    double sum = 0;
    for (double delay : start_ms_) sum += delay;
    const auto n = static_cast<double>(start_ms_.size());
    const auto p99 = static_cast<std::size_t>(0.99 * n);
    std::printf("| %3.0f%% | %7d | %7.3f | %7.3f | %6.2f | %6.2f |\n",
                100 * load_, permits_, sum / n, start_ms_[p99],
                100 * held_slot_ms_ / kEndMs / kSlots,
                100 * held_while_waiting_slot_ms_ / kEndMs / kSlots);
  }

 private:
  struct TimedEvent {
    double time_ms;
    std::int64_t sequence;
    std::function<void()> run;
    bool operator<(const TimedEvent& other) const {
      return std::pair(time_ms, sequence) >
             std::pair(other.time_ms, other.sequence);
    }
  };

  struct Request {
    std::size_t gateway;
    double arrived;
  };

  void Schedule(double time_ms, std::function<void()> run) {
    events_.push({time_ms, next_sequence_++, std::move(run)});
  }

  double Exponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(random_);
  }

  /// Adds the time since the last event to the totals of held slots.
  void UpdateHeldTotals(double now) {
    int held = 0;
    for (int permits : unused_permits_) held += permits;
    const double slot_ms = held * (now - now_);
    held_slot_ms_ += slot_ms;
    if (!waiting_.empty()) held_while_waiting_slot_ms_ += slot_ms;
    now_ = now;
  }

  void AddArrival() {
    Schedule(now_ + Exponential(kMeanServiceMs / (load_ * kSlots)),
             [this] { AddArrival(); });
    const std::size_t gateway = random_() % kGateways;
    if (unused_permits_[gateway] > 0) {
      --unused_permits_[gateway];
      Start(now_);
      Schedule(now_ + kOneWayDelayMs, [this, gateway] {
        --known_permits_[gateway];
        GrantFreeSlots();
      });
      return;
    }
    const Request request{gateway, now_};
    Schedule(now_ + kOneWayDelayMs, [this, request] {
      waiting_.push_back(request);
      RecallPermit();
      GrantFreeSlots();
    });
  }

  void Start(double arrived) {
    start_ms_.push_back(now_ - arrived);
    Schedule(now_ + Exponential(kMeanServiceMs) + kOneWayDelayMs, [this] {
      ++free_;
      GrantFreeSlots();
    });
  }

  /// Grants free slots to waiting requests, then as permits to the gateways.
  void GrantFreeSlots() {
    while (free_ > 0 && !waiting_.empty()) {
      const Request request = waiting_.front();
      waiting_.pop_front();
      --free_;
      Schedule(now_ + kOneWayDelayMs,
               [this, request] { Start(request.arrived); });
    }
    for (std::size_t n = 0; n < kGateways; ++n) {
      while (free_ > 0 && known_permits_[n] < permits_) {
        --free_;
        ++known_permits_[n];
        Schedule(now_ + kOneWayDelayMs, [this, n] { ++unused_permits_[n]; });
      }
    }
  }

  /// Asks the gateway with most permits to return one.
  void RecallPermit() {
    if (free_ > 0) return;
    auto most = std::max_element(known_permits_.begin(), known_permits_.end());
    if (*most == 0) return;
    const auto n = static_cast<std::size_t>(most - known_permits_.begin());
    Schedule(now_ + kOneWayDelayMs, [this, n] {
      if (unused_permits_[n] == 0) return;
      --unused_permits_[n];
      Schedule(now_ + kOneWayDelayMs, [this, n] {
        --known_permits_[n];
        ++free_;
        GrantFreeSlots();
      });
    });
  }

  int permits_;
  double load_;
  std::mt19937_64 random_;
  double now_ = 0;
  int free_ = kSlots;
  std::array<int, kGateways>
      known_permits_{};  ///< As the dispatcher knows them.
  std::array<int, kGateways>
      unused_permits_{};  ///< Held unused by the gateways.
  std::deque<Request> waiting_;
  std::priority_queue<TimedEvent> events_;
  std::int64_t next_sequence_ = 0;
  std::vector<double> start_ms_;
  double held_slot_ms_ = 0;
  double held_while_waiting_slot_ms_ = 0;
};

int Main() {
  std::printf(
      "Grants before demand: 80 slots, 7 gateways, 0.15 ms one way, "
      "50 ms of work (seed %llu)\n",
      static_cast<unsigned long long>(FLAGS_seed));
  std::printf(
      "| load | permits | start mean ms | start p99 ms | held idle %% | "
      "held while others wait %% |\n");
  std::printf("| --- | --- | --- | --- | --- | --- |\n");
  for (const double load : {0.5, 0.8, 0.9, 0.97}) {
    for (const int permits : {0, 1, 2, 4}) {
      PermitModel model(permits, load, FLAGS_seed);
      model.Run();
      model.Print();
    }
  }
  return 0;
}

}  // namespace
}  // namespace hyssopbarrow

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hyssopbarrow::Main();
}
