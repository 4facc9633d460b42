#ifndef HYSSOPBARROW_POLICY_NODE_H_
#define HYSSOPBARROW_POLICY_NODE_H_

#include <cstdint>
#include <set>
#include <string>

#include "Model/time.h"
#include "Policy/ceilings.h"
#include "Policy/claims.h"
#include "Policy/configuration.h"
#include "Policy/dispatch.h"
#include "Policy/effects.h"
#include "Policy/gateway.h"
#include "Policy/membership.h"
#include "Policy/share.h"

namespace hyssopbarrow {

/// State of one entry host, without I/O. HandleEvent() changes it.
struct NodeState {
  explicit NodeState(NodeIdentity identity) : membership(std::move(identity)) {}

  MembershipState membership;
  ConfigurationState configuration;
  CeilingsState ceilings;
  DispatchState dispatch;
  GatewayState gateway;
  ClaimsState claims;
  ShareState share;
  std::set<std::string> linked_peers;
  std::int64_t next_request_id = 1;
};

/// Handles one event and returns all effects that follow from it.
///
/// Messages of this host to itself are delivered before it returns.
Outbox HandleEvent(NodeState& node, const Event& event, Instant now);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_NODE_H_
