#ifndef HYSSOPBARROW_FLEET_BACKEND_H_
#define HYSSOPBARROW_FLEET_BACKEND_H_

#include <functional>

#include "Http/http_server.h"
#include "Policy/fleet_effects.h"

namespace hyssopbarrow::fleet {

/// The external systems of an entry host: the store, the targets, the placement
/// policy and the host provider. Each function sends a request and calls
/// `callback` exactly once, after it has returned.
class Backend {
 public:
  virtual ~Backend() = default;

  virtual void Read(const ReadRows& request,
                    std::function<void(StoreRows)> callback) = 0;
  virtual void Watch(const WatchRows& request,
                     std::function<void(StoreRows)> callback) = 0;
  virtual void Commit(const CommitRows& request,
                      std::function<void(StoreRows)> callback) = 0;
  virtual void Send(const TargetRequest& request,
                    std::function<void(TargetReply)> callback) = 0;
  virtual void RequestApproval(const ApprovalRequest& request,
                               std::function<void(ApprovalReply)> callback) = 0;
  virtual void FetchHosts(const ListHosts& request,
                          std::function<void(HostList)> callback) = 0;
  virtual void Send(const HostRequest& request,
                    std::function<void(HostRequestResult)> callback) = 0;
};

/// Decodes the HTTP requests of callers and encodes the replies.
class CallCodec {
 public:
  virtual ~CallCodec() = default;

  virtual Call Decode(const HttpRequest& request) const = 0;
  virtual HttpResponse Encode(const CallReply& reply) const = 0;
};

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_FLEET_BACKEND_H_
