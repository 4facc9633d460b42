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

/// What a run of the fleet does.
struct FleetOptions {
  std::uint64_t seed = 1;
  std::int64_t requests = 1000;
  double requests_per_second = 500;
  bool faults = true;
  bool resubmit_same_key = true;  ///< False: no claim ever matches.
  bool report_broken_as_unreachable =
      false;                      ///< Reports broken exchanges as unreachable.
  double worker_fault_scale = 1;  ///< Multiplies the rate of worker faults.
  ClaimLimits limits;
};

/// What a run showed. The first five must be 0.
struct FleetReport {
  std::int64_t second_runs = 0;    ///< Requests that ran more than once.
  std::int64_t false_not_run = 0;  ///< `not-run` to a submission that was sent.
  std::int64_t false_not_run_resubmissions =
      0;                           ///< `not-run` to a resubmission of a
                                   ///< request that was sent.
  std::int64_t wrong_answers = 0;  ///< Recorded answers of another request.
  std::int64_t blocked_without_kill =
      0;  ///< Never sent, no gateway killed, yet blocked.

  std::int64_t submissions = 0;
  std::int64_t requests_run = 0;  ///< Requests that ran.
  std::int64_t answered = 0;
  std::int64_t recorded = 0;  ///< Answered from the table.
  std::int64_t unknown = 0;
  std::int64_t not_run = 0;
  std::int64_t blocked_by_kill = 0;   ///< Never run; the holder was killed.
  std::int64_t unanswered = 0;        ///< The gateway was killed.
  std::int64_t transactions = 0;      ///< For claims.
  std::int64_t row_writes = 0;        ///< For claims.
  std::int64_t read_backs = 0;        ///< For claims.
  std::vector<Duration> send_delays;  ///< From arrival to sending, per run.
};

/// Entry hosts in data centres of their own, one table, callers, and faults, in
/// virtual time.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options);

  /// Runs all requests, ends all faults, and submits once more what never ran.
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
    bool lost = false;  ///< A gateway was killed while it held it.
  };

  using Action = std::function<void()>;
  using CallKey = std::pair<std::size_t, std::int64_t>;  ///< Host, number.

  Request& RequestOf(const Submission& it) {
    return requests_[static_cast<std::size_t>(it.request)];
  }
  double Chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  Duration Between(Duration low, Duration high);
  void At(Instant when, Action action);
  /// Runs `action` unless the host's process ended; later while it is paused.
  void AtHost(std::size_t host, Instant when, Action action);
  void RunUntil(Instant end);

  void StartHost(std::size_t host);
  void ScheduleTick(std::size_t host);
  void ScheduleFaults(Instant end);
  void Kill(std::size_t host);
  bool IsStoreDown() const;

  void Feed(std::size_t host, const Event& event);
  void SendToStore(std::size_t host, const StoreRequest& request);
  StoreReply Apply(const StoreRequest& request);
  void SendToWorker(std::size_t host, const WorkerSend& send);
  void TakeAnswer(std::size_t host, const CallAnswer& answer);

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
  std::map<CallKey, std::size_t> submission_by_call_;  ///< Not answered.
  std::map<CallKey, std::size_t> submission_of_call_;  ///< All.
  bool quiet_ = false;                                 ///< No more faults.
  FleetReport report_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_CLAIMS_CLAIM_FLEET_H_
