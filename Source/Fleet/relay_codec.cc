#include "Fleet/relay_codec.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "Model/cbor.h"
#include "Model/limits.h"
#include "Model/text.h"

namespace hyssopbarrow::fleet {
namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::int64_t kNoPayload = -1;
/// Longest wait and timeout that a relay accepts.
constexpr std::int64_t kMaxDurationMs = 10'000;

/// A message that is being decoded. After its first error nothing is read.
struct Message {
  CborReader items;
  absl::Status status;
};

/// Names a list of a message in errors, such as "relay reply 3: run".
struct RowName {
  std::string_view kind;
  std::optional<std::size_t> number;
  std::string_view part;
};

std::string ToText(const RowName& name) {
  const std::string number =
      name.number.has_value() ? StrCat(" ", *name.number) : std::string();
  return StrCat(name.kind, number, name.part);
}

/// Reads the items of a list in order. After an error they have default values.
class RowReader {
 public:
  /// Begins the next item of the message, which must be a list.
  RowReader(Message& message, const RowName& name)
      : message_(message), name_(name) {
    if (!message_.status.ok()) return;
    const std::optional<std::size_t> count = message_.items.List();
    if (!count.has_value()) Fail("fields", "a list");
    left_ = count.value_or(0);
  }

  std::int64_t Integer(std::string_view field) {
    return Take(field, "an integer", &CborReader::Integer);
  }

  std::optional<std::int64_t> IntegerOrNull(std::string_view field) {
    const bool is_null =
        message_.status.ok() && left_ > 0 && message_.items.Null();
    if (!is_null) return Integer(field);
    --left_;
    return std::nullopt;
  }

  /// An integer from 0 to `max`.
  std::int64_t Bounded(std::string_view field, std::int64_t max) {
    const std::int64_t value = Integer(field);
    const bool valid = value >= 0 && value <= max;
    if (!valid) Fail(field, StrCat("from 0 to ", max));
    return valid ? value : 0;
  }

  bool Flag(std::string_view field) {
    return Take(field, "a boolean", &CborReader::Flag);
  }

  std::string_view Text(std::string_view field) {
    return Take(field, "a string", &CborReader::Text);
  }

  /// A task name; the empty string stands for none.
  TaskName Task(std::string_view field) {
    const std::string_view text = Text(field);
    if (text.empty()) return {};
    std::optional<TaskName> name = ParseTaskName(text);
    if (!name.has_value()) Fail(field, "a task name");
    return std::move(name).value_or(TaskName{});
  }

  /// Begins a list, whose items are read next, and returns their number.
  std::size_t List(std::string_view field) {
    return Take(field, "a list", &CborReader::List);
  }

  /// Passes over items that are not read.
  void SkipRest() {
    for (; message_.status.ok() && left_ > 0; --left_) {
      if (!message_.items.Skip()) Fail("fields", "complete");
    }
  }

  void Fail(std::string_view field, std::string_view expected) {
    if (!message_.status.ok()) return;
    message_.status = absl::InvalidArgumentError(
        StrCat(ToText(name_), ": field \"", field, "\" must be ", expected));
  }

 private:
  template <typename T>
  T Take(std::string_view field, std::string_view expected,
         std::optional<T> (CborReader::*read)()) {
    if (!message_.status.ok()) return {};
    const std::optional<T> value =
        left_ > 0 ? (message_.items.*read)() : std::nullopt;
    if (!value.has_value()) {
      Fail(field, expected);
      return {};
    }
    --left_;
    return *value;
  }

