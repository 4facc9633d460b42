#include "Policy/host_records.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "Model/json.h"
#include "Model/text.h"
#include "Policy/store_keys.h"

namespace hyssopbarrow::fleet {
namespace {

constexpr const char* kEpochField = "epoch";
constexpr const char* kOpenField = "open";
/// Of one commit, so that a burst of moves does not hold up the rows of jobs.
constexpr std::size_t kMaxHostRecordWrites = 20;

}  // namespace

void RestoreHostRecord(Owner& owner, std::string_view host,
                       const nlohmann::json& row, Context& context) {
  const bool readable = row.is_object() && row.contains(kOpenField) &&
                        row[kOpenField].is_boolean();
  HostRecord& record = owner.host_manager.records[std::string(host)];
  record.epoch = readable ? IntegerOrZero(row, kEpochField) : 0;
  record.open = !readable || row[kOpenField].get<bool>();
  record.stored = true;
  // The earlier owner has sent nothing since this one took over.
  record.keep_until =
      owner.owned_since +
      (record.open ? kMaxHostRequestDelay : context.timing.host_request_gap);
  Log(context, Severity::kInfo, "host_record_restored",
      {{"host", std::string(host)},
       {"epoch", std::to_string(record.epoch)},
       {"open", record.open ? "yes" : "no"},
       {"readable", readable ? "yes" : "no"}});
}

bool IsFreeOfEarlierRequests(const Owner& owner, const std::string& host,
                             Instant now) {
  const HostManager& manager = owner.host_manager;
  if (now < manager.unrecorded_requests_end) return false;
  auto it = manager.records.find(host);
  return it == manager.records.end() || it->second.epoch == owner.epoch ||
         now >= it->second.keep_until;
}

bool MustStayEmpty(const Owner& owner, const Target& target, Instant now) {
  const HostManager& manager = owner.host_manager;
  auto record = manager.records.find(target.host);
  const bool open_for_earlier_owner =
      record != manager.records.end() && record->second.open &&
      record->second.epoch != owner.epoch && now < record->second.keep_until;
  if (open_for_earlier_owner) return true;
  auto it = manager.hosts.find(target.host);
  if (it == manager.hosts.end()) return false;
  const HostView& host = it->second;
  switch (host.operation) {
    case HostOperation::kNone:
      return false;
    case HostOperation::kMove:
      return target.pool != host.destination;
    case HostOperation::kMaintenance:
      return !manager.waves.at(host.wave).done_hosts.contains(target.host);
  }
  return false;
}

bool EnsureRequestRecorded(Owner& owner, const std::string& host) {
  HostManager& manager = owner.host_manager;
  HostRecord& record = manager.records[host];
  const bool recorded = record.epoch == owner.epoch && record.open;
  if (recorded) return record.stored;
  record = {.epoch = owner.epoch, .open = true};
  manager.changed_records.insert(host);
  return false;
}

void RecordHostRequestSent(Owner& owner, const std::string& host, Instant now) {
  HostRecord& record = owner.host_manager.records[host];
  record.sent_at = now;
  record.keep_until = now + kMaxHostRequestDelay;
}

void RecordHostReply(Owner& owner, const std::string& host,
                     HostRequestResult result, Context& context) {
  HostManager& manager = owner.host_manager;
  auto it = manager.records.find(host);
  if (it == manager.records.end()) return;
  HostRecord& record = it->second;
  if (result == HostRequestResult::kNoReply) {
    record.unanswered_until = record.sent_at + kMaxHostRequestDelay;
  }
  record.keep_until =
      std::max(record.unanswered_until,
               record.sent_at + context.timing.host_request_gap);
  const bool open = record.unanswered_until > context.time.now;
  if (open == record.open) return;
  record.open = open;
  record.stored = false;
  manager.changed_records.insert(host);
}

void RemoveOldHostRecords(Owner& owner, Instant now) {
  HostManager& manager = owner.host_manager;
  for (auto it = manager.records.begin(); it != manager.records.end();) {
    const auto& [name, record] = *it;
    auto host = manager.hosts.find(name);
    const bool in_use = host != manager.hosts.end() &&
                        record.epoch == owner.epoch &&
                        host->second.operation != HostOperation::kNone;
    if (in_use || record.keep_until > now) {
      ++it;
      continue;
    }
    manager.changed_records.insert(name);
    it = manager.records.erase(it);
  }
}

void AddHostRecordWrites(Owner& owner, Draft& draft) {
  HostManager& manager = owner.host_manager;
  std::set<std::string>& changed = manager.changed_records;
  while (!changed.empty() &&
         draft.pending.host_records.size() < kMaxHostRecordWrites) {
    const std::string host = changed.extract(changed.begin()).value();
    auto it = manager.records.find(host);
    const bool exists = it != manager.records.end();
    nlohmann::json value;
    if (exists) {
      value = {{kEpochField, it->second.epoch}, {kOpenField, it->second.open}};
    }
    AddProgressWrite(draft, StrCat(kHostRecordPrefix, host), std::move(value));
    draft.pending.host_records[host] = exists && it->second.open;
  }
}

void MarkHostRecordsStored(Owner& owner, const PendingCommit& pending) {
  HostManager& manager = owner.host_manager;
  for (const auto& [host, open] : pending.host_records) {
    auto it = manager.records.find(host);
    // A record that has changed since is in the next commit.
    if (it == manager.records.end() || manager.changed_records.contains(host)) {
      continue;
    }
    it->second.stored = true;
    if (open) manager.recorded_hosts.push_back(host);
  }
}

void MarkHostRecordsUnstored(Owner& owner, const PendingCommit& pending) {
  for (const auto& [host, open] : pending.host_records) {
    owner.host_manager.changed_records.insert(host);
  }
}

}  // namespace hyssopbarrow::fleet
