#ifndef HYSSOPBARROW_FLEET_JOB_API_H_
#define HYSSOPBARROW_FLEET_JOB_API_H_

#include <string>
#include <string_view>

#include "Fleet/backend.h"

namespace hyssopbarrow::fleet {

/// Path below which the jobs of `queue` are handed in.
std::string JobsPath(std::string_view queue);

/// The project's own interface for jobs, `/v1/queues/QUEUE/jobs/ID`, as the
/// callers' guide describes it. Keys are looked up by their digest.
class JobCodec : public CallCodec {
 public:
  Call Decode(const HttpRequest& request) const override;
  HttpResponse Encode(const CallReply& answer) const override;
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_FLEET_JOB_API_H_
