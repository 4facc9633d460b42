#include "Fleet/fleet_simulation.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "Model/text.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kUnixBaseMs = 1'790'000'000'000;
constexpr std::int64_t kTargetClockBaseMs = 500'000;
constexpr std::int64_t kRequestTimeoutUs = 700'000;
constexpr std::int64_t kRestartDelayUs = 500'000;
constexpr std::int64_t kUnlistDelayUs = 4'500'000;
constexpr std::int64_t kCallTimeoutUs = 3'000'000;
constexpr std::int64_t kRelayLostUs = 1'000'000;
/// Connections without a request for so long are closed.
constexpr std::int64_t kIdleConnectionUs = 5'000'000;
/// Longest lease that targets accept.
constexpr std::int64_t kMaxLeaseMs = 10'000;
/// How long starts may still exceed a capacity that has shrunk.
constexpr std::int64_t kCapacityGraceUs = 3'000'000;
constexpr std::int64_t kMaxAttempts = 2;
constexpr char kHostName[] = "jobs.example";

}  // namespace

JobSpec SimpleJob(std::int64_t count, bool chained) {
  JobSpec spec{.payload = "work"};
  const Step step{.count = count,
                  .resources = {.cpu_milli = 4000, .memory_mb = 100},
                  .estimate_ms = 400};
  spec.steps.push_back(step);
  if (chained) {
    spec.steps.push_back(step);
    spec.steps.back().depends_on = {0};
  }
  return spec;
}

