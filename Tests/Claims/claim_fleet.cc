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

constexpr std::size_t kHosts = 4;
constexpr Duration kTick = milliseconds(20);
constexpr Duration kHop = milliseconds(1);
constexpr Duration kDrain = seconds(60);
constexpr std::int64_t kMaxSubmissions = 3;

Snapshot FleetSnapshot() {
  Snapshot it = SampleSnapshot({}, "dc-0");
  it.teams["namche"].ceiling = 1'000'000;
  it.queues["book"].key_grace_ms = 24LL * 3600 * 1000;
  it.queues["book"].timeout_ms = 5000;
  for (std::size_t n = 0; n < kHosts * 4; ++n) {
    const std::string name = StrCat("target-", n);
    it.hosts[name] = {.name = name,
                      .pool = "booking",
                      .data_centre = StrCat("dc-", n % kHosts),
                      .rack = "rack-1",
                      .address = "127.0.0.1:1",
                      .slots = 200};
  }
  return it;
}

std::string BodyOf(std::int64_t request) { return StrCat("done ", request); }

bool IsForClaims(const Transaction& transaction) {
  return !transaction.conditions.empty() &&
         transaction.conditions.front().key == kClaimPeriodKey &&
         transaction.writes.front().key.starts_with(kClaimPrefix);
}

}  // namespace

Fleet::Fleet(const FleetOptions& options)
    : options_(options), random_(options.seed), hosts_(kHosts) {
  now_ = Instant(seconds(1));
  table_.Commit(LoadTransaction(FleetSnapshot()));
  requests_.resize(static_cast<std::size_t>(options.requests));
  for (std::size_t n = 0; n < kHosts; ++n) StartHost(n);
}

Duration Fleet::Between(Duration low, Duration high) {
  return Duration(std::uniform_int_distribution<std::int64_t>(
      low.count(), high.count())(random_));
}

void Fleet::At(Instant when, Action action) {
  actions_.emplace(when, std::move(action));
}

void Fleet::AtHost(std::size_t host, Instant when, Action action) {
  const std::int64_t incarnation = hosts_[host].incarnation;
  At(when, [this, host, incarnation, action = std::move(action)] {
    if (hosts_[host].incarnation != incarnation) return;
    const Instant resumed = hosts_[host].paused_until;
    if (now_ >= resumed) return action();
    AtHost(host, resumed, action);
  });
}

void Fleet::RunUntil(Instant end) {
  while (!actions_.empty() && actions_.begin()->first <= end) {
    auto it = actions_.extract(actions_.begin());
    now_ = it.key();
    it.mapped()();
  }
  now_ = end;
}

void Fleet::StartHost(std::size_t host) {
  Host& it = hosts_[host];
  ++it.incarnation;
  it.paused_until = now_;
  it.node = std::make_unique<NodeState>(
      NodeIdentity{.name = StrCat("entry-", host),
                   .data_centre = StrCat("dc-", host),
                   .incarnation = it.incarnation});
  it.node->claims.limits = options_.limits;
  ScheduleTick(host);
}

void Fleet::ScheduleTick(std::size_t host) {
  AtHost(host, now_ + kTick, [this, host] {
    Feed(host, Tick{});
    ScheduleTick(host);
  });
}

void Fleet::ScheduleFaults(Instant end) {
  for (Instant at = now_ + seconds(2); at < end;
       at += Between(seconds(1), seconds(5))) {
    At(at, [this] {
      const std::size_t host = random_() % kHosts;
      hosts_[host].paused_until = now_ + Between(milliseconds(300), seconds(8));
    });
  }
  for (Instant at = now_ + seconds(5); at < end;
       at += Between(seconds(5), seconds(15))) {
    At(at, [this] { Kill(random_() % kHosts); });
  }
  for (Instant at = now_ + seconds(10); at < end;
       at += Between(seconds(20), seconds(40))) {
    outages_.emplace_back(at, at + Between(seconds(1), seconds(10)));
  }
}

void Fleet::Kill(std::size_t host) {
  for (auto it = submission_by_call_.lower_bound({host, 0});
       it != submission_by_call_.end() && it->first.first == host;
       it = submission_by_call_.erase(it)) {
    const Submission& submission = submissions_[it->second];
    ++report_.unanswered;
    RequestOf(submission).lost = true;
    Resubmit(submission.request, host, Between(milliseconds(1), seconds(3)));
  }
  // Calls that were answered may still have a release to write.
  for (const auto& [call, key] : hosts_[host].node->claims.key_by_call) {
    RequestOf(submissions_[submission_of_call_.at({host, call})]).lost = true;
  }
  StartHost(host);
}

