#ifndef HYSSOPBARROW_FLEET_DECISION_LOG_H_
#define HYSSOPBARROW_FLEET_DECISION_LOG_H_

#include <cstdint>
#include <map>
#include <string>

#include "Model/time.h"
#include "Policy/fleet_effects.h"

namespace hyssopbarrow::fleet {

/// Writes decisions as JSON lines to a descriptor. Never waits for its reader:
/// what does not fit into the buffer is counted and left out, and each kind of
/// event has a bound of lines a second.
class DecisionLog {
 public:
  /// `node` is put on every line.
  DecisionLog(int descriptor, std::string node)
      : descriptor_(descriptor), node_(std::move(node)) {}

  void Write(const LogLine& line, const EventTime& at);

  /// Hands what is buffered to the descriptor, as far as that takes it.
  void Flush();

  std::int64_t lines() const { return lines_; }
  std::int64_t dropped_lines() const { return dropped_lines_; }

 private:
  struct Bucket {
    Instant window_end{};
    std::int64_t lines = 0;
    std::int64_t dropped_lines = 0;
  };

  void Append(const LogLine& line, const EventTime& at);

  int descriptor_;
  std::string node_;
  std::string buffer_;
  std::map<std::string, Bucket> buckets_;
  std::int64_t lines_ = 0;
  std::int64_t dropped_lines_ = 0;
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_FLEET_DECISION_LOG_H_
