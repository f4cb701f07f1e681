#include "http/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

namespace daisyarch {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

struct HttpServer::State {
  explicit State(asio::io_context& loop) : m_acceptor(loop) {}

  tcp::acceptor m_acceptor;
  HttpServerLimits m_limits;
  HttpHandler m_handler;
  std::size_t m_open_requests = 0;
  bool m_is_draining = false;
};

namespace {

class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<HttpServer::State> state)
      : m_stream(std::move(socket)), m_state(std::move(state)) {
    beast::error_code code;
    const auto remote = m_stream.socket().remote_endpoint(code);
    if (!code) {
      m_peer =
          remote.address().to_string() + ":" + std::to_string(remote.port());
    }
    m_stream.socket().set_option(tcp::no_delay(true), code);
  }

  void Read() {
    m_parser.emplace();
    m_parser->body_limit(m_state->m_limits.m_maximum_body_bytes);
    m_stream.expires_after(m_state->m_limits.m_receive_timeout);
    beast::http::async_read(
        m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](beast::error_code code, std::size_t) {
          self->OnRead(code);
        });
  }

 private:
  void OnRead(beast::error_code code) {
    if (code == beast::http::error::end_of_stream) return Close();
    if (code == beast::http::error::body_limit) {
      return Reject(413, "the body is too large");
    }
    if (code == beast::error::timeout) return Reject(408, "request timed out");
    if (code.category() ==
        beast::http::make_error_code(beast::http::error::bad_method)
            .category()) {
      return Reject(400, code.message());
    }
    if (code) return;
    m_stream.expires_never();
    Dispatch(m_parser->release());
  }

  void Dispatch(beast::http::request<beast::http::string_body> message) {
    m_keep_alive = message.keep_alive();
    HttpRequest request;
    request.m_method = std::string(message.method_string());
    request.m_target = std::string(message.target());
    for (const auto& field : message) {
      request.m_headers.emplace_back(std::string(field.name_string()),
                                     std::string(field.value()));
    }
    request.m_body = std::move(message.body());
    request.m_peer = m_peer;
    ++m_state->m_open_requests;
    m_state->m_handler(std::move(request),
                       [self = shared_from_this()](HttpResponse response) {
                         self->SendResponse(std::move(response), true);
                       });
  }

  // If the stream has timed out, Beast has already closed it, and the response
  // does not reach the client.
  void Reject(unsigned status, const std::string& detail) {
    m_keep_alive = false;
    HttpResponse response;
    response.m_status = status;
    response.m_headers.emplace_back("Content-Type", "application/json");
    response.m_body =
        "{\"code\":\"invalid_argument\",\"step\":\"read request\","
        "\"peer\":\"" +
        m_peer + "\",\"detail\":\"" + detail + "\"}\n";
    SendResponse(std::move(response), false);
  }

  void SendResponse(HttpResponse response, bool was_counted) {
    m_message = {};
    m_message.version(11);
    m_message.result(response.m_status);
    for (const auto& [name, value] : response.m_headers) {
      m_message.set(name, value);
    }
    m_message.body() = std::move(response.m_body);
    m_message.keep_alive(m_keep_alive && !m_state->m_is_draining);
    m_message.prepare_payload();
    m_stream.expires_after(m_state->m_limits.m_send_timeout);
    beast::http::async_write(m_stream, m_message,
                             [self = shared_from_this(), was_counted](
                                 beast::error_code code, std::size_t) {
                               if (was_counted)
                                 --self->m_state->m_open_requests;
                               self->OnWritten(code);
                             });
  }

  void OnWritten(beast::error_code code) {
    if (code) return;
    if (!m_message.keep_alive()) return Close();
    Read();
  }

  void Close() {
    beast::error_code code;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, code);
  }

  beast::tcp_stream m_stream;
  std::shared_ptr<HttpServer::State> m_state;
  std::string m_peer;
  beast::flat_buffer m_buffer;
  std::optional<beast::http::request_parser<beast::http::string_body>> m_parser;
  beast::http::response<beast::http::string_body> m_message;
  bool m_keep_alive = true;
};

void Accept(const std::shared_ptr<HttpServer::State>& state) {
  state->m_acceptor.async_accept(
      [state](beast::error_code code, tcp::socket socket) {
        if (!state->m_acceptor.is_open()) return;
        if (!code) {
          std::make_shared<Session>(std::move(socket), state)->Read();
        }
        Accept(state);
      });
}

}  // namespace

HttpServer::HttpServer(std::shared_ptr<State> state)
    : m_state(std::move(state)) {}

HttpServer::~HttpServer() {
  StartDraining();
  // Sessions can outlive the server. The requests that they read from now on
  // must not reach the handler, whose owner is about to be destroyed.
  m_state->m_handler = [](const HttpRequest&, const HttpResponder&) {};
}

Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    asio::io_context& loop, const Address& address,
    const HttpServerLimits& limits, HttpHandler handler) {
  auto state = std::make_shared<State>(loop);
  state->m_limits = limits;
  state->m_handler = std::move(handler);
  beast::error_code code;
  const auto host = asio::ip::make_address(address.m_host, code);
  const tcp::endpoint endpoint(host, address.m_port);
  if (!code) state->m_acceptor.open(endpoint.protocol(), code);
  if (!code) {
    state->m_acceptor.set_option(asio::socket_base::reuse_address(true), code);
  }
  if (!code) state->m_acceptor.bind(endpoint, code);
  if (!code) {
    state->m_acceptor.listen(asio::socket_base::max_listen_connections, code);
  }
  if (code) {
    return Error{ErrorCode::kUnavailable, "listen for HTTP", ToString(address),
                 code.message()};
  }
  Accept(state);
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

void HttpServer::StartDraining() {
  m_state->m_is_draining = true;
  beast::error_code code;
  m_state->m_acceptor.close(code);
}

std::size_t HttpServer::open_requests() const {
  return m_state->m_open_requests;
}

std::uint16_t HttpServer::port() const {
  return m_state->m_acceptor.local_endpoint().port();
}

}  // namespace daisyarch
