#ifndef HYSSOPBARROW_BENCHMARKS_VIRTUAL_FLEET_H_
#define HYSSOPBARROW_BENCHMARKS_VIRTUAL_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "Policy/node.h"

namespace hyssopbarrow {

/// Calls of one team to one queue at one gateway.
struct Source {
  std::string team;
  std::string queue;
  std::string gateway;
  double mean_service_s = 0.25;  ///< Exponential.
  Duration timeout = std::chrono::seconds(5);
  std::function<double(double)> rate;  ///< Calls a second at a time in s.
};

/// Requests of one team at one moment.
struct TeamCount {
  std::int64_t waiting = 0;
  std::int64_t running = 0;
};

/// A call between its arrival and its answer.
struct OpenCall {
  const Source* source = nullptr;
  Instant arrived;
  bool started = false;
  bool running = false;
};

/// What became of the calls of one queue.
struct QueueResult {
  std::vector<double> start_s;    ///< Time to the start of each started call.
  std::vector<double> refused_s;  ///< Time to each refusal.
  std::int64_t refused_late = 0;  ///< Refused after the deadline.
  std::int64_t arrived = 0;
};

/// Exponential variates and times in seconds.
inline double Exponential(std::mt19937_64& random, double mean) {
  return std::exponential_distribution<double>(1 / mean)(random);
}

inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

inline double ToSeconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

/// Decision cores, workers and callers on one virtual clock.
class VirtualFleet {
 public:
  VirtualFleet(const Snapshot& snapshot, std::uint64_t seed)
      : snapshot_(snapshot), random_(seed) {}

  void AddNode(const std::string& name, const std::string& data_centre) {
    NodeState node({name, data_centre, 1});
    node.configuration.snapshot = snapshot_;
    node.configuration.next_poll = Instant::max();
    node.configuration.confirmed_at = now_ + std::chrono::hours(24);
    for (auto& [other, it] : nodes_) {
      node.linked_peers.insert(other);
      it.linked_peers.insert(name);
    }
    nodes_.emplace(name, std::move(node));
    Schedule(now_, [this, name] { TickNode(name); });
  }

  void AddSource(const Source& source) {
    sources_.push_back(std::make_unique<Source>(source));
    Arm(*sources_.back());
  }

