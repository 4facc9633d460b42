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

/// Generates the calls of one team to one queue at one gateway.
struct CallSource {
  std::string team;
  std::string queue;
  std::string gateway;
  double mean_service_s = 0.25;  ///< Of an exponential distribution.
  Duration timeout = std::chrono::seconds(5);
  std::function<double(double)> rate;  ///< Calls per second at a time in s.
};

/// Number of one team's calls that wait and that run.
struct TeamCount {
  std::int64_t waiting = 0;
  std::int64_t running = 0;
};

/// A call that has not been answered.
struct PendingCall {
  const CallSource* source = nullptr;
  Instant arrived;
  bool started = false;
  bool running = false;
};

/// Results of the calls of one queue.
struct QueueResult {
  std::vector<double> start_s;    ///< Time to the start of each started call.
  std::vector<double> refused_s;  ///< Time to each refusal.
  std::int64_t refused_late = 0;  ///< Refused after the deadline.
  std::int64_t arrived = 0;
};

/// Draws from an exponential distribution.
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

/// Simulates entry hosts' decision cores, workers and callers in virtual time.
class VirtualFleet {
 public:
  VirtualFleet(const Snapshot& snapshot, std::uint64_t seed)
      : snapshot_(snapshot), random_(seed) {}

  void AddNode(const std::string& name, const std::string& data_centre) {
    NodeState node({name, data_centre, 1});
    node.configuration.snapshot = snapshot_;
    node.configuration.next_poll = Instant::max();
    node.configuration.confirmed_at = now_ + std::chrono::hours(24);
    for (auto& [other_name, other] : nodes_) {
      node.linked_peers.insert(other_name);
      other.linked_peers.insert(name);
    }
    nodes_.emplace(name, std::move(node));
    Schedule(now_, [this, name] { TickNode(name); });
  }

  void AddSource(const CallSource& source) {
    sources_.push_back(std::make_unique<CallSource>(source));
    ScheduleNextArrival(*sources_.back());
  }

