#include "Policy/run_times.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "Fleet/fleet_simulation.h"
#include "Fleet/owner_fixture.h"
#include "Model/cbor.h"
#include "Policy/owner_ends.h"
#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kMaxRowBytes = 16 << 10;

RunTimeKey KeyOf(std::int64_t declared_ms, std::string_view image = "") {
  return {.queue = "book", .image = image, .declared_ms = declared_ms};
}

/// Records runs of a step that all take `ms`.
void RecordStep(RunTimes& run_times, RunTimeKey key, int tasks, int ms) {
  key.tasks = tasks;
  StepRunTimes step;
  for (int n = 0; n < tasks; ++n) {
    RecordRunTime(run_times, key, step, milliseconds(ms));
  }
}

/// Steps whose run times vary, with estimates that are off.
struct NoisySteps {
  std::mt19937_64 rng{7};
  double step_deviation = 0.5;   ///< Of the logarithms of mean run times.
  double task_deviation = 0.25;  ///< Of a task from its step.
  double declared_deviation = 0.5;
  double declared_bias = 0;  ///< Of the logarithm of the estimate.
  double tail_share = 0;     ///< Of tasks that take seven times as long.

  void Record(RunTimes& run_times, int steps, int tasks) {
    std::normal_distribution<double> normal;
    std::uniform_real_distribution<double> uniform;
    for (int n = 0; n < steps; ++n) {
      const double mean = std::log(1000) + step_deviation * normal(rng);
      const double declared =
          mean + declared_bias + declared_deviation * normal(rng);
      std::vector<int> run_times_ms;
      for (int task = 0; task < tasks; ++task) {
        double ms = std::exp(mean + task_deviation * normal(rng));
        if (uniform(rng) < tail_share) ms *= 7;
        run_times_ms.push_back(static_cast<int>(ms));
      }
      // They start together, so that the shortest ends first.
      std::sort(run_times_ms.begin(), run_times_ms.end());
      RunTimeKey key = KeyOf(static_cast<std::int64_t>(std::exp(declared)));
      key.tasks = tasks;
      StepRunTimes step;
      for (const int ms : run_times_ms) {
        RecordRunTime(run_times, key, step, milliseconds(ms));
      }
    }
  }
};

TEST_CASE("the declared estimate is used until a run of the queue has ended") {
  RunTimes run_times;
  CHECK(ForecastRunTime(run_times, KeyOf(300)) ==
        RunTimeForecast{.expected_ms = 300, .high_ms = 300});
  CHECK(ForecastRunTime(run_times, KeyOf(0)).expected_ms == 1000);
  RecordStep(run_times, KeyOf(300), 1, 300);
  const RunTimeForecast forecast = ForecastRunTime(run_times, KeyOf(300));
  CHECK(forecast.learned);
  CHECK(forecast.expected_ms > 240);
  CHECK(forecast.expected_ms < 400);
  CHECK(forecast.high_ms > forecast.expected_ms);
}

// Load of the recorded days: large jobs whose estimates say little, off by up
// to a factor of three, and small ones whose estimates are good.
TEST_CASE("forecasts are better than estimates that are off") {
  NoisySteps steps;
  double most = 1;  // Of the error of the estimates.
  SECTION("estimates that say little") {
    steps.declared_deviation = 1;
    most = 0.65;
  }
  SECTION("estimates that are too low") {
    steps.declared_bias = -0.7;
    most = 0.65;
  }
  SECTION("good estimates") { steps.declared_deviation = 0.2; }
  SECTION("long tails") {
    steps.tail_share = 0.03;
    steps.declared_deviation = 0.8;
    most = 0.8;
  }
  RunTimes run_times;
  steps.Record(run_times, 60, 8);
  run_times.errors = {};
  steps.Record(run_times, 300, 8);
  const RunTimeErrors& errors = run_times.errors;
  REQUIRE(errors.count == 2400);
  CHECK(errors.forecast <= most * errors.declared);
  const double below_high = static_cast<double>(errors.below_high) / 2400;
  CHECK(below_high > 0.85);
  CHECK(below_high < 0.95);
}

TEST_CASE("tails count in the expected time") {
  NoisySteps steps;
  steps.step_deviation = steps.task_deviation = steps.declared_deviation = 0.05;
  steps.tail_share = 0.03;
  RunTimes run_times;
  steps.Record(run_times, 400, 8);
  // 0.97 + 0.03 * 7 times the usual second.
  CHECK(ForecastRunTime(run_times, KeyOf(1000)).expected_ms ==
        Approx(1180).epsilon(0.12));
}

TEST_CASE("the ends of a step tell the run times of its other tasks") {
  NoisySteps steps;
  steps.declared_deviation = 1;
  RunTimes run_times;
  steps.Record(run_times, 100, 8);
  StepRunTimes step;
  const std::int64_t before =
      ForecastRunTime(run_times, KeyOf(1000), step).expected_ms;
  for (int n = 0; n < 3; ++n) {
    RecordRunTime(run_times, KeyOf(1000), step, milliseconds(4000));
  }
  const RunTimeForecast after = ForecastRunTime(run_times, KeyOf(1000), step);
  CHECK(before < 1800);
  CHECK(after.expected_ms > 3200);
  CHECK(after.high_ms < 3 * after.expected_ms);
}

