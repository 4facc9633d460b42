#ifndef HYSSOPBARROW_POLICY_CANDIDACY_H_
#define HYSSOPBARROW_POLICY_CANDIDACY_H_

#include "Policy/entry.h"

namespace hyssopbarrow::fleet {

/// Entry hosts differ in CPU capacity, and the owner of the fleet has the
/// highest load. Each host announces its CPU share in a row of the owner table.
/// Hosts with more CPU, called stronger, claim the ownership first, and an
/// owner hands over to a stronger host that announces itself later.

/// Applies the row in which a host announces its CPU share. Returns false if
/// `row` is of another kind.
bool ApplyCandidateRow(EntryState& entry, const Row& row);

/// How long this host waits for stronger hosts to claim an ownership that was
/// released; zero if there are none.
Duration StrongerHostDelay(const EntryState& entry);

/// How long this host waits before it claims an ownership whose lease expired:
/// StrongerHostDelay and a jitter that keeps hosts from claiming all at once.
Duration ClaimDelay(const EntryState& entry);

/// Announces this host's CPU share once at its start, and again at intervals
/// while a weaker host owns the fleet.
void AdvanceCandidacy(EntryState& entry, Context& context);

/// Handles the store's reply to the write of an announcement. Returns false if
/// `id` is not such a write.
bool HandleCandidacyReply(EntryState& entry, std::int64_t id,
                          const StoreRows& reply, Context& context);

/// Returns a host that has more CPU than this one, which owns the fleet, and
/// has announced itself since. Returns an empty string if there is none.
std::string FindStrongerCandidate(const EntryState& entry);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_CANDIDACY_H_
