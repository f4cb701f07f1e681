#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>

#include "base/result.h"
#include "base/time.h"
#include "http/address.h"
#include "http/http_message.h"
#include "http/memory_budget.h"

namespace daisyarch {

/// Limits on each request, including the wait for it, and on its response. A
/// connection that exceeds one is closed, after a response if it can be sent.
struct HttpServerLimits {
  std::size_t m_maximum_body_bytes = 64UL * 1024 * 1024;
  /// Of the request line and all fields; a trailer or a chunk's extensions may
  /// be as long.
  std::size_t m_maximum_header_bytes = 32UL * 1024;
  std::size_t m_maximum_fields = 256;  ///< Those of the trailer included.
  Duration m_receive_timeout = std::chrono::seconds(15);
  Duration m_send_timeout = std::chrono::seconds(30);
  /// A request that has begun brings this many bytes in each of these periods,
  /// or its end.
  std::size_t m_least_progress_bytes = 4096;
  Duration m_progress_period = std::chrono::seconds(10);
  /// Null: what the connections hold is counted, but not limited.
  std::shared_ptr<MemoryBudget> m_budget;
  PeerKind m_peer_kind = PeerKind::kClient;
};

/// An HTTP/1.1 server on the event loop. Pipelined requests of a connection are
/// handled one at a time, so responses are sent in the order of the requests.
class HttpServer {
 public:
  /// Fails with kUnavailable if the address cannot be bound.
  static Result<std::unique_ptr<HttpServer>> Create(
      boost::asio::io_context& loop, const Address& address,
      const HttpServerLimits& limits, HttpHandler handler);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Stops accepting connections, and closes each open connection after its
  /// next response.
  void StartDraining();

  /// Returns the number of received requests whose responses are not yet sent
  /// completely.
  std::size_t open_requests() const;

  /// Returns the port that the server listens on.
  std::uint16_t port() const;

  struct State;

 private:
  explicit HttpServer(std::shared_ptr<State> state);

  std::shared_ptr<State> m_state;
};

}  // namespace daisyarch
