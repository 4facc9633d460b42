#include <string>

#include "Policy/entry_parts.h"

namespace hyssopbarrow::fleet {
namespace {

constexpr Duration kRetry = std::chrono::milliseconds(120);

}  // namespace

void AdvanceFollower(Follower& follower, Context& context) {
  if (follower.open != 0 || follower.retry_at > context.at.now) return;
  follower.open = context.next_id++;
  if (follower.whole) {
    context.out.emplace_back(WatchRows{.id = follower.open,
                                       .table = follower.table,
                                       .revision = follower.revision,
                                       .wait = follower.wait});
  } else {
    context.out.emplace_back(ReadRows{.id = follower.open,
                                      .table = follower.table,
                                      .first = follower.next_key});
  }
}

Followed TakeFollowed(Follower& follower, std::int64_t id,
                      const StoreRows& reply, Context& context) {
  Followed result;
  if (id == 0 || follower.open != id) return result;
  result.ours = true;
  follower.open = 0;
  if (reply.history_lost) {
    follower.whole = false;
    follower.next_key.clear();
    Note(context, Severity::kWarn, "history_lost",
         {{"table", std::to_string(static_cast<int>(follower.table))},
          {"revision", std::to_string(follower.revision)}});
    return result;
  }
  const bool answered = reply.status == StoreStatus::kOk;
  if (!answered) {
    follower.retry_at = context.at.now + kRetry;
    if (!follower.lost) {
      Note(context, Severity::kWarn, "store_unheard",
           {{"table", std::to_string(static_cast<int>(follower.table))},
            {"revision", std::to_string(follower.revision)}});
    }
    follower.lost = true;
    return result;
  }
  if (follower.lost) {
    Note(context, Severity::kInfo, "store_heard",
         {{"table", std::to_string(static_cast<int>(follower.table))}});
  }
  follower.lost = false;
  result.usable = true;
  if (follower.whole) {
    follower.revision = std::max(follower.revision, reply.revision);
    follower.retry_at = context.at.now + follower.gap;
    result.complete = true;
    return result;
  }
  result.whole = true;
  // Parts of a long read are of different moments: changes after the first
  // part are watched for.
  if (follower.next_key.empty()) follower.read_revision = reply.revision;
  if (reply.truncated) {
    follower.next_key = reply.last_key + '\x01';
    return result;
  }
  follower.next_key.clear();
  follower.whole = true;
  follower.revision = follower.read_revision;
  result.complete = true;
  return result;
}

}  // namespace hyssopbarrow::fleet
