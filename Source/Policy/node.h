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

/// The decision core of one entry host: all tables of entities, no I/O.
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

/// Takes in one event and returns every effect that follows from it.
///
/// Messages of this host to itself are delivered within the step.
Outbox HandleEvent(NodeState& node, const Event& event, Instant now);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_NODE_H_
