#ifndef HYSSOPBARROW_TESTS_FLEET_FLEET_SIMULATION_H_
#define HYSSOPBARROW_TESTS_FLEET_FLEET_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Policy/entry.h"
#include "Standalone/row_store.h"
#include "Standalone/task_target.h"

namespace hyssopbarrow::fleet {

/// Shares of messages that are affected by a fault.
struct FaultSettings {
  double lost_reply_share = 0;    ///< The request takes effect without a reply.
  double late_request_share = 0;  ///< No reply; takes effect 2 to 8 s later.
};

/// How a target is cut off from all entry hosts.
enum class TargetCut {
  kNone,
  kReplies,   ///< Requests are executed; their replies are lost.
  kBothWays,  ///< Requests and replies are lost.
};

/// Simulates entry hosts, a store, targets and callers in virtual time. All
/// random choices follow from the seed. Checks the guarantees to targets and
/// callers, for example that no task runs twice at a time, and adds a line to
/// `violations` for each violation.
class FleetSimulation {
 public:
  /// The entry hosts know the limit on the rows of the store.
  FleetSimulation(std::uint64_t seed, int entries, int targets,
                  const StoreLimits& limits = {});

  /// Advances virtual time by `duration`.
  void Run(Duration duration);

  /// Calls `action` after `delay`.
  void ScheduleAfter(Duration delay, std::function<void()> action);

  /// Submits a job to a random entry host and retries until it is accepted.
  void Submit(const std::string& id, JobSpec spec);
  void Cancel(const std::string& id);

  /// CPU shares of the entry hosts; take effect at their next start.
  std::vector<std::int64_t> cpu_milli;
  /// Bandwidth of all entry hosts; takes effect as `cpu_milli`. With 0, no host
  /// carries target requests for another.
  std::int64_t link_mbps = 0;
  /// As TimingSettings::max_job_bytes; takes effect as `cpu_milli`.
  std::int64_t max_job_bytes = TimingSettings{}.max_job_bytes;

  void KillEntry(int n);  ///< Restarts 0.5 s later.
  void StopEntry(int n);  ///< Planned stop; restarts 1 s later.
  void FreezeEntry(int n, Duration duration);
  void DisconnectFromStore(int n, bool disconnected) {
    entries_[ToIndex(n)].store_disconnected = disconnected;
  }
  void DisconnectFromTargets(int n, const std::set<int>& targets);
  /// The store answers no watch of the table by entry host `n`.
  void StallWatches(int n, Table table, bool stalled);
  void StallJobWatches(int n, bool stalled) {
    StallWatches(n, Table::kJobs, stalled);
  }
  void CrashTarget(int n);  ///< Never replies again; unlisted after 4.5 s.
  /// Sets whether the list of hosts has the host of a target.
  void SetHostListed(int n, bool listed) {
    targets_[ToIndex(n)].host_listed = listed;
  }
  /// Crashes a target, which is back as another instance under the same id
  /// after `crash_duration`.
  void CrashAndRestartTarget(int n);
  /// As CrashAndRestartTarget, but the target is back after `down`.
  void RestartTarget(int n, Duration down);
  /// Cuts a target off from all entry hosts for `duration`.
  void CutOffTarget(int n, TargetCut cut, Duration duration);
  /// Sets the speed of a target's clock; 1 is that of the entry hosts. To be
  /// called before the first Run.
  void SetClockRate(int n, double rate) {
    targets_[ToIndex(n)].clock_rate = rate;
  }
  /// What a target says of itself.
  const Target& TargetEntry(int n) const {
    return targets_[ToIndex(n)].tasks.entry;
  }
  /// Replaces a target's row in the targets table by that of another writer.
  void ReplaceRow(int n, const Target& row) { targets_[ToIndex(n)].row = row; }
  /// Removes the row of a target, which continues to run.
  void RemoveRow(int n) { targets_[ToIndex(n)].row.reset(); }
  /// Writes the row of a target as the target itself does.
  void WriteRow(int n) { targets_[ToIndex(n)].row = TargetEntry(n); }
  /// Changes the capacity of a target while it runs.
  void SetCapacity(int n, Resources capacity);
  void SetStoreDown(bool down) { store_down_ = down; }
  void AddWave(Wave wave);
  /// Requests the evacuation of a data centre, or withdraws the request.
  void SetEvacuated(const std::string& data_centre, bool evacuated);
  /// Moves a target, before the first Run, to another data centre.
  void SetDataCentre(int n, const std::string& data_centre);

