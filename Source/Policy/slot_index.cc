#include "Policy/slot_index.h"

#include <algorithm>

namespace hyssopbarrow {
namespace {

/// Bound on the hosts looked at for one on another rack.
constexpr int kMaxRackCandidates = 16;

std::int64_t FreeOf(const SlotHost& host) {
  return std::max<std::int64_t>(0, host.slots - host.granted_slots);
}

void Unlink(SlotIndex& index, const std::string& name, const SlotHost& host) {
  const std::int64_t n = FreeOf(host);
  if (n == 0) return;
  index.hosts_by_free_slots.erase({-n, name});
  index.free_slots -= n;
}

void Link(SlotIndex& index, const std::string& name, const SlotHost& host) {
  const std::int64_t n = FreeOf(host);
  if (n == 0) return;
  index.hosts_by_free_slots.emplace(-n, name);
  index.free_slots += n;
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
    const SlotHost* it = Find(index.hosts, name);
    return it != nullptr && it->rack == host.rack;
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
    SlotHost& it = index.hosts[name];
    it.rack = host.rack;
    it.slots = UsableSlots(host, StateOf(health, name));
    index.total_slots += it.slots;
    if (it.slots > 0) ++index.usable_hosts;
  }
  std::erase_if(index.hosts, [](const auto& it) {
    return it.second.slots == 0 && it.second.granted_slots == 0;
  });
  for (const auto& [name, host] : index.hosts) Link(index, name, host);
}

void AcquireHostSlot(SlotIndex& index, const std::string& host) {
  SlotHost& it = index.hosts[host];
  Unlink(index, host, it);
  ++it.granted_slots;
  Link(index, host, it);
}

void ReleaseHostSlot(SlotIndex& index, const std::string& host) {
  auto it = index.hosts.find(host);
  if (it == index.hosts.end() || it->second.granted_slots == 0) return;
  Unlink(index, host, it->second);
  --it->second.granted_slots;
  Link(index, host, it->second);
}

const std::string* PickHost(const SlotIndex& index,
                            const std::vector<std::string>& excluded) {
  const std::string* first = nullptr;
  int looked_at = 0;
  for (const auto& [key, name] : index.hosts_by_free_slots) {
    if (Contains(excluded, name)) continue;
    if (excluded.empty()) return &name;
    if (first == nullptr) first = &name;
    if (!SharesRack(index, index.hosts.find(name)->second, excluded)) {
      return &name;
    }
    if (++looked_at >= kMaxRackCandidates) break;
  }
  return first;
}

bool HasUsableHost(const SlotIndex& index,
                   const std::vector<std::string>& excluded) {
  std::int64_t n = index.usable_hosts;
  for (const std::string& name : excluded) {
    const SlotHost* it = Find(index.hosts, name);
    if (it != nullptr && it->slots > 0) --n;
  }
  return n > 0;
}

}  // namespace hyssopbarrow
