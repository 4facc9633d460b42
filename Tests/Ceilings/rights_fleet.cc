#include "Ceilings/rights_fleet.h"

#include <algorithm>
#include <iterator>
#include <variant>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

using std::chrono::milliseconds;

/// Virtual time between two steps of the simulation.
constexpr Duration kStep = milliseconds(10);
/// Work takes an exponentially distributed time, at most kLongestWork.
constexpr Duration kLongestWork = milliseconds(2000);
constexpr double kMeanWorkMs = 200;
/// Bytes of a row in a reply beyond its key and value, for the count of bytes
/// read.
constexpr std::int64_t kRowOverheadBytes = 40;

std::string TeamName(int team) { return StrCat("team-", team); }

std::int64_t BytesOf(const std::vector<Row>& rows) {
  std::int64_t bytes = 0;
  for (const Row& row : rows) {
    bytes += std::ssize(row.key) + std::ssize(row.value.dump());
    bytes += kRowOverheadBytes;
  }
  return bytes;
}

}  // namespace

std::optional<std::string> FindViolation(const RightsAudit& before,
                                         const RightsAudit& now) {
  if (now.free + now.held != now.ceiling) {
    return StrCat("free ", now.free, " + held ", now.held, " != ceiling ",
                  now.ceiling);
  }
  const std::int64_t allowed = std::max(now.ceiling, now.held);
  if (now.max_running > allowed) {
    return StrCat("max_running ", now.max_running, " > ", allowed);
  }
  if (now.running > allowed) {
    return StrCat("running ", now.running, " > ", allowed);
  }
  const bool same_ceiling = now.ceiling == before.ceiling;
  if (same_ceiling && now.free < 0 && now.free < before.free) {
    return StrCat("free fell from ", before.free, " to ", now.free);
  }
  return std::nullopt;
}

RightsFleet::RightsFleet(RightsScheme scheme, int hosts, int teams,
                         std::int64_t ceiling, std::uint64_t seed)
    : scheme_(scheme),
      teams_(teams),
      random_(seed),
      now_(std::chrono::hours(1)),
      hosts_(hosts),
      audits_(teams) {
  snapshot_.revision = 1;
  snapshot_.queues["q"] = {
      .name = "q",
      .timeout_ms =
          std::chrono::duration_cast<milliseconds>(kLongestWork).count()};
  for (int n = 0; n < teams; ++n) {
    snapshot_.teams[TeamName(n)] = {.name = TeamName(n), .ceiling = ceiling};
  }
  for (int n = 0; n < hosts; ++n) {
    hosts_[n].id = {StrCat("entry-", n), 1};
    hosts_[n].snapshot = snapshot_;
    hosts_[n].demand.resize(teams);
    hosts_[n].running.resize(teams);
  }
}

void RightsFleet::Run(Duration span) {
  const Instant end = now_ + span;
  while (now_ < end) Step();
}

void RightsFleet::SetDemand(int host, int team, std::int64_t demand) {
  hosts_[host].demand[team] = demand;
}

void RightsFleet::SetCeiling(int team, std::int64_t ceiling) {
  ++snapshot_.revision;
  snapshot_.teams[TeamName(team)].ceiling = ceiling;
  for (EntryHost& host : hosts_) {
    if (!host.partitioned && !host.paused) host.snapshot = snapshot_;
  }
}

void RightsFleet::Kill(int host) { hosts_[host].dead = true; }

void RightsFleet::Replace(int host) {
  EntryHost next{.id = {hosts_[host].id.name, hosts_[host].id.incarnation + 1},
                 .state = {},
                 .snapshot = snapshot_,
                 .demand = hosts_[host].demand,
                 .running = std::vector<std::int64_t>(teams_),
                 .work = {}};
  replaced_hosts_.push_back(std::move(hosts_[host]));
  hosts_[host] = std::move(next);
}

void RightsFleet::ResumeReplaced() {
  for (EntryHost& host : replaced_hosts_) host.paused = false;
}

void RightsFleet::MarkEnded(int host) {
  for (EntryHost& other : hosts_) {
    MarkHolderEnded(other.state, hosts_[host].id, now_);
  }
}

std::int64_t RightsFleet::Running(int host, int team) const {
  return hosts_[host].running[team];
}

std::int64_t RightsFleet::Usable(int host, int team) const {
  return UsableRights(hosts_[host].state, TeamName(team));
}

