#include "Policy/run_times.h"

#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <cmath>
#include <optional>
#include <string_view>
#include <tuple>
#include <utility>

#include "Model/cbor.h"
#include "Model/json.h"

namespace hyssopbarrow::fleet {
namespace {

using nlohmann::json;

using std::chrono::milliseconds;

/// Used for tasks whose caller gave no estimate.
constexpr std::int64_t kDefaultEstimateMs = 1000;
/// Run times and estimates beyond this count as this, four months.
constexpr double kMaxMs = 1e10;
/// Steps that the estimates count for before anything is known, so that one run
/// does not replace them.
constexpr double kPriorWeight = 5;
/// Steps that count. Recorded runs: 20 to 80 differ by less than a tenth.
constexpr double kMaxWeight = 30;
/// Variances, of logarithms, before anything is known. Estimates of recorded
/// runs are off by a factor of 1.4 to 3.
constexpr double kPriorErrorVariance = 0.25;
constexpr double kPriorSpreadVariance = 0.05;
constexpr double kMinVariance = 0.01;
/// Share of the last step in the mean error that shows a change.
constexpr double kDriftShare = 0.3;
/// A mean error by a factor of 3.3 shows that the run times have changed: five
/// times the deviation of this mean in recorded runs.
constexpr double kChangedDrift = 1.2;
/// What is left of the weight of earlier steps after a change.
constexpr double kWeightAfterChange = 1;
/// Of the tasks of a step, those that end first are the shortest as far as they
/// started together. Recorded runs: half of this correction leaves no bias.
constexpr double kStartedTogether = 0.5;
/// Of all queues. Takes about 100 KB.
constexpr std::int64_t kMaxModels = 64;
/// Tasks of images with longer names count for their queue alone.
constexpr std::size_t kMaxImageBytes = 200;
constexpr std::int64_t kVersion = 1;
/// Of the length of a list in CBOR.
constexpr std::int64_t kListBytes = 9;

/// In the place of an image: learns from all ends of the queue.
constexpr std::string_view kWholeQueue;

double LogMs(double ms) { return std::log(std::clamp(ms, 1.0, kMaxMs)); }

double LogDeclared(const RunTimeKey& key) {
  return LogMs(static_cast<double>(key.declared_ms > 0 ? key.declared_ms
                                                       : kDefaultEstimateMs));
}

std::int64_t ToMs(double log_ms, double ratio) {
  return std::llround(std::clamp(std::exp(log_ms) * ratio, 1.0, kMaxMs));
}

RunTimeModel NewModel(double log_declared) {
  RunTimeModel model;
  model.weight = kPriorWeight;
  model.declared_mean = model.measured_mean = log_declared;
  model.declared_variance = model.covariance = kPriorErrorVariance;
  model.errors = PriorDistribution(kPriorErrorVariance);
  model.spread = PriorDistribution(kPriorSpreadVariance);
  return model;
}

double ForecastLog(const RunTimeModel& model, double log_declared) {
  const double slope =
      std::clamp(model.covariance / model.declared_variance, 0.0, 1.0);
  return model.measured_mean + slope * (log_declared - model.declared_mean);
}

/// Mean of the logarithms in a step, from those of the tasks that have ended.
double EndedMean(const RunTimeModel& model, const RunTimeKey& key,
                 const StepRunTimes& step) {
  const auto count = static_cast<double>(step.count);
  const double mean = step.log_sum / count;
  const double share = count / static_cast<double>(std::max<std::int64_t>(
                                   step.count, key.tasks));
  if (share >= 1) return mean;
  // How far the mean of the lowest `share` of a normal distribution is below
  // that of the whole.
  const boost::math::normal normal;
  const double below =
      boost::math::pdf(normal, boost::math::quantile(normal, share)) / share;
  return mean + kStartedTogether * std::sqrt(model.spread.variance) * below;
}

/// The forecast for the mean of a step. The ends of its tasks count more the
/// more the steps differ from each other and the less the tasks of one.
double ForecastStepLog(const RunTimeModel& model, const RunTimeKey& key,
                       const StepRunTimes& step) {
  const double forecast = ForecastLog(model, LogDeclared(key));
  if (step.count == 0) return forecast;
  const double within = std::max(model.spread.variance, kMinVariance);
  const double between = std::max(model.errors.variance - within, kMinVariance);
  const double ratio = within / between;
  const auto count = static_cast<double>(step.count);
  return (ratio * forecast + count * EndedMean(model, key, step)) /
         (ratio + count);
}

/// The ratios of a task to the forecast for its step.
const RatioDistribution& RatiosOf(const RunTimeModel& model,
                                  const StepRunTimes& step) {
  return step.count == 0 ? model.errors : model.spread;
}

/// Returns null if nothing is known of the queue.
const RunTimeModel* FindModel(const RunTimes& run_times,
                              const RunTimeKey& key) {
  const auto queue = run_times.models.find(key.queue);
  if (queue == run_times.models.end()) return nullptr;
  auto image = queue->second.find(key.image);
  if (image == queue->second.end()) image = queue->second.find(kWholeQueue);
  return image == queue->second.end() ? nullptr : &image->second;
}

void RemoveOldestModel(RunTimes& run_times) {
  std::map<std::string, RunTimeModel, std::less<>>* images = nullptr;
  std::string_view oldest;
  std::int64_t last_used = 0;
  for (auto& [queue, models] : run_times.models) {
    for (const auto& [image, model] : models) {
      if (images != nullptr && model.last_used >= last_used) continue;
      images = &models;
      oldest = image;
      last_used = model.last_used;
    }
  }
  if (images == nullptr) return;
  images->erase(images->find(std::string(oldest)));
  --run_times.model_count;
  std::erase_if(run_times.models,
                [](const auto& queue) { return queue.second.empty(); });
}

RunTimeModel& FindOrAddModel(RunTimes& run_times, std::string_view queue,
                             std::string_view image, double log_declared) {
  const auto known = run_times.models.find(queue);
  if (known != run_times.models.end()) {
    const auto model = known->second.find(image);
    if (model != known->second.end()) return model->second;
  }
  const RunTimeModel* of_queue =
      FindModel(run_times, {.queue = queue, .image = kWholeQueue});
  RunTimeModel model = of_queue == nullptr ? NewModel(log_declared) : *of_queue;
  model.weight = std::min(model.weight, kPriorWeight);
  model.ends = 0;
  if (run_times.model_count >= kMaxModels) RemoveOldestModel(run_times);
  ++run_times.model_count;
  return run_times.models[std::string(queue)]
      .emplace(std::string(image), std::move(model))
      .first->second;
}

void LearnRunTime(RunTimeModel& model, const RunTimeKey& key, double log_ms,
                  const StepRunTimes& step) {
  const double log_declared = LogDeclared(key);
  const double forecast = ForecastLog(model, log_declared);
  // The ends of a step say nearly the same, so that each step counts once. They
  // count alike, since the first ones are the shortest.
  const double weight =
      1 / static_cast<double>(std::max<std::int64_t>(1, key.tasks));
  model.drift += weight * kDriftShare * (log_ms - forecast - model.drift);
  if (std::abs(model.drift) > kChangedDrift) {
    model.weight = std::min(model.weight, kWeightAfterChange);
    model.drift = 0;
    // The last errors are those of the change.
    model.errors = PriorDistribution(kPriorErrorVariance);
  }
  model.weight = std::min(model.weight + weight, kMaxWeight);
  const double share = weight / model.weight;
  const double declared_off = log_declared - model.declared_mean;
  const double measured_off = log_ms - model.measured_mean;
  model.declared_mean += share * declared_off;
  model.measured_mean += share * measured_off;
  const double kept = 1 - share;
  model.declared_variance = std::max(
      kMinVariance,
      kept * (model.declared_variance + share * declared_off * declared_off));
  model.covariance =
      kept * (model.covariance + share * declared_off * measured_off);
  // From the line that includes this end, so that the errors made while the
  // line follows a change do not count as those of the runs to come.
  AddRatio(model.errors, log_ms - ForecastLog(model, log_declared), share);
  if (step.count > 0) {
    AddRatio(model.spread, log_ms - EndedMean(model, key, step), share);
  }
  ++model.ends;
}

json ModelToJson(const std::string& queue, const std::string& image,
                 const RunTimeModel& model) {
  return {{"queue", queue},
          {"image", image},
          {"weight", model.weight},
          {"declared_mean", model.declared_mean},
          {"measured_mean", model.measured_mean},
          {"declared_variance", model.declared_variance},
          {"covariance", model.covariance},
          {"error_variance", model.errors.variance},
          {"spread_variance", model.spread.variance},
          {"errors", RatiosToJson(model.errors)},
          {"spread", RatiosToJson(model.spread)}};
}

/// Sets `value` if the field holds a number in the range; keeps it if the field
/// is absent. Returns false for any other value.
bool ReadNumber(const json& entry, const char* name, double lowest,
                double highest, double& value) {
  const auto field = entry.find(name);
  if (field == entry.end()) return true;
  if (!field->is_number()) return false;
  const auto read = field->get<double>();
  if (!(read >= lowest && read <= highest)) return false;
  value = read;
  return true;
}

std::optional<RunTimeModel> ParseModel(const json& entry) {
  if (!entry.is_object()) return std::nullopt;
  RunTimeModel model = NewModel(LogMs(kDefaultEstimateMs));
  const double max_log = std::log(kMaxMs);
  const double max_variance = max_log * max_log;
  const auto read_variance = [&](const char* name, double& value) {
    return ReadNumber(entry, name, kMinVariance, max_variance, value);
  };
  bool valid =
      ReadNumber(entry, "weight", 1, kMaxWeight, model.weight) &&
      ReadNumber(entry, "declared_mean", 0, max_log, model.declared_mean) &&
      ReadNumber(entry, "measured_mean", 0, max_log, model.measured_mean) &&
      ReadNumber(entry, "covariance", -max_variance, max_variance,
                 model.covariance) &&
      read_variance("declared_variance", model.declared_variance) &&
      ReadNumber(entry, "error_variance", 0, max_variance,
                 model.errors.variance) &&
      ReadNumber(entry, "spread_variance", 0, max_variance,
                 model.spread.variance);
  for (const auto& [name, distribution] :
       {std::make_pair("errors", &model.errors),
        std::make_pair("spread", &model.spread)}) {
    const auto list = entry.find(name);
    if (list != entry.end()) valid = valid && ReadRatios(*list, *distribution);
  }
  return valid ? std::make_optional(std::move(model)) : std::nullopt;
}

void RecordErrors(RunTimes& run_times, const RunTimeKey& key, double log_ms) {
  const RunTimeModel* model = FindModel(run_times, key);
  if (model == nullptr) return;
  const double log_declared = LogDeclared(key);
  const double forecast = ForecastLog(*model, log_declared);
  RunTimeErrors& errors = run_times.errors;
  ++errors.count;
  errors.declared += std::abs(log_ms - log_declared);
  errors.forecast += std::abs(log_ms - forecast);
  const bool below = log_ms < forecast + std::log(model->errors.high_ratio);
  errors.below_high += below ? 1 : 0;
}

}  // namespace

RunTimeKey RunTimeKeyOf(const JobRecord& job, const Step& step) {
  return {.queue = job.queue,
          .image = step.image,
          .declared_ms = step.estimate_ms,
          .tasks = step.gang ? 1 : step.count};
}

RunTimeForecast ForecastRunTime(const RunTimes& run_times,
                                const RunTimeKey& key,
                                const StepRunTimes& step) {
  const double log_declared = LogDeclared(key);
  const RunTimeModel* model = FindModel(run_times, key);
  if (model == nullptr) {
    const std::int64_t declared_ms = ToMs(log_declared, 1);
    return {.expected_ms = declared_ms, .high_ms = declared_ms};
  }
  const double forecast = ForecastStepLog(*model, key, step);
  const RatioDistribution& ratios = RatiosOf(*model, step);
  return {.expected_ms = ToMs(forecast, ratios.mean_ratio),
          .high_ms = ToMs(forecast, ratios.high_ratio),
          .learned = true};
}

RunTimeForecast ForecastRemaining(const RunTimes& run_times,
                                  const RunTimeKey& key,
                                  const StepRunTimes& step, Duration elapsed) {
  const RunTimeForecast whole = ForecastRunTime(run_times, key, step);
  const RunTimeModel* model = FindModel(run_times, key);
  const auto elapsed_ms = static_cast<double>(
      std::chrono::duration_cast<milliseconds>(elapsed).count());
  if (model == nullptr || elapsed_ms < 1) return whole;
  const double forecast = ForecastStepLog(*model, key, step);
  const RatioDistribution& ratios = RatiosOf(*model, step);
  const double from = LogMs(elapsed_ms) - forecast;
  const double mean = MeanAbove(ratios, from);
  RunTimeForecast remaining{.learned = true};
  if (mean <= 0) {
    // No run has lasted so long. As much again is a guess.
    remaining.expected_ms = remaining.high_ms =
        static_cast<std::int64_t>(elapsed_ms);
    return remaining;
  }
  const auto left = [&](double ratio) {
    return std::max<std::int64_t>(
        1, ToMs(forecast, ratio) - static_cast<std::int64_t>(elapsed_ms));
  };
  remaining.expected_ms = left(mean);
  remaining.high_ms = std::max(remaining.expected_ms,
                               left(QuantileAbove(ratios, from, kHighShare)));
  return remaining;
}

RunTimeForecast ForecastStep(const RunTimes& run_times, const RunTimeKey& key,
                             const StepRunTimes& step, std::int64_t tasks) {
  RunTimeForecast last = ForecastRunTime(run_times, key, step);
  const RunTimeModel* model = FindModel(run_times, key);
  if (model == nullptr || tasks <= 1) return last;
  const auto n = static_cast<double>(tasks);
  // The expected and the high share of the longest of n equal ones.
  const double expected = QuantileAbove(model->spread, kAnyRatio, n / (n + 1));
  const double high =
      QuantileAbove(model->spread, kAnyRatio, std::pow(kHighShare, 1 / n));
  const double forecast = ForecastStepLog(*model, key, step);
  const RatioDistribution& ratios = RatiosOf(*model, step);
  last.expected_ms = std::max(last.expected_ms, ToMs(forecast, expected));
  last.high_ms =
      std::max(last.high_ms, step.count == 0
                                 ? ToMs(forecast, ratios.high_ratio * expected)
                                 : ToMs(forecast, high));
  return last;
}

void RecordRunTime(RunTimes& run_times, const RunTimeKey& key,
                   StepRunTimes& step, Duration measured) {
  const double log_declared = LogDeclared(key);
  const double log_ms =
      LogMs(std::chrono::duration<double, std::milli>(measured).count());
  ++run_times.ends;
  RecordErrors(run_times, key, log_ms);
  const auto learn = [&](std::string_view image) {
    RunTimeModel& model =
        FindOrAddModel(run_times, key.queue, image, log_declared);
    model.last_used = run_times.ends;
    LearnRunTime(model, key, log_ms, step);
  };
  learn(kWholeQueue);
  const bool has_image =
      !key.image.empty() && key.image.size() <= kMaxImageBytes;
  if (has_image) learn(key.image);
  ++step.count;
  step.log_sum += log_ms;
}

nlohmann::json RunTimesRow(const RunTimes& run_times, std::int64_t max_bytes) {
  std::vector<std::tuple<std::int64_t, const std::string*, const std::string*,
                         const RunTimeModel*>>
      latest_first;
  for (const auto& [queue, images] : run_times.models) {
    for (const auto& [image, model] : images) {
      latest_first.emplace_back(-model.last_used, &queue, &image, &model);
    }
  }
  std::sort(latest_first.begin(), latest_first.end(),
            [](const auto& a, const auto& b) {
              return std::get<0>(a) < std::get<0>(b);
            });
  json row = {{"version", kVersion}, {"models", json::array()}};
  auto bytes = static_cast<std::int64_t>(CborSize(row)) + kListBytes;
  for (const auto& [order, queue, image, model] : latest_first) {
    json entry = ModelToJson(*queue, *image, *model);
    bytes += static_cast<std::int64_t>(CborSize(entry));
    if (bytes > max_bytes) break;
    row["models"].push_back(std::move(entry));
  }
  return row;
}

void RestoreRunTimes(const json& row, RunTimes& run_times) {
  if (!row.is_object()) return;
  const auto models = row.find("models");
  if (models == row.end() || !models->is_array()) return;
  for (const json& entry : *models) {
    if (run_times.model_count >= kMaxModels) return;
    const std::optional<RunTimeModel> model = ParseModel(entry);
    if (!model.has_value()) continue;
    const bool added = run_times.models[TextOrEmpty(entry, "queue")]
                           .emplace(TextOrEmpty(entry, "image"), *model)
                           .second;
    run_times.model_count += added ? 1 : 0;
  }
}

}  // namespace hyssopbarrow::fleet
