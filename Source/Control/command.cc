#include "Control/command.h"

#include <openssl/rand.h>

#include <array>
#include <chrono>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "Control/apply_command.h"
#include "Control/completion.h"
#include "Control/job_command.h"
#include "Model/snapshot.h"
#include "Model/text.h"
#include "Report/burn.h"
#include "absl/strings/escaping.h"

namespace hyssopbarrow {
namespace {

using Arguments = std::vector<std::string>;

constexpr std::size_t kSecretBytes = 24;

/// A command with its usage text and implementation.
struct Command {
  std::string_view name;
  std::string_view parameters;
  std::string_view help;
  std::size_t min_arguments;  ///< Not counting the command's name.
  std::size_t max_arguments;
  ExitCode (*run)(const CommandContext&, const Arguments&);
};

ExitCode PrintChangeReply(const CommandContext& context,
                          const AdminReply& reply) {
  if (reply.code != ExitCode::kOk) return PrintError(context, reply);
  if (context.options.output == OutputFormat::kJson) {
    context.out << reply.body.dump(2) << "\n";
  } else {
    context.out << "accepted in snapshot " << reply.body["snapshot_revision"]
                << "\n";
  }
  return ExitCode::kOk;
}

ExitCode List(const CommandContext& context, const Arguments& arguments) {
  const AdminReply reply = context.client.List(arguments[0]);
  if (reply.code != ExitCode::kOk) return PrintError(context, reply);
  return PrintRows(context, RowsOf(reply));
}

ExitCode Show(const CommandContext& context, const Arguments& arguments) {
  const std::string path = StrCat(arguments[0], "/", arguments[1]);
  const AdminReply reply = context.client.Send({.method = "GET", .path = path});
  if (reply.code != ExitCode::kOk) return PrintError(context, reply);
  return PrintRows(context, {reply.body});
}

/// Merges `fields` into a row. Creates a missing row only if `may_create`.
ExitCode UpdateRow(const CommandContext& context, const std::string& kind,
                   const std::string& name, const nlohmann::json& fields,
                   bool may_create) {
  const std::string path = StrCat(kind, "/", name);
  const AdminReply present =
      context.client.Send({.method = "GET", .path = path});
  const bool absent = present.code == ExitCode::kNotFound;
  if (present.code != ExitCode::kOk && !(absent && may_create)) {
    return PrintError(context, present);
  }
  nlohmann::json value = nlohmann::json::object();
  if (!absent) value = present.body["value"];
  value.update(fields);
  const std::int64_t revision =
      absent ? 0 : present.body["revision"].get<std::int64_t>();
  return PrintChangeReply(
      context, context.client.Send(
                   {.method = "PUT",
                    .path = path,
                    .body = value,
                    .if_match = context.options.if_match.value_or(revision)}));
}

ExitCode Set(const CommandContext& context, const Arguments& arguments) {
  const absl::StatusOr<nlohmann::json> fields = ParseFields(arguments, 2);
  if (!fields.ok()) {
    return PrintUsageError(context, std::string(fields.status().message()));
  }
  return UpdateRow(context, arguments[0], arguments[1], *fields, true);
}

ExitCode Delete(const CommandContext& context, const Arguments& arguments) {
  const std::string path = StrCat(arguments[0], "/", arguments[1]);
  return PrintChangeReply(
      context, context.client.Send({.method = "DELETE",
                                    .path = path,
                                    .if_match = context.options.if_match}));
}

std::string GenerateSecret() {
  std::array<unsigned char, kSecretBytes> buf{};
  if (RAND_bytes(buf.data(), buf.size()) != 1) return "";
  return absl::BytesToHexString(
      {reinterpret_cast<const char*>(buf.data()), buf.size()});
}

ExitCode Grant(const CommandContext& context, const Arguments& arguments) {
  const std::string secret = GenerateSecret();
  if (secret.empty()) {
    return PrintUsageError(context,
                           "no random bytes are available for the secret");
  }
  const nlohmann::json value = {{"digest", Sha256Hex(secret)},
                                {"team", arguments[1]},
                                {"role", "caller"},
                                {"withdrawn", false}};
  const ExitCode code = PrintChangeReply(
      context, context.client.Send({.method = "PUT",
                                    .path = StrCat("key/", arguments[0]),
                                    .body = value,
                                    .if_match = 0}));
  if (code == ExitCode::kOk) context.out << "secret: " << secret << "\n";
  return code;
}

ExitCode Withdraw(const CommandContext& context, const Arguments& arguments) {
  return UpdateRow(context, "key", arguments[0], {{"withdrawn", true}}, false);
}

ExitCode Move(const CommandContext& context, const Arguments& arguments) {
  return UpdateRow(context, "host", arguments[0], {{"pool", arguments[1]}},
                   false);
}

/// Appends the differences between the daemon's rows and `table`.
ExitCode Compare(const CommandContext& context, const WantedTable& table,
                 std::vector<RowDifference>& differences) {
  for (const auto& [kind, rows] : table) {
    const AdminReply reply = context.client.List(kind);
    if (reply.code != ExitCode::kOk) return PrintError(context, reply);
    for (RowDifference& row :
         CompareRows(kind, RowsOf(reply), rows, context.options.prune)) {
      differences.push_back(std::move(row));
    }
  }
  return ExitCode::kOk;
}

ExitCode Apply(const CommandContext& context, const Arguments& arguments) {
  std::ifstream in(arguments[0]);
  if (!in) {
    return PrintUsageError(context, StrCat(arguments[0], ": cannot be read"));
  }
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  absl::StatusOr<WantedTable> table = ParseWantedTable(text, arguments[0]);
  if (!table.ok()) {
    return PrintUsageError(context, std::string(table.status().message()));
  }
  std::vector<RowDifference> differences;
  const ExitCode code = Compare(context, *table, differences);
  if (code != ExitCode::kOk) return code;
  context.out << FormatDifferences(differences);
  if (differences.empty()) context.out << "nothing differs\n";
  if (differences.empty() || context.options.dry_run) return ExitCode::kOk;
  return PrintChangeReply(
      context,
      context.client.Send(
          {.method = "POST", .path = "batch", .body = ToBatch(differences)}));
}

ExitCode Report(const CommandContext& context, const Arguments& arguments) {
  if (arguments[0] != "burn") {
    return PrintUsageError(context, "unknown report; expected burn");
  }
  const AdminReply reply =
      context.client.Send({.method = "GET", .path = "report/burn"});
  if (reply.code != ExitCode::kOk) return PrintError(context, reply);
  absl::StatusOr<BurnTable> table = ParseBurnTable(reply.body);
  if (!table.ok()) {
    return PrintUsageError(context, std::string(table.status().message()));
  }
  if (context.options.output == OutputFormat::kJson) {
    context.out << reply.body.dump(2) << "\n";
  } else {
    context.out << FormatBurnText(*table,
                                  MinuteOf(std::chrono::system_clock::now()));
  }
  if (context.options.html.empty()) return ExitCode::kOk;
  std::ofstream page(context.options.html);
  page << FormatBurnPage(*table, MinuteOf(std::chrono::system_clock::now()));
  if (page.good()) return ExitCode::kOk;
  return PrintUsageError(context,
                         StrCat(context.options.html, ": cannot be written"));
}

ExitCode Completion(const CommandContext& context, const Arguments& arguments) {
  if (arguments[0] != "bash") {
    return PrintUsageError(context, "unknown shell; expected bash");
  }
  context.out << BashCompletion();
  return ExitCode::kOk;
}

constexpr std::size_t kMaxFields = 64;

constexpr std::array kCommands = {
    Command{"submit", "QUEUE [FIELD=VALUE...]",
            "submit a job of one step, or the job in --spec, and print its id",
            1, kMaxFields, SubmitJob},
    Command{"status", "QUEUE JOB", "print the state of a job", 2, 2, ShowJob},
    Command{"wait", "QUEUE JOB", "wait until a job has ended", 2, 2,
            WaitForJob},
    Command{"cancel", "QUEUE JOB", "cancel a job", 2, 2, CancelJob},
    Command{"fleet", "jobs|targets|owners|relays|waves|evacuations|run-times",
            "print rows from the fleet's owner", 1, 1, ShowFleet},
    Command{"list", "KIND", "print all rows of a kind", 1, 1, List},
    Command{"show", "KIND NAME", "print one row", 2, 2, Show},
    Command{"set", "KIND NAME FIELD=VALUE...", "create or change a row", 3,
            kMaxFields, Set},
    Command{"delete", "KIND NAME", "delete a row", 2, 2, Delete},
    Command{"grant", "NAME TEAM", "create a key and print its secret once", 2,
            2, Grant},
    Command{"withdraw", "NAME", "withdraw a key", 1, 1, Withdraw},
    Command{"move", "HOST POOL", "move a host to another pool", 2, 2, Move},
    Command{"apply", "FILE", "change the table to match a YAML file", 1, 1,
            Apply},
    Command{"report", "burn", "show how fast the error budgets burn", 1, 1,
            Report},
    Command{"completion", "bash", "print a completion script", 1, 1,
            Completion}};

}  // namespace

std::string UsageText() {
  std::string text = "reads and changes the operators' table\n\n";
  for (const Command& command : kCommands) {
    StrAppend(text, "  ", command.name, " ", command.parameters, "\n      ",
              command.help, "\n");
  }
  StrAppend(text,
            "\nKIND is team, pool, host, queue or key.\n"
            "The operator key is read from the file given by --key_file, or "
            "from the variable HYSSOPBARROW_KEY; the key for jobs from "
            "--caller_key_file or HYSSOPBARROW_CALLER_KEY.\n"
            "A job's fields are payload, repeats, start_ms, interval_ms and "
            "those of a step, such as count, cpu_milli and estimate_ms.\n"
            "Exit codes: 0 done, 1 failed, 2 invalid usage or value, 3 "
            "unreachable, 4 conflict, 5 not found, 6 forbidden, 7 unknown "
            "whether the change comes into force.\n");
  return text;
}

ExitCode RunCommand(const CommandContext& context,
                    const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    return PrintUsageError(context, "missing command; see --help");
  }
  const Arguments rest(arguments.begin() + 1, arguments.end());
  for (const Command& command : kCommands) {
    if (command.name != arguments[0]) continue;
    if (rest.size() < command.min_arguments ||
        rest.size() > command.max_arguments) {
      return PrintUsageError(
          context, StrCat("usage: ", command.name, " ", command.parameters));
    }
    return command.run(context, rest);
  }
  return PrintUsageError(
      context, StrCat("'", arguments[0], "' is not a command; see --help"));
}

}  // namespace hyssopbarrow
