#include "link.h"

#include "link_connection.h"
#include "models/standin_main.h"

namespace daisyarch {

using boost::asio::ip::tcp;

namespace {

constexpr std::uint64_t kAllPercent = 100;

void Accept(Link& link) {
  link.m_acceptor.async_accept(
      [&link](boost::system::error_code code, tcp::socket socket) {
        if (code == boost::asio::error::operation_aborted) return;
        if (!code && !IsHit(link, LinkMode::kClosed)) {
          const auto connection =
              std::make_shared<LinkConnection>(link, std::move(socket));
          link.m_connections.remove_if(
              [](const auto& earlier) { return earlier.expired(); });
          link.m_connections.push_back(connection);
          connection->Start();
        }
        Accept(link);
      });
}

}  // namespace

void OpenLink(Link& link, std::uint16_t target) {
  const auto loopback = boost::asio::ip::address_v4::loopback();
  link.m_target = tcp::endpoint(loopback, target);
  const tcp::endpoint any(loopback, 0);
  link.m_acceptor.open(any.protocol());
  link.m_acceptor.bind(any);
  link.m_acceptor.listen();
  Accept(link);
}

void SetFault(Link& link, const LinkFault& fault) {
  link.m_fault = fault;
  if (fault.m_mode != LinkMode::kClosed) return;
  const auto connections = std::move(link.m_connections);
  link.m_connections.clear();
  for (const auto& connection : connections) {
    if (const auto open = connection.lock()) open->Close();
  }
}

bool IsHit(Link& link, LinkMode mode) {
  return link.m_fault.m_mode == mode && StandinNow() < link.m_fault.m_until &&
         NextBelow(link.m_random, kAllPercent) < link.m_fault.m_percent;
}

}  // namespace daisyarch
