#include "Policy/share.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

/// Teams and pools are divided among this many shards by their ordinals.
constexpr std::int64_t kShardCount = 16;
/// Time between two rounds of digests.
constexpr Duration kDigestInterval = std::chrono::milliseconds(500);
/// A record is ignored when no newer digest has replaced it for this long.
constexpr Duration kRecordLifetime = std::chrono::seconds(3);
/// Data centres exchange sums in one of this many rounds.
constexpr std::int64_t kRoundsPerDataCentreDigest = 2;
/// Maximum number of a pool's cells in other data centres that are sent to the
/// hosts: those with the most free slots.
constexpr std::size_t kMaxRemoteCellsPerPool = 2;
/// Digests state usage in hundredths of a slot.
constexpr double kCentislotsPerSlot = 100;

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

/// Continues an FNV-1a hash with `names`. The byte 0xff ends each name and 0xfe
/// the list.
std::uint64_t HashInto(std::uint64_t hash,
                       const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    for (unsigned char c : name) hash = (hash ^ c) * kFnvPrime;
    hash = (hash ^ 0xff) * kFnvPrime;
  }
  return (hash ^ 0xfe) * kFnvPrime;
}

template <typename Table>
std::vector<std::string> NamesOf(const Table& table) {
  std::vector<std::string> names;
  names.reserve(table.size());
  for (const auto& [name, row] : table) names.push_back(name);
  return names;
}

void RefreshNames(ShareNames& names, const Snapshot& snapshot) {
  if (names.revision == snapshot.revision) return;
  names.revision = snapshot.revision;
  names.teams = NamesOf(snapshot.teams);
  names.pools = NamesOf(snapshot.pools);
  std::set<std::string> data_centres;
  for (const auto& [name, host] : snapshot.hosts) {
    data_centres.insert(host.data_centre);
  }
  names.data_centres.assign(data_centres.begin(), data_centres.end());
  std::uint64_t hash = HashInto(kFnvOffset, names.teams);
  hash = HashInto(hash, names.pools);
  names.digest = static_cast<std::int64_t>(HashInto(hash, names.data_centres));
}

/// Returns the position of `name` in the sorted `names`; -1 when it is missing.
std::int64_t OrdinalOf(const std::vector<std::string>& names,
                       const std::string& name) {
  auto it = std::lower_bound(names.begin(), names.end(), name);
  if (it == names.end() || *it != name) return -1;
  return it - names.begin();
}

/// Returns the name with `ordinal`; null when it is out of range.
const std::string* NameAt(const std::vector<std::string>& names,
                          std::int64_t ordinal) {
  if (ordinal < 0 || ordinal >= std::ssize(names)) return nullptr;
  return &names[static_cast<std::size_t>(ordinal)];
}

/// Returns the rendezvous hashing key by which the aggregator of a shard is
/// chosen among the hosts of a data centre. It names no real cell.
CellId AggregatorKey(std::int64_t shard, const std::string& data_centre) {
  return {StrCat("/share/", shard), data_centre};
}

ShareDigest EncodeDigest(const ShareNames& names, DigestScope scope,
                         std::int64_t shard, const ShareRecord& record) {
  ShareDigest digest{
      .scope = scope, .shard = shard, .names_digest = names.digest};
  for (const auto& [team, usage] : record.usage) {
    const std::int64_t ordinal = OrdinalOf(names.teams, team);
    const std::int64_t value = std::llround(usage * kCentislotsPerSlot);
    if (ordinal < 0 || ordinal % kShardCount != shard || value == 0) continue;
    digest.teams.push_back(ordinal / kShardCount);
    digest.centislots.push_back(value);
  }
  for (const auto& [cell, load] : record.cells) {
    const std::int64_t pool = OrdinalOf(names.pools, cell.pool);
    const std::int64_t data_centre =
        OrdinalOf(names.data_centres, cell.data_centre);
    if (pool < 0 || data_centre < 0 || pool % kShardCount != shard) continue;
    digest.pools.push_back(pool / kShardCount);
    digest.data_centres.push_back(data_centre);
    digest.free_slots.push_back(load.free_slots);
    digest.waiting.push_back(load.waiting);
  }
  return digest;
}

