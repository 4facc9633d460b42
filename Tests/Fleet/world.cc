#include "Fleet/world.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "Model/text.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kUnixBase = 1'790'000'000'000;
constexpr std::int64_t kTargetClockBase = 500'000;
constexpr std::int64_t kTimeoutUs = 700'000;
constexpr std::int64_t kRestartUs = 500'000;
constexpr std::int64_t kUnlistedUs = 4'500'000;
constexpr std::int64_t kCallTimeUs = 3'000'000;
constexpr std::int64_t kMaxAttempts = 2;
constexpr char kHostName[] = "jobs.example";

}  // namespace

JobSpec SimpleJob(std::int64_t count, bool chained) {
  JobSpec spec{.payload = "work"};
  const Step step{.count = count,
                  .need = {.cpu_milli = 4000, .memory_mb = 100},
                  .estimate_ms = 400};
  spec.steps.push_back(step);
  if (chained) {
    spec.steps.push_back(step);
    spec.steps.back().depends_on = {0};
  }
  return spec;
}

World::World(std::uint64_t seed, int entries, int targets) : rng_(seed) {
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
    TargetHere target;
    target.tasks.entry = {
        .id = StrCat("i-", name),
        .pool = "desk",
        .address = StrCat("10.0.0.", n + 1, ":80"),
        .data_centre = "a",
        .host = StrCat("m-", name),
        .born = kUnixBase,
        .capacity = {.cpu_milli = 16000, .memory_mb = 100'000},
        .labels = {"a", StrCat("r", n / 2)}};
    targets_.push_back(std::move(target));
  }
  entries_.resize(At(entries));
  for (int n = 0; n < entries; ++n) StartEntry(n);
}

