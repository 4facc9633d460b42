#ifndef HYSSOPBARROW_TESTS_CLAIMS_CLAIM_FLEET_H_
#define HYSSOPBARROW_TESTS_CLAIMS_CLAIM_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Policy/node.h"
#include "Standalone/table.h"

namespace hyssopbarrow {

/// Settings of a simulation run.
struct FleetOptions {
  std::uint64_t seed = 1;
  std::int64_t requests = 1000;
  double requests_per_second = 500;
  bool faults = true;
  /// If false, each submission has its own key, so that no claim matches.
  bool resubmit_same_key = true;
  /// Reports broken connections to workers as unreachable workers.
  bool report_broken_as_unreachable = false;
  double worker_fault_scale = 1;  ///< Multiplies the rate of worker faults.
  ClaimLimits limits;
};

/// Results of a run. The first five are violations and must be 0.
struct FleetReport {
  std::int64_t second_runs = 0;    ///< Requests that ran more than once.
  std::int64_t false_not_run = 0;  ///< `not-run` to a submission that was sent.
  /// `not-run` to a resubmission of a request that was sent.
  std::int64_t false_not_run_resubmissions = 0;
  std::int64_t wrong_answers = 0;  ///< Recorded answers of another request.
  /// Requests never sent whose last submission is blocked by a claim, although
  /// no gateway that held them was killed.
  std::int64_t blocked_without_kill = 0;

  std::int64_t submissions = 0;
  std::int64_t requests_run = 0;  ///< Requests that ran.
  std::int64_t answered = 0;
  std::int64_t recorded = 0;  ///< Answered from a claim row.
  std::int64_t unknown = 0;
  std::int64_t not_run = 0;
  std::int64_t blocked_by_kill = 0;   ///< Never run; the holder was killed.
  std::int64_t unanswered = 0;        ///< The gateway was killed.
  std::int64_t transactions = 0;      ///< Of claim rows.
  std::int64_t row_writes = 0;        ///< Of claim rows.
  std::int64_t read_backs = 0;        ///< Of claim rows.
  std::vector<Duration> send_delays;  ///< From arrival to sending, one per run.
};

/// Simulation in virtual time of entry hosts, each in its own data centre, a
/// table, callers and faults.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options);

  /// Submits all requests, ends all faults, and resubmits requests that never
  /// ran.
  FleetReport Run();

 private:
  struct Host {
    std::unique_ptr<NodeState> node;
    std::int64_t incarnation = 0;
    Instant paused_until;
    std::int64_t next_call = 1;
  };

  struct Submission {
    std::int64_t request = 0;
    std::size_t host = 0;
    Instant arrived;
    bool sent = false;
    bool answered = false;
    bool is_resubmission = false;
    bool is_last_try = false;
    Outcome outcome = Outcome::kUnknown;
  };

  struct Request {
    std::int64_t runs = 0;
    std::int64_t submissions = 0;
    bool sent = false;
    bool gateway_killed = false;  ///< While it held the request.
  };

  using Action = std::function<void()>;
  using CallKey = std::pair<std::size_t, std::int64_t>;  ///< Host, number.

  Request& RequestOf(const Submission& submission) {
    return requests_[static_cast<std::size_t>(submission.request)];
  }
  double RandomFraction() {
    return std::uniform_real_distribution<>(0, 1)(random_);
  }
  Duration RandomDuration(Duration low, Duration high);
  void Schedule(Instant time, Action action);
  /// Runs `action` at `time`, or when the host is no longer paused. Drops it if
  /// the host's process has ended.
  void ScheduleOnHost(std::size_t host, Instant time, Action action);
  void RunUntil(Instant end);

  void StartHost(std::size_t host);
  void ScheduleTick(std::size_t host);
  void ScheduleFaults(Instant end);
  void Kill(std::size_t host);
  bool IsStoreDown() const;

  void HandleHostEvent(std::size_t host, const Event& event);
  void SendToStore(std::size_t host, const StoreRequest& request);
  StoreReply ApplyStoreRequest(const StoreRequest& request);
  void SendToWorker(std::size_t host, const WorkerSend& send);
  void HandleAnswer(std::size_t host, const CallAnswer& answer);

  void Submit(std::int64_t request, std::size_t host, bool is_last_try);
  void Resubmit(std::int64_t request, std::size_t host, Duration delay);
  void FillReport();

  FleetOptions options_;
  std::mt19937_64 random_;
  Table table_;
  std::vector<Host> hosts_;
  std::multimap<Instant, Action> actions_;
  Instant now_;
  std::vector<std::pair<Instant, Instant>> outages_;
  std::vector<Request> requests_;
  std::vector<Submission> submissions_;
  std::map<CallKey, std::size_t> unanswered_submissions_;
  std::map<CallKey, std::size_t> submission_by_call_;
  bool faults_ended_ = false;
  FleetReport report_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_CLAIMS_CLAIM_FLEET_H_
