#include "Replay/fleet.h"

#include <algorithm>
#include <utility>

#include "Model/text.h"
#include "Peer/codec.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kRefusalDelay = std::chrono::milliseconds(1);
constexpr Duration kLinkSilenceTimeout = std::chrono::seconds(2);
constexpr Duration kPlannedStopLimit = std::chrono::seconds(120);

/// Time until the balancer sees that a stopping entry host is not ready.
constexpr Duration kReadinessLag = std::chrono::seconds(1);

/// Time until the balancer sees that a paused entry host is unresponsive.
constexpr Duration kBalancerLag = std::chrono::seconds(3);

/// Steady clocks of entry hosts differ by up to this much.
constexpr int kMaxClockOffsetSeconds = 3600;

/// Open connections from one entry host to one worker.
constexpr int kPooledConnections = 1;

constexpr Duration kDrainTime = std::chrono::seconds(2);
constexpr double kMessageOverheadBytes = 48;  // IP, TCP and WebSocket headers

const Endpoint kStoreEndpoint{"store", "platform"};

double WireBytes(const PeerMessage& message) {
  return kMessageOverheadBytes +
         static_cast<double>(EncodeMessage(message).size());
}

bool IsAboutOneCall(const PeerMessage& message) {
  return std::holds_alternative<SlotRequest>(message) ||
         std::holds_alternative<SlotGrant>(message) ||
         std::holds_alternative<SlotRefusal>(message) ||
         std::holds_alternative<SlotRelease>(message) ||
         std::holds_alternative<SlotCancel>(message);
}

CallerOutcome ToCallerOutcome(Outcome outcome) {
  if (outcome == Outcome::kAnswered) return CallerOutcome::kAnswered;
  return outcome == Outcome::kNotRun ? CallerOutcome::kNotRun
                                     : CallerOutcome::kUnknown;
}

}  // namespace

Fleet::Fleet(Schedule& schedule, Network& network, FakeStore& store,
             FakeWorkers& workers, Checker& checker, std::mt19937_64& random)
    : schedule_(schedule),
      network_(network),
      store_(store),
      workers_(workers),
      checker_(checker),
      random_(random) {}

Instant Fleet::LocalTime(const Entry& entry) const {
  return schedule_.Now() + entry.clock_offset;
}

Fleet::Link& Fleet::LinkOf(const std::string& a, const std::string& b) {
  return links_[std::minmax(a, b)];
}

void Fleet::Start(const std::string& name, const std::string& data_centre) {
  Entry& entry = entries_[name];
  entry.endpoint = {name, data_centre};
  const bool first =
      std::none_of(seeds_.begin(), seeds_.end(), [&](const std::string& seed) {
        return entries_.at(seed).endpoint.data_centre == data_centre;
      });
  if (first) seeds_.insert(name);
  Restart(name);
}

void Fleet::Restart(const std::string& name) {
  Entry& entry = entries_.at(name);
  if (entry.node != nullptr) Kill(name);
  const std::int64_t incarnation = entry.incarnation + 1;
  entry = Entry{.endpoint = entry.endpoint, .incarnation = incarnation};
  entry.node = std::make_unique<NodeState>(
      NodeIdentity{.name = name,
                   .data_centre = entry.endpoint.data_centre,
                   .incarnation = incarnation,
                   .address = StrCat(name, ":7000")});
  entry.clock_offset = std::chrono::seconds(
      std::uniform_int_distribution<int>(0, kMaxClockOffsetSeconds)(random_));
  checker_.RecordEntryStart(name, entry.endpoint.data_centre, schedule_.Now());
  ScheduleTick(entry);
}

