#include <string>

#include "Policy/entry_internal.h"

namespace hyssopbarrow::fleet {
namespace {

constexpr Duration kTableRetryDelay = std::chrono::milliseconds(120);

bool HasChanges(const StoreRows& reply) {
  return !reply.last_key.empty() || !reply.rows.empty() ||
         !reply.targets.empty() || !reply.removed_targets.empty() ||
         reply.configuration.has_value() || reply.configuration_unreadable ||
         !reply.waves.empty() || !reply.evacuations.empty() ||
         !reply.errors.empty();
}

/// Earliest time at which the store can have composed the reply to a watch. A
/// reply may reach this host much later, for example after a pause.
Instant EarliestReplyTime(const TableFollower& follower, const StoreRows& reply,
                          Instant now) {
  const bool waited_in_vain =
      !HasChanges(reply) && now >= follower.request_wait_end;
  return waited_in_vain ? follower.request_wait_end : follower.request_sent_at;
}

}  // namespace

void AdvanceTableFollower(TableFollower& follower, Context& context) {
  if (follower.pending_request != 0 || follower.retry_at > context.time.now) {
    return;
  }
  follower.pending_request = context.next_id++;
  follower.request_sent_at = context.time.now;
  if (follower.loaded) {
    // After a failure, the first reply shows at once what has changed.
    const bool waits = follower.caught_up && !follower.store_unresponsive &&
                       !follower.unconfirmed;
    const Duration wait = waits ? follower.watch_wait : Duration::zero();
    follower.request_wait_end = context.time.now + wait;
    context.out.emplace_back(
        WatchRows{.id = follower.pending_request,
                  .table = follower.table,
                  .revision = follower.revision,
                  .wait = wait,
                  .timeout = wait + follower.watch_margin});
  } else {
    context.out.emplace_back(ReadRows{.id = follower.pending_request,
                                      .table = follower.table,
                                      .first = follower.next_key});
  }
}

TableUpdate HandleTableReply(TableFollower& follower, std::int64_t id,
                             const StoreRows& reply, Context& context) {
  TableUpdate result;
  if (id == 0 || follower.pending_request != id) return result;
  result.matched = true;
  follower.pending_request = 0;
  // The store no longer has the changes after the watched revision, so the
  // table is read anew.
  if (reply.history_lost) {
    follower.loaded = false;
    follower.caught_up = false;
    follower.next_key.clear();
    Log(context, Severity::kWarn, "history_lost",
        {{"table", std::to_string(static_cast<int>(follower.table))},
         {"revision", std::to_string(follower.revision)}});
    return result;
  }
  const bool answered = reply.status == StoreStatus::kOk;
  if (!answered) {
    follower.retry_at = context.time.now + kTableRetryDelay;
    if (!follower.store_unresponsive) {
      Log(context, Severity::kWarn, "store_unresponsive",
          {{"table", std::to_string(static_cast<int>(follower.table))},
           {"revision", std::to_string(follower.revision)}});
    }
    follower.store_unresponsive = true;
    return result;
  }
  if (follower.store_unresponsive) {
    Log(context, Severity::kInfo, "store_responsive",
        {{"table", std::to_string(static_cast<int>(follower.table))}});
  }
  follower.store_unresponsive = false;
  result.has_rows = true;
  if (follower.loaded) {
    follower.revision = std::max(follower.revision, reply.revision);
    follower.retry_at = context.time.now + follower.watch_delay;
    follower.caught_up = true;
    follower.unconfirmed = follower.confirms_changes && HasChanges(reply);
    follower.known_at = EarliestReplyTime(follower, reply, context.time.now);
    result.loaded = true;
    result.caught_up = true;
    return result;
  }
  result.full_read = true;
  // The parts of a long read have different revisions. The watch starts from
  // the first one, so that it reports changes made during the read.
  result.first_page = follower.next_key.empty();
  if (result.first_page) follower.read_revision = reply.revision;
  if (reply.truncated) {
    // Sorts after the last key that was read and before the key after it.
    follower.next_key = reply.last_key + '\x01';
    return result;
  }
  follower.next_key.clear();
  follower.loaded = true;
  follower.revision = follower.read_revision;
  result.loaded = true;
  return result;
}

}  // namespace hyssopbarrow::fleet
