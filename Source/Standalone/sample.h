#ifndef HYSSOPBARROW_STANDALONE_SAMPLE_H_
#define HYSSOPBARROW_STANDALONE_SAMPLE_H_

#include <string>
#include <string_view>
#include <vector>

#include "Model/row.h"
#include "Model/snapshot.h"
#include "Standalone/embedded_fleet.h"

namespace hyssopbarrow {

/// Secret of the sample's caller key of team `namche`.
inline constexpr std::string_view kSampleCallerKey = "sample-namche";

/// Secret of the sample's operator key.
inline constexpr std::string_view kSampleOperatorKey = "sample-operator";

/// Sample configuration for `--standalone`: two teams, two pools, three queues
/// and one target host for each of `addresses`.
Snapshot SampleSnapshot(const std::vector<std::string>& addresses,
                        const std::string& data_centre);

/// Embedded fleet for jobs with the teams, keys, queues and pools of `snapshot`
/// and one target for each of its hosts.
fleet::FleetSample SampleFleet(const Snapshot& snapshot);

/// Transaction that inserts all rows of `snapshot`. It conflicts if one
/// of them exists.
Transaction LoadTransaction(const Snapshot& snapshot);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_STANDALONE_SAMPLE_H_
