#include "Standalone/fleet_stand_in.h"

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

FleetStandIn::FleetStandIn(EventLoop& loop, const FleetSample& sample)
    : loop_(loop), configuration_(sample.configuration) {
  for (const Target& it : sample.targets) targets_[it.id].entry = it;
}

void FleetStandIn::Read(const ReadRows& request,
                        std::function<void(StoreRows)> callback) {
  loop_.Defer([rows = ReadTable(request), callback = std::move(callback)] {
    callback(rows);
  });
}

void FleetStandIn::Watch(const WatchRows& request,
                         std::function<void(StoreRows)> callback) {
  const auto answer = [this, request, callback = std::move(callback)] {
    callback(store_.ChangesAfter(request));
  };
  const StoreRows news = store_.ChangesAfter(request);
  if (news.rows.empty() && !news.history_lost) {
    Keep(watches_, request.wait, answer);
  } else {
    loop_.Defer(answer);
  }
}

void FleetStandIn::Commit(const CommitRows& request,
                          std::function<void(StoreRows)> callback) {
  loop_.Defer(
      [this, rows = store_.Commit(request), callback = std::move(callback)] {
        callback(rows);
        AnswerAll(watches_);
      });
}

void FleetStandIn::Send(const TargetRequest& order,
                        std::function<void(TargetReply)> callback) {
  auto found = targets_.find(order.target);
  if (found == targets_.end()) {
    loop_.Defer([callback = std::move(callback)] {
      callback({.result = TargetResult::kNotSent});
    });
    return;
  }
  TaskTarget& target = found->second;
  EndLapsedRuns(target, ClockMs());
  const bool had = target.runs.contains(order.task);
  const TargetReply reply = Carry(target, order, ClockMs());
  const bool done = reply.result == TargetResult::kDone;
  if (done && order.kind == TargetRequestKind::kStart && !had) Started(order);
  const bool waits = done && order.kind == TargetRequestKind::kPoll &&
                     order.wait > Duration::zero() && reply.ends.empty();
  if (!waits) {
    loop_.Defer([reply, callback = std::move(callback)] { callback(reply); });
    if (order.kind == TargetRequestKind::kStop) AnswerAll(holds_[order.target]);
    return;
  }
  Keep(holds_[order.target], order.wait,
       [this, order, callback = std::move(callback)] {
         TargetRequest look = order;
         look.lease_until_ms.reset();
         callback(Carry(targets_.at(order.target), look, ClockMs()));
       });
}

void FleetStandIn::RequestApproval(
    const ApprovalRequest& request,
    std::function<void(ApprovalReply)> callback) {
  ApprovalReply reply{.answered = true, .valid_ms = kApprovalMs};
  for (const std::string& it : request.targets) reply.tickets[it] = "embedded";
  loop_.Defer([reply, callback = std::move(callback)] { callback(reply); });
}

void FleetStandIn::FetchHosts(const ListHosts&,
                              std::function<void(HostList)> callback) {
  loop_.Defer(
      [callback = std::move(callback)] { callback({.answered = true}); });
}

void FleetStandIn::Send(const HostRequest&,
                        std::function<void(HostRequestResult)> callback) {
  loop_.Defer([callback = std::move(callback)] {
    callback(HostRequestResult::kInvalid);
  });
}

StoreRows FleetStandIn::ReadTable(const ReadRows& request) const {
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

std::int64_t FleetStandIn::ClockMs() const {
  return std::chrono::duration_cast<milliseconds>(
             SteadyNow().time_since_epoch())
      .count();
}

void FleetStandIn::Keep(std::vector<Waiting>& list, Duration wait,
                        std::function<void()> answer) {
  const auto number = std::make_shared<TimerId>();
  const TimerId timer = loop_.CallAt(SteadyNow() + wait, [&list, number,
                                                          answer] {
    std::erase_if(list, [&](const Waiting& it) { return it.timer == *number; });
    answer();
  });
  *number = timer;
  list.push_back({.timer = timer, .answer = std::move(answer)});
}

void FleetStandIn::AnswerAll(std::vector<Waiting>& list) {
  std::vector<Waiting> waiting;
  waiting.swap(list);
  for (const Waiting& it : waiting) {
    loop_.CancelTimer(it.timer);
    loop_.Defer(it.answer);
  }
}

void FleetStandIn::Started(const TargetRequest& order) {
  const std::optional<Duration> time =
      RunTime(store_.Find({Table::kJobs, order.task.job}), order.task);
  if (!time.has_value()) return;
  loop_.CallAt(SteadyNow() + *time, [this, id = order.target, task = order.task,
                                     run = order.run] {
    TaskTarget& target = targets_.at(id);
    EndLapsedRuns(target, ClockMs());
    const bool ended = EndRun(target, task, run, RunEndKind::kDone);
    if (ended) AnswerAll(holds_[id]);
  });
}

}  // namespace hyssopbarrow::fleet
