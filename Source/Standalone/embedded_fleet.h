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

/// Initial contents of an embedded fleet.
struct FleetSample {
  Configuration configuration;
  std::vector<Target> targets;

  friend bool operator==(const FleetSample&, const FleetSample&) = default;
};

/// In-memory store and targets for `--standalone`. A task runs for the time
/// that its step estimates and ends with kDone; a long-running task runs until
/// it is stopped. There is no host provider, so no host is moved or maintained.
class EmbeddedFleet : public Backend {
 public:
  EmbeddedFleet(EventLoop& loop, const FleetSample& sample);

  void Read(const ReadRows& request,
            std::function<void(StoreRows)> callback) override;
  void Watch(const WatchRows& request,
             std::function<void(StoreRows)> callback) override;
  void Commit(const CommitRows& request,
              std::function<void(StoreRows)> callback) override;
  void Send(const TargetRequest& request,
            std::function<void(TargetReply)> callback) override;
  void RequestApproval(const ApprovalRequest& request,
                       std::function<void(ApprovalReply)> callback) override;
  void FetchHosts(const ListHosts& request,
                  std::function<void(HostList)> callback) override;
  void Send(const HostRequest& request,
            std::function<void(HostRequestResult)> callback) override;

 private:
  /// Reply to a request that waits for a change until `timer` fires.
  struct PendingReply {
    TimerId timer;
    std::function<void()> send;
  };

  StoreRows ReadTable(const ReadRows& request) const;
  std::int64_t ClockMs() const;
  /// Calls `send` after `wait`, or earlier on SendPendingReplies(list).
  void AddPendingReply(std::vector<PendingReply>& list, Duration wait,
                       std::function<void()> send);
  /// Sends all replies in `list` and cancels their timers.
  void SendPendingReplies(std::vector<PendingReply>& list);
  /// Ends the started run after its estimated duration.
  void ScheduleRunEnd(const TargetRequest& request);

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
