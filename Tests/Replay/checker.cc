#include "Replay/checker.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

/// Time within which each change of the table must take effect at every entry
/// host in reach.
constexpr Duration kKeyWithdrawalLimit = std::chrono::seconds(5);
constexpr Duration kHostDrainLimit = std::chrono::seconds(5);
constexpr Duration kLoweredCeilingLimit = std::chrono::seconds(5);
constexpr Duration kChangeInForceLimit = std::chrono::seconds(12);

/// Time after its deadline within which a call may still be answered.
constexpr Duration kAnswerDeadlineMargin = std::chrono::milliseconds(500);

/// Versions that were in force at any time from `since` on, newest first.
std::vector<const Snapshot*> VersionsSince(const Record& record,
                                           Instant since) {
  std::vector<const Snapshot*> versions;
  for (auto it = record.table_versions.rbegin();
       it != record.table_versions.rend(); ++it) {
    versions.push_back(&it->second.snapshot);
    if (it->second.committed <= since) break;
  }
  return versions;
}

bool MayServe(const Snapshot& table, const std::string& host,
              const std::string& queue) {
  const Host* row = Find(table.hosts, host);
  const Queue* wanted = Find(table.queues, queue);
  if (row == nullptr || wanted == nullptr) return false;
  const Pool* pool = Find(table.pools, row->pool);
  return row->pool == wanted->pool || (pool->spare && wanted->use_spare);
}

bool IsServing(const Snapshot& table, const std::string& host) {
  const Host* row = Find(table.hosts, host);
  return row != nullptr && row->state == HostState::kServing;
}

bool IsAuthorized(const Snapshot& table, const RequestRecord& request) {
  const Queue* queue = Find(table.queues, request.queue);
  const Key* key = Find(table.keys, request.key);
  const bool open = queue != nullptr && queue->open && request.key.empty();
  return open ||
         (key != nullptr && !key->withdrawn && key->team == request.team);
}

template <typename Test>
bool AnyVersion(const Record& record, Instant since, Test test) {
  const auto versions = VersionsSince(record, since);
  return std::any_of(versions.begin(), versions.end(),
                     [&](const Snapshot* table) { return test(*table); });
}

}  // namespace

void Checker::ReportViolation(const std::string& guarantee, Instant now,
                              const std::string& detail) {
  Violation& violation = violations_[guarantee];
  if (violation.count++ > 0) return;
  violation.first_time = now;
  violation.first_detail = detail;
}

bool Checker::WasReachable(const std::string& entry, Instant since,
                           Instant now) const {
  const EntryRecord& record = record_.entries.at(entry);
  return record.last_unreachable < since && record.last_paused < since &&
         since < now;
}

void Checker::RecordTableCommit(const Snapshot& snapshot, Instant now) {
  std::map<std::string, std::string> by_address;
  for (const auto& [name, host] : snapshot.hosts) {
    auto [it, inserted] = by_address.emplace(host.address, name);
    if (inserted) continue;
    ReportViolation(
        "one-pool", now,
        StrCat(name, " and ", it->second, " have the same address"));
  }
  record_.table_versions[snapshot.revision] = {now, snapshot};
}

void Checker::RecordEntryStart(const std::string& entry,
                               const std::string& data_centre, Instant now) {
  record_.entries[entry] = {.data_centre = data_centre,
                            .running = true,
                            .last_unreachable = now,
                            .last_paused = now};
}

void Checker::RecordEntryKill(const std::string& entry) {
  record_.entries.at(entry).running = false;
  for (auto it = record_.open_submissions.begin();
       it != record_.open_submissions.end();) {
    SubmissionRecord& submission = record_.submissions[*it];
    if (submission.entry != entry) {
      ++it;
      continue;
    }
    submission.entry_killed = true;
    submission.open = false;
    it = record_.open_submissions.erase(it);
  }
}

void Checker::RecordEntryPause(const std::string& entry, Instant now) {
  record_.entries.at(entry).paused = true;
  record_.entries.at(entry).last_paused = now;
}

void Checker::RecordEntryResume(const std::string& entry, Instant now) {
  record_.entries.at(entry).paused = false;
  record_.entries.at(entry).last_paused = now;
}

void Checker::RecordEntryUnreachable(const std::string& entry, Instant now) {
  record_.entries.at(entry).last_unreachable = now;
}

void Checker::RecordStopStart(const std::string& entry) {
  for (std::size_t number : record_.open_submissions) {
    SubmissionRecord& submission = record_.submissions[number];
    if (submission.entry == entry) submission.open_at_stop = true;
  }
}

