#include "Standalone/embedded_fleet.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

constexpr Duration kMinRunDuration = milliseconds(1);
constexpr std::int64_t kApprovalValidMs = 60'000;

/// Duration of a run of the task; empty for a long-running task.
std::optional<Duration> RunDuration(const Row* job, const TaskName& task) {
  if (job == nullptr) return kMinRunDuration;
  const absl::StatusOr<JobRecord> record = ParseJobRecord(job->key, job->value);
  const auto step = static_cast<std::size_t>(task.step);
  if (!record.ok() || step >= record->spec.steps.size()) return kMinRunDuration;
  if (record->spec.steps[step].long_running) return std::nullopt;
  return std::max<Duration>(kMinRunDuration,
                            milliseconds(record->spec.steps[step].estimate_ms));
}

}  // namespace

EmbeddedFleet::EmbeddedFleet(EventLoop& loop, const FleetSample& sample)
    : loop_(loop), configuration_(sample.configuration) {
  for (const Target& target : sample.targets) {
    targets_[target.id].entry = target;
  }
}

void EmbeddedFleet::Read(const ReadRows& request,
                         std::function<void(StoreRows)> callback) {
  loop_.Defer([rows = ReadTable(request), callback = std::move(callback)] {
    callback(rows);
  });
}

void EmbeddedFleet::Watch(const WatchRows& request,
                          std::function<void(StoreRows)> callback) {
  const auto send_reply = [this, request, callback = std::move(callback)] {
    callback(store_.ChangesAfter(request));
  };
  const StoreRows changes = store_.ChangesAfter(request);
  if (changes.rows.empty() && !changes.history_lost) {
    AddPendingReply(pending_watches_, request.wait, send_reply);
  } else {
    loop_.Defer(send_reply);
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

void EmbeddedFleet::Send(const TargetRequest& request,
                         std::function<void(TargetReply)> callback) {
  auto found = targets_.find(request.target);
  if (found == targets_.end()) {
    loop_.Defer([callback = std::move(callback)] {
      callback({.result = TargetResult::kNotSent});
    });
    return;
  }
  TaskTarget& target = found->second;
  EndRunsIfLeaseExpired(target, ClockMs());
  const bool had_run = target.runs.contains(request.task);
  const TargetReply reply = HandleTargetRequest(target, request, ClockMs());
  const bool done = reply.result == TargetResult::kDone;
  if (done && request.kind == TargetRequestKind::kStart && !had_run) {
    ScheduleRunEnd(request);
  }
  const bool waits_for_end = done && request.kind == TargetRequestKind::kPoll &&
                             request.wait > Duration::zero() &&
                             reply.ends.empty();
  if (!waits_for_end) {
    loop_.Defer([reply, callback = std::move(callback)] { callback(reply); });
    if (request.kind == TargetRequestKind::kStop) {
      SendPendingReplies(pending_polls_[request.target]);
    }
    return;
  }
  AddPendingReply(pending_polls_[request.target], request.wait,
                  [this, request, callback = std::move(callback)] {
                    // The lease was already extended when the poll arrived.
                    TargetRequest repeated = request;
                    repeated.lease_until_ms.reset();
                    callback(HandleTargetRequest(targets_.at(request.target),
                                                 repeated, ClockMs()));
                  });
}

void EmbeddedFleet::RequestApproval(
    const ApprovalRequest& request,
    std::function<void(ApprovalReply)> callback) {
  ApprovalReply reply{.answered = true, .valid_ms = kApprovalValidMs};
  for (const std::string& target : request.targets) {
    reply.tickets[target] = "embedded";
  }
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
                                    Duration wait, std::function<void()> send) {
  const auto timer_id = std::make_shared<TimerId>();
  const TimerId timer =
      loop_.CallAt(SteadyNow() + wait, [&list, timer_id, send] {
        std::erase_if(list, [&](const PendingReply& reply) {
          return reply.timer == *timer_id;
        });
        send();
      });
  *timer_id = timer;
  list.push_back({.timer = timer, .send = std::move(send)});
}

void EmbeddedFleet::SendPendingReplies(std::vector<PendingReply>& list) {
  std::vector<PendingReply> replies;
  replies.swap(list);
  for (const PendingReply& reply : replies) {
    loop_.CancelTimer(reply.timer);
    loop_.Defer(reply.send);
  }
}

void EmbeddedFleet::ScheduleRunEnd(const TargetRequest& request) {
  const std::optional<Duration> duration =
      RunDuration(store_.Find({Table::kJobs, request.task.job}), request.task);
  if (!duration.has_value()) return;
  loop_.CallAt(
      SteadyNow() + *duration,
      [this, id = request.target, task = request.task, run = request.run] {
        TaskTarget& target = targets_.at(id);
        EndRunsIfLeaseExpired(target, ClockMs());
        const bool ended = EndRun(target, task, run, RunEndKind::kDone);
        if (ended) SendPendingReplies(pending_polls_[id]);
      });
}

}  // namespace hyssopbarrow::fleet
