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

/// Work done on behalf of callers that a fleet needs to know.
struct Arrival {
  std::size_t submission = 0;
  std::string queue;
  std::string key;  ///< Empty for none.
  std::string idempotency_key;
  bool unrepeatable = false;
  bool resubmission = false;  ///< An earlier submission may have run.
  Duration timeout{};         ///< Until the caller's deadline.
  Duration service_time{};
};

/// How a submission ended for its caller.
enum class CallerOutcome { kAnswered, kNotRun, kUnknown };

/// Messages and bytes between entry hosts.
struct PeerTraffic {
  std::int64_t messages = 0;
  double bytes = 0;
  double control_bytes = 0;  ///< Without the messages about single calls.
};

/// The entry hosts: decision cores joined by a bus, driven in virtual time.
class Fleet {
 public:
  /// Told when a submission ends or its connection breaks.
  using AnswerCallback =
      std::function<void(std::size_t submission, CallerOutcome view)>;

  Fleet(Schedule& schedule, Network& network, FakeStore& store,
        FakeWorkers& workers, Checker& checker, std::mt19937_64& random);

  void Start(const std::string& name, const std::string& data_centre);
  void Restart(const std::string& name);
  void Kill(const std::string& name);
  void Pause(const std::string& name, Duration duration);
  void Stop(const std::string& name);

  /// Name of the dispatcher of a cell as its data centre sees it.
  std::string DispatcherOf(const CellId& cell) const;

  /// All connections made so far, from entry hosts to workers, go silent.
  void SilenceWorkerConnections();

  /// The link between two entry hosts goes silent; a new one works.
  void SilenceLink(const std::string& a, const std::string& b);

  /// An entry host that the balancer offers to a caller; empty for none.
  std::string PickEntry(const std::string& data_centre);

  /// A call arrives. `submit` is asked for the submission's number when the
  /// entry host reads the request.
  void SubmitCall(const std::string& entry,
                  const std::function<Arrival(const std::string&)>& submit);
  void DisconnectCaller(const std::string& entry, std::size_t submission);
  bool IsPaused(const std::string& entry) const;

  void SetAnswerCallback(AnswerCallback sink) { on_answer_ = std::move(sink); }

  /// Renews links and observes which entry hosts are in reach.
  void Observe();

  const std::map<std::string, PeerTraffic>& traffic() const { return traffic_; }

 private:
  struct Attempt {
    std::int64_t run = 0;
    std::string host;
    std::size_t submission = 0;
    Instant arrival;
  };

  /// One entry host. All but the name ends with its incarnation.
  struct Entry {
    Endpoint endpoint;
    std::int64_t incarnation = 0;
    std::unique_ptr<NodeState> node;
    Duration clock_offset{};  ///< Its own steady clock runs ahead by this.
    bool paused = false;
    Instant paused_since;
    bool stopping = false;
    Instant stop_started;
    Instant stop_deadline;
    std::vector<Schedule::Action> deferred_actions;
    std::map<std::int64_t, Attempt> attempts;  ///< In progress.
    std::map<std::int64_t, std::size_t> answered_attempts;
    std::map<std::size_t, Arrival> arrivals;
    std::map<std::string, int> silent_connections;  ///< By worker.
    std::int64_t adopted_revision = 0;
  };

  /// A connection between two entry hosts.
  struct Link {
    bool connected = false;
    bool silent = false;
    Instant broken_since;
    bool broken = false;
  };

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
  std::set<std::string> seeds_;  ///< Known to all from their settings.
  std::map<std::pair<std::string, std::string>, Link> links_;
  std::map<std::string, PeerTraffic> traffic_;
  std::int64_t next_run_ = 1;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_REPLAY_FLEET_H_
