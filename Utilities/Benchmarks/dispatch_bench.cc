#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <set>

#include "Benchmarks/virtual_fleet.h"
#include "Model/text.h"
#include "Policy/slot_reconcile.h"

DEFINE_uint64(seed, 1, "seed of arrivals and service times");
DEFINE_string(section, "all", "share, burst, cost, bytes or all");

namespace hyssopbarrow {
namespace {

constexpr int kWorkersPerCell = 10;
constexpr std::int64_t kSlotsPerWorker = 8;
constexpr double kSampleSeconds = 0.05;
constexpr double kWindowSeconds = 10;
constexpr double kWarmUpSeconds = 10;

const std::vector<std::string> kCentres = {"namche", "lukla", "tengboche"};

struct TeamSpec {
  std::string name;
  std::int64_t weight = 1;
  std::int64_t ceiling = 100000;
};

void AddTeam(Snapshot& snapshot, const TeamSpec& team) {
  snapshot.teams[team.name] = {
      .name = team.name, .weight = team.weight, .ceiling = team.ceiling};
  const std::string digest = Sha256Hex("key-" + team.name);
  snapshot.keys[team.name] = {
      .name = team.name, .digest = digest, .team = team.name};
  snapshot.key_name_by_digest[digest] = team.name;
}

void AddCell(Snapshot& snapshot, const std::string& pool,
             const std::string& centre) {
  snapshot.pools.try_emplace(pool, Pool{.name = pool});
  for (int n = 0; n < kWorkersPerCell; ++n) {
    const std::string name = StrCat(pool, "-", centre, "-", n);
    snapshot.hosts[name] = {.name = name,
                            .pool = pool,
                            .data_centre = centre,
                            .rack = StrCat(centre, "-", n / 4),
                            .address = "127.0.0.1:1",
                            .slots = kSlotsPerWorker};
  }
}

void AddQueue(Snapshot& snapshot, const std::string& name,
              const std::string& pool, QueueClass queue_class,
              bool use_spare = false) {
  snapshot.queues[name] = {.name = name,
                           .pool = pool,
                           .queue_class = queue_class,
                           .timeout_ms = 3600'000,
                           .max_waiting = 100000,
                           .use_spare = use_spare};
}

/// Divides `capacity` among the teams by weighted max-min fairness.
std::map<std::string, double> Entitlements(
    const std::map<std::string, double>& demand,
    const std::vector<TeamSpec>& teams, double capacity) {
  std::map<std::string, double> result;
  std::vector<TeamSpec> unsatisfied = teams;
  while (!unsatisfied.empty() && capacity > 1e-9) {
    double weights = 0;
    for (const TeamSpec& team : unsatisfied) {
      weights += static_cast<double>(team.weight);
    }
    const double level = capacity / weights;
    std::vector<TeamSpec> rest;
    for (const TeamSpec& team : unsatisfied) {
      const double limit =
          std::min(demand.at(team.name), static_cast<double>(team.ceiling));
      if (limit > level * static_cast<double>(team.weight)) {
        rest.push_back(team);
        continue;
      }
      result[team.name] = limit;
      capacity -= limit;
    }
    if (rest.size() == unsatisfied.size()) {
      for (const TeamSpec& team : unsatisfied) {
        result[team.name] = level * static_cast<double>(team.weight);
      }
      return result;
    }
    unsatisfied = std::move(rest);
  }
  return result;
}

/// Measures how far the slot time that teams got is from their fair share, over
/// windows of 10 s.
struct ShareMeter {
  std::vector<TeamSpec> teams;
  double capacity = 0;
  std::map<std::string, double> received;  ///< Slot samples in this window.
  std::map<std::string, double> entitled;  ///< Fair share in this window.
  double idle = 0;
  double idle_total = 0;
  double samples_total = 0;
  double window_end = kWarmUpSeconds + kWindowSeconds;
  /// Misallocated part of each window's slot time.
  std::vector<double> distances;
  double worst_team =
      0;  ///< Highest |received - entitled| / entitled of a team in a window.
  double team_sum = 0;
  double team_count = 0;