std::vector<RightsAudit> RightsFleet::Audit() const {
  std::vector<RightsAudit> audits(teams_);
  for (int n = 0; n < teams_; ++n) {
    const std::string key = TeamRightsKey(TeamName(n));
    for (const Row& row : table_.Read(key)) {
      if (row.key != key) continue;
      const std::optional<TeamLedger> ledger = ParseTeamLedger(row.value);
      audits[n].ceiling = ledger->ceiling;
      audits[n].free = ledger->free;
    }
  }
  AddHeldRows(audits);
  for (const EntryHost& host : hosts_) AddMaxRunning(host, audits);
  for (const EntryHost& host : replaced_hosts_) AddMaxRunning(host, audits);
  return audits;
}

void RightsFleet::AddHeldRows(std::vector<RightsAudit>& audits) const {
  for (const Row& row : table_.Read(kHeldRightsPrefix)) {
    const std::optional<HeldLedger> held = ParseHeldLedger(row.value);
    for (int n = 0; n < teams_; ++n) {
      const Rights* rights = Find(*held, TeamName(n));
      if (rights != nullptr) audits[n].held += Total(*rights);
    }
  }
}

void RightsFleet::AddMaxRunning(const EntryHost& host,
                                std::vector<RightsAudit>& audits) const {
  CeilingsState resumed = host.state;
  BeginCeilingsStep(resumed, now_);
  for (int n = 0; n < teams_; ++n) {
    const std::int64_t usable =
        host.dead ? 0 : UsableRights(resumed, TeamName(n));
    audits[n].max_running += std::max(host.running[n], usable);
    audits[n].running += host.running[n];
  }
}

void RightsFleet::Step() {
  now_ += kStep;
  StepRequests();
  for (EntryHost& host : hosts_) StepHost(host);
  for (EntryHost& host : replaced_hosts_) StepHost(host);
  CountRunning();
  if (++steps_ % audit_interval_ == 0) CheckLedger();
}

RightsFleet::EntryHost* RightsFleet::FindHost(const HolderId& holder) {
  auto has_id = [&](const EntryHost& host) { return host.id == holder; };
  auto found = std::find_if(hosts_.begin(), hosts_.end(), has_id);
  if (found != hosts_.end()) return &*found;
  found = std::find_if(replaced_hosts_.begin(), replaced_hosts_.end(), has_id);
  return found == replaced_hosts_.end() ? nullptr : &*found;
}

void RightsFleet::StepHost(EntryHost& host) {
  EndWork(host);
  if (host.dead || host.paused) return;
  BeginCeilingsStep(host.state, now_);
  std::map<std::string, std::int64_t> waiting;
  for (int n = 0; n < teams_; ++n) {
    const std::int64_t lacking = host.demand[n] - host.running[n];
    if (lacking > 0) waiting[TeamName(n)] = lacking;
  }
  if (!host.stopping) StartWork(host);
  if (scheme_ != RightsScheme::kLedger) return;
  SetWaitingWork(host.state, waiting);
  Outbox out;
  TickCeilings(host.state,
               {.snapshot = host.snapshot,
                .self = host.id,
                .stopping = host.stopping,
                .now = now_},
               next_request_, out);
  for (const StoreRequest& request : out.store_requests) Submit(host, request);
}

void RightsFleet::EndWork(EntryHost& host) {
  auto ended = [&](const Work& work) { return work.end <= now_; };
  for (const Work& work : host.work) {
    if (!ended(work)) continue;
    --host.running[work.team];
    ReleaseRight(host.state, TeamName(work.team));
  }
  std::erase_if(host.work, ended);
}

bool RightsFleet::MayStart(EntryHost& host, int team) {
  const std::int64_t ceiling = host.snapshot.teams.at(TeamName(team)).ceiling;
  switch (scheme_) {
    case RightsScheme::kLedger:
      return AcquireRight(host.state, host.snapshot, TeamName(team));
    case RightsScheme::kUncoordinated:
      return host.running[team] < ceiling;
    case RightsScheme::kStaticSplit:
      return host.running[team] < ceiling / std::ssize(hosts_);
  }
  return false;
}

void RightsFleet::StartWork(EntryHost& host) {
  std::exponential_distribution<double> length(1 / kMeanWorkMs);
  for (int n = 0; n < teams_; ++n) {
    while (host.running[n] < host.demand[n] && MayStart(host, n)) {
      const auto span = milliseconds(static_cast<int>(length(random_)) + 1);
      host.work.push_back({n, now_ + std::min<Duration>(span, kLongestWork)});
      ++host.running[n];
    }
  }
}

