#ifndef HYSSOPBARROW_POLICY_STORE_KEYS_H_
#define HYSSOPBARROW_POLICY_STORE_KEYS_H_

#include <string_view>

namespace hyssopbarrow::fleet {

/// Rows of the owner's table, which every entry host follows.
constexpr std::string_view kEpochKey = "epoch";
constexpr std::string_view kLeaseKey = "lease";
/// Rows of that table in which the entry hosts, by name, tell what they can
/// carry.
constexpr std::string_view kCandidatePrefix = "host/";

/// Row of the progress table that changes with each commit of the owner.
constexpr std::string_view kCommitKey = "commit";

/// Rows of waves, followed by their number.
constexpr std::string_view kWavePrefix = "wave/";

/// Follows a job's id in the row that cancels it.
constexpr std::string_view kCancelSuffix = ".x";

/// Field of the row that keeps a refused job from being stored late.
constexpr const char* kTombstoneField = "void";

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_STORE_KEYS_H_
