#include "Policy/changed_jobs.h"

#include <utility>

namespace hyssopbarrow::fleet {

void ChangedJobs::Add(const std::string& id) {
  const auto [it, inserted] = positions_.try_emplace(id, end_position_);
  if (inserted) jobs_.emplace(end_position_++, id);
}

void ChangedJobs::PutFirst(const std::string& id) {
  const std::int64_t position = FirstPosition() - 1;
  const auto [it, inserted] = positions_.try_emplace(id, position);
  if (!inserted) {
    jobs_.erase(it->second);
    it->second = position;
  }
  jobs_.emplace(position, id);
}

void ChangedJobs::PutBack(const std::string& id, std::int64_t position) {
  jobs_.emplace(position, id);
  positions_.emplace(id, position);
}

std::string ChangedJobs::TakeFirst() {
  std::string id = std::move(jobs_.begin()->second);
  jobs_.erase(jobs_.begin());
  positions_.erase(id);
  return id;
}

std::int64_t ChangedJobs::FirstPosition() const {
  return jobs_.empty() ? end_position_ : jobs_.begin()->first;
}

}  // namespace hyssopbarrow::fleet