  /// Readiness as reported to the load balancer.
  bool IsReady(int n) const { return IsServing(entry(n), CurrentTime().now); }

  std::int64_t UnixMs() const { return CurrentTime().unix_ms; }

  /// Index of the entry host that owns the fleet; -1 if none does.
  int OwnerIndex() const;
  const EntryState& entry(int n) const { return *entries_[ToIndex(n)].state; }
  const RowStore& store() const { return store_; }
  /// Lowers the limits of the store, which the entry hosts are not told.
  void LimitStore(const StoreLimits& limits) { store_.SetLimits(limits); }

  /// State reported to callers; pending if there is no owner or no such job.
  JobState StateOf(const std::string& id) const;
  /// The owner's answer to a query for the number of waiting jobs.
  OwnerReply QueryWaiting() const;
  /// Index of a target that runs the task; -1 if none does.
  int TargetOf(const TaskName& name) const;
  std::int64_t StartsOf(const TaskName& name) const;
  /// Targets that crashed while they ran the task.
  std::int64_t CrashesUnder(const TaskName& name) const;
  /// Starts of the task after `crashes` targets had crashed under it.
  std::int64_t StartsAfterCrashes(const TaskName& name,
                                  std::int64_t crashes) const;
  /// Highest number of failed runs among the tasks of a job.
  std::int64_t FailuresOf(const std::string& id) const;
  std::size_t accepted_count() const { return accepted_jobs_.size(); }
  /// Tasks that were started although the maximum number of their runs had
  /// failed. Only failures that were acknowledged, before or after the start,
  /// count.
  std::vector<std::string> StartsBeyondMaxAttempts() const;
  /// Tasks without a successful run in jobs that are reported as completed.
  std::vector<std::string> UnfinishedTasksOfCompletedJobs() const;
  bool IsWavePublishedAsCompleted(std::int64_t number) const;

  FaultSettings faults;
  std::set<std::string> failing_jobs;  ///< Jobs whose tasks always fail.
  /// Tasks that crash each target `crash_delay` after it starts them.
  std::set<TaskName> deadly_tasks;
  Duration crash_delay = std::chrono::milliseconds(20);
  Duration crash_duration = std::chrono::milliseconds(3000);
  /// From the start of a target until its row is in the targets table.
  Duration entry_delay{};
  Duration task_duration = std::chrono::milliseconds(400);
  Duration stop_duration{};  ///< From a stop request to the end of the run.
  std::vector<std::string> violations;
  std::int64_t event_count = 0;    ///< Handled by all entry hosts.
  std::int64_t relayed_count = 0;  ///< Target requests carried by relays.
  Duration decision_time{};        ///< Spent in decision code.

 private:
  struct SimulatedEntry {
    std::unique_ptr<EntryState> state;  ///< Null while the host is down.
    std::int64_t instance = 0;
    bool store_disconnected = false;
    std::set<Table> stalled_tables;
    std::set<int> disconnected_targets;
    std::int64_t frozen_until_us = 0;
    std::int64_t next_tick_us = 0;
  };

  struct SimulatedTarget {
    TaskTarget tasks;
    std::set<TaskName> stopping;
    bool down = false;
    bool restarting = false;  ///< Down for a while after a crash.
    bool host_listed = true;  ///< In the list of hosts.
    /// In the targets table; another writer may have put it there.
    std::optional<Target> row;
    TargetCut cut = TargetCut::kNone;
    std::int64_t cut_until_us = 0;
    std::int64_t last_request_us = 0;  ///< When it last got a request.
    std::int64_t life = 0;             ///< Counts the starts of the target.
    std::int64_t started_us = 0;
    double clock_rate = 1;
    /// Numbers of ends that were listed when the lease expired.
    std::set<std::int64_t> lapsed_ends;
    /// Starts before then may exceed a capacity that has shrunk.
    std::int64_t capacity_binds_from_us = 0;
    /// Callbacks that answer polls which wait for an end.
    std::vector<std::function<void()>> waiting_polls;
  };

