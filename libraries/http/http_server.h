#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>

#include "base/result.h"
#include "base/time.h"
#include "http/address.h"
#include "http/http_message.h"

namespace daisyarch {

/// What a sender may use up before it is cut off.
struct HttpServerLimits {
  std::size_t m_maximum_body_bytes = 64UL * 1024 * 1024;
  Duration m_receive_timeout = std::chrono::seconds(15);
  Duration m_send_timeout = std::chrono::seconds(30);
};

/// An HTTP/1.1 server on the loop. Pipelined requests wait for each other,
/// so that answers leave in the order of the requests.
class HttpServer {
 public:
  /// kUnavailable when the address cannot be bound.
  static Result<std::unique_ptr<HttpServer>> Create(
      boost::asio::io_context& loop, const Address& address,
      const HttpServerLimits& limits, HttpHandler handler);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Accepts no more connections and closes each after its next answer.
  void StartDraining();

  /// Requests that were received and are not wholly answered.
  std::size_t open_requests() const;

  /// The bound port.
  std::uint16_t port() const;

  struct State;

 private:
  explicit HttpServer(std::shared_ptr<State> state);

  std::shared_ptr<State> m_state;
};

}  // namespace daisyarch
