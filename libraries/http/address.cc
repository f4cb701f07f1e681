#include "http/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace daisyarch {

namespace {

// The system's parser ignores what follows a zero byte and accepts any text as
// the zone of an IPv6 address.
constexpr const char* kAddressCharacters = "0123456789abcdefABCDEF.:";

Error MalformedAddressError(const std::string& text) {
  return Error{ErrorCode::kInvalidArgument, "parse address", text,
               "expected IP:port"};
}

}  // namespace

std::string ToString(const Address& address) {
  return address.m_host + ":" + std::to_string(address.m_port);
}

Result<Address> ParseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return MalformedAddressError(text);
  Address address;
  address.m_host = text.substr(0, colon);
  if (address.m_host.find_first_not_of(kAddressCharacters) !=
      std::string::npos) {
    return MalformedAddressError(text);
  }
  boost::system::error_code code;
  boost::asio::ip::make_address(address.m_host, code);
  if (code) return MalformedAddressError(text);
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto [stop, port_error] = std::from_chars(begin, end, address.m_port);
  if (port_error != std::errc() || stop != end || address.m_port == 0) {
    return MalformedAddressError(text);
  }
  return address;
}

}  // namespace daisyarch
