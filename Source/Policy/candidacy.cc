#include "Policy/candidacy.h"

#include <algorithm>
#include <functional>
#include <string_view>

#include "Model/json.h"
#include "Model/text.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// Spreads the claims of several hosts over time.
constexpr std::size_t kMaxClaimJitterMs = 120;
/// Lets all stronger hosts claim first: covers their jitter, two messages to or
/// from the store, and the gap between two watches.
constexpr Duration kStrongerHostDelay = milliseconds(300);
/// Interval of announcements to an owner with less CPU; a handover takes about
/// 0.5 s.
constexpr Duration kCandidacyWriteInterval = milliseconds(5000);
constexpr Duration kCandidacyRetryDelay = milliseconds(1000);
/// Limits the thousandths of a core and the Mbit/s that a host announces.
constexpr std::int64_t kMaxHostResource = 1'000'000'000;
constexpr const char* kCpuField = "cpu_milli";
constexpr const char* kLinkField = "link_mbps";
constexpr const char* kRelayField = "relay_address";
constexpr const char* kDataCentreField = "data_centre";

std::string NodeOf(const std::string& holder) {
  return holder.substr(0, holder.find('@'));
}

/// Value of a number field; 0 if no host has so much.
std::int64_t ResourceField(const nlohmann::json& row, const char* name) {
  const std::int64_t n = IntegerOrZero(row, name);
  return n >= 0 && n <= kMaxHostResource ? n : 0;
}

std::int64_t CandidateCpuMilli(const EntryState& entry,
                               const std::string& node) {
  auto it = entry.ownership.candidates.find(node);
  return it == entry.ownership.candidates.end() ? 0 : it->second.cpu_milli;
}

bool IsOwnerWeaker(const EntryState& entry) {
  const Ownership& ownership = entry.ownership;
  const std::int64_t cpu = CandidateCpuMilli(entry, NodeOf(ownership.holder));
  return !ownership.released && cpu > 0 && cpu < entry.self.cpu_milli;
}

}  // namespace

bool ApplyCandidateRow(EntryState& entry, const Row& row) {
  std::string_view node = row.key;
  if (!ConsumePrefix(node, kCandidatePrefix)) return false;
  if (!row.value.is_object()) return true;
  entry.ownership.candidates[std::string(node)] = {
      .cpu_milli = ResourceField(row.value, kCpuField),
      .link_mbps = ResourceField(row.value, kLinkField),
      .relay_address = TextOrEmpty(row.value, kRelayField),
      .data_centre = TextOrEmpty(row.value, kDataCentreField),
      .revision = row.revision};
  return true;
}

Duration StrongerHostDelay(const EntryState& entry) {
  // The previous owner has released the lease or let it expire.
  const std::string previous_owner = NodeOf(entry.ownership.holder);
  const bool stronger =
      std::any_of(entry.ownership.candidates.begin(),
                  entry.ownership.candidates.end(), [&](const auto& candidate) {
                    return candidate.first != previous_owner &&
                           candidate.second.cpu_milli > entry.self.cpu_milli;
                  });
  return stronger ? kStrongerHostDelay : Duration::zero();
}

Duration ClaimDelay(const EntryState& entry) {
  const std::size_t hash = std::hash<std::string>()(entry.self.holder);
  return milliseconds(hash % kMaxClaimJitterMs) + StrongerHostDelay(entry);
}

void AdvanceCandidacy(EntryState& entry, Context& context) {
  Ownership& ownership = entry.ownership;
  const bool due = ownership.loaded && ownership.pending_candidacy_write == 0 &&
                   !entry.stopping &&
                   ownership.next_candidacy_write <= context.time.now;
  if (!due || entry.self.cpu_milli == 0) return;
  if (ownership.candidacy_written &&
      (entry.owner.has_value() || !IsOwnerWeaker(entry))) {
    return;
  }
  ownership.pending_candidacy_write = context.next_id++;
  ownership.next_candidacy_write = context.time.now + kCandidacyWriteInterval;
  CommitRows commit{.id = ownership.pending_candidacy_write};
  commit.writes = {{{Table::kOwner, StrCat(kCandidatePrefix, entry.self.node)},
                    {{kCpuField, entry.self.cpu_milli},
                     {kLinkField, entry.self.link_mbps},
                     {kRelayField, entry.self.relay_address},
                     {kDataCentreField, entry.self.data_centre},
                     {"holder", entry.self.holder}}}};
  context.out.emplace_back(std::move(commit));
}

bool HandleCandidacyReply(EntryState& entry, std::int64_t id,
                          const StoreRows& reply, Context& context) {
  Ownership& ownership = entry.ownership;
  if (id == 0 || id != ownership.pending_candidacy_write) return false;
  ownership.pending_candidacy_write = 0;
  if (reply.status == StoreStatus::kOk) {
    ownership.candidacy_written = true;
  } else {
    ownership.next_candidacy_write = context.time.now + kCandidacyRetryDelay;
  }
  return true;
}

std::string FindStrongerCandidate(const EntryState& entry) {
  if (!entry.owner.has_value() || entry.self.cpu_milli == 0) return {};
  for (const auto& [node, candidate] : entry.ownership.candidates) {
    const bool announced_since =
        candidate.revision > entry.owner->epoch_revision;
    if (announced_since && candidate.cpu_milli > entry.self.cpu_milli) {
      return node;
    }
  }
  return {};
}

}  // namespace hyssopbarrow::fleet
