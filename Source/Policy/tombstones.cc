#include "Policy/tombstones.h"

#include <utility>

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// A call lasts 5 s at most, and a write without a reply may take effect
/// seconds later.
constexpr Duration kRetention = milliseconds(30'000);
constexpr Duration kRetryDelay = milliseconds(1000);
/// Takes about a megabyte.
constexpr std::size_t kMaxKept = 10'000;

}  // namespace

void KeepTombstone(Tombstones& tombstones, const std::string& job,
                   std::int64_t revision, Instant now) {
  if (tombstones.kept.size() == kMaxKept) return;
  tombstones.kept.push_back(
      {.job = job, .revision = revision, .remove_at = now + kRetention});
}

void RemoveDueTombstone(Tombstones& tombstones, Context& context) {
  if (tombstones.pending_request != 0 || tombstones.kept.empty()) return;
  const Tombstone& first = tombstones.kept.front();
  if (first.remove_at > context.time.now) return;
  tombstones.pending_request = context.next_id++;
  CommitRows commit{.id = tombstones.pending_request};
  const RowRef row{Table::kJobs, first.job};
  // A row that has changed is a job, or another call's tombstone.
  commit.conditions = {{row, first.revision}};
  commit.writes = {{row, nullptr}};
  context.out.emplace_back(std::move(commit));
}

bool HandleTombstoneRemoval(Tombstones& tombstones, std::int64_t id,
                            const StoreRows& reply, Context& context) {
  if (id == 0 || id != tombstones.pending_request) return false;
  tombstones.pending_request = 0;
  const bool unanswered = reply.status == StoreStatus::kUnknown ||
                          reply.status == StoreStatus::kUnavailable;
  if (unanswered) {
    tombstones.kept.front().remove_at = context.time.now + kRetryDelay;
  } else {
    tombstones.kept.pop_front();
  }
  RemoveDueTombstone(tombstones, context);
  return true;
}

}  // namespace hyssopbarrow::fleet
