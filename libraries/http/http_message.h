#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace daisyarch {

using HttpHeader = std::pair<std::string, std::string>;

struct HttpRequest {
  std::string m_method;
  std::string m_target;
  std::vector<HttpHeader> m_headers;
  std::string m_body;
  std::string m_peer;  ///< Address of the sender; received requests only.
};

struct HttpResponse {
  unsigned m_status = 200;
  std::vector<HttpHeader> m_headers;
  std::string m_body;
};

/// Returns the value of the first header with this name, in any case, or "" if
/// there is none.
std::string FindHeader(const std::vector<HttpHeader>& headers,
                       const std::string& name);

/// Sends the response to one request; must be called exactly once.
using HttpResponder = std::function<void(HttpResponse)>;

/// Handles a request and calls the responder, at once or later.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

}  // namespace daisyarch
