#ifndef HYSSOPBARROW_POLICY_STEWARD_PLAN_H_
#define HYSSOPBARROW_POLICY_STEWARD_PLAN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Hosts of a pool, as a number.
struct PoolNeed {
  double have = 0;  ///< Hosts that serve or are on their way.
  double want = 0;
};

/// One round of the steward: ends duties, plans waves and moves, gives orders.
class Plan {
 public:
  Plan(Owner& owner, Context& context);
  void Run();

 private:
  Instant now() const { return context_.at.now; }
  TargetView* TargetOf(const HostView& host);
  bool IsSpare(const std::string& pool) const;
  /// Ends a duty whose host is back.
  void Settle(HostView& host);
  void Release(HostView& host);
  /// Stops placing tasks on a host so that it runs empty.
  void Reserve(HostView& host, Duty duty);
  bool IsAway(const TaskName& name, const Task& task) const;
  /// True if nobody else may be stopping tasks: this owner's lease is good,
  /// and what the owner before has stopped has ended.
  bool MayEvict() const;
  /// Stops lasting tasks on a reserved target as far as their steps allow.
  void Evict(TargetView& target);
  /// An earlier owner may have ordered a host just before. Two owners must
  /// not order one host in turn within the gap; a target that is heard and has
  /// been up for longer shows that there was no such order.
  bool MayOrderHost(const TargetView* target) const;
  std::int64_t CountOut(std::int64_t wave) const;
  void PlanWave(std::int64_t number, WaveView& wave);
  double UsedPart(const HostView& host);
  double HostsIn(const std::string& pool) const;
  /// Work at hand by pool, in thousandths of a core.
  std::map<std::string, double> Work() const;
  void PlanMoves();
  bool IsBusyPool(const std::string& pool) const;
  /// Hosts of `pool` that run nothing.
  std::vector<HostView*> EmptyHosts(const std::string& pool);
  bool WaitsForUpkeep(const HostView& host) const;
  void MoveTo(HostView& host, const std::string& pool, double want,
              double have);
  void Fill(const std::string& name, PoolNeed& need,
            std::map<std::string, PoolNeed>& needs);
  void Shed(const std::string& name, PoolNeed& need);
  bool IsEmpty(const TargetView* target) const;
  /// Empties a host on duty and gives the order once it is empty.
  void Act(HostView& host);
  /// Lets the operators read how far a wave is.
  void ShowWave(std::int64_t number, WaveView& wave);

  Owner& owner_;
  Steward& steward_;
  Context& context_;
  std::map<std::string, TargetView*> by_host_;
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_STEWARD_PLAN_H_
