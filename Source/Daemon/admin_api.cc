#include "Daemon/admin_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

#include "Daemon/status_api.h"
#include "Http/json_response.h"
#include "Model/json.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr std::string_view kAdminPrefix = "/admin/v1/";
constexpr std::string_view kStatusPath = "status";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr Duration kWriteTimeout = std::chrono::seconds(5);
constexpr Duration kReadTimeout = std::chrono::seconds(2);

bool IsConfigKind(std::string_view kind) {
  return kind == "team" || kind == "pool" || kind == "host" ||
         kind == "queue" || kind == "key";
}

bool GrantsVerb(const Key& key, std::string_view verb) {
  if (key.withdrawn || key.role != KeyRole::kOperator) return false;
  return std::any_of(key.verbs.begin(), key.verbs.end(),
                     [&](const std::string& granted) {
                       return granted == "*" || granted == verb;
                     });
}

/// Returns the verb that a key needs for the request, for example `read` or
/// `write-team`.
std::string RequiredVerb(const HttpRequest& request, std::string_view kind) {
  if (request.method == "GET") return "read";
  return StrCat("write-", kind);
}

bool IsAllowed(const Snapshot& snapshot, const HttpRequest& request,
               std::string_view verb) {
  const std::string text =
      FindHeader(request.headers, "authorization").value_or("");
  std::string_view secret = text;
  if (!ConsumePrefix(secret, kBearerPrefix)) return false;
  const std::string* name =
      Find(snapshot.key_name_by_digest, Sha256Hex(secret));
  const Key* key = name == nullptr ? nullptr : Find(snapshot.keys, *name);
  return key != nullptr && GrantsVerb(*key, verb);
}

int StatusOf(const absl::Status& status) {
  switch (status.code()) {
    case absl::StatusCode::kOk:
      return 200;
    case absl::StatusCode::kInvalidArgument:
      return 400;
    case absl::StatusCode::kNotFound:
      return 404;
    case absl::StatusCode::kAborted:
      return 409;
    case absl::StatusCode::kUnknown:
      return 504;
    default:
      return 503;
  }
}

nlohmann::json RowJson(const Row& row, std::string_view kind) {
  const std::string prefix = StrCat(kConfigPrefix, kind, "/");
  return {{"kind", kind},
          {"name", row.key.substr(prefix.size())},
          {"revision", row.revision},
          {"value", row.value}};
}

HttpResponse ChangeResponse(const ConfigChangeResult& result) {
  if (result.status.ok()) {
    return JsonResponse(200, {{"snapshot_revision", result.revision}});
  }
  nlohmann::json body = {{"error", std::string(result.status.message())}};
  for (const ConfigConflict& conflict : result.conflicts) {
    body["conflicts"].push_back(
        {{"present", RowJson(conflict.current_row, conflict.change.kind)},
         {"wanted", conflict.change.value}});
  }
  return JsonResponse(StatusOf(result.status), body);
}

absl::Status InvalidField(std::string_view field, std::string_view expected) {
  return absl::InvalidArgumentError(
      StrCat("field '", field, "' must be ", expected));
}

absl::StatusOr<ConfigChange> ParseChange(const nlohmann::json& json) {
  if (!json.is_object()) return InvalidField("changes", "a list of objects");
  ConfigChange change;
  if (!json.contains("kind") || !json["kind"].is_string() ||
      !IsConfigKind(json["kind"].get<std::string>())) {
    return InvalidField("kind", "team, pool, host, queue or key");
  }
  change.kind = json["kind"];
  if (!json.contains("name") || !json["name"].is_string()) {
    return InvalidField("name", "a string");
  }
  change.name = json["name"];
  change.value = json.value("value", nlohmann::json());
  if (!change.value.is_null() && !change.value.is_object()) {
    return InvalidField("value", "an object, or null to delete the row");
  }
  if (!json.contains("revision")) return change;
  if (!json["revision"].is_number_unsigned()) {
    return InvalidField("revision", "a non-negative integer");
  }
  change.expected_revision = json["revision"].get<std::int64_t>();
  return change;
}

absl::StatusOr<std::vector<ConfigChange>> ParseBatch(const std::string& body) {
  const auto json = ParseJson(body);
  if (!json.is_object() || !json.contains("changes") ||
      !json["changes"].is_array() || json["changes"].empty()) {
    return InvalidField("changes", "a non-empty list");
  }
  std::vector<ConfigChange> changes;
  std::set<std::pair<std::string, std::string>> seen;
  for (const nlohmann::json& entry : json["changes"]) {
    absl::StatusOr<ConfigChange> change = ParseChange(entry);
    if (!change.ok()) return change.status();
    if (!seen.emplace(change->kind, change->name).second) {
      return InvalidField("name", "unique among the changes of one kind");
    }
    changes.push_back(*std::move(change));
  }
  return changes;
}

HttpResponse ForbiddenResponse(std::string_view verb) {
  return ErrorResponse(
      403, StrCat("an operator key with the verb '", verb, "' is required"));
}

}  // namespace

