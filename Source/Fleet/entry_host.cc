#include "Fleet/entry_host.h"

#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "Fleet/fleet_view.h"
#include "Http/json_response.h"
#include "Model/json.h"
#include "Model/text.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kJobPath = "/v1/jobs/";
constexpr std::string_view kWaitingPath = "/v1/waiting/";
constexpr std::string_view kFleetPath = "/v1/fleet/";
/// After this timeout a call reads the store instead, or queries again.
constexpr Duration kOwnerQueryTimeout = milliseconds(350);
constexpr Duration kLimitLogInterval = std::chrono::seconds(1);
/// A stopping host exits once no caller has been active for this long.
constexpr Duration kStopAfterIdle = milliseconds(400);
/// The load balancer takes up to 2 s to send new connections elsewhere.
constexpr Duration kMinStopDelay = milliseconds(2600);
constexpr Duration kMaxLoopWait = milliseconds(100);

std::string SystemLabel(const TargetRequest& request) {
  switch (request.kind) {
    case TargetRequestKind::kPoll:
      return "target_hold";
    case TargetRequestKind::kStart:
      return "target_start";
    case TargetRequestKind::kStop:
      return "target_stop";
    case TargetRequestKind::kThrottle:
      return "target_pace";
  }
  return "target";
}

std::string ResultLabel(const StoreRows& reply) {
  switch (reply.status) {
    case StoreStatus::kOk:
      return "ok";
    case StoreStatus::kConflict:
      return "conflict";
    case StoreStatus::kUnavailable:
      return "unavailable";
    case StoreStatus::kUnknown:
      return "unknown";
    case StoreStatus::kInvalid:
      return "invalid";
  }
  return "unknown";
}

std::string ResultLabel(const TargetReply& reply) {
  return std::string(ToString(reply.result));
}

std::string ResultLabel(const HostRequestResult& result) {
  return std::string(ToString(result));
}

/// For replies that only tell whether there was an answer.
template <typename Reply>
std::string ResultLabel(const Reply& reply) {
  return reply.answered ? "ok" : "none";
}

/// Formats the body that ParseOwnerReply reads.
nlohmann::json FormatOwnerReply(OwnerQueryKind kind, const OwnerReply& reply) {
  if (kind == OwnerQueryKind::kWaiting) return {{"waiting", reply.waiting}};
  if (!reply.state.has_value()) return {{"state", nullptr}};
  return {{"state", ToString(*reply.state)}};
}

OwnerReply ParseOwnerReply(OwnerQueryKind kind, TransferResult result,
                           const HttpResponse& response) {
  OwnerReply reply;
  if (result != TransferResult::kComplete || response.status != 200) {
    return reply;
  }
  const auto json = ParseJson(response.body);
  if (!json.is_object()) return reply;
  if (kind == OwnerQueryKind::kJobState) {
    const auto state = json.find("state");
    if (state == json.end()) return reply;
    reply.answered = true;
    if (state->is_string()) {
      reply.state = ParseJobState(state->get<std::string>());
    }
  } else {
    const auto waiting = json.find("waiting");
    if (waiting == json.end() || !waiting->is_number_integer()) return reply;
    reply.answered = true;
    reply.waiting = waiting->get<std::int64_t>();
  }
  return reply;
}

}  // namespace

