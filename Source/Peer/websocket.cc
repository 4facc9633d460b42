#include "Peer/websocket.h"

#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace hyssopbarrow {
namespace {

constexpr char kUri[] = "ws://peer/";

using ServerEndpoint = websocketpp::server<websocketpp::config::core>;
using ClientEndpoint = websocketpp::client<websocketpp::config::core_client>;

}  // namespace

class WebSocket::Endpoint {
 public:
  virtual ~Endpoint() = default;
  virtual void Start() = 0;
  virtual void Receive(const char* data, std::size_t n) = 0;
  virtual bool Send(const std::string& message) = 0;
  virtual void Close() = 0;
};

template <typename Library>
class WebSocket::TypedEndpoint : public WebSocket::Endpoint {
 public:
  TypedEndpoint(std::size_t max_message_bytes, WebSocketCallbacks callbacks)
      : callbacks_(std::move(callbacks)) {
    using Handle = const websocketpp::connection_hdl&;
    endpoint_.clear_access_channels(websocketpp::log::alevel::all);
    endpoint_.clear_error_channels(websocketpp::log::elevel::all);
    endpoint_.set_max_message_size(max_message_bytes);
    endpoint_.set_write_handler(
        [this](Handle, const char* data, std::size_t n) {
          callbacks_.write(data, n);
          return websocketpp::lib::error_code();
        });
    endpoint_.set_open_handler([this](Handle) { callbacks_.on_open(); });
    endpoint_.set_message_handler(
        [this](Handle, const typename Library::message_ptr& message) {
          callbacks_.on_message(message->get_payload());
        });
    endpoint_.set_fail_handler([this](Handle) { callbacks_.on_closed(); });
    endpoint_.set_close_handler([this](Handle) { callbacks_.on_closed(); });
  }

  void Start() override { Open(endpoint_); }

  void Receive(const char* data, std::size_t n) override {
    if (connection_ != nullptr) connection_->read_all(data, n);
  }

  bool Send(const std::string& message) override {
    if (connection_ == nullptr) return false;
    return !connection_->send(message, websocketpp::frame::opcode::binary);
  }

  void Close() override {
    websocketpp::lib::error_code ec;
    if (connection_ == nullptr) return;
    connection_->close(websocketpp::close::status::going_away, "", ec);
  }

 private:
  void Open(ServerEndpoint& library) {
    connection_ = library.get_connection();
    connection_->start();
  }

  void Open(ClientEndpoint& library) {
    websocketpp::lib::error_code ec;
    connection_ = library.get_connection(kUri, ec);
    if (ec) return callbacks_.on_closed();
    library.connect(connection_);
  }

  WebSocketCallbacks callbacks_;
  Library endpoint_;
  typename Library::connection_ptr connection_;
};

WebSocket::WebSocket(Role role, std::size_t max_message_bytes,
                     WebSocketCallbacks callbacks) {
  if (role == Role::kClient) {
    endpoint_ = std::make_unique<TypedEndpoint<ClientEndpoint>>(
        max_message_bytes, std::move(callbacks));
  } else {
    endpoint_ = std::make_unique<TypedEndpoint<ServerEndpoint>>(
        max_message_bytes, std::move(callbacks));
  }
}

WebSocket::~WebSocket() = default;

void WebSocket::Start() { endpoint_->Start(); }

void WebSocket::Receive(const char* data, std::size_t n) {
  endpoint_->Receive(data, n);
}

bool WebSocket::Send(const std::string& message) {
  return endpoint_->Send(message);
}

void WebSocket::Close() { endpoint_->Close(); }

}  // namespace hyssopbarrow
