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

/// How the hosts of a fleet keep to ceilings.
enum class RightsScheme {
  kLedger,
  kUncoordinated,  ///< Each host counts only its own work.
  kStaticSplit,    ///< Each host has an even part for good.
};

/// Faults of the table and of the way to it.
struct RightsTableFaults {
  bool unavailable = false;
  double slow_probability =
      0;  ///< Probability that a request takes up to 1.5 s.
  double lost_reply_probability =
      0;  ///< Probability that a reply is lost after the effect.
};

/// Counts over a run.
struct FleetCounts {
  std::int64_t commits = 0;
  std::int64_t conflicts = 0;
  std::int64_t reads = 0;
  std::int64_t read_bytes = 0;
  std::int64_t violations = 0;  ///< Steps and teams that ran over the ceiling.
  double running = 0;           ///< Slot-seconds.
  double runnable = 0;          ///< Slot-seconds that demand and ceiling allow.
};

/// One team's numbers at one step.
struct RightsAudit {
  std::int64_t ceiling = 0;  ///< As the ledger was last set.
  std::int64_t free = 0;
  std::int64_t held = 0;         ///< Sum over the rows of holders.
  std::int64_t max_running = 0;  ///< Most that all hosts could be running.
  std::int64_t running = 0;
};

/// Describes how `now` breaks the ledger's promises, given the step before.
std::optional<std::string> FindViolation(const RightsAudit& before,
                                         const RightsAudit& now);

/// Entry hosts, a table with faults and a load, in virtual time.
class RightsFleet {
 public:
  RightsFleet(RightsScheme scheme, int hosts, int teams, std::int64_t ceiling,
              std::uint64_t seed);

  /// Runs for `span`; checks every step.
  void Run(Duration span);

  void SetDemand(int host, int team, std::int64_t demand);
  void SetCeiling(int team, std::int64_t ceiling);
  void SetPartitioned(int host, bool cut) { hosts_[host].partitioned = cut; }
  void SetPaused(int host, bool paused) { hosts_[host].paused = paused; }
  void Kill(int host);

  /// Starts a new run of a host, whether or not the old one was killed.
  void Replace(int host);

  /// Resumes every replaced run that was paused.
  void ResumeReplaced();
  void Stop(int host) { hosts_[host].stopping = true; }

  /// Lets the run that `host` has be known as ended to all others.
  void MarkEnded(int host);

  /// Clears the counts.
  void ResetCounts() { counts_ = {}; }

  /// Checks the ledger every `steps` steps; 1 by default.
  void SetAuditInterval(std::int64_t steps) { audit_interval_ = steps; }

  /// The numbers of all teams now.
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
    Instant apply_time;  ///< When the table sees the request.
    Instant reply_time;
    bool settled = false;
    bool has_reply = false;  ///< False when the reply is lost.
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
  void ApplyRequest(InFlightRequest& exchange);
  void DeliverReply(const InFlightRequest& exchange);
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
  std::vector<EntryHost>
      replaced_hosts_;  ///< Replaced runs, which may still be alive.
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
