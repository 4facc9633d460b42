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

/// What spent a queue's error budget.
enum class BurnCause {
  kFull,    ///< No slot in time: full, at the ceiling, or no usable worker.
  kSlow,    ///< Answered, but started later than the latency target.
  kKey,     ///< A known key could not be confirmed while cut off.
  kStore,   ///< The platform's table could not be written.
  kTarget,  ///< A worker was unreachable, broke off or did not answer.
  kSystem,  ///< This system: no configuration, dispatcher lost, stopping.
};

inline constexpr std::size_t kBurnCauses = 6;

std::string_view ToString(BurnCause cause);

/// Calls of one queue that ended within one minute.
struct BurnMinute {
  std::int64_t minute = 0;  ///< Minutes since the Unix epoch.
  std::int64_t good = 0;
  std::array<std::int64_t, kBurnCauses> bad{};
  std::int64_t excluded = 0;  ///< Refused for a fault of the caller.

  friend bool operator==(const BurnMinute&, const BurnMinute&) = default;
};

/// The minutes of one queue, oldest first, with its service level.
struct BurnSeries {
  std::string queue;
  std::int64_t availability_ppm = 0;  ///< Target, in parts per million.
  std::int64_t latency_target_ms = 0;
  std::vector<BurnMinute> minutes;

  friend bool operator==(const BurnSeries&, const BurnSeries&) = default;
};

/// Series by queue. Hosts keep them in memory for one day.
using BurnTable = std::map<std::string, BurnSeries>;

/// How one call ended, as far as the service level is concerned.
struct BurnEvent {
  std::int64_t minute = 0;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  bool slow = false;  ///< Started later than the queue's latency target.

  friend bool operator==(const BurnEvent&, const BurnEvent&) = default;
};

/// Minutes since the Unix epoch.
std::int64_t MinuteOf(std::chrono::system_clock::time_point time);

/// Adds a call to its queue's series and drops minutes older than one day.
void RecordBurn(BurnTable& table, const Queue& queue, const BurnEvent& event);

/// Adds the counts of `other`, for example those of another entry host.
void MergeBurn(BurnTable& table, const BurnTable& other);

/// A span over which the burn rate is computed.
struct BurnWindow {
  std::string_view name;
  std::int64_t minutes = 0;

  friend bool operator==(const BurnWindow&, const BurnWindow&) = default;
};

inline constexpr std::array<BurnWindow, 4> kBurnWindows = {
    {{"5m", 5}, {"1h", 60}, {"6h", 360}, {"24h", 1440}}};

/// Burn of one queue over one window that ends with minute `now`.
struct BurnRate {
  std::int64_t calls = 0;
  std::int64_t bad = 0;
  double rate = 0;  ///< 1 spends exactly the budget; 0 without calls.

  friend bool operator==(const BurnRate&, const BurnRate&) = default;
};

BurnRate ComputeBurnRate(const BurnSeries& series, const BurnWindow& window,
                         std::int64_t now);

/// Part of the budget that is left over the longest window, from 1 down;
/// negative when overspent.
double RemainingBudget(const BurnSeries& series, std::int64_t now);

/// Calls that spent the budget over the longest window, by cause.
std::array<std::int64_t, kBurnCauses> BadCallsByCause(const BurnSeries& series,
                                                      std::int64_t now);

nlohmann::json ToJson(const BurnTable& table);

/// Errors: kInvalidArgument naming the field.
absl::StatusOr<BurnTable> ParseBurnTable(const nlohmann::json& json);

/// The report as text, one queue a line and its causes below.
std::string FormatBurnText(const BurnTable& table, std::int64_t now);

/// The report as one HTML page without references to other files.
std::string FormatBurnPage(const BurnTable& table, std::int64_t now);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_REPORT_BURN_H_
