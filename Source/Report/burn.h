#ifndef HYSSOPBARROW_REPORT_BURN_H_
#define HYSSOPBARROW_REPORT_BURN_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "Model/outcome.h"
#include "Model/snapshot.h"
#include "absl/status/statusor.h"

namespace hyssopbarrow {

/// Why a call counted against its queue's error budget.
enum class BurnCause {
  kFull,    ///< No slot in time: queue full, ceiling or no usable worker.
  kSlow,    ///< Answered, but started after the latency target.
  kKey,     ///< A known key could not be confirmed by a cut-off host.
  kStore,   ///< The store could not be written.
  kTarget,  ///< A worker was unreachable, failed or timed out.
  kSystem,  ///< hyssopbarrow: no configuration, dispatcher lost, stopping.
};

inline constexpr std::size_t kBurnCauses = 6;

std::string_view ToString(BurnCause cause);

/// Calls of one queue that ended within one minute.
struct BurnMinute {
  std::int64_t minute = 0;  ///< Minutes since the Unix epoch.
  std::int64_t good = 0;
  std::array<std::int64_t, kBurnCauses> bad{};
  std::int64_t excluded = 0;  ///< Refused because of the caller's fault.

  friend bool operator==(const BurnMinute&, const BurnMinute&) = default;
};

/// Service level of one queue and its calls by minute, oldest first.
struct BurnSeries {
  std::string queue;
  std::int64_t availability_ppm =
      0;  ///< Target share of good calls, in parts per million.
  std::int64_t latency_target_ms = 0;
  std::vector<BurnMinute> minutes;

  friend bool operator==(const BurnSeries&, const BurnSeries&) = default;
};

/// Series by queue. Entry hosts keep one day of them in memory.
using BurnTable = std::map<std::string, BurnSeries>;

/// End of one call, as input for its queue's service level.
struct BurnEvent {
  std::int64_t minute = 0;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  bool slow = false;  ///< Started after the queue's latency target.

  friend bool operator==(const BurnEvent&, const BurnEvent&) = default;
};

/// Minutes since the Unix epoch.
std::int64_t MinuteOf(std::chrono::system_clock::time_point time);

/// Adds a call to its queue's series and drops minutes older than one day.
void RecordBurn(BurnTable& table, const Queue& queue, const BurnEvent& event);

/// Adds the counts of `other` (another entry host's) to `table`.
void MergeBurn(BurnTable& table, const BurnTable& other);

/// Time window over which a burn rate is computed.
struct BurnWindow {
  std::string_view name;
  std::int64_t minutes = 0;

  friend bool operator==(const BurnWindow&, const BurnWindow&) = default;
};

inline constexpr std::array<BurnWindow, 4> kBurnWindows = {
    {{"5m", 5}, {"1h", 60}, {"6h", 360}, {"24h", 1440}}};

/// Burn rate of one queue over one window.
struct BurnRate {
  std::int64_t calls = 0;
  std::int64_t bad = 0;
  double rate = 0;  ///< 1 uses up the budget exactly; 0 without calls.

  friend bool operator==(const BurnRate&, const BurnRate&) = default;
};

/// Computes the burn rate over the window that ends with minute `now`.
BurnRate ComputeBurnRate(const BurnSeries& series, const BurnWindow& window,
                         std::int64_t now);

/// Fraction of the error budget that remains in the longest window: 1 if none
/// is used, negative if it is exceeded.
double RemainingBudget(const BurnSeries& series, std::int64_t now);

/// Number of bad calls in the longest window, by cause.
std::array<std::int64_t, kBurnCauses> BadCallsByCause(const BurnSeries& series,
                                                      std::int64_t now);

nlohmann::json ToJson(const BurnTable& table);

/// Errors: kInvalidArgument naming the field.
absl::StatusOr<BurnTable> ParseBurnTable(const nlohmann::json& json);

/// The report as text: a line for each queue, followed by its bad calls by
/// cause.
std::string FormatBurnText(const BurnTable& table, std::int64_t now);

/// The report as a self-contained HTML page.
std::string FormatBurnPage(const BurnTable& table, std::int64_t now);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_REPORT_BURN_H_