bool Fleet::IsStoreDown() const {
  if (quiet_) return false;
  return std::any_of(outages_.begin(), outages_.end(), [&](const auto& it) {
    return it.first <= now_ && now_ < it.second;
  });
}

void Fleet::Feed(std::size_t host, const Event& event) {
  const Outbox out = HandleEvent(*hosts_[host].node, event, now_);
  auto soon = [&] {
    return now_ + Between(microseconds(0), microseconds(200));
  };
  for (const StoreRequest& it : out.store_requests) {
    AtHost(host, soon(), [this, host, it] { SendToStore(host, it); });
  }
  for (const WorkerSend& it : out.worker_sends) {
    AtHost(host, soon(), [this, host, it] { SendToWorker(host, it); });
  }
  for (const CallAnswer& it : out.call_answers) {
    AtHost(host, soon(), [this, host, it] { TakeAnswer(host, it); });
  }
}

StoreReply Fleet::Apply(const StoreRequest& request) {
  if (const auto* read = std::get_if<StoreRead>(&request.operation)) {
    if (read->prefix.starts_with(kClaimPrefix) &&
        read->prefix.size() > kClaimPrefix.size() + 3) {
      ++report_.read_backs;
    }
    return {.status = StoreStatus::kOk, .rows = table_.Read(read->prefix)};
  }
  const auto& transaction = std::get<Transaction>(request.operation);
  if (IsForClaims(transaction)) {
    ++report_.transactions;
    report_.row_writes += std::ssize(transaction.writes);
  }
  return table_.Commit(transaction);
}

void Fleet::SendToStore(std::size_t host, const StoreRequest& request) {
  auto reply = [=, this](Instant when, const StoreReply& it) {
    AtHost(host, when, [=, this] { Feed(host, StoreReplied{request.id, it}); });
  };
  const Instant expiry = std::max(request.deadline, now_ + kHop);
  const bool is_read = std::holds_alternative<StoreRead>(request.operation);
  const StoreReply none{.status = is_read ? StoreStatus::kUnavailable
                                          : StoreStatus::kUnknown};
  const double fate = options_.faults && !quiet_ ? Chance() : 1;
  if (IsStoreDown()) {
    if (fate < 0.5) return reply(expiry, none);
    return reply(now_ + kHop, {.status = StoreStatus::kUnavailable});
  }
  if (fate < 0.01) return reply(expiry, none);
  if (fate < 0.02) {
    At(expiry + Between(milliseconds(1), seconds(8)),
       [=, this] { Apply(request); });
    return reply(expiry, none);
  }
  if (fate < 0.05) {
    At(now_ + kHop, [=, this] { Apply(request); });
    return reply(expiry, none);
  }
  At(now_ + kHop, [=, this] { reply(now_ + kHop, Apply(request)); });
}

void Fleet::SendToWorker(std::size_t host, const WorkerSend& send) {
  auto end = [=, this](Instant when, SlotResult result,
                       const std::optional<RecordedAnswer>& answer = {}) {
    AtHost(host, when, [=, this] {
      Feed(host, AttemptEnded{send.attempt, result, answer});
    });
  };
  const double fate =
      options_.faults && !quiet_ ? Chance() / options_.worker_fault_scale : 1;
  if (fate < 0.03) return end(now_ + kHop, SlotResult::kUnreachable);
  Submission& submission =
      submissions_[submission_by_call_.at({host, send.call})];
  submission.sent = true;
  RequestOf(submission).sent = true;
  const SlotResult broken = options_.report_broken_as_unreachable
                                ? SlotResult::kUnreachable
                                : SlotResult::kBroken;
  if (fate < 0.06) return end(now_ + kHop, broken);
  report_.send_delays.push_back(now_ - submission.arrived);
  const std::int64_t request = submission.request;
  ++RequestOf(submission).runs;
  const Instant done = now_ + Between(milliseconds(2), milliseconds(60));
  if (fate < 0.09) return end(done, broken);
  if (fate < 0.11) return end(send.deadline, SlotResult::kTimedOut);
  if (request % 20 == 0) return end(done, SlotResult::kSucceeded);
  end(done, SlotResult::kSucceeded, RecordedAnswer{200, "", BodyOf(request)});
}