EntryHost::EntryHost(EventLoop& loop, const EntryHostSettings& settings,
                     Backend& backend, const CallCodec& codec)
    : loop_(loop),
      settings_(settings),
      backend_(backend),
      codec_(codec),
      log_(STDOUT_FILENO, settings.node),
      peer_client_(
          loop, HttpClientLimits{},
          [this](const ExchangeTimeout& timeout) { RecordTimeout(timeout); }),
      caller_limits_(
          MakeCallerLimits(settings.memory_mb, settings.max_descriptors)),
      caller_server_(
          loop, caller_limits_.http,
          [this](const HttpRequest& request, const Responder& responder) {
            ServeCaller(request, responder);
          }),
      readiness_server_(
          loop, MakeInternalLimits(),
          [this](const HttpRequest&, const Responder& responder) {
            responder.Send(
                {.status = IsServing(entry_, Now().now) ? 200 : 503});
          }),
      peer_server_(
          loop, MakeInternalLimits(),
          [this](const HttpRequest& request, const Responder& responder) {
            ServePeer(request, responder);
          }),
      metrics_server_(
          loop, MakeInternalLimits(),
          [this](const HttpRequest&, const Responder& responder) {
            metrics_.log_lines = log_.lines();
            metrics_.log_lines_dropped = log_.dropped_lines();
            metrics_.interrupted_waits = loop_.interrupted_waits();
            metrics_.relay_links =
                static_cast<std::int64_t>(relay_client_.LinkCount());
            metrics_.relayed_requests = relay_server_.request_count();
            responder.Send(
                {.status = 200,
                 .headers = {{"content-type", "text/plain; version=0.0.4"}},
                 .body = FormatMetrics(metrics_, entry_, Now().now)});
          }),
      relay_client_(
          loop, [this] { return Now().now; },
          [this](const std::string& address) {
            HandleEvent([&](const EventTime& time, Effects& effects) {
              OnRelayLost(entry_, address, time, effects);
            });
          }),
      relay_server_(
          loop, backend, [this] { return Now().now; },
          [this](const std::string& reason) {
            Log(Severity::kWarn, "relay_session_closed", {{"reason", reason}});
          }) {
  entry_.timing = settings.timing;
  entry_.timing.max_job_bytes = caller_limits_.max_job_bytes;
  entry_.self = {.node = settings.node,
                 .holder = settings.holder,
                 .address = ToString(settings.peers),
                 .cpu_milli = settings.cpu_milli,
                 .link_mbps = settings.link_mbps,
                 .relay_address = ToString(settings.relay),
                 .data_centre = settings.data_centre};
}

absl::Status EntryHost::Start() {
  absl::Status status = peer_server_.Listen(settings_.peers);
  status.Update(relay_server_.Listen(settings_.relay));
  status.Update(metrics_server_.Listen(settings_.metrics));
  status.Update(readiness_server_.Listen(settings_.readiness));
  status.Update(caller_server_.Listen(settings_.callers));
  if (!status.ok()) return status;
  Log(Severity::kInfo, "started",
      {{"callers", ToString(settings_.callers)},
       {"peers", ToString(settings_.peers)},
       {"holder", settings_.holder}});
  return absl::OkStatus();
}

EventTime EntryHost::Now() const {
  const auto unix_time = std::chrono::system_clock::now().time_since_epoch();
  return {
      .now = SteadyNow(),
      .unix_ms = std::chrono::duration_cast<milliseconds>(unix_time).count()};
}

void EntryHost::Log(Severity severity, std::string event,
                    std::vector<std::pair<std::string, std::string>> fields) {
  log_.Write({.severity = severity,
              .event = std::move(event),
              .fields = std::move(fields)},
             Now());
}

Duration EntryHost::Tick() {
  EventTime time = Now();
  relay_server_.Tick();
  if (next_tick_ <= time.now) {
    HandleEvent([this](const EventTime& event_time, Effects& effects) {
      OnTick(entry_, event_time, effects);
    });
  }
  time = Now();
  next_tick_ = NextTick(entry_, time.now);
  log_.Flush();
  return std::min(Remaining(next_tick_, time.now), kMaxLoopWait);
}

void EntryHost::RunOnce() {
  const Duration wait = Tick();
  loop_.RunOnce(SteadyNow() + wait);
  LimitCallers();
}

void EntryHost::LimitCallers() {
  caller_server_.EnforceLimits();
  readiness_server_.EnforceLimits();
  peer_server_.EnforceLimits();
  metrics_server_.EnforceLimits();
  const HttpServerCounts& counts = caller_server_.counts();
  metrics_.callers = counts;
  metrics_.caller_bytes = caller_server_.InputBytes();
  metrics_.caller_connections = caller_server_.OpenConnections();
  metrics_.refused_calls = refused_calls_;
  const std::int64_t limited =
      counts.closed_for_memory + counts.closed_as_slow +
      counts.closed_for_connections + counts.refused_connections +
      counts.refused_requests + refused_calls_;
  if (limited == limited_when_logged_) return;
  const Instant now = Now().now;
  if (now < next_limit_log_) return;
  next_limit_log_ = now + kLimitLogInterval;
  limited_when_logged_ = limited;
  Log(Severity::kWarn, "callers_limited",
      {{"closed_for_memory", std::to_string(counts.closed_for_memory)},
       {"closed_as_slow", std::to_string(counts.closed_as_slow)},
       {"closed_for_connections",
        std::to_string(counts.closed_for_connections)},
       {"refused_connections", std::to_string(counts.refused_connections)},
       {"refused_requests", std::to_string(counts.refused_requests)},
       {"refused_calls", std::to_string(refused_calls_)},
       {"connections", std::to_string(caller_server_.OpenConnections())},
       {"bytes", std::to_string(caller_server_.InputBytes())},
       {"calls_open", std::to_string(entry_.calls.size())}});
}