  void Sample(double now, const std::map<std::string, TeamCount>& counts) {
    if (now < kWarmUpSeconds) return;
    std::map<std::string, double> demand;
    double running = 0;
    double waiting = 0;
    for (const TeamSpec& team : teams) {
      auto found = counts.find(team.name);
      const TeamCount n = found == counts.end() ? TeamCount{} : found->second;
      demand[team.name] = static_cast<double>(n.running + n.waiting);
      received[team.name] += static_cast<double>(n.running);
      running += static_cast<double>(n.running);
      const auto room = static_cast<double>(
          std::max<std::int64_t>(0, team.ceiling - n.running));
      waiting += std::min(static_cast<double>(n.waiting), room);
    }
    for (const auto& [name, n] : Entitlements(demand, teams, capacity)) {
      entitled[name] += n;
    }
    idle_total += std::min(std::max(0.0, capacity - running), waiting);
    samples_total += capacity;
    if (now >= window_end) EndWindow();
  }

  void EndWindow() {
    window_end += kWindowSeconds;
    double total = 0;
    double misallocated = 0;
    for (const auto& [name, n] : entitled) {
      total += n;
      misallocated += std::abs(received[name] - n) / 2;
      if (n <= 0) continue;
      const double relative = std::abs(received[name] - n) / n;
      worst_team = std::max(worst_team, relative);
      team_sum += relative;
      team_count += 1;
    }
    distances.push_back(misallocated / total);
    received.clear();
    entitled.clear();
  }

  void Print(const std::string& label) const {
    double sum = 0;
    double worst = 0;
    for (double distance : distances) {
      sum += distance;
      worst = std::max(worst, distance);
    }
    std::printf(
        "| %-34s | %5.2f | %5.2f | %5.2f | %6.2f | %5.2f |\n", label.c_str(),
        100 * sum / std::max(1.0, static_cast<double>(distances.size())),
        100 * worst, 100 * team_sum / std::max(1.0, team_count),
        100 * worst_team, 100 * idle_total / samples_total);
  }
};

/// Models one pool's slots without a dispatcher: first come, first served over
/// all teams, or a fixed part of the slots for each team.
class Baseline {
 public:
  Baseline(std::vector<TeamSpec> teams, std::int64_t slots, bool split,
           std::uint64_t seed)
      : teams_(std::move(teams)), slots_(slots), split_(split), random_(seed) {
    double weights = 0;
    for (const TeamSpec& team : teams_) {
      weights += static_cast<double>(team.weight);
    }
    for (const TeamSpec& team : teams_) {
      const double part = static_cast<double>(team.weight) / weights;
      limits_[team.name] =
          split ? static_cast<std::int64_t>(static_cast<double>(slots) * part)
                : team.ceiling;
    }
  }

  /// Advances in steps of 1 ms until `end`.
  void RunUntil(double end, const std::vector<CallSource>& sources) {
    constexpr double kStep = 0.001;
    for (; now_ < end; now_ += kStep) {
      for (const CallSource& source : sources) AddArrivals(source, kStep);
      EndFinished();
      StartWaiting();
    }
  }

  std::map<std::string, TeamCount>& teams() { return counts_; }

 private:
  struct WaitingCall {
    const CallSource* source;
    double deadline;
  };

  void AddArrivals(const CallSource& source, double step) {
    std::poisson_distribution<int> n(source.rate(now_) * step);
    for (int left = n(random_); left > 0; --left) {
      queues_[split_ ? source.team : ""].push_back(
          {&source, now_ + ToSeconds(source.timeout)});
      ++counts_[source.team].waiting;
    }
  }

  void EndFinished() {
    while (!end_times_.empty() && end_times_.begin()->first <= now_) {
      --counts_[end_times_.begin()->second].running;
      end_times_.erase(end_times_.begin());
    }
  }

  void StartWaiting() {
    for (auto& [key, queue] : queues_) {
      while (!queue.empty()) {
        const WaitingCall call = queue.front();
        TeamCount& team = counts_[call.source->team];
        if (call.deadline > now_) {
          if (std::ssize(end_times_) >= slots_) break;
          if (team.running >= limits_[call.source->team]) break;
          ++team.running;
          end_times_.emplace(
              now_ + Exponential(random_, call.source->mean_service_s),
              call.source->team);
        }
        --team.waiting;
        queue.pop_front();
      }
    }
  }

