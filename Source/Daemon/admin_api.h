#ifndef HYSSOPBARROW_DAEMON_ADMIN_API_H_
#define HYSSOPBARROW_DAEMON_ADMIN_API_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "Daemon/config_store.h"
#include "Daemon/telemetry.h"
#include "Http/event_loop.h"
#include "Http/http_server.h"
#include "Policy/node.h"

namespace hyssopbarrow {

/// HTTP interface for operators.
///
///   GET    /admin/v1/status       state of all entry hosts as seen by this one
///   GET    /admin/v1/KIND         all rows of a kind with their revisions
///   GET    /admin/v1/KIND/NAME    one row
///   PUT    /admin/v1/KIND/NAME    creates or replaces a row
///   DELETE /admin/v1/KIND/NAME    deletes a row
///   POST   /admin/v1/batch        {"changes": [{"kind", "name", "value",
///                                 "revision"}]}, applied atomically
///   GET    /admin/v1/report/burn  service-level burn of this host
///
/// KIND is team, pool, host, queue or key. Every request needs an operator key.
/// The response to a write lists the entry hosts where it is in force. With
/// `?wait_ms=N` it is sent once all live entry hosts have confirmed the write,
/// or after N milliseconds. Writes may carry `if-match: REVISION`; revision 0
/// requires that the row does not exist.
class AdminApi {
 public:
  AdminApi(EventLoop& loop, TableClient& table, const NodeState& node,
           const Telemetry& telemetry, std::string write_prefix)
      : loop_(loop),
        table_(table),
        store_(loop, table),
        node_(node),
        telemetry_(telemetry),
        write_prefix_(std::move(write_prefix)) {}

  /// Sets the function that returns the `links` part of the status document.
  void SetLinkStatus(std::function<nlohmann::json()> link_status) {
    link_status_ = std::move(link_status);
  }

  /// Handles one request and sends the response.
  void HandleRequest(const HttpRequest& request, const Responder& responder);

 private:
  void ReadStatus(const HttpRequest& request, const Snapshot& snapshot,
                  const Responder& responder);
  void ReadRows(const std::string& kind, const std::string& name,
                const Responder& responder);
  void WriteRow(const HttpRequest& request, const std::string& kind,
                const std::string& name, const Responder& responder);
  void WriteBatch(const HttpRequest& request, const Snapshot& snapshot,
                  const Responder& responder);
  void ApplyChanges(std::vector<ConfigChange> changes, Duration wait,
                    const Responder& responder);

  EventLoop& loop_;
  TableClient& table_;
  ConfigStore store_;
  const NodeState& node_;
  const Telemetry& telemetry_;
  std::string write_prefix_;  ///< Unique per host and incarnation.
  std::int64_t next_write_ = 1;
  std::function<nlohmann::json()> link_status_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_DAEMON_ADMIN_API_H_