  /// Runs until `seconds` after the start.
  void RunUntil(double seconds) {
    const Instant end = At(seconds);
    while (!events_.empty() && events_.top().at <= end) {
      Timed event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = end;
  }

  double Seconds() const {
    return std::chrono::duration<double>(now_ - kStart).count();
  }

  const std::map<std::string, NodeState>& nodes() const { return nodes_; }
  const std::map<std::string, TeamCount>& teams() const { return teams_; }
  std::map<std::string, QueueResult>& results() { return results_; }
  /// Estimated bytes sent and received by each node for `kind` of message.
  std::map<std::string, std::int64_t>& digest_bytes() { return bytes_; }

  /// Free slots of all cells at their dispatchers.
  std::int64_t FreeSlots() const {
    std::int64_t n = 0;
    for (const auto& [name, node] : nodes_) {
      for (const auto& [id, cell] : node.dispatch.cells) {
        if (cell.owned) n += cell.slots.free_slots;
      }
    }
    return n;
  }

 private:
  struct Timed {
    Instant at;
    std::int64_t sequence;
    std::function<void()> run;
    bool operator<(const Timed& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };

  static constexpr Instant kStart{std::chrono::seconds(1000)};
  static constexpr Duration kTick = std::chrono::milliseconds(20);
  static constexpr Duration kLocalDelay = std::chrono::microseconds(150);
  static constexpr Duration kRemoteDelay = std::chrono::microseconds(1500);

  static Instant At(double seconds) { return kStart + FromSeconds(seconds); }

  void Schedule(Instant at, std::function<void()> run) {
    events_.push({at, next_sequence_++, std::move(run)});
  }

  void TickNode(const std::string& name) {
    Feed(name, Tick{});
    Schedule(now_ + kTick, [this, name] { TickNode(name); });
  }

  /// Thinned Poisson arrivals.
  void Arm(const Source& source) {
    constexpr double kMaxStep = 0.1;
    const double rate = source.rate(Seconds());
    const double wait = rate > 0 ? Exponential(random_, 1 / rate) : kMaxStep;
    if (wait >= kMaxStep) {
      return Schedule(now_ + FromSeconds(kMaxStep),
                      [this, &source] { Arm(source); });
    }
    Schedule(now_ + FromSeconds(wait), [this, &source] {
      Arrive(source);
      Arm(source);
    });
  }

  void Arrive(const Source& source) {
    const std::int64_t number = next_call_++;
    calls_[{source.gateway, number}] = {.source = &source, .arrived = now_};
    ++teams_[source.team].waiting;
    ++results_[source.queue].arrived;
    Feed(source.gateway, CallArrived{.number = number,
                                     .queue = source.queue,
                                     .key = "key-" + source.team,
                                     .deadline = now_ + source.timeout});
  }

  void Feed(const std::string& name, const Event& event) {
    Execute(name, HandleEvent(nodes_.at(name), event, now_));
  }

  void Execute(const std::string& name, const Outbox& out) {
    for (const PeerSend& it : out.peer_sends) Deliver(name, it);
    for (const WorkerSend& it : out.worker_sends) Start(name, it);
    for (const CallAnswer& it : out.call_answers) Finish(name, it);
  }

  void Finish(const std::string& name, const CallAnswer& answer) {
    auto it = calls_.find({name, answer.call});
    const OpenCall& call = it->second;
    if (!call.running) --teams_[call.source->team].waiting;
    if (answer.outcome == Outcome::kNotRun) {
      QueueResult& result = results_[call.source->queue];
      result.refused_s.push_back(ToSeconds(now_ - call.arrived));
      constexpr Duration kSlack = 2 * kTick;
      if (now_ > call.arrived + call.source->timeout + kSlack) {
        ++result.refused_late;
      }
    }
    calls_.erase(it);
  }

  void Deliver(const std::string& from, const PeerSend& send) {
    NodeState& sender = nodes_.at(from);
    const bool local = sender.membership.self.data_centre ==
                       nodes_.at(send.to).membership.self.data_centre;
    if (const auto* it = std::get_if<ShareDigest>(&send.message)) {
      const std::int64_t n = SizeOf(*it);
      bytes_[from] += n;
      bytes_[send.to] += n;
    }
    Schedule(now_ + (local ? kLocalDelay : kRemoteDelay), [this, from, send] {
      Feed(send.to, PeerMessageReceived{{from, 1, send.message}});
    });
  }

  void Start(const std::string& name, const WorkerSend& send) {
    OpenCall& call = calls_.at({name, send.call});
    TeamCount& team = teams_[call.source->team];
    --team.waiting;
    ++team.running;
    call.running = true;
    if (!call.started) {
      call.started = true;
      results_[call.source->queue].start_s.push_back(
          ToSeconds(now_ - call.arrived));
    }
    const Duration service =
        FromSeconds(Exponential(random_, call.source->mean_service_s));
    const bool late = now_ + service > send.deadline;
    Schedule(late ? send.deadline : now_ + service, [this, name, send, late] {
      End(name, send, late ? SlotResult::kTimedOut : SlotResult::kSucceeded);
    });
  }

  void End(const std::string& name, const WorkerSend& send, SlotResult result) {
    OpenCall& call = calls_.at({name, send.call});
    TeamCount& team = teams_[call.source->team];
    call.running = false;
    --team.running;
    ++team.waiting;
    Feed(name, AttemptEnded{send.attempt, result});
  }

  /// Bytes of a digest as a CBOR array of its fields.
  static std::int64_t SizeOf(const ShareDigest& it) {
    constexpr std::int64_t kFraming = 12;
    const nlohmann::json json = {static_cast<int>(it.scope),
                                 it.shard,
                                 it.names_digest,
                                 it.teams,
                                 it.centislots,
                                 it.pools,
                                 it.data_centres,
                                 it.free_slots,
                                 it.waiting};
    return std::ssize(nlohmann::json::to_cbor(json)) + kFraming;
  }

  Snapshot snapshot_;
  std::mt19937_64 random_;
  Instant now_ = kStart;
  std::priority_queue<Timed> events_;
  std::int64_t next_sequence_ = 0;
  std::int64_t next_call_ = 1;
  std::map<std::string, NodeState> nodes_;
  std::vector<std::unique_ptr<Source>> sources_;
  std::map<std::pair<std::string, std::int64_t>, OpenCall> calls_;
  std::map<std::string, TeamCount> teams_;
  std::map<std::string, QueueResult> results_;
  std::map<std::string, std::int64_t> bytes_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_BENCHMARKS_VIRTUAL_FLEET_H_
