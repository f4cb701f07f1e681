#include "link_connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

namespace daisyarch {

namespace asio = boost::asio;
using asio::ip::tcp;
using Code = boost::system::error_code;

LinkConnection::LinkConnection(Link& link, tcp::socket caller)
    : m_link(link),
      m_caller(std::move(caller)),
      m_target(link.m_loop),
      m_timer(link.m_loop) {}

void LinkConnection::Start() {
  m_target.async_connect(m_link.m_target,
                         [self = shared_from_this()](Code code) {
                           if (code) return self->Close();
                           Code ignored;
                           const tcp::no_delay no_delay(true);
                           self->m_caller.set_option(no_delay, ignored);
                           self->m_target.set_option(no_delay, ignored);
                           self->ReadRequest();
                           self->ReadAnswer();
                         });
}

void LinkConnection::Close() {
  Code ignored;
  m_timer.cancel();
  m_caller.close(ignored);
  m_target.close(ignored);
}

void LinkConnection::ReadRequest() {
  m_caller.async_read_some(
      asio::buffer(m_request),
      [self = shared_from_this()](Code code, std::size_t size) {
        if (code) return self->Close();
        self->OnRequest(size);
      });
}

void LinkConnection::OnRequest(std::size_t size) {
  if (IsHit(m_link, LinkMode::kClosed)) return Close();
  if (IsHit(m_link, LinkMode::kLoseRequests)) {
    m_are_requests_lost = true;
    m_are_answers_lost = true;
  }
  if (m_are_requests_lost) return ReadRequest();
  if (!IsHit(m_link, LinkMode::kDelayRequests)) return ForwardRequest(size);
  // The caller may close the connection meanwhile; the request still arrives.
  m_are_answers_lost = true;
  const auto longest = static_cast<std::uint64_t>(
      std::max<std::int64_t>(1, m_link.m_fault.m_longest_delay.count()));
  m_timer.expires_after(Duration(NextBelow(m_link.m_random, longest)));
  m_timer.async_wait([self = shared_from_this(), size](Code code) {
    if (!code) self->ForwardRequest(size);
  });
}

void LinkConnection::ForwardRequest(std::size_t size) {
  asio::async_write(m_target, asio::buffer(m_request, size),
                    [self = shared_from_this()](Code code, std::size_t) {
                      if (code) return self->Close();
                      self->ReadRequest();
                    });
}

void LinkConnection::ReadAnswer() {
  m_target.async_read_some(
      asio::buffer(m_answer),
      [self = shared_from_this()](Code code, std::size_t size) {
        // A connection that lost something goes silent instead of closing.
        if (code && self->m_are_answers_lost) return;
        if (code) return self->Close();
        self->OnAnswer(size);
      });
}

void LinkConnection::OnAnswer(std::size_t size) {
  if (IsHit(m_link, LinkMode::kLoseAnswers) ||
      IsHit(m_link, LinkMode::kLoseRequests)) {
    m_are_answers_lost = true;
  }
  if (m_are_answers_lost) return ReadAnswer();
  asio::async_write(m_caller, asio::buffer(m_answer, size),
                    [self = shared_from_this()](Code code, std::size_t) {
                      if (code) return self->Close();
                      self->ReadAnswer();
                    });
}

}  // namespace daisyarch
