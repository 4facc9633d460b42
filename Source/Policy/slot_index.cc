#include "Policy/slot_index.h"

#include <algorithm>

namespace hyssopbarrow {
namespace {

/// Maximum number of hosts examined to find one on another rack.
constexpr int kMaxRackCandidates = 16;

std::int64_t FreeSlotCount(const SlotHost& host) {
  return std::max<std::int64_t>(0, host.slots - host.granted_slots);
}

void UnindexFreeSlots(SlotIndex& index, const std::string& name,
                      const SlotHost& host) {
  const std::int64_t free_slots = FreeSlotCount(host);
  if (free_slots == 0) return;
  index.hosts_by_free_slots.erase({-free_slots, name});
  index.free_slots -= free_slots;
}

void IndexFreeSlots(SlotIndex& index, const std::string& name,
                    const SlotHost& host) {
  const std::int64_t free_slots = FreeSlotCount(host);
  if (free_slots == 0) return;
  index.hosts_by_free_slots.emplace(-free_slots, name);
  index.free_slots += free_slots;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::int64_t UsableSlots(const Host& host, TargetState state) {
  if (host.state != HostState::kServing) return 0;
  if (state == TargetState::kEjected) return 0;
  return state == TargetState::kProbation ? 1 : host.slots;
}

bool SharesRack(const SlotIndex& index, const SlotHost& host,
                const std::vector<std::string>& excluded) {
  if (host.rack.empty()) return false;
  return std::any_of(excluded.begin(), excluded.end(), [&](const auto& name) {
    const SlotHost* excluded_host = Find(index.hosts, name);
    return excluded_host != nullptr && excluded_host->rack == host.rack;
  });
}

void ResetCapacity(SlotIndex& index) {
  index.hosts_by_free_slots.clear();
  index.free_slots = 0;
  index.total_slots = 0;
  index.usable_hosts = 0;
  for (auto& [name, host] : index.hosts) host.slots = 0;
}

}  // namespace

void RebuildSlotIndex(SlotIndex& index, const CellId& cell,
                      const Snapshot& snapshot,
                      const TargetHealthTable& health) {
  ResetCapacity(index);
  for (const auto& [name, host] : snapshot.hosts) {
    if (host.pool != cell.pool || host.data_centre != cell.data_centre) {
      continue;
    }
    SlotHost& slot_host = index.hosts[name];
    slot_host.rack = host.rack;
    slot_host.slots = UsableSlots(host, StateOf(health, name));
    index.total_slots += slot_host.slots;
    if (slot_host.slots > 0) ++index.usable_hosts;
  }
  std::erase_if(index.hosts, [](const auto& entry) {
    return entry.second.slots == 0 && entry.second.granted_slots == 0;
  });
  for (const auto& [name, host] : index.hosts) {
    IndexFreeSlots(index, name, host);
  }
}

void AcquireHostSlot(SlotIndex& index, const std::string& host) {
  SlotHost& slot_host = index.hosts[host];
  UnindexFreeSlots(index, host, slot_host);
  ++slot_host.granted_slots;
  IndexFreeSlots(index, host, slot_host);
}

void ReleaseHostSlot(SlotIndex& index, const std::string& host) {
  auto it = index.hosts.find(host);
  if (it == index.hosts.end() || it->second.granted_slots == 0) return;
  UnindexFreeSlots(index, host, it->second);
  --it->second.granted_slots;
  IndexFreeSlots(index, host, it->second);
}

const std::string* PickHost(const SlotIndex& index,
                            const std::vector<std::string>& excluded) {
  const std::string* most_free = nullptr;
  int candidates = 0;
  for (const auto& [key, name] : index.hosts_by_free_slots) {
    if (Contains(excluded, name)) continue;
    if (excluded.empty()) return &name;
    if (most_free == nullptr) most_free = &name;
    if (!SharesRack(index, index.hosts.find(name)->second, excluded)) {
      return &name;
    }
    if (++candidates >= kMaxRackCandidates) break;
  }
  return most_free;
}

bool HasUsableHost(const SlotIndex& index,
                   const std::vector<std::string>& excluded) {
  std::int64_t usable_hosts = index.usable_hosts;
  for (const std::string& name : excluded) {
    const SlotHost* host = Find(index.hosts, name);
    if (host != nullptr && host->slots > 0) --usable_hosts;
  }
  return usable_hosts > 0;
}

}  // namespace hyssopbarrow
