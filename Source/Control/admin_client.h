#ifndef HYSSOPBARROW_CONTROL_ADMIN_CLIENT_H_
#define HYSSOPBARROW_CONTROL_ADMIN_CLIENT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "Http/address.h"
#include "Http/http_client.h"

namespace hyssopbarrow {

/// Exit codes of hyssopbarrowctl.
enum class ExitCode {
  kOk = 0,
  kFailed = 1,       ///< The daemon refused the request for another reason.
  kUsage = 2,        ///< The command line or a value is invalid.
  kUnreachable = 3,  ///< The daemon or the table cannot be reached.
  kConflict = 4,     ///< The row's revision is not the expected one.
  kNotFound = 5,
  kForbidden = 6,
  kUnknown = 7,  ///< The change may still come into force.
};

/// Reply of a daemon to one request.
struct AdminReply {
  ExitCode code = ExitCode::kUnreachable;
  nlohmann::json body;  ///< Has the field `error` unless `code` is kOk.
};

/// Base paths of the HTTP interfaces that hyssopbarrowctl uses.
inline constexpr std::string_view kAdminPath = "/admin/v1/";
inline constexpr std::string_view kQueuesPath = "/v1/queues/";
inline constexpr std::string_view kFleetPath = "/v1/fleet/";

/// Request to the interface of an AdminClient.
struct AdminRequest {
  std::string method;
  std::string path;  ///< Relative to the interface's base path.
  nlohmann::json body;
  std::optional<std::int64_t> if_match;  ///< Expected revision of the row.

  friend bool operator==(const AdminRequest&, const AdminRequest&) = default;
};

/// Blocking client of one HTTP interface of a daemon.
class AdminClient {
 public:
  AdminClient(EventLoop& loop, HttpClient& client, const Address& daemon,
              std::string key, std::string_view base = kAdminPath)
      : loop_(loop),
        client_(client),
        daemon_(daemon),
        key_(std::move(key)),
        base_(base) {}

  /// Sends the request and waits for the reply, at most 30 s.
  AdminReply Send(const AdminRequest& request);

  /// Runs the event loop for `duration`.
  void Wait(Duration duration);

  /// Fetches all rows of a kind; the reply has them in the field `rows`.
  AdminReply List(const std::string& kind);

 private:
  EventLoop& loop_;
  HttpClient& client_;
  Address daemon_;
  std::string key_;
  std::string base_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_CONTROL_ADMIN_CLIENT_H_
