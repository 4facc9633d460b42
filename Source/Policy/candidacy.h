#ifndef HYSSOPBARROW_POLICY_CANDIDACY_H_
#define HYSSOPBARROW_POLICY_CANDIDACY_H_

#include "Policy/entry.h"

namespace hyssopbarrow::fleet {

/// Hosts differ in what they can carry, and the owner carries most. Each host
/// tells its processor share in a row of the owner's table; stronger hosts
/// claim the ownership first, and a weaker owner hands it over to one that
/// tells so later.

/// Takes in a row that tells a host's share; false if it is another row.
bool ApplyCandidateRow(EntryState& entry, const Row& row);

/// How long this host leaves the ownership to stronger ones once it is free.
Duration StrongerHostDelay(const EntryState& entry);

/// The same, and a spread for owners that vanish without a word.
Duration ClaimDelay(const EntryState& entry);

/// Tells this host's share at its start, and again while a weaker host owns
/// the fleet.
void AdvanceCandidacy(EntryState& entry, Context& context);

/// Takes the answer to such a row; false if `id` is not one.
bool HandleCandidacyReply(EntryState& entry, std::int64_t id,
                          const StoreRows& reply, Context& context);

/// The stronger host that the owner, this host, has to give way to; empty if
/// there is none.
std::string FindStrongerCandidate(const EntryState& entry);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_CANDIDACY_H_