void Checker::RecordStopEnd(const std::string& entry, Instant now) {
  for (std::size_t number : record_.open_submissions) {
    if (record_.submissions[number].entry != entry) continue;
    ReportViolation("planned-stop", now,
                    StrCat("submission ", number, " was still open when ",
                           entry, " stopped"));
  }
}

void Checker::RecordAdoption(const std::string& entry, const Snapshot& snapshot,
                             Instant now) {
  std::int64_t& revision = record_.entries.at(entry).adopted_revision;
  if (snapshot.revision < revision) {
    ReportViolation("no-revert", now,
                    StrCat(entry, " went from revision ", revision, " back to ",
                           snapshot.revision));
  }
  revision = snapshot.revision;
  auto version = record_.table_versions.find(snapshot.revision);
  const bool same = version != record_.table_versions.end() &&
                    version->second.snapshot == snapshot;
  if (same) return;
  ReportViolation("no-revert", now,
                  StrCat(entry, " adopted a revision ", revision,
                         " that was never committed to the table"));
}

std::size_t Checker::AddRequest(RequestRecord request) {
  record_.requests.push_back(std::move(request));
  return record_.requests.size() - 1;
}

std::size_t Checker::AddSubmission(SubmissionRecord submission) {
  ++record_.requests[submission.request].submissions;
  record_.submissions.push_back(std::move(submission));
  record_.open_submissions.insert(record_.submissions.size() - 1);
  return record_.submissions.size() - 1;
}

void Checker::RecordCallerDisconnect(std::size_t submission) {
  SubmissionRecord& record = record_.submissions[submission];
  record.caller_disconnected = true;
  record.open = false;
  record_.open_submissions.erase(submission);
}

bool Checker::ConsumeResubmission(std::size_t request) {
  RequestRecord& record = record_.requests[request];
  if (record.answered || record.abandoned || record.resubmissions_left == 0) {
    return false;
  }
  --record.resubmissions_left;
  return true;
}

void Checker::AbandonRequests(const std::vector<std::size_t>& requests) {
  for (std::size_t request : requests) {
    if (!record_.requests[request].answered) {
      record_.requests[request].abandoned = true;
    }
  }
}

void Checker::CheckNotRun(const ReceivedAnswer& answer, Instant now) {
  const SubmissionRecord& submission = record_.submissions[answer.submission];
  RequestRecord& request = record_.requests[submission.request];
  ++request.not_run_answers;
  if (submission.runs > 0) {
    ReportViolation(
        "not-run", now,
        StrCat("submission ", answer.submission, " at ", submission.entry,
               " reached a worker but was answered not-run (",
               ToString(answer.reason), ")"));
  } else if (request.unrepeatable && request.runs > 0) {
    ReportViolation(
        "not-run-resubmitted", now,
        StrCat("request ", submission.request,
               " reached a worker, its submission ", answer.submission, " at ",
               submission.entry, " was answered not-run (",
               ToString(answer.reason), ")"));
  }
}

void Checker::CheckStop(const ReceivedAnswer& answer, Instant now) {
  const SubmissionRecord& submission = record_.submissions[answer.submission];
  const bool cut_off = answer.reason == Reason::kStopping ||
                       answer.reason == Reason::kDispatcherLost;
  if (!submission.open_at_stop || !cut_off) return;
  ReportViolation(
      "planned-stop", now,
      StrCat("submission ", answer.submission, " at ", submission.entry,
             " was cut off by a planned stop (", ToString(answer.reason), ")"));
}

void Checker::RecordAnswer(const ReceivedAnswer& answer, Instant now) {
  SubmissionRecord& submission = record_.submissions[answer.submission];
  if (submission.caller_disconnected || submission.entry_killed) return;
  if (submission.outcome.has_value()) {
    ReportViolation(
        "one-answer", now,
        StrCat("submission ", answer.submission, " was answered twice"));
  }
  if (answer.outcome == Outcome::kAnswered && !answer.from_own_run) {
    ReportViolation("own-answer", now,
                    StrCat("submission ", answer.submission,
                           " got the answer of another submission"));
  }
  if (answer.outcome == Outcome::kNotRun) CheckNotRun(answer, now);
  CheckStop(answer, now);
  const Instant latest =
      std::max(submission.deadline,
               record_.entries.at(submission.entry).last_paused) +
      kAnswerDeadlineMargin;
  if (now > latest) {
    ReportViolation(
        "deadline", now,
        StrCat("submission ", answer.submission, " at ", submission.entry,
               " was answered ", (now - submission.deadline).count() / 1000,
               " ms after its deadline"));
  }
  submission.outcome = answer.outcome;
  submission.open = false;
  record_.open_submissions.erase(answer.submission);
  RequestRecord& request = record_.requests[submission.request];
  if (answer.outcome == Outcome::kAnswered) request.answered = true;
  if (!IsAuthorized(record_.CurrentTable(), request)) {
    request.unauthorized = true;
  }
}

