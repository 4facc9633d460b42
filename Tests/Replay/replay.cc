#include "Replay/replay.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kObserveInterval = std::chrono::milliseconds(100);

/// Time after the last deadline in which late answers may still arrive.
constexpr Duration kWaitAfterDeadline = std::chrono::seconds(10);

/// Resubmissions open new deadlines, so the wait repeats up to this often.
constexpr int kMaxWaitRounds = 8;

constexpr Duration kWarmUpTime = std::chrono::seconds(3);
constexpr Duration kClientToEntryDelay = std::chrono::milliseconds(1);
constexpr Duration kNoEntryRetryDelay = std::chrono::milliseconds(500);

/// A caller of a paused entry host gives up this long after its deadline.
constexpr Duration kCallerTimeoutMargin = std::chrono::seconds(1);

/// Random wait of a caller before it submits a request again.
constexpr int kMinBackoffMs = 200;
constexpr int kMaxBackoffMs = 1000;

constexpr std::int64_t kPercent = 100;
constexpr std::int64_t kDefaultDeadlineMs = 5000;
constexpr std::int64_t kDefaultResubmissions = 3;
constexpr std::int64_t kHostsPerRack = 4;

Duration Milliseconds(std::int64_t n) { return std::chrono::milliseconds(n); }

nlohmann::json ParseFieldValue(const std::string& text) {
  if (text == "true" || text == "false") return text == "true";
  const auto n = ParseInteger<std::int64_t>(text);
  if (n.has_value()) return *n;
  return text;
}

nlohmann::json ParseFieldValues(
    const std::map<std::string, std::string>& fields) {
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [name, text] : fields) json[name] = ParseFieldValue(text);
  return json;
}

absl::Status ErrorAt(const TraceEvent& event, const std::string& text) {
  return absl::InvalidArgumentError(StrCat("line ", event.line, ": ", text));
}

std::string ConfigRowKey(const std::string& kind, const std::string& name) {
  return StrCat(kConfigPrefix, kind, "/", name);
}

std::optional<StoreMode> ParseStoreMode(const std::string& name) {
  static const std::map<std::string, StoreMode> kModes = {
      {"up", StoreMode::kUp},
      {"down", StoreMode::kDown},
      {"silent", StoreMode::kSilent},
      {"slow", StoreMode::kSlow},
      {"lossy", StoreMode::kLossy}};
  const StoreMode* mode = Find(kModes, name);
  return mode == nullptr ? std::nullopt : std::optional(*mode);
}

std::optional<WorkerMode> ParseWorkerMode(const std::string& name) {
  static const std::map<std::string, WorkerMode> kModes = {
      {"answers", WorkerMode::kAnswers},
      {"fails-fast", WorkerMode::kFailsFast},
      {"hangs", WorkerMode::kHangs},
      {"slow", WorkerMode::kSlow},
      {"unreachable", WorkerMode::kUnreachable}};
  const WorkerMode* mode = Find(kModes, name);
  return mode == nullptr ? std::nullopt : std::optional(*mode);
}

}  // namespace

Replay::Replay(std::uint64_t seed)
    : random_(seed),
      network_(random_),
      store_(schedule_, random_),
      workers_(schedule_, checker_),
      fleet_(schedule_, network_, store_, workers_, checker_, random_),
      start_time_(schedule_.Now()) {
  store_.on_commit = [this](const Transaction& transaction) {
    HandleCommit(transaction);
  };
  fleet_.SetAnswerCallback(
      [this](std::size_t submission, CallerOutcome outcome) {
        HandleAnswer(submission, outcome);
      });
}

absl::Status Replay::Run(const std::vector<TraceEvent>& events) {
  for (const TraceEvent& event : events) {
    if (!table_committed_ && event.time > Duration::zero()) {
      CommitInitialTable();
    }
    if (table_committed_) schedule_.RunUntil(start_time_ + event.time);
    if (absl::Status s = ApplyEvent(event); !s.ok()) return s;
  }
  for (auto& [name, load] : loads_) ++load.generation;
  WaitForOpenSubmissions();
  checker_.Finish(schedule_.Now());
  return absl::OkStatus();
}

void Replay::WaitForOpenSubmissions() {
  const Record& record = checker_.record();
  for (int n = 0; n < kMaxWaitRounds; ++n) {
    Instant latest = schedule_.Now();
    for (std::size_t submission : record.open_submissions) {
      latest = std::max(latest, record.submissions[submission].deadline);
    }
    schedule_.RunUntil(latest + kWaitAfterDeadline);
    if (record.open_submissions.empty()) return;
  }
}

