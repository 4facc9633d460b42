#include "Standalone/embedded_fleet.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

constexpr Duration kShortestRun = milliseconds(1);
constexpr std::int64_t kApprovalMs = 60'000;

/// How long a run of the task takes; nothing for one that lasts.
std::optional<Duration> RunTime(const Row* job, const TaskName& task) {
  if (job == nullptr) return kShortestRun;
  const absl::StatusOr<JobRecord> record = ParseJobRecord(job->key, job->value);
  const auto step = static_cast<std::size_t>(task.step);
  if (!record.ok() || step >= record->spec.steps.size()) return kShortestRun;
  if (record->spec.steps[step].long_running) return std::nullopt;
  return std::max<Duration>(kShortestRun,
                            milliseconds(record->spec.steps[step].estimate_ms));
}

}  // namespace

EmbeddedFleet::EmbeddedFleet(EventLoop& loop, const FleetSample& sample)
    : loop_(loop), configuration_(sample.configuration) {
  for (const Target& it : sample.targets) targets_[it.id].entry = it;
}

void EmbeddedFleet::Read(const ReadRows& request,
                         std::function<void(StoreRows)> callback) {
  loop_.Defer([rows = ReadTable(request), callback = std::move(callback)] {
    callback(rows);
  });
}

void EmbeddedFleet::Watch(const WatchRows& request,
                          std::function<void(StoreRows)> callback) {
  const auto answer = [this, request, callback = std::move(callback)] {
    callback(store_.ChangesAfter(request));
  };
  const StoreRows news = store_.ChangesAfter(request);
  if (news.rows.empty() && !news.history_lost) {
    AddPendingReply(pending_watches_, request.wait, answer);
  } else {
    loop_.Defer(answer);
  }
}

void EmbeddedFleet::Commit(const CommitRows& request,
                           std::function<void(StoreRows)> callback) {
  loop_.Defer(
      [this, rows = store_.Commit(request), callback = std::move(callback)] {
        callback(rows);
        SendPendingReplies(pending_watches_);
      });
}

void EmbeddedFleet::Send(const TargetRequest& order,
                         std::function<void(TargetReply)> callback) {
  auto found = targets_.find(order.target);
  if (found == targets_.end()) {
    loop_.Defer([callback = std::move(callback)] {
      callback({.result = TargetResult::kNotSent});
    });
    return;
  }
  TaskTarget& target = found->second;
  EndRunsIfLeaseExpired(target, ClockMs());
  const bool had = target.runs.contains(order.task);
  const TargetReply reply = HandleTargetRequest(target, order, ClockMs());
  const bool done = reply.result == TargetResult::kDone;
  if (done && order.kind == TargetRequestKind::kStart && !had)
    ScheduleRunEnd(order);
  const bool waits = done && order.kind == TargetRequestKind::kPoll &&
                     order.wait > Duration::zero() && reply.ends.empty();
  if (!waits) {
    loop_.Defer([reply, callback = std::move(callback)] { callback(reply); });
    if (order.kind == TargetRequestKind::kStop)
      SendPendingReplies(pending_polls_[order.target]);
    return;
  }
  AddPendingReply(pending_polls_[order.target], order.wait,
                  [this, order, callback = std::move(callback)] {
                    TargetRequest look = order;
                    look.lease_until_ms.reset();
                    callback(HandleTargetRequest(targets_.at(order.target),
                                                 look, ClockMs()));
                  });
}

void EmbeddedFleet::RequestApproval(
    const ApprovalRequest& request,
    std::function<void(ApprovalReply)> callback) {
  ApprovalReply reply{.answered = true, .valid_ms = kApprovalMs};
  for (const std::string& it : request.targets) reply.tickets[it] = "embedded";
  loop_.Defer([reply, callback = std::move(callback)] { callback(reply); });
}

void EmbeddedFleet::FetchHosts(const ListHosts&,
                               std::function<void(HostList)> callback) {
  loop_.Defer(
      [callback = std::move(callback)] { callback({.answered = true}); });
}

void EmbeddedFleet::Send(const HostRequest&,
                         std::function<void(HostRequestResult)> callback) {
  loop_.Defer([callback = std::move(callback)] {
    callback(HostRequestResult::kInvalid);
  });
}

StoreRows EmbeddedFleet::ReadTable(const ReadRows& request) const {
  StoreRows out = store_.Read(request);
  if (request.table == Table::kConfiguration) {
    out.configuration = configuration_;
  } else if (request.table == Table::kTargets) {
    for (const auto& [id, target] : targets_) {
      out.targets.push_back(target.entry);
    }
  }
  return out;
}

std::int64_t EmbeddedFleet::ClockMs() const {
  return std::chrono::duration_cast<milliseconds>(
             SteadyNow().time_since_epoch())
      .count();
}

void EmbeddedFleet::AddPendingReply(std::vector<PendingReply>& list,
                                    Duration wait,
                                    std::function<void()> answer) {
  const auto number = std::make_shared<TimerId>();
  const TimerId timer =
      loop_.CallAt(SteadyNow() + wait, [&list, number, answer] {
        std::erase_if(
            list, [&](const PendingReply& it) { return it.timer == *number; });
        answer();
      });
  *number = timer;
  list.push_back({.timer = timer, .send = std::move(answer)});
}

void EmbeddedFleet::SendPendingReplies(std::vector<PendingReply>& list) {
  std::vector<PendingReply> waiting;
  waiting.swap(list);
  for (const PendingReply& it : waiting) {
    loop_.CancelTimer(it.timer);
    loop_.Defer(it.send);
  }
}

void EmbeddedFleet::ScheduleRunEnd(const TargetRequest& order) {
  const std::optional<Duration> time =
      RunTime(store_.Find({Table::kJobs, order.task.job}), order.task);
  if (!time.has_value()) return;
  loop_.CallAt(SteadyNow() + *time, [this, id = order.target, task = order.task,
                                     run = order.run] {
    TaskTarget& target = targets_.at(id);
    EndRunsIfLeaseExpired(target, ClockMs());
    const bool ended = EndRun(target, task, run, RunEndKind::kDone);
    if (ended) SendPendingReplies(pending_polls_[id]);
  });
}

}  // namespace hyssopbarrow::fleet
