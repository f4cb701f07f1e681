#pragma once

#include <cstdint>
#include <string>

namespace review {

/// An answer; status 0 means that there was none.
struct Answer {
  int m_status = 0;
  std::string m_body;
};

/// Sends one request over a connection of its own and waits for the answer.
Answer Ask(std::uint16_t port, const std::string& method,
           const std::string& target, const std::string& body, int timeout_ms);

/// The same, but the request says that the client waits for `said_ms`, and it
/// leaves after `patience_ms`.
Answer AskAndLeave(std::uint16_t port, const std::string& method,
                   const std::string& target, const std::string& body,
                   int said_ms, int patience_ms);

}  // namespace review