/// Returns the content of `digest`, valid for kRecordLifetime from `now`.
ShareRecord DecodeDigest(const ShareNames& names, const ShareDigest& digest,
                         Instant now) {
  ShareRecord record{.valid_until = now + kRecordLifetime};
  for (std::size_t n = 0;
       n < std::min(digest.teams.size(), digest.centislots.size()); ++n) {
    const std::string* team =
        NameAt(names.teams, digest.teams[n] * kShardCount + digest.shard);
    if (team == nullptr) continue;
    record.usage[*team] =
        static_cast<double>(digest.centislots[n]) / kCentislotsPerSlot;
  }
  const std::size_t cells =
      std::min({digest.pools.size(), digest.data_centres.size(),
                digest.free_slots.size(), digest.waiting.size()});
  for (std::size_t n = 0; n < cells; ++n) {
    const std::string* pool =
        NameAt(names.pools, digest.pools[n] * kShardCount + digest.shard);
    const std::string* data_centre =
        NameAt(names.data_centres, digest.data_centres[n]);
    if (pool == nullptr || data_centre == nullptr) continue;
    record.cells[{*pool, *data_centre}] = {digest.free_slots[n],
                                           digest.waiting[n]};
  }
  return record;
}

void AddRecord(ShareRecord& sum, const ShareRecord& record) {
  for (const auto& [team, usage] : record.usage) sum.usage[team] += usage;
  for (const auto& [cell, load] : record.cells) {
    CellLoad& total = sum.cells[cell];
    total.free_slots += load.free_slots;
    total.waiting += load.waiting;
  }
}

/// Adds the records of one shard that are still valid to `sum`.
void AddValidRecords(ShareRecord& sum,
                     const std::map<ShareState::Source, ShareRecord>& records,
                     std::int64_t shard, Instant now) {
  for (auto it = records.lower_bound({shard, {}});
       it != records.end() && it->first.first == shard; ++it) {
    if (now < it->second.valid_until) AddRecord(sum, it->second);
  }
}

ShareRecord OwnRecord(const ShareState& state) {
  ShareRecord record;
  for (const auto& [cell, report] : state.own_cells) {
    for (const auto& [team, usage] : report.usage) record.usage[team] += usage;
    record.cells[cell] = {report.free_slots, report.waiting};
  }
  return record;
}

/// Keeps the local cell and, of each pool, the kMaxRemoteCellsPerPool remote
/// cells with the most free slots.
void RemoveExcessRemoteCells(ShareRecord& record,
                             const std::string& data_centre) {
  std::map<std::string, std::vector<std::pair<std::int64_t, CellId>>> remote;
  for (const auto& [cell, load] : record.cells) {
    if (cell.data_centre == data_centre) continue;
    remote[cell.pool].emplace_back(-load.free_slots, cell);
  }
  for (auto& [pool, cells] : remote) {
    std::sort(cells.begin(), cells.end());
    for (std::size_t n = kMaxRemoteCellsPerPool; n < cells.size(); ++n) {
      record.cells.erase(cells[n].second);
    }
  }
}

std::vector<std::string> LocalHosts(const MembershipState& membership,
                                    Instant now) {
  std::vector<std::string> names = {membership.self.name};
  for (const auto& [name, member] : membership.members) {
    const bool local = member.data_centre == membership.self.data_centre;
    if (local && now < member.alive_until) names.push_back(name);
  }
  return names;
}

/// Returns `sum` without the usage that `host` reported.
ShareRecord SumWithoutHost(const ShareState& state, const ShareRecord& sum,
                           std::int64_t shard, const std::string& host) {
  ShareRecord others = sum;
  auto host_record = state.hosts.find({shard, host});
  if (host_record == state.hosts.end()) return others;
  for (const auto& [team, usage] : host_record->second.usage) {
    others.usage[team] -= usage;
  }
  return others;
}