  Message& message_;
  RowName name_;
  std::size_t left_ = 0;  ///< Items that are not read yet.
};

/// Fails if bytes follow the message.
void RequireEnd(Message& message) {
  if (!message.status.ok() || message.items.AtEnd()) return;
  message.status = absl::InvalidArgumentError(
      "relay message: bytes follow the list in CBOR");
}

std::int64_t ToMs(Duration duration) {
  return duration_cast<milliseconds>(duration).count();
}

std::string EncodeTask(const TaskName& task) {
  return task.job.empty() ? std::string() : ToString(task);
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

TargetRequest DecodeRequest(Message& message,
                            const std::vector<std::string_view>& payloads,
                            std::size_t number) {
  RowReader reader(message, {.kind = "relay request", .number = number});
  TargetRequest request;
  request.id = reader.Integer("id");
  request.kind = static_cast<TargetRequestKind>(reader.Bounded(
      "kind", static_cast<std::int64_t>(TargetRequestKind::kThrottle)));
  request.target = reader.Text("target");
  request.address = reader.Text("address");
  request.fencing_token = reader.Integer("fencing_token");
  request.lease_until_ms = reader.IntegerOrNull("lease_until_ms");
  request.task = reader.Task("task");
  request.run = reader.Integer("run");
  const std::int64_t payload = reader.Integer("payload");
  if (payload >= 0 && payload < static_cast<std::int64_t>(payloads.size())) {
    request.payload = payloads[static_cast<std::size_t>(payload)];
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
  reader.SkipRest();
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
          reply.complete};
}

ReportedRun DecodeRun(Message& message, std::size_t reply) {
  RowReader reader(message,
                   {.kind = "relay reply", .number = reply, .part = ": run"});
  ReportedRun run;
  run.task = reader.Task("task");
  run.run = reader.Bounded("run", kMaxNumber);
  run.checkpoint = reader.Text("checkpoint");
  run.speed_percent = reader.Integer("speed_percent");
  run.load = reader.Integer("load");
  reader.SkipRest();
  return run;
}

RunEnd DecodeEnd(Message& message, std::size_t reply) {
  RowReader reader(message,
                   {.kind = "relay reply", .number = reply, .part = ": end"});
  RunEnd end;
  end.number = reader.Bounded("number", kMaxNumber);
  end.task = reader.Task("task");
  end.run = reader.Bounded("run", kMaxNumber);
  end.kind = static_cast<RunEndKind>(reader.Bounded(
      "kind", static_cast<std::int64_t>(RunEndKind::kGangIncomplete)));
  end.checkpoint = reader.Text("checkpoint");
  reader.SkipRest();
  return end;
}

std::pair<std::int64_t, TargetReply> DecodeReply(Message& message,
                                                 std::size_t number) {
  RowReader reader(message, {.kind = "relay reply", .number = number});
  TargetReply reply;
  const std::int64_t id = reader.Integer("id");
  reply.result = static_cast<TargetResult>(reader.Bounded(
      "result", static_cast<std::int64_t>(TargetResult::kRelayLost)));
  reply.clock_ms = reader.Bounded("clock_ms", kMaxUnixMs);
  reply.started_unix_ms = reader.Bounded("started_unix_ms", kMaxUnixMs);
  const std::size_t runs = reader.List("runs");
  for (std::size_t n = 0; n < runs && message.status.ok(); ++n) {
    reply.runs.push_back(DecodeRun(message, number));
  }
  const std::size_t ends = reader.List("ends");
  for (std::size_t n = 0; n < ends && message.status.ok(); ++n) {
    reply.ends.push_back(DecodeEnd(message, number));
  }
  reply.complete = reader.Flag("ends_complete");
  reader.SkipRest();
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
    const std::string& bytes) {
  Message message{.items = CborReader(bytes)};
  RowReader reader(message, {.kind = "relay requests"});
  const std::size_t payload_count = reader.List("payloads");
  std::vector<std::string_view> payloads;
  for (std::size_t n = 0; n < payload_count && message.status.ok(); ++n) {
    const std::optional<std::string_view> payload = message.items.Text();
    if (!payload.has_value()) reader.Fail("payloads", "a list of strings");
    payloads.push_back(payload.value_or(std::string_view()));
  }
  const std::size_t count = reader.List("requests");
  std::vector<TargetRequest> requests;
  for (std::size_t n = 0; n < count && message.status.ok(); ++n) {
    requests.push_back(DecodeRequest(message, payloads, n));
  }
  reader.SkipRest();
  RequireEnd(message);
  if (!message.status.ok()) return message.status;
  return requests;
}

std::string EncodeRelayReplies(const RelayReplies& replies) {
  json rows = json::array();
  for (const auto& [id, reply] : replies) {
    rows.push_back(EncodeReply(id, reply));
  }
  return ToCbor(rows);
}

absl::StatusOr<RelayReplies> DecodeRelayReplies(const std::string& bytes) {
  Message message{.items = CborReader(bytes)};
  const std::optional<std::size_t> count = message.items.List();
  if (!count.has_value()) {
    return absl::InvalidArgumentError("relay replies: not a list in CBOR");
  }
  RelayReplies replies;
  for (std::size_t n = 0; n < *count && message.status.ok(); ++n) {
    replies.push_back(DecodeReply(message, n));
  }
  RequireEnd(message);
  if (!message.status.ok()) return message.status;
  return replies;
}

}  // namespace hyssopbarrow::fleet