Moment World::MomentNow() const {
  return {.now = Instant(Duration(now_us_ + 1'000'000'000)),
          .unix_ms = kUnixBase + NowMs()};
}

std::int64_t World::TargetClockMs() const { return kTargetClockBase + NowMs(); }

double World::Random() {
  return std::uniform_real_distribution<double>(0, 1)(rng_);
}

std::int64_t World::Latency() {
  return 500 + static_cast<std::int64_t>(Random() * 3000);
}

void World::Breach(const std::string& text) {
  breaches.push_back(StrCat("at ", NowMs(), " ms: ", text));
}

void World::StartEntry(int n) {
  EntryHost& host = entries_[At(n)];
  ++host.life;
  host.core = std::make_unique<Entry>();
  const std::string node = StrCat("node-", n);
  host.core->self = {.node = node,
                     .holder = StrCat(node, "@", host.life),
                     .address = std::to_string(n)};
  if (At(n) < cpu_milli.size()) host.core->self.cpu_milli = cpu_milli[At(n)];
  host.next_tick = now_us_;
}

void World::KillEntry(int n) {
  entries_[At(n)].core.reset();
  ++entries_[At(n)].life;
  After(Duration(kRestartUs), [this, n] { StartEntry(n); });
}

void World::StopEntry(int n) {
  EntryHost& host = entries_[At(n)];
  if (host.core == nullptr) return;
  Do(n, host.life,
     [this](Entry& entry, Effects& out) { OnStop(entry, MomentNow(), out); });
  After(Duration(2 * kRestartUs), [this, n, life = host.life] {
    if (entries_[At(n)].life == life) KillEntry(n);
  });
}

void World::FreezeEntry(int n, Duration duration) {
  entries_[At(n)].frozen_until = now_us_ + duration.count();
}

void World::CutFromTargets(int n, const std::set<int>& targets) {
  entries_[At(n)].no_targets = targets;
}

void World::CrashTarget(int n) {
  targets_[At(n)].dead = true;
  targets_[At(n)].tasks.runs.clear();
  After(Duration(kUnlistedUs), [this, n] { targets_[At(n)].listed = false; });
}

void World::AddWave(Wave wave) { waves_[wave.number] = std::move(wave); }

void World::After(Duration delay, std::function<void()> action) {
  events_.emplace(now_us_ + delay.count(), std::move(action));
}

void World::Run(Duration duration) {
  const std::int64_t end = now_us_ + duration.count();
  constexpr std::int64_t kStep = 1000;
  while (now_us_ < end) {
    now_us_ += kStep;
    while (!events_.empty() && events_.begin()->first <= now_us_) {
      auto node = events_.extract(events_.begin());
      node.mapped()();
    }
    for (int n = 0; n < static_cast<int>(targets_.size()); ++n) CheckLease(n);
    for (int n = 0; n < static_cast<int>(entries_.size()); ++n) {
      EntryHost& host = entries_[At(n)];
      const bool due = host.core != nullptr && host.next_tick <= now_us_ &&
                       host.frozen_until <= now_us_;
      if (!due) continue;
      Do(n, host.life, [this](Entry& entry, Effects& out) {
        OnTick(entry, MomentNow(), out);
      });
    }
  }
}

void World::Do(int n, std::int64_t life,
               std::function<void(Entry&, Effects&)> event) {
  EntryHost& host = entries_[At(n)];
  if (host.life != life || host.core == nullptr) return;
  if (host.frozen_until > now_us_) {
    events_.emplace(
        host.frozen_until,
        [this, n, life, event = std::move(event)] { Do(n, life, event); });
    return;
  }
  Effects effects;
  const auto began = std::chrono::steady_clock::now();
  event(*host.core, effects);
  const Moment at = MomentNow();
  const Duration wait = NextTick(*host.core, at.now) - at.now;
  spent += std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - began);
  ++events;
  host.next_tick = now_us_ + std::max<std::int64_t>(1000, wait.count());
  Execute(n, effects);
}

void World::Deliver(int n, std::function<void(Entry&, Effects&)> event,
                    std::int64_t delay_us) {
  After(Duration(delay_us), [this, n, life = entries_[At(n)].life,
                             event = std::move(event)] { Do(n, life, event); });
}

void World::Execute(int n, const Effects& effects) {
  const auto store = [this, n](std::int64_t id,
                               const std::function<StoreRows()>& call,
                               bool writes) {
    const auto answer = [this, id](const StoreRows& rows) {
      return [this, id, rows](Entry& entry, Effects& out) {
        OnStoreReply(entry, id, rows, MomentNow(), out);
      };
    };
    if (store_down_ || entries_[At(n)].no_store) {
      StoreRows none;
      none.status = writes ? StoreStatus::kUnknown : StoreStatus::kUnavailable;
      Deliver(n, answer(none), kTimeoutUs);
      return;
    }
    const std::int64_t there = Latency();
    const bool lost = Random() < trouble.lost_replies;
    After(Duration(there),
          [this, n, call, answer, lost, writes, life = entries_[At(n)].life] {
            StoreRows rows = call();
            if (lost) {
              rows = {};
              rows.status =
                  writes ? StoreStatus::kUnknown : StoreStatus::kUnavailable;
            }
            After(Duration(lost ? kTimeoutUs : Latency()),
                  [this, n, life, answer, rows] { Do(n, life, answer(rows)); });
          });
  };
  for (const Effect& effect : effects) {
    if (const auto* read = std::get_if<ReadRows>(&effect)) {
      store(
          read->id, [this, it = *read] { return ReadTable(it); }, false);
    } else if (const auto* watch = std::get_if<WatchRows>(&effect)) {
      Watch(n, entries_[At(n)].life, *watch, now_us_ + watch->wait.count());
    } else if (const auto* commit = std::get_if<CommitRows>(&effect)) {
      store(
          commit->id, [this, it = *commit] { return store_.Commit(it); }, true);
    } else if (const auto* order = std::get_if<TargetOrder>(&effect)) {
      Send(n, *order);
    } else if (const auto* list = std::get_if<ListHosts>(&effect)) {
      Deliver(
          n,
          [this, id = list->id, hosts = Hosts()](Entry& e, Effects& out) {
            OnHosts(e, id, hosts, MomentNow(), out);
          },
          Latency());
    } else if (const auto* host = std::get_if<HostOrder>(&effect)) {
      const HostResult result = CarryHost(*host);
      Deliver(
          n,
          [this, id = host->id, result](Entry& e, Effects& out) {
            OnHostReply(e, id, result, MomentNow(), out);
          },
          Latency());
    } else if (const auto* ask = std::get_if<AskOwner>(&effect)) {
      OwnerReply reply;
      const int owner = std::stoi(ask->address);
      if (entries_[At(owner)].core != nullptr) {
        reply = AnswerPeer(*entries_[At(owner)].core, ask->kind, ask->key);
      }
      Deliver(
          n,
          [this, id = ask->id, reply](Entry& e, Effects& out) {
            OnOwnerReply(e, id, reply, MomentNow(), out);
          },
          Latency());
    } else if (const auto* answer = std::get_if<CallAnswered>(&effect)) {
      Answered(*answer);
    }
  }
}

StoreRows World::ReadTable(const ReadRows& request) const {
  StoreRows out{.status = StoreStatus::kOk};
  out.revision = store_.revision();
  if (request.table == Table::kConfiguration) {
    out.configuration = configuration_;
    for (const auto& [number, wave] : waves_) out.waves.push_back(wave);
    return out;
  }
  if (request.table == Table::kTargets) {
    for (const TargetHere& it : targets_) {
      if (it.listed) out.targets.push_back(it.tasks.entry);
    }
    return out;
  }
  return store_.Read(request);
}

StoreRows World::ChangesAfter(const WatchRows& request) const {
  // The operators' and the targets' tables are small: all of them, each time.
  const bool foreign = request.table == Table::kConfiguration ||
                       request.table == Table::kTargets;
  if (foreign) {
    StoreRows out = ReadTable({.table = request.table});
    for (const TargetHere& it : targets_) {
      const bool gone = request.table == Table::kTargets && !it.listed;
      if (gone) out.removed_targets.push_back(it.tasks.entry.id);
    }
    return out;
  }
  return store_.ChangesAfter(request);
}

void World::Watch(int n, std::int64_t life, const WatchRows& request,
                  std::int64_t until_us) {
  if (entries_[At(n)].life != life) return;
  StoreRows rows;
  if (store_down_ || entries_[At(n)].no_store) {
    Deliver(
        n,
        [this, id = request.id, rows](Entry& entry, Effects& out) {
          OnStoreReply(entry, id, rows, MomentNow(), out);
        },
        kTimeoutUs);
    return;
  }
  rows = ChangesAfter(request);
  if (rows.rows.empty() && now_us_ < until_us) {
    After(milliseconds(5), [this, n, life, request, until_us] {
      Watch(n, life, request, until_us);
    });
    return;
  }
  Deliver(
      n,
      [this, id = request.id, rows](Entry& entry, Effects& out) {
        OnStoreReply(entry, id, rows, MomentNow(), out);
      },
      Latency());
}

void World::Send(int n, const TargetOrder& order) {
  const auto found = std::find_if(
      targets_.begin(), targets_.end(),
      [&](const TargetHere& it) { return it.tasks.entry.id == order.target; });
  const int target = static_cast<int>(found - targets_.begin());
  const auto answer = [this, id = order.id](const OrderReply& reply) {
    return [this, id, reply](Entry& entry, Effects& out) {
      OnOrderReply(entry, id, reply, MomentNow(), out);
    };
  };
  const bool cut = found == targets_.end() || found->dead ||
                   entries_[At(n)].no_targets.count(target) > 0;
  const std::int64_t wait = order.wait.count();
  if (cut) {
    Deliver(n, answer({}), kTimeoutUs + wait);
    return;
  }
  if (Random() < trouble.late_orders) {
    const auto late = static_cast<std::int64_t>(2e6 + Random() * 6e6);
    After(Duration(late), [this, target, order] {
      if (!targets_[At(target)].dead) Carry(target, order);
    });
    Deliver(n, answer({}), kTimeoutUs + wait);
    return;
  }
  const bool lost = Random() < trouble.lost_replies;
  After(Duration(Latency()), [this, n, target, order, answer, lost, wait,
                              life = entries_[At(n)].life] {
    TargetHere& here = targets_[At(target)];
    if (here.dead) return;
    OrderReply reply = Carry(target, order);
    const bool holds = order.kind == OrderKind::kHold && wait > 0 &&
                       reply.ended.empty() &&
                       reply.result == OrderResult::kDone;
    const auto back = [this, n, life, answer, lost](const OrderReply& it) {
      After(Duration(lost ? kTimeoutUs : Latency()),
            [this, n, life, answer, lost, it] {
              Do(n, life, answer(lost ? OrderReply{} : it));
            });
    };
    if (!holds) {
      back(reply);
      return;
    }
    auto answered = std::make_shared<bool>(false);
    const auto finish = [this, target, order, back, answered] {
      if (*answered) return;
      *answered = true;
      TargetOrder look = order;
      look.lease_until_ms.reset();
      back(Carry(target, look));
    };
    here.waiting.emplace_back(finish);
    After(Duration(wait), finish);
  });
}

OrderReply World::Carry(int target, const TargetOrder& order) {
  TargetHere& here = targets_[At(target)];
  CheckLease(target);
  const bool fenced = order.token < here.tasks.token;
  const bool had = here.tasks.runs.count(order.task) > 0;
  const bool holds = order.kind == OrderKind::kHold;
  if (!fenced && holds) NoteEnds(target, order);
  if (!fenced && order.kind == OrderKind::kStop && had &&
      stop_time > Duration::zero()) {
    StopLater(target, order);
    TargetOrder look = order;
    look.run = 0;
    return fleet::Carry(here.tasks, look, TargetClockMs());
  }
  const std::int64_t next_end = here.tasks.next_end;
  OrderReply reply = fleet::Carry(here.tasks, order, TargetClockMs());
  const bool started = order.kind == OrderKind::kStart && !had &&
                       reply.result == OrderResult::kDone;
  if (started) Started(target, order);
  if (here.tasks.next_end != next_end) {
    CheckStop(order.task);
    Ended(target);
  }
  return reply;
}

void World::StopLater(int target, const TargetOrder& order) {
  TargetHere& here = targets_[At(target)];
  const std::int64_t run = here.tasks.runs.at(order.task);
  if (run > order.run || !here.stopping.insert(order.task).second) return;
  CheckStop(order.task);
  After(stop_time, [this, target, task = order.task, run] {
    TargetHere& later = targets_[At(target)];
    later.stopping.erase(task);
    if (EndRun(later.tasks, task, run, EndKind::kStopped)) Ended(target);
  });
}

void World::NoteEnds(int target, const TargetOrder& order) {
  const TargetHere& here = targets_[At(target)];
  for (const ListedEnd& it : here.tasks.ends) {
    const bool told =
        it.number <= order.ends_seen && it.number > here.void_up_to;
    if (told && it.kind == EndKind::kDone) acknowledged_.insert(it.task);
    if (told && it.kind == EndKind::kFailed) {
      noted_failures_[it.task].insert(it.run);
    }
  }
}

void World::CheckStart(int target, const TargetOrder& order) {
  const TaskName& name = order.task;
  for (const TargetHere& it : targets_) {
    const bool elsewhere = &it != &targets_[At(target)];
    if (elsewhere && !it.dead && it.tasks.runs.count(name) > 0) {
      Breach(StrCat(ToString(name), " runs twice at once, on ",
                    it.tasks.entry.id, " and i-", target));
    }
  }
  if (acknowledged_.count(name) > 0) {
    Breach(StrCat(ToString(name), " started again after its end was noted"));
  }
  auto spec = specs_.find(name.job);
  if (spec == specs_.end()) {
    Breach(StrCat(ToString(name), " belongs to no job"));
    return;
  }
  const Step& step = spec->second.steps[At(static_cast<int>(name.step))];
  for (const std::int64_t before : step.depends_on) {
    const Step& other = spec->second.steps[At(static_cast<int>(before))];
    for (std::int64_t n = 0; n < other.count; ++n) {
      if (done_.count({name.job, name.occurrence, before, n}) == 0) {
        Breach(StrCat(ToString(name), " started before step ", before));
      }
    }
  }
  if (failures_[name] >= kMaxAttempts && !step.lasts) {
    late_starts_.emplace_back(name, failed_runs_[name]);
  }
}

void World::CheckStop(const TaskName& name) {
  auto spec = specs_.find(name.job);
  if (spec == specs_.end() || cancelled_.count(name.job) > 0) return;
  const Step& step = spec->second.steps[At(static_cast<int>(name.step))];
  if (!step.lasts || step.may_miss == 0) return;
  std::int64_t away = 0;
  for (std::int64_t n = 0; n < step.count; ++n) {
    const TaskName other{name.job, name.occurrence, name.step, n};
    const bool works = std::any_of(
        targets_.begin(), targets_.end(), [&](const TargetHere& it) {
          return !it.dead && it.tasks.runs.count(other) > 0 &&
                 it.stopping.count(other) == 0;
        });
    away += n != name.index && !works ? 1 : 0;
  }
  if (away >= step.may_miss) {
    Breach(StrCat(ToString(name), " is stopped while ", away,
                  " others of its step are away"));
  }
}

void World::Started(int target, const TargetOrder& order) {
  CheckStart(target, order);
  ++starts_[order.task];
  auto spec = specs_.find(order.task.job);
  const bool lasts =
      spec != specs_.end() &&
      spec->second.steps[At(static_cast<int>(order.task.step))].lasts;
  if (lasts) return;
  const EndKind kind =
      hopeless.count(order.task.job) > 0 ? EndKind::kFailed : EndKind::kDone;
  const auto time = static_cast<std::int64_t>(
      static_cast<double>(task_time.count()) * (0.5 + Random()));
  After(Duration(time),
        [this, target, task = order.task, run = order.run, kind] {
          TargetHere& here = targets_[At(target)];
          if (here.dead || !EndRun(here.tasks, task, run, kind)) return;
          if (kind == EndKind::kDone) done_.insert(task);
          if (kind == EndKind::kFailed) {
            ++failures_[task];
            failed_runs_[task].insert(run);
          }
          Ended(target);
        });
}

void World::Ended(int target) {
  std::vector<std::function<void()>> waiting;
  waiting.swap(targets_[At(target)].waiting);
  for (const auto& it : waiting) it();
}

void World::CheckLease(int target) {
  TargetHere& here = targets_[At(target)];
  const std::int64_t listed = here.tasks.next_end - 1;
  if (!EndLapsedRuns(here.tasks, TargetClockMs())) return;
  here.void_up_to = listed;
  if (here.tasks.next_end - 1 != listed) Ended(target);
}

void World::Submit(const std::string& id, JobSpec spec) {
  specs_[id] = std::move(spec);
  Try(id);
}

void World::Try(const std::string& id) {
  if (accepted_.count(id) > 0) return;
  const int n =
      static_cast<int>(Random() * static_cast<double>(entries_.size()));
  const std::int64_t number = next_call_++;
  EntryHost& host = entries_[At(n)];
  if (host.core != nullptr) {
    Call call{.number = number,
              .request_id = std::to_string(number),
              .kind = CallKind::kSubmit,
              .host_name = kHostName,
              .path = StrCat("/book/", id),
              .spec = specs_.at(id),
              .time_left = Duration(kCallTimeUs)};
    call_jobs_[number] = id;
    Do(n, host.life, [this, call](Entry& entry, Effects& out) {
      OnCall(entry, call, MomentNow(), out);
    });
  }
  After(Duration(kCallTimeUs), [this, id] { Try(id); });
}

void World::Cancel(const std::string& id) {
  const int n =
      static_cast<int>(Random() * static_cast<double>(entries_.size()));
  EntryHost& host = entries_[At(n)];
  if (host.core == nullptr) return;
  cancelled_.insert(id);
  const std::int64_t number = next_call_++;
  call_jobs_[number] = id;
  const Call call{.number = number,
                  .kind = CallKind::kCancel,
                  .host_name = kHostName,
                  .path = StrCat("/book/", id),
                  .time_left = Duration(kCallTimeUs)};
  Do(n, host.life, [this, call](Entry& entry, Effects& out) {
    OnCall(entry, call, MomentNow(), out);
  });
}

void World::Answered(const CallAnswered& answer) {
  auto it = call_jobs_.find(answer.call);
  if (it == call_jobs_.end()) return;
  if (answer.outcome == CallOutcome::kAccepted) accepted_.insert(it->second);
}

int World::OwnerIndex() const {
  int found = -1;
  for (int n = 0; n < static_cast<int>(entries_.size()); ++n) {
    const EntryHost& host = entries_[At(n)];
    if (host.core == nullptr || !host.core->owner.has_value()) continue;
    const bool newer = found < 0 || host.core->owner->epoch >
                                        entries_[At(found)].core->owner->epoch;
    if (newer) found = n;
  }
  return found;
}

JobState World::StateOf(const std::string& id) const {
  const int n = OwnerIndex();
  if (n < 0) return JobState::kPending;
  return ShownState(*entries_[At(n)].core->owner, id)
      .value_or(JobState::kPending);
}

std::int64_t World::StartsOf(const TaskName& name) const {
  auto it = starts_.find(name);
  return it == starts_.end() ? 0 : it->second;
}

std::int64_t World::FailuresOf(const std::string& id) const {
  std::int64_t most = 0;
  for (const auto& [name, n] : failures_) {
    if (name.job == id) most = std::max(most, n);
  }
  return most;
}

HostList World::Hosts() const {
  HostList list{.answered = true};
  for (const TargetHere& it : targets_) {
    list.hosts.push_back({.name = it.tasks.entry.host,
                          .pool = it.tasks.entry.pool,
                          .state = it.dead ? HostState::kDown : HostState::kUp,
                          .data_centre = "a",
                          .labels = it.tasks.entry.labels,
                          .target = it.dead ? "" : it.tasks.entry.id});
  }
  return list;
}

HostResult World::CarryHost(const HostOrder& order) {
  for (int n = 0; n < static_cast<int>(targets_.size()); ++n) {
    TargetHere& here = targets_[At(n)];
    if (here.tasks.entry.host != order.host || here.dead) continue;
    if (order.wave != 0 && serviced_.count(order.host) > 0) {
      return HostResult::kDone;
    }
    for (const auto& [name, run] : here.tasks.runs) {
      Breach(StrCat(ToString(name), " was at work on a host taken out"));
    }
    if (order.wave != 0) {
      if (wave_out_ >= waves_.at(order.wave).limit) {
        Breach("more hosts are out than their wave allows");
      }
      ++wave_out_;
      serviced_.insert(order.host);
    }
    here.dead = true;
    here.tasks.runs.clear();
    After(milliseconds(2000), [this, n, wave = order.wave] {
      if (wave != 0) --wave_out_;
      TargetHere fresh;
      fresh.tasks.entry = targets_[At(n)].tasks.entry;
      fresh.tasks.entry.id += "+";
      fresh.tasks.entry.born += 1000 + NowMs();
      targets_[At(n)] = std::move(fresh);
    });
    return HostResult::kDone;
  }
  return HostResult::kBusy;
}

std::vector<std::string> World::StartsBeyondAttempts() const {
  std::vector<std::string> beyond;
  for (const auto& [name, runs] : late_starts_) {
    auto noted = noted_failures_.find(name);
    if (noted == noted_failures_.end()) continue;
    const auto n = std::count_if(
        runs.begin(), runs.end(),
        [&](std::int64_t it) { return noted->second.count(it) > 0; });
    if (n >= kMaxAttempts) beyond.push_back(ToString(name));
  }
  return beyond;
}

std::vector<std::string> World::WronglyCompleted() const {
  std::vector<std::string> wrong;
  for (const std::string& id : accepted_) {
    if (StateOf(id) != JobState::kCompleted) continue;
    const std::vector<Step>& steps = specs_.at(id).steps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      for (std::int64_t n = 0; n < steps[s].count; ++n) {
        const TaskName name{id, 0, static_cast<std::int64_t>(s), n};
        if (done_.count(name) == 0) wrong.push_back(ToString(name));
      }
    }
  }
  return wrong;
}

bool World::WaveShownCompleted(std::int64_t number) const {
  const Row* row = store_.Find({Table::kWaves, StrCat("wave/", number)});
  return row != nullptr && row->value.value("completed", false);
}

}  // namespace hyssopbarrow::fleet
