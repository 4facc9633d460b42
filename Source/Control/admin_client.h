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
  kFailed = 1,       ///< The daemon refused for another reason.
  kUsage = 2,        ///< The command line or a value is wrong.
  kUnreachable = 3,  ///< The daemon or the table cannot be reached.
  kConflict = 4,     ///< Another operator changed the row first.
  kNotFound = 5,
  kForbidden = 6,
  kUnknown = 7,  ///< The change may come into force.
};

/// The daemon's reply to one request.
struct AdminReply {
  ExitCode code = ExitCode::kUnreachable;
  nlohmann::json body;  ///< Holds `error` unless `code` is kOk.
};

/// Paths of the interfaces that hyssopbarrowctl speaks.
inline constexpr std::string_view kAdminPath = "/admin/v1/";
inline constexpr std::string_view kQueuesPath = "/v1/queues/";
inline constexpr std::string_view kFleetPath = "/v1/fleet/";

/// A request to the interface of a client.
struct AdminRequest {
  std::string method;
  std::string path;  ///< Below that of the interface.
  nlohmann::json body;
  std::optional<std::int64_t> if_match;

  friend bool operator==(const AdminRequest&, const AdminRequest&) = default;
};

/// Client of one interface of a daemon; waits for each reply.
class AdminClient {
 public:
  AdminClient(EventLoop& loop, HttpClient& client, const Address& daemon,
              std::string key, std::string_view base = kAdminPath)
      : loop_(loop),
        client_(client),
        daemon_(daemon),
        key_(std::move(key)),
        base_(base) {}

  AdminReply Send(const AdminRequest& request);

  /// Lets `duration` pass.
  void Wait(Duration duration);

  /// All rows of a kind, as the field `rows` of the body.
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
