#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "http/http_client.h"

namespace daisyarch {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr Duration kConnectTimeout = milliseconds(200);
// Long enough for the requests to be sent on a busy machine.
constexpr Duration kTimeout = std::chrono::seconds(2);
constexpr Duration kMargin = milliseconds(100);

/// A connection on which a request has arrived.
struct PeerConnection {
  explicit PeerConnection(tcp::socket socket) : m_socket(std::move(socket)) {}

  tcp::socket m_socket;
  std::string m_request;
};

/// Accepts connections and answers their requests only when told to.
struct FakePeer {
  FakePeer() : m_acceptor(m_loop, {asio::ip::address_v4::loopback(), 0}) {}

  asio::io_context m_loop;
  tcp::acceptor m_acceptor;
  std::vector<std::shared_ptr<PeerConnection>> m_received;
};

HttpRequest MakeRequest() {
  HttpRequest request;
  request.m_method = "GET";
  request.m_target = "/";
  return request;
}

Address AddressOf(const FakePeer& peer) {
  return Address{"127.0.0.1", peer.m_acceptor.local_endpoint().port()};
}

void AcceptRequests(FakePeer& peer) {
  peer.m_acceptor.async_accept([&peer](boost::system::error_code code,
                                       tcp::socket socket) {
    if (code) return;
    auto connection = std::make_shared<PeerConnection>(std::move(socket));
    asio::async_read_until(
        connection->m_socket, asio::dynamic_buffer(connection->m_request),
        "\r\n\r\n",
        [&peer, connection](boost::system::error_code read_code, std::size_t) {
          if (!read_code) peer.m_received.push_back(connection);
        });
    AcceptRequests(peer);
  });
}

// Keeps the thread busy, as a long turn of the loop does.
void Block(Duration duration) {
  asio::io_context other_loop;
  asio::steady_timer(other_loop, duration).wait();
}

void Answer(tcp::socket& socket, std::size_t bytes) {
  const std::string response =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) +
      "\r\n\r\n" + std::string(bytes, 'x');
  asio::write(socket, asio::buffer(response));
}

struct Answers {
  std::size_t m_complete = 0;
  std::size_t m_failed = 0;
};

// Sends requests whose answers arrive while the client's loop is busy, until
// after their timeout.
Answers AnswersAfterBusyLoop(std::size_t requests, std::size_t bytes) {
  FakePeer peer;
  asio::io_context loop;
  HttpClient client(loop, AddressOf(peer), HttpClientLimits());
  Answers answers;
  for (std::size_t number = 0; number < requests; ++number) {
    client.Send(MakeRequest(), kTimeout,
                [&](const Result<HttpResponse>& result) {
                  const bool is_complete =
                      result && result.assume_value().m_body.size() == bytes;
                  ++(is_complete ? answers.m_complete : answers.m_failed);
                });
  }
  AcceptRequests(peer);
  while (peer.m_received.size() < requests) {
    loop.poll();
    peer.m_loop.run_one_for(milliseconds(1));
  }
  for (const auto& connection : peer.m_received) {
    Answer(connection->m_socket, bytes);
  }
  REQUIRE(answers.m_failed == 0);
  Block(kTimeout + kMargin);
  while (answers.m_complete + answers.m_failed < requests) loop.run_one();
  return answers;
}

}  // namespace

// Guards against a request that leaves later than its sender believes, since
// the loop was busy when the connection had been made.
TEST_CASE(
    "A request whose connection the loop finds made too late is not sent") {
  FakePeer peer;
  asio::io_context loop;
  HttpClientLimits limits;
  limits.m_connect_timeout = kConnectTimeout;
  HttpClient client(loop, AddressOf(peer), limits);
  std::optional<Result<HttpResponse>> late;
  client.Send(MakeRequest(), kTimeout, [&](Result<HttpResponse> result) {
    late.emplace(std::move(result));
  });
  tcp::socket socket = peer.m_acceptor.accept();
  Block(kConnectTimeout + kMargin);
  loop.poll();
  REQUIRE(late.has_value());
  REQUIRE_FALSE(*late);
  CHECK(late->assume_error().m_code == ErrorCode::kUnavailable);
  // The connection serves the next request.
  std::optional<Result<HttpResponse>> next;
  client.Send(MakeRequest(), kTimeout, [&](Result<HttpResponse> result) {
    next.emplace(std::move(result));
  });
  std::string received;
  const std::size_t bytes =
      asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n");
  CHECK(received.size() == bytes);
  Answer(socket, 1);
  while (!next) loop.run_one();
  CHECK(*next);
}

// Guards against an answer that is taken for none, because the loop was busy
// until after the timeout.
TEST_CASE("An answer that arrived in time is read after a busy time") {
  std::size_t requests = 1;
  std::size_t bytes = 100;
  SECTION("a small one") {}
  SECTION("a large one") { bytes = std::size_t{64} * 1024; }
  // More connections become readable than the system tells of at once.
  SECTION("one of many") { requests = 200; }
  const Answers answers = AnswersAfterBusyLoop(requests, bytes);
  CHECK(answers.m_complete == requests);
}

}  // namespace daisyarch
