#include "Report/burn.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr std::int64_t kMaxAgeMinutes = kBurnWindows.back().minutes;
constexpr double kMillion = 1e6;

constexpr std::array<std::string_view, kBurnCauses> kCauseNames = {
    "full", "slow", "key", "store", "target", "system"};

/// True for refusals that are the caller's fault. They do not count against the
/// error budget.
bool IsCallerFault(Reason reason) {
  switch (reason) {
    case Reason::kUnknownQueue:
    case Reason::kKeyMissing:
    case Reason::kKeyRejected:
    case Reason::kDuplicate:
    case Reason::kCancelled:
      return true;
    default:
      return false;
  }
}

BurnCause CauseOf(Reason reason) {
  switch (reason) {
    case Reason::kDeadlineTooShort:
    case Reason::kQueueFull:
    case Reason::kNoCapacity:
    case Reason::kCeiling:
      return BurnCause::kFull;
    case Reason::kKeyUnconfirmed:
      return BurnCause::kKey;
    case Reason::kStoreUnavailable:
      return BurnCause::kStore;
    case Reason::kWorkerUnreachable:
    case Reason::kWorkerBroken:
    case Reason::kWorkerTimeout:
      return BurnCause::kTarget;
    default:
      return BurnCause::kSystem;
  }
}

/// Returns the entry of a minute; inserts it if there is none.
BurnMinute& FindOrInsertMinute(BurnSeries& series, std::int64_t minute) {
  auto& minutes = series.minutes;
  auto it = std::lower_bound(
      minutes.begin(), minutes.end(), minute,
      [](const BurnMinute& a, std::int64_t b) { return a.minute < b; });
  if (it != minutes.end() && it->minute == minute) return *it;
  return *minutes.insert(it, BurnMinute{.minute = minute});
}

void Add(BurnMinute& to, const BurnMinute& from) {
  to.good += from.good;
  to.excluded += from.excluded;
  for (std::size_t n = 0; n < kBurnCauses; ++n) to.bad[n] += from.bad[n];
}

std::int64_t CountBad(const BurnMinute& minute) {
  std::int64_t sum = 0;
  for (const std::int64_t n : minute.bad) sum += n;
  return sum;
}

/// Sums the `minutes` minutes up to and including `now`.
BurnMinute SumWindow(const BurnSeries& series, std::int64_t minutes,
                     std::int64_t now) {
  BurnMinute sum;
  for (const BurnMinute& entry : series.minutes) {
    if (entry.minute > now - minutes && entry.minute <= now) Add(sum, entry);
  }
  return sum;
}

/// Adds a call to the counter of its class: good, bad by cause, or excluded.
void CountEvent(BurnMinute& minute, const BurnEvent& event) {
  if (event.outcome == Outcome::kAnswered) {
    if (!event.slow) {
      ++minute.good;
    } else {
      ++minute.bad[static_cast<std::size_t>(BurnCause::kSlow)];
    }
  } else if (IsCallerFault(event.reason)) {
    ++minute.excluded;
  } else {
    ++minute.bad[static_cast<std::size_t>(CauseOf(event.reason))];
  }
}

std::optional<std::int64_t> ParseInteger(const nlohmann::json& json) {
  if (!json.is_number_integer()) return std::nullopt;
  return json.get<std::int64_t>();
}

absl::Status InvalidField(std::string_view field, std::string_view expected) {
  return absl::InvalidArgumentError(
      StrCat("field '", field, "' must be ", expected));
}

/// Parses [minute, good, excluded, bad calls by cause...].
absl::StatusOr<BurnMinute> ParseMinute(const nlohmann::json& json) {
  constexpr std::size_t kFieldsBeforeCauses = 3;
  const bool valid =
      json.is_array() && json.size() == kFieldsBeforeCauses + kBurnCauses;
  if (!valid) return InvalidField("minutes", "a list of lists of 9 integers");
  std::vector<std::int64_t> numbers;
  for (const nlohmann::json& element : json) {
    const auto n = ParseInteger(element);
    if (!n.has_value()) return InvalidField("minutes", "a list of integers");
    numbers.push_back(*n);
  }
  BurnMinute minute{
      .minute = numbers[0], .good = numbers[1], .excluded = numbers[2]};
  std::copy(numbers.begin() + kFieldsBeforeCauses, numbers.end(),
            minute.bad.begin());
  return minute;
}

