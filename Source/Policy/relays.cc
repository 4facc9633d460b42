#include "Policy/relays.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

/// A target takes about three exchanges a second, of 80 us and 700 bytes each.
/// These rates leave four fifths of the CPU share and of the link.
constexpr double kTargetsPerCpuMilli = 0.8;
constexpr std::int64_t kTargetsPerMbit = 12;
/// The capacity of all relays is at least this multiple of the targets.
constexpr std::int64_t kCapacityFactor = 2;
/// How long a relay is not used after its first loss; doubles with each further
/// loss.
constexpr Duration kFirstBackoff = milliseconds(2000);
constexpr std::int64_t kMaxBackoffDoublings = 4;
/// A relay that was used for this long without a loss counts as new.
constexpr Duration kForgetFailuresAfter = milliseconds(30'000);

bool IsUsableRelay(const Relay& relay, Instant now) {
  return relay.capacity > 0 && relay.usable_from <= now;
}

/// Updates the relays in use from the announcements of their hosts.
void RefreshRelays(Owner& owner,
                   const std::map<std::string, Candidate>& candidates) {
  for (auto& [node, relay] : owner.relays) {
    auto it = candidates.find(node);
    if (it == candidates.end()) continue;
    relay.address = it->second.relay_address;
    relay.data_centre = it->second.data_centre;
    relay.capacity =
        relay.address.empty()
            ? 0
            : RelayCapacity(it->second.cpu_milli, it->second.link_mbps);
  }
}

/// Adds the largest hosts until the usable relays can carry `required` targets.
void AddRelays(Owner& owner, const std::map<std::string, Candidate>& candidates,
               const Identity& self, std::int64_t required, Instant now) {
  std::int64_t capacity = 0;
  for (const auto& [node, relay] : owner.relays) {
    if (IsUsableRelay(relay, now)) capacity += relay.capacity;
  }
  std::vector<std::pair<std::int64_t, std::string>> unused;
  for (const auto& [node, candidate] : candidates) {
    const std::int64_t size =
        RelayCapacity(candidate.cpu_milli, candidate.link_mbps);
    const bool eligible = node != self.node && size > 0 &&
                          !candidate.relay_address.empty() &&
                          owner.relays.count(node) == 0;
    if (eligible) unused.emplace_back(-size, node);
  }
  std::sort(unused.begin(), unused.end());
  for (const auto& [negative_size, node] : unused) {
    if (capacity >= required) return;
    const Candidate& candidate = candidates.at(node);
    owner.relays[node] = {.address = candidate.relay_address,
                          .data_centre = candidate.data_centre,
                          .capacity = -negative_size};
    capacity -= negative_size;
  }
}

/// Returns the usable relay with the least load, in `data_centre` if one there
/// is not full; the end if there is none.
std::map<std::string, Relay>::iterator ChooseRelay(
    Owner& owner, const std::string& data_centre, Instant now) {
  auto best = owner.relays.end();
  auto best_key = std::make_pair(1, 0.0);
  for (auto it = owner.relays.begin(); it != owner.relays.end(); ++it) {
    const Relay& relay = it->second;
    if (!IsUsableRelay(relay, now)) continue;
    const double load = static_cast<double>(relay.targets) /
                        static_cast<double>(relay.capacity);
    const bool near = relay.data_centre == data_centre && load < 1;
    const auto key = std::make_pair(near ? 0 : 1, load);
    if (best == owner.relays.end() || key < best_key) {
      best = it;
      best_key = key;
    }
  }
  return best;
}

/// Address of the relay for the starts of a job; empty if none is usable.
std::string StartRelayAddress(const Owner& owner, const std::string& job,
                              Instant now) {
  std::vector<const Relay*> usable;
  for (const auto& [node, relay] : owner.relays) {
    if (IsUsableRelay(relay, now)) usable.push_back(&relay);
  }
  if (usable.empty()) return {};
  return usable[std::hash<std::string>()(job) % usable.size()]->address;
}

}  // namespace

std::int64_t RelayCapacity(std::int64_t cpu_milli, std::int64_t link_mbps) {
  return std::min(static_cast<std::int64_t>(kTargetsPerCpuMilli *
                                            static_cast<double>(cpu_milli)),
                  kTargetsPerMbit * link_mbps);
}

void AssignRelays(Owner& owner,
                  const std::map<std::string, Candidate>& candidates,
                  const Identity& self, Context& context) {
  const Instant now = context.time.now;
  const auto targets = static_cast<std::int64_t>(owner.targets.size());
  const std::int64_t own_capacity =
      RelayCapacity(self.cpu_milli, self.link_mbps);
  if (own_capacity == 0 || targets <= own_capacity) {
    if (owner.relays.empty()) return;
    owner.relays.clear();
    for (auto& [id, target] : owner.targets) target.relay.clear();
    return;
  }
  RefreshRelays(owner, candidates);
  const std::size_t relays_before = owner.relays.size();
  AddRelays(owner, candidates, self, kCapacityFactor * targets, now);
  if (owner.relays.size() != relays_before) {
    Log(context, Severity::kInfo, "relays_added",
        {{"relays", std::to_string(owner.relays.size())},
         {"targets", std::to_string(targets)}});
  }
  for (auto& [node, relay] : owner.relays) relay.targets = 0;
  std::vector<TargetView*> unassigned;
  for (auto& [id, target] : owner.targets) {
    auto it = owner.relays.find(target.relay);
    if (it != owner.relays.end() && IsUsableRelay(it->second, now)) {
      ++it->second.targets;
    } else {
      unassigned.push_back(&target);
    }
  }
  for (TargetView* target : unassigned) {
    auto it = ChooseRelay(owner, target->entry.data_centre, now);
    target->relay = it == owner.relays.end() ? "" : it->first;
    if (it != owner.relays.end()) ++it->second.targets;
  }
}

void HandleRelayLost(Owner& owner, const std::string& address,
                     const std::map<std::string, Candidate>& candidates,
                     const Identity& self, Context& context) {
  const Instant now = context.time.now;
  for (auto& [node, relay] : owner.relays) {
    if (relay.address != address) continue;
    if (now - relay.usable_from > kForgetFailuresAfter) relay.failures = 0;
    const std::int64_t doublings =
        std::min(relay.failures, kMaxBackoffDoublings);
    relay.usable_from = now + kFirstBackoff * (std::int64_t{1} << doublings);
    ++relay.failures;
    Log(context, Severity::kWarn, "relay_lost",
        {{"node", node},
         {"address", address},
         {"targets", std::to_string(relay.targets)},
         {"failures", std::to_string(relay.failures)}});
  }
  AssignRelays(owner, candidates, self, context);
}

std::string RelayAddress(const Owner& owner, const TargetView& target,
                         const TargetRequest& request, Instant now) {
  // The first request after an unanswered poll is sent directly, in case that
  // the relay cannot reach the target.
  if (target.unanswered_polls == 1) return {};
  if (request.kind == TargetRequestKind::kStart) {
    return StartRelayAddress(owner, request.task.job, now);
  }
  auto it = owner.relays.find(target.relay);
  return it == owner.relays.end() ? std::string() : it->second.address;
}

}  // namespace hyssopbarrow::fleet
