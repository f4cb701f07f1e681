#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace daisyarch {

/// Sends each message at once, even if the peer has not acknowledged the one
/// before.
void SendWithoutDelay(boost::asio::ip::tcp::socket& socket);

}  // namespace daisyarch
