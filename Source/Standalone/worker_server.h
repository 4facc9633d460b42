#ifndef HYSSOPBARROW_STANDALONE_WORKER_SERVER_H_
#define HYSSOPBARROW_STANDALONE_WORKER_SERVER_H_

#include <cstdint>
#include <map>
#include <string>

#include "Http/http_server.h"

namespace hyssopbarrow {

/// Fake worker: answers `POST /run/QUEUE` with the request's body, after the
/// delay in the header `x-delay-ms` if there is one (milliseconds).
///
/// `GET /runs` returns how often each request id was run.
class WorkerServer {
 public:
  WorkerServer(EventLoop& loop, std::string name);

  /// Errors: kUnavailable when the address cannot be bound.
  absl::Status Listen(const Address& address) {
    return server_.Listen(address);
  }

  Address BoundAddress() const { return server_.BoundAddress(); }

 private:
  void Serve(const HttpRequest& request, const Responder& responder);
  void Run(const HttpRequest& request, const Responder& responder);

  EventLoop& loop_;
  std::string name_;
  std::map<std::string, std::int64_t> run_counts_;  ///< By request id.
  HttpServer server_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_STANDALONE_WORKER_SERVER_H_
