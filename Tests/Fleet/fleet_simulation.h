#ifndef HYSSOPBARROW_TESTS_FLEET_FLEET_SIMULATION_H_
#define HYSSOPBARROW_TESTS_FLEET_FLEET_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Policy/entry.h"
#include "Standalone/row_store.h"
#include "Standalone/task_target.h"

namespace hyssopbarrow::fleet {

/// What may go wrong, as shares of messages.
struct FaultSettings {
  double lost_reply_share = 0;    ///< The request takes effect, nobody answers.
  double late_request_share = 0;  ///< Unanswered, carried out 2 to 8 s later.
};

/// Several entry hosts, a store, targets and callers in virtual time, one seed
/// deciding everything. Checks the promises as the targets and callers see
/// them; each breach is a line in `breaches`.
class FleetSimulation {
 public:
  FleetSimulation(std::uint64_t seed, int entries, int targets);

  /// Lets `duration` pass.
  void Run(Duration duration);

  /// Calls `action` after `delay`.
  void ScheduleAfter(Duration delay, std::function<void()> action);

  /// Hands in a job at some entry host, again until it is accepted.
  void Submit(const std::string& id, JobSpec spec);
  void Cancel(const std::string& id);

  /// Processor shares of the entry hosts, from their next lives on.
  std::vector<std::int64_t> cpu_milli;

  void KillEntry(int n);  ///< A new life starts 0.5 s later.
  void StopEntry(int n);  ///< A planned stop; a new life 1 s later.
  void FreezeEntry(int n, Duration duration);
  void DisconnectFromStore(int n, bool cut) {
    entries_[ToIndex(n)].store_disconnected = cut;
  }
  void DisconnectFromTargets(int n, const std::set<int>& targets);
  void CrashTarget(int n);  ///< Silent for good; unlisted after 4.5 s.
  void SetStoreDown(bool down) { store_down_ = down; }
  void AddWave(Wave wave);

  /// What the host tells the load balancer.
  bool IsReady(int n) const { return IsServing(entry(n), CurrentTime().now); }

  std::int64_t UnixMs() const { return CurrentTime().unix_ms; }

  /// The entry host that owns the fleet, -1 if none does.
  int OwnerIndex() const;
  const EntryState& entry(int n) const { return *entries_[ToIndex(n)].core; }

  /// What the callers are shown; pending if nobody knows.
  JobState StateOf(const std::string& id) const;
  std::int64_t StartsOf(const TaskName& name) const;
  /// Most runs of one of the job's tasks that ended `failed`.
  std::int64_t FailuresOf(const std::string& id) const;
  std::size_t accepted_count() const { return accepted_jobs_.size(); }
  /// Starts after as many failed ends as a queue allows, all of which were
  /// acknowledged then or later.
  std::vector<std::string> StartsBeyondMaxAttempts() const;
  /// Tasks of jobs shown as completed of which no run has ended `done`.
  std::vector<std::string> UnfinishedTasksOfCompletedJobs() const;
  bool IsWavePublishedAsCompleted(std::int64_t number) const;

  FaultSettings faults;
  std::set<std::string> failing_jobs;  ///< Jobs whose tasks fail everywhere.
  Duration task_duration = std::chrono::milliseconds(400);
  Duration stop_duration{};  ///< A target lists a run for so long after a stop.
  std::vector<std::string> violations;
  std::int64_t event_count = 0;  ///< Of all entry hosts.
  Duration decision_time{};      ///< Processor time of all decisions.

 private:
  struct SimulatedEntry {
    std::unique_ptr<EntryState> core;
    std::int64_t instance = 0;
    bool store_disconnected = false;
    std::set<int> disconnected_targets;
    std::int64_t frozen_until_us = 0;
    std::int64_t next_tick_us = 0;
  };

  struct SimulatedTarget {
    TaskTarget tasks;
    std::set<TaskName> stopping;
    bool down = false;
    bool listed = true;
    /// Ends up to here were listed before a lease ran out: acknowledging them
    /// later does not count.
    std::int64_t last_discarded_end = 0;
    /// Holds that wait for an end.
    std::vector<std::function<void()>> waiting_polls;
  };

  static std::size_t ToIndex(int n) { return static_cast<std::size_t>(n); }
  std::int64_t NowMs() const { return now_us_ / 1000; }
  std::int64_t TargetClockMs() const;
  EventTime CurrentTime() const;
  double Random();
  std::int64_t RandomLatencyUs();
  void StartEntry(int n);
  void RunEvent(int n, std::int64_t life,
                std::function<void(EntryState&, Effects&)> event);
  void ExecuteEffects(int n, const Effects& effects);
  void DeliverEvent(int n, std::function<void(EntryState&, Effects&)> event,
                    std::int64_t delay_us);
  StoreRows ReadTable(const ReadRows& request) const;
  StoreRows ChangesAfter(const WatchRows& request) const;
  void WatchTable(int n, std::int64_t life, const WatchRows& request,
                  std::int64_t until_us);
  void SendTargetRequest(int n, const TargetRequest& order);
  TargetReply ExecuteTargetRequest(int target, const TargetRequest& order);
  /// Ends a run some time after the order to stop it.
  void StopRunLater(int target, const TargetRequest& order);
  void RecordAcknowledgedEnds(int target, const TargetRequest& order);
  void SimulateRun(int target, const TargetRequest& order);
  void AnswerWaitingPolls(int target);
  void ExpireLease(int target);
  void CheckStart(int target, const TargetRequest& order);
  void CheckStop(const TaskName& name);
  void HandleCallReply(const CallReply& answer);
  void TrySubmit(const std::string& id);
  HostList MakeHostList() const;
  HostRequestResult ExecuteHostRequest(const HostRequest& order);
  void AddViolation(const std::string& text);

  std::mt19937_64 rng_;
  std::int64_t now_us_ = 0;
  std::multimap<std::int64_t, std::function<void()>> events_;
  std::vector<SimulatedEntry> entries_;
  std::vector<SimulatedTarget> targets_;
  RowStore store_;
  bool store_down_ = false;
  Configuration configuration_;
  std::map<std::int64_t, Wave> waves_;
  std::map<std::string, JobSpec> specs_;
  std::set<std::string> accepted_jobs_;
  std::set<std::string>
      cancelled_jobs_;  ///< Also if the caller has no answer yet.
  std::map<std::int64_t, std::string> call_jobs_;
  std::int64_t next_call_ = 1;
  std::map<TaskName, std::int64_t> starts_;
  std::map<TaskName, std::int64_t> failures_;
  std::map<TaskName, std::set<std::int64_t>> failed_runs_;
  std::map<TaskName, std::set<std::int64_t>> acknowledged_failures_;
  /// Starts after a task's last attempt, with the runs that had failed.
  std::vector<std::pair<TaskName, std::set<std::int64_t>>>
      starts_after_max_attempts_;
  std::set<TaskName> done_tasks_;          ///< Some run has ended `done`.
  std::set<TaskName> acknowledged_tasks_;  ///< And a hold has acknowledged it.
  std::int64_t hosts_in_maintenance_ = 0;
  std::set<std::string> maintained_hosts_;
};

/// A job of `count` equal tasks, with a second step of as many behind it if
/// `chained`.
JobSpec SimpleJob(std::int64_t count, bool chained);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_TESTS_FLEET_FLEET_SIMULATION_H_
