#ifndef HYSSOPBARROW_POLICY_HOST_PLANNER_H_
#define HYSSOPBARROW_POLICY_HOST_PLANNER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Number of hosts that a pool has and needs; fractions are possible.
struct PoolDemand {
  double available_hosts = 0;  ///< In service or being moved to the pool.
  double needed_hosts = 0;     ///< For the present demand.
  double required_hosts = 0;   ///< Includes headroom.
};

/// Hosts that may be moved, by pool.
using EmptyHosts = std::map<std::string, std::vector<HostView*>>;

/// One planning round of the host manager: finishes host operations, plans
/// maintenance waves and moves, and sends requests to hosts.
class HostPlanner {
 public:
  HostPlanner(Owner& owner, Context& context);
  void PlanRound();
  /// Evicts tasks from a reserved host, and sends the move or maintenance
  /// request once the host is empty.
  void AdvanceOperation(HostView& host);

 private:
  Instant now() const { return context_.time.now; }
  /// Returns the target on `host`, listed or not; null if there is none.
  TargetView* FindTargetOn(const HostView& host);
  bool IsSpare(const std::string& pool) const;
  /// Ends the host's operation once the host list shows it done and the host
  /// up again.
  void FinishOperation(HostView& host);
  /// Ends the host's operation and allows tasks on its target again.
  void ReleaseHost(HostView& host);
  /// Keeps tasks off a host that a request of an earlier owner may take out of
  /// service, and allows them again after that.
  void ReserveForEarlierRequest(HostView& host);
  /// Begins `operation` on a host: stops the placement of tasks on it so that
  /// it becomes empty.
  void ReserveHost(HostView& host, HostOperation operation);
  /// True unless a responsive target runs the task at full speed.
  bool IsTaskUnavailable(const TaskName& name, const Task& task) const;
  /// True if no other owner may be stopping tasks: this owner's lease is valid,
  /// and tasks that the previous owner stopped have ended.
  bool MayEvictTasks() const;
  /// Stops long-running tasks on a reserved target, as many as their steps
  /// allow to be unavailable.
  /// Returns their number.
  std::int64_t EvictTasks(TargetView& target);
  /// Stops long-running tasks in evacuated data centres in the same way, one of
  /// a pool in a round, and gives up moves of hosts there.
  void LeaveEvacuatedDataCentres();
  /// True if the host's data centre is being evacuated.
  bool IsEvacuated(const HostView& host) const {
    return owner_.evacuation.data_centres.contains(host.host.data_centre);
  }
  /// True if a request for the host cannot interleave with one of an earlier
  /// owner.
  bool MaySendHostRequest(const HostView& host) const;
  /// Counts hosts that this wave's requests have taken out of service, hosts
  /// that are in maintenance for another reason, and hosts of the wave that a
  /// request of an earlier owner may still take out.
  std::int64_t CountHostsInMaintenance(std::int64_t wave) const;
  /// Reserves hosts for a wave, the least used first, and completes a wave
  /// whose hosts are all done.
  void PlanWave(std::int64_t number, WaveView& wave);
  /// Fraction of the CPU capacity of the host's target that runs use.
  double CpuUtilization(const HostView& host);
  double CountHosts(const std::string& pool) const;
  /// Counts the hosts of each pool, and finds those that wait for maintenance.
  void IndexHosts();
  /// CPU in use and CPU that startable tasks wait for, by pool, in thousandths
  /// of a core.
  std::map<std::string, double> CpuDemandByPool() const;
  /// Plans moves of empty hosts between pools, so that each pool has hosts for
  /// its CPU demand and some in reserve.
  void PlanMoves();
  /// True if the pool was short of hosts less than kKeepHostsAfterShortage
  /// ago.
  bool IsSaturatedPool(const std::string& pool) const;
  /// Hosts that run nothing and are not needed for maintenance.
  EmptyHosts FindEmptyHosts();
  /// True if a wave that is not completed still has to maintain the host.
  bool WaitsForMaintenance(const HostView& host) const {
    return hosts_to_maintain_.count(host.host.name) > 0;
  }
  void ReserveForMove(HostView& host, const std::string& pool,
                      double required_hosts, double available_hosts);
  /// Moves empty hosts to pools that have fewer than `level`, one at a time to
  /// the pool that has the smallest part of it.
  void MoveHostsToPools(double PoolDemand::*level,
                        std::map<std::string, PoolDemand>& demands,
                        EmptyHosts& empty);
  /// Removes from `empty` and returns a host that another pool can spare for
  /// pool `name`, from spare pools first; null if there is none.
  HostView* TakeEmptyHost(const std::string& name,
                          std::map<std::string, PoolDemand>& demands,
                          EmptyHosts& empty);
  /// Moves the hosts in `empty` that a pool does not need to a spare pool.
  void MoveHostsToSparePool(const std::string& name, PoolDemand& demand,
                            const std::vector<HostView*>& empty);
  bool IsEmpty(const TargetView* target) const;
  /// Writes the row from which operators read whether a wave is completed.
  void WriteWaveRow(std::int64_t number, WaveView& wave);

  Owner& owner_;
  HostManager& host_manager_;
  Context& context_;
  std::unordered_map<std::string_view, TargetView*> targets_by_host_;
  std::map<std::string, std::int64_t> host_count_by_pool_;
  std::unordered_set<std::string_view> hosts_to_maintain_;
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_HOST_PLANNER_H_
