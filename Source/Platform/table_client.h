#ifndef HYSSOPBARROW_PLATFORM_TABLE_CLIENT_H_
#define HYSSOPBARROW_PLATFORM_TABLE_CLIENT_H_

#include <functional>
#include <string_view>

#include "Http/http_client.h"
#include "Model/row.h"

namespace hyssopbarrow {

/// Called once with the result of a read or a commit.
using StoreCallback = std::function<void(StoreReply)>;

/// Client for the platform's transactional table, using HTTP and JSON.
///
///   GET  /rows?prefix=P   200 {"rows": [{"key", "value", "revision"}]}
///   POST /transactions    200 {"revision"} or 409 {"rows": [...]}
class TableClient {
 public:
  TableClient(HttpClient& client, const Address& address)
      : client_(client), address_(address) {}

  /// Reads a consistent view of all rows whose key starts with `prefix`.
  /// Returns kUnavailable on any failure.
  void Read(std::string_view prefix, Instant deadline, StoreCallback callback);

  /// Commits a transaction. Returns kUnknown if it may have committed.
  void Commit(const Transaction& transaction, Instant deadline,
              StoreCallback callback);

 private:
  HttpClient& client_;
  Address address_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_PLATFORM_TABLE_CLIENT_H_
