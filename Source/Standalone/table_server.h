#ifndef HYSSOPBARROW_STANDALONE_TABLE_SERVER_H_
#define HYSSOPBARROW_STANDALONE_TABLE_SERVER_H_

#include "Http/http_server.h"
#include "Standalone/table.h"

namespace hyssopbarrow {

/// Faults that a table server injects.
struct TableFaults {
  bool down = false;          ///< Answers every request with status 503.
  bool lose_replies = false;  ///< Commits, but never sends the reply.

  friend bool operator==(const TableFaults&, const TableFaults&) = default;
};

/// HTTP server for a Table; speaks the protocol of TableClient.
///
/// `PUT /faults` with {"down", "lose_replies"} sets the faults, for tests.
class TableServer {
 public:
  TableServer(EventLoop& loop, Table& table);

  /// Errors: kUnavailable when the address cannot be bound.
  absl::Status Listen(const Address& address) {
    return server_.Listen(address);
  }

  Address BoundAddress() const { return server_.BoundAddress(); }

 private:
  void Serve(const HttpRequest& request, const Responder& responder);
  void Commit(const HttpRequest& request, const Responder& responder);
  HttpResponse SetFaults(const HttpRequest& request);

  Table& table_;
  TableFaults faults_;
  /// Keeps requests without a reply open.
  std::vector<Responder> unanswered_requests_;
  HttpServer server_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_STANDALONE_TABLE_SERVER_H_
