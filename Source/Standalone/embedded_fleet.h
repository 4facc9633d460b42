#ifndef HYSSOPBARROW_STANDALONE_EMBEDDED_FLEET_H_
#define HYSSOPBARROW_STANDALONE_EMBEDDED_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Fleet/backend.h"
#include "Http/event_loop.h"
#include "Standalone/row_store.h"
#include "Standalone/task_target.h"

namespace hyssopbarrow::fleet {

/// What an embedded fleet consists of.
struct FleetSample {
  Configuration configuration;
  std::vector<Target> targets;

  friend bool operator==(const FleetSample&, const FleetSample&) = default;
};

/// Stand-in for the store and the targets of a fleet, in memory. A task runs
/// for the time its step estimates and ends `done`; one that lasts runs until
/// it is stopped. It has no host provider: nothing is moved or maintained.
class EmbeddedFleet : public Backend {
 public:
  EmbeddedFleet(EventLoop& loop, const FleetSample& sample);

  void Read(const ReadRows& request,
            std::function<void(StoreRows)> callback) override;
  void Watch(const WatchRows& request,
             std::function<void(StoreRows)> callback) override;
  void Commit(const CommitRows& request,
              std::function<void(StoreRows)> callback) override;
  void Send(const TargetRequest& order,
            std::function<void(TargetReply)> callback) override;
  void RequestApproval(const ApprovalRequest& request,
                       std::function<void(ApprovalReply)> callback) override;
  void FetchHosts(const ListHosts& request,
                  std::function<void(HostList)> callback) override;
  void Send(const HostRequest& order,
            std::function<void(HostRequestResult)> callback) override;

 private:
  /// A request that waits for news, until its timer.
  struct PendingReply {
    TimerId timer;
    std::function<void()> send;
  };

  StoreRows ReadTable(const ReadRows& request) const;
  std::int64_t ClockMs() const;
  /// Keeps `answer` for `wait`, or until the list is answered.
  void AddPendingReply(std::vector<PendingReply>& list, Duration wait,
                       std::function<void()> answer);
  void SendPendingReplies(std::vector<PendingReply>& list);
  void ScheduleRunEnd(const TargetRequest& order);

  EventLoop& loop_;
  Configuration configuration_;
  std::map<std::string, TaskTarget> targets_;
  RowStore store_;
  std::vector<PendingReply> pending_watches_;
  std::map<std::string, std::vector<PendingReply>>
      pending_polls_;  ///< By target.
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_STANDALONE_EMBEDDED_FLEET_H_