void Checker::CheckCeiling(const std::string& team, Instant now) {
  std::int64_t allowed = 0;
  for (const Snapshot* table :
       VersionsSince(record_, now - kLoweredCeilingLimit)) {
    const Team* row = Find(table->teams, team);
    if (row != nullptr) allowed = std::max(allowed, row->ceiling);
  }
  const std::int64_t running = record_.running_by_team[team];
  if (running <= allowed) return;
  ReportViolation("ceiling", now,
                  StrCat("team ", team, " has ", running,
                         " runs, its ceiling is ", allowed));
}

void Checker::CheckKey(const SubmissionRecord& submission,
                       const RequestRecord& request, Instant now) {
  auto granted = [&](const Snapshot& table) {
    return IsAuthorized(table, request);
  };
  const Instant since = submission.arrived - kKeyWithdrawalLimit;
  if (AnyVersion(record_, since, granted)) return;
  if (!WasReachable(submission.entry, since, now)) return;
  ReportViolation("key", now,
                  StrCat(submission.entry, " accepted the key '", request.key,
                         "' after its withdrawal"));
}

void Checker::CheckHost(const RunRecord& run, const RequestRecord& request,
                        Instant now) {
  const std::string& entry = record_.submissions[run.submission].entry;
  const Instant since = now - kHostDrainLimit;
  if (!WasReachable(entry, since, now)) return;
  auto serving = [&](const Snapshot& table) {
    return IsServing(table, run.host);
  };
  if (!AnyVersion(record_, since, serving)) {
    ReportViolation(
        "leaving", now,
        StrCat(entry, " sent new work to ", run.host, ", which is draining"));
  }
  auto fits = [&](const Snapshot& table) {
    return MayServe(table, run.host, request.queue);
  };
  if (!AnyVersion(record_, since, fits)) {
    ReportViolation("one-pool", now,
                    StrCat(run.host, " ran work of queue ", request.queue,
                           " of another pool"));
  }
}

void Checker::RecordRunStart(std::int64_t run, const RunRecord& record,
                             Instant now) {
  SubmissionRecord& submission = record_.submissions[record.submission];
  RequestRecord& request = record_.requests[submission.request];
  if (submission.outcome == Outcome::kNotRun) {
    ReportViolation("not-run", now,
                    StrCat("submission ", record.submission,
                           " was answered not-run but ran later"));
  }
  if (request.unrepeatable && request.runs > 0) {
    ReportViolation(
        "at-most-once", now,
        StrCat("request ", submission.request, " ran again at ", record.host));
  }
  ++request.runs;
  ++submission.runs;
  ++submission.running;
  if (!submission.first_start.has_value()) submission.first_start = now;
  record_.runs.emplace(run, record);
  ++record_.running_by_host[record.host];
  CheckKey(submission, request, now);
  CheckHost(record, request, now);
  if (request.team.empty()) return;
  ++record_.running_by_team[request.team];
  CheckCeiling(request.team, now);
}

void Checker::RecordRunEnd(std::int64_t run) {
  auto it = record_.runs.find(run);
  if (it == record_.runs.end()) return;
  SubmissionRecord& submission = record_.submissions[it->second.submission];
  --submission.running;
  --record_.running_by_host[it->second.host];
  const std::string& team = record_.requests[submission.request].team;
  if (!team.empty()) --record_.running_by_team[team];
  record_.runs.erase(it);
}

void Checker::Observe(Instant now) {
  const Instant since = now - kChangeInForceLimit;
  const auto versions = VersionsSince(record_, since);
  const std::int64_t required = versions.back()->revision;
  for (const auto& [name, entry] : record_.entries) {
    const bool behind = entry.adopted_revision < required;
    if (!entry.running || entry.paused || !behind) continue;
    if (!WasReachable(name, since, now)) continue;
    ReportViolation("in-force", now,
                    StrCat(name, " is at revision ", entry.adopted_revision,
                           ", ", required, " was committed before the limit"));
  }
}

void Checker::Finish(Instant now) {
  for (std::size_t number : record_.open_submissions) {
    const SubmissionRecord& submission = record_.submissions[number];
    ReportViolation("one-answer", now,
                    StrCat("submission ", number, " at ", submission.entry,
                           " has no answer"));
  }
}

}  // namespace hyssopbarrow
