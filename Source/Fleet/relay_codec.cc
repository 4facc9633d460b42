#include "Fleet/relay_codec.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string_view>

#include "Model/cbor.h"
#include "Model/text.h"

namespace hyssopbarrow::fleet {
namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::int64_t kNoPayload = -1;
/// Longest wait and timeout that a relay accepts.
constexpr std::int64_t kMaxDurationMs = 10'000;

/// Reads the fields of an encoded row in order and keeps the first error.
class RowReader {
 public:
  RowReader(const json& row, std::string name)
      : row_(row), name_(std::move(name)) {
    if (!row.is_array()) Fail("fields", "a list");
  }

  std::int64_t Integer(std::string_view field) {
    const json* value = Next();
    const bool valid = value != nullptr && value->is_number_integer();
    if (!valid) Fail(field, "an integer");
    return valid ? value->get<std::int64_t>() : 0;
  }

  /// An integer from 0 to `max`.
  std::int64_t Bounded(std::string_view field, std::int64_t max) {
    const std::int64_t value = Integer(field);
    const bool valid = value >= 0 && value <= max;
    if (!valid) Fail(field, StrCat("from 0 to ", max));
    return valid ? value : 0;
  }

  bool Flag(std::string_view field) {
    const json* value = Next();
    const bool valid = value != nullptr && value->is_boolean();
    if (!valid) Fail(field, "a boolean");
    return valid && value->get<bool>();
  }

  std::string Text(std::string_view field) {
    const json* value = Next();
    const bool valid = value != nullptr && value->is_string();
    if (!valid) Fail(field, "a string");
    return valid ? value->get<std::string>() : std::string();
  }

  /// A task name; the empty string stands for none.
  TaskName Task(std::string_view field) {
    const std::string text = Text(field);
    if (text.empty()) return {};
    const std::optional<TaskName> name = ParseTaskName(text);
    if (!name.has_value()) Fail(field, "a task name");
    return name.value_or(TaskName{});
  }

  const json& List(std::string_view field) {
    static const json kEmpty = json::array();
    const json* value = Next();
    const bool valid = value != nullptr && value->is_array();
    if (!valid) Fail(field, "a list");
    return valid ? *value : kEmpty;
  }

  void Fail(std::string_view field, std::string_view expected) {
    status_.Update(absl::InvalidArgumentError(
        StrCat(name_, ": field \"", field, "\" must be ", expected)));
  }

  const absl::Status& status() const { return status_; }

 private:
  const json* Next() {
    const bool present = row_.is_array() && next_ < row_.size();
    return present ? &row_[next_++] : nullptr;
  }

