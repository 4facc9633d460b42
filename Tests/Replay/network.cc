#include "Replay/network.h"

#include <algorithm>

namespace hyssopbarrow {
namespace {

constexpr Duration kLocalDelay = std::chrono::microseconds(200);
constexpr Duration kRemoteDelay = std::chrono::microseconds(1500);
constexpr int kMaxJitterUs = 300;
constexpr int kPercent = 100;

std::pair<std::string, std::string> Ordered(const std::string& a,
                                            const std::string& b) {
  return std::minmax(a, b);
}

}  // namespace

void Schedule::At(Instant instant, Action action) {
  actions_.emplace(std::pair(std::max(instant, now_), next_sequence_++),
                   std::move(action));
}

void Schedule::RunUntil(Instant end) {
  while (!actions_.empty() && actions_.begin()->first.first <= end) {
    const auto next = actions_.extract(actions_.begin());
    now_ = next.key().first;
    next.mapped()();
  }
  now_ = end;
}

void Network::Cut(const std::string& a, const std::string& b) {
  cuts_.insert(Ordered(a, b));
}

void Network::Heal(const std::string& a, const std::string& b) {
  cuts_.erase(Ordered(a, b));
}

bool Network::Reaches(const Endpoint& a, const Endpoint& b) const {
  if (cuts_.empty()) return true;
  auto is_cut = [&](const std::string& x, const std::string& y) {
    return cuts_.contains(Ordered(x, y));
  };
  const bool apart = a.data_centre != b.data_centre;
  if (apart && is_cut(a.data_centre, "*")) return false;
  if (apart && is_cut(b.data_centre, "*")) return false;
  return !is_cut(a.name, b.name) && !is_cut(a.name, b.data_centre) &&
         !is_cut(a.data_centre, b.name) &&
         !is_cut(a.data_centre, b.data_centre);
}

bool Network::IsLost() {
  if (loss_percent_ == 0) return false;
  return std::uniform_int_distribution<int>(1, kPercent)(random_) <=
         loss_percent_;
}

Duration Network::Delay(const Endpoint& a, const Endpoint& b) {
  const Duration base =
      a.data_centre == b.data_centre ? kLocalDelay : kRemoteDelay;
  return base +
         Duration(std::uniform_int_distribution<int>(0, kMaxJitterUs)(random_));
}

Instant Network::ArrivalTime(const Endpoint& from, const Endpoint& to,
                             Instant now) {
  Instant& last = last_arrival_[{from.name, to.name}];
  last = std::max(last, now + Delay(from, to));
  return last;
}

}  // namespace hyssopbarrow
