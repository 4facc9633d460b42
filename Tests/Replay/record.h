#ifndef HYSSOPBARROW_TESTS_REPLAY_RECORD_H_
#define HYSSOPBARROW_TESTS_REPLAY_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Model/outcome.h"
#include "Model/snapshot.h"
#include "Model/time.h"

namespace hyssopbarrow {

/// A request of a caller, with all its submissions.
struct RequestRecord {
  std::string load;
  std::string queue;
  std::string team;
  std::string key;  ///< Name of the key, which is also its secret.
  bool unrepeatable = false;
  Duration service_time{};
  std::int64_t resubmissions_left = 0;
  int submissions = 0;
  int not_run_answers = 0;  ///< Submissions that were answered not-run.
  int runs = 0;             ///< Number of runs started by workers.
  bool answered = false;    ///< A submission got a worker's answer.
  bool abandoned = false;
  bool unauthorized = false;  ///< Answered while its key was withdrawn or not
                              ///< valid for the queue and team.
};

/// One submission of a request to an entry host. Its call number is its index
/// plus one.
struct SubmissionRecord {
  std::size_t request = 0;
  std::string entry;
  Instant arrived;
  Instant deadline;
  bool open = true;
  bool caller_disconnected = false;
  bool entry_killed = false;  ///< The entry host was killed before the answer.
  bool open_at_stop = false;  ///< Open when a planned stop began.
  std::optional<Outcome> outcome;
  int runs = 0;
  int running = 0;
  std::optional<Instant> first_start;
};

/// A run in progress on a worker.
struct RunRecord {
  std::size_t submission = 0;
  std::string host;
};

/// State of one entry host.
struct EntryRecord {
  std::string data_centre;
  bool running = false;
  bool paused = false;
  Instant last_unreachable;  ///< Last time at which it reached the table
                             ///< neither directly nor through a peer.
  Instant last_paused;
  std::int64_t adopted_revision = 0;  ///< By this incarnation.
};

/// The table at one revision and its commit time.
struct TableVersion {
  Instant committed;
  Snapshot snapshot;
};

/// Everything that happened in a replay, as seen from outside the fleet.
struct Record {
  std::vector<RequestRecord> requests;
  std::vector<SubmissionRecord> submissions;
  std::set<std::size_t> open_submissions;  ///< Submissions without an answer.
  std::map<std::int64_t, RunRecord> runs;
  std::map<std::string, std::int64_t> running_by_team;
  std::map<std::string, std::int64_t> running_by_host;
  std::map<std::string, EntryRecord> entries;
  std::map<std::int64_t, TableVersion> table_versions;  ///< By revision.
  std::set<std::string> broken_hosts;  ///< Hosts that the trace ever made fail.

  const Snapshot& CurrentTable() const {
    return table_versions.rbegin()->second.snapshot;
  }
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_REPLAY_RECORD_H_
