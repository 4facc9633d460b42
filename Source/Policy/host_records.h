#ifndef HYSSOPBARROW_POLICY_HOST_RECORDS_H_
#define HYSSOPBARROW_POLICY_HOST_RECORDS_H_

#include <string>
#include <string_view>

#include "Policy/commit_rows.h"
#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Longest time from sending a host request until it is carried out. Requests
/// without a reply have been carried out 2 to 12 s later, and after a data
/// centre that was cut off for 6 s was back.
constexpr Duration kMaxHostRequestDelay = std::chrono::seconds(15);

/// Takes over the record of an earlier owner. One that cannot be read counts as
/// a request that may still be carried out.
void RestoreHostRecord(Owner& owner, std::string_view host,
                       const nlohmann::json& row, Context& context);

/// True if no request of an earlier owner for the host may still be carried
/// out, and none was sent less than the host request gap ago.
bool IsFreeOfEarlierRequests(const Owner& owner, const std::string& host,
                             Instant now);

/// True if the host of the target is being emptied, or a request of an earlier
/// owner may still take it out of service, which would end what runs there.
bool MustStayEmpty(const Owner& owner, const Target& target, Instant now);

/// Returns true if the store holds that a request for the host may be on its
/// way. Otherwise has the next commit store it.
bool EnsureRequestRecorded(Owner& owner, const std::string& host);

/// Notes that a request for the host is sent now.
void RecordHostRequestSent(Owner& owner, const std::string& host, Instant now);

/// Notes the reply to the last request for the host, or that there is none.
void RecordHostReply(Owner& owner, const std::string& host,
                     HostRequestResult result, Context& context);

/// Removes the records that no longer matter to a successor.
void RemoveOldHostRecords(Owner& owner, Instant now);

/// Adds the records that have changed to a commit.
void AddHostRecordWrites(Owner& owner, Draft& draft);

/// Handle the reply to a commit with records. After a success the hosts whose
/// requests may now be sent are in HostManager::recorded_hosts.
void MarkHostRecordsStored(Owner& owner, const PendingCommit& pending);
void MarkHostRecordsUnstored(Owner& owner, const PendingCommit& pending);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_HOST_RECORDS_H_
