#ifndef HYSSOPBARROW_POLICY_CEILINGS_LEDGER_H_
#define HYSSOPBARROW_POLICY_CEILINGS_LEDGER_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "Model/row.h"

namespace hyssopbarrow {

/// Prefixes of the ledger's rows in the platform's table.
///
/// For every team, `ceiling` of its row equals `free` plus all rights in the
/// rows of holders; every transaction keeps that sum.
inline constexpr std::string_view kTeamRightsPrefix = "rights/team/";
inline constexpr std::string_view kHeldRightsPrefix = "rights/held/";
inline constexpr std::string_view kRightsLeasePrefix = "rights/lease/";

/// One run of one entry host. Each start of the process is another holder.
struct HolderId {
  std::string name;
  std::int64_t incarnation = 0;

  friend auto operator<=>(const HolderId&, const HolderId&) = default;
};

/// Rights of one team at one holder.
struct Rights {
  std::int64_t floor = 0;     ///< Kept until the holder is proven to be ended.
  std::int64_t floating = 0;  ///< Usable until the holder's lease lapses.

  friend bool operator==(const Rights&, const Rights&) = default;
};

constexpr std::int64_t Total(const Rights& rights) {
  return rights.floor + rights.floating;
}

/// Row of a team.
struct TeamLedger {
  std::int64_t ceiling = 0;  ///< Ceiling that the ledger was last set to.
  std::int64_t free = 0;  ///< Held by nobody; below 0 after a lowered ceiling.
  std::int64_t config_revision = 0;  ///< Snapshot that set `ceiling`.
  std::map<std::string, std::int64_t>
      shortfalls;  ///< Rights lacking, by holder.

  friend bool operator==(const TeamLedger&, const TeamLedger&) = default;
};

/// Row with the rights of a holder, by team.
using HeldLedger = std::map<std::string, Rights>;

/// Row by which a holder shows that it is alive.
struct HolderLease {
  std::int64_t sequence = 0;  ///< Grows with each renewal.
  std::int64_t term_ms = 0;   ///< Floating rights lapse so long after renewal.
  std::int64_t longest_run_ms = 0;  ///< Longest that granted work may run.
  bool expired = false;             ///< Its floating rights were taken back.
  bool ended = false;  ///< An operator states that the process has ended.

  friend bool operator==(const HolderLease&, const HolderLease&) = default;
};

/// A value with the revision of the row it was read from.
template <typename Value>
struct Versioned {
  Value value;
  std::int64_t revision = 0;
};

std::string ToString(const HolderId& holder);
std::string TeamRightsKey(std::string_view team);
std::string HeldRightsKey(const HolderId& holder);
std::string RightsLeaseKey(const HolderId& holder);

/// Reads `<name>@<incarnation>`; nothing when `text` is anything else.
std::optional<HolderId> ParseHolderId(std::string_view text);

nlohmann::json ToJson(const TeamLedger& ledger);
nlohmann::json ToJson(const HeldLedger& held);
nlohmann::json ToJson(const HolderLease& lease);

/// Each gives nothing when a field is missing or has a wrong type.
std::optional<TeamLedger> ParseTeamLedger(const nlohmann::json& json);
std::optional<HeldLedger> ParseHeldLedger(const nlohmann::json& json);
std::optional<HolderLease> ParseHolderLease(const nlohmann::json& json);

/// The ledger under the ceiling of snapshot `config_revision`; unchanged when
/// it was already set by that snapshot or a later one.
TeamLedger WithCeiling(TeamLedger ledger, std::int64_t ceiling,
                       std::int64_t config_revision);

/// The transaction by which an operator states that a holder's process has
/// ended. `lease` is the row as read. Nothing when it is no lease row.
std::optional<Transaction> EndHolderTransaction(const Row& lease);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CEILINGS_LEDGER_H_
