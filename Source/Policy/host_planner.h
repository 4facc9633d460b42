#ifndef HYSSOPBARROW_POLICY_HOST_PLANNER_H_
#define HYSSOPBARROW_POLICY_HOST_PLANNER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Hosts of a pool, as a number.
struct PoolDemand {
  double available_hosts = 0;  ///< Hosts that serve or are on their way.
  double required_hosts = 0;
};

/// One round of the steward: ends duties, plans waves and moves, gives orders.
class HostPlanner {
 public:
  HostPlanner(Owner& owner, Context& context);
  void PlanRound();

 private:
  Instant now() const { return context_.time.now; }
  TargetView* FindTargetOn(const HostView& host);
  bool IsSpare(const std::string& pool) const;
  /// Ends a duty whose host is back.
  void FinishOperation(HostView& host);
  void ReleaseHost(HostView& host);
  /// Stops placing tasks on a host so that it runs empty.
  void ReserveHost(HostView& host, HostOperation duty);
  bool IsTaskUnavailable(const TaskName& name, const Task& task) const;
  /// True if nobody else may be stopping tasks: this owner's lease is good,
  /// and what the owner before has stopped has ended.
  bool MayEvictTasks() const;
  /// Stops lasting tasks on a reserved target as far as their steps allow.
  void EvictTasks(TargetView& target);
  /// An earlier owner may have ordered a host just before. Two owners must
  /// not order one host in turn within the gap; a target that is heard and has
  /// been up for longer shows that there was no such order.
  bool MaySendHostRequest(const TargetView* target) const;
  std::int64_t CountHostsInMaintenance(std::int64_t wave) const;
  void PlanWave(std::int64_t number, WaveView& wave);
  double CpuUtilization(const HostView& host);
  double CountHosts(const std::string& pool) const;
  /// Work at hand by pool, in thousandths of a core.
  std::map<std::string, double> CpuDemandByPool() const;
  void PlanMoves();
  bool IsSaturatedPool(const std::string& pool) const;
  /// Hosts of `pool` that run nothing.
  std::vector<HostView*> FindEmptyHosts(const std::string& pool);
  bool WaitsForMaintenance(const HostView& host) const;
  void ReserveForMove(HostView& host, const std::string& pool, double want,
                      double have);
  void MoveHostsToPool(const std::string& name, PoolDemand& need,
                       std::map<std::string, PoolDemand>& needs);
  void MoveHostsToSparePool(const std::string& name, PoolDemand& need);
  bool IsEmpty(const TargetView* target) const;
  /// Empties a host on duty and gives the order once it is empty.
  void AdvanceOperation(HostView& host);
  /// Lets the operators read how far a wave is.
  void WriteWaveRow(std::int64_t number, WaveView& wave);

  Owner& owner_;
  HostManager& host_manager_;
  Context& context_;
  std::map<std::string, TargetView*> targets_by_host_;
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_HOST_PLANNER_H_
