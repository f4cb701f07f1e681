#include "mesh/socket_options.h"

namespace daisyarch {

void SendWithoutDelay(boost::asio::ip::tcp::socket& socket) {
  // Without the option messages are only slower.
  boost::system::error_code code;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), code);
}

}  // namespace daisyarch
