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

/// Reads the member rows when due. HandleRegistrationReply() then writes this
/// host's row if needed.
void TickRegistration(MembershipState& state, std::int64_t& next_request_id,
                      Instant now, Outbox& out);

/// Handles the reply to a request for member rows. Returns false if `id` is not
/// such a request.
bool HandleRegistrationReply(MembershipState& state, std::int64_t id,
                             const StoreReply& reply,
                             std::int64_t& next_request_id, Instant now,
                             Outbox& out);

/// Returns the incarnation for a new start of `name`: `clock`, or one more than
/// in its member row if the clock went back.
std::int64_t NextIncarnation(const std::vector<Row>& rows,
                             const std::string& name, std::int64_t clock);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_REGISTRATION_H_
