#include "Control/job_command.h"

#include <array>
#include <cstdint>
#include <fstream>
#include <random>
#include <utility>

#include "Model/text.h"
#include "absl/strings/str_format.h"

namespace hyssopbarrow {
namespace {

using Arguments = std::vector<std::string>;

constexpr Duration kPollGap = std::chrono::milliseconds(200);

/// Fields of a job that are not of its steps.
constexpr std::array<const char*, 4> kJobFields = {"payload", "repeats",
                                                   "start_ms", "interval_ms"};

std::string NewJobId() {
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

/// A job of one step; the fields that are not the job's are the step's.
nlohmann::json OneStepJob(nlohmann::json fields) {
  nlohmann::json job = nlohmann::json::object();
  for (const char* it : kJobFields) {
    if (!fields.contains(it)) continue;
    job[it] = fields[it];
    fields.erase(it);
  }
  job["steps"] = nlohmann::json::array({std::move(fields)});
  return job;
}

absl::StatusOr<nlohmann::json> ReadJob(const CommandOptions& options,
                                       const Arguments& arguments) {
  absl::StatusOr<nlohmann::json> fields = ParseFields(arguments, 1);
  if (!fields.ok()) return fields.status();
  if (options.spec.empty()) return OneStepJob(*std::move(fields));
  if (!fields->empty()) {
    return absl::InvalidArgumentError("--spec and FIELD=VALUE exclude another");
  }
  std::ifstream in(options.spec);
  auto json = nlohmann::json::parse(in, nullptr, false);
  if (!json.is_discarded()) return json;
  return absl::InvalidArgumentError(
      StrCat(options.spec, ": cannot be read as JSON"));
}

/// Sends a request on one job and prints the state in the reply.
ExitCode PrintState(const CommandContext& context, const std::string& method,
                    const Arguments& arguments) {
  const AdminReply reply = context.jobs.Send(
      {.method = method, .path = JobPath(arguments[0], arguments[1])});
  if (reply.code != ExitCode::kOk) return Complain(context, reply);
  context.out << StateOf(reply) << "\n";
  return ExitCode::kOk;
}

}  // namespace

ExitCode SubmitJob(const CommandContext& context, const Arguments& arguments) {
  const absl::StatusOr<nlohmann::json> job =
      ReadJob(context.options, arguments);
  if (!job.ok()) return Usage(context, std::string(job.status().message()));
  const std::string id =
      context.options.job.empty() ? NewJobId() : context.options.job;
  const AdminReply reply = context.jobs.Send(
      {.method = "POST", .path = JobPath(arguments[0], id), .body = *job});
  if (reply.code == ExitCode::kUnknown) {
    context.err << "job " << id
                << " may be stored; submit it again with --job=" << id << "\n";
  }
  if (reply.code != ExitCode::kOk) return Complain(context, reply);
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
  const auto waits = [&reply] {
    if (reply.code == ExitCode::kUnreachable) return true;
    const std::string state = StateOf(reply);
    return reply.code == ExitCode::kOk &&
           (state == "pending" || state == "running");
  };
  while (waits() && SteadyNow() < end) {
    context.jobs.Wait(kPollGap);
    reply = context.jobs.Send(request);
  }
  if (reply.code != ExitCode::kOk) return Complain(context, reply);
  context.out << StateOf(reply) << "\n";
  return StateOf(reply) == "completed" ? ExitCode::kOk : ExitCode::kFailed;
}

ExitCode CancelJob(const CommandContext& context, const Arguments& arguments) {
  return PrintState(context, "DELETE", arguments);
}

ExitCode ShowFleet(const CommandContext& context, const Arguments& arguments) {
  const AdminReply reply = context.fleet.List(arguments[0]);
  if (reply.code != ExitCode::kOk) return Complain(context, reply);
  const ExitCode code = PrintRows(context, RowsOf(reply));
  const auto more = reply.body.value("more", std::int64_t{0});
  if (more > 0) context.err << more << " more are not shown\n";
  return code;
}

}  // namespace hyssopbarrow
