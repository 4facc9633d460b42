#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "Control/admin_client.h"
#include "Control/command.h"

DEFINE_string(daemon, "127.0.0.1:8081",
              "IP:port of an entry host's operator interface");
DEFINE_string(key_file, "",
              "file with the operator key in its first line; by default the "
              "variable HYSSOPBARROW_KEY is read");
DEFINE_string(jobs, "127.0.0.1:8082",
              "IP:port of an entry host's interface for jobs");
DEFINE_string(fleet, "127.0.0.1:8083",
              "IP:port where an entry host answers the other entry hosts");
DEFINE_string(caller_key_file, "",
              "file with the caller's key in its first line; by default the "
              "variable HYSSOPBARROW_CALLER_KEY is read");
DEFINE_string(job, "",
              "submit: id of the job, 16 hexadecimal digits; by default one is "
              "made up");
DEFINE_string(spec, "", "submit: JSON file with the job");
DEFINE_int64(wait_s, 600, "wait: give up after so many seconds");
DEFINE_int64(if_match, -1,
             "change a row only if it has this revision; 0 requires that it "
             "is absent");
DEFINE_string(output, "table", "table, json or names");
DEFINE_bool(dry_run, false, "apply: show the difference and change nothing");
DEFINE_string(html, "", "report: write a page with plots to this file");
DEFINE_bool(prune, false,
            "apply: delete rows of the file's kinds that it does not name");

namespace hyssopbarrow {
namespace {

int Complain(const std::string& text) {
  std::cerr << "hyssopbarrowctl: " << text << "\n";
  return static_cast<int>(ExitCode::kUsage);
}

std::string ReadKey(const std::string& file, const char* variable) {
  std::string key;
  if (!file.empty()) {
    std::ifstream in(file);
    std::getline(in, key);
    return key;
  }
  const char* text = std::getenv(variable);
  return text == nullptr ? "" : text;
}

absl::StatusOr<Address> ReadAddress(const std::string& flag,
                                    const std::string& text) {
  absl::StatusOr<Address> address = ParseAddress(text);
  if (address.ok()) return address;
  return absl::InvalidArgumentError(flag + ": " +
                                    std::string(address.status().message()));
}

std::optional<OutputFormat> ReadOutput() {
  if (FLAGS_output == "table") return OutputFormat::kTable;
  if (FLAGS_output == "json") return OutputFormat::kJson;
  if (FLAGS_output == "names") return OutputFormat::kNames;
  return std::nullopt;
}

int Main(const std::vector<std::string>& arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  const absl::StatusOr<Address> daemon = ReadAddress("--daemon", FLAGS_daemon);
  const absl::StatusOr<Address> jobs = ReadAddress("--jobs", FLAGS_jobs);
  const absl::StatusOr<Address> fleet = ReadAddress("--fleet", FLAGS_fleet);
  for (const auto* it : {&daemon, &jobs, &fleet}) {
    if (!it->ok()) return Complain(std::string(it->status().message()));
  }
  const std::optional<OutputFormat> output = ReadOutput();
  if (!output.has_value()) {
    return Complain("--output: expected table, json or names");
  }
  EventLoop loop;
  HttpClient http(loop, HttpClientLimits{});
  AdminClient client(loop, http, *daemon,
                     ReadKey(FLAGS_key_file, "HYSSOPBARROW_KEY"));
  AdminClient job_client(
      loop, http, *jobs,
      ReadKey(FLAGS_caller_key_file, "HYSSOPBARROW_CALLER_KEY"), kQueuesPath);
  AdminClient fleet_client(loop, http, *fleet, "", kFleetPath);
  const CommandOptions options{
      .output = *output,
      .if_match =
          FLAGS_if_match < 0 ? std::nullopt : std::optional(FLAGS_if_match),
      .dry_run = FLAGS_dry_run,
      .html = FLAGS_html,
      .prune = FLAGS_prune,
      .job = FLAGS_job,
      .spec = FLAGS_spec,
      .wait_limit = std::chrono::seconds(FLAGS_wait_s)};
  return static_cast<int>(RunCommand({.client = client,
                                      .jobs = job_client,
                                      .fleet = fleet_client,
                                      .options = options,
                                      .out = std::cout,
                                      .err = std::cerr},
                                     arguments));
}

}  // namespace
}  // namespace hyssopbarrow

int main(int argc, char** argv) {
  gflags::SetUsageMessage(hyssopbarrow::UsageText());
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hyssopbarrow::Main({argv + 1, argv + argc});
}
