#ifndef HYSSOPBARROW_FLEET_FLEET_VIEW_H_
#define HYSSOPBARROW_FLEET_FLEET_VIEW_H_

#include <string_view>

#include "Http/http_server.h"
#include "Policy/entry.h"

namespace hyssopbarrow::fleet {

/// Returns the state of `kind` (jobs, targets, owners, relays, waves or
/// evacuations) as JSON rows {"kind", "name", "revision", "value"}; `revision`
/// counts the commits of the owner, or is the lease row's revision for `kind`
/// owners and that of the operators' table for evacuations. Returns at most
/// 1000 rows, jobs without a final state first; `more` is the number of rows
/// left out. Errors: 404 for another `kind`; 503 with the owner's address for
/// jobs, targets, relays and waves if this host is not the owner.
HttpResponse MakeFleetResponse(const EntryState& entry, std::string_view kind,
                               Instant now);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_FLEET_FLEET_VIEW_H_