FleetSimulation::FleetSimulation(std::uint64_t seed, int entries, int targets,
                                 const StoreLimits& limits)
    : rng_(seed),
      max_row_bytes_(static_cast<std::int64_t>(limits.max_row_bytes)),
      store_(limits) {
  configuration_.version = 1;
  configuration_.pools["desk"] = {.name = "desk"};
  configuration_.queues.push_back({.name = "book",
                                   .host_name = kHostName,
                                   .path_prefix = "/book/",
                                   .pool = "desk",
                                   .open = true,
                                   .max_attempts = kMaxAttempts,
                                   .slack_factor = 2,
                                   .latency_target_ms = 500});
  for (int n = 0; n < targets; ++n) {
    const std::string name = std::to_string(n);
    SimulatedTarget target;
    target.tasks.entry = {
        .id = StrCat("i-", name),
        .pool = "desk",
        .address = StrCat("10.0.0.", n + 1, ":80"),
        .data_centre = "a",
        .host = StrCat("m-", name),
        .started_unix_ms = kUnixBaseMs,
        .capacity = {.cpu_milli = 16000, .memory_mb = 100'000},
        .labels = {"a", StrCat("r", n / 2)}};
    target.row = target.tasks.entry;
    targets_.push_back(std::move(target));
  }
  entries_.resize(ToIndex(entries));
  for (int n = 0; n < entries; ++n) StartEntry(n);
}

EventTime FleetSimulation::CurrentTime() const {
  return {.now = Instant(Duration(now_us_ + 1'000'000'000)),
          .unix_ms = kUnixBaseMs + NowMs()};
}

std::int64_t FleetSimulation::TargetClockMs(int target) const {
  const SimulatedTarget& state = targets_[ToIndex(target)];
  const auto age_us = static_cast<double>(now_us_ - state.started_us);
  return kTargetClockBaseMs +
         static_cast<std::int64_t>(age_us * state.clock_rate / 1000);
}

TargetCut FleetSimulation::CutOf(int target) const {
  const SimulatedTarget& state = targets_[ToIndex(target)];
  return now_us_ < state.cut_until_us ? state.cut : TargetCut::kNone;
}

void FleetSimulation::CutOffTarget(int n, TargetCut cut, Duration duration) {
  SimulatedTarget& target = targets_[ToIndex(n)];
  target.cut = cut;
  target.cut_until_us = now_us_ + duration.count();
}

void FleetSimulation::StartTarget(int target, Target entry) {
  SimulatedTarget& state = targets_[ToIndex(target)];
  SimulatedTarget started;
  started.tasks.entry = std::move(entry);
  started.row = std::move(state.row);
  started.host_listed = state.host_listed;
  started.cut = state.cut;
  started.cut_until_us = state.cut_until_us;
  started.life = state.life + 1;
  started.started_us = now_us_;
  started.clock_rate = state.clock_rate;
  const std::int64_t life = started.life;
  state = std::move(started);
  const auto write_row = [this, target, life] {
    if (targets_[ToIndex(target)].life == life) WriteRow(target);
  };
  if (entry_delay > Duration::zero()) {
    ScheduleAfter(entry_delay, write_row);
  } else {
    write_row();
  }
}

double FleetSimulation::Random() {
  return std::uniform_real_distribution<double>(0, 1)(rng_);
}

std::int64_t FleetSimulation::RandomLatencyUs() {
  return 500 + static_cast<std::int64_t>(Random() * 3000);
}

void FleetSimulation::AddViolation(const std::string& text) {
  violations.push_back(StrCat("at ", NowMs(), " ms: ", text));
}

void FleetSimulation::StartEntry(int n) {
  SimulatedEntry& host = entries_[ToIndex(n)];
  ++host.instance;
  host.state = std::make_unique<EntryState>();
  host.state->timing.max_row_bytes = max_row_bytes_;
  host.state->timing.max_job_bytes = max_job_bytes;
  const std::string node = StrCat("node-", n);
  host.state->self = {.node = node,
                      .holder = StrCat(node, "@", host.instance),
                      .address = std::to_string(n),
                      .link_mbps = link_mbps,
                      .relay_address = std::to_string(n),
                      .data_centre = "a"};
  if (ToIndex(n) < cpu_milli.size()) {
    host.state->self.cpu_milli = cpu_milli[ToIndex(n)];
  }
  host.next_tick_us = now_us_;
}

void FleetSimulation::KillEntry(int n) {
  entries_[ToIndex(n)].state.reset();
  ++entries_[ToIndex(n)].instance;
  ScheduleAfter(Duration(kRestartDelayUs), [this, n] { StartEntry(n); });
}

void FleetSimulation::StopEntry(int n) {
  SimulatedEntry& host = entries_[ToIndex(n)];
  if (host.state == nullptr) return;
  RunEvent(n, host.instance, [this](EntryState& entry, Effects& out) {
    OnStop(entry, CurrentTime(), out);
  });
  ScheduleAfter(Duration(2 * kRestartDelayUs),
                [this, n, instance = host.instance] {
                  if (entries_[ToIndex(n)].instance == instance) KillEntry(n);
                });
}

void FleetSimulation::FreezeEntry(int n, Duration duration) {
  entries_[ToIndex(n)].frozen_until_us = now_us_ + duration.count();
}

void FleetSimulation::DisconnectFromTargets(int n,
                                            const std::set<int>& targets) {
  entries_[ToIndex(n)].disconnected_targets = targets;
}

void FleetSimulation::StallWatches(int n, Table table, bool stalled) {
  std::set<Table>& tables = entries_[ToIndex(n)].stalled_tables;
  if (stalled) {
    tables.insert(table);
  } else {
    tables.erase(table);
  }
}

void FleetSimulation::CrashTarget(int n) {
  targets_[ToIndex(n)].down = true;
  targets_[ToIndex(n)].tasks.runs.clear();
  ScheduleAfter(Duration(kUnlistDelayUs), [this, n] { RemoveRow(n); });
}

void FleetSimulation::CrashAndRestartTarget(int n) {
  RestartTarget(n, crash_duration);
}

void FleetSimulation::RestartTarget(int n, Duration down) {
  SimulatedTarget& target = targets_[ToIndex(n)];
  if (target.down) return;
  for (const auto& [name, run] : target.tasks.runs) ++crashes_[name];
  target.tasks.runs.clear();
  target.down = true;
  target.restarting = true;
  ScheduleAfter(down, [this, n] {
    Target entry = TargetEntry(n);
    entry.started_unix_ms = CurrentTime().unix_ms;
    StartTarget(n, std::move(entry));
  });
}

void FleetSimulation::SetCapacity(int n, Resources capacity) {
  SimulatedTarget& target = targets_[ToIndex(n)];
  const bool shrinks = !Fits(target.tasks.entry.capacity, capacity);
  target.tasks.entry.capacity = capacity;
  if (target.row.has_value()) target.row->capacity = capacity;
  if (shrinks) target.capacity_binds_from_us = now_us_ + kCapacityGraceUs;
}

void FleetSimulation::SetEvacuated(const std::string& data_centre,
                                   bool evacuated) {
  std::erase(withdrawn_evacuations_, data_centre);
  if (evacuated) {
    evacuated_.insert(data_centre);
  } else {
    evacuated_.erase(data_centre);
    withdrawn_evacuations_.push_back(data_centre);
  }
  waves_revision_ = std::max(waves_revision_, store_.revision()) + 1;
}

void FleetSimulation::SetDataCentre(int n, const std::string& data_centre) {
  SimulatedTarget& target = targets_[ToIndex(n)];
  target.tasks.entry.data_centre = data_centre;
  target.row = target.tasks.entry;
}

void FleetSimulation::AddWave(Wave wave) {
  waves_[wave.number] = std::move(wave);
  waves_revision_ = std::max(waves_revision_, store_.revision()) + 1;
}

void FleetSimulation::ScheduleAfter(Duration delay,
                                    std::function<void()> action) {
  events_.emplace(now_us_ + delay.count(), std::move(action));
}

void FleetSimulation::Run(Duration duration) {
  const std::int64_t end = now_us_ + duration.count();
  constexpr std::int64_t kStepUs = 1000;
  while (now_us_ < end) {
    now_us_ += kStepUs;
    while (!events_.empty() && events_.begin()->first <= now_us_) {
      auto node = events_.extract(events_.begin());
      node.mapped()();
    }
    for (int n = 0; n < static_cast<int>(targets_.size()); ++n) ExpireLease(n);
    for (int n = 0; n < static_cast<int>(entries_.size()); ++n) {
      SimulatedEntry& host = entries_[ToIndex(n)];
      const bool due = host.state != nullptr && host.next_tick_us <= now_us_ &&
                       host.frozen_until_us <= now_us_;
      if (!due) continue;
      RunEvent(n, host.instance, [this](EntryState& entry, Effects& out) {
        OnTick(entry, CurrentTime(), out);
      });
    }
  }
}

void FleetSimulation::RunEvent(
    int n, std::int64_t instance,
    std::function<void(EntryState&, Effects&)> event) {
  SimulatedEntry& host = entries_[ToIndex(n)];
  if (host.instance != instance || host.state == nullptr) return;
  if (host.frozen_until_us > now_us_) {
    events_.emplace(host.frozen_until_us,
                    [this, n, instance, event = std::move(event)] {
                      RunEvent(n, instance, event);
                    });
    return;
  }
  Effects effects;
  const auto began = std::chrono::steady_clock::now();
  event(*host.state, effects);
  const EventTime time = CurrentTime();
  const Duration wait = NextTick(*host.state, time.now) - time.now;
  decision_time += std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - began);
  ++event_count;
  host.next_tick_us = now_us_ + std::max<std::int64_t>(1000, wait.count());
  ExecuteEffects(n, effects);
}

void FleetSimulation::DeliverEvent(
    int n, std::function<void(EntryState&, Effects&)> event,
    std::int64_t delay_us) {
  ScheduleAfter(Duration(delay_us),
                [this, n, instance = entries_[ToIndex(n)].instance,
                 event = std::move(event)] { RunEvent(n, instance, event); });
}

void FleetSimulation::ExecuteEffects(int n, const Effects& effects) {
  const auto store = [this, n](std::int64_t id,
                               const std::function<StoreRows()>& call,
                               bool writes) {
    const auto answer = [this, id](const StoreRows& rows) {
      return [this, id, rows](EntryState& entry, Effects& out) {
        HandleStoreReply(entry, id, rows, CurrentTime(), out);
      };
    };
    if (store_down_ || entries_[ToIndex(n)].store_disconnected) {
      StoreRows none;
      none.status = writes ? StoreStatus::kUnknown : StoreStatus::kUnavailable;
      DeliverEvent(n, answer(none), kRequestTimeoutUs);
      return;
    }
    const std::int64_t latency_us = RandomLatencyUs();
    const bool lost = Random() < faults.lost_reply_share;
    ScheduleAfter(
        Duration(latency_us), [this, n, call, answer, lost, writes,
                               instance = entries_[ToIndex(n)].instance] {
          StoreRows rows = call();
          if (lost) {
            rows = {};
            rows.status =
                writes ? StoreStatus::kUnknown : StoreStatus::kUnavailable;
          }
          ScheduleAfter(Duration(lost ? kRequestTimeoutUs : RandomLatencyUs()),
                        [this, n, instance, answer, rows] {
                          RunEvent(n, instance, answer(rows));
                        });
        });
  };
  for (const Effect& effect : effects) {
    if (const auto* read = std::get_if<ReadRows>(&effect)) {
      store(
          read->id, [this, request = *read] { return ReadTable(request); },
          false);
    } else if (const auto* watch = std::get_if<WatchRows>(&effect)) {
      WatchTable(n, entries_[ToIndex(n)].instance, *watch,
                 now_us_ + watch->wait.count());
    } else if (const auto* commit = std::get_if<CommitRows>(&effect)) {
      store(
          commit->id,
          [this, request = *commit] { return store_.Commit(request); }, true);
    } else if (const auto* request = std::get_if<TargetRequest>(&effect)) {
      SendTargetRequest(n, *request);
    } else if (const auto* list = std::get_if<ListHosts>(&effect)) {
      DeliverEvent(
          n,
          [this, id = list->id, hosts = MakeHostList()](EntryState& e,
                                                        Effects& out) {
            ForwardHostListReply(e, id, hosts, CurrentTime(), out);
          },
          RandomLatencyUs());
    } else if (const auto* host = std::get_if<HostRequest>(&effect)) {
      const HostRequestResult result = ExecuteHostRequest(*host);
      DeliverEvent(
          n,
          [this, id = host->id, result](EntryState& e, Effects& out) {
            ForwardHostReply(e, id, result, CurrentTime(), out);
          },
          RandomLatencyUs());
    } else if (const auto* query = std::get_if<OwnerQuery>(&effect)) {
      OwnerReply reply;
      const int owner = std::stoi(query->address);
      if (entries_[ToIndex(owner)].state != nullptr) {
        reply = AnswerOwnerQuery(*entries_[ToIndex(owner)].state, query->kind,
                                 query->key, CurrentTime().now);
      }
      DeliverEvent(
          n,
          [this, id = query->id, reply](EntryState& e, Effects& out) {
            HandleOwnerReply(e, id, reply, CurrentTime(), out);
          },
          RandomLatencyUs());
    } else if (const auto* reply = std::get_if<CallReply>(&effect)) {
      HandleCallReply(*reply);
    }
  }
}

StoreRows FleetSimulation::ReadTable(const ReadRows& request) const {
  StoreRows out{.status = StoreStatus::kOk};
  out.revision = store_.revision();
  if (request.table == Table::kConfiguration) {
    out.configuration = configuration_;
    for (const auto& [number, wave] : waves_) out.waves.push_back(wave);
    for (const std::string& it : evacuated_) out.evacuations.push_back({it});
    return out;
  }
  if (request.table == Table::kTargets) {
    for (const SimulatedTarget& target : targets_) {
      if (target.row.has_value()) out.targets.push_back(*target.row);
    }
    return out;
  }
  return store_.Read(request);
}

StoreRows FleetSimulation::ChangesAfter(const WatchRows& request) const {
  if (request.table == Table::kConfiguration) {
    StoreRows out{.status = StoreStatus::kOk};
    const bool changed = request.revision < waves_revision_;
    if (changed) out = ReadTable({.table = request.table});
    for (const std::string& it : withdrawn_evacuations_) {
      if (changed) out.evacuations.push_back({it, false});
    }
    out.revision = std::max(store_.revision(), waves_revision_);
    return out;
  }
  // The table of the targets is small, so return it whole.
  if (request.table == Table::kTargets) {
    StoreRows out = ReadTable({.table = request.table});
    for (const SimulatedTarget& target : targets_) {
      if (target.row.has_value()) continue;
      out.removed_targets.push_back(target.tasks.entry.id);
    }
    return out;
  }
  return store_.ChangesAfter(request);
}

void FleetSimulation::WatchTable(int n, std::int64_t instance,
                                 const WatchRows& request,
                                 std::int64_t until_us) {
  if (entries_[ToIndex(n)].instance != instance) return;
  StoreRows rows;
  const SimulatedEntry& host = entries_[ToIndex(n)];
  const bool stalled = host.stalled_tables.count(request.table) > 0;
  if (store_down_ || host.store_disconnected || stalled) {
    DeliverEvent(
        n,
        [this, id = request.id, rows](EntryState& entry, Effects& out) {
          HandleStoreReply(entry, id, rows, CurrentTime(), out);
        },
        kRequestTimeoutUs);
    return;
  }
  rows = ChangesAfter(request);
  if (rows.rows.empty() && now_us_ < until_us) {
    ScheduleAfter(milliseconds(5), [this, n, instance, request, until_us] {
      WatchTable(n, instance, request, until_us);
    });
    return;
  }
  DeliverEvent(
      n,
      [this, id = request.id, rows](EntryState& entry, Effects& out) {
        HandleStoreReply(entry, id, rows, CurrentTime(), out);
      },
      RandomLatencyUs());
}

bool FleetSimulation::IsRelayUp(int n, std::int64_t instance) const {
  const SimulatedEntry& host = entries_[ToIndex(n)];
  return host.state != nullptr && host.instance == instance &&
         host.frozen_until_us <= now_us_;
}

void FleetSimulation::DeliverRelayLost(int n, const TargetRequest& request) {
  DeliverEvent(
      n,
      [this, id = request.id, relay = request.relay](EntryState& entry,
                                                     Effects& out) {
        OnRelayLost(entry, relay, CurrentTime(), out);
        ForwardTargetReply(entry, id, {.result = TargetResult::kRelayLost},
                           CurrentTime(), out);
      },
      kRelayLostUs);
}

void FleetSimulation::SendTargetRequest(int n, const TargetRequest& request) {
  const int carrier = request.relay.empty() ? n : std::stoi(request.relay);
  const std::int64_t carrier_instance = entries_[ToIndex(carrier)].instance;
  if (carrier != n) {
    ++relayed_count;
    if (!IsRelayUp(carrier, carrier_instance)) {
      DeliverRelayLost(n, request);
      // A frozen relay may execute the request once it runs again.
      const std::int64_t frozen_us =
          entries_[ToIndex(carrier)].frozen_until_us - now_us_;
      if (frozen_us > 0) {
        TargetRequest late = request;
        late.relay.clear();
        DeliverEvent(
            carrier,
            [this, carrier, late](EntryState&, Effects&) {
              SendTargetRequest(carrier, late);
            },
            frozen_us);
      }
      return;
    }
  }
  const auto found = std::find_if(
      targets_.begin(), targets_.end(), [&](const SimulatedTarget& candidate) {
        return candidate.tasks.entry.id == request.target;
      });
  const int target = static_cast<int>(found - targets_.begin());
  const auto answer = [this, id = request.id](const TargetReply& reply) {
    return [this, id, reply](EntryState& entry, Effects& out) {
      ForwardTargetReply(entry, id, reply, CurrentTime(), out);
    };
  };
  const bool unreachable =
      found == targets_.end() || found->down ||
      found->tasks.entry.address != request.address ||
      CutOf(target) == TargetCut::kBothWays ||
      entries_[ToIndex(carrier)].disconnected_targets.count(target) > 0;
  const std::int64_t wait = request.wait.count();
  const bool cut = found != targets_.end() && !found->down &&
                   CutOf(target) == TargetCut::kBothWays;
  const bool connected = cut && !request.fresh_connection &&
                         now_us_ < found->last_request_us + kIdleConnectionUs;
  if (cut && !connected) {
    DeliverEvent(n, answer({.result = TargetResult::kNotSent}),
                 kRequestTimeoutUs);
    return;
  }
  if (unreachable) {
    DeliverEvent(n, answer({}), kRequestTimeoutUs + wait);
    return;
  }
  if (Random() < faults.late_request_share) {
    const auto delay_us = static_cast<std::int64_t>(2e6 + Random() * 6e6);
    ScheduleAfter(Duration(delay_us), [this, target, request] {
      if (!targets_[ToIndex(target)].down) {
        ExecuteTargetRequest(target, request);
      }
    });
    DeliverEvent(n, answer({}), kRequestTimeoutUs + wait);
    return;
  }
  const bool lost = Random() < faults.lost_reply_share;
  ScheduleAfter(
      Duration(RandomLatencyUs()),
      [this, n, target, request, answer, lost, wait, carrier, carrier_instance,
       instance = entries_[ToIndex(n)].instance] {
        SimulatedTarget& target_state = targets_[ToIndex(target)];
        if (target_state.restarting || CutOf(target) == TargetCut::kBothWays) {
          DeliverEvent(n, answer({}), kRequestTimeoutUs);
          return;
        }
        if (target_state.down) return;
        TargetReply reply = ExecuteTargetRequest(target, request);
        const bool waits = request.kind == TargetRequestKind::kPoll &&
                           wait > 0 && reply.ends.empty() &&
                           reply.result == TargetResult::kDone;
        const auto send_reply =
            [this, n, instance, answer, request, target, lost, carrier,
             carrier_instance](const TargetReply& sent_reply) {
              const bool reply_lost = lost || CutOf(target) != TargetCut::kNone;
              const bool relay_lost =
                  carrier != n && !IsRelayUp(carrier, carrier_instance);
              if (relay_lost) return DeliverRelayLost(n, request);
              ScheduleAfter(
                  Duration(reply_lost ? kRequestTimeoutUs : RandomLatencyUs()),
                  [this, n, instance, answer, reply_lost, sent_reply] {
                    RunEvent(n, instance,
                             answer(reply_lost ? TargetReply{} : sent_reply));
                  });
            };
        if (!waits) {
          send_reply(reply);
          return;
        }
        auto answered = std::make_shared<bool>(false);
        const auto answer_poll = [this, n, target, request, answer, send_reply,
                                  answered, life = target_state.life] {
          if (*answered) return;
          *answered = true;
          const SimulatedTarget& state = targets_[ToIndex(target)];
          const bool crashed = state.restarting || state.life != life;
          if (crashed) {
            DeliverEvent(n, answer({}), kRequestTimeoutUs);
            return;
          }
          TargetRequest final_request = request;
          final_request.lease_until_ms.reset();
          send_reply(ExecuteTargetRequest(target, final_request));
        };
        target_state.waiting_polls.emplace_back(answer_poll);
        ScheduleAfter(Duration(wait), answer_poll);
      });
}

TargetReply FleetSimulation::ExecuteTargetRequest(
    int target, const TargetRequest& sent_request) {
  SimulatedTarget& target_state = targets_[ToIndex(target)];
  target_state.last_request_us = now_us_;
  ExpireLease(target);
  const std::int64_t clock_ms = TargetClockMs(target);
  TargetRequest request = sent_request;
  if (request.lease_until_ms.has_value()) {
    request.lease_until_ms =
        std::min(*request.lease_until_ms, clock_ms + kMaxLeaseMs);
  }
  const bool fenced = request.fencing_token < target_state.tasks.fencing_token;
  const bool known_run = target_state.tasks.runs.count(request.task) > 0;
  const bool is_poll = request.kind == TargetRequestKind::kPoll;
  if (!fenced && is_poll) RecordAcknowledgedEnds(target, request);
  if (!fenced && request.kind == TargetRequestKind::kStop && known_run &&
      stop_duration > Duration::zero()) {
    StopRunLater(target, request);
    TargetRequest probe = request;
    probe.run = 0;
    TargetReply probe_reply =
        fleet::HandleTargetRequest(target_state.tasks, probe, clock_ms);
    probe_reply.started_unix_ms = 0;
    return probe_reply;
  }
  const std::int64_t next_end = target_state.tasks.next_end_number;
  TargetReply reply =
      fleet::HandleTargetRequest(target_state.tasks, request, clock_ms);
  // Only lists of runs name the instance.
  if (!is_poll) reply.started_unix_ms = 0;
  const bool started = request.kind == TargetRequestKind::kStart &&
                       !known_run && reply.result == TargetResult::kDone;
  if (started) SimulateRun(target, request);
  if (target_state.tasks.next_end_number != next_end) {
    CheckStop(request.task);
    AnswerWaitingPolls(target);
  }
  return reply;
}

void FleetSimulation::StopRunLater(int target, const TargetRequest& request) {
  SimulatedTarget& target_state = targets_[ToIndex(target)];
  const std::int64_t run = target_state.tasks.runs.at(request.task);
  if (run > request.run || !target_state.stopping.insert(request.task).second) {
    return;
  }
  CheckStop(request.task);
  ScheduleAfter(stop_duration, [this, target, task = request.task, run,
                                life = target_state.life] {
    SimulatedTarget& later = targets_[ToIndex(target)];
    if (later.life != life) return;
    later.stopping.erase(task);
    if (EndRun(later.tasks, task, run, RunEndKind::kStopped)) {
      AnswerWaitingPolls(target);
    }
  });
}

void FleetSimulation::RecordAcknowledgedEnds(int target,
                                             const TargetRequest& request) {
  const SimulatedTarget& target_state = targets_[ToIndex(target)];
  for (const RunEnd& end : target_state.tasks.ends) {
    const bool acknowledged = end.number <= request.last_end_stored;
    if (acknowledged && end.kind == RunEndKind::kDone) {
      acknowledged_tasks_.insert(end.task);
      auto again = done_runs_before_start_.find(end.task);
      const bool started_again = again != done_runs_before_start_.end() &&
                                 again->second.erase(end.run) > 0;
      if (started_again && target_state.lapsed_ends.count(end.number) == 0) {
        AddViolation(StrCat(ToString(end.task), " started after run ", end.run,
                            " had ended as done on ",
                            target_state.tasks.entry.id,
                            ", which was acknowledged later"));
      }
    }
    if (acknowledged && end.kind == RunEndKind::kFailed) {
      acknowledged_failures_[end.task].insert(end.run);
    }
  }
}

void FleetSimulation::CheckStart(int target, const TargetRequest& request) {
  const TaskName& name = request.task;
  for (const SimulatedTarget& other_target : targets_) {
    const bool elsewhere = &other_target != &targets_[ToIndex(target)];
    if (elsewhere && !other_target.down &&
        other_target.tasks.runs.count(name) > 0) {
      AddViolation(StrCat(ToString(name), " runs twice at the same time, on ",
                          other_target.tasks.entry.id, " and i-", target));
    }
  }
  if (acknowledged_tasks_.count(name) > 0) {
    AddViolation(
        StrCat(ToString(name), " started after its end was acknowledged"));
  }
  auto done = done_runs_.find(name);
  if (done != done_runs_.end()) done_runs_before_start_[name] = done->second;
  auto spec = specs_.find(name.job);
  if (spec == specs_.end()) {
    AddViolation(StrCat(ToString(name), " does not belong to a job"));
    return;
  }
  const Step& step = spec->second.steps[ToIndex(static_cast<int>(name.step))];
  for (const std::int64_t dependency : step.depends_on) {
    const Step& dependency_step =
        spec->second.steps[ToIndex(static_cast<int>(dependency))];
    for (std::int64_t n = 0; n < dependency_step.count; ++n) {
      if (done_tasks_.count({name.job, name.occurrence, dependency, n}) == 0) {
        AddViolation(
            StrCat(ToString(name), " started before step ", dependency));
      }
    }
  }
  const SimulatedTarget& own_target = targets_[ToIndex(target)];
  Resources used;
  for (const auto& [running, run] : own_target.tasks.runs) {
    auto it = specs_.find(running.job);
    if (it == specs_.end()) continue;
    used += it->second.steps[ToIndex(static_cast<int>(running.step))].resources;
  }
  const bool over_capacity = !Fits(used, own_target.tasks.entry.capacity) &&
                             now_us_ >= own_target.capacity_binds_from_us;
  if (over_capacity) {
    AddViolation(StrCat(ToString(name), " exceeds the capacity of i-", target));
  }
  if (failures_[name] >= kMaxAttempts && !step.long_running) {
    starts_after_max_attempts_.emplace_back(name, failed_runs_[name]);
  }
}

void FleetSimulation::CheckStop(const TaskName& name) {
  auto spec = specs_.find(name.job);
  if (spec == specs_.end() || cancelled_jobs_.count(name.job) > 0) return;
  const Step& step = spec->second.steps[ToIndex(static_cast<int>(name.step))];
  if (!step.long_running || step.max_unavailable_tasks == 0) return;
  std::int64_t unavailable = 0;
  for (std::int64_t n = 0; n < step.count; ++n) {
    const TaskName other{name.job, name.occurrence, name.step, n};
    const bool running = std::any_of(
        targets_.begin(), targets_.end(), [&](const SimulatedTarget& target) {
          return !target.down && target.tasks.runs.count(other) > 0 &&
                 target.stopping.count(other) == 0;
        });
    unavailable += n != name.index && !running ? 1 : 0;
  }
  if (unavailable >= step.max_unavailable_tasks) {
    AddViolation(StrCat(ToString(name), " is stopped while ", unavailable,
                        " other tasks of its step are unavailable"));
  }
}

void FleetSimulation::SimulateRun(int target, const TargetRequest& request) {
  CheckStart(target, request);
  ++starts_[request.task];
  crashes_at_start_[request.task].push_back(CrashesUnder(request.task));
  if (deadly_tasks.count(request.task) > 0) {
    ScheduleAfter(crash_delay,
                  [this, target, life = targets_[ToIndex(target)].life] {
                    if (targets_[ToIndex(target)].life == life) {
                      CrashAndRestartTarget(target);
                    }
                  });
    return;
  }
  auto spec = specs_.find(request.task.job);
  const bool long_running =
      spec != specs_.end() &&
      spec->second.steps[ToIndex(static_cast<int>(request.task.step))]
          .long_running;
  if (long_running) return;
  const RunEndKind kind = failing_jobs.count(request.task.job) > 0
                              ? RunEndKind::kFailed
                              : RunEndKind::kDone;
  const auto duration_us = static_cast<std::int64_t>(
      static_cast<double>(task_duration.count()) * (0.5 + Random()));
  ScheduleAfter(Duration(duration_us),
                [this, target, task = request.task, run = request.run, kind,
                 life = targets_[ToIndex(target)].life] {
                  SimulatedTarget& target_state = targets_[ToIndex(target)];
                  if (target_state.down || target_state.life != life ||
                      !EndRun(target_state.tasks, task, run, kind)) {
                    return;
                  }
                  if (kind == RunEndKind::kDone) {
                    done_tasks_.insert(task);
                    done_runs_[task].insert(run);
                  }
                  if (kind == RunEndKind::kFailed) {
                    ++failures_[task];
                    failed_runs_[task].insert(run);
                  }
                  AnswerWaitingPolls(target);
                });
}

void FleetSimulation::AnswerWaitingPolls(int target) {
  std::vector<std::function<void()>> waiting;
  waiting.swap(targets_[ToIndex(target)].waiting_polls);
  for (const auto& answer_poll : waiting) answer_poll();
}

void FleetSimulation::ExpireLease(int target) {
  SimulatedTarget& target_state = targets_[ToIndex(target)];
  const std::int64_t last_end = target_state.tasks.next_end_number - 1;
  if (!EndRunsIfLeaseExpired(target_state.tasks, TargetClockMs(target))) return;
  for (const RunEnd& end : target_state.tasks.ends) {
    target_state.lapsed_ends.insert(end.number);
  }
  if (target_state.tasks.next_end_number - 1 != last_end) {
    AnswerWaitingPolls(target);
  }
}

void FleetSimulation::Submit(const std::string& id, JobSpec spec) {
  specs_[id] = std::move(spec);
  TrySubmit(id);
}

void FleetSimulation::TrySubmit(const std::string& id) {
  if (accepted_jobs_.count(id) > 0) return;
  const int n =
      static_cast<int>(Random() * static_cast<double>(entries_.size()));
  const std::int64_t number = next_call_++;
  SimulatedEntry& host = entries_[ToIndex(n)];
  if (host.state != nullptr) {
    Call call{.number = number,
              .request_id = std::to_string(number),
              .kind = CallKind::kSubmit,
              .host_name = kHostName,
              .path = StrCat("/book/", id),
              .spec = specs_.at(id),
              .time_left = Duration(kCallTimeoutUs)};
    call_jobs_[number] = id;
    RunEvent(n, host.instance, [this, call](EntryState& entry, Effects& out) {
      OnCall(entry, call, CurrentTime(), out);
    });
  }
  ScheduleAfter(Duration(kCallTimeoutUs), [this, id] { TrySubmit(id); });
}

void FleetSimulation::Cancel(const std::string& id) {
  const int n =
      static_cast<int>(Random() * static_cast<double>(entries_.size()));
  SimulatedEntry& host = entries_[ToIndex(n)];
  if (host.state == nullptr) return;
  cancelled_jobs_.insert(id);
  const std::int64_t number = next_call_++;
  call_jobs_[number] = id;
  const Call call{.number = number,
                  .kind = CallKind::kCancel,
                  .host_name = kHostName,
                  .path = StrCat("/book/", id),
                  .time_left = Duration(kCallTimeoutUs)};
  RunEvent(n, host.instance, [this, call](EntryState& entry, Effects& out) {
    OnCall(entry, call, CurrentTime(), out);
  });
}

void FleetSimulation::HandleCallReply(const CallReply& reply) {
  auto it = call_jobs_.find(reply.call);
  if (it == call_jobs_.end()) return;
  if (reply.outcome == CallOutcome::kAccepted) {
    accepted_jobs_.insert(it->second);
  }
}

int FleetSimulation::OwnerIndex() const {
  int found = -1;
  for (int n = 0; n < static_cast<int>(entries_.size()); ++n) {
    const SimulatedEntry& host = entries_[ToIndex(n)];
    if (host.state == nullptr || !host.state->owner.has_value()) continue;
    const bool newer =
        found < 0 ||
        host.state->owner->epoch > entries_[ToIndex(found)].state->owner->epoch;
    if (newer) found = n;
  }
  return found;
}

JobState FleetSimulation::StateOf(const std::string& id) const {
  const int n = OwnerIndex();
  if (n < 0) return JobState::kPending;
  return VisibleState(*entries_[ToIndex(n)].state->owner, id)
      .value_or(JobState::kPending);
}

OwnerReply FleetSimulation::QueryWaiting() const {
  const int n = OwnerIndex();
  if (n < 0) return {};
  return AnswerOwnerQuery(entry(n), OwnerQueryKind::kWaiting, "book",
                          CurrentTime().now);
}

int FleetSimulation::TargetOf(const TaskName& name) const {
  const auto found = std::find_if(
      targets_.begin(), targets_.end(), [&](const SimulatedTarget& target) {
        return !target.down && target.tasks.runs.count(name) > 0;
      });
  return found == targets_.end() ? -1
                                 : static_cast<int>(found - targets_.begin());
}

std::int64_t FleetSimulation::StartsOf(const TaskName& name) const {
  auto it = starts_.find(name);
  return it == starts_.end() ? 0 : it->second;
}

std::int64_t FleetSimulation::CrashesUnder(const TaskName& name) const {
  auto it = crashes_.find(name);
  return it == crashes_.end() ? 0 : it->second;
}

std::int64_t FleetSimulation::StartsAfterCrashes(const TaskName& name,
                                                 std::int64_t crashes) const {
  auto it = crashes_at_start_.find(name);
  if (it == crashes_at_start_.end()) return 0;
  return std::count_if(it->second.begin(), it->second.end(),
                       [&](std::int64_t n) { return n >= crashes; });
}

std::int64_t FleetSimulation::FailuresOf(const std::string& id) const {
  std::int64_t most = 0;
  for (const auto& [name, n] : failures_) {
    if (name.job == id) most = std::max(most, n);
  }
  return most;
}

HostList FleetSimulation::MakeHostList() const {
  HostList list{.answered = true};
  for (const SimulatedTarget& target : targets_) {
    if (!target.host_listed) continue;
    list.hosts.push_back(
        {.name = target.tasks.entry.host,
         .pool = target.tasks.entry.pool,
         .state = target.down ? HostState::kDown : HostState::kUp,
         .data_centre = "a",
         .labels = target.tasks.entry.labels,
         .target = target.down ? "" : target.tasks.entry.id});
  }
  return list;
}

HostRequestResult FleetSimulation::ExecuteHostRequest(
    const HostRequest& request) {
  for (int n = 0; n < static_cast<int>(targets_.size()); ++n) {
    SimulatedTarget& target_state = targets_[ToIndex(n)];
    if (target_state.tasks.entry.host != request.host || target_state.down) {
      continue;
    }
    if (request.wave != 0 && maintained_hosts_.count(request.host) > 0) {
      return HostRequestResult::kDone;
    }
    for (const auto& [name, run] : target_state.tasks.runs) {
      AddViolation(
          StrCat(ToString(name), " was running on a host that was taken out"));
    }
    if (request.wave != 0) {
      if (hosts_in_maintenance_ >= waves_.at(request.wave).max_unavailable) {
        AddViolation("more hosts are in maintenance than the wave allows");
      }
      ++hosts_in_maintenance_;
      maintained_hosts_.insert(request.host);
    }
    target_state.down = true;
    target_state.tasks.runs.clear();
    ScheduleAfter(milliseconds(2000), [this, n, wave = request.wave] {
      if (wave != 0) --hosts_in_maintenance_;
      Target replacement = TargetEntry(n);
      replacement.id += "+";
      replacement.started_unix_ms += 1000 + NowMs();
      StartTarget(n, std::move(replacement));
    });
    return HostRequestResult::kDone;
  }
  return HostRequestResult::kBusy;
}

std::vector<std::string> FleetSimulation::StartsBeyondMaxAttempts() const {
  std::vector<std::string> beyond;
  for (const auto& [name, runs] : starts_after_max_attempts_) {
    auto acknowledged = acknowledged_failures_.find(name);
    if (acknowledged == acknowledged_failures_.end()) continue;
    const auto n = std::count_if(
        runs.begin(), runs.end(),
        [&](std::int64_t run) { return acknowledged->second.count(run) > 0; });
    if (n >= kMaxAttempts) beyond.push_back(ToString(name));
  }
  return beyond;
}

std::vector<std::string> FleetSimulation::UnfinishedTasksOfCompletedJobs()
    const {
  std::vector<std::string> wrong;
  for (const std::string& id : accepted_jobs_) {
    if (StateOf(id) != JobState::kCompleted) continue;
    const std::vector<Step>& steps = specs_.at(id).steps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      for (std::int64_t n = 0; n < steps[s].count; ++n) {
        const TaskName name{id, 0, static_cast<std::int64_t>(s), n};
        if (done_tasks_.count(name) == 0) wrong.push_back(ToString(name));
      }
    }
  }
  return wrong;
}

bool FleetSimulation::IsWavePublishedAsCompleted(std::int64_t number) const {
  const Row* row = store_.Find({Table::kWaves, StrCat("wave/", number)});
  return row != nullptr && row->value.value("completed", false);
}

}  // namespace hyssopbarrow::fleet
