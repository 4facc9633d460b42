#include "Daemon/daemon.h"

#include <utility>
#include <variant>

#include "Daemon/logging.h"
#include "Daemon/status_api.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kPeerUpdateInterval = std::chrono::milliseconds(200);
/// Limit at a planned stop, after the last call has ended, for storing
/// outcomes, releasing rights, removing the member row and sending the last
/// responses.
constexpr Duration kSettleTimeout = std::chrono::seconds(10);

NodeIdentity MakeNodeIdentity(const Settings& settings,
                              std::int64_t incarnation) {
  return {.name = settings.node_name,
          .data_centre = settings.data_centre,
          .incarnation = incarnation};
}

PeerLinkOptions MakeLinkOptions(const Settings& settings,
                                std::int64_t incarnation) {
  return {.name = settings.node_name,
          .data_centre = settings.data_centre,
          .incarnation = incarnation,
          .secret = settings.peers->secret,
          .seeds = settings.peers->seeds,
          .random_seed = static_cast<std::uint64_t>(incarnation),
          .limits = {}};
}

SlotResult ToSlotResult(TransferResult result, int status) {
  constexpr int kFirstServerError = 500;
  switch (result) {
    case TransferResult::kComplete:
      return status < kFirstServerError ? SlotResult::kSucceeded
                                        : SlotResult::kFailed;
    case TransferResult::kNotConnected:
      return SlotResult::kUnreachable;
    case TransferResult::kBroken:
      return SlotResult::kBroken;
    case TransferResult::kTimedOut:
      return SlotResult::kTimedOut;
  }
  return SlotResult::kBroken;
}

}  // namespace

Daemon::Daemon(EventLoop& loop, const Settings& settings,
               std::int64_t incarnation)
    : loop_(loop),
      settings_(settings),
      node_(MakeNodeIdentity(settings, incarnation)),
      client_(loop, HttpClientLimits{}),
      table_(client_, settings.table),
      admin_(loop, table_, node_, telemetry_,
             StrCat(settings.node_name, "-", incarnation)),
      caller_server_(loop, HttpServerLimits{},
                     [this](HttpRequest request, const Responder& responder) {
                       HandleCallerRequest(std::move(request), responder);
                     }),
      operator_server_(
          loop, HttpServerLimits{},
          [this](const HttpRequest& request, const Responder& responder) {
            if (request.method != "GET") ProcessEvent(ConfigChangeExpected{});
            HandleOperatorRequest(request, responder);
          }) {}

absl::Status Daemon::Start() {
  if (absl::Status s = caller_server_.Listen(settings_.caller_listen);
      !s.ok()) {
    return s;
  }
  if (absl::Status s = operator_server_.Listen(settings_.operator_listen);
      !s.ok()) {
    return s;
  }
  if (settings_.peers.has_value()) {
    if (absl::Status s = StartPeers(*settings_.peers); !s.ok()) return s;
  }
  Log(LogLevel::kInfo, "started",
      {{"node", settings_.node_name},
       {"callers", ToString(CallerAddress())},
       {"operators", ToString(OperatorAddress())}});
  ScheduleTick();
  return absl::OkStatus();
}

void Daemon::RequestStop() {
  if (node_.membership.stopping) return;
  Log(LogLevel::kInfo, "stopping", {{"calls", StrCat(calls_.size())}});
  ProcessEvent(StopRequested{std::chrono::milliseconds(settings_.drain_ms)});
}

bool Daemon::IsMemberRowRemoved() const {
  return links_ == nullptr || node_.membership.registration.row_removed;
}

bool Daemon::AreStoreWritesSettled() const {
  return IsMemberRowRemoved() && AreRightsReleased(node_.ceilings) &&
         AreClaimsSettled(node_.claims);
}

bool Daemon::IsStopped() {
  const bool is_idle = calls_.empty() && node_.gateway.calls.empty();
  if (!RefusesCalls(node_.membership, loop_.Now()) || !is_idle) return false;
  if (!std::exchange(shutting_down_, true)) {
    caller_server_.BeginShutdown();
    settle_deadline_ = loop_.Now() + kSettleTimeout;
  }
  if (loop_.Now() >= settle_deadline_) return true;
  return AreStoreWritesSettled() && caller_server_.OpenConnections() == 0;
}

