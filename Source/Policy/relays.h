#ifndef HYSSOPBARROW_POLICY_RELAYS_H_
#define HYSSOPBARROW_POLICY_RELAYS_H_

#include <cstdint>
#include <map>
#include <string>

#include "Policy/entry.h"

namespace hyssopbarrow::fleet {

/// Number of targets whose requests a host with this CPU share and bandwidth
/// can carry beside its other work. 0 if either is not known.
std::int64_t RelayCapacity(std::int64_t cpu_milli, std::int64_t link_mbps);

/// Assigns targets to relays. An owner that can carry its whole fleet uses
/// none. Otherwise it uses the largest of the other entry hosts, as many as
/// carry the fleet twice, so that each is at half its capacity and a lost one
/// can be replaced. A target keeps its relay while that is usable; a new one is
/// in the target's data centre if possible.
void AssignRelays(Owner& owner,
                  const std::map<std::string, Candidate>& candidates,
                  const Identity& self, Context& context);

/// Stops using the relay at `address` for some time and assigns its targets
/// anew.
void HandleRelayLost(Owner& owner, const std::string& address,
                     const std::map<std::string, Candidate>& candidates,
                     const Identity& self, Context& context);

/// Address of the relay for a request to a target; empty if the owner sends it
/// itself. The starts of a job share a relay, to which its payload is sent once
/// for all tasks that start together.
std::string RelayAddress(const Owner& owner, const TargetView& target,
                         const TargetRequest& request, Instant now);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_RELAYS_H_
