#include "Control/job_command.h"

#include <array>
#include <cstdint>
#include <fstream>
#include <random>
#include <sstream>
#include <utility>

#include "Model/json.h"
#include "Model/text.h"
#include "absl/strings/str_format.h"

namespace hyssopbarrow {
namespace {

using Arguments = std::vector<std::string>;

constexpr Duration kPollInterval = std::chrono::milliseconds(200);

/// Fields that belong to a job and not to its step.
constexpr std::array<const char*, 4> kJobFields = {"payload", "repeats",
                                                   "start_ms", "interval_ms"};

std::string GenerateJobId() {
  std::random_device device;
  const auto high = static_cast<std::uint64_t>(device());
  return absl::StrFormat("%016x", high << 32U | device());
}

std::string JobPath(const std::string& queue, const std::string& job) {
  return StrCat(queue, "/jobs/", job);
}

std::string StateOf(const AdminReply& reply) {
  return reply.body.value("state", std::string("unknown"));
}

/// Builds a job of one step. All fields outside kJobFields go to the step.
nlohmann::json MakeOneStepJob(nlohmann::json fields) {
  nlohmann::json job = nlohmann::json::object();
  for (const char* field : kJobFields) {
    if (!fields.contains(field)) continue;
    job[field] = fields[field];
    fields.erase(field);
  }
  job["steps"] = nlohmann::json::array({std::move(fields)});
  return job;
}

absl::StatusOr<nlohmann::json> ReadJob(const CommandOptions& options,
                                       const Arguments& arguments) {
  absl::StatusOr<nlohmann::json> fields = ParseFields(arguments, 1);
  if (!fields.ok()) return fields.status();
  if (options.spec.empty()) return MakeOneStepJob(*std::move(fields));
  if (!fields->empty()) {
    return absl::InvalidArgumentError(
        "--spec and FIELD=VALUE cannot be used together");
  }
  std::ifstream in(options.spec);
  std::ostringstream text;
  text << in.rdbuf();
  auto json = ParseJson(text.str());
  if (!json.is_discarded()) return json;
  return absl::InvalidArgumentError(
      StrCat(options.spec, ": not a readable JSON file"));
}

/// Sends a request about one job and prints the state in the reply.
ExitCode PrintState(const CommandContext& context, const std::string& method,
                    const Arguments& arguments) {
  const AdminReply reply = context.jobs.Send(
      {.method = method, .path = JobPath(arguments[0], arguments[1])});
  if (reply.code != ExitCode::kOk) return PrintError(context, reply);
  context.out << StateOf(reply) << "\n";
  return ExitCode::kOk;
}

}  // namespace

ExitCode SubmitJob(const CommandContext& context, const Arguments& arguments) {
  const absl::StatusOr<nlohmann::json> job =
      ReadJob(context.options, arguments);
  if (!job.ok()) {
    return PrintUsageError(context, std::string(job.status().message()));
  }
  const std::string id =
      context.options.job.empty() ? GenerateJobId() : context.options.job;
  const AdminReply reply = context.jobs.Send(
      {.method = "POST", .path = JobPath(arguments[0], id), .body = *job});
  if (reply.code == ExitCode::kUnknown) {
    context.err << "job " << id
                << " may be stored; submit it again with --job=" << id << "\n";
  }
  if (reply.code != ExitCode::kOk) return PrintError(context, reply);
  context.out << id << "\n";
  return ExitCode::kOk;
}

ExitCode ShowJob(const CommandContext& context, const Arguments& arguments) {
  return PrintState(context, "GET", arguments);
}

ExitCode WaitForJob(const CommandContext& context, const Arguments& arguments) {
  const Instant end = SteadyNow() + context.options.wait_limit;
  const AdminRequest request{.method = "GET",
                             .path = JobPath(arguments[0], arguments[1])};
  AdminReply reply = context.jobs.Send(request);
  const auto may_still_end = [&reply] {
    if (reply.code == ExitCode::kUnreachable) return true;
    const std::string state = StateOf(reply);
    return reply.code == ExitCode::kOk &&
           (state == "pending" || state == "running");
  };
  while (may_still_end() && SteadyNow() < end) {
    context.jobs.Wait(kPollInterval);
    reply = context.jobs.Send(request);
  }
  if (reply.code != ExitCode::kOk) return PrintError(context, reply);
  context.out << StateOf(reply) << "\n";
  return StateOf(reply) == "completed" ? ExitCode::kOk : ExitCode::kFailed;
}

ExitCode CancelJob(const CommandContext& context, const Arguments& arguments) {
  return PrintState(context, "DELETE", arguments);
}

ExitCode ShowFleet(const CommandContext& context, const Arguments& arguments) {
  const AdminReply reply = context.fleet.List(arguments[0]);
  if (reply.code != ExitCode::kOk) return PrintError(context, reply);
  const ExitCode code = PrintRows(context, RowsOf(reply));
  const auto more = reply.body.value("more", std::int64_t{0});
  if (more > 0) context.err << more << " more rows are not shown\n";
  return code;
}

}  // namespace hyssopbarrow