void EntryHost::RequestStop() {
  if (stop_deadline_.has_value()) return;
  const EventTime time = Now();
  Log(Severity::kInfo, "stop_requested",
      {{"calls_open", std::to_string(waiting_callers_.size())},
       {"owner", entry_.owner.has_value() ? "yes" : "no"}});
  stop_deadline_ = time.now + settings_.stop_timeout;
  // In the future: callers may arrive until then.
  idle_since_ = time.now + kMinStopDelay;
  HandleEvent([this](const EventTime& event_time, Effects& effects) {
    OnStop(entry_, event_time, effects);
  });
}

bool EntryHost::IsStopped() const {
  if (!stop_deadline_.has_value()) return false;
  const Instant now = Now().now;
  if (now >= *stop_deadline_) return true;
  return waiting_callers_.empty() && !entry_.owner.has_value() &&
         now >= idle_since_ + kStopAfterIdle;
}

void EntryHost::Reload(const absl::StatusOr<TimingSettings>& timing) {
  if (!timing.ok()) {
    Log(Severity::kError, "settings_rejected",
        {{"problem", std::string(timing.status().message())}});
    return;
  }
  const bool changed = *timing != entry_.timing;
  entry_.timing = *timing;
  Log(Severity::kInfo, "settings_reloaded",
      {{"changed", changed ? "yes" : "no"}});
}

void EntryHost::RecordTimeout(const ExchangeTimeout& timeout) {
  ++metrics_.request_timeouts;
  metrics_.connections_given_up +=
      timeout.idle_closed + (timeout.reused ? 1 : 0);
  if (!timeout.reused && timeout.idle_closed == 0) return;
  Log(Severity::kWarn, "connections_given_up",
      {{"address", ToString(timeout.address)},
       {"reused", timeout.reused ? "yes" : "no"},
       {"idle_closed", std::to_string(timeout.idle_closed)},
       {"kept", std::to_string(timeout.kept)}});
}

void EntryHost::ServeCaller(const HttpRequest& request,
                            const Responder& responder) {
  const EventTime time = Now();
  // Calls whose callers have left may still write to the store.
  if (static_cast<std::int64_t>(entry_.calls.size()) >=
      caller_limits_.max_open_calls) {
    ++refused_calls_;
    responder.Send({.status = 503,
                    .headers = {{"retry-after", "1"}},
                    .body = {},
                    .close_connection = true});
    return;
  }
  Call call = codec_.Decode(request);
  call.number = next_call_number_++;
  const std::int64_t number = call.number;
  if (stop_deadline_.has_value()) idle_since_ = std::max(idle_since_, time.now);
  waiting_callers_.emplace(number, WaitingCaller{.kind = call.kind,
                                                 .responder = responder,
                                                 .arrived_at = time.now});
  responder.OnDisconnect([this, number] {
    if (waiting_callers_.erase(number) > 0) {
      OnCallerDisconnected(entry_, number);
    }
  });
  HandleEvent([&](const EventTime& event_time, Effects& effects) {
    OnCall(entry_, std::move(call), event_time, effects);
  });
}

void EntryHost::ServePeer(const HttpRequest& request,
                          const Responder& responder) {
  std::string_view path = request.path;
  if (ConsumePrefix(path, kFleetPath)) {
    return responder.Send(MakeFleetResponse(entry_, path, Now().now));
  }
  const bool asks_state = ConsumePrefix(path, kJobPath);
  if (!asks_state && !ConsumePrefix(path, kWaitingPath)) {
    return responder.Send(
        ErrorResponse(404, "expected /v1/fleet/, /v1/jobs/ or /v1/waiting/"));
  }
  const OwnerQueryKind kind =
      asks_state ? OwnerQueryKind::kJobState : OwnerQueryKind::kWaiting;
  const OwnerReply reply =
      AnswerOwnerQuery(entry_, kind, std::string(path), Now().now);
  if (!reply.answered) {
    return responder.Send(ErrorResponse(
        503, "this host does not own the fleet or has not loaded its tables"));
  }
  responder.Send(JsonResponse(200, FormatOwnerReply(kind, reply)));
}

