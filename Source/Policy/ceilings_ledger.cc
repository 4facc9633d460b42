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
  const std::size_t separator = text.rfind('@');
  if (separator == std::string_view::npos) return std::nullopt;
  const auto n = ParseInteger<std::int64_t>(text.substr(separator + 1));
  if (!n.has_value()) return std::nullopt;
  return HolderId{std::string(text.substr(0, separator)), *n};
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
  TeamLedger ledger;
  const bool valid =
      ReadInteger(json, "ceiling", ledger.ceiling) &&
      ReadInteger(json, "free", ledger.free) &&
      ReadInteger(json, "config_revision", ledger.config_revision) &&
      ReadShortfalls(json, ledger.shortfalls);
  return valid ? std::optional(ledger) : std::nullopt;
}

std::optional<HeldLedger> ParseHeldLedger(const nlohmann::json& json) {
  if (!json.is_object()) return std::nullopt;
  HeldLedger held;
  for (const auto& [team, value] : json.items()) {
    Rights rights;
    const bool valid = ReadInteger(value, "floor", rights.floor) &&
                       ReadInteger(value, "floating", rights.floating);
    if (!valid) return std::nullopt;
    held.emplace(team, rights);
  }
  return held;
}

std::optional<HolderLease> ParseHolderLease(const nlohmann::json& json) {
  HolderLease lease;
  const bool valid =
      ReadInteger(json, "sequence", lease.sequence) &&
      ReadInteger(json, "term_ms", lease.term_ms) &&
      ReadInteger(json, "longest_run_ms", lease.longest_run_ms) &&
      ReadBoolean(json, "lapsed", lease.expired) &&
      ReadBoolean(json, "ended", lease.ended);
  return valid ? std::optional(lease) : std::nullopt;
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
