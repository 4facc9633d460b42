#include "Model/job.h"

#include <array>
#include <utility>

#include "Model/text.h"

namespace hyssopbarrow::fleet {
namespace {

constexpr std::int64_t kMaxSteps = 100;
/// Of a job's timed run; their progress has to fit into one row of 64 KiB.
constexpr std::int64_t kMaxTasks = 1'000;
constexpr std::size_t kMaxPayloadBytes =
    4'000;  ///< From the callers' contract.
constexpr std::int64_t kMaxRepeats = 100'000;
constexpr std::int64_t kMaxAmount = 1LL << 40;

constexpr std::array<std::pair<JobState, std::string_view>, 5> kStates = {{
    {JobState::kPending, "pending"},
    {JobState::kRunning, "running"},
    {JobState::kCompleted, "completed"},
    {JobState::kFailed, "failed"},
    {JobState::kCancelled, "cancelled"},
}};

absl::Status Bad(std::string_view field, std::string_view expected) {
  return absl::InvalidArgumentError(
      StrCat("field '", field, "' must be ", expected));
}

bool InRange(std::int64_t n, std::int64_t low, std::int64_t high) {
  return n >= low && n <= high;
}

absl::Status ValidateStep(const Step& step, std::int64_t number) {
  const std::string at = StrCat("steps[", number, "].");
  if (!InRange(step.count, 1, kMaxTasks)) {
    return Bad(StrCat(at, "count"), "from 1 to 1000");
  }
  const Resources& need = step.need;
  const bool sane = InRange(need.cpu_milli, 0, kMaxAmount) &&
                    InRange(need.memory_mb, 0, kMaxAmount) &&
                    InRange(need.gpus, 0, kMaxAmount);
  if (!sane) return Bad(StrCat(at, "need"), "from 0 to 2^40");
  if (!InRange(step.estimate_ms, 0, kMaxAmount)) {
    return Bad(StrCat(at, "estimate_ms"), "from 0 to 2^40");
  }
  if (step.max_per_target < 0) {
    return Bad(StrCat(at, "max_per_target"), "0 or more");
  }
  if (step.may_miss < 0) return Bad(StrCat(at, "may_miss"), "0 or more");
  for (const std::int64_t it : step.depends_on) {
    if (!InRange(it, 0, number - 1)) {
      return Bad(StrCat(at, "depends_on"), "numbers of earlier steps");
    }
  }
  return absl::OkStatus();
}

nlohmann::json ToJson(const Step& step) {
  nlohmann::json json = {{"count", step.count}};
  const auto put = [&json](const char* name, auto value, auto none) {
    if (value != none) json[name] = value;
  };
  put("cpu_milli", step.need.cpu_milli, 0);
  put("memory_mb", step.need.memory_mb, 0);
  put("gpus", step.need.gpus, 0);
  put("estimate_ms", step.estimate_ms, 0);
  if (!step.depends_on.empty()) json["depends_on"] = step.depends_on;
  put("saves", step.saves, false);
  put("gang", step.gang, false);
  put("same_rack", step.same_rack, false);
  put("needs_label", step.needs_label, std::string());
  put("data_rack", step.data_rack, std::string());
  put("max_per_target", step.max_per_target, 0);
  put("allows_copies", step.allows_copies, false);
  put("lasts", step.lasts, false);
  put("image", step.image, std::string());
  put("tail_target_ms", step.tail_target_ms, 0);
  put("fills", step.fills, false);
  put("may_miss", step.may_miss, 0);
  return json;
}

template <typename Value>
void Take(const nlohmann::json& json, const char* name, Value& out) {
  if (auto it = json.find(name); it != json.end()) it->get_to(out);
}

Step TakeStep(const nlohmann::json& json) {
  Step step;
  Take(json, "count", step.count);
  Take(json, "cpu_milli", step.need.cpu_milli);
  Take(json, "memory_mb", step.need.memory_mb);
  Take(json, "gpus", step.need.gpus);
  Take(json, "estimate_ms", step.estimate_ms);
  Take(json, "depends_on", step.depends_on);
  Take(json, "saves", step.saves);
  Take(json, "gang", step.gang);
  Take(json, "same_rack", step.same_rack);
  Take(json, "needs_label", step.needs_label);
  Take(json, "data_rack", step.data_rack);
  Take(json, "max_per_target", step.max_per_target);
  Take(json, "allows_copies", step.allows_copies);
  Take(json, "lasts", step.lasts);
  Take(json, "image", step.image);
  Take(json, "tail_target_ms", step.tail_target_ms);
  Take(json, "fills", step.fills);
  Take(json, "may_miss", step.may_miss);
  return step;
}

}  // namespace

absl::Status Validate(const JobSpec& spec) {
  if (spec.payload.size() > kMaxPayloadBytes) {
    return Bad("payload", "at most 4000 bytes");
  }
  const auto steps = static_cast<std::int64_t>(spec.steps.size());
  if (!InRange(steps, 1, kMaxSteps)) return Bad("steps", "1 to 100 steps");
  std::int64_t tasks = 0;
  for (std::int64_t n = 0; n < steps; ++n) {
    const Step& step = spec.steps[static_cast<std::size_t>(n)];
    if (absl::Status s = ValidateStep(step, n); !s.ok()) return s;
    tasks += step.count;
  }
  if (tasks > kMaxTasks) return Bad("steps", "at most 1000 tasks in all");
  if (!InRange(spec.repeats, 0, kMaxRepeats)) {
    return Bad("repeats", "from 0 to 100000");
  }
  if (!InRange(spec.interval_ms, 0, kMaxAmount)) {
    return Bad("interval_ms", "from 0 to 2^40");
  }
  if (spec.start_ms < 0) return Bad("start_ms", "0 or more");
  return absl::OkStatus();
}

std::string_view ToString(JobState state) {
  for (const auto& [value, text] : kStates) {
    if (value == state) return text;
  }
  return "pending";
}

std::optional<JobState> ParseJobState(std::string_view text) {
  for (const auto& [value, name] : kStates) {
    if (name == text) return value;
  }
  return std::nullopt;
}

bool IsFinal(JobState state) {
  return state != JobState::kPending && state != JobState::kRunning;
}

std::string StepName(const TaskName& name) {
  return StrCat(name.job, ".", name.occurrence, ".", name.step);
}

std::string ToString(const TaskName& name) {
  return StrCat(StepName(name), ".", name.index);
}

std::optional<TaskName> ParseTaskName(std::string_view text) {
  const std::vector<std::string> parts = Split(text, '.');
  if (parts.size() != 4) return std::nullopt;
  const auto occurrence = ParseInteger<std::int64_t>(parts[1]);
  const auto step = ParseInteger<std::int64_t>(parts[2]);
  const auto index = ParseInteger<std::int64_t>(parts[3]);
  if (!occurrence || !step || !index) return std::nullopt;
  return TaskName{parts[0], *occurrence, *step, *index};
}

nlohmann::json ToJson(const JobRecord& record) {
  nlohmann::json json = {{"queue", record.queue},
                         {"pool", record.pool},
                         {"team", record.team},
                         {"accepted_ms", record.accepted_ms},
                         {"max_attempts", record.max_attempts},
                         {"payload", record.spec.payload}};
  for (const Step& it : record.spec.steps) json["steps"].push_back(ToJson(it));
  if (record.spec.repeats > 0) {
    json["repeats"] = record.spec.repeats;
    json["start_ms"] = record.spec.start_ms;
    json["interval_ms"] = record.spec.interval_ms;
  }
  return json;
}

absl::StatusOr<JobRecord> ParseJobRecord(std::string_view id,
                                         const nlohmann::json& json) {
  JobRecord record;
  record.id = std::string(id);
  try {
    Take(json, "queue", record.queue);
    Take(json, "pool", record.pool);
    Take(json, "team", record.team);
    Take(json, "accepted_ms", record.accepted_ms);
    Take(json, "max_attempts", record.max_attempts);
    Take(json, "payload", record.spec.payload);
    for (const nlohmann::json& it : json.at("steps")) {
      record.spec.steps.push_back(TakeStep(it));
    }
    Take(json, "repeats", record.spec.repeats);
    Take(json, "start_ms", record.spec.start_ms);
    Take(json, "interval_ms", record.spec.interval_ms);
  } catch (const nlohmann::json::exception& e) {
    return absl::InvalidArgumentError(StrCat("job row ", id, ": ", e.what()));
  }
  if (absl::Status s = Validate(record.spec); !s.ok()) return s;
  return record;
}

}  // namespace hyssopbarrow::fleet
