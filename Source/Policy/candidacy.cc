#include "Policy/candidacy.h"

#include <algorithm>
#include <functional>
#include <string_view>

#include "Model/text.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// Spreads the claims of several hosts.
constexpr std::size_t kMaxClaimJitterMs = 120;
/// A weaker host claims after all stronger ones: their spread, two ways to the
/// store and the wait of a watch that was just being renewed.
constexpr Duration kStrongerHostDelay = milliseconds(300);
/// Between two offers to a weaker owner; a handover costs about half a second.
constexpr Duration kCandidacyWriteInterval = milliseconds(5000);
constexpr Duration kCandidacyRetryDelay = milliseconds(1000);
constexpr const char* kCpuField = "cpu_milli";

std::string NodeOf(const std::string& holder) {
  return holder.substr(0, holder.find('@'));
}

std::int64_t CandidateCpuMilli(const EntryState& entry,
                               const std::string& node) {
  auto it = entry.ownership.candidates.find(node);
  return it == entry.ownership.candidates.end() ? 0 : it->second.cpu_milli;
}

bool IsOwnerWeaker(const EntryState& entry) {
  const Ownership& it = entry.ownership;
  const std::int64_t cpu = CandidateCpuMilli(entry, NodeOf(it.holder));
  return !it.released && cpu > 0 && cpu < entry.self.cpu_milli;
}

}  // namespace

bool ApplyCandidateRow(EntryState& entry, const Row& row) {
  std::string_view node = row.key;
  if (!ConsumePrefix(node, kCandidatePrefix)) return false;
  const auto cpu = row.value.find(kCpuField);
  const bool readable = cpu != row.value.end() && cpu->is_number_integer();
  entry.ownership.candidates[std::string(node)] = {
      .cpu_milli = readable ? cpu->get<std::int64_t>() : 0,
      .revision = row.revision};
  return true;
}

Duration StrongerHostDelay(const EntryState& entry) {
  const std::string former = NodeOf(entry.ownership.holder);
  const bool stronger = std::any_of(
      entry.ownership.candidates.begin(), entry.ownership.candidates.end(),
      [&](const auto& it) {
        return it.first != former && it.second.cpu_milli > entry.self.cpu_milli;
      });
  return stronger ? kStrongerHostDelay : Duration::zero();
}

Duration ClaimDelay(const EntryState& entry) {
  const std::size_t hash = std::hash<std::string>()(entry.self.holder);
  return milliseconds(hash % kMaxClaimJitterMs) + StrongerHostDelay(entry);
}

void AdvanceCandidacy(EntryState& entry, Context& context) {
  Ownership& it = entry.ownership;
  const bool due = it.loaded && it.pending_candidacy_write == 0 &&
                   !entry.stopping &&
                   it.next_candidacy_write <= context.time.now;
  if (!due || entry.self.cpu_milli == 0) return;
  if (it.candidacy_written &&
      (entry.owner.has_value() || !IsOwnerWeaker(entry)))
    return;
  it.pending_candidacy_write = context.next_id++;
  it.next_candidacy_write = context.time.now + kCandidacyWriteInterval;
  CommitRows commit{.id = it.pending_candidacy_write};
  commit.writes = {
      {{Table::kOwner, StrCat(kCandidatePrefix, entry.self.node)},
       {{kCpuField, entry.self.cpu_milli}, {"holder", entry.self.holder}}}};
  context.out.emplace_back(std::move(commit));
}

bool HandleCandidacyReply(EntryState& entry, std::int64_t id,
                          const StoreRows& reply, Context& context) {
  Ownership& it = entry.ownership;
  if (id == 0 || id != it.pending_candidacy_write) return false;
  it.pending_candidacy_write = 0;
  if (reply.status == StoreStatus::kOk) {
    it.candidacy_written = true;
  } else {
    it.next_candidacy_write = context.time.now + kCandidacyRetryDelay;
  }
  return true;
}

std::string FindStrongerCandidate(const EntryState& entry) {
  if (!entry.owner.has_value() || entry.self.cpu_milli == 0) return {};
  for (const auto& [node, it] : entry.ownership.candidates) {
    const bool present = it.revision > entry.owner->epoch_revision;
    if (present && it.cpu_milli > entry.self.cpu_milli) return node;
  }
  return {};
}

}  // namespace hyssopbarrow::fleet