ReplayResult Replay::Result() const {
  ReplayResult result{checker_.violations(),
                      Figures(measures_, checker_.record())};
  for (auto& [guarantee, violation] : result.violations) {
    violation.first_time -= start_time_.time_since_epoch();
  }
  const double seconds =
      std::chrono::duration<double>(schedule_.Now() - start_time_).count();
  auto rate = [&](std::int64_t n) { return static_cast<double>(n) / seconds; };
  result.figures["store_reads_per_s"] = rate(store_.reads());
  result.figures["store_writes_per_s"] = rate(store_.writes());
  constexpr double kBytesPerKb = 1000;
  for (const auto& [name, traffic] : fleet_.traffic()) {
    double& messages = result.figures["node_messages_per_s"];
    double& bytes = result.figures["node_kb_per_s"];
    messages = std::max(messages, rate(traffic.messages));
    double& control = result.figures["node_control_kb_per_s"];
    bytes = std::max(bytes, traffic.bytes / seconds / kBytesPerKb);
    control = std::max(control, traffic.control_bytes / seconds / kBytesPerKb);
  }
  return result;
}

absl::Status Replay::ApplyEvent(const TraceEvent& event) {
  const bool set_up = event.verb == "row" || event.verb == "hosts" ||
                      event.verb == "entry" || event.verb == "key";
  if (set_up && table_committed_) {
    return ErrorAt(event,
                   StrCat("verb '", event.verb, "' is only allowed at 0 ms"));
  }
  if (event.verb == "row" || event.verb == "key") return AddInitialRow(event);
  if (event.verb == "hosts") return AddHosts(event);
  if (event.verb == "load") {
    SetLoad(event);
    return absl::OkStatus();
  }
  if (event.verb == "burst" || event.verb == "cancel") {
    auto load = loads_.find(event.words[0]);
    if (load == loads_.end()) {
      return ErrorAt(event,
                     StrCat("load '", event.words[0], "' does not exist"));
    }
    if (event.verb == "cancel") CancelRequests(load->second);
    for (auto n = event.Number("count", 0); n > 0; --n) {
      IssueRequest(load->second);
    }
    return absl::OkStatus();
  }
  if (event.verb == "set") {
    ChangeRow(ConfigRowKey(event.words[0], event.words[1]),
              ParseFieldValues(event.fields));
    return absl::OkStatus();
  }
  if (event.verb == "race") {
    RaceChanges(event);
    return absl::OkStatus();
  }
  return ApplyFaultEvent(event);
}

absl::Status Replay::ApplyFaultEvent(const TraceEvent& event) {
  const std::string a = event.words.empty() ? "" : event.words[0];
  const std::string b = event.words.size() < 2 ? "" : event.words[1];
  const Duration duration = Milliseconds(event.Number("ms", 0));
  if (event.verb == "store") {
    const auto mode = ParseStoreMode(a);
    if (!mode.has_value()) {
      return ErrorAt(event, StrCat("unknown store mode '", a, "'"));
    }
    store_.SetMode(*mode);
  } else if (event.verb == "worker") {
    const auto mode = ParseWorkerMode(b);
    if (!mode.has_value()) {
      return ErrorAt(event, StrCat("unknown worker mode '", b, "'"));
    }
    workers_.SetMode(a, *mode);
  } else if (event.verb == "cut") {
    network_.Cut(a, b);
  } else if (event.verb == "heal") {
    network_.Heal(a, b);
  } else if (event.verb == "loss") {
    network_.SetLossPercent(ParseInteger<int>(a).value_or(0));
  } else if (event.verb == "silence" && a == "workers") {
    fleet_.SilenceWorkerConnections();
  } else if (event.verb == "silence") {
    fleet_.SilenceLink(a, b);
  } else if (event.verb == "pause") {
    fleet_.Pause(a, duration);
  } else if (event.verb == "pause-dispatcher") {
    fleet_.Pause(fleet_.DispatcherOf({a, b}), duration);
  } else {
    return ApplyFleetEvent(event);
  }
  return absl::OkStatus();
}

absl::Status Replay::ApplyFleetEvent(const TraceEvent& event) {
  if (event.verb == "end") return absl::OkStatus();
  const std::string& name = event.words[0];
  if (event.verb == "entry") {
    const std::string data_centre = event.Text("dc", "");
    fleet_.Start(name, data_centre);
    if (std::find(data_centres_.begin(), data_centres_.end(), data_centre) ==
        data_centres_.end()) {
      data_centres_.push_back(data_centre);
    }
  } else if (event.verb == "start") {
    fleet_.Restart(name);
  } else if (event.verb == "kill") {
    fleet_.Kill(name);
  } else if (event.verb == "stop") {
    fleet_.Stop(name);
  } else {
    return ErrorAt(event,
                   StrCat("verb '", event.verb, "' is not allowed here"));
  }
  return absl::OkStatus();
}