void EntryHost::Execute(const Effects& effects) {
  for (const Effect& effect : effects) Execute(effect);
  next_tick_ = std::min(next_tick_, NextTick(entry_, Now().now));
}

void EntryHost::HandleEvent(
    const std::function<void(const EventTime&, Effects&)>& event) {
  Effects effects;
  event(Now(), effects);
  Execute(effects);
}

template <typename Handler>
auto EntryHost::MakeReplyHandler(std::string system, std::int64_t id,
                                 Handler handler) {
  return [this, sent_at = Now().now, system = std::move(system), id,
          handler](const auto& reply) {
    HandleEvent([&](const EventTime& time, Effects& effects) {
      RecordReply(metrics_, system, ResultLabel(reply), time.now - sent_at);
      handler(entry_, id, reply, time, effects);
    });
  };
}

void EntryHost::Execute(const Effect& effect) {
  if (const auto* read = std::get_if<ReadRows>(&effect)) {
    backend_.Read(*read,
                  MakeReplyHandler("store_read", read->id, HandleStoreReply));
  } else if (const auto* watch = std::get_if<WatchRows>(&effect)) {
    backend_.Watch(
        *watch, MakeReplyHandler("store_watch", watch->id, HandleStoreReply));
  } else if (const auto* commit = std::get_if<CommitRows>(&effect)) {
    backend_.Commit(*commit, MakeReplyHandler("store_commit", commit->id,
                                              HandleStoreReply));
  } else if (const auto* request = std::get_if<TargetRequest>(&effect)) {
    const auto handler = MakeReplyHandler(SystemLabel(*request), request->id,
                                          ForwardTargetReply);
    if (request->relay.empty()) {
      backend_.Send(*request, handler);
    } else {
      relay_client_.Send(*request, handler);
    }
  } else if (const auto* approval = std::get_if<ApprovalRequest>(&effect)) {
    backend_.RequestApproval(
        *approval,
        MakeReplyHandler("approval", approval->id, ForwardApprovalReply));
  } else if (const auto* list = std::get_if<ListHosts>(&effect)) {
    backend_.FetchHosts(
        *list, MakeReplyHandler("host_list", list->id, ForwardHostListReply));
  } else if (const auto* host = std::get_if<HostRequest>(&effect)) {
    backend_.Send(*host,
                  MakeReplyHandler("host_order", host->id, ForwardHostReply));
  } else if (const auto* query = std::get_if<OwnerQuery>(&effect)) {
    SendOwnerQuery(*query);
  } else if (const auto* reply = std::get_if<CallReply>(&effect)) {
    Answer(*reply);
  } else if (const auto* line = std::get_if<LogLine>(&effect)) {
    log_.Write(*line, Now());
  }
}

void EntryHost::SendOwnerQuery(const OwnerQuery& query) {
  const auto handle_response =
      [kind = query.kind,
       handler = MakeReplyHandler("owner", query.id, HandleOwnerReply)](
          TransferResult result, const HttpResponse& response) {
        handler(ParseOwnerReply(kind, result, response));
      };
  absl::StatusOr<Address> address = ParseAddress(query.address);
  if (!address.ok()) {
    Log(Severity::kError, "owner_address_unreadable",
        {{"address", query.address}});
    loop_.Defer([handle_response] {
      handle_response(TransferResult::kNotConnected, {});
    });
    return;
  }
  const std::string_view prefix =
      query.kind == OwnerQueryKind::kJobState ? kJobPath : kWaitingPath;
  peer_client_.Send(
      {.address = *address,
       .request = {.method = "GET", .path = StrCat(prefix, query.key)},
       .deadline = SteadyNow() + kOwnerQueryTimeout},
      handle_response);
}

void EntryHost::Answer(const CallReply& reply) {
  auto it = waiting_callers_.find(reply.call);
  if (it == waiting_callers_.end()) return;
  const WaitingCaller caller = std::move(it->second);
  waiting_callers_.erase(it);
  const Instant now = Now().now;
  RecordCall(metrics_, caller.kind, reply.outcome, now - caller.arrived_at);
  if (stop_deadline_.has_value()) idle_since_ = std::max(idle_since_, now);
  HttpResponse response = codec_.Encode(reply);
  response.close_connection = stop_deadline_.has_value();
  caller.responder.Send(response);
}

}  // namespace hyssopbarrow::fleet
