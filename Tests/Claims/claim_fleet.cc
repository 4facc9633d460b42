#include "claim_fleet.h"

#include <algorithm>
#include <variant>

#include "Model/text.h"
#include "Standalone/sample.h"

namespace hyssopbarrow {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHostCount = 4;
constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kNetworkDelay = milliseconds(1);
constexpr Duration kDrainTime = seconds(60);
constexpr std::int64_t kMaxSubmissions = 3;

Snapshot MakeSnapshot() {
  Snapshot snapshot = SampleSnapshot({}, "dc-0");
  snapshot.teams["namche"].ceiling = 1'000'000;
  snapshot.queues["book"].key_grace_ms = 24LL * 3600 * 1000;
  snapshot.queues["book"].timeout_ms = 5000;
  for (std::size_t n = 0; n < kHostCount * 4; ++n) {
    const std::string name = StrCat("target-", n);
    snapshot.hosts[name] = {.name = name,
                            .pool = "booking",
                            .data_centre = StrCat("dc-", n % kHostCount),
                            .rack = "rack-1",
                            .address = "127.0.0.1:1",
                            .slots = 200};
  }
  return snapshot;
}

std::string AnswerBody(std::int64_t request) {
  return StrCat("done ", request);
}

bool IsClaimWrite(const Transaction& transaction) {
  return !transaction.conditions.empty() &&
         transaction.conditions.front().key == kClaimPeriodKey &&
         transaction.writes.front().key.starts_with(kClaimPrefix);
}

}  // namespace

Fleet::Fleet(const FleetOptions& options)
    : options_(options), random_(options.seed), hosts_(kHostCount) {
  now_ = Instant(seconds(1));
  table_.Commit(LoadTransaction(MakeSnapshot()));
  requests_.resize(static_cast<std::size_t>(options.requests));
  for (std::size_t n = 0; n < kHostCount; ++n) StartHost(n);
}

Duration Fleet::RandomDuration(Duration low, Duration high) {
  return Duration(std::uniform_int_distribution<std::int64_t>(
      low.count(), high.count())(random_));
}

void Fleet::Schedule(Instant time, Action action) {
  actions_.emplace(time, std::move(action));
}

void Fleet::ScheduleOnHost(std::size_t host, Instant time, Action action) {
  const std::int64_t incarnation = hosts_[host].incarnation;
  Schedule(time, [this, host, incarnation, action = std::move(action)] {
    if (hosts_[host].incarnation != incarnation) return;
    const Instant resumed = hosts_[host].paused_until;
    if (now_ >= resumed) return action();
    ScheduleOnHost(host, resumed, action);
  });
}

void Fleet::RunUntil(Instant end) {
  while (!actions_.empty() && actions_.begin()->first <= end) {
    auto action = actions_.extract(actions_.begin());
    now_ = action.key();
    action.mapped()();
  }
  now_ = end;
}

void Fleet::StartHost(std::size_t host) {
  Host& started = hosts_[host];
  ++started.incarnation;
  started.paused_until = now_;
  started.node = std::make_unique<NodeState>(
      NodeIdentity{.name = StrCat("entry-", host),
                   .data_centre = StrCat("dc-", host),
                   .incarnation = started.incarnation});
  started.node->claims.limits = options_.limits;
  ScheduleTick(host);
}

void Fleet::ScheduleTick(std::size_t host) {
  ScheduleOnHost(host, now_ + kTickInterval, [this, host] {
    HandleHostEvent(host, Tick{});
    ScheduleTick(host);
  });
}

void Fleet::ScheduleFaults(Instant end) {
  for (Instant time = now_ + seconds(2); time < end;
       time += RandomDuration(seconds(1), seconds(5))) {
    Schedule(time, [this] {
      const std::size_t host = random_() % kHostCount;
      hosts_[host].paused_until =
          now_ + RandomDuration(milliseconds(300), seconds(8));
    });
  }
  for (Instant time = now_ + seconds(5); time < end;
       time += RandomDuration(seconds(5), seconds(15))) {
    Schedule(time, [this] { Kill(random_() % kHostCount); });
  }
  for (Instant time = now_ + seconds(10); time < end;
       time += RandomDuration(seconds(20), seconds(40))) {
    outages_.emplace_back(time, time + RandomDuration(seconds(1), seconds(10)));
  }
}

void Fleet::Kill(std::size_t host) {
  for (auto it = unanswered_submissions_.lower_bound({host, 0});
       it != unanswered_submissions_.end() && it->first.first == host;
       it = unanswered_submissions_.erase(it)) {
    const Submission& submission = submissions_[it->second];
    ++report_.unanswered;
    RequestOf(submission).gateway_killed = true;
    Resubmit(submission.request, host,
             RandomDuration(milliseconds(1), seconds(3)));
  }
  // Claims of answered calls may still have an outcome or release to write.
  for (const auto& [call, key] : hosts_[host].node->claims.key_by_call) {
    RequestOf(submissions_[submission_by_call_.at({host, call})])
        .gateway_killed = true;
  }
  StartHost(host);
}

