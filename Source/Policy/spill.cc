#include "Policy/spill.h"

#include <algorithm>

namespace hyssopbarrow {
namespace {

/// A cell, other than the local one, that a call may be sent to.
struct Candidate {
  CellId cell;
  std::int64_t free_slots = 0;
};

bool Contains(const std::vector<CellId>& cells, const CellId& cell) {
  return std::find(cells.begin(), cells.end(), cell) != cells.end();
}

/// Returns whether `cell` has a worker and a dispatcher and didn't refuse.
bool IsUsable(const SpillContext& context, const CellId& cell,
              const std::vector<CellId>& refused) {
  return context.directory.serving_hosts.contains(cell) &&
         !Contains(refused, cell) &&
         !ResponsibleHost(context.membership, cell, context.now).empty();
}

/// Returns whether `pool` may run calls of `queue`: the queue's own pool or, if
/// the queue uses them, a spare pool.
bool MayServe(const SpillContext& context, const Queue& queue,
              const std::string& pool) {
  if (pool == queue.pool) return true;
  const auto& spare = context.directory.spare_pools;
  return queue.use_spare &&
         std::find(spare.begin(), spare.end(), pool) != spare.end();
}

/// Returns all usable cells except `local`, with their last known free slots.
std::vector<Candidate> CandidatesOf(const SpillContext& context,
                                    const Queue& queue, const CellId& local,
                                    const std::vector<CellId>& refused) {
  std::vector<Candidate> found;
  for (const auto& [cell, hosts] : context.directory.serving_hosts) {
    if (cell == local || !MayServe(context, queue, cell.pool)) continue;
    if (!IsUsable(context, cell, refused)) continue;
    const CellLoad* load = FindCellLoad(context.share, cell, context.now);
    found.push_back({cell, load == nullptr ? 0 : load->free_slots});
  }
  return found;
}

/// Returns a pseudo-random number for `n`: the finalizer of the splitmix64
/// generator.
std::uint64_t MixBits(std::uint64_t n) {
  n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9ULL;
  n = (n ^ (n >> 27)) * 0x94d049bb133111ebULL;
  return n ^ (n >> 31);
}

/// Picks a candidate with a probability proportional to its free slots. Returns
/// null when none has free slots.
const Candidate* PickByFreeSlots(const std::vector<Candidate>& candidates,
                                 std::uint64_t seed) {
  std::int64_t total = 0;
  for (const Candidate& candidate : candidates) total += candidate.free_slots;
  if (total <= 0) return nullptr;
  auto n = static_cast<std::int64_t>(MixBits(seed + 1) %
                                     static_cast<std::uint64_t>(total));
  for (const Candidate& candidate : candidates) {
    n -= candidate.free_slots;
    if (n < 0) return &candidate;
  }
  return nullptr;
}

/// Returns whether the cell is known to have waiting calls and no free slot.
bool IsFull(const SpillContext& context, const CellId& cell) {
  const CellLoad* load = FindCellLoad(context.share, cell, context.now);
  return load != nullptr && load->free_slots == 0 && load->waiting > 0;
}

CellId LocalCell(const SpillContext& context, const Queue& queue) {
  return {queue.pool, context.membership.self.data_centre};
}

}  // namespace

void RefreshDirectory(CellDirectory& directory, const Snapshot& snapshot) {
  if (directory.revision == snapshot.revision) return;
  directory = CellDirectory{.revision = snapshot.revision};
  for (const auto& [name, host] : snapshot.hosts) {
    if (host.state != HostState::kServing) continue;
    ++directory.serving_hosts[{host.pool, host.data_centre}];
  }
  for (const auto& [name, pool] : snapshot.pools) {
    if (pool.spare) directory.spare_pools.push_back(name);
  }
}

ChosenCell ChooseCell(const SpillContext& context, const Queue& queue,
                      const std::vector<CellId>& refused, std::uint64_t seed) {
  const CellId local = LocalCell(context, queue);
  const bool usable = IsUsable(context, local, refused);
  if (usable && !IsFull(context, local)) return {CellChoice::kLocal, local};
  const std::vector<Candidate> candidates =
      CandidatesOf(context, queue, local, refused);
  const Candidate* picked = PickByFreeSlots(candidates, seed);
  if (picked != nullptr) return {CellChoice::kOtherCell, picked->cell};
  if (usable) return {CellChoice::kLocal, local};
  if (!candidates.empty()) {
    return {CellChoice::kOtherCell,
            candidates[MixBits(seed) % candidates.size()].cell};
  }
  // If the local cell has workers, it only lacks a dispatcher at the moment.
  const bool has_local_hosts =
      context.directory.serving_hosts.contains(local) &&
      !Contains(refused, local);
  if (has_local_hosts) return {CellChoice::kLocal, local};
  return {};
}

ChosenCell ChooseFreeCell(const SpillContext& context, const Queue& queue,
                          const std::vector<CellId>& refused,
                          std::uint64_t seed) {
  const std::vector<Candidate> candidates =
      CandidatesOf(context, queue, LocalCell(context, queue), refused);
  const Candidate* picked = PickByFreeSlots(candidates, seed);
  if (picked == nullptr) return {};
  return {CellChoice::kOtherCell, picked->cell};
}

}  // namespace hyssopbarrow
