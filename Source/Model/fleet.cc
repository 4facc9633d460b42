#include "Model/fleet.h"

#include <algorithm>

namespace hyssopbarrow::fleet {

Resources& Resources::operator+=(const Resources& other) {
  cpu_milli += other.cpu_milli;
  memory_mb += other.memory_mb;
  gpus += other.gpus;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu_milli -= other.cpu_milli;
  memory_mb -= other.memory_mb;
  gpus -= other.gpus;
  return *this;
}

bool Fits(const Resources& demand, const Resources& free) {
  return demand.cpu_milli <= free.cpu_milli &&
         demand.memory_mb <= free.memory_mb && demand.gpus <= free.gpus;
}

bool WithinCeiling(const Resources& used, const Resources& demand,
                   const Resources& ceiling) {
  const auto within = [](std::int64_t in_use, std::int64_t added,
                         std::int64_t limit) {
    return limit == 0 || in_use + added <= limit;
  };
  return within(used.cpu_milli, demand.cpu_milli, ceiling.cpu_milli) &&
         within(used.memory_mb, demand.memory_mb, ceiling.memory_mb) &&
         within(used.gpus, demand.gpus, ceiling.gpus);
}

const Queue* FindQueue(const Configuration& configuration,
                       std::string_view name) {
  for (const Queue& queue : configuration.queues) {
    if (queue.name == name) return &queue;
  }
  return nullptr;
}

const Queue* MatchQueue(const Configuration& configuration,
                        std::string_view host_name, std::string_view path) {
  const Queue* best = nullptr;
  for (const Queue& queue : configuration.queues) {
    if (queue.host_name != host_name || !path.starts_with(queue.path_prefix)) {
      continue;
    }
    const bool longer =
        best == nullptr || queue.path_prefix.size() > best->path_prefix.size();
    if (longer) best = &queue;
  }
  return best;
}

const Team* FindTeamByKey(const Configuration& configuration,
                          std::string_view key) {
  for (const Team& team : configuration.teams) {
    if (std::find(team.keys.begin(), team.keys.end(), key) != team.keys.end()) {
      return &team;
    }
  }
  return nullptr;
}

const Team* FindTeam(const Configuration& configuration,
                     std::string_view name) {
  for (const Team& team : configuration.teams) {
    if (team.name == name) return &team;
  }
  return nullptr;
}

bool HasLabel(const Target& target, std::string_view label) {
  return std::find(target.labels.begin(), target.labels.end(), label) !=
         target.labels.end();
}

}  // namespace hyssopbarrow::fleet