void Fleet::Kill(const std::string& name) {
  Entry& entry = entries_.at(name);
  if (entry.node == nullptr) return;
  entry.node = nullptr;
  entry.paused = false;
  entry.deferred_actions.clear();
  ++entry.incarnation;
  BreakLinks(name);
  std::vector<std::size_t> lost;
  for (std::size_t submission : checker_.record().open_submissions) {
    if (checker_.record().submissions[submission].entry == name) {
      lost.push_back(submission);
    }
  }
  checker_.RecordEntryKill(name);
  for (std::size_t submission : lost) {
    on_answer_(submission, CallerOutcome::kUnknown);
  }
}

void Fleet::BreakLinks(const std::string& name) {
  for (auto& [peer, entry] : entries_) {
    Link& link = LinkOf(name, peer);
    if (peer == name || !std::exchange(link.connected, false)) continue;
    RunOrDefer(entry, [this, &other = entry, name] {
      DeliverEvent(other, PeerLinkChanged{name, false});
    });
  }
}

void Fleet::Pause(const std::string& name, Duration duration) {
  Entry& entry = entries_.at(name);
  if (entry.node == nullptr || entry.paused) return;
  entry.paused = true;
  entry.paused_since = schedule_.Now();
  checker_.RecordEntryPause(name, schedule_.Now());
  schedule_.After(duration, [this, &entry, name, n = entry.incarnation] {
    if (entry.incarnation != n) return;
    entry.paused = false;
    checker_.RecordEntryResume(name, schedule_.Now());
    const bool timers_first = random_() % 2 == 0;
    if (timers_first) DeliverEvent(entry, Tick{});
    for (const auto& action : std::exchange(entry.deferred_actions, {})) {
      action();
    }
  });
}

void Fleet::Stop(const std::string& name) {
  Entry& entry = entries_.at(name);
  if (entry.node == nullptr) return;
  RunOrDefer(entry, [this, &entry, name] {
    entry.stopping = true;
    entry.stop_started = schedule_.Now();
    entry.stop_deadline = schedule_.Now() + kPlannedStopLimit;
    checker_.RecordStopStart(name);
    DeliverEvent(entry, StopRequested{kDrainTime});
  });
}

std::string Fleet::DispatcherOf(const CellId& cell) const {
  for (const auto& [name, entry] : entries_) {
    if (entry.node == nullptr || entry.paused) continue;
    if (entry.endpoint.data_centre != cell.data_centre) continue;
    return ResponsibleHost(entry.node->membership, cell, LocalTime(entry));
  }
  return "";
}

void Fleet::SilenceWorkerConnections() {
  for (auto& [name, entry] : entries_) {
    if (entry.node == nullptr) continue;
    for (const auto& [worker, row] : checker_.record().CurrentTable().hosts) {
      entry.silent_connections[worker] = kPooledConnections;
    }
  }
}

void Fleet::SilenceLink(const std::string& a, const std::string& b) {
  LinkOf(a, b).silent = true;
}

std::string Fleet::PickEntry(const std::string& data_centre) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  const Endpoint client{"client", data_centre};
  for (const auto& [name, entry] : entries_) {
    const bool known_stopping =
        entry.stopping && entry.stop_started + kReadinessLag < schedule_.Now();
    const bool ready = entry.node != nullptr && !known_stopping &&
                       entry.node->configuration.snapshot.has_value();
    const bool known_paused =
        entry.paused && entry.paused_since + kBalancerLag < schedule_.Now();
    if (!ready || known_paused) continue;
    if (!network_.Reaches(client, entry.endpoint)) continue;
    (entry.endpoint.data_centre == data_centre ? near : far).push_back(name);
  }
  const auto& candidates = near.empty() ? far : near;
  return candidates.empty() ? "" : candidates[random_() % candidates.size()];
}

void Fleet::SubmitCall(
    const std::string& name,
    const std::function<Arrival(const std::string&)>& submit) {
  Entry& entry = entries_.at(name);
  RunOrDefer(entry, [this, &entry, name, submit] {
    const Arrival arrival = submit(name);
    entry.arrivals[arrival.submission] = arrival;
    CallArrived call{
        .number = static_cast<std::int64_t>(arrival.submission) + 1,
        .queue = arrival.queue,
        .unrepeatable = arrival.unrepeatable,
        .resubmission = arrival.resubmission,
        .deadline = LocalTime(entry) + arrival.timeout};
    if (!arrival.key.empty()) call.key = arrival.key;
    if (!arrival.idempotency_key.empty()) {
      call.idempotency_key = arrival.idempotency_key;
    }
    DeliverEvent(entry, call);
  });
}