absl::StatusOr<BurnSeries> ParseSeries(const nlohmann::json& json) {
  if (!json.is_object()) return InvalidField("queues", "a list of objects");
  const auto queue = json.find("queue");
  if (queue == json.end() || !queue->is_string()) {
    return InvalidField("queue", "a string");
  }
  BurnSeries series{.queue = queue->get<std::string>()};
  const auto ppm = ParseInteger(json.value("availability_ppm", json));
  if (!ppm.has_value()) return InvalidField("availability_ppm", "an integer");
  const auto latency = ParseInteger(json.value("latency_target_ms", json));
  if (!latency.has_value()) {
    return InvalidField("latency_target_ms", "an integer");
  }
  series.availability_ppm = *ppm;
  series.latency_target_ms = *latency;
  const auto minutes = json.find("minutes");
  if (minutes == json.end() || !minutes->is_array()) {
    return InvalidField("minutes", "a list");
  }
  for (const nlohmann::json& entry : *minutes) {
    absl::StatusOr<BurnMinute> minute = ParseMinute(entry);
    if (!minute.ok()) return minute.status();
    Add(FindOrInsertMinute(series, minute->minute), *minute);
  }
  return series;
}

}  // namespace

std::string_view ToString(BurnCause cause) {
  return kCauseNames[static_cast<std::size_t>(cause)];
}

std::int64_t MinuteOf(std::chrono::system_clock::time_point time) {
  return std::chrono::floor<std::chrono::minutes>(time.time_since_epoch())
      .count();
}

void RecordBurn(BurnTable& table, const Queue& queue, const BurnEvent& event) {
  BurnSeries& series = table[queue.name];
  series.queue = queue.name;
  series.availability_ppm = queue.availability_ppm;
  series.latency_target_ms = queue.latency_target_ms;
  CountEvent(FindOrInsertMinute(series, event.minute), event);
  const std::int64_t oldest = event.minute - kMaxAgeMinutes;
  auto it = series.minutes.begin();
  while (it != series.minutes.end() && it->minute <= oldest) ++it;
  series.minutes.erase(series.minutes.begin(), it);
}

void MergeBurn(BurnTable& table, const BurnTable& other) {
  for (const auto& [name, from] : other) {
    BurnSeries& to = table[name];
    to.queue = from.queue;
    to.availability_ppm = from.availability_ppm;
    to.latency_target_ms = from.latency_target_ms;
    for (const BurnMinute& minute : from.minutes) {
      Add(FindOrInsertMinute(to, minute.minute), minute);
    }
  }
}

BurnRate ComputeBurnRate(const BurnSeries& series, const BurnWindow& window,
                         std::int64_t now) {
  const BurnMinute sum = SumWindow(series, window.minutes, now);
  BurnRate rate{.bad = CountBad(sum)};
  rate.calls = sum.good + rate.bad;
  if (rate.calls == 0) return rate;
  const double allowed =
      (kMillion - static_cast<double>(series.availability_ppm)) / kMillion;
  const double bad =
      static_cast<double>(rate.bad) / static_cast<double>(rate.calls);
  rate.rate = bad / allowed;
  return rate;
}

double RemainingBudget(const BurnSeries& series, std::int64_t now) {
  return 1.0 - ComputeBurnRate(series, kBurnWindows.back(), now).rate;
}

std::array<std::int64_t, kBurnCauses> BadCallsByCause(const BurnSeries& series,
                                                      std::int64_t now) {
  return SumWindow(series, kMaxAgeMinutes, now).bad;
}

nlohmann::json ToJson(const BurnTable& table) {
  nlohmann::json queues = nlohmann::json::array();
  for (const auto& [name, series] : table) {
    nlohmann::json minutes = nlohmann::json::array();
    for (const BurnMinute& minute : series.minutes) {
      nlohmann::json list = {minute.minute, minute.good, minute.excluded};
      for (const std::int64_t n : minute.bad) list.push_back(n);
      minutes.push_back(std::move(list));
    }
    queues.push_back({{"queue", name},
                      {"availability_ppm", series.availability_ppm},
                      {"latency_target_ms", series.latency_target_ms},
                      {"minutes", std::move(minutes)}});
  }
  return {{"queues", std::move(queues)}};
}

absl::StatusOr<BurnTable> ParseBurnTable(const nlohmann::json& json) {
  const bool valid =
      json.is_object() && json.contains("queues") && json["queues"].is_array();
  if (!valid) return InvalidField("queues", "a list");
  BurnTable table;
  for (const nlohmann::json& entry : json["queues"]) {
    absl::StatusOr<BurnSeries> series = ParseSeries(entry);
    if (!series.ok()) return series.status();
    const std::string queue = series->queue;
    table[queue] = *std::move(series);
  }
  return table;
}

}  // namespace hyssopbarrow
