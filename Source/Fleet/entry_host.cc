#include "Fleet/entry_host.h"

#include <unistd.h>

#include <algorithm>
#include <ctime>
#include <nlohmann/json.hpp>
#include <utility>

#include "Fleet/fleet_view.h"
#include "Http/json_response.h"
#include "Model/text.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kJobPath = "/v1/jobs/";
constexpr std::string_view kWaitingPath = "/v1/waiting/";
constexpr std::string_view kFleetPath = "/v1/fleet/";
/// A question to the owner; the store is asked when it gets no answer.
constexpr Duration kOwnerQueryTimeout = milliseconds(350);
/// Bodies of jobs: up to 100 steps and a payload of 4000 bytes.
constexpr std::size_t kMaxBodyBytes = 256UL << 10;
constexpr std::int64_t kRequestTimeoutMs = 3000;
constexpr std::int64_t kMaxConnections = 1500;
/// The load balancer takes up to 2 s to send new connections elsewhere.
constexpr Duration kStopAfterIdle = milliseconds(400);
constexpr Duration kMinStopDelay = milliseconds(2600);
constexpr Duration kMaxLoopWait = milliseconds(100);

HttpServerLimits CallerLimits() {
  return {.max_body_bytes = kMaxBodyBytes,
          .request_timeout_ms = kRequestTimeoutMs,
          .max_connections = kMaxConnections};
}