void Fleet::DisconnectCaller(const std::string& name, std::size_t submission) {
  Entry& entry = entries_.at(name);
  if (entry.node == nullptr) return;
  RunOrDefer(entry, [this, &entry, submission] {
    DeliverEvent(entry,
                 CallerDisconnected{static_cast<std::int64_t>(submission) + 1});
  });
}

bool Fleet::IsPaused(const std::string& name) const {
  return entries_.at(name).paused;
}

void Fleet::RunOrDefer(Entry& entry, Schedule::Action action) {
  if (entry.paused) {
    entry.deferred_actions.push_back(std::move(action));
  } else if (entry.node != nullptr) {
    action();
  }
}

void Fleet::RunOrDeferAt(Entry& entry, Instant instant,
                         Schedule::Action action) {
  schedule_.At(instant, [this, &entry, n = entry.incarnation,
                         action = std::move(action)] {
    if (entry.incarnation == n) RunOrDefer(entry, action);
  });
}

void Fleet::ScheduleTick(Entry& entry) {
  schedule_.After(kTickInterval, [this, &entry, n = entry.incarnation] {
    if (entry.incarnation != n) return;
    if (!entry.paused) DeliverEvent(entry, Tick{});
    ScheduleTick(entry);
  });
}

void Fleet::DeliverEvent(Entry& entry, const Event& event) {
  if (entry.node == nullptr) return;
  const Outbox out = HandleEvent(*entry.node, event, LocalTime(entry));
  const auto& snapshot = entry.node->configuration.snapshot;
  if (snapshot.has_value() && snapshot->revision != entry.adopted_revision) {
    entry.adopted_revision = snapshot->revision;
    checker_.RecordAdoption(entry.endpoint.name, *snapshot, schedule_.Now());
  }
  Execute(entry, out);
}

void Fleet::Execute(Entry& entry, const Outbox& out) {
  for (const PeerSend& effect : out.peer_sends) Execute(entry, effect);
  for (const StoreRequest& effect : out.store_requests) Execute(entry, effect);
  for (const WorkerCancel& effect : out.worker_cancels) Execute(entry, effect);
  for (const WorkerSend& effect : out.worker_sends) Execute(entry, effect);
  for (const CallAnswer& effect : out.call_answers) Execute(entry, effect);
}

void Fleet::Execute(Entry& entry, const PeerSend& send) {
  auto found = entries_.find(send.to);
  if (found == entries_.end()) return;
  Entry& to = found->second;
  const Link& link = LinkOf(entry.endpoint.name, send.to);
  if (!link.connected) return;
  PeerTraffic& traffic = traffic_[entry.endpoint.name];
  ++traffic.messages;
  const double size = WireBytes(send.message);
  traffic.bytes += size;
  if (!IsAboutOneCall(send.message)) traffic.control_bytes += size;
  const bool carried = !link.silent && to.node != nullptr &&
                       network_.Reaches(entry.endpoint, to.endpoint) &&
                       !network_.IsLost();
  if (!carried) return;
  const PeerMessageReceived event{{.from = entry.endpoint.name,
                                   .incarnation = entry.incarnation,
                                   .message = send.message}};
  const Instant arrival =
      network_.ArrivalTime(entry.endpoint, to.endpoint, schedule_.Now());
  RunOrDeferAt(to, arrival, [this, &to, event] { DeliverEvent(to, event); });
}