TEST_CASE("a task that has run for long is expected to run on") {
  NoisySteps steps;
  RunTimes run_times;
  steps.Record(run_times, 100, 8);
  const auto remaining = [&](int elapsed_ms) {
    return ForecastRemaining(run_times, KeyOf(1000), {},
                             milliseconds(elapsed_ms));
  };
  CHECK(remaining(0).expected_ms ==
        ForecastRunTime(run_times, KeyOf(1000)).expected_ms);
  CHECK(remaining(500).expected_ms < remaining(0).expected_ms);
  // Longer than nine of ten, so that a part of the usual time is left.
  CHECK(remaining(3000).expected_ms > 100);
  CHECK(remaining(3000).high_ms >= remaining(3000).expected_ms);
  // Longer than any.
  CHECK(remaining(3'000'000).expected_ms == 3'000'000);
}

TEST_CASE("the last of many tasks ends later than one") {
  NoisySteps steps;
  steps.task_deviation = 0.4;
  RunTimes run_times;
  steps.Record(run_times, 100, 8);
  const auto forecast = [&](std::int64_t tasks) {
    return ForecastStep(run_times, KeyOf(1000), {}, tasks);
  };
  CHECK(forecast(1) == ForecastRunTime(run_times, KeyOf(1000)));
  CHECK(forecast(8).expected_ms > forecast(1).expected_ms);
  CHECK(forecast(100).expected_ms > forecast(8).expected_ms);
  CHECK(forecast(100).high_ms >= forecast(100).expected_ms);
}

// The note states this number of ends.
TEST_CASE("a tenfold change is followed within 64 ends") {
  const bool slower = GENERATE(true, false);
  CAPTURE(slower);
  RunTimes run_times;
  for (int n = 0; n < 200; ++n) RecordStep(run_times, KeyOf(1000), 8, 1000);
  const int changed_ms = slower ? 10'000 : 100;
  for (int n = 0; n < 8; ++n) RecordStep(run_times, KeyOf(1000), 8, changed_ms);
  const auto expected =
      static_cast<double>(ForecastRunTime(run_times, KeyOf(1000)).expected_ms);
  CHECK(expected > changed_ms / 1.5);
  CHECK(expected < changed_ms * 1.5);
}

// Guards against one slow step, as on a slow target, that replaces what many
// others have shown.
TEST_CASE("one step changes a forecast little") {
  NoisySteps steps;
  RunTimes run_times;
  steps.Record(run_times, 100, 8);
  const auto expected = [&] {
    return static_cast<double>(
        ForecastRunTime(run_times, KeyOf(1000)).expected_ms);
  };
  const double before = expected();
  RecordStep(run_times, KeyOf(1000), 24, 5000);
  // It counts for one of 30, which adds a seventh, and moves the line.
  CHECK(expected() < 1.3 * before);
}

TEST_CASE("a new image begins with what is known of its queue") {
  RunTimes run_times;
  for (int n = 0; n < 50; ++n) {
    RecordStep(run_times, KeyOf(1000, "scale"), 4, 3000);
  }
  CHECK(ForecastRunTime(run_times, KeyOf(1000, "press")).expected_ms > 2400);
  for (int n = 0; n < 30; ++n) {
    RecordStep(run_times, KeyOf(1000, "press"), 4, 500);
  }
  CHECK(ForecastRunTime(run_times, KeyOf(1000, "press")).expected_ms < 900);
  CHECK(ForecastRunTime(run_times, KeyOf(1000, "scale")).expected_ms > 2400);
}