void AdminApi::HandleRequest(const HttpRequest& request,
                             const Responder& responder) {
  std::string_view path = request.path;
  if (!ConsumePrefix(path, kAdminPrefix)) {
    return responder.Send(ErrorResponse(404, "no such resource"));
  }
  const auto& snapshot = node_.configuration.snapshot;
  if (!snapshot.has_value()) {
    return responder.Send(
        ErrorResponse(503, "no configuration has been loaded yet"));
  }
  if (path == "batch") return WriteBatch(request, *snapshot, responder);
  if (path == "report/burn") {
    if (IsAllowed(*snapshot, request, "read")) {
      return responder.Send(BurnResponse(telemetry_));
    }
    return responder.Send(ForbiddenResponse("read"));
  }
  if (path == kStatusPath) return ReadStatus(request, *snapshot, responder);
  const std::vector<std::string> parts = Split(path, '/');
  if (!IsConfigKind(parts[0]) || parts.size() > 2) {
    return responder.Send(
        ErrorResponse(404, "kind must be team, pool, host, queue or key"));
  }
  const std::string verb = RequiredVerb(request, parts[0]);
  if (!IsAllowed(*snapshot, request, verb)) {
    return responder.Send(ForbiddenResponse(verb));
  }
  const std::string name = parts.size() == 2 ? parts[1] : "";
  if (request.method == "GET") return ReadRows(parts[0], name, responder);
  if (name.empty()) {
    return responder.Send(
        ErrorResponse(405, "a change must name a row: /admin/v1/KIND/NAME"));
  }
  WriteRow(request, parts[0], name, responder);
}

void AdminApi::ReadStatus(const HttpRequest& request, const Snapshot& snapshot,
                          const Responder& responder) {
  if (request.method != "GET") {
    return responder.Send(ErrorResponse(405, "use GET"));
  }
  if (!IsAllowed(snapshot, request, "read")) {
    return responder.Send(ForbiddenResponse("read"));
  }
  nlohmann::json body = StatusJson(node_, loop_.Now());
  if (link_status_) body["links"] = link_status_();
  responder.Send(JsonResponse(200, body));
}

void AdminApi::ReadRows(const std::string& kind, const std::string& name,
                        const Responder& responder) {
  const std::string prefix = StrCat(kConfigPrefix, kind, "/", name);
  table_.Read(
      prefix, loop_.Now() + kReadTimeout,
      [kind, name, prefix, responder](const StoreReply& reply) {
        if (reply.status != StoreStatus::kOk) {
          return responder.Send(ErrorResponse(503, "the table cannot be read"));
        }
        nlohmann::json rows = nlohmann::json::array();
        for (const Row& row : reply.rows) {
          if (name.empty() || row.key == prefix) {
            rows.push_back(RowJson(row, kind));
          }
        }
        if (name.empty()) {
          return responder.Send(JsonResponse(200, {{"rows", rows}}));
        }
        if (!rows.empty()) return responder.Send(JsonResponse(200, rows[0]));
        responder.Send(
            ErrorResponse(404, StrCat(kind, " '", name, "' does not exist")));
      });
}

void AdminApi::WriteRow(const HttpRequest& request, const std::string& kind,
                        const std::string& name, const Responder& responder) {
  ConfigChange change{.kind = kind, .name = name, .value = nullptr};
  if (request.method == "PUT") {
    change.value = ParseJson(request.body);
    if (!change.value.is_object()) {
      return responder.Send(
          ErrorResponse(400, "the body must be a JSON object"));
    }
  } else if (request.method != "DELETE") {
    return responder.Send(ErrorResponse(405, "use GET, PUT or DELETE"));
  }
  if (const auto text = FindHeader(request.headers, "if-match")) {
    const auto n = ParseInteger<std::int64_t>(*text);
    if (!n.has_value() || *n < 0) {
      return responder.Send(
          ErrorResponse(400, "header 'if-match' must be a revision"));
    }
    change.expected_revision = *n;
  }
  ApplyChanges({std::move(change)}, ParseWait(request.query), responder);
}

void AdminApi::WriteBatch(const HttpRequest& request, const Snapshot& snapshot,
                          const Responder& responder) {
  if (request.method != "POST") {
    return responder.Send(ErrorResponse(405, "use POST"));
  }
  absl::StatusOr<std::vector<ConfigChange>> changes = ParseBatch(request.body);
  if (!changes.ok()) {
    const std::string text(changes.status().message());
    return responder.Send(ErrorResponse(400, text));
  }
  for (const ConfigChange& change : *changes) {
    const std::string verb = RequiredVerb(request, change.kind);
    if (!IsAllowed(snapshot, request, verb)) {
      return responder.Send(ForbiddenResponse(verb));
    }
  }
  ApplyChanges(*std::move(changes), ParseWait(request.query), responder);
}

void AdminApi::ApplyChanges(std::vector<ConfigChange> changes, Duration wait,
                            const Responder& responder) {
  const ConfigBatch batch{
      .changes = std::move(changes),
      .write_id = StrCat(write_prefix_, "-", next_write_++)};
  store_.Apply(batch, loop_.Now() + kWriteTimeout,
               [this, responder, wait](const ConfigChangeResult& result) {
                 if (!result.status.ok()) {
                   return responder.Send(ChangeResponse(result));
                 }
                 AwaitRollout(loop_, node_, result.revision, loop_.Now() + wait,
                              [responder, result](nlohmann::json rollout) {
                                rollout["snapshot_revision"] = result.revision;
                                responder.Send(JsonResponse(200, rollout));
                              });
               });
}

}  // namespace hyssopbarrow
