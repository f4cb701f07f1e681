#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "link_fault.h"

namespace daisyarch {

class LinkConnection;

/// A port that is forwarded to another port of this machine.
struct Link {
  explicit Link(boost::asio::io_context& loop)
      : m_loop(loop), m_acceptor(loop) {}

  boost::asio::io_context& m_loop;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::ip::tcp::endpoint m_target;
  LinkFault m_fault;
  Random m_random;
  std::list<std::weak_ptr<LinkConnection>> m_connections;
};

/// Listens at any port of the loopback interface and forwards connections.
void OpenLink(Link& link, std::uint16_t target);

/// Sets a fault, which ends by itself. kClosed closes the open connections.
void SetFault(Link& link, const LinkFault& fault);

/// Returns whether the fault is of this kind, lasts, and hits this message.
bool IsHit(Link& link, LinkMode mode);

}  // namespace daisyarch
