#ifndef HYSSOPBARROW_FLEET_JOB_API_H_
#define HYSSOPBARROW_FLEET_JOB_API_H_

#include <string>
#include <string_view>

#include "Fleet/backend.h"

namespace hyssopbarrow::fleet {

/// Path prefix under which the jobs of `queue` are submitted.
std::string JobsPath(std::string_view queue);

/// The product's HTTP interface for jobs, `/v1/queues/QUEUE/jobs/ID`; see the
/// callers' guide. Keys are passed on as their digest.
class JobCodec : public CallCodec {
 public:
  Call Decode(const HttpRequest& request) const override;
  HttpResponse Encode(const CallReply& reply) const override;
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_FLEET_JOB_API_H_
