#ifndef HYSSOPBARROW_POLICY_REGISTRATION_H_
#define HYSSOPBARROW_POLICY_REGISTRATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Model/row.h"
#include "Model/time.h"
#include "Policy/effects.h"
#include "Policy/membership.h"

namespace hyssopbarrow {

/// Reads and writes the member rows when that is due.
void TickRegistration(MembershipState& state, std::int64_t& next_request_id,
                      Instant now, Outbox& out);

/// Takes in the reply to a request about member rows. Returns whether `id` was
/// one.
bool HandleRegistrationReply(MembershipState& state, std::int64_t id,
                             const StoreReply& reply,
                             std::int64_t& next_request_id, Instant now,
                             Outbox& out);

/// An incarnation for a new start of `name`: `clock`, or one above that in the
/// member row when the clock went back.
std::int64_t NextIncarnation(const std::vector<Row>& rows,
                             const std::string& name, std::int64_t clock);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_REGISTRATION_H_
