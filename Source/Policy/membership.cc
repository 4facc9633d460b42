#include "Policy/membership.h"

#include <algorithm>
#include <string_view>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(200);
constexpr Duration kRemoteHeartbeatInterval = std::chrono::milliseconds(1000);
constexpr Duration kReportInterval = std::chrono::milliseconds(2000);
/// Delay of the report to other data centres after a member's change.
constexpr Duration kChangeReportDelay = std::chrono::milliseconds(100);
constexpr Duration kIntroductionInterval = std::chrono::seconds(30);
/// Delay of the introduction to local peers after a member was added.
constexpr Duration kNewMemberDelay = std::chrono::milliseconds(1000);
constexpr Duration kMemberTimeout = std::chrono::milliseconds(1200);
constexpr Duration kRemoteMemberTimeout = std::chrono::milliseconds(6000);
/// Time until a member that became live again is eligible; doubles with each
/// further flap.
constexpr Duration kInitialSettleTime = std::chrono::milliseconds(1000);
constexpr std::int64_t kMaxSettleDoublings = 5;
/// Time for which a member must stay live before its flaps are forgotten.
constexpr Duration kFlapResetTime = std::chrono::seconds(60);
constexpr std::size_t kLinksPerRemoteDataCentre = 1;

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t ExtendHash(std::uint64_t hash, std::string_view text) {
  for (unsigned char c : text) hash = (hash ^ c) * kFnvPrime;
  return (hash ^ 0xff) * kFnvPrime;
}

std::uint64_t Finalize(std::uint64_t hash) {
  hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdULL;
  hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
  return hash ^ (hash >> 33);
}

/// Returns the weight of a member for a cell, which is the same on every host
/// and in every build.
std::uint64_t RendezvousWeight(const std::string& member, const CellId& cell) {
  std::uint64_t hash = ExtendHash(kFnvOffset, member);
  hash = ExtendHash(hash, cell.pool);
  hash = ExtendHash(hash, cell.data_centre);
  return Finalize(hash);
}

Duration SettleTime(std::int64_t flaps) {
  const std::int64_t doublings = std::min(flaps - 1, kMaxSettleDoublings);
  return kInitialSettleTime * (std::int64_t{1} << doublings);
}

bool IsLocal(const MembershipState& state, const Member& member) {
  return member.data_centre == state.self.data_centre;
}

bool HasBeenSeen(const Member& member) { return member.last_seen != Instant{}; }

/// Marks a member as seen at `seen_at` and live for `timeout` from then. A
/// member that became live again is eligible only after its settle time.
void MarkAlive(Member& member, Instant seen_at, Duration timeout, Instant now) {
  const bool was_live = now < member.alive_until;
  if (!was_live) {
    if (HasBeenSeen(member)) ++member.flaps;
    member.live_since = now;
    member.eligible_at = now;
    if (member.flaps > 0) member.eligible_at += SettleTime(member.flaps);
  } else if (now > member.live_since + kFlapResetTime) {
    member.flaps = 0;
  }
  member.last_seen = seen_at;
  member.alive_until = seen_at + timeout;
}

MemberEntry MakeMemberEntry(const Member& member, Instant now) {
  const bool is_live = now < member.alive_until;
  return {.name = member.name,
          .data_centre = member.data_centre,
          .address = member.address,
          .incarnation = member.incarnation,
          .config_revision = member.config_revision,
          .store_reachable = member.store_reachable,
          .stopping = member.stopping,
          .age = is_live ? now - member.last_seen : Duration(-1)};
}

/// If `local_only` is true, reports the members of this data centre, which are
/// the only ones that this host knows first hand; otherwise all members with an
/// address.
MemberReport MakeMemberReport(const MembershipState& state, bool local_only,
                              Instant now) {
  MemberReport report;
  for (const auto& [name, member] : state.members) {
    const bool is_included =
        local_only ? IsLocal(state, member) : !member.address.empty();
    if (is_included) report.members.push_back(MakeMemberEntry(member, now));
  }
  return report;
}

void ApplyReportedLiveness(MembershipState& state, const MemberEntry& entry,
                           Instant now) {
  auto it = state.members.find(entry.name);
  if (it == state.members.end() || entry.age < Duration::zero()) return;
  Member& member = it->second;
  const Instant seen_at = now - entry.age;
  const bool is_outdated =
      entry.incarnation < member.incarnation || seen_at <= member.last_seen;
  if (is_outdated || now >= seen_at + kRemoteMemberTimeout) return;
  member.incarnation = entry.incarnation;
  member.config_revision = entry.config_revision;
  member.store_reachable = entry.store_reachable;
  member.stopping = entry.stopping;
  MarkAlive(member, seen_at, kRemoteMemberTimeout, now);
}

