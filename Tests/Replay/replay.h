#ifndef HYSSOPBARROW_TESTS_REPLAY_REPLAY_H_
#define HYSSOPBARROW_TESTS_REPLAY_REPLAY_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "Replay/checker.h"
#include "Replay/fake_store.h"
#include "Replay/fake_worker.h"
#include "Replay/fleet.h"
#include "Replay/measures.h"
#include "Replay/network.h"
#include "Replay/trace.h"
#include "absl/status/status.h"

namespace hyssopbarrow {

/// Violated guarantees and measured figures of a replay, by name.
struct ReplayResult {
  std::map<std::string, Violation> violations;
  std::map<std::string, double> figures;
};

/// Plays one recorded trace through a simulated fleet. The seed determines
/// every random choice.
class Replay {
 public:
  explicit Replay(std::uint64_t seed);

  /// Plays all events, then runs on until every open submission has ended or
  /// the limit of wait rounds is reached.
  ///
  /// Errors: kInvalidArgument naming the line of an event that cannot be
  /// applied.
  absl::Status Run(const std::vector<TraceEvent>& events);

  ReplayResult Result() const;

 private:
  /// A stream of requests with the same queue, key and timing.
  struct Load {
    TraceEvent spec;
    std::int64_t generation = 0;  ///< Changes when the settings change.
    std::vector<std::size_t> requests;
  };

  void WaitForOpenSubmissions();
  absl::Status ApplyEvent(const TraceEvent& event);
  absl::Status ApplyFleetEvent(const TraceEvent& event);
  absl::Status ApplyFaultEvent(const TraceEvent& event);
  absl::Status AddHosts(const TraceEvent& event);
  absl::Status AddInitialRow(const TraceEvent& event);
  void CommitInitialTable();
  void HandleCommit(const Transaction& transaction);
  void ChangeRow(const std::string& key, const nlohmann::json& change);
  void RaceChanges(const TraceEvent& event);
  bool CommitChange(const Row& row, const Row& revision,
                    const nlohmann::json& change);
  void SetLoad(const TraceEvent& event);
  void ScheduleNextRequest(const std::string& name, std::int64_t generation);
  void IssueRequest(Load& load);
  void Submit(std::size_t request);
  Arrival MakeArrival(std::size_t request, const std::string& entry);
  void ScheduleCallerTimeout(std::size_t request, std::size_t submission);
  void HandleAnswer(std::size_t submission, CallerOutcome outcome);
  void Resubmit(std::size_t request);
  void CancelRequests(Load& load);
  void Observe();
  std::string DataCentreOf(const TraceEvent& load);

  std::mt19937_64 random_;
  Schedule schedule_;
  Network network_;
  Checker checker_;
  FakeStore store_;
  FakeWorkers workers_;
  Fleet fleet_;
  Measures measures_;
  Instant start_time_;
  bool table_committed_ = false;
  std::map<std::string, Load> loads_;
  std::vector<std::string> data_centres_;
  std::vector<Row> initial_rows_;  ///< Table rows set up at 0 ms.
  std::int64_t host_count_ = 0;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_REPLAY_REPLAY_H_