void Fleet::Execute(Entry& entry, const StoreRequest& request) {
  StoreRequest global = request;
  global.deadline = request.deadline - entry.clock_offset;
  auto reachable = [this, &entry] {
    return network_.Reaches(entry.endpoint, kStoreEndpoint);
  };
  store_.Serve(global, reachable,
               [this, &entry, n = entry.incarnation,
                id = request.id](const StoreReply& reply) {
                 if (entry.incarnation != n) return;
                 RunOrDefer(entry, [this, &entry, id, reply] {
                   DeliverEvent(entry, StoreReplied{id, reply});
                 });
               });
}

void Fleet::EndAttempt(Entry& entry, std::int64_t attempt, SlotResult result) {
  auto found = entry.attempts.find(attempt);
  if (found == entry.attempts.end()) return;
  const Attempt ended = found->second;
  entry.attempts.erase(found);
  const bool answered =
      result == SlotResult::kSucceeded || result == SlotResult::kFailed;
  if (answered) entry.answered_attempts[attempt] = ended.submission;
  DeliverEvent(entry, AttemptEnded{attempt, result});
}

void Fleet::Execute(Entry& entry, const WorkerSend& send) {
  const FakeWorker* worker = workers_.Find(send.host);
  const auto submission = static_cast<std::size_t>(send.call - 1);
  entry.attempts[send.attempt] = {
      .run = next_run_++, .host = send.host, .submission = submission};
  const Instant now = schedule_.Now();
  auto end_at = [&](Instant instant, SlotResult result) {
    RunOrDeferAt(entry, instant, [this, &entry, n = send.attempt, result] {
      EndAttempt(entry, n, result);
    });
  };
  const Instant deadline = send.deadline - entry.clock_offset;
  end_at(deadline, SlotResult::kTimedOut);
  if (worker == nullptr || worker->mode == WorkerMode::kUnreachable) {
    return end_at(now + kRefusalDelay, SlotResult::kUnreachable);
  }
  if (!network_.Reaches(entry.endpoint, worker->endpoint)) {
    return end_at(std::min(now + kConnectTimeout, deadline),
                  SlotResult::kUnreachable);
  }
  int& silent = entry.silent_connections[send.host];
  if (!send.unrepeatable && silent > 0) {
    --silent;
    return;
  }
  SendToWorker(entry, send, *worker);
}

void Fleet::SendToWorker(Entry& entry, const WorkerSend& send,
                         const FakeWorker& worker) {
  Attempt& attempt = entry.attempts.at(send.attempt);
  attempt.arrival =
      schedule_.Now() + network_.Delay(entry.endpoint, worker.endpoint);
  const WorkerTask task{
      .run = attempt.run,
      .submission = attempt.submission,
      .service_time = entry.arrivals.at(attempt.submission).service_time,
      .deadline = send.deadline - entry.clock_offset};
  auto reply = [this, &entry, n = entry.incarnation, id = send.attempt,
                endpoint = worker.endpoint](SlotResult result) {
    if (entry.incarnation != n) return;
    if (!network_.Reaches(entry.endpoint, endpoint)) return;
    const Instant arrival =
        schedule_.Now() + network_.Delay(endpoint, entry.endpoint);
    RunOrDeferAt(entry, arrival,
                 [this, &entry, id, result] { EndAttempt(entry, id, result); });
  };
  schedule_.At(attempt.arrival, [this, task, reply, name = send.host] {
    workers_.StartRun(name, task, reply);
  });
}

void Fleet::Execute(Entry& entry, const WorkerCancel& cancel) {
  auto found = entry.attempts.find(cancel.attempt);
  if (found == entry.attempts.end()) return;
  const Attempt attempt = found->second;
  entry.attempts.erase(found);
  const FakeWorker* worker = workers_.Find(attempt.host);
  if (worker == nullptr) return;
  const Instant arrival = std::max(
      attempt.arrival,
      schedule_.Now() + network_.Delay(entry.endpoint, worker->endpoint));
  schedule_.At(arrival, [this, run = attempt.run] { workers_.StopRun(run); });
}