  /// Runs the simulation up to `seconds` after its start.
  void RunUntil(double seconds) {
    const Instant end = InstantAt(seconds);
    while (!events_.empty() && events_.top().time <= end) {
      TimedEvent event = events_.top();
      events_.pop();
      now_ = event.time;
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
  /// Estimated bytes of share digests sent and received, by node.
  std::map<std::string, std::int64_t>& digest_bytes() { return digest_bytes_; }

  /// Free slots of all cells, as their dispatchers count them.
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
  struct TimedEvent {
    Instant time;
    std::int64_t sequence;
    std::function<void()> run;
    bool operator<(const TimedEvent& other) const {
      return std::tie(time, sequence) > std::tie(other.time, other.sequence);
    }
  };

  static constexpr Instant kStart{std::chrono::seconds(1000)};
  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);
  static constexpr Duration kLocalDelay = std::chrono::microseconds(150);
  static constexpr Duration kRemoteDelay = std::chrono::microseconds(1500);

  static Instant InstantAt(double seconds) {
    return kStart + FromSeconds(seconds);
  }

  void Schedule(Instant time, std::function<void()> run) {
    events_.push({time, next_sequence_++, std::move(run)});
  }

  void TickNode(const std::string& name) {
    HandleNodeEvent(name, Tick{});
    Schedule(now_ + kTickInterval, [this, name] { TickNode(name); });
  }

  /// Schedules the next arrival of a Poisson process. A wait is at most
  /// kMaxStep, after which the current rate is read again.
  void ScheduleNextArrival(const CallSource& source) {
    constexpr double kMaxStep = 0.1;
    const double rate = source.rate(Seconds());
    const double wait = rate > 0 ? Exponential(random_, 1 / rate) : kMaxStep;
    if (wait >= kMaxStep) {
      return Schedule(now_ + FromSeconds(kMaxStep),
                      [this, &source] { ScheduleNextArrival(source); });
    }
    Schedule(now_ + FromSeconds(wait), [this, &source] {
      AddCall(source);
      ScheduleNextArrival(source);
    });
  }

  void AddCall(const CallSource& source) {
    const std::int64_t number = next_call_++;
    calls_[{source.gateway, number}] = {.source = &source, .arrived = now_};
    ++teams_[source.team].waiting;
    ++results_[source.queue].arrived;
    HandleNodeEvent(source.gateway,
                    CallArrived{.number = number,
                                .queue = source.queue,
                                .key = "key-" + source.team,
                                .deadline = now_ + source.timeout});
  }

  void HandleNodeEvent(const std::string& name, const Event& event) {
    ApplyOutbox(name, HandleEvent(nodes_.at(name), event, now_));
  }

  void ApplyOutbox(const std::string& name, const Outbox& out) {
    for (const PeerSend& send : out.peer_sends) Deliver(name, send);
    for (const WorkerSend& send : out.worker_sends) StartAttempt(name, send);
    for (const CallAnswer& answer : out.call_answers) EndCall(name, answer);
  }

  void EndCall(const std::string& name, const CallAnswer& answer) {
    auto found = calls_.find({name, answer.call});
    const PendingCall& call = found->second;
    if (!call.running) --teams_[call.source->team].waiting;
    if (answer.outcome == Outcome::kNotRun) {
      QueueResult& result = results_[call.source->queue];
      result.refused_s.push_back(ToSeconds(now_ - call.arrived));
      constexpr Duration kSlack = 2 * kTickInterval;
      if (now_ > call.arrived + call.source->timeout + kSlack) {
        ++result.refused_late;
      }
    }
    calls_.erase(found);
  }

  void Deliver(const std::string& from, const PeerSend& send) {
    NodeState& sender = nodes_.at(from);
    const bool local = sender.membership.self.data_centre ==
                       nodes_.at(send.to).membership.self.data_centre;
    if (const auto* digest = std::get_if<ShareDigest>(&send.message)) {
      const std::int64_t n = EncodedBytes(*digest);
      digest_bytes_[from] += n;
      digest_bytes_[send.to] += n;
    }
    Schedule(now_ + (local ? kLocalDelay : kRemoteDelay), [this, from, send] {
      HandleNodeEvent(send.to, PeerMessageReceived{{from, 1, send.message}});
    });
  }

  void StartAttempt(const std::string& name, const WorkerSend& send) {
    PendingCall& call = calls_.at({name, send.call});
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
      EndAttempt(name, send,
                 late ? SlotResult::kTimedOut : SlotResult::kSucceeded);
    });
  }

  void EndAttempt(const std::string& name, const WorkerSend& send,
                  SlotResult result) {
    PendingCall& call = calls_.at({name, send.call});
    TeamCount& team = teams_[call.source->team];
    call.running = false;
    --team.running;
    ++team.waiting;
    HandleNodeEvent(name, AttemptEnded{send.attempt, result});
  }

  /// Size of a digest encoded as a CBOR array of its fields.
  static std::int64_t EncodedBytes(const ShareDigest& digest) {
    constexpr std::int64_t kFraming = 12;
    const nlohmann::json json = {static_cast<int>(digest.scope),
                                 digest.shard,
                                 digest.names_digest,
                                 digest.teams,
                                 digest.centislots,
                                 digest.pools,
                                 digest.data_centres,
                                 digest.free_slots,
                                 digest.waiting};
    return std::ssize(nlohmann::json::to_cbor(json)) + kFraming;
  }

  Snapshot snapshot_;
  std::mt19937_64 random_;
  Instant now_ = kStart;
  std::priority_queue<TimedEvent> events_;
  std::int64_t next_sequence_ = 0;
  std::int64_t next_call_ = 1;
  std::map<std::string, NodeState> nodes_;
  std::vector<std::unique_ptr<CallSource>> sources_;
  std::map<std::pair<std::string, std::int64_t>, PendingCall> calls_;
  std::map<std::string, TeamCount> teams_;
  std::map<std::string, QueueResult> results_;
  std::map<std::string, std::int64_t> digest_bytes_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_BENCHMARKS_VIRTUAL_FLEET_H_
