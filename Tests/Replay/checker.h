#ifndef HYSSOPBARROW_TESTS_REPLAY_CHECKER_H_
#define HYSSOPBARROW_TESTS_REPLAY_CHECKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Model/outcome.h"
#include "Model/snapshot.h"
#include "Model/time.h"
#include "Replay/record.h"

namespace hyssopbarrow {

/// A violated guarantee: the number of violations and the first of them.
struct Violation {
  std::int64_t count = 0;
  Instant first_time;
  std::string first_detail;
};

/// An answer as the caller received it.
struct ReceivedAnswer {
  std::size_t submission = 0;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  bool from_own_run =
      false;  ///< The worker's reply is from a run of this submission.
};

/// Records what happens in a replay and checks the guarantees at each event.
class Checker {
 public:
  void RecordTableCommit(const Snapshot& snapshot, Instant now);
  void RecordEntryStart(const std::string& entry,
                        const std::string& data_centre, Instant now);
  void RecordEntryKill(const std::string& entry);
  void RecordEntryPause(const std::string& entry, Instant now);
  void RecordEntryResume(const std::string& entry, Instant now);
  /// At `now`, `entry` reaches the store neither directly nor through a peer.
  void RecordEntryUnreachable(const std::string& entry, Instant now);
  void RecordStopStart(const std::string& entry);
  void RecordStopEnd(const std::string& entry, Instant now);
  void RecordAdoption(const std::string& entry, const Snapshot& snapshot,
                      Instant now);

  std::size_t AddRequest(RequestRecord request);
  std::size_t AddSubmission(SubmissionRecord submission);
  void RecordCallerDisconnect(std::size_t submission);

  /// Uses up one resubmission of a request. Returns false if the request is
  /// answered or abandoned, or has none left.
  bool ConsumeResubmission(std::size_t request);

  /// Marks the requests that have no answer yet as abandoned by their callers.
  void AbandonRequests(const std::vector<std::size_t>& requests);
  void RecordAnswer(const ReceivedAnswer& answer, Instant now);
  void RecordRunStart(std::int64_t run, const RunRecord& record, Instant now);
  void RecordRunEnd(std::int64_t run);
  void RecordBrokenHost(const std::string& host) {
    record_.broken_hosts.insert(host);
  }

  /// Checks that all entry hosts in reach have adopted the changes whose limit
  /// has passed.
  void Observe(Instant now);

  /// Checks that no submission is left without an answer.
  void Finish(Instant now);

  const Record& record() const { return record_; }
  const std::map<std::string, Violation>& violations() const {
    return violations_;
  }

 private:
  void ReportViolation(const std::string& guarantee, Instant now,
                       const std::string& detail);
  /// Whether `entry` was running, not paused and in reach of the store from
  /// `since` until `now`.
  bool WasReachable(const std::string& entry, Instant since, Instant now) const;
  void CheckCeiling(const std::string& team, Instant now);
  void CheckKey(const SubmissionRecord& submission,
                const RequestRecord& request, Instant now);
  void CheckHost(const RunRecord& run, const RequestRecord& request,
                 Instant now);
  void CheckNotRun(const ReceivedAnswer& answer, Instant now);
  void CheckStop(const ReceivedAnswer& answer, Instant now);

  Record record_;
  std::map<std::string, Violation> violations_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_REPLAY_CHECKER_H_
