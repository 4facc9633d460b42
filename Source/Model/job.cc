#include "Model/job.h"

#include <array>
#include <utility>

#include "Model/fields.h"
#include "Model/limits.h"
#include "Model/text.h"

namespace hyssopbarrow::fleet {
namespace {

constexpr std::int64_t kMaxStepsPerJob = 100;
/// Limits one occurrence of a job, whose progress has to fit into one row of
/// 64 KiB.
constexpr std::int64_t kMaxTasksPerJob = 1'000;
/// Part of the callers' API contract.
constexpr std::size_t kMaxPayloadBytes = 4'000;
constexpr std::int64_t kMaxRepeats = 100'000;

constexpr std::array<std::pair<JobState, std::string_view>, 5> kJobStateNames =
    {{
        {JobState::kPending, "pending"},
        {JobState::kRunning, "running"},
        {JobState::kCompleted, "completed"},
        {JobState::kFailed, "failed"},
        {JobState::kCancelled, "cancelled"},
    }};

absl::Status InvalidField(std::string_view field, std::string_view expected) {
  return absl::InvalidArgumentError(
      StrCat("field '", field, "' must be ", expected));
}

bool InRange(std::int64_t n, std::int64_t low, std::int64_t high) {
  return n >= low && n <= high;
}

absl::Status ValidateStep(const Step& step, std::int64_t number) {
  const std::string prefix = StrCat("steps[", number, "].");
  if (!InRange(step.count, 1, kMaxTasksPerJob)) {
    return InvalidField(StrCat(prefix, "count"), "from 1 to 1000");
  }
  const Resources& resources = step.resources;
  const bool in_range = InRange(resources.cpu_milli, 0, kMaxAmount) &&
                        InRange(resources.memory_mb, 0, kMaxAmount) &&
                        InRange(resources.gpus, 0, kMaxAmount);
  if (!in_range) return InvalidField(StrCat(prefix, "need"), "from 0 to 2^40");
  if (!InRange(step.estimate_ms, 0, kMaxAmount)) {
    return InvalidField(StrCat(prefix, "estimate_ms"), "from 0 to 2^40");
  }
  if (step.max_per_target < 0) {
    return InvalidField(StrCat(prefix, "max_per_target"), "0 or more");
  }
  if (step.max_unavailable_tasks < 0) {
    return InvalidField(StrCat(prefix, "may_miss"), "0 or more");
  }
  for (const std::int64_t dependency : step.depends_on) {
    if (!InRange(dependency, 0, number - 1)) {
      return InvalidField(StrCat(prefix, "depends_on"),
                          "numbers of earlier steps");
    }
  }
  return absl::OkStatus();
}

nlohmann::json ToJson(const Step& step) {
  nlohmann::json json = {{"count", step.count}};
  const auto put = [&json](const char* name, auto value, auto default_value) {
    if (value != default_value) json[name] = value;
  };
  put("cpu_milli", step.resources.cpu_milli, 0);
  put("memory_mb", step.resources.memory_mb, 0);
  put("gpus", step.resources.gpus, 0);
  put("estimate_ms", step.estimate_ms, 0);
  if (!step.depends_on.empty()) json["depends_on"] = step.depends_on;
  put("saves", step.checkpoints, false);
  put("gang", step.gang, false);
  put("same_rack", step.same_rack, false);
  put("needs_label", step.required_label, std::string());
  put("data_rack", step.data_rack, std::string());
  put("max_per_target", step.max_per_target, 0);
  put("allows_copies", step.allows_copies, false);
  put("lasts", step.long_running, false);
  put("image", step.image, std::string());
  put("tail_target_ms", step.tail_latency_target_ms, 0);
  put("fills", step.background, false);
  put("may_miss", step.max_unavailable_tasks, 0);
  return json;
}

Step ParseStep(const nlohmann::json& json, const std::string& path,
               absl::Status& status) {
  Fields fields(json, path);
  Step step{.count = fields.Integer("count", 1),
            .resources = {.cpu_milli = fields.Integer("cpu_milli"),
                          .memory_mb = fields.Integer("memory_mb"),
                          .gpus = fields.Integer("gpus")},
            .estimate_ms = fields.Integer("estimate_ms"),
            .depends_on = fields.Integers("depends_on"),
            .checkpoints = fields.Flag("saves"),
            .gang = fields.Flag("gang"),
            .same_rack = fields.Flag("same_rack"),
            .required_label = fields.Text("needs_label"),
            .data_rack = fields.Text("data_rack"),
            .max_per_target = fields.Integer("max_per_target"),
            .allows_copies = fields.Flag("allows_copies"),
            .long_running = fields.Flag("lasts"),
            .image = fields.Text("image"),
            .tail_latency_target_ms = fields.Integer("tail_target_ms"),
            .background = fields.Flag("fills"),
            .max_unavailable_tasks = fields.Integer("may_miss")};
  status.Update(fields.status());
  return step;
}

/// Returns an error if a step has a field that ParseStep does not read.
absl::Status RejectUnknownStepFields(const nlohmann::json& json,
                                     const std::string& path) {
  Fields fields(json, path);
  fields.RejectUnknown({"count", "cpu_milli", "memory_mb", "gpus",
                        "estimate_ms", "depends_on", "saves", "gang",
                        "same_rack", "needs_label", "data_rack",
                        "max_per_target", "allows_copies", "lasts", "image",
                        "tail_target_ms", "fills", "may_miss"});
  return fields.status();
}

std::string StepPath(std::size_t number) {
  return StrCat("steps[", number, "]");
}

JobSpec ParseSpecFields(Fields& fields) {
  JobSpec spec{.payload = fields.Text("payload"),
               .repeats = fields.Integer("repeats"),
               .start_ms = fields.Integer("start_ms"),
               .interval_ms = fields.Integer("interval_ms")};
  absl::Status status;
  for (const nlohmann::json& step : fields.List("steps", true)) {
    spec.steps.push_back(ParseStep(step, StepPath(spec.steps.size()), status));
  }
  fields.UpdateStatus(status);
  return spec;
}

}  // namespace

absl::Status Validate(const JobSpec& spec) {
  if (spec.payload.size() > kMaxPayloadBytes) {
    return InvalidField("payload", "at most 4000 bytes");
  }
  const auto steps = static_cast<std::int64_t>(spec.steps.size());
  if (!InRange(steps, 1, kMaxStepsPerJob)) {
    return InvalidField("steps", "1 to 100 steps");
  }
  std::int64_t tasks = 0;
  for (std::int64_t n = 0; n < steps; ++n) {
    const Step& step = spec.steps[static_cast<std::size_t>(n)];
    if (absl::Status s = ValidateStep(step, n); !s.ok()) return s;
    tasks += step.count;
  }
  if (tasks > kMaxTasksPerJob) {
    return InvalidField("steps", "at most 1000 tasks in total");
  }
  if (!InRange(spec.repeats, 0, kMaxRepeats)) {
    return InvalidField("repeats", "from 0 to 100000");
  }
  if (!InRange(spec.interval_ms, 0, kMaxAmount)) {
    return InvalidField("interval_ms", "from 0 to 2^40");
  }
  if (!InRange(spec.start_ms, 0, kMaxUnixMs)) {
    return InvalidField("start_ms", "from 0 to the end of the year 9999");
  }
  return absl::OkStatus();
}

std::string_view ToString(JobState state) {
  for (const auto& [value, text] : kJobStateNames) {
    if (value == state) return text;
  }
  return "pending";
}

std::optional<JobState> ParseJobState(std::string_view text) {
  for (const auto& [value, name] : kJobStateNames) {
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
  TaskName name;
  std::size_t end = text.find('.');
  name.job = text.substr(0, end);
  for (std::int64_t* field : {&name.occurrence, &name.step, &name.index}) {
    if (end == std::string_view::npos) return std::nullopt;
    text.remove_prefix(end + 1);
    end = text.find('.');
    const auto value = ParseInteger<std::int64_t>(text.substr(0, end));
    if (!value.has_value()) return std::nullopt;
    *field = *value;
  }
  if (end != std::string_view::npos) return std::nullopt;
  return name;
}

nlohmann::json ToJson(const JobRecord& record) {
  nlohmann::json json = {{"queue", record.queue},
                         {"pool", record.pool},
                         {"team", record.team},
                         {"accepted_ms", record.accepted_ms},
                         {"max_attempts", record.max_attempts},
                         {"payload", record.spec.payload}};
  for (const Step& step : record.spec.steps) {
    json["steps"].push_back(ToJson(step));
  }
  if (record.spec.repeats > 0) {
    json["repeats"] = record.spec.repeats;
    json["start_ms"] = record.spec.start_ms;
    json["interval_ms"] = record.spec.interval_ms;
  }
  return json;
}

absl::StatusOr<JobSpec> ParseJobSpec(const nlohmann::json& json) {
  Fields fields(json, "");
  JobSpec spec = ParseSpecFields(fields);
  fields.RejectUnknown(
      {"payload", "steps", "repeats", "start_ms", "interval_ms"});
  const nlohmann::json& steps = fields.List("steps");
  for (std::size_t n = 0; n < steps.size(); ++n) {
    fields.UpdateStatus(RejectUnknownStepFields(steps[n], StepPath(n)));
  }
  if (!fields.status().ok()) return fields.status();
  if (absl::Status s = Validate(spec); !s.ok()) return s;
  return spec;
}

absl::StatusOr<JobRecord> ParseJobRecord(std::string_view id,
                                         const nlohmann::json& json) {
  Fields fields(json, "");
  JobRecord record{.id = std::string(id),
                   .queue = fields.Text("queue"),
                   .pool = fields.Text("pool"),
                   .team = fields.Text("team"),
                   .accepted_ms = fields.Bounded("accepted_ms", 0, kMaxUnixMs),
                   .max_attempts = fields.Integer("max_attempts", 1),
                   .spec = ParseSpecFields(fields)};
  absl::Status status = fields.status();
  status.Update(Validate(record.spec));
  if (status.ok()) return record;
  return absl::InvalidArgumentError(
      StrCat("job row ", id, ": ", std::string(status.message())));
}

}  // namespace hyssopbarrow::fleet
