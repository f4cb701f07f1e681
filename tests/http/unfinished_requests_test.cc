#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/http_server.h"

namespace daisyarch {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A server with a connection, and what that has received.
struct Trial {
  explicit Trial(const HttpServerLimits& limits = {}) : m_socket(m_loop) {
    m_server = HttpServer::Create(
                   m_loop, Address{"127.0.0.1", 0}, limits,
                   [](const HttpRequest&, const HttpResponder& respond) {
                     respond(HttpResponse{});
                   })
                   .assume_value();
    m_socket.connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), m_server->port()));
    ReadOn();
  }

  void ReadOn() {
    m_socket.async_read_some(
        asio::buffer(m_piece),
        [this](boost::system::error_code code, std::size_t bytes) {
          m_received.append(m_piece.data(), bytes);
          m_is_closed = static_cast<bool>(code);
          if (!m_is_closed) ReadOn();
        });
  }

  void Send(const std::string& bytes) {
    boost::system::error_code code;
    asio::write(m_socket, asio::buffer(bytes), code);
  }

  void RunFor(Duration duration) { m_loop.run_for(duration); }

  asio::io_context m_loop;
  std::unique_ptr<HttpServer> m_server;
  tcp::socket m_socket;
  std::array<char, 4096> m_piece{};
  std::string m_received;
  bool m_is_closed = false;
};

// Sends the start of a request and then single bytes, until the connection is
// closed or each has been given much longer than the period.
void Dribble(Trial& trial, const std::string& start) {
  trial.Send(start);
  for (int round = 0; round < 200 && !trial.m_is_closed; ++round) {
    trial.RunFor(std::chrono::milliseconds(50));
    if (!trial.m_is_closed) trial.Send("x");
  }
}

HttpServerLimits ShortPeriod() {
  HttpServerLimits limits;
  limits.m_progress_period = std::chrono::milliseconds(500);
  return limits;
}

}  // namespace

TEST_CASE("A long trailer isn't counted as progress again with each byte") {
  Trial trial(ShortPeriod());
  Dribble(trial,
          "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " +
              std::string(5500, 'x'));
  CHECK(trial.m_is_closed);
  CHECK(trial.m_received.empty());
}

TEST_CASE("A long header isn't counted as progress again with each byte") {
  Trial trial(ShortPeriod());
  Dribble(trial, "POST /a HTTP/1.1\r\nX: " + std::string(5500, 'x'));
  CHECK(trial.m_is_closed);
  CHECK(trial.m_received.empty());
}

TEST_CASE("Too many fields behind another request's body are refused at once") {
  Trial trial;
  trial.Send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhe");
  trial.RunFor(std::chrono::milliseconds(200));
  // Its body doesn't come, so that it is never whole.
  std::string second = "llo";
  second += "POST /a HTTP/1.1\r\nContent-Length: 5\r\n";
  for (int number = 0; number < 1000; ++number) second += "a:\r\n";
  trial.Send(second + "\r\n");
  for (int round = 0; round < 50 && !trial.m_is_closed; ++round) {
    trial.RunFor(std::chrono::milliseconds(100));
  }
  CHECK(trial.m_received.find("HTTP/1.1 200") == 0);
  CHECK(trial.m_received.find("HTTP/1.1 431") != std::string::npos);
  CHECK(trial.m_is_closed);
}

}  // namespace daisyarch