  static std::size_t ToIndex(int n) { return static_cast<std::size_t>(n); }
  std::int64_t NowMs() const { return now_us_ / 1000; }
  std::int64_t TargetClockMs(int target) const;
  /// Begins a new life of a target, with nothing of the one before.
  void StartTarget(int target, Target entry);
  TargetCut CutOf(int target) const;
  EventTime CurrentTime() const;
  double Random();
  std::int64_t RandomLatencyUs();
  void StartEntry(int n);
  void RunEvent(int n, std::int64_t instance,
                std::function<void(EntryState&, Effects&)> event);
  void ExecuteEffects(int n, const Effects& effects);
  void DeliverEvent(int n, std::function<void(EntryState&, Effects&)> event,
                    std::int64_t delay_us);
  StoreRows ReadTable(const ReadRows& request) const;
  StoreRows ChangesAfter(const WatchRows& request) const;
  void WatchTable(int n, std::int64_t instance, const WatchRows& request,
                  std::int64_t until_us);
  void SendTargetRequest(int n, const TargetRequest& request);
  /// True if the entry host can carry a target request.
  bool IsRelayUp(int n, std::int64_t instance) const;
  /// Tells entry host `n` that the relay of a request is lost.
  void DeliverRelayLost(int n, const TargetRequest& request);
  TargetReply ExecuteTargetRequest(int target,
                                   const TargetRequest& sent_request);
  /// Ends a run `stop_duration` after its stop request.
  void StopRunLater(int target, const TargetRequest& request);
  void RecordAcknowledgedEnds(int target, const TargetRequest& request);
  void SimulateRun(int target, const TargetRequest& request);
  void AnswerWaitingPolls(int target);
  void ExpireLease(int target);
  void CheckStart(int target, const TargetRequest& request);
  void CheckStop(const TaskName& name);
  void HandleCallReply(const CallReply& reply);
  void TrySubmit(const std::string& id);
  HostList MakeHostList() const;
  HostRequestResult ExecuteHostRequest(const HostRequest& request);
  void AddViolation(const std::string& text);

  std::mt19937_64 rng_;
  std::int64_t now_us_ = 0;
  std::multimap<std::int64_t, std::function<void()>> events_;
  std::vector<SimulatedEntry> entries_;
  std::vector<SimulatedTarget> targets_;
  std::int64_t max_row_bytes_;
  RowStore store_;
  bool store_down_ = false;
  Configuration configuration_;
  std::map<std::int64_t, Wave> waves_;
  std::set<std::string> evacuated_;
  std::vector<std::string> withdrawn_evacuations_;
  std::int64_t waves_revision_ = 0;  ///< Of the last change of `waves_`.
  std::map<std::string, JobSpec> specs_;
  std::set<std::string> accepted_jobs_;
  std::set<std::string> cancelled_jobs_;  ///< Including unanswered cancels.
  std::map<std::int64_t, std::string> call_jobs_;  ///< Job ids by call number.
  std::int64_t next_call_ = 1;
  std::map<TaskName, std::int64_t> starts_;
  std::map<TaskName, std::int64_t> crashes_;  ///< Of targets, by their tasks.
  /// Number of crashes before each start of a task.
  std::map<TaskName, std::vector<std::int64_t>> crashes_at_start_;
  std::map<TaskName, std::int64_t> failures_;
  std::map<TaskName, std::set<std::int64_t>> failed_runs_;
  std::map<TaskName, std::set<std::int64_t>> acknowledged_failures_;
  /// Tasks started after their last attempt, with the runs failed by then.
  std::vector<std::pair<TaskName, std::set<std::int64_t>>>
      starts_after_max_attempts_;
  std::map<TaskName, std::set<std::int64_t>> done_runs_;
  /// Runs that had ended as done when their task was started again.
  std::map<TaskName, std::set<std::int64_t>> done_runs_before_start_;
  std::set<TaskName> done_tasks_;          ///< At least one run succeeded.
  std::set<TaskName> acknowledged_tasks_;  ///< The success was acknowledged.
  std::int64_t hosts_in_maintenance_ = 0;
  std::set<std::string> maintained_hosts_;
};

/// A job with a step of `count` equal tasks. If `chained`, a second step of as
/// many tasks depends on it.
JobSpec SimpleJob(std::int64_t count, bool chained);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_TESTS_FLEET_FLEET_SIMULATION_H_
