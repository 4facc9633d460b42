#ifndef HYSSOPBARROW_FLEET_FLEET_VIEW_H_
#define HYSSOPBARROW_FLEET_FLEET_VIEW_H_

#include <string_view>

#include "Http/http_server.h"
#include "Policy/entry.h"

namespace hyssopbarrow::fleet {

/// What this host knows of `kind` - jobs, targets, owners or waves - as rows
/// {"kind", "name", "revision", "value"}; `revision` counts the commits of the
/// owner. Only the owner knows jobs, targets and waves: others answer 503 with
/// its address. At most 1000 rows, jobs without a final state first; `more`
/// says how many were left out.
HttpResponse MakeFleetResponse(const EntryState& entry, std::string_view kind);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_FLEET_FLEET_VIEW_H_
