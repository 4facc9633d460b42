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

/// A promise that did not hold: how often, and the first time.
struct Violation {
  std::int64_t count = 0;
  Instant first_time;
  std::string first_detail;
};

/// An answer as the caller got it.
struct ReceivedAnswer {
  std::size_t submission = 0;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  bool from_own_run =
      false;  ///< The worker's reply belongs to this submission.
};

/// Keeps the record of a replay and checks every promise at every fact.
class Checker {
 public:
  void RecordTableCommit(const Snapshot& snapshot, Instant now);
  void RecordEntryStart(const std::string& entry,
                        const std::string& data_centre, Instant now);
  void RecordEntryKill(const std::string& entry);
  void RecordEntryPause(const std::string& entry, Instant now);
  void RecordEntryResume(const std::string& entry, Instant now);
  void RecordEntryUnreachable(const std::string& entry, Instant now);
  void RecordStopStart(const std::string& entry);
  void RecordStopEnd(const std::string& entry, Instant now);
  void RecordAdoption(const std::string& entry, const Snapshot& snapshot,
                      Instant now);

  std::size_t AddRequest(RequestRecord request);
  std::size_t AddSubmission(SubmissionRecord submission);
  void RecordCallerDisconnect(std::size_t submission);

  /// Whether a caller submits a request again that has no answer yet.
  bool ConsumeResubmission(std::size_t request);

  /// The callers of these requests want no answer any more.
  void AbandonRequests(const std::vector<std::size_t>& requests);
  void RecordAnswer(const ReceivedAnswer& answer, Instant now);
  void RecordRunStart(std::int64_t run, const RunRecord& record, Instant now);
  void RecordRunEnd(std::int64_t run);
  void RecordBrokenHost(const std::string& host) {
    record_.broken_hosts.insert(host);
  }

  /// Checks what must hold at every moment, for example that changes are in
  /// force.
  void Observe(Instant now);

  /// Checks that nothing was left unanswered.
  void Finish(Instant now);

  const Record& record() const { return record_; }
  const std::map<std::string, Violation>& violations() const {
    return violations_;
  }

 private:
  void ReportViolation(const std::string& promise, Instant now,
                       const std::string& text);
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
