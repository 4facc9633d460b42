#ifndef HYSSOPBARROW_FLEET_BACKEND_H_
#define HYSSOPBARROW_FLEET_BACKEND_H_

#include <functional>

#include "Http/http_server.h"
#include "Policy/fleet_effects.h"

namespace hyssopbarrow::fleet {

/// The systems that an entry host works with, in the project's own types.
/// Each callback is called once, after the call has returned.
class Backend {
 public:
  virtual ~Backend() = default;

  virtual void Read(const ReadRows& request,
                    std::function<void(StoreRows)> callback) = 0;
  virtual void Watch(const WatchRows& request,
                     std::function<void(StoreRows)> callback) = 0;
  virtual void Commit(const CommitRows& request,
                      std::function<void(StoreRows)> callback) = 0;
  virtual void Send(const TargetRequest& order,
                    std::function<void(TargetReply)> callback) = 0;
  virtual void RequestApproval(const ApprovalRequest& request,
                               std::function<void(ApprovalReply)> callback) = 0;
  virtual void FetchHosts(const ListHosts& request,
                          std::function<void(HostList)> callback) = 0;
  virtual void Send(const HostRequest& order,
                    std::function<void(HostRequestResult)> callback) = 0;
};

/// Translates the callers' interface.
class CallCodec {
 public:
  virtual ~CallCodec() = default;

  virtual Call Decode(const HttpRequest& request) const = 0;
  virtual HttpResponse Encode(const CallReply& answer) const = 0;
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_FLEET_BACKEND_H_