absl::Status Daemon::StartPeers(const PeerSettings& peers) {
  links_ = std::make_unique<PeerLinks>(
      loop_, MakeLinkOptions(settings_, node_.membership.self.incarnation),
      MakeLinkCallbacks());
  absl::Status status = links_->Listen(peers.listen, peers.advertise);
  if (!status.ok()) return status;
  node_.membership.self.address = links_->advertised();
  admin_.SetLinkStatus([this] { return LinkStatusJson(links_->traffic()); });
  return absl::OkStatus();
}

PeerLinkCallbacks Daemon::MakeLinkCallbacks() {
  return {.on_message =
              [this](PeerEnvelope envelope) {
                ProcessEvent(PeerMessageReceived{std::move(envelope)});
              },
          .on_link_change =
              [this](const std::string& peer, bool connected) {
                Log(LogLevel::kInfo, connected ? "peer linked" : "peer lost",
                    {{"peer", peer}});
                ProcessEvent(PeerLinkChanged{peer, connected});
              },
          .on_link_error =
              [](const std::string& peer, const std::string& why) {
                Log(LogLevel::kWarn, "peer link closed",
                    {{"peer", peer}, {"why", why}});
              }};
}

void Daemon::UpdatePeers() {
  if (links_ == nullptr) return;
  if (loop_.Now() >= next_peer_update_) {
    next_peer_update_ = loop_.Now() + kPeerUpdateInterval;
    std::map<std::string, Address> known;
    for (const auto& [name, member] : node_.membership.members) {
      absl::StatusOr<Address> address = ParseAddress(member.address);
      if (address.ok()) known.emplace(name, *address);
    }
    std::vector<std::string> wanted;
    for (const WantedLink& link : WantedLinks(node_.membership, loop_.Now())) {
      wanted.push_back(link.peer);
    }
    links_->SetPeers(std::move(known), std::move(wanted));
  }
  links_->Tick();
}

void Daemon::LogRejectedSnapshot() {
  const std::string& why = node_.configuration.rejection_error;
  if (why == logged_rejection_) return;
  logged_rejection_ = why;
  if (why.empty()) return;
  Log(LogLevel::kError, "snapshot rejected", {{"why", why}});
}

void Daemon::ScheduleTick() {
  loop_.CallAt(loop_.Now() + kTickInterval, [this] {
    ProcessEvent(Tick{});
    caller_server_.EnforceLimits();
    operator_server_.EnforceLimits();
    UpdatePeers();
    LogRejectedSnapshot();
    ScheduleTick();
  });
}

std::string Daemon::RequestId(std::int64_t call) const {
  const NodeIdentity& self = node_.membership.self;
  return StrCat(self.name, "-", self.incarnation, "-", call);
}

void Daemon::HandleCallerRequest(HttpRequest request,
                                 const Responder& responder) {
  if (request.path == "/healthz") {
    const bool ready =
        node_.configuration.snapshot.has_value() && !node_.membership.stopping;
    return responder.Send({.status = ready ? 200 : 503,
                           .headers = {},
                           .body = ready ? "ready\n" : "not ready\n"});
  }
  const std::int64_t number = next_call_++;
  absl::StatusOr<CallArrived> call = ParseCall(request, number, loop_.Now());
  if (!call.ok()) return responder.Send(BadRequestResponse(call.status()));
  responder.OnDisconnect([this, number] {
    if (calls_.erase(number) > 0) ProcessEvent(CallerDisconnected{number});
  });
  calls_.emplace(
      number,
      PendingCall{.queue = call->queue,
                  .body = std::move(request.body),
                  .content_type =
                      FindHeader(request.headers, "content-type").value_or(""),
                  .responder = responder,
                  .arrived_at = loop_.Now()});
  ProcessEvent(*call);
}

void Daemon::HandleOperatorRequest(const HttpRequest& request,
                                   const Responder& responder) {
  if (request.path == "/metrics") {
    return responder.Send(MetricsResponse(telemetry_, node_));
  }
  admin_.HandleRequest(request, responder);
}

