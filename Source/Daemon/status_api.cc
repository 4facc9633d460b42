#include "Daemon/status_api.h"

#include <algorithm>
#include <utility>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(20);
constexpr std::int64_t kMaxWaitMs = 60'000;

std::int64_t RevisionOf(const NodeState& node) {
  const auto& snapshot = node.configuration.snapshot;
  return snapshot.has_value() ? snapshot->revision : 0;
}

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

nlohmann::json SelfJson(const NodeState& node) {
  const NodeIdentity& self = node.membership.self;
  return {{"name", self.name},
          {"data_centre", self.data_centre},
          {"incarnation", self.incarnation},
          {"live", true},
          {"stopping", node.membership.stopping},
          {"store_reachable", node.configuration.store_reachable},
          {"snapshot_revision", RevisionOf(node)},
          {"linked", true}};
}

nlohmann::json MemberJson(const NodeState& node, const Member& member,
                          Instant now) {
  return {{"name", member.name},
          {"data_centre", member.data_centre},
          {"incarnation", member.incarnation},
          {"live", now < member.alive_until},
          {"stopping", member.stopping},
          {"store_reachable", member.store_reachable},
          {"snapshot_revision", member.config_revision},
          {"linked", node.linked_peers.contains(member.name)}};
}

}  // namespace

nlohmann::json StatusJson(const NodeState& node, Instant now) {
  const ConfigurationState& configuration = node.configuration;
  nlohmann::json members = nlohmann::json::array({SelfJson(node)});
  for (const auto& [name, member] : node.membership.members) {
    members.push_back(MemberJson(node, member, now));
  }
  const Duration age = now - configuration.confirmed_at;
  return {{"name", node.membership.self.name},
          {"snapshot_revision", RevisionOf(node)},
          {"confirmed_ms_ago", ToMilliseconds(age)},
          {"refused_snapshot", configuration.rejection_error},
          {"superseded", node.membership.registration.superseded},
          {"pauses", node.membership.pause_count},
          {"members", members}};
}

nlohmann::json LinkStatusJson(const PeerTraffic& traffic) {
  return {{"bytes_sent", traffic.bytes_sent},
          {"bytes_received", traffic.bytes_received},
          {"messages_sent", traffic.messages_sent},
          {"messages_received", traffic.messages_received},
          {"messages_dropped", traffic.messages_dropped},
          {"opened", traffic.links_opened},
          {"silent", traffic.links_timed_out}};
}

nlohmann::json RolloutJson(const NodeState& node, std::int64_t revision,
                           Instant now) {
  std::vector<std::string> confirmed;
  std::vector<std::string> unconfirmed;
  std::vector<std::string> unreachable;
  const auto add = [&](const std::string& name, bool live, std::int64_t known) {
    if (!live) return unreachable.push_back(name);
    (known >= revision ? confirmed : unconfirmed).push_back(name);
  };
  add(node.membership.self.name, true, RevisionOf(node));
  for (const auto& [name, member] : node.membership.members) {
    add(name, now < member.alive_until, member.config_revision);
  }
  return {{"in_force", unconfirmed.empty()},
          {"confirmed", confirmed},
          {"unconfirmed", unconfirmed},
          {"unreachable", unreachable}};
}

Duration ParseWait(const std::string& query) {
  for (const std::string& parameter : Split(query, '&')) {
    std::string_view text = parameter;
    if (!ConsumePrefix(text, "wait_ms=")) continue;
    const auto n = ParseInteger<std::int64_t>(text);
    const bool valid = n.has_value() && *n > 0 && *n <= kMaxWaitMs;
    return std::chrono::milliseconds(valid ? *n : 0);
  }
  return Duration::zero();
}

void AwaitRollout(EventLoop& loop, const NodeState& node, std::int64_t revision,
                  Instant deadline,
                  std::function<void(nlohmann::json)> callback) {
  nlohmann::json rollout = RolloutJson(node, revision, loop.Now());
  if (rollout["in_force"] || loop.Now() >= deadline) {
    return callback(std::move(rollout));
  }
  loop.CallAt(
      std::min(deadline, loop.Now() + kCheckInterval),
      [&loop, &node, revision, deadline, callback = std::move(callback)] {
        AwaitRollout(loop, node, revision, deadline, callback);
      });
}

}  // namespace hyssopbarrow