std::string SystemLabel(const TargetRequest& order) {
  switch (order.kind) {
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

std::string ResultOf(const StoreRows& reply) {
  switch (reply.status) {
    case StoreStatus::kOk:
      return "ok";
    case StoreStatus::kConflict:
      return "conflict";
    case StoreStatus::kUnavailable:
      return "unavailable";
    case StoreStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string ResultOf(const TargetReply& reply) {
  return std::string(ToString(reply.result));
}

std::string ResultOf(const HostRequestResult& result) {
  return std::string(ToString(result));
}

/// Of replies that only say whether there was an answer.
template <typename Reply>
std::string ResultOf(const Reply& reply) {
  return reply.answered ? "ok" : "none";
}

/// What ParseOwnerReply reads.
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
  const auto json = nlohmann::json::parse(response.body, nullptr, false);
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
      peer_client_(loop, HttpClientLimits{}),
      caller_server_(
          loop, CallerLimits(),
          [this](const HttpRequest& request, const Responder& responder) {
            ServeCaller(request, responder);
          }),
      readiness_server_(
          loop, HttpServerLimits{},
          [this](const HttpRequest&, const Responder& responder) {
            responder.Send(
                {.status = IsServing(entry_, Now().now) ? 200 : 503});
          }),
      peer_server_(
          loop, HttpServerLimits{},
          [this](const HttpRequest& request, const Responder& responder) {
            ServePeer(request, responder);
          }),
      metrics_server_(
          loop, HttpServerLimits{},
          [this](const HttpRequest&, const Responder& responder) {
            metrics_.log_lines = log_.lines();
            metrics_.log_lines_dropped = log_.dropped_lines();
            responder.Send(
                {.status = 200,
                 .headers = {{"content-type", "text/plain; version=0.0.4"}},
                 .body = FormatMetrics(metrics_, entry_)});
          }) {
  entry_.timing = settings.timing;
  entry_.self = {.node = settings.node,
                 .holder = settings.holder,
                 .address = ToString(settings.peers),
                 .cpu_milli = settings.cpu_milli};
}

absl::Status EntryHost::Start() {
  absl::Status status = peer_server_.Listen(settings_.peers);
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
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  const auto since = std::chrono::seconds(ts.tv_sec) +
                     std::chrono::duration_cast<Duration>(
                         std::chrono::nanoseconds(ts.tv_nsec));
  const auto unix_time = std::chrono::system_clock::now().time_since_epoch();
  return {
      .now = Instant(since),
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
  EventTime at = Now();
  if (next_tick_ <= at.now) {
    HandleEvent([this](const EventTime& moment, Effects& effects) {
      OnTick(entry_, moment, effects);
    });
  }
  at = Now();
  next_tick_ = NextTick(entry_, at.now);
  log_.Flush();
  return std::min(Remaining(next_tick_, at.now), kMaxLoopWait);
}

void EntryHost::RunOnce() {
  const Duration wait = Tick();
  loop_.RunOnce(SteadyNow() + wait);
}

void EntryHost::RequestStop() {
  if (stop_deadline_.has_value()) return;
  const EventTime at = Now();
  Log(Severity::kInfo, "stop_requested",
      {{"calls_open", std::to_string(waiting_callers_.size())},
       {"owner", entry_.owner.has_value() ? "yes" : "no"}});
  stop_deadline_ = at.now + settings_.stop_timeout;
  idle_since_ = at.now + kMinStopDelay;
  HandleEvent([this](const EventTime& moment, Effects& effects) {
    OnStop(entry_, moment, effects);
  });
}

bool EntryHost::IsStopped() const {
  if (!stop_deadline_.has_value()) return false;
  const Instant now = Now().now;
  if (now >= *stop_deadline_) return true;
  return waiting_callers_.empty() && !entry_.owner.has_value() &&
         now >= idle_since_ + kStopAfterIdle;
}

void EntryHost::Reload(const absl::StatusOr<TimingSettings>& terms) {
  if (!terms.ok()) {
    Log(Severity::kError, "settings_rejected",
        {{"problem", std::string(terms.status().message())}});
    return;
  }
  const bool changed = *terms != entry_.timing;
  entry_.timing = *terms;
  Log(Severity::kInfo, "settings_reloaded",
      {{"changed", changed ? "yes" : "no"}});
}

void EntryHost::ServeCaller(const HttpRequest& request,
                            const Responder& responder) {
  const EventTime at = Now();
  Call call = codec_.Decode(request);
  call.number = next_call_number_++;
  const std::int64_t number = call.number;
  if (stop_deadline_.has_value()) idle_since_ = std::max(idle_since_, at.now);
  waiting_callers_.emplace(number, WaitingCaller{.kind = call.kind,
                                                 .responder = responder,
                                                 .arrived = at.now});
  responder.OnGone([this, number] {
    if (waiting_callers_.erase(number) > 0)
      OnCallerDisconnected(entry_, number);
  });
  HandleEvent([&](const EventTime& moment, Effects& effects) {
    OnCall(entry_, std::move(call), moment, effects);
  });
}

void EntryHost::ServePeer(const HttpRequest& request,
                          const Responder& responder) {
  std::string_view path = request.path;
  if (ConsumePrefix(path, kFleetPath)) {
    return responder.Send(MakeFleetResponse(entry_, path));
  }
  const bool state = ConsumePrefix(path, kJobPath);
  if (!state && !ConsumePrefix(path, kWaitingPath)) {
    return responder.Send(ErrorResponse(404, "no such resource"));
  }
  const OwnerQueryKind kind =
      state ? OwnerQueryKind::kJobState : OwnerQueryKind::kWaiting;
  const OwnerReply reply = AnswerOwnerQuery(entry_, kind, std::string(path));
  if (!reply.answered) return responder.Send(ErrorResponse(503, "not owner"));
  responder.Send(JsonResponse(200, FormatOwnerReply(kind, reply)));
}

void EntryHost::Execute(const Effects& effects) {
  for (const Effect& it : effects) Execute(it);
  next_tick_ = std::min(next_tick_, NextTick(entry_, Now().now));
}

void EntryHost::HandleEvent(
    const std::function<void(const EventTime&, Effects&)>& event) {
  Effects effects;
  event(Now(), effects);
  Execute(effects);
}

template <typename Take>
auto EntryHost::Record(std::string system, std::int64_t id, Take take) {
  return [this, sent = Now().now, system = std::move(system), id,
          take](const auto& reply) {
    HandleEvent([&](const EventTime& at, Effects& effects) {
      RecordReply(metrics_, system, ResultOf(reply), at.now - sent);
      take(entry_, id, reply, at, effects);
    });
  };
}

void EntryHost::Execute(const Effect& effect) {
  if (const auto* read = std::get_if<ReadRows>(&effect)) {
    backend_.Read(*read, Record("store_read", read->id, HandleStoreReply));
  } else if (const auto* watch = std::get_if<WatchRows>(&effect)) {
    backend_.Watch(*watch, Record("store_watch", watch->id, HandleStoreReply));
  } else if (const auto* commit = std::get_if<CommitRows>(&effect)) {
    backend_.Commit(*commit,
                    Record("store_commit", commit->id, HandleStoreReply));
  } else if (const auto* order = std::get_if<TargetRequest>(&effect)) {
    backend_.Send(*order,
                  Record(SystemLabel(*order), order->id, ForwardTargetReply));
  } else if (const auto* approval = std::get_if<ApprovalRequest>(&effect)) {
    backend_.RequestApproval(
        *approval, Record("approval", approval->id, ForwardApprovalReply));
  } else if (const auto* list = std::get_if<ListHosts>(&effect)) {
    backend_.FetchHosts(*list,
                        Record("host_list", list->id, ForwardHostListReply));
  } else if (const auto* host = std::get_if<HostRequest>(&effect)) {
    backend_.Send(*host, Record("host_order", host->id, ForwardHostReply));
  } else if (const auto* ask = std::get_if<OwnerQuery>(&effect)) {
    SendOwnerQuery(*ask);
  } else if (const auto* answer = std::get_if<CallReply>(&effect)) {
    Answer(*answer);
  } else if (const auto* line = std::get_if<LogLine>(&effect)) {
    log_.Write(*line, Now());
  }
}

void EntryHost::SendOwnerQuery(const OwnerQuery& ask) {
  const auto reply = [kind = ask.kind,
                      take = Record("owner", ask.id, HandleOwnerReply)](
                         TransferResult result, const HttpResponse& response) {
    take(ParseOwnerReply(kind, result, response));
  };
  absl::StatusOr<Address> address = ParseAddress(ask.address);
  if (!address.ok()) {
    Log(Severity::kError, "owner_address_unreadable",
        {{"address", ask.address}});
    loop_.Defer([reply] { reply(TransferResult::kNotConnected, {}); });
    return;
  }
  const std::string_view prefix =
      ask.kind == OwnerQueryKind::kJobState ? kJobPath : kWaitingPath;
  peer_client_.Send(
      {.address = *address,
       .request = {.method = "GET", .path = StrCat(prefix, ask.key)},
       .deadline = SteadyNow() + kOwnerQueryTimeout},
      reply);
}

void EntryHost::Answer(const CallReply& answer) {
  auto it = waiting_callers_.find(answer.call);
  if (it == waiting_callers_.end()) return;
  const WaitingCaller waiting = std::move(it->second);
  waiting_callers_.erase(it);
  const Instant now = Now().now;
  RecordCall(metrics_, waiting.kind, answer.outcome, now - waiting.arrived);
  if (stop_deadline_.has_value()) idle_since_ = std::max(idle_since_, now);
  HttpResponse response = codec_.Encode(answer);
  response.close_connection = stop_deadline_.has_value();
  waiting.responder.Send(response);
}

}  // namespace hyssopbarrow::fleet