void Fleet::Execute(Entry& entry, const CallAnswer& answer) {
  const auto submission = static_cast<std::size_t>(answer.call - 1);
  auto attempt = entry.answered_attempts.find(answer.attempt);
  const bool own =
      attempt != entry.answered_attempts.end() && attempt->second == submission;
  checker_.RecordAnswer({.submission = submission,
                         .outcome = answer.outcome,
                         .reason = answer.reason,
                         .from_own_run = own},
                        schedule_.Now());
  entry.arrivals.erase(submission);
  on_answer_(submission, ToCallerOutcome(answer.outcome));
}

bool Fleet::WantsLink(const Entry& from, const Entry& to) const {
  if (seeds_.contains(to.endpoint.name)) return true;
  const auto wanted = WantedLinks(from.node->membership, LocalTime(from));
  return std::any_of(wanted.begin(), wanted.end(), [&](const WantedLink& link) {
    return link.peer == to.endpoint.name;
  });
}

void Fleet::UpdateLink(Entry& a, Entry& b) {
  Link& link = LinkOf(a.endpoint.name, b.endpoint.name);
  const Instant now = schedule_.Now();
  const bool running = a.node != nullptr && b.node != nullptr;
  const bool reaches = network_.Reaches(a.endpoint, b.endpoint);
  const bool works = running && reaches && !a.paused && !b.paused &&
                     (WantsLink(a, b) || WantsLink(b, a));
  auto report_link = [&](bool connected) {
    RunOrDefer(a, [this, &a, connected, peer = b.endpoint.name] {
      DeliverEvent(a, PeerLinkChanged{peer, connected});
    });
    RunOrDefer(b, [this, &b, connected, peer = a.endpoint.name] {
      DeliverEvent(b, PeerLinkChanged{peer, connected});
    });
  };
  if (works && !link.silent) {
    link.broken = false;
    if (!std::exchange(link.connected, true)) report_link(true);
    return;
  }
  if (!std::exchange(link.broken, true)) link.broken_since = now;
  if (running && now < link.broken_since + kLinkSilenceTimeout) return;
  link.silent = false;
  if (std::exchange(link.connected, false)) report_link(false);
}

bool Fleet::ReachesStore(const Entry& entry) const {
  return entry.node != nullptr && !entry.paused && store_.AnswersPromptly() &&
         network_.Reaches(entry.endpoint, kStoreEndpoint);
}

void Fleet::RecordReachability(Entry& entry) {
  bool reachable = ReachesStore(entry);
  for (const auto& [name, peer] : entries_) {
    if (reachable) return;
    reachable = ReachesStore(peer) &&
                LinkOf(entry.endpoint.name, name).connected &&
                network_.Reaches(entry.endpoint, peer.endpoint);
  }
  if (!reachable) {
    checker_.RecordEntryUnreachable(entry.endpoint.name, schedule_.Now());
  }
}

void Fleet::UpdatePlannedStop(Entry& entry) {
  if (!entry.stopping || entry.paused) return;
  const auto& record = checker_.record();
  const bool busy = std::any_of(
      record.open_submissions.begin(), record.open_submissions.end(),
      [&](std::size_t submission) {
        return record.submissions[submission].entry == entry.endpoint.name;
      });
  const bool drained = entry.stop_started + kDrainTime < schedule_.Now();
  if ((busy || !drained) && schedule_.Now() < entry.stop_deadline) return;
  checker_.RecordStopEnd(entry.endpoint.name, schedule_.Now());
  Kill(entry.endpoint.name);
}

void Fleet::Observe() {
  for (auto a = entries_.begin(); a != entries_.end(); ++a) {
    for (auto b = std::next(a); b != entries_.end(); ++b) {
      UpdateLink(a->second, b->second);
    }
  }
  for (auto& [name, entry] : entries_) {
    if (entry.node == nullptr) continue;
    RecordReachability(entry);
    UpdatePlannedStop(entry);
  }
}

}  // namespace hyssopbarrow