bool Fleet::IsStoreDown() const {
  if (faults_ended_) return false;
  return std::any_of(outages_.begin(), outages_.end(), [&](const auto& outage) {
    return outage.first <= now_ && now_ < outage.second;
  });
}

void Fleet::HandleHostEvent(std::size_t host, const Event& event) {
  const Outbox out = HandleEvent(*hosts_[host].node, event, now_);
  auto delivery_time = [&] {
    return now_ + RandomDuration(microseconds(0), microseconds(200));
  };
  for (const StoreRequest& request : out.store_requests) {
    ScheduleOnHost(host, delivery_time(),
                   [this, host, request] { SendToStore(host, request); });
  }
  for (const WorkerSend& send : out.worker_sends) {
    ScheduleOnHost(host, delivery_time(),
                   [this, host, send] { SendToWorker(host, send); });
  }
  for (const CallAnswer& answer : out.call_answers) {
    ScheduleOnHost(host, delivery_time(),
                   [this, host, answer] { HandleAnswer(host, answer); });
  }
}

StoreReply Fleet::ApplyStoreRequest(const StoreRequest& request) {
  if (const auto* read = std::get_if<StoreRead>(&request.operation)) {
    if (read->prefix.starts_with(kClaimPrefix) &&
        read->prefix.size() > kClaimPrefix.size() + 3) {
      ++report_.read_backs;
    }
    return {.status = StoreStatus::kOk, .rows = table_.Read(read->prefix)};
  }
  const auto& transaction = std::get<Transaction>(request.operation);
  if (IsClaimWrite(transaction)) {
    ++report_.transactions;
    report_.row_writes += std::ssize(transaction.writes);
  }
  return table_.Commit(transaction);
}

void Fleet::SendToStore(std::size_t host, const StoreRequest& request) {
  auto send_reply = [=, this](Instant time, const StoreReply& reply) {
    ScheduleOnHost(host, time, [=, this] {
      HandleHostEvent(host, StoreReplied{request.id, reply});
    });
  };
  const Instant expiry = std::max(request.deadline, now_ + kNetworkDelay);
  const bool is_read = std::holds_alternative<StoreRead>(request.operation);
  const StoreReply no_reply{.status = is_read ? StoreStatus::kUnavailable
                                              : StoreStatus::kUnknown};
  const double fault_draw =
      options_.faults && !faults_ended_ ? RandomFraction() : 1;
  if (IsStoreDown()) {
    if (fault_draw < 0.5) return send_reply(expiry, no_reply);
    return send_reply(now_ + kNetworkDelay,
                      {.status = StoreStatus::kUnavailable});
  }
  if (fault_draw < 0.01) return send_reply(expiry, no_reply);
  if (fault_draw < 0.02) {
    Schedule(expiry + RandomDuration(milliseconds(1), seconds(8)),
             [=, this] { ApplyStoreRequest(request); });
    return send_reply(expiry, no_reply);
  }
  if (fault_draw < 0.05) {
    Schedule(now_ + kNetworkDelay, [=, this] { ApplyStoreRequest(request); });
    return send_reply(expiry, no_reply);
  }
  Schedule(now_ + kNetworkDelay, [=, this] {
    send_reply(now_ + kNetworkDelay, ApplyStoreRequest(request));
  });
}

void Fleet::SendToWorker(std::size_t host, const WorkerSend& send) {
  auto end_attempt = [=, this](
                         Instant time, SlotResult result,
                         const std::optional<RecordedAnswer>& answer = {}) {
    ScheduleOnHost(host, time, [=, this] {
      HandleHostEvent(host, AttemptEnded{send.attempt, result, answer});
    });
  };
  const double fault_draw = options_.faults && !faults_ended_
                                ? RandomFraction() / options_.worker_fault_scale
                                : 1;
  if (fault_draw < 0.03) {
    return end_attempt(now_ + kNetworkDelay, SlotResult::kUnreachable);
  }
  Submission& submission =
      submissions_[unanswered_submissions_.at({host, send.call})];
  submission.sent = true;
  RequestOf(submission).sent = true;
  const SlotResult broken = options_.report_broken_as_unreachable
                                ? SlotResult::kUnreachable
                                : SlotResult::kBroken;
  if (fault_draw < 0.06) return end_attempt(now_ + kNetworkDelay, broken);
  report_.send_delays.push_back(now_ - submission.arrived);
  const std::int64_t request = submission.request;
  ++RequestOf(submission).runs;
  const Instant end_time =
      now_ + RandomDuration(milliseconds(2), milliseconds(60));
  if (fault_draw < 0.09) return end_attempt(end_time, broken);
  if (fault_draw < 0.11) {
    return end_attempt(send.deadline, SlotResult::kTimedOut);
  }
  if (request % 20 == 0) return end_attempt(end_time, SlotResult::kSucceeded);
  end_attempt(end_time, SlotResult::kSucceeded,
              RecordedAnswer{200, "", AnswerBody(request)});
}

