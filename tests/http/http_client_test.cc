#include "http/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace daisyarch {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kBodyBytes = 200 * 1024;
constexpr std::size_t kReadBytes = 64 * 1024;
constexpr std::size_t kMaximumTurns = 100;
constexpr Duration kTimeout = std::chrono::minutes(1);

/// Accepts one connection and answers its first request with a large body.
struct FakePeer {
  explicit FakePeer(asio::io_context& loop)
      : m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        m_socket(loop),
        m_response(
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) +
            "\r\n\r\n" + std::string(kBodyBytes, 'x')) {}

  tcp::acceptor m_acceptor;
  tcp::socket m_socket;
  std::string m_request;
  std::string m_response;
};

void Serve(FakePeer& peer) {
  peer.m_acceptor.async_accept(peer.m_socket, [&peer](auto accept_code) {
    if (accept_code) return;
    asio::async_read_until(peer.m_socket, asio::dynamic_buffer(peer.m_request),
                           "\r\n\r\n", [&peer](auto read_code, std::size_t) {
                             if (read_code) return;
                             asio::async_write(peer.m_socket,
                                               asio::buffer(peer.m_response),
                                               [](auto, std::size_t) {});
                           });
  });
}

}  // namespace

// Guards against a busy loop that never finishes a list or a watch of the
// store, and so learns of no job and of no cancellation.
TEST_CASE("A large response takes few turns of the loop") {
  asio::io_context loop;
  FakePeer peer(loop);
  Serve(peer);
  HttpClientLimits limits;
  limits.m_read_bytes = kReadBytes;
  HttpClient client(
      loop, Address{"127.0.0.1", peer.m_acceptor.local_endpoint().port()},
      limits);
  std::size_t received_bytes = 0;
  bool is_answered = false;
  HttpRequest request;
  request.m_method = "GET";
  request.m_target = "/";
  client.Send(std::move(request), kTimeout, [&](Result<HttpResponse> result) {
    is_answered = true;
    if (result) received_bytes = result.assume_value().m_body.size();
  });
  std::size_t turns = 0;
  while (!is_answered) turns += loop.run_one();
  CHECK(received_bytes == kBodyBytes);
  CHECK(turns <= kMaximumTurns);
}

}  // namespace daisyarch