/// After a pause of this process, in which it received nothing: gives the
/// members that were live before time to send a heartbeat before they are
/// considered gone, and makes this host ineligible for cells meanwhile.
void CompensateForPause(MembershipState& state, Instant now) {
  const Instant last_tick = std::exchange(state.last_tick, now);
  if (last_tick == Instant{} || now < last_tick + kMemberTimeout) return;
  ++state.pause_count;
  state.eligible_at = now + kInitialSettleTime;
  for (auto& [name, member] : state.members) {
    if (member.alive_until < last_tick) continue;
    member.alive_until = std::max(member.alive_until, now + kMemberTimeout);
  }
}

const Member* FindMember(const MembershipState& state,
                         const std::string& name) {
  auto it = state.members.find(name);
  return it == state.members.end() ? nullptr : &it->second;
}

/// Selects the candidate with the greatest weight; empty if there is none.
class HostElection {
 public:
  explicit HostElection(const CellId& cell) : cell_(cell) {}

  void Consider(const std::string& name) {
    const std::uint64_t weight = RendezvousWeight(name, cell_);
    if (!winner_.empty() && weight <= best_weight_) return;
    winner_ = name;
    best_weight_ = weight;
  }

  const std::string& winner() const { return winner_; }

 private:
  const CellId& cell_;
  std::string winner_;
  std::uint64_t best_weight_ = 0;
};

/// Which live members are eligible for a cell.
enum class CandidateScope { kSettled, kServing, kAll };

std::string ElectHost(const MembershipState& state, const CellId& cell,
                      Instant now, CandidateScope scope) {
  HostElection election(cell);
  const auto is_candidate = [&](bool stopping, Instant eligible_at) {
    if (scope == CandidateScope::kAll) return true;
    const bool is_settled = now >= eligible_at;
    return !stopping && (is_settled || scope == CandidateScope::kServing);
  };
  const bool is_self_local = state.self.data_centre == cell.data_centre;
  if (is_self_local && is_candidate(state.stopping, state.eligible_at)) {
    election.Consider(state.self.name);
  }
  for (const auto& [name, member] : state.members) {
    const bool is_local = member.data_centre == cell.data_centre;
    if (!is_local || now >= member.alive_until) continue;
    if (is_candidate(member.stopping, member.eligible_at)) {
      election.Consider(name);
    }
  }
  return election.winner();
}

}  // namespace

bool AcceptIncarnation(MembershipState& state, const PeerEnvelope& envelope) {
  Member& member = state.members[envelope.from];
  member.name = envelope.from;
  if (envelope.incarnation < member.incarnation) return false;
  if (envelope.incarnation > member.incarnation) {
    member.incarnation = envelope.incarnation;
    member.alive_until = Instant{};
    member.config_revision = 0;
    member.stopping = false;
  }
  return true;
}

void AddMember(MembershipState& state, const MemberEntry& entry, Instant now) {
  if (entry.name == state.self.name || entry.name.empty()) return;
  auto [it, inserted] = state.members.try_emplace(entry.name);
  Member& member = it->second;
  if (inserted) {
    member.name = entry.name;
    state.next_introduction =
        std::min(state.next_introduction, now + kNewMemberDelay);
  }
  if (entry.incarnation < member.incarnation) return;
  if (member.data_centre.empty()) member.data_centre = entry.data_centre;
  const bool is_newer = entry.incarnation > member.incarnation;
  if (!entry.address.empty() && (is_newer || member.address.empty())) {
    member.address = entry.address;
  }
}

void HandleHeartbeat(MembershipState& state, const PeerEnvelope& envelope,
                     const Heartbeat& heartbeat, Instant now) {
  Member& member = state.members[envelope.from];
  member.name = envelope.from;
  member.incarnation = envelope.incarnation;
  member.data_centre = heartbeat.data_centre;
  const bool has_changed =
      member.config_revision != heartbeat.config_revision ||
      member.stopping != heartbeat.stopping || now >= member.alive_until;
  member.config_revision = heartbeat.config_revision;
  member.store_reachable = heartbeat.store_reachable;
  member.stopping = heartbeat.stopping;
  const bool is_local = IsLocal(state, member);
  MarkAlive(member, now, is_local ? kMemberTimeout : kRemoteMemberTimeout, now);
  if (is_local && has_changed) {
    state.next_report = std::min(state.next_report, now + kChangeReportDelay);
  }
}

void HandleMemberReport(MembershipState& state, const PeerEnvelope& envelope,
                        const MemberReport& report, Instant now) {
  const Member* sender = FindMember(state, envelope.from);
  const std::string data_centre = sender == nullptr ? "" : sender->data_centre;
  for (const MemberEntry& entry : report.members) {
    AddMember(state, entry, now);
    const bool is_first_hand = entry.data_centre == data_centre &&
                               entry.data_centre != state.self.data_centre;
    if (is_first_hand) ApplyReportedLiveness(state, entry, now);
  }
}