// Guards against memory that callers fill with long names.
TEST_CASE("tasks of an image with a long name count for their queue") {
  RunTimes run_times;
  const std::string image(10'000, 'x');
  for (int n = 0; n < 30; ++n) {
    RecordStep(run_times, KeyOf(1000, image), 4, 3000);
  }
  CHECK(run_times.model_count == 1);
  CHECK(ForecastRunTime(run_times, KeyOf(1000, image)).expected_ms > 2400);
}

TEST_CASE("the images used last are remembered, up to a fixed number") {
  RunTimes run_times;
  for (int n = 0; n < 1000; ++n) {
    const std::string image = std::to_string(n);
    RecordStep(run_times, KeyOf(1000, image), 1, 1000);
    RecordStep(run_times, KeyOf(1000, "usual"), 1, 100);
  }
  CHECK(run_times.model_count == 64);
  std::size_t models = 0;
  for (const auto& [queue, images] : run_times.models) models += images.size();
  CHECK(models == 64);
  CHECK(run_times.models.at("book").contains("999"));
  CHECK(run_times.models.at("book").contains("usual"));
  CHECK_FALSE(run_times.models.at("book").contains("5"));
}

TEST_CASE("a summary restores the forecasts") {
  NoisySteps steps;
  steps.declared_bias = -0.7;
  RunTimes run_times;
  steps.Record(run_times, 100, 8);
  nlohmann::json row = RunTimesRow(run_times, kMaxRowBytes);
  RunTimes restored;
  const auto expected = [](const RunTimes& of) {
    return static_cast<double>(ForecastRunTime(of, KeyOf(700)).expected_ms);
  };
  SECTION("as stored") {
    RestoreRunTimes(ParseCbor(ToCbor(row)), restored);
    CHECK(restored.model_count == 1);
    CHECK(expected(restored) == Approx(expected(run_times)).epsilon(0.03));
    CHECK(ForecastRunTime(restored, KeyOf(700)).learned);
  }
  SECTION("of a later version") {
    row["version"] = 2;
    row["future"] = {1, 2};
    row["models"][0]["future"] = "x";
    row["models"][0].erase("spread");
    row["models"][0].erase("drift");
    RestoreRunTimes(row, restored);
    CHECK(expected(restored) == Approx(expected(run_times)).epsilon(0.03));
  }
  SECTION("unreadable") {
    row["models"].push_back(row["models"][0]);
    row["models"][0]["declared_mean"] = -1;
    row["models"][1]["errors"] = {0, -5};
    row["models"].push_back("x");
    RestoreRunTimes(row, restored);
    RestoreRunTimes({{"models", 7}}, restored);
    RestoreRunTimes("x", restored);
    CHECK(restored.model_count == 0);
    CHECK(ForecastRunTime(restored, KeyOf(700)).expected_ms == 700);
  }
}

TEST_CASE("a summary keeps to its size and leaves out the oldest images") {
  RunTimes run_times;
  std::mt19937_64 rng(3);
  for (int n = 0; n < 2000; ++n) {
    const std::string image = "image-" + std::to_string(n % 63);
    RecordStep(run_times, KeyOf(1000, image), 2,
               static_cast<int>(100 + rng() % 9000));
  }
  REQUIRE(run_times.model_count == 64);
  const nlohmann::json row = RunTimesRow(run_times, kMaxRowBytes);
  CHECK(ToCbor(row).size() <= kMaxRowBytes);
  CHECK(row["models"].size() >= 20);
  // The queue as a whole, and the image of the last end.
  CHECK(row["models"][0]["image"].get<std::string>().empty());
  CHECK(row["models"][1]["image"] == "image-" + std::to_string(1999 % 63));
}

TEST_CASE("a new owner begins with what its predecessor has learned") {
  FleetSimulation simulation(510, 3, 4);
  simulation.Run(seconds(3));
  for (int n = 0; n < 200; ++n) {
    simulation.ScheduleAfter(milliseconds(100) * n, [&simulation, n] {
      const std::string digits = std::to_string(n);
      simulation.Submit(std::string(16 - digits.size(), '0') + digits,
                        SimpleJob(3, false));
    });
  }
  simulation.Run(seconds(15));
  REQUIRE(simulation.OwnerIndex() >= 0);
  simulation.KillEntry(simulation.OwnerIndex());
  simulation.Run(seconds(3));
  REQUIRE(simulation.OwnerIndex() >= 0);
  const Owner& owner = *simulation.entry(simulation.OwnerIndex()).owner;
  REQUIRE(owner.ready);
  const RunTimes& run_times = owner.run_times;
  REQUIRE(run_times.model_count == 1);
  // More than what a few seconds teach.
  CHECK(run_times.models.at("book").at("").weight == 30);
  CHECK(simulation.violations.empty());
}

// Guards against run times that say something else than how long the work
// takes.
TEST_CASE("only whole runs that end as done are learned from") {
  OwnerFixture fixture;
  Job& job = fixture.AddJob("00000000000000a1", 2);
  TargetView& target = fixture.owner.targets["i-1"];
  target.entry = {.id = "i-1", .labels = {"a", "r1"}};
  const TaskName task{job.record.id, 0, 0, 0};
  Run& run = AddRun(fixture.owner, target, job, task, 1, fixture.now);
  run.phase = RunPhase::kRunning;
  run.measured_from = fixture.now;
  RunEndKind kind = RunEndKind::kDone;
  std::int64_t learned = 0;
  SECTION("done") { learned = 1; }
  SECTION("failed") { kind = RunEndKind::kFailed; }
  SECTION("stopped") { kind = RunEndKind::kStopped; }
  SECTION("not measured from its start") { run.measured_from.reset(); }
  SECTION("far from its data") { job.record.spec.steps[0].data_rack = "r2"; }
  SECTION("near its data") {
    job.record.spec.steps[0].data_rack = "r1";
    learned = 1;
  }
  SECTION("in the background") { job.record.spec.steps[0].background = true; }
  fixture.now += milliseconds(700);
  Context context = fixture.MakeContext();
  HandleRunEnd(fixture.owner, target,
               {.number = 1, .task = task, .run = 1, .kind = kind}, context);
  CHECK(fixture.owner.run_times.ends == learned);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
