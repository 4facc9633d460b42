#include "Policy/ceilings_ledger.h"

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

bool ReadInteger(const nlohmann::json& json, const char* field,
                 std::int64_t& out) {
  if (!json.is_object() || !json.contains(field)) return false;
  if (!json[field].is_number_integer()) return false;
  out = json[field];
  return true;
}

bool ReadBoolean(const nlohmann::json& json, const char* field, bool& out) {
  if (!json.is_object() || !json.contains(field)) return false;
  if (!json[field].is_boolean()) return false;
  out = json[field];
  return true;
}

bool ReadShortfalls(const nlohmann::json& json,
                    std::map<std::string, std::int64_t>& out) {
  if (!json.contains("wants") || !json["wants"].is_object()) return false;
  for (const auto& [holder, n] : json["wants"].items()) {
    if (!n.is_number_integer()) return false;
    out.emplace(holder, n);
  }
  return true;
}

}  // namespace

std::string ToString(const HolderId& holder) {
  return StrCat(holder.name, "@", holder.incarnation);
}

std::string TeamRightsKey(std::string_view team) {
  return StrCat(kTeamRightsPrefix, team);
}

std::string HeldRightsKey(const HolderId& holder) {
  return StrCat(kHeldRightsPrefix, ToString(holder));
}

std::string RightsLeaseKey(const HolderId& holder) {
  return StrCat(kRightsLeasePrefix, ToString(holder));
}

std::optional<HolderId> ParseHolderId(std::string_view text) {
  const std::size_t at = text.rfind('@');
  if (at == std::string_view::npos) return std::nullopt;
  const auto n = ParseInteger<std::int64_t>(text.substr(at + 1));
  if (!n.has_value()) return std::nullopt;
  return HolderId{std::string(text.substr(0, at)), *n};
}

nlohmann::json ToJson(const TeamLedger& ledger) {
  nlohmann::json wants = nlohmann::json::object();
  for (const auto& [holder, n] : ledger.shortfalls) wants[holder] = n;
  return {{"ceiling", ledger.ceiling},
          {"free", ledger.free},
          {"config_revision", ledger.config_revision},
          {"wants", wants}};
}

nlohmann::json ToJson(const HeldLedger& held) {
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [team, rights] : held) {
    json[team] = {{"floor", rights.floor}, {"floating", rights.floating}};
  }
  return json;
}

nlohmann::json ToJson(const HolderLease& lease) {
  return {{"sequence", lease.sequence},
          {"term_ms", lease.term_ms},
          {"longest_run_ms", lease.longest_run_ms},
          {"lapsed", lease.expired},
          {"ended", lease.ended}};
}

std::optional<TeamLedger> ParseTeamLedger(const nlohmann::json& json) {
  TeamLedger it;
  const bool valid = ReadInteger(json, "ceiling", it.ceiling) &&
                     ReadInteger(json, "free", it.free) &&
                     ReadInteger(json, "config_revision", it.config_revision) &&
                     ReadShortfalls(json, it.shortfalls);
  return valid ? std::optional(it) : std::nullopt;
}

std::optional<HeldLedger> ParseHeldLedger(const nlohmann::json& json) {
  if (!json.is_object()) return std::nullopt;
  HeldLedger held;
  for (const auto& [team, value] : json.items()) {
    Rights it;
    const bool valid = ReadInteger(value, "floor", it.floor) &&
                       ReadInteger(value, "floating", it.floating);
    if (!valid) return std::nullopt;
    held.emplace(team, it);
  }
  return held;
}

std::optional<HolderLease> ParseHolderLease(const nlohmann::json& json) {
  HolderLease it;
  const bool valid = ReadInteger(json, "sequence", it.sequence) &&
                     ReadInteger(json, "term_ms", it.term_ms) &&
                     ReadInteger(json, "longest_run_ms", it.longest_run_ms) &&
                     ReadBoolean(json, "lapsed", it.expired) &&
                     ReadBoolean(json, "ended", it.ended);
  return valid ? std::optional(it) : std::nullopt;
}

TeamLedger WithCeiling(TeamLedger ledger, std::int64_t ceiling,
                       std::int64_t config_revision) {
  if (config_revision <= ledger.config_revision) return ledger;
  ledger.free += ceiling - ledger.ceiling;
  ledger.ceiling = ceiling;
  ledger.config_revision = config_revision;
  return ledger;
}

std::optional<Transaction> EndHolderTransaction(const Row& lease) {
  std::optional<HolderLease> value = ParseHolderLease(lease.value);
  if (!value.has_value()) return std::nullopt;
  value->ended = true;
  return Transaction{.conditions = {{lease.key, lease.revision}},
                     .writes = {{lease.key, ToJson(*value)}}};
}

}  // namespace hyssopbarrow