absl::Status Replay::AddInitialRow(const TraceEvent& event) {
  nlohmann::json value = ParseFieldValues(event.fields);
  if (event.verb == "row") {
    initial_rows_.push_back(
        {ConfigRowKey(event.words[0], event.words[1]), value, 0});
    return absl::OkStatus();
  }
  value["digest"] = Sha256Hex(event.words[0]);
  initial_rows_.push_back({ConfigRowKey("key", event.words[0]), value, 0});
  return absl::OkStatus();
}

absl::Status Replay::AddHosts(const TraceEvent& event) {
  const std::int64_t count = event.Number("count", 1);
  const std::int64_t slots = event.Number("slots", 8);
  const std::string data_centre = event.Text("dc", "");
  for (std::int64_t n = 1; n <= count; ++n) {
    const std::string name = StrCat(event.words[0], "-", n);
    const std::int64_t number = host_count_++;
    initial_rows_.push_back(
        {ConfigRowKey("host", name),
         {{"pool", event.Text("pool", "")},
          {"data_centre", data_centre},
          {"rack", StrCat(data_centre, "-", number / kHostsPerRack)},
          {"address",
           StrCat("10.0.", number / 250, ".", number % 250 + 1, ":80")},
          {"slots", slots}},
         0});
    workers_.Add(name, data_centre, slots);
  }
  return absl::OkStatus();
}

void Replay::CommitInitialTable() {
  table_committed_ = true;
  Transaction transaction;
  for (const Row& row : initial_rows_) {
    transaction.writes.push_back({row.key, row.value});
  }
  transaction.writes.push_back(
      {std::string(kConfigRevisionKey), {{"number", 1}}});
  store_.table().Commit(transaction);
  HandleCommit(transaction);
  Observe();
  schedule_.RunUntil(start_time_ + kWarmUpTime);
  start_time_ = schedule_.Now();
}

void Replay::HandleCommit(const Transaction& transaction) {
  const bool changes_configuration = std::any_of(
      transaction.writes.begin(), transaction.writes.end(),
      [](const RowWrite& write) { return write.key == kConfigRevisionKey; });
  if (!changes_configuration) return;
  const auto snapshot = ParseSnapshot(store_.table().Read(kConfigPrefix));
  if (snapshot.ok()) checker_.RecordTableCommit(*snapshot, schedule_.Now());
}

bool Replay::CommitChange(const Row& row, const Row& revision,
                          const nlohmann::json& change) {
  nlohmann::json value = row.value;
  value.update(change);
  nlohmann::json next = revision.value;
  next["number"] = revision.value["number"].get<std::int64_t>() + 1;
  const Transaction transaction{
      .conditions = {{row.key, row.revision},
                     {revision.key, revision.revision}},
      .writes = {{row.key, value}, {revision.key, next}}};
  const StoreReply reply = store_.table().Commit(transaction);
  if (reply.status != StoreStatus::kOk) return false;
  HandleCommit(transaction);
  return true;
}

void Replay::ChangeRow(const std::string& key, const nlohmann::json& change) {
  const auto revision = store_.table().Read(kConfigRevisionKey);
  for (const Row& row : store_.table().Read(key)) {
    if (row.key == key) CommitChange(row, revision[0], change);
  }
}

void Replay::RaceChanges(const TraceEvent& event) {
  const std::string& field = event.words[2];
  const Row revision = store_.table().Read(kConfigRevisionKey)[0];
  const std::string key = ConfigRowKey(event.words[0], event.words[1]);
  const Row row = store_.table().Read(key)[0];
  CommitChange(row, revision, {{field, event.Number("first", 0)}});
  CommitChange(row, revision, {{field, event.Number("second", 0)}});
}

std::string Replay::DataCentreOf(const TraceEvent& load) {
  std::string fixed = load.Text("dc", "");
  if (!fixed.empty()) return fixed;
  return data_centres_[random_() % data_centres_.size()];
}

void Replay::SetLoad(const TraceEvent& event) {
  Load& load = loads_[event.words[0]];
  ++load.generation;
  TraceEvent merged = event;
  merged.fields.insert(load.spec.fields.begin(), load.spec.fields.end());
  load.spec = merged;
  ScheduleNextRequest(event.words[0], load.generation);
}

void Replay::ScheduleNextRequest(const std::string& name,
                                 std::int64_t generation) {
  const auto rate = static_cast<double>(loads_.at(name).spec.Number("rate", 0));
  if (rate <= 0) return;
  const double seconds = std::exponential_distribution<double>(rate)(random_);
  constexpr double kUsPerSecond = 1e6;
  const Duration wait(static_cast<std::int64_t>(seconds * kUsPerSecond));
  schedule_.After(wait, [this, name, generation] {
    Load& load = loads_.at(name);
    if (load.generation != generation) return;
    IssueRequest(load);
    ScheduleNextRequest(name, generation);
  });
}

