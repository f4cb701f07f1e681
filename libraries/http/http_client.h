#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "base/result.h"
#include "base/time.h"
#include "http/address.h"
#include "http/http_message.h"

namespace daisyarch {

/// kUnavailable: no byte was sent. kOutcomeUnknown: sent, and no whole
/// answer came.
using HttpResponseCallback = std::function<void(Result<HttpResponse>)>;

struct HttpClientLimits {
  Duration m_connect_timeout = std::chrono::seconds(1);
  /// An idle connection is closed after this long, so that one which went
  /// silent meanwhile is not met by a request.
  Duration m_idle_timeout = std::chrono::seconds(5);
  std::size_t m_maximum_answer_bytes = 64UL * 1024 * 1024;
};

/// Sends requests to one address. Each request in flight has a connection of
/// its own, so answers cannot cross; a connection whose answer is late is
/// closed, so a late answer meets no other request.
class HttpClient {
 public:
  HttpClient(boost::asio::io_context& loop, Address address,
             const HttpClientLimits& limits);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Calls `on_answer` exactly once, within `timeout` and the connect
  /// timeout.
  void Send(HttpRequest request, Duration timeout,
            HttpResponseCallback on_answer);

  /// Closes every connection; requests in flight end with kOutcomeUnknown,
  /// or kUnavailable where no byte was sent.
  void CloseAllConnections();

  /// Closes the connections that carry no request.
  void CloseIdleConnections();

  const Address& address() const;

  struct State;

 private:
  std::shared_ptr<State> m_state;
};

}  // namespace daisyarch
