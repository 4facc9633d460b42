#ifndef HYSSOPBARROW_TESTS_CEILINGS_RIGHTS_FLEET_H_
#define HYSSOPBARROW_TESTS_CEILINGS_RIGHTS_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Model/snapshot.h"
#include "Policy/ceilings.h"
#include "Standalone/table.h"

namespace hyssopbarrow {

/// How the hosts of a fleet enforce ceilings.
enum class RightsScheme {
  kLedger,         ///< Rights of the ledger in the table.
  kUncoordinated,  ///< Each host counts only its own work.
  kStaticSplit,    ///< Each host always has an even share.
};

/// Faults of the table and of the connections to it.
struct RightsTableFaults {
  bool unavailable = false;
  double slow_probability = 0;        ///< A request takes up to 1.5 s.
  double lost_reply_probability = 0;  ///< A reply is lost after the commit.
};

/// Counts since the start or the last ResetCounts.
struct FleetCounts {
  std::int64_t commits = 0;
  std::int64_t conflicts = 0;
  std::int64_t reads = 0;
  std::int64_t read_bytes = 0;
  std::int64_t violations = 0;  ///< Pairs of step and team above the ceiling.
  double running = 0;           ///< Slot seconds used.
  double runnable = 0;          ///< Slot seconds that demand and ceiling allow.
};

/// One team's numbers at one step.
struct RightsAudit {
  std::int64_t ceiling = 0;  ///< In the ledger.
  std::int64_t free = 0;
  std::int64_t held = 0;         ///< Sum over all holders' rows.
  std::int64_t max_running = 0;  ///< What all hosts together could run.
  std::int64_t running = 0;
};

/// Describes how `now`, after `before`, violates the ledger's guarantees;
/// nullopt when it doesn't.
std::optional<std::string> FindViolation(const RightsAudit& before,
                                         const RightsAudit& now);

/// Simulates entry hosts with a load, and a table with faults, in virtual time.
class RightsFleet {
 public:
  RightsFleet(RightsScheme scheme, int hosts, int teams, std::int64_t ceiling,
              std::uint64_t seed);

  /// Runs for `span` and checks the ledger; see SetAuditInterval.
  void Run(Duration span);

  void SetDemand(int host, int team, std::int64_t demand);
  void SetCeiling(int team, std::int64_t ceiling);
  void SetPartitioned(int host, bool partitioned) {
    hosts_[host].partitioned = partitioned;
  }
  void SetPaused(int host, bool paused) { hosts_[host].paused = paused; }
  void Kill(int host);

  /// Starts a new incarnation of a host, whether or not the old one was killed.
  void Replace(int host);

  /// Resumes all paused incarnations that were replaced.
  void ResumeReplaced();
  void Stop(int host) { hosts_[host].stopping = true; }

  /// Marks the current incarnation of `host` as ended at all hosts.
  void MarkEnded(int host);

  /// Clears the counts.
  void ResetCounts() { counts_ = {}; }

  /// Checks the ledger every `steps` steps; 1 by default.
  void SetAuditInterval(std::int64_t steps) { audit_interval_ = steps; }

  /// Returns the current numbers of all teams.
  std::vector<RightsAudit> Audit() const;
  std::int64_t Running(int host, int team) const;
  std::int64_t Usable(int host, int team) const;
  HolderStage Stage(int host) const { return hosts_[host].state.stage; }
  const FleetCounts& counts() const { return counts_; }
  const std::string& violation() const { return violation_; }
  Instant now() const { return now_; }
  Table& table() { return table_; }

  RightsTableFaults faults;

 private:
  struct Work {
    int team = 0;
    Instant end;
  };

  struct EntryHost {
    HolderId id;
    CeilingsState state;
    Snapshot snapshot;
    bool dead = false;
    bool paused = false;
    bool partitioned = false;
    bool stopping = false;
    std::vector<std::int64_t> demand;
    std::vector<std::int64_t> running;
    std::vector<Work> work;
  };

  struct InFlightRequest {
    HolderId holder;
    StoreRequest request;
    Instant apply_time;  ///< When the table applies the request.
    Instant reply_time;
    bool settled = false;    ///< Applied, or will never be.
    bool has_reply = false;  ///< False when the table's reply is lost.
    StoreReply reply;
  };

  void Step();
  void StepHost(EntryHost& host);
  EntryHost* FindHost(const HolderId& holder);
  void EndWork(EntryHost& host);
  void StartWork(EntryHost& host);
  bool MayStart(EntryHost& host, int team);
  void Submit(const EntryHost& host, const StoreRequest& request);
  void StepRequests();
  void ApplyRequest(InFlightRequest& request);
  void DeliverReply(const InFlightRequest& request);
  void CheckLedger();
  void CountRunning();
  void AddHeldRows(std::vector<RightsAudit>& audits) const;
  void AddMaxRunning(const EntryHost& host,
                     std::vector<RightsAudit>& audits) const;

  RightsScheme scheme_;
  int teams_;
  std::mt19937_64 random_;
  Instant now_;
  Table table_;
  Snapshot snapshot_;
  std::vector<EntryHost> hosts_;
  std::vector<EntryHost> replaced_hosts_;  ///< May still be running.
  std::vector<InFlightRequest> requests_;
  std::vector<RightsAudit> audits_;
  std::int64_t audit_interval_ = 1;
  std::int64_t steps_ = 0;
  std::int64_t next_request_ = 1;
  FleetCounts counts_;
  std::string violation_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_CEILINGS_RIGHTS_FLEET_H_
