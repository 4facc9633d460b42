#include "Control/context.h"

#include "Control/format.h"
#include "Model/json.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

nlohmann::json ParseValue(const std::string& text) {
  auto json = ParseJson(text);
  return json.is_discarded() ? nlohmann::json(text) : json;
}

}  // namespace

ExitCode PrintUsageError(const CommandContext& context, std::string_view text) {
  context.err << "hyssopbarrowctl: " << text << "\n";
  return ExitCode::kUsage;
}

ExitCode PrintError(const CommandContext& context, const AdminReply& reply) {
  context.err << "hyssopbarrowctl: " << reply.body.value("error", "failed")
              << "\n";
  if (reply.body.contains("conflicts")) {
    context.err << reply.body["conflicts"].dump(2) << "\n";
  }
  return reply.code;
}

std::vector<nlohmann::json> RowsOf(const AdminReply& reply) {
  return reply.body.value("rows", std::vector<nlohmann::json>{});
}

ExitCode PrintRows(const CommandContext& context,
                   const std::vector<nlohmann::json>& rows) {
  switch (context.options.output) {
    case OutputFormat::kTable:
      context.out << FormatRows(rows);
      break;
    case OutputFormat::kJson:
      context.out << nlohmann::json(rows).dump(2) << "\n";
      break;
    case OutputFormat::kNames:
      for (const auto& row : rows) {
        context.out << FormatValue(row["name"]) << "\n";
      }
      break;
  }
  return ExitCode::kOk;
}

absl::StatusOr<nlohmann::json> ParseFields(
    const std::vector<std::string>& arguments, std::size_t first) {
  nlohmann::json fields = nlohmann::json::object();
  for (std::size_t n = first; n < arguments.size(); ++n) {
    const std::size_t equals = arguments[n].find('=');
    if (equals == std::string::npos) {
      return absl::InvalidArgumentError(
          StrCat("'", arguments[n], "' must be FIELD=VALUE"));
    }
    const std::string field = arguments[n].substr(0, equals);
    fields[field] = ParseValue(arguments[n].substr(equals + 1));
  }
  return fields;
}

}  // namespace hyssopbarrow
