#include "Policy/registration.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "Model/json.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kRowReadInterval = std::chrono::seconds(60);
constexpr Duration kRowRetryInterval = std::chrono::milliseconds(1000);
constexpr Duration kRowRequestTimeout = std::chrono::milliseconds(2000);

std::string OwnRowKey(const MembershipState& state) {
  return StrCat(kMembersPrefix, state.self.name);
}

nlohmann::json OwnRowValue(const MembershipState& state) {
  return {{"address", state.self.address},
          {"data_centre", state.self.data_centre},
          {"incarnation", state.self.incarnation}};
}

MemberEntry ParseMemberRow(const Row& row) {
  return {.name = row.key.substr(kMembersPrefix.size()),
          .data_centre = TextOrEmpty(row.value, "data_centre"),
          .address = TextOrEmpty(row.value, "address"),
          .incarnation = IntegerOrZero(row.value, "incarnation")};
}

/// Removes members that are not live and have no row in `rows`.
void RemoveUnlistedMembers(MembershipState& state, const std::vector<Row>& rows,
                           Instant now) {
  std::erase_if(state.members, [&](const auto& entry) {
    if (now < entry.second.alive_until) return false;
    const std::string key = StrCat(kMembersPrefix, entry.first);
    return std::none_of(rows.begin(), rows.end(),
                        [&](const Row& row) { return row.key == key; });
  });
}

void SendTransaction(Transaction transaction, MembershipState& state,
                     std::int64_t& next_request_id, Instant now, Outbox& out) {
  state.registration.pending_request_id = next_request_id++;
  state.registration.pending_is_write = true;
  out.store_requests.push_back({state.registration.pending_request_id,
                                std::move(transaction),
                                now + kRowRequestTimeout});
}

/// Deletes rows of other names with this host's address. The processes that
/// wrote them have ended, because this one listens there.
void RemoveReplacedRows(const MembershipState& state,
                        const std::vector<Row>& rows,
                        Transaction& transaction) {
  for (const Row& row : rows) {
    const bool is_replaced =
        row.key != OwnRowKey(state) &&
        TextOrEmpty(row.value, "address") == state.self.address;
    if (!is_replaced) continue;
    transaction.conditions.push_back({row.key, row.revision});
    transaction.writes.push_back({row.key, nullptr});
  }
}

void UpdateOwnRow(MembershipState& state, const std::vector<Row>& rows,
                  std::int64_t& next_request_id, Instant now, Outbox& out) {
  Registration& registration = state.registration;
  const std::string key = OwnRowKey(state);
  auto own_row = std::find_if(rows.begin(), rows.end(),
                              [&](const Row& row) { return row.key == key; });
  const std::int64_t revision = own_row == rows.end() ? 0 : own_row->revision;
  const std::int64_t stored_incarnation =
      own_row == rows.end() ? 0 : IntegerOrZero(own_row->value, "incarnation");
  registration.superseded = stored_incarnation > state.self.incarnation;
  if (registration.superseded) return;
  Transaction transaction{.conditions = {{key, revision}}, .writes = {}};
  if (state.stopping) {
    registration.row_removed = own_row == rows.end();
    if (registration.row_removed) return;
    transaction.writes.push_back({key, nullptr});
  } else {
    if (own_row != rows.end() && own_row->value == OwnRowValue(state)) return;
    transaction.writes.push_back({key, OwnRowValue(state)});
    RemoveReplacedRows(state, rows, transaction);
  }
  SendTransaction(std::move(transaction), state, next_request_id, now, out);
}

}  // namespace

void TickRegistration(MembershipState& state, std::int64_t& next_request_id,
                      Instant now, Outbox& out) {
  Registration& registration = state.registration;
  const bool is_idle = state.self.address.empty() || registration.row_removed;
  if (is_idle || registration.pending_request_id != 0 ||
      now < registration.next_read) {
    return;
  }
  registration.pending_request_id = next_request_id++;
  registration.pending_is_write = false;
  registration.next_read = now + kRowRetryInterval;
  out.store_requests.push_back({registration.pending_request_id,
                                StoreRead{std::string(kMembersPrefix)},
                                now + kRowRequestTimeout});
}

bool HandleRegistrationReply(MembershipState& state, std::int64_t id,
                             const StoreReply& reply,
                             std::int64_t& next_request_id, Instant now,
                             Outbox& out) {
  Registration& registration = state.registration;
  if (id == 0 || id != registration.pending_request_id) return false;
  registration.pending_request_id = 0;
  // The next read shows whether a write took effect.
  registration.next_read = now + kRowRetryInterval;
  if (registration.pending_is_write || reply.status != StoreStatus::kOk) {
    return true;
  }
  registration.has_read_rows = true;
  for (const Row& row : reply.rows) {
    AddMember(state, ParseMemberRow(row), now);
  }
  RemoveUnlistedMembers(state, reply.rows, now);
  UpdateOwnRow(state, reply.rows, next_request_id, now, out);
  if (registration.pending_request_id == 0) {
    registration.next_read = now + kRowReadInterval;
  }
  return true;
}

std::int64_t NextIncarnation(const std::vector<Row>& rows,
                             const std::string& name, std::int64_t clock) {
  std::int64_t incarnation = clock;
  for (const Row& row : rows) {
    if (row.key != StrCat(kMembersPrefix, name)) continue;
    // The largest integer has none after it.
    const std::int64_t stored =
        std::min(IntegerOrZero(row.value, "incarnation"),
                 std::numeric_limits<std::int64_t>::max() - 1);
    incarnation = std::max(incarnation, stored + 1);
  }
  return incarnation;
}

}  // namespace hyssopbarrow