void Fleet::TakeAnswer(std::size_t host, const CallAnswer& answer) {
  auto call = submission_by_call_.find({host, answer.call});
  if (call == submission_by_call_.end()) return;
  Submission& it = submissions_[call->second];
  submission_by_call_.erase(call);
  it.answered = true;
  it.outcome = answer.outcome;
  const bool is_beside_run =
      !it.sent && it.is_resubmission && RequestOf(it).sent;
  if (answer.outcome == Outcome::kNotRun && is_beside_run) {
    ++report_.false_not_run_resubmissions;
  }
  const bool is_recorded = answer.attempt == 0 && answer.recorded.has_value();
  if (is_recorded) {
    ++report_.recorded;
    if (answer.recorded->body != BodyOf(it.request)) ++report_.wrong_answers;
  }
  if (answer.outcome == Outcome::kAnswered) return;
  if (Chance() < 0.6) {
    Resubmit(it.request, host, Between(milliseconds(1), seconds(2)));
  }
}

void Fleet::Submit(std::int64_t request, std::size_t host, bool is_last_try) {
  const std::size_t number = submissions_.size();
  const std::int64_t call = hosts_[host].next_call++;
  const std::int64_t number_of_request =
      ++requests_[static_cast<std::size_t>(request)].submissions;
  submissions_.push_back({.request = request,
                          .host = host,
                          .arrived = now_,
                          .is_resubmission = number_of_request > 1,
                          .is_last_try = is_last_try});
  submission_by_call_.emplace(CallKey{host, call}, number);
  submission_of_call_.emplace(CallKey{host, call}, number);
  const std::string key = options_.resubmit_same_key
                              ? StrCat(request)
                              : StrCat(request, " ", number);
  const bool again = submissions_.back().is_resubmission;
  AtHost(host, now_, [this, host, call, key, again] {
    Feed(host, CallArrived{.number = call,
                           .queue = "book",
                           .key = std::string(kSampleCallerKey),
                           .idempotency_key = key,
                           .unrepeatable = true,
                           .resubmission = again});
  });
  if (!options_.faults || quiet_ || Chance() > 0.05) return;
  if (Chance() < 0.5) {
    const Instant gone = now_ + Between(milliseconds(1), milliseconds(60));
    AtHost(host, gone,
           [this, host, call] { Feed(host, CallerDisconnected{call}); });
  }
  Resubmit(request, host, Between(microseconds(1), milliseconds(100)));
}

void Fleet::Resubmit(std::int64_t request, std::size_t host, Duration delay) {
  if (quiet_) return;
  if (requests_[static_cast<std::size_t>(request)].submissions >=
      kMaxSubmissions) {
    return;
  }
  const std::size_t other = (host + 1 + random_() % (kHosts - 1)) % kHosts;
  At(now_ + delay, [=, this] { Submit(request, other, false); });
}

FleetReport Fleet::Run() {
  RunUntil(now_ + seconds(1));
  const auto span = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(options_.requests) /
                                    options_.requests_per_second));
  const Instant end = now_ + span;
  for (std::int64_t n = 0; n < options_.requests; ++n) {
    At(now_ + Between(Duration::zero(), span),
       [this, n] { Submit(n, random_() % kHosts, false); });
  }
  if (options_.faults) ScheduleFaults(end);
  RunUntil(end + seconds(10));
  quiet_ = true;
  RunUntil(now_ + kDrain);
  for (std::int64_t n = 0; n < options_.requests; ++n) {
    if (requests_[static_cast<std::size_t>(n)].runs > 0) continue;
    At(now_ + Between(Duration::zero(), seconds(10)),
       [this, n] { Submit(n, random_() % kHosts, true); });
  }
  RunUntil(now_ + kDrain);
  FillReport();
  return std::move(report_);
}

void Fleet::FillReport() {
  report_.submissions = std::ssize(submissions_);
  for (const Submission& it : submissions_) {
    const Request& request = RequestOf(it);
    if (!it.answered) continue;
    if (it.outcome == Outcome::kAnswered) ++report_.answered;
    if (it.outcome == Outcome::kUnknown) ++report_.unknown;
    if (it.outcome != Outcome::kNotRun) {
      const bool is_blocked = it.is_last_try && !request.sent;
      if (!is_blocked) continue;
      ++(request.lost ? report_.blocked_by_kill : report_.blocked_without_kill);
      continue;
    }
    ++report_.not_run;
    if (it.sent) ++report_.false_not_run;
  }
  for (const Request& it : requests_) {
    if (it.runs > 0) ++report_.requests_run;
    if (it.runs > 1) ++report_.second_runs;
  }
}

}  // namespace hyssopbarrow