void Replay::IssueRequest(Load& load) {
  const TraceEvent& spec = load.spec;
  const std::string queue = spec.Text("queue", "");
  const std::string key = spec.Text("key", "");
  const Key* row = Find(checker_.record().CurrentTable().keys, key);
  const std::int64_t service = spec.Number("service_ms", 100);
  const std::int64_t unrepeatable = spec.Number("unrepeatable_percent", 0);
  const std::size_t request = checker_.AddRequest(
      {.load = spec.words[0],
       .queue = queue,
       .team = row == nullptr ? "" : row->team,
       .key = key,
       .unrepeatable =
           static_cast<std::int64_t>(random_() % kPercent) < unrepeatable,
       .service_time = Milliseconds(std::uniform_int_distribution<std::int64_t>(
           service / 2, service * 3 / 2)(random_)),
       .resubmissions_left =
           spec.Number("resubmissions", kDefaultResubmissions)});
  load.requests.push_back(request);
  Submit(request);
}

void Replay::Submit(std::size_t request) {
  const RequestRecord& record = checker_.record().requests[request];
  const TraceEvent& spec = loads_.at(record.load).spec;
  const std::string entry = fleet_.PickEntry(DataCentreOf(spec));
  if (entry.empty()) {
    schedule_.After(kNoEntryRetryDelay, [this, request] { Resubmit(request); });
    return;
  }
  schedule_.After(kClientToEntryDelay, [this, request, entry] {
    fleet_.SubmitCall(entry, [this, request](const std::string& name) {
      return MakeArrival(request, name);
    });
  });
}

Arrival Replay::MakeArrival(std::size_t request, const std::string& entry) {
  const RequestRecord& record = checker_.record().requests[request];
  const bool may_have_run = record.submissions > record.not_run_answers;
  const Duration timeout = Milliseconds(
      loads_.at(record.load).spec.Number("deadline_ms", kDefaultDeadlineMs));
  const std::size_t submission =
      checker_.AddSubmission({.request = request,
                              .entry = entry,
                              .arrived = schedule_.Now(),
                              .deadline = schedule_.Now() + timeout});
  ScheduleCallerTimeout(request, submission);
  return {
      .submission = submission,
      .queue = record.queue,
      .key = record.key,
      .idempotency_key = record.unrepeatable ? StrCat("request-", request) : "",
      .unrepeatable = record.unrepeatable,
      .resubmission = may_have_run,
      .timeout = timeout,
      .service_time = record.service_time};
}

void Replay::ScheduleCallerTimeout(std::size_t request,
                                   std::size_t submission) {
  const RequestRecord& record = checker_.record().requests[request];
  const std::int64_t patience_ms =
      loads_.at(record.load).spec.Number("patience_ms", 0);
  const SubmissionRecord& submitted = checker_.record().submissions[submission];
  const Instant give_up_time = submitted.deadline + kCallerTimeoutMargin;
  const Instant time = patience_ms > 0
                           ? submitted.arrived + Milliseconds(patience_ms)
                           : give_up_time;
  schedule_.At(time, [this, request, submission, patience_ms] {
    const SubmissionRecord& current = checker_.record().submissions[submission];
    if (!current.open) return;
    if (patience_ms == 0 && !fleet_.IsPaused(current.entry)) return;
    checker_.RecordCallerDisconnect(submission);
    fleet_.DisconnectCaller(current.entry, submission);
    Resubmit(request);
  });
}

void Replay::HandleAnswer(std::size_t submission, CallerOutcome outcome) {
  const SubmissionRecord& record = checker_.record().submissions[submission];
  if (outcome == CallerOutcome::kAnswered || record.caller_disconnected) return;
  const int backoff_ms =
      std::uniform_int_distribution<int>(kMinBackoffMs, kMaxBackoffMs)(random_);
  schedule_.After(Milliseconds(backoff_ms),
                  [this, request = record.request] { Resubmit(request); });
}

void Replay::Resubmit(std::size_t request) {
  if (checker_.ConsumeResubmission(request)) Submit(request);
}

void Replay::CancelRequests(Load& load) {
  checker_.AbandonRequests(load.requests);
  const std::set<std::size_t> open = checker_.record().open_submissions;
  for (std::size_t submission : open) {
    const SubmissionRecord& record = checker_.record().submissions[submission];
    if (!checker_.record().requests[record.request].abandoned) continue;
    checker_.RecordCallerDisconnect(submission);
    fleet_.DisconnectCaller(record.entry, submission);
  }
}

void Replay::Observe() {
  fleet_.Observe();
  checker_.Observe(schedule_.Now());
  AddSample(measures_, checker_.record(), schedule_.Now());
  schedule_.After(kObserveInterval, [this] { Observe(); });
}

}  // namespace hyssopbarrow