void RightsFleet::Submit(const EntryHost& host, const StoreRequest& request) {
  auto chance = [&](double p) {
    return std::bernoulli_distribution(p)(random_);
  };
  auto latency = [&](int max_ms) {
    return milliseconds(std::uniform_int_distribution<int>(1, max_ms)(random_));
  };
  const bool lost = host.partitioned || chance(faults.lost_reply_probability);
  const Duration request_latency =
      latency(chance(faults.slow_probability) ? 1500 : 4);
  const Instant apply_time = now_ + request_latency;
  const Instant reply_time = apply_time + latency(4);
  const bool reply_arrives = !lost && reply_time <= request.deadline;
  const bool refused = faults.unavailable && !host.partitioned;
  requests_.push_back(
      {.holder = host.id,
       .request = request,
       .apply_time = apply_time,
       .reply_time = reply_arrives || refused ? reply_time : request.deadline,
       .settled = host.partitioned || faults.unavailable,
       .has_reply = reply_arrives && !faults.unavailable,
       .reply = {.status = refused ? StoreStatus::kUnavailable
                                   : StoreStatus::kUnknown}});
}

void RightsFleet::ApplyRequest(InFlightRequest& request) {
  request.settled = true;
  StoreReply reply;
  if (const auto* read = std::get_if<StoreRead>(&request.request.operation)) {
    reply.status = StoreStatus::kOk;
    reply.rows = table_.Read(read->prefix);
    ++counts_.reads;
    counts_.read_bytes += BytesOf(reply.rows);
  } else {
    reply = table_.Commit(std::get<Transaction>(request.request.operation));
    const bool ok = reply.status == StoreStatus::kOk;
    ++(ok ? counts_.commits : counts_.conflicts);
  }
  if (request.has_reply) request.reply = reply;
}

void RightsFleet::StepRequests() {
  std::stable_sort(requests_.begin(), requests_.end(),
                   [](const InFlightRequest& a, const InFlightRequest& b) {
                     return a.apply_time < b.apply_time;
                   });
  for (InFlightRequest& request : requests_) {
    if (!request.settled && request.apply_time <= now_) ApplyRequest(request);
  }
  std::vector<InFlightRequest> due;
  auto is_due = [&](const InFlightRequest& request) {
    return request.reply_time <= now_ && !FindHost(request.holder)->paused;
  };
  std::copy_if(requests_.begin(), requests_.end(), std::back_inserter(due),
               is_due);
  std::erase_if(requests_, [&](const InFlightRequest& request) {
    return is_due(request) && request.settled;
  });
  for (const InFlightRequest& request : due) DeliverReply(request);
}

void RightsFleet::DeliverReply(const InFlightRequest& request) {
  EntryHost& host = *FindHost(request.holder);
  if (host.dead) return;
  HandleRightsReply(host.state, request.request.id, request.reply, now_);
}

void RightsFleet::CountRunning() {
  const double seconds = std::chrono::duration<double>(kStep).count();
  for (int n = 0; n < teams_; ++n) {
    std::int64_t demand = 0;
    std::int64_t running = 0;
    for (const EntryHost& host : hosts_) {
      demand += host.demand[n];
      running += host.running[n];
    }
    for (const EntryHost& host : replaced_hosts_) running += host.running[n];
    const std::int64_t ceiling = snapshot_.teams.at(TeamName(n)).ceiling;
    const std::int64_t runnable = std::min(demand, ceiling);
    counts_.running +=
        static_cast<double>(std::min(running, runnable)) * seconds;
    counts_.runnable += static_cast<double>(runnable) * seconds;
    if (running > ceiling) ++counts_.violations;
  }
}

void RightsFleet::CheckLedger() {
  if (scheme_ != RightsScheme::kLedger) return;
  std::vector<RightsAudit> audits = Audit();
  for (int n = 0; n < teams_; ++n) {
    const auto found = FindViolation(audits_[n], audits[n]);
    if (!found.has_value() || !violation_.empty()) continue;
    violation_ = StrCat("at ", now_.time_since_epoch().count(),
                        " us: ", TeamName(n), ": ", *found);
  }
  audits_ = std::move(audits);
}

}  // namespace hyssopbarrow
