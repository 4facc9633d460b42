#ifndef HYSSOPBARROW_DAEMON_STATUS_API_H_
#define HYSSOPBARROW_DAEMON_STATUS_API_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "Http/event_loop.h"
#include "Peer/peer_links.h"
#include "Policy/node.h"

namespace hyssopbarrow {

/// Returns the body of `GET /admin/v1/status`: the configuration and all entry
/// hosts as seen by this host.
nlohmann::json StatusJson(const NodeState& node, Instant now);

/// Returns the `links` part of the status document.
nlohmann::json LinkStatusJson(const PeerTraffic& traffic);

/// Returns the rollout state of snapshot `revision`: `in_force` is true once
/// all live entry hosts have confirmed it. `confirmed`, `unconfirmed` and
/// `unreachable` list entry hosts.
nlohmann::json RolloutJson(const NodeState& node, std::int64_t revision,
                           Instant now);

/// Returns the duration of `wait_ms=N` in `query`, or zero if it is missing or
/// N is not within 1 to 60000.
Duration ParseWait(const std::string& query);

/// Calls `callback` with RolloutJson once `revision` is in force at all live
/// entry hosts, or at `deadline`.
void AwaitRollout(EventLoop& loop, const NodeState& node, std::int64_t revision,
                  Instant deadline,
                  std::function<void(nlohmann::json)> callback);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_DAEMON_STATUS_API_H_
