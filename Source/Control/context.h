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

/// Options of the commands.
struct CommandOptions {
  OutputFormat output = OutputFormat::kTable;
  std::optional<std::int64_t> if_match;  ///< Expected revision of the row.
  bool dry_run = false;  ///< `apply`: print the differences, change nothing.
  std::string html;      ///< `report`: file to write the page to.
  bool prune = false;    ///< `apply`: delete rows missing in the file.
  std::string job;       ///< `submit`: id of the job; generated if empty.
  std::string spec;      ///< `submit`: JSON file with the job.
  Duration wait_limit = std::chrono::minutes(10);  ///< `wait`: timeout.
};

/// Clients, options and output streams of a command.
struct CommandContext {
  AdminClient& client;  ///< Operator interface.
  AdminClient& jobs;    ///< Job interface, with a caller's key.
  AdminClient& fleet;   ///< Interface between entry hosts.
  CommandOptions options;
  std::ostream& out;
  std::ostream& err;
};

/// Prints the error in a reply and returns its exit code.
ExitCode PrintError(const CommandContext& context, const AdminReply& reply);

/// Prints an error about the command line or a file and returns kUsage.
ExitCode PrintUsageError(const CommandContext& context, std::string_view text);

/// Prints rows of the operator interface in the chosen output format.
ExitCode PrintRows(const CommandContext& context,
                   const std::vector<nlohmann::json>& rows);

/// The rows in the body of a reply.
std::vector<nlohmann::json> RowsOf(const AdminReply& reply);

/// Parses FIELD=VALUE arguments, starting at index `first`. A value that is not
/// valid JSON is taken as a string.
/// Errors: kInvalidArgument naming the argument.
absl::StatusOr<nlohmann::json> ParseFields(
    const std::vector<std::string>& arguments, std::size_t first);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_CONTROL_CONTEXT_H_
