#ifndef HYSSOPBARROW_POLICY_CHANGED_JOBS_H_
#define HYSSOPBARROW_POLICY_CHANGED_JOBS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace hyssopbarrow::fleet {

/// Ids of jobs whose progress rows are out of date, in the order in which they
/// are to be stored.
class ChangedJobs {
 public:
  bool empty() const { return jobs_.empty(); }
  std::size_t size() const { return jobs_.size(); }

  /// Adds a job behind all others. A job that is there keeps its position.
  void Add(const std::string& id);

  /// Puts a job before all others, because a commit of its row has failed.
  void PutFirst(const std::string& id);

  /// Puts a job back to the position at which it was the first, because only
  /// some of its rows have been taken. It must have been taken since.
  void PutBack(const std::string& id, std::int64_t position);

  /// Removes and returns the first job. There must be one.
  std::string TakeFirst();

  /// Position of the first job; EndPosition if there is none. All jobs before
  /// it have been taken.
  std::int64_t FirstPosition() const;

  /// Position of the next job that is added.
  std::int64_t EndPosition() const { return end_position_; }

 private:
  std::map<std::int64_t, std::string> jobs_;  ///< By position.
  std::unordered_map<std::string, std::int64_t> positions_;
  std::int64_t end_position_ = 0;
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_CHANGED_JOBS_H_