void SendMemberIntroductions(MembershipState& state, const std::string& peer,
                             Instant now, Outbox& out) {
  state.next_heartbeat = now;
  state.next_remote_heartbeat = now;
  out.peer_sends.push_back({peer, MakeMemberReport(state, false, now)});
}

void TickMembership(MembershipState& state, const LocalStatus& status,
                    const std::vector<std::string>& linked_peers, Instant now,
                    Outbox& out) {
  CompensateForPause(state, now);
  const bool revision_changed =
      status.config_revision != state.last_sent_revision;
  const bool heartbeat_due = revision_changed || now >= state.next_heartbeat;
  const bool remote_due =
      revision_changed || now >= state.next_remote_heartbeat;
  const bool report_due = now >= state.next_report;
  const bool introduction_due = now >= state.next_introduction;
  if (heartbeat_due) state.next_heartbeat = now + kHeartbeatInterval;
  if (remote_due) state.next_remote_heartbeat = now + kRemoteHeartbeatInterval;
  if (report_due) state.next_report = now + kReportInterval;
  if (introduction_due) state.next_introduction = now + kIntroductionInterval;
  state.last_sent_revision = status.config_revision;
  const Heartbeat heartbeat{.data_centre = state.self.data_centre,
                            .config_revision = status.config_revision,
                            .store_reachable = status.store_reachable,
                            .stopping = state.stopping,
                            .confirmed_age = status.confirmed_age};
  for (const std::string& peer : linked_peers) {
    const Member* member = FindMember(state, peer);
    const bool is_remote = member != nullptr && !member->data_centre.empty() &&
                           !IsLocal(state, *member);
    if (is_remote ? remote_due : heartbeat_due) {
      out.peer_sends.push_back({peer, heartbeat});
    }
    if (is_remote && report_due) {
      out.peer_sends.push_back({peer, MakeMemberReport(state, true, now)});
    }
    if (!is_remote && introduction_due) {
      out.peer_sends.push_back({peer, MakeMemberReport(state, false, now)});
    }
  }
}

void BeginStop(MembershipState& state, Duration drain, Instant now) {
  state.stopping = true;
  state.accept_calls_until = now + drain;
  state.next_heartbeat = now;
  state.next_remote_heartbeat = now;
  state.registration.next_read = now;
}

bool RefusesCalls(const MembershipState& state, Instant now) {
  return state.stopping && now >= state.accept_calls_until;
}

std::vector<WantedLink> WantedLinks(const MembershipState& state, Instant now) {
  std::vector<WantedLink> links;
  std::map<std::string, std::vector<const Member*>> remote_members;
  for (const auto& [name, member] : state.members) {
    if (member.address.empty()) continue;
    if (IsLocal(state, member)) {
      links.push_back({name, member.address});
    } else {
      remote_members[member.data_centre].push_back(&member);
    }
  }
  // Members known to be gone come last. The order of the others differs from
  // host to host.
  const auto rank = [&](const Member* member) {
    const bool is_gone = HasBeenSeen(*member) && now >= member->alive_until;
    const CellId pair{state.self.name, member->data_centre};
    return std::pair(!is_gone, RendezvousWeight(member->name, pair));
  };
  for (auto& [data_centre, members] : remote_members) {
    std::sort(
        members.begin(), members.end(),
        [&](const Member* a, const Member* b) { return rank(a) > rank(b); });
    const std::size_t link_count =
        std::min(members.size(), kLinksPerRemoteDataCentre);
    for (std::size_t k = 0; k < link_count; ++k) {
      links.push_back({members[k]->name, members[k]->address});
    }
  }
  return links;
}

bool IsLive(const MembershipState& state, const std::string& name,
            Instant now) {
  if (name == state.self.name) return true;
  const Member* member = FindMember(state, name);
  return member != nullptr && now < member->alive_until;
}

bool NoMemberReachesStore(const MembershipState& state, std::int64_t revision,
                          Instant now) {
  if (!state.registration.has_read_rows) return false;
  return std::all_of(
      state.members.begin(), state.members.end(), [&](const auto& entry) {
        const Member& member = entry.second;
        return now < member.alive_until && !member.store_reachable &&
               member.config_revision <= revision;
      });
}

std::int64_t CountLocalLive(const MembershipState& state, Instant now) {
  return 1 + std::count_if(state.members.begin(), state.members.end(),
                           [&](const auto& entry) {
                             return IsLocal(state, entry.second) &&
                                    now < entry.second.alive_until;
                           });
}

std::string ResponsibleHost(const MembershipState& state, const CellId& cell,
                            Instant now) {
  for (CandidateScope scope :
       {CandidateScope::kSettled, CandidateScope::kServing,
        CandidateScope::kAll}) {
    std::string host = ElectHost(state, cell, now, scope);
    if (!host.empty()) return host;
  }
  return {};
}

}  // namespace hyssopbarrow