void Fleet::HandleAnswer(std::size_t host, const CallAnswer& answer) {
  auto call = unanswered_submissions_.find({host, answer.call});
  if (call == unanswered_submissions_.end()) return;
  Submission& submission = submissions_[call->second];
  unanswered_submissions_.erase(call);
  submission.answered = true;
  submission.outcome = answer.outcome;
  const bool was_sent_before = !submission.sent && submission.is_resubmission &&
                               RequestOf(submission).sent;
  if (answer.outcome == Outcome::kNotRun && was_sent_before) {
    ++report_.false_not_run_resubmissions;
  }
  const bool is_recorded = answer.attempt == 0 && answer.recorded.has_value();
  if (is_recorded) {
    ++report_.recorded;
    if (answer.recorded->body != AnswerBody(submission.request)) {
      ++report_.wrong_answers;
    }
  }
  if (answer.outcome == Outcome::kAnswered) return;
  if (RandomFraction() < 0.6) {
    Resubmit(submission.request, host,
             RandomDuration(milliseconds(1), seconds(2)));
  }
}

void Fleet::Submit(std::int64_t request, std::size_t host, bool is_last_try) {
  const std::size_t index = submissions_.size();
  const std::int64_t call = hosts_[host].next_call++;
  const std::int64_t submission_count =
      ++requests_[static_cast<std::size_t>(request)].submissions;
  submissions_.push_back({.request = request,
                          .host = host,
                          .arrived = now_,
                          .is_resubmission = submission_count > 1,
                          .is_last_try = is_last_try});
  unanswered_submissions_.emplace(CallKey{host, call}, index);
  submission_by_call_.emplace(CallKey{host, call}, index);
  const std::string key = options_.resubmit_same_key
                              ? StrCat(request)
                              : StrCat(request, " ", index);
  const bool is_resubmission = submissions_.back().is_resubmission;
  ScheduleOnHost(host, now_, [this, host, call, key, is_resubmission] {
    HandleHostEvent(host, CallArrived{.number = call,
                                      .queue = "book",
                                      .key = std::string(kSampleCallerKey),
                                      .idempotency_key = key,
                                      .unrepeatable = true,
                                      .resubmission = is_resubmission});
  });
  if (!options_.faults || faults_ended_ || RandomFraction() > 0.05) return;
  if (RandomFraction() < 0.5) {
    const Instant disconnect_time =
        now_ + RandomDuration(milliseconds(1), milliseconds(60));
    ScheduleOnHost(host, disconnect_time, [this, host, call] {
      HandleHostEvent(host, CallerDisconnected{call});
    });
  }
  Resubmit(request, host, RandomDuration(microseconds(1), milliseconds(100)));
}

void Fleet::Resubmit(std::int64_t request, std::size_t host, Duration delay) {
  if (faults_ended_) return;
  if (requests_[static_cast<std::size_t>(request)].submissions >=
      kMaxSubmissions) {
    return;
  }
  const std::size_t other =
      (host + 1 + random_() % (kHostCount - 1)) % kHostCount;
  Schedule(now_ + delay, [=, this] { Submit(request, other, false); });
}

FleetReport Fleet::Run() {
  RunUntil(now_ + seconds(1));
  const auto span = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(options_.requests) /
                                    options_.requests_per_second));
  const Instant end = now_ + span;
  for (std::int64_t n = 0; n < options_.requests; ++n) {
    Schedule(now_ + RandomDuration(Duration::zero(), span),
             [this, n] { Submit(n, random_() % kHostCount, false); });
  }
  if (options_.faults) ScheduleFaults(end);
  RunUntil(end + seconds(10));
  faults_ended_ = true;
  RunUntil(now_ + kDrainTime);
  for (std::int64_t n = 0; n < options_.requests; ++n) {
    if (requests_[static_cast<std::size_t>(n)].runs > 0) continue;
    Schedule(now_ + RandomDuration(Duration::zero(), seconds(10)),
             [this, n] { Submit(n, random_() % kHostCount, true); });
  }
  RunUntil(now_ + kDrainTime);
  FillReport();
  return std::move(report_);
}

void Fleet::FillReport() {
  report_.submissions = std::ssize(submissions_);
  for (const Submission& submission : submissions_) {
    const Request& request = RequestOf(submission);
    if (!submission.answered) continue;
    if (submission.outcome == Outcome::kAnswered) ++report_.answered;
    if (submission.outcome == Outcome::kUnknown) ++report_.unknown;
    if (submission.outcome != Outcome::kNotRun) {
      const bool is_blocked = submission.is_last_try && !request.sent;
      if (!is_blocked) continue;
      ++(request.gateway_killed ? report_.blocked_by_kill
                                : report_.blocked_without_kill);
      continue;
    }
    ++report_.not_run;
    if (submission.sent) ++report_.false_not_run;
  }
  for (const Request& request : requests_) {
    if (request.runs > 0) ++report_.requests_run;
    if (request.runs > 1) ++report_.second_runs;
  }
}

}  // namespace hyssopbarrow
