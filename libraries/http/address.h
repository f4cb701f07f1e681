#pragma once

#include <cstdint>
#include <string>

#include "base/result.h"

namespace daisyarch {

/// An IP address and a TCP port.
struct Address {
  std::string m_host;
  std::uint16_t m_port = 0;

  friend bool operator==(const Address& left, const Address& right) {
    return left.m_host == right.m_host && left.m_port == right.m_port;
  }
  friend bool operator<(const Address& left, const Address& right) {
    if (left.m_host != right.m_host) return left.m_host < right.m_host;
    return left.m_port < right.m_port;
  }
};

std::string ToString(const Address& address);

/// Parses "IP:port"; kInvalidArgument for a host name or a port that is 0 or
/// out of range.
Result<Address> ParseAddress(const std::string& text);

}  // namespace daisyarch
