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
constexpr std::size_t kClaimSpreadMs = 120;
/// A weaker host claims after all stronger ones: their spread, two ways to the
/// store and the wait of a watch that was just being renewed.
constexpr Duration kWeakerWait = milliseconds(300);
/// Between two offers to a weaker owner; a handover costs about half a second.
constexpr Duration kOfferGap = milliseconds(5000);
constexpr Duration kOfferRetry = milliseconds(1000);
constexpr const char* kCpuField = "cpu_milli";

std::string NodeOf(const std::string& holder) {
  return holder.substr(0, holder.find('@'));
}

std::int64_t CpuOf(const Entry& entry, const std::string& node) {
  auto it = entry.ownership.candidates.find(node);
  return it == entry.ownership.candidates.end() ? 0 : it->second.cpu_milli;
}

bool OwnerIsWeaker(const Entry& entry) {
  const Ownership& it = entry.ownership;
  const std::int64_t cpu = CpuOf(entry, NodeOf(it.holder));
  return !it.released && cpu > 0 && cpu < entry.self.cpu_milli;
}

}  // namespace

bool TakeCandidateRow(Entry& entry, const Row& row) {
  std::string_view node = row.key;
  if (!ConsumePrefix(node, kCandidatePrefix)) return false;
  const auto cpu = row.value.find(kCpuField);
  const bool readable = cpu != row.value.end() && cpu->is_number_integer();
  entry.ownership.candidates[std::string(node)] = {
      .cpu_milli = readable ? cpu->get<std::int64_t>() : 0,
      .revision = row.revision};
  return true;
}

Duration WeakerDelay(const Entry& entry) {
  const std::string former = NodeOf(entry.ownership.holder);
  const bool stronger = std::any_of(
      entry.ownership.candidates.begin(), entry.ownership.candidates.end(),
      [&](const auto& it) {
        return it.first != former && it.second.cpu_milli > entry.self.cpu_milli;
      });
  return stronger ? kWeakerWait : Duration::zero();
}

Duration ClaimDelay(const Entry& entry) {
  const std::size_t hash = std::hash<std::string>()(entry.self.holder);
  return milliseconds(hash % kClaimSpreadMs) + WeakerDelay(entry);
}

void AdvanceCandidacy(Entry& entry, Context& context) {
  Ownership& it = entry.ownership;
  const bool due = it.known && it.open_offer == 0 && !entry.stopping &&
                   it.next_offer <= context.at.now;
  if (!due || entry.self.cpu_milli == 0) return;
  if (it.offered && (entry.owner.has_value() || !OwnerIsWeaker(entry))) return;
  it.open_offer = context.next_id++;
  it.next_offer = context.at.now + kOfferGap;
  CommitRows commit{.id = it.open_offer};
  commit.writes = {
      {{Table::kOwner, StrCat(kCandidatePrefix, entry.self.node)},
       {{kCpuField, entry.self.cpu_milli}, {"holder", entry.self.holder}}}};
  context.out.emplace_back(std::move(commit));
}

bool TakeCandidacyReply(Entry& entry, std::int64_t id, const StoreRows& reply,
                        Context& context) {
  Ownership& it = entry.ownership;
  if (id == 0 || id != it.open_offer) return false;
  it.open_offer = 0;
  if (reply.status == StoreStatus::kOk) {
    it.offered = true;
  } else {
    it.next_offer = context.at.now + kOfferRetry;
  }
  return true;
}

std::string StrongerCandidate(const Entry& entry) {
  if (!entry.owner.has_value() || entry.self.cpu_milli == 0) return {};
  for (const auto& [node, it] : entry.ownership.candidates) {
    const bool present = it.revision > entry.owner->epoch_revision;
    if (present && it.cpu_milli > entry.self.cpu_milli) return node;
  }
  return {};
}

}  // namespace hyssopbarrow::fleet
