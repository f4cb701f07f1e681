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
  std::string m_peer;  ///< The sender's address; not sent.
};

struct HttpResponse {
  unsigned m_status = 200;
  std::vector<HttpHeader> m_headers;
  std::string m_body;
};

/// The header's value, or "" when there is none; names fold case.
std::string FindHeader(const std::vector<HttpHeader>& headers,
                       const std::string& name);

/// Answers one request; to be called exactly once.
using HttpResponder = std::function<void(HttpResponse)>;

/// Takes a request and answers it now or later.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

}  // namespace daisyarch
