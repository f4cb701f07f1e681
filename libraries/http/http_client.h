#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "base/result.h"
#include "base/time.h"
#include "http/address.h"
#include "http/http_message.h"
#include "http/memory_budget.h"

namespace daisyarch {

/// Receives the response, or an error: kUnavailable if no connection was made,
/// so no byte was sent; kOutcomeUnknown if sending the request or reading the
/// response failed.
using HttpResponseCallback = std::function<void(Result<HttpResponse>)>;

struct HttpClientLimits {
  /// A request is sent within this time, or not at all.
  Duration m_connect_timeout = std::chrono::seconds(1);
  /// Idle connections are closed after this time, so that no request is sent on
  /// a connection that has died meanwhile.
  Duration m_idle_timeout = std::chrono::seconds(5);
  /// Bytes of a response that are read at a time. Each part takes one turn of
  /// the loop.
  std::size_t m_read_bytes = 4096;
  std::size_t m_maximum_response_bytes = 64UL * 1024 * 1024;
  /// Null: what the connections hold is not counted.
  std::shared_ptr<MemoryBudget> m_budget;
  PeerKind m_peer_kind = PeerKind::kWorker;
};

/// Sends requests to one address. Each request in flight has a connection of
/// its own, so responses cannot be mixed up. A connection whose response is
/// late is closed, so a late response is never matched to another request.
class HttpClient {
 public:
  HttpClient(boost::asio::io_context& loop, Address address,
             const HttpClientLimits& limits);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Calls `on_answer` exactly once, at the latest after the connect timeout
  /// plus `timeout`.
  void Send(HttpRequest request, Duration timeout,
            HttpResponseCallback on_answer);

  /// Closes every connection. Requests in flight fail with kOutcomeUnknown, or
  /// with kUnavailable if the connection was still being made.
  void CloseAllConnections();

  /// Closes the connections that carry no request.
  void CloseIdleConnections();

  /// Returns whether a request is in flight.
  bool IsCalling() const;

  const Address& address() const;

  struct State;

 private:
  std::shared_ptr<State> m_state;
};

}  // namespace daisyarch