  std::vector<TeamSpec> teams_;
  std::int64_t slots_;
  bool split_;
  std::mt19937_64 random_;
  double now_ = 0;
  std::map<std::string, std::int64_t> limits_;
  std::map<std::string, TeamCount> counts_;
  std::map<std::string, std::deque<WaitingCall>> queues_;
  std::multimap<double, std::string> end_times_;
};

struct ShareScenario {
  std::string label;
  std::vector<TeamSpec> teams;
  std::vector<CallSource> sources;
  double capacity = 0;
  double seconds = 130;
  std::vector<std::string> centres = kCentres;
};

/// `slots` is the mean number of slots that the calls keep busy.
CallSource MakeSource(const std::string& team, const std::string& centre,
                      double service_s, double slots, Duration timeout) {
  return {.team = team,
          .queue = "book",
          .gateway = centre + "-0",
          .mean_service_s = service_s,
          .timeout = timeout,
          .rate = [=](double) { return slots / service_s; }};
}

Snapshot ShareSnapshot(const ShareScenario& scenario) {
  Snapshot snapshot;
  snapshot.revision = 1;
  for (const TeamSpec& team : scenario.teams) AddTeam(snapshot, team);
  for (const std::string& centre : scenario.centres) {
    AddCell(snapshot, "booking", centre);
  }
  AddQueue(snapshot, "book", "booking", QueueClass::kUrgent);
  return snapshot;
}

void AddNodes(VirtualFleet& fleet, const std::vector<std::string>& centres) {
  for (const std::string& centre : centres) {
    fleet.AddNode(centre + "-0", centre);
    fleet.AddNode(centre + "-1", centre);
  }
}

void RunShare(const ShareScenario& scenario) {
  ShareMeter meter{.teams = scenario.teams, .capacity = scenario.capacity};
  VirtualFleet fleet(ShareSnapshot(scenario), FLAGS_seed);
  AddNodes(fleet, scenario.centres);
  fleet.RunUntil(3);
  for (const CallSource& source : scenario.sources) fleet.AddSource(source);
  for (double now = 3; now < scenario.seconds; now += kSampleSeconds) {
    fleet.RunUntil(now);
    meter.Sample(now, fleet.teams());
  }
  meter.Print(scenario.label);
  for (const bool split : {false, true}) {
    ShareMeter other{.teams = scenario.teams, .capacity = scenario.capacity};
    Baseline baseline(scenario.teams,
                      static_cast<std::int64_t>(scenario.capacity), split,
                      FLAGS_seed);
    for (double now = 0; now < scenario.seconds; now += kSampleSeconds) {
      baseline.RunUntil(now, scenario.sources);
      other.Sample(now, baseline.teams());
    }
    other.Print(split ? "  static split" : "  first come first served");
  }
}

/// Six teams of different weight. All but one ask for more than their share.
/// Service times differ, and each team sends most calls to one data centre.
ShareScenario SteadyScenario() {
  ShareScenario scenario{
      .label = "steady, all cells full",
      .teams =
          {{"t1", 5}, {"t2", 3}, {"t3", 2}, {"t4", 1}, {"t5", 1}, {"t6", 1}},
      .capacity = 240};
  const std::vector<double> service = {0.1, 0.3, 0.2, 0.8, 0.15, 0.25};
  const std::vector<double> load = {0.6, 0.5, 0.4, 0.15, 0.04, 0.2};
  for (std::size_t n = 0; n < scenario.teams.size(); ++n) {
    for (std::size_t dc = 0; dc < kCentres.size(); ++dc) {
      const double part = dc == n % kCentres.size() ? 0.6 : 0.2;
      scenario.sources.push_back(
          MakeSource(scenario.teams[n].name, kCentres[dc], service[n],
                     240 * load[n] * part, std::chrono::seconds(10)));
    }
  }
  return scenario;
}

/// One data centre, whose only dispatcher holds all rights of a ceiling.
ShareScenario CeilingScenario() {
  ShareScenario scenario{
      .label = "one cell, one team at its ceiling",
      .teams = {{"t1", 5, 15}, {"t2", 3}, {"t3", 2}, {"t4", 1}},
      .capacity = 80,
      .centres = {"namche"}};
  const std::vector<double> service = {0.1, 0.3, 0.2, 0.8};
  for (std::size_t n = 0; n < scenario.teams.size(); ++n) {
    scenario.sources.push_back(MakeSource(scenario.teams[n].name, "namche",
                                          service[n], 40,
                                          std::chrono::seconds(10)));
  }
  return scenario;
}

/// Each team in turn asks for five times its mean for 5 s, then for a twentieth
/// of it until 5 s before its next turn, when it asks for the mean.
ShareScenario RotatingScenario() {
  ShareScenario scenario{
      .label = "rotating five-fold demand",
      .teams =
          {{"t1", 5}, {"t2", 3}, {"t3", 2}, {"t4", 1}, {"t5", 1}, {"t6", 1}},
      .capacity = 240,
      .seconds = 190};
  constexpr double kTurnSeconds = 5;
  for (std::size_t n = 0; n < scenario.teams.size(); ++n) {
    for (const std::string& centre : kCentres) {
      CallSource source = MakeSource(scenario.teams[n].name, centre, 0.2, 0,
                                     std::chrono::seconds(10));
      const double mean = 0.3 * 240 / 3 / 0.2;
      source.rate = [=, teams = scenario.teams.size()](double now) {
        const auto turn = static_cast<std::size_t>(now / kTurnSeconds) % teams;
        if (turn == n) return 5 * mean;
        return (turn + 1) % teams == n ? mean : mean / 20;
      };
      scenario.sources.push_back(source);
    }
  }
  return scenario;
}

void ShareSection() {
  std::printf(
      "\nDistance from the fair share over windows of 10 s, and idle slots "
      "while work that could run waits, %% (seed %llu)\n",
      static_cast<unsigned long long>(FLAGS_seed));
  std::printf("| scenario | mean | worst | team mean | team worst | idle |\n");
  std::printf("| --- | --- | --- | --- | --- | --- |\n");
  RunShare(SteadyScenario());
  RunShare(CeilingScenario());
  RunShare(RotatingScenario());
}

double Percentile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto n =
      static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
  return values[n];
}

/// Measures a pool that serves urgent calls and long work. In every 20 s the
/// urgent queue asks for five times its mean for 3 s.
void RunBurst(const std::string& label, double mean_load, bool spare) {
  Snapshot snapshot;
  snapshot.revision = 1;
  const std::vector<TeamSpec> teams = {{"t1", 2}, {"t2", 1}, {"t3", 1}};
  for (const TeamSpec& team : teams) AddTeam(snapshot, team);
  for (const std::string& centre : kCentres) {
    AddCell(snapshot, "booking", centre);
  }
  if (spare) {
    for (const std::string& centre : kCentres) {
      AddCell(snapshot, "reserve", centre);
    }
    snapshot.pools["reserve"].spare = true;
  }
  AddQueue(snapshot, "book", "booking", QueueClass::kUrgent, spare);
  AddQueue(snapshot, "tally", "booking", QueueClass::kLong);
  VirtualFleet fleet(snapshot, FLAGS_seed);
  AddNodes(fleet, kCentres);
  fleet.RunUntil(3);
  for (const TeamSpec& team : teams) {
    for (const std::string& centre : kCentres) {
      CallSource urgent = MakeSource(team.name, centre, 0.1, 0,
                                     std::chrono::milliseconds(1400));
      const double mean = mean_load * 240 / 9 / 0.1;
      urgent.rate = [=](double now) {
        const double phase = std::fmod(now, 20);
        if (phase < 3) return 5 * mean;
        return phase < 6 ? mean / 20 : mean;
      };
      fleet.AddSource(urgent);
    }
  }
  CallSource tally = MakeSource("t3", "namche", 20, 300, std::chrono::hours(1));
  tally.queue = "tally";
  fleet.AddSource(tally);
  fleet.RunUntil(120);
  QueueResult& book = fleet.results()["book"];
  const QueueResult& long_work = fleet.results()["tally"];
  std::printf(
      "| %-32s | %6lld | %6.0f | %6.0f | %5.1f | %6.0f | %lld | %lld |\n",
      label.c_str(), static_cast<long long>(book.arrived),
      1000 * Percentile(book.start_s, 0.5),
      1000 * Percentile(book.start_s, 0.99),
      100 * static_cast<double>(book.refused_s.size()) /
          static_cast<double>(std::max<std::int64_t>(1, book.arrived)),
      1000 * Percentile(book.refused_s, 0.5),
      static_cast<long long>(book.refused_late),
      static_cast<long long>(long_work.start_s.size()));
}

void BurstSection() {
  std::printf(
      "\nUrgent calls (0.1 s, deadline 1.4 s) beside long work (20 s) "
      "under five-fold bursts of 3 s (seed %llu)\n",
      static_cast<unsigned long long>(FLAGS_seed));
  std::printf(
      "| load | calls | start p50 ms | start p99 ms | refused %% | "
      "refusal p50 ms | refused late | long started |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  RunBurst("mean 4%, burst 20% of slots", 0.04, false);
  RunBurst("mean 15%, burst 75%", 0.15, false);
  RunBurst("mean 30%, burst 150%", 0.3, false);
  RunBurst("mean 30%, burst 150%, spare pool", 0.3, true);
  RunBurst("mean 50%, burst 250%", 0.5, false);
}

/// Measures the cost of grants while all slots are in use. Each step releases
/// one slot and enqueues one request.
void RunCost(int teams, int workers, int waiting) {
  Snapshot snapshot;
  snapshot.revision = 1;
  for (int n = 0; n < teams; ++n) {
    AddTeam(snapshot, {StrCat("t", n), 1 + n % 4});
  }
  snapshot.pools["p"] = {.name = "p"};
  for (int n = 0; n < workers; ++n) {
    const std::string name = StrCat("w", n);
    snapshot.hosts[name] = {.name = name,
                            .pool = "p",
                            .data_centre = "dc",
                            .rack = StrCat("r", n / 4),
                            .address = "127.0.0.1:1",
                            .slots = kSlotsPerWorker};
  }
  AddQueue(snapshot, "q", "p", QueueClass::kUrgent);
  MembershipState membership({"node", "dc", 1});
  DispatchState dispatch;
  ShareState share;
  CeilingsState ceilings;
  Instant now{std::chrono::seconds(1000)};
  const CellId cell{"p", "dc"};
  std::int64_t next_call = 0;
  std::deque<GrantId> granted;
  Outbox out;
  auto context = [&] {
    return DispatchContext{snapshot, membership, share, ceilings, now};
  };
  auto collect_grants = [&] {
    for (const PeerSend& send : out.peer_sends) {
      const auto* grant = std::get_if<SlotGrant>(&send.message);
      if (grant != nullptr) granted.push_back(grant->grant);
    }
    out = Outbox{};
  };
  auto enqueue = [&] {
    const std::int64_t n = next_call++;
    HandleSlotRequest(dispatch, context(),
                      {.call = {"node", 1, n},
                       .attempt = 1,
                       .cell = cell,
                       .team = StrCat("t", n % teams),
                       .queue = "q",
                       .remaining = std::chrono::hours(1)},
                      out);
  };
  TickDispatch(dispatch, context(), out);
  const std::int64_t slots = workers * kSlotsPerWorker;
  for (std::int64_t n = 0; n < slots + waiting; ++n) enqueue();
  for (int n = 0; n < 2; ++n) {
    TickDispatch(dispatch, context(), out);
    now += std::chrono::seconds(2);
  }
  TickDispatch(dispatch, context(), out);
  collect_grants();
  constexpr int kSteps = 200'000;
  const auto start = std::chrono::steady_clock::now();
  for (int n = 0; n < kSteps; ++n) {
    now += Duration(5);
    HandleSlotRelease(dispatch, context(),
                      {.cell = cell,
                       .grant = granted.front(),
                       .result = SlotResult::kSucceeded});
    granted.pop_front();
    enqueue();
    TickDispatch(dispatch, context(), out);
    collect_grants();
  }
  const auto spent = std::chrono::steady_clock::now() - start;
  const auto cancel_start = std::chrono::steady_clock::now();
  const int cancels = std::min(waiting, 10'000);
  for (int n = 0; n < cancels; ++n) {
    HandleSlotCancel(
        dispatch,
        {.call = {"node", 1, next_call - 1 - n}, .attempt = 1, .cell = cell});
  }
  const auto cancelled = std::chrono::steady_clock::now() - cancel_start;
  const auto idle_start = std::chrono::steady_clock::now();
  for (int n = 0; n < kSteps; ++n) TickDispatch(dispatch, context(), out);
  const auto idle = std::chrono::steady_clock::now() - idle_start;
  using Micro = std::chrono::duration<double, std::micro>;
  std::printf("| %5d | %6d | %7d | %6.2f | %6.2f | %6.3f |\n", teams, workers,
              waiting, Micro(spent).count() / kSteps,
              Micro(cancelled).count() / std::max(1, cancels),
              Micro(idle).count() / kSteps);
}

void CostSection() {
  std::printf(
      "\nCost of one release, request and grant; of a cancel; of a tick "
      "without work; in microseconds\n");
  std::printf("| teams | workers | waiting | grant | cancel | step |\n");
  std::printf("| --- | --- | --- | --- | --- | --- |\n");
  for (int teams : {6, 120, 1000}) RunCost(teams, 50, 10'000);
  for (int workers : {50, 1500, 10'000}) RunCost(120, workers, 10'000);
  for (int waiting : {10, 1'000, 100'000}) RunCost(120, 1500, waiting);
}

/// Measures the traffic of share digests with 6 data centres of 7 entry hosts,
/// 20 pools and 120 teams that use every pool.
void BytesSection() {
  constexpr int kDataCentres = 6;
  constexpr int kHostsPerDataCentre = 7;
  constexpr int kPools = 20;
  constexpr int kTeams = 120;
  constexpr double kSeconds = 60;
  Snapshot snapshot;
  snapshot.revision = 1;
  for (int n = 0; n < kTeams; ++n) AddTeam(snapshot, {StrCat("team-", n)});
  for (int pool = 0; pool < kPools; ++pool) {
    for (int dc = 0; dc < kDataCentres; ++dc) {
      const std::string centre = StrCat("dc-", dc);
      AddCell(snapshot, StrCat("pool-", pool), centre);
    }
    AddQueue(snapshot, StrCat("queue-", pool), StrCat("pool-", pool),
             QueueClass::kUrgent);
  }
  VirtualFleet fleet(snapshot, FLAGS_seed);
  for (int dc = 0; dc < kDataCentres; ++dc) {
    for (int n = 0; n < kHostsPerDataCentre; ++n) {
      fleet.AddNode(StrCat("dc-", dc, "-", n), StrCat("dc-", dc));
    }
  }
  fleet.RunUntil(3);
  std::mt19937_64 random(FLAGS_seed);
  for (int team = 0; team < kTeams; ++team) {
    for (int pool = 0; pool < kPools; ++pool) {
      CallSource source = MakeSource(StrCat("team-", team),
                                     StrCat("dc-", random() % kDataCentres),
                                     2.0, 2, std::chrono::seconds(10));
      source.queue = StrCat("queue-", pool);
      source.gateway =
          StrCat("dc-", random() % kDataCentres, "-", random() % 7);
      fleet.AddSource(source);
    }
  }
  fleet.RunUntil(10);
  fleet.digest_bytes().clear();
  fleet.RunUntil(10 + kSeconds);
  double sum = 0;
  double worst = 0;
  for (const auto& [name, bytes] : fleet.digest_bytes()) {
    const double rate = static_cast<double>(bytes) / kSeconds;
    sum += rate;
    worst = std::max(worst, rate);
  }
  std::printf(
      "\nShare digests, sent and received by one daemon at 6 data "
      "centres, 20 pools, 120 teams (seed %llu)\n"
      "mean %.0f bytes/s, worst daemon %.0f bytes/s\n",
      static_cast<unsigned long long>(FLAGS_seed),
      sum / (kDataCentres * kHostsPerDataCentre), worst);
}

int Main() {
  const std::string section = FLAGS_section;
  const bool all = section == "all";
  if (all || section == "share") ShareSection();
  if (all || section == "burst") BurstSection();
  if (all || section == "cost") CostSection();
  if (all || section == "bytes") BytesSection();
  return 0;
}

}  // namespace
}  // namespace hyssopbarrow

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hyssopbarrow::Main();
}
