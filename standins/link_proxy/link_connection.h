#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "link.h"

namespace daisyarch {

/// One forwarded connection. It lives as long as one of its operations waits.
class LinkConnection : public std::enable_shared_from_this<LinkConnection> {
 public:
  LinkConnection(Link& link, boost::asio::ip::tcp::socket caller);

  void Start();
  void Close();

 private:
  using Buffer = std::array<char, 65536>;

  void ReadRequest();
  void OnRequest(std::size_t size);
  void ForwardRequest(std::size_t size);
  void ReadAnswer();
  void OnAnswer(std::size_t size);

  Link& m_link;
  boost::asio::ip::tcp::socket m_caller;
  boost::asio::ip::tcp::socket m_target;
  boost::asio::steady_timer m_timer;
  Buffer m_request{};
  Buffer m_answer{};
  bool m_are_requests_lost = false;
  bool m_are_answers_lost = false;
};

}  // namespace daisyarch
