#ifndef HYSSOPBARROW_FLEET_DECISION_LOG_H_
#define HYSSOPBARROW_FLEET_DECISION_LOG_H_

#include <cstdint>
#include <map>
#include <string>

#include "Model/time.h"
#include "Policy/fleet_effects.h"

namespace hyssopbarrow::fleet {

/// Writes log lines as JSON to a file descriptor without blocking. Drops and
/// counts lines that do not fit into the buffer, and lines above a limit per
/// second for each event name.
class DecisionLog {
 public:
  /// `node` becomes a field of every line.
  DecisionLog(int descriptor, std::string node)
      : descriptor_(descriptor), node_(std::move(node)) {}

  /// Adds a line to the buffer, or drops it.
  void Write(const LogLine& line, const EventTime& time);

  /// Writes buffered lines to the descriptor, as many as it accepts without
  /// blocking.
  void Flush();

  std::int64_t lines() const { return lines_; }
  std::int64_t dropped_lines() const { return dropped_lines_; }

 private:
  /// Counts of one event name in the current second.
  struct Bucket {
    Instant window_end{};
    std::int64_t lines = 0;
    std::int64_t dropped_lines = 0;
  };

  void Append(const LogLine& line, const EventTime& time);

  int descriptor_;
  std::string node_;
  std::string buffer_;
  std::map<std::string, Bucket> buckets_;  ///< By event name.
  std::int64_t lines_ = 0;
  std::int64_t dropped_lines_ = 0;
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_FLEET_DECISION_LOG_H_
