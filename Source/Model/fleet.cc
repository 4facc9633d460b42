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

bool Fits(const Resources& need, const Resources& free) {
  return need.cpu_milli <= free.cpu_milli && need.memory_mb <= free.memory_mb &&
         need.gpus <= free.gpus;
}

bool WithinCeiling(const Resources& used, const Resources& need,
                   const Resources& ceiling) {
  const auto within = [](std::int64_t a, std::int64_t b, std::int64_t limit) {
    return limit == 0 || a + b <= limit;
  };
  return within(used.cpu_milli, need.cpu_milli, ceiling.cpu_milli) &&
         within(used.memory_mb, need.memory_mb, ceiling.memory_mb) &&
         within(used.gpus, need.gpus, ceiling.gpus);
}

const Queue* FindQueue(const Configuration& configuration,
                       std::string_view name) {
  for (const Queue& it : configuration.queues) {
    if (it.name == name) return &it;
  }
  return nullptr;
}

const Queue* MatchQueue(const Configuration& configuration,
                        std::string_view host_name, std::string_view path) {
  const Queue* best = nullptr;
  for (const Queue& it : configuration.queues) {
    if (it.host_name != host_name || !path.starts_with(it.path_prefix)) {
      continue;
    }
    const bool longer =
        best == nullptr || it.path_prefix.size() > best->path_prefix.size();
    if (longer) best = &it;
  }
  return best;
}

const Team* FindTeamByKey(const Configuration& configuration,
                          std::string_view key) {
  for (const Team& it : configuration.teams) {
    if (std::find(it.keys.begin(), it.keys.end(), key) != it.keys.end()) {
      return &it;
    }
  }
  return nullptr;
}

const Team* FindTeam(const Configuration& configuration,
                     std::string_view name) {
  for (const Team& it : configuration.teams) {
    if (it.name == name) return &it;
  }
  return nullptr;
}

bool HasLabel(const Target& target, std::string_view label) {
  return std::find(target.labels.begin(), target.labels.end(), label) !=
         target.labels.end();
}

}  // namespace hyssopbarrow::fleet