/// Sends the sums of one shard, of which this host is the aggregator: the sum
/// over this data centre to the aggregators in the other data centres, and the
/// sum over the fleet to the hosts of this data centre.
void SendSums(const ShareState& state, const MembershipState& membership,
              std::int64_t shard, Instant now, Outbox& out) {
  ShareRecord sum;
  AddValidRecords(sum, state.hosts, shard, now);
  if (state.round % kRoundsPerDataCentreDigest == 0) {
    const ShareDigest digest =
        EncodeDigest(state.names, DigestScope::kDataCentre, shard, sum);
    for (const std::string& data_centre : state.names.data_centres) {
      if (data_centre == membership.self.data_centre) continue;
      const std::string aggregator =
          ResponsibleHost(membership, AggregatorKey(shard, data_centre), now);
      if (!aggregator.empty()) out.peer_sends.push_back({aggregator, digest});
    }
  }
  AddValidRecords(sum, state.data_centres, shard, now);
  RemoveExcessRemoteCells(sum, membership.self.data_centre);
  for (const std::string& host : LocalHosts(membership, now)) {
    const ShareRecord others = SumWithoutHost(state, sum, shard, host);
    out.peer_sends.push_back(
        {host, EncodeDigest(state.names, DigestScope::kFleet, shard, others)});
  }
}

void RemoveExpired(std::map<ShareState::Source, ShareRecord>& records,
                   Instant now) {
  std::erase_if(records, [&](const auto& entry) {
    return entry.second.valid_until <= now;
  });
}

}  // namespace

void SetCellReport(ShareState& state, const CellId& cell, CellReport report) {
  state.own_cells[cell] = std::move(report);
}

void RemoveCellReport(ShareState& state, const CellId& cell) {
  state.own_cells.erase(cell);
}

double UsageInOtherCells(const ShareState& state, const CellId& cell,
                         const std::string& team) {
  double usage = 0;
  const std::int64_t ordinal = OrdinalOf(state.names.teams, team);
  auto record = state.fleet.find(ordinal % kShardCount);
  if (ordinal >= 0 && record != state.fleet.end()) {
    const double* others = Find(record->second.usage, team);
    if (others != nullptr) usage = *others;
  }
  for (const auto& [id, report] : state.own_cells) {
    if (id == cell) continue;
    const double* slots = Find(report.usage, team);
    if (slots != nullptr) usage += *slots;
  }
  return usage;
}

const CellLoad* FindCellLoad(const ShareState& state, const CellId& cell,
                             Instant now) {
  const std::int64_t pool = OrdinalOf(state.names.pools, cell.pool);
  if (pool < 0) return nullptr;
  auto record = state.fleet.find(pool % kShardCount);
  if (record == state.fleet.end() || record->second.valid_until <= now) {
    return nullptr;
  }
  auto it = record->second.cells.find(cell);
  return it == record->second.cells.end() ? nullptr : &it->second;
}

void HandleShareDigest(ShareState& state, const std::string& from,
                       const std::string& data_centre,
                       const ShareDigest& digest, Instant now) {
  const bool valid = digest.names_digest == state.names.digest &&
                     digest.shard >= 0 && digest.shard < kShardCount;
  if (!valid) return;
  ShareRecord record = DecodeDigest(state.names, digest, now);
  switch (digest.scope) {
    case DigestScope::kHost:
      state.hosts[{digest.shard, from}] = std::move(record);
      return;
    case DigestScope::kDataCentre:
      state.data_centres[{digest.shard, data_centre}] = std::move(record);
      return;
    case DigestScope::kFleet:
      state.fleet[digest.shard] = std::move(record);
      return;
  }
}

void TickShare(ShareState& state, const Snapshot& snapshot,
               const MembershipState& membership, Instant now, Outbox& out) {
  RefreshNames(state.names, snapshot);
  if (now < state.next_digest) return;
  state.next_digest = now + kDigestInterval;
  ++state.round;
  RemoveExpired(state.hosts, now);
  RemoveExpired(state.data_centres, now);
  std::erase_if(state.fleet, [&](const auto& entry) {
    return entry.second.valid_until <= now;
  });
  const ShareRecord own_record = OwnRecord(state);
  const NodeIdentity& self = membership.self;
  for (std::int64_t shard = 0; shard < kShardCount; ++shard) {
    const std::string aggregator = ResponsibleHost(
        membership, AggregatorKey(shard, self.data_centre), now);
    if (aggregator.empty()) continue;
    out.peer_sends.push_back(
        {aggregator,
         EncodeDigest(state.names, DigestScope::kHost, shard, own_record)});
    if (aggregator == self.name) SendSums(state, membership, shard, now, out);
  }
}

}  // namespace hyssopbarrow
