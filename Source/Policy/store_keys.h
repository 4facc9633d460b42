#ifndef HYSSOPBARROW_POLICY_STORE_KEYS_H_
#define HYSSOPBARROW_POLICY_STORE_KEYS_H_

#include <string_view>

namespace hyssopbarrow::fleet {

/// Rows of the owner table, which every entry host follows.
constexpr std::string_view kEpochKey = "epoch";
constexpr std::string_view kLeaseKey = "lease";
/// Prefix of rows in the owner table, followed by the name of an entry host.
/// Each row holds the CPU share of that host.
constexpr std::string_view kCandidatePrefix = "host/";

/// Row of the progress table that every commit of the owner updates.
constexpr std::string_view kCommitKey = "commit";

/// Prefix of rows of waves, followed by the wave number.
constexpr std::string_view kWavePrefix = "wave/";

/// Prefix of rows with what is known of the requests for a host, followed by
/// its name.
constexpr std::string_view kHostRecordPrefix = "host/";

/// Row of the progress table with what was learned about run times.
constexpr std::string_view kRunTimesKey = "run_times";

/// Suffix of the key of a row that cancels the job with the preceding id.
constexpr std::string_view kCancelSuffix = ".x";

/// Field of a tombstone row, which blocks a late write of a job that is not
/// stored. Holds when it was written, in Unix milliseconds.
constexpr const char* kTombstoneField = "void";

/// Field of a tombstone that was written for a cancel: true.
constexpr const char* kTombstoneCancelsField = "cancels";

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_STORE_KEYS_H_
