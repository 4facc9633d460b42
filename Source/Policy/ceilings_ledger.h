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

/// Key prefixes of the ledger's rows in the platform's table.
///
/// Invariant: for every team, `ceiling` of its row equals `free` plus the
/// rights in all rows of holders. Every transaction preserves it.
inline constexpr std::string_view kTeamRightsPrefix = "rights/team/";
inline constexpr std::string_view kHeldRightsPrefix = "rights/held/";
inline constexpr std::string_view kRightsLeasePrefix = "rights/lease/";

/// One incarnation of an entry host. Each start of the process is a new holder.
struct HolderId {
  std::string name;
  std::int64_t incarnation = 0;

  friend auto operator<=>(const HolderId&, const HolderId&) = default;
};

/// Rights of one team at one holder.
struct Rights {
  std::int64_t floor = 0;     ///< Kept until the holder is known to have ended.
  std::int64_t floating = 0;  ///< Usable until the holder's lease expires.

  friend bool operator==(const Rights&, const Rights&) = default;
};

constexpr std::int64_t Total(const Rights& rights) {
  return rights.floor + rights.floating;
}

/// Row of a team.
struct TeamLedger {
  std::int64_t ceiling = 0;  ///< Ceiling last applied to the ledger.
  std::int64_t free = 0;     ///< Not held; negative after a lowered ceiling.
  std::int64_t config_revision = 0;  ///< Snapshot revision of `ceiling`.
  /// Rights that a holder needs but could not get, by holder.
  std::map<std::string, std::int64_t> shortfalls;

  friend bool operator==(const TeamLedger&, const TeamLedger&) = default;
};

/// Row with the rights of a holder, by team.
using HeldLedger = std::map<std::string, Rights>;

/// Row with a holder's lease.
struct HolderLease {
  std::int64_t sequence = 0;        ///< Incremented by each renewal.
  std::int64_t term_ms = 0;         ///< Floating rights expire this long after
                                    ///< the renewal.
  std::int64_t longest_run_ms = 0;  ///< Maximum run time of granted work.
  bool expired = false;             ///< Its floating rights were reclaimed.
  bool ended = false;  ///< An operator confirmed that the process has ended.

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

/// Parses `<name>@<incarnation>`. Returns nullopt for any other text.
std::optional<HolderId> ParseHolderId(std::string_view text);

nlohmann::json ToJson(const TeamLedger& ledger);
nlohmann::json ToJson(const HeldLedger& held);
nlohmann::json ToJson(const HolderLease& lease);

/// Each returns nullopt when a field is missing or has a wrong type.
std::optional<TeamLedger> ParseTeamLedger(const nlohmann::json& json);
std::optional<HeldLedger> ParseHeldLedger(const nlohmann::json& json);
std::optional<HolderLease> ParseHolderLease(const nlohmann::json& json);

/// Returns `ledger` with the ceiling of snapshot `config_revision`; unchanged
/// when the ceiling was already set by that snapshot or a later one.
TeamLedger WithCeiling(TeamLedger ledger, std::int64_t ceiling,
                       std::int64_t config_revision);

/// Returns the transaction by which an operator confirms that a holder's
/// process has ended. `lease` is the row as read. Returns nullopt when it is
/// not a valid lease row.
std::optional<Transaction> EndHolderTransaction(const Row& lease);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_CEILINGS_LEDGER_H_
