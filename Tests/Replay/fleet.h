#ifndef HYSSOPBARROW_TESTS_REPLAY_FLEET_H_
#define HYSSOPBARROW_TESTS_REPLAY_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Policy/node.h"
#include "Replay/checker.h"
#include "Replay/fake_store.h"
#include "Replay/fake_worker.h"
#include "Replay/network.h"

namespace hyssopbarrow {

/// A submission that arrives at an entry host.
struct Arrival {
  std::size_t submission = 0;
  std::string queue;
  std::string key;  ///< Empty if the caller sends no key.
  std::string idempotency_key;
  bool unrepeatable = false;
  bool resubmission = false;  ///< An earlier submission may have run.
  Duration timeout{};         ///< Time until the caller's deadline.
  Duration service_time{};
};

/// Outcome of a submission as its caller knows it.
enum class CallerOutcome { kAnswered, kNotRun, kUnknown };

/// Messages and bytes that one entry host sent to its peers.
struct PeerTraffic {
  std::int64_t messages = 0;
  double bytes = 0;
  double control_bytes = 0;  ///< Without messages about single calls.
};

/// Simulated entry hosts: the decision core of each, connected by simulated
/// links and driven in virtual time.
class Fleet {
 public:
  /// Called when a submission ends or its connection breaks.
  using AnswerCallback =
      std::function<void(std::size_t submission, CallerOutcome outcome)>;

  Fleet(Schedule& schedule, Network& network, FakeStore& store,
        FakeWorkers& workers, Checker& checker, std::mt19937_64& random);

  void Start(const std::string& name, const std::string& data_centre);
  void Restart(const std::string& name);
  void Kill(const std::string& name);
  void Pause(const std::string& name, Duration duration);
  void Stop(const std::string& name);

  /// Name of the dispatcher of a cell according to the first running entry host
  /// of the cell's data centre; empty if there is none.
  std::string DispatcherOf(const CellId& cell) const;

  /// Makes all open connections from entry hosts to workers half-open: requests
  /// sent on them get no reply. New connections work.
  void SilenceWorkerConnections();

  /// Makes the link between two entry hosts drop all messages until both notice
  /// and open a new one.
  void SilenceLink(const std::string& a, const std::string& b);

  /// Entry host that the load balancer picks for a caller in `data_centre`;
  /// empty if none is ready.
  std::string PickEntry(const std::string& data_centre);

  /// Sends a call to an entry host. `submit` creates the submission when the
  /// entry host reads the request, which a pause delays.
  void SubmitCall(const std::string& entry,
                  const std::function<Arrival(const std::string&)>& submit);
  void DisconnectCaller(const std::string& entry, std::size_t submission);
  bool IsPaused(const std::string& entry) const;

  void SetAnswerCallback(AnswerCallback callback) {
    on_answer_ = std::move(callback);
  }

  /// Updates links and planned stops, and records which entry hosts cannot
  /// reach the store.
  void Observe();

  const std::map<std::string, PeerTraffic>& traffic() const { return traffic_; }

 private:
  struct Attempt {
    std::int64_t run = 0;
    std::string host;
    std::size_t submission = 0;
    Instant arrival;
  };

  /// One entry host. Only the endpoint and the count of incarnations outlive an
  /// incarnation.
  struct Entry {
    Endpoint endpoint;
    std::int64_t incarnation = 0;
    std::unique_ptr<NodeState> node;
    Duration clock_offset{};  ///< Lead of its steady clock over virtual time.
    bool paused = false;
    Instant paused_since;
    bool stopping = false;
    Instant stop_started;
    Instant stop_deadline;
    std::vector<Schedule::Action> deferred_actions;  ///< Due during a pause.
    std::map<std::int64_t, Attempt> attempts;        ///< In progress.
    std::map<std::int64_t, std::size_t> answered_attempts;
    std::map<std::size_t, Arrival> arrivals;
    std::map<std::string, int>
        silent_connections;  ///< Half-open ones, by worker.
    std::int64_t adopted_revision = 0;
  };

  /// A connection between two entry hosts.
  struct Link {
    bool connected = false;
    bool silent = false;  ///< Drops all messages until replaced.
    Instant broken_since;
    bool broken = false;
  };

  /// Runs `action` now, or at the end of the pause if `entry` is paused. Drops
  /// it if `entry` is not running.
  void RunOrDefer(Entry& entry, Schedule::Action action);
  void RunOrDeferAt(Entry& entry, Instant instant, Schedule::Action action);
  void DeliverEvent(Entry& entry, const Event& event);
  void Execute(Entry& entry, const Outbox& out);
  void Execute(Entry& entry, const PeerSend& send);
  void Execute(Entry& entry, const StoreRequest& request);
  void Execute(Entry& entry, const WorkerSend& send);
  void Execute(Entry& entry, const WorkerCancel& cancel);
  void Execute(Entry& entry, const CallAnswer& answer);
  void SendToWorker(Entry& entry, const WorkerSend& send,
                    const FakeWorker& worker);
  void EndAttempt(Entry& entry, std::int64_t attempt, SlotResult result);
  void ScheduleTick(Entry& entry);
  bool WantsLink(const Entry& from, const Entry& to) const;
  void BreakLinks(const std::string& name);
  void UpdateLink(Entry& a, Entry& b);
  void RecordReachability(Entry& entry);
  void UpdatePlannedStop(Entry& entry);
  bool ReachesStore(const Entry& entry) const;
  Link& LinkOf(const std::string& a, const std::string& b);
  Instant LocalTime(const Entry& entry) const;

  Schedule& schedule_;
  Network& network_;
  FakeStore& store_;
  FakeWorkers& workers_;
  Checker& checker_;
  std::mt19937_64& random_;
  AnswerCallback on_answer_;
  std::map<std::string, Entry> entries_;
  std::set<std::string>
      seeds_;  ///< Entry hosts that all know from their settings.
  std::map<std::pair<std::string, std::string>, Link> links_;
  std::map<std::string, PeerTraffic> traffic_;
  std::int64_t next_run_ = 1;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_REPLAY_FLEET_H_