void Daemon::ProcessEvent(const Event& event) {
  Execute(HandleEvent(node_, event, loop_.Now()));
}

void Daemon::Execute(const Outbox& out) {
  if (links_ != nullptr) {
    for (const PeerSend& send : out.peer_sends) {
      links_->Send(send.to, send.message);
    }
  }
  for (const StoreRequest& request : out.store_requests) Execute(request);
  for (const WorkerCancel& cancel : out.worker_cancels) {
    CancelAttempt(cancel.attempt);
  }
  for (const WorkerSend& send : out.worker_sends) Execute(send);
  for (const CallAnswer& answer : out.call_answers) Execute(answer);
}

void Daemon::Execute(const StoreRequest& request) {
  auto reply = [this, id = request.id](const StoreReply& store_reply) {
    ProcessEvent(StoreReplied{id, store_reply});
  };
  if (const auto* read = std::get_if<StoreRead>(&request.operation)) {
    table_.Read(read->prefix, request.deadline, reply);
  } else {
    table_.Commit(std::get<Transaction>(request.operation), request.deadline,
                  reply);
  }
}

void Daemon::Execute(const WorkerSend& send) {
  PendingCall& call = calls_.at(send.call);
  if (!call.started_at.has_value()) call.started_at = loop_.Now();
  absl::StatusOr<Address> address = ParseAddress(send.address);
  if (!address.ok()) {
    return ProcessEvent(AttemptEnded{send.attempt, SlotResult::kUnreachable});
  }
  ClientRequest request{
      .address = *address,
      .request = {.method = "POST",
                  .path = StrCat("/run/", call.queue),
                  .query = {},
                  .headers = {{"x-request-id", RequestId(send.call)}},
                  .body = call.body},
      .deadline = send.deadline,
      .fresh_connection = send.unrepeatable};
  if (!call.content_type.empty()) {
    request.request.headers.push_back({"content-type", call.content_type});
  }
  const std::int64_t exchange =
      client_.Send(request, [this, attempt = send.attempt](
                                TransferResult result, HttpResponse response) {
        HandleAttemptEnd(attempt, result, std::move(response));
      });
  exchange_by_attempt_.emplace(send.attempt, exchange);
}

void Daemon::HandleAttemptEnd(std::int64_t attempt, TransferResult result,
                              HttpResponse response) {
  exchange_by_attempt_.erase(attempt);
  const SlotResult slot_result = ToSlotResult(result, response.status);
  const AttemptEnded ended{attempt, slot_result, MakeRecordedAnswer(response)};
  response_by_attempt_.emplace(attempt, std::move(response));
  ProcessEvent(ended);
  response_by_attempt_.erase(attempt);
}

void Daemon::CancelAttempt(std::int64_t attempt) {
  auto it = exchange_by_attempt_.find(attempt);
  if (it == exchange_by_attempt_.end()) return;
  client_.Cancel(it->second);
  exchange_by_attempt_.erase(it);
}

HttpResponse Daemon::MakeResponse(const CallAnswer& answer,
                                  const std::string& id) const {
  if (answer.attempt == 0 && answer.recorded.has_value()) {
    return RecordedResponse(*answer.recorded, id);
  }
  if (answer.outcome != Outcome::kAnswered) {
    return RefusalResponse(answer.outcome, answer.reason, id);
  }
  return AnsweredResponse(response_by_attempt_.at(answer.attempt), id);
}

void Daemon::Execute(const CallAnswer& answer) {
  auto it = calls_.find(answer.call);
  if (it == calls_.end()) return;
  const Responder responder = it->second.responder;
  const auto& snapshot = node_.configuration.snapshot;
  RecordAnswer(telemetry_, snapshot.has_value() ? &*snapshot : nullptr,
               it->second, answer, loop_.Now());
  calls_.erase(it);
  const std::string id = RequestId(answer.call);
  HttpResponse response = MakeResponse(answer, id);
  response.close_connection = node_.membership.stopping;
  responder.Send(response);
}

}  // namespace hyssopbarrow
