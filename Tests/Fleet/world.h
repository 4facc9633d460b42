#ifndef HYSSOPBARROW_TESTS_FLEET_WORLD_H_
#define HYSSOPBARROW_TESTS_FLEET_WORLD_H_

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
struct Trouble {
  double lost_replies = 0;  ///< The request takes effect, nobody answers.
  double late_orders = 0;   ///< Unanswered, carried out 2 to 8 s later.
};

/// Several entry hosts, a store, targets and callers in virtual time, one seed
/// deciding everything. Checks the promises as the targets and callers see
/// them; each breach is a line in `breaches`.
class World {
 public:
  World(std::uint64_t seed, int entries, int targets);

  /// Lets `duration` pass.
  void Run(Duration duration);

  /// Calls `action` after `delay`.
  void After(Duration delay, std::function<void()> action);

  /// Hands in a job at some entry host, again until it is accepted.
  void Submit(const std::string& id, JobSpec spec);
  void Cancel(const std::string& id);

  /// Processor shares of the entry hosts, from their next lives on.
  std::vector<std::int64_t> cpu_milli;

  void KillEntry(int n);  ///< A new life starts 0.5 s later.
  void StopEntry(int n);  ///< A planned stop; a new life 1 s later.
  void FreezeEntry(int n, Duration duration);
  void CutFromStore(int n, bool cut) { entries_[At(n)].no_store = cut; }
  void CutFromTargets(int n, const std::set<int>& targets);
  void CrashTarget(int n);  ///< Silent for good; unlisted after 4.5 s.
  void SetStoreDown(bool down) { store_down_ = down; }
  void AddWave(Wave wave);

  /// What the host tells the load balancer.
  bool IsReady(int n) const { return IsServing(entry(n), MomentNow().now); }

  std::int64_t UnixMs() const { return MomentNow().unix_ms; }

  /// The entry host that owns the fleet, -1 if none does.
  int OwnerIndex() const;
  const Entry& entry(int n) const { return *entries_[At(n)].core; }

  /// What the callers are shown; pending if nobody knows.
  JobState StateOf(const std::string& id) const;
  std::int64_t StartsOf(const TaskName& name) const;
  /// Most runs of one of the job's tasks that ended `failed`.
  std::int64_t FailuresOf(const std::string& id) const;
  std::size_t accepted() const { return accepted_.size(); }
  /// Starts after as many failed ends as a queue allows, all of which were
  /// acknowledged then or later.
  std::vector<std::string> StartsBeyondAttempts() const;
  /// Tasks of jobs shown as completed of which no run has ended `done`.
  std::vector<std::string> WronglyCompleted() const;
  bool WaveShownCompleted(std::int64_t number) const;

  Trouble trouble;
  std::set<std::string> hopeless;  ///< Jobs whose tasks fail everywhere.
  Duration task_time = std::chrono::milliseconds(400);
  Duration stop_time{};  ///< A target lists a run for so long after a stop.
  std::vector<std::string> breaches;
  std::int64_t events = 0;  ///< Of all entry hosts.
  Duration spent{};         ///< Processor time of all decisions.

 private:
  struct EntryHost {
    std::unique_ptr<Entry> core;
    std::int64_t life = 0;
    bool no_store = false;
    std::set<int> no_targets;
    std::int64_t frozen_until = 0;
    std::int64_t next_tick = 0;
  };

  struct TargetHere {
    TaskTarget tasks;
    std::set<TaskName> stopping;
    bool dead = false;
    bool listed = true;
    /// Ends up to here were listed before a lease ran out: acknowledging them
    /// later does not count.
    std::int64_t void_up_to = 0;
    /// Holds that wait for an end.
    std::vector<std::function<void()>> waiting;
  };

  static std::size_t At(int n) { return static_cast<std::size_t>(n); }
  std::int64_t NowMs() const { return now_us_ / 1000; }
  std::int64_t TargetClockMs() const;
  Moment MomentNow() const;
  double Random();
  std::int64_t Latency();
  void StartEntry(int n);
  void Do(int n, std::int64_t life,
          std::function<void(Entry&, Effects&)> event);
  void Execute(int n, const Effects& effects);
  void Deliver(int n, std::function<void(Entry&, Effects&)> event,
               std::int64_t delay_us);
  StoreRows ReadTable(const ReadRows& request) const;
  StoreRows ChangesAfter(const WatchRows& request) const;
  void Watch(int n, std::int64_t life, const WatchRows& request,
             std::int64_t until_us);
  void Send(int n, const TargetOrder& order);
  OrderReply Carry(int target, const TargetOrder& order);
  /// Ends a run some time after the order to stop it.
  void StopLater(int target, const TargetOrder& order);
  void NoteEnds(int target, const TargetOrder& order);
  void Started(int target, const TargetOrder& order);
  void Ended(int target);
  void CheckLease(int target);
  void CheckStart(int target, const TargetOrder& order);
  void CheckStop(const TaskName& name);
  void Answered(const CallAnswered& answer);
  void Try(const std::string& id);
  HostList Hosts() const;
  HostResult CarryHost(const HostOrder& order);
  void Breach(const std::string& text);

  std::mt19937_64 rng_;
  std::int64_t now_us_ = 0;
  std::multimap<std::int64_t, std::function<void()>> events_;
  std::vector<EntryHost> entries_;
  std::vector<TargetHere> targets_;
  RowStore store_;
  bool store_down_ = false;
  Configuration configuration_;
  std::map<std::int64_t, Wave> waves_;
  std::map<std::string, JobSpec> specs_;
  std::set<std::string> accepted_;
  std::set<std::string> cancelled_;  ///< Also if the caller has no answer yet.
  std::map<std::int64_t, std::string> call_jobs_;
  std::int64_t next_call_ = 1;
  std::map<TaskName, std::int64_t> starts_;
  std::map<TaskName, std::int64_t> failures_;
  std::map<TaskName, std::set<std::int64_t>> failed_runs_;
  std::map<TaskName, std::set<std::int64_t>> noted_failures_;
  /// Starts after a task's last attempt, with the runs that had failed.
  std::vector<std::pair<TaskName, std::set<std::int64_t>>> late_starts_;
  std::set<TaskName> done_;          ///< Some run has ended `done`.
  std::set<TaskName> acknowledged_;  ///< And a hold has acknowledged it.
  std::int64_t wave_out_ = 0;
  std::set<std::string> serviced_;
};

/// A job of `count` equal tasks, with a second step of as many behind it if
/// `chained`.
JobSpec SimpleJob(std::int64_t count, bool chained);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_TESTS_FLEET_WORLD_H_