  const json& row_;
  std::string name_;
  std::size_t next_ = 0;
  absl::Status status_;
};

std::int64_t ToMs(Duration duration) {
  return duration_cast<milliseconds>(duration).count();
}

std::string EncodeTask(const TaskName& task) {
  return task.job.empty() ? std::string() : ToString(task);
}

absl::StatusOr<json> FromBytes(const std::string& bytes) {
  json message = ParseCbor(bytes);
  if (!message.is_array()) {
    return absl::InvalidArgumentError("relay message: not a list in CBOR");
  }
  return message;
}

json EncodeRequest(const TargetRequest& request, std::int64_t payload) {
  return {request.id,
          static_cast<std::int64_t>(request.kind),
          request.target,
          request.address,
          request.fencing_token,
          request.lease_until_ms.has_value() ? json(*request.lease_until_ms)
                                             : json(),
          EncodeTask(request.task),
          request.run,
          payload,
          request.checkpoint,
          request.ticket,
          request.last_end_stored,
          ToMs(request.wait),
          request.speed_percent,
          ToMs(request.timeout),
          request.fresh_connection};
}

TargetRequest DecodeRequest(json row, const json& payloads,
                            const std::string& name, absl::Status& status) {
  TargetRequest request;
  // A null lease is replaced, because the reader expects integers.
  constexpr std::size_t kLeaseField = 5;
  const bool has_lease =
      row.is_array() && row.size() > kLeaseField && !row[kLeaseField].is_null();
  if (row.is_array() && row.size() > kLeaseField && !has_lease) {
    row[kLeaseField] = 0;
  }
  RowReader reader(row, name);
  request.id = reader.Integer("id");
  request.kind = static_cast<TargetRequestKind>(reader.Bounded(
      "kind", static_cast<std::int64_t>(TargetRequestKind::kThrottle)));
  request.target = reader.Text("target");
  request.address = reader.Text("address");
  request.fencing_token = reader.Integer("fencing_token");
  const std::int64_t lease_until_ms = reader.Integer("lease_until_ms");
  if (has_lease) request.lease_until_ms = lease_until_ms;
  request.task = reader.Task("task");
  request.run = reader.Integer("run");
  const std::int64_t payload = reader.Integer("payload");
  if (payload >= 0 && payload < static_cast<std::int64_t>(payloads.size()) &&
      payloads[static_cast<std::size_t>(payload)].is_string()) {
    request.payload =
        payloads[static_cast<std::size_t>(payload)].get<std::string>();
  } else if (payload != kNoPayload) {
    reader.Fail("payload", "the index of a string in the list of payloads");
  }
  request.checkpoint = reader.Text("checkpoint");
  request.ticket = reader.Text("ticket");
  request.last_end_stored = reader.Integer("last_end_stored");
  request.wait = milliseconds(reader.Bounded("wait_ms", kMaxDurationMs));
  request.speed_percent = reader.Integer("speed_percent");
  request.timeout = milliseconds(reader.Bounded("timeout_ms", kMaxDurationMs));
  request.fresh_connection = reader.Flag("fresh_connection");
  status.Update(reader.status());
  return request;
}

json EncodeReply(std::int64_t id, const TargetReply& reply) {
  json runs = json::array();
  for (const ReportedRun& run : reply.runs) {
    runs.push_back({EncodeTask(run.task), run.run, run.checkpoint,
                    run.speed_percent, run.load});
  }
  json ends = json::array();
  for (const RunEnd& end : reply.ends) {
    ends.push_back({end.number, EncodeTask(end.task), end.run,
                    static_cast<std::int64_t>(end.kind), end.checkpoint});
  }
  return {id,
          static_cast<std::int64_t>(reply.result),
          reply.clock_ms,
          reply.started_unix_ms,
          std::move(runs),
          std::move(ends),
          reply.ends_complete};
}

std::pair<std::int64_t, TargetReply> DecodeReply(const json& row,
                                                 const std::string& name,
                                                 absl::Status& status) {
  TargetReply reply;
  RowReader reader(row, name);
  const std::int64_t id = reader.Integer("id");
  reply.result = static_cast<TargetResult>(reader.Bounded(
      "result", static_cast<std::int64_t>(TargetResult::kRelayLost)));
  reply.clock_ms = reader.Integer("clock_ms");
  reply.started_unix_ms = reader.Integer("started_unix_ms");
  for (const json& run_row : reader.List("runs")) {
    RowReader fields(run_row, StrCat(name, ": run"));
    ReportedRun run;
    run.task = fields.Task("task");
    run.run = fields.Integer("run");
    run.checkpoint = fields.Text("checkpoint");
    run.speed_percent = fields.Integer("speed_percent");
    run.load = fields.Integer("load");
    status.Update(fields.status());
    reply.runs.push_back(std::move(run));
  }
  for (const json& end_row : reader.List("ends")) {
    RowReader fields(end_row, StrCat(name, ": end"));
    RunEnd end;
    end.number = fields.Integer("number");
    end.task = fields.Task("task");
    end.run = fields.Integer("run");
    end.kind = static_cast<RunEndKind>(fields.Bounded(
        "kind", static_cast<std::int64_t>(RunEndKind::kGangIncomplete)));
    end.checkpoint = fields.Text("checkpoint");
    status.Update(fields.status());
    reply.ends.push_back(std::move(end));
  }
  reply.ends_complete = reader.Flag("ends_complete");
  status.Update(reader.status());
  return {id, std::move(reply)};
}

}  // namespace

std::string EncodeRelayRequests(const std::vector<TargetRequest>& requests) {
  std::map<std::string_view, std::int64_t> payload_index;
  json payloads = json::array();
  json rows = json::array();
  for (const TargetRequest& request : requests) {
    std::int64_t payload = kNoPayload;
    if (!request.payload.empty()) {
      const auto [it, inserted] = payload_index.try_emplace(
          request.payload, static_cast<std::int64_t>(payloads.size()));
      if (inserted) payloads.push_back(request.payload);
      payload = it->second;
    }
    rows.push_back(EncodeRequest(request, payload));
  }
  return ToCbor(json::array({std::move(payloads), std::move(rows)}));
}

absl::StatusOr<std::vector<TargetRequest>> DecodeRelayRequests(
    const std::string& message) {
  const absl::StatusOr<json> parsed = FromBytes(message);
  if (!parsed.ok()) return parsed.status();
  RowReader reader(*parsed, "relay requests");
  const json& payloads = reader.List("payloads");
  const json& rows = reader.List("requests");
  absl::Status status = reader.status();
  std::vector<TargetRequest> requests;
  for (std::size_t n = 0; n < rows.size() && status.ok(); ++n) {
    requests.push_back(
        DecodeRequest(rows[n], payloads, StrCat("relay request ", n), status));
  }
  if (!status.ok()) return status;
  return requests;
}

std::string EncodeRelayReplies(const RelayReplies& replies) {
  json rows = json::array();
  for (const auto& [id, reply] : replies) {
    rows.push_back(EncodeReply(id, reply));
  }
  return ToCbor(rows);
}

absl::StatusOr<RelayReplies> DecodeRelayReplies(const std::string& message) {
  const absl::StatusOr<json> rows = FromBytes(message);
  if (!rows.ok()) return rows.status();
  absl::Status status;
  RelayReplies replies;
  for (std::size_t n = 0; n < rows->size() && status.ok(); ++n) {
    replies.push_back(
        DecodeReply((*rows)[n], StrCat("relay reply ", n), status));
  }
  if (!status.ok()) return status;
  return replies;
}

}  // namespace hyssopbarrow::fleet
