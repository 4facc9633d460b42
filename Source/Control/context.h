#ifndef HYSSOPBARROW_CONTROL_CONTEXT_H_
#define HYSSOPBARROW_CONTROL_CONTEXT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "Control/admin_client.h"
#include "absl/status/statusor.h"

namespace hyssopbarrow {

/// How results are printed.
enum class OutputFormat { kTable, kJson, kNames };

/// Options that change what a command does.
struct CommandOptions {
  OutputFormat output = OutputFormat::kTable;
  std::optional<std::int64_t> if_match;
  bool dry_run = false;  ///< `apply` shows the difference and changes nothing.
  std::string html;      ///< `report`: file to write the page to.
  bool prune = false;    ///< `apply` deletes rows that the file does not name.
  std::string job;       ///< `submit`: id of the job; made up if empty.
  std::string spec;      ///< `submit`: JSON file with the job.
  Duration wait_limit = std::chrono::minutes(10);  ///< Of `wait`.
};

/// What every command needs.
struct CommandContext {
  AdminClient& client;  ///< Of the operators' interface.
  AdminClient& jobs;    ///< Of the interface for jobs, with a caller's key.
  AdminClient& fleet;   ///< Of the interface between entry hosts.
  CommandOptions options;
  std::ostream& out;
  std::ostream& err;
};

/// Prints the error of a reply; returns its exit code.
ExitCode Complain(const CommandContext& context, const AdminReply& reply);

/// Says that the command line or a file is wrong.
ExitCode Usage(const CommandContext& context, std::string_view text);

/// Prints rows as the operators' interface gives them.
ExitCode PrintRows(const CommandContext& context,
                   const std::vector<nlohmann::json>& rows);

/// The rows in the body of a reply.
std::vector<nlohmann::json> RowsOf(const AdminReply& reply);

/// Reads FIELD=VALUE from `arguments`, from number `first` on. A value is JSON
/// where it parses as such, and text otherwise.
/// Errors: kInvalidArgument naming the argument.
absl::StatusOr<nlohmann::json> ParseFields(
    const std::vector<std::string>& arguments, std::size_t first);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_CONTROL_CONTEXT_H_
