#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "base/random.h"
#include "http/http_client.h"
#include "http/http_server.h"

namespace daisyarch {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Duration kTimeout = std::chrono::seconds(5);
constexpr std::size_t kMaximumBodyBytes = 4096;

// Parts that a request is put together from, in any order.
const char* const kParts[] = {"GET / HTTP/1.1\r\n",
                              "POST /a HTTP/1.1\r\n",
                              "POST /a HTTP/9.9\r\n",
                              "Host: a\r\n",
                              "Host: a",
                              ": empty\r\n",
                              "Content-Length: 5\r\n",
                              "Content-Length: -5\r\n",
                              "Content-Length: 99999999999999999999\r\n",
                              "Content-Length: 5\r\nContent-Length: 7\r\n",
                              "Transfer-Encoding: chunked\r\n",
                              "\r\n",
                              "5\r\nhello\r\n",
                              "zz\r\nhello\r\n",
                              "ffffffffffffffff\r\n",
                              "0\r\n\r\n",
                              "0\r\n",
                              "X-Trailer: a\r\n",
                              "5;a=b\r\nhello\r\n",
                              "5;a=",
                              "\r\r\n\n",
                              "hello"};

std::string OddRequest(Random& random) {
  std::string request;
  const std::uint64_t parts = 1 + NextBelow(random, 8);
  for (std::uint64_t part = 0; part < parts; ++part) {
    request += kParts[NextBelow(random, std::size(kParts))];
  }
  if (NextBelow(random, 4) == 0) {
    request[NextBelow(random, request.size())] =
        static_cast<char>(NextBelow(random, 256));
  }
  if (NextBelow(random, 8) == 0) request.append(20000, 'x');
  if (NextBelow(random, 8) == 0) request.resize(NextBelow(random, 64));
  return request;
}

/// A server that answers every request that it receives whole.
struct EchoServer {
  EchoServer() {
    HttpServerLimits limits;
    limits.m_maximum_body_bytes = kMaximumBodyBytes;
    m_server =
        HttpServer::Create(m_loop, Address{"127.0.0.1", 0}, limits,
                           [](HttpRequest request, HttpResponder respond) {
                             HttpResponse response;
                             response.m_body = request.m_body;
                             respond(std::move(response));
                           })
            .assume_value();
  }

  asio::io_context m_loop;
  std::unique_ptr<HttpServer> m_server;
};

// Writes the bytes, and leaves the connection open or closes it.
void SendBytes(EchoServer& server, tcp::socket& socket,
               const std::string& bytes) {
  boost::system::error_code code;
  socket.connect(
      tcp::endpoint(asio::ip::address_v4::loopback(), server.m_server->port()),
      code);
  REQUIRE(!code);
  asio::write(socket, asio::buffer(bytes), code);
}

bool IsAnswered(EchoServer& server) {
  HttpClient client(server.m_loop,
                    Address{"127.0.0.1", server.m_server->port()}, {});
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/sound";
  request.m_body = "sound";
  bool is_answered = false;
  bool is_done = false;
  client.Send(std::move(request), kTimeout, [&](Result<HttpResponse> result) {
    is_done = true;
    is_answered = result && result.assume_value().m_body == "sound";
  });
  while (!is_done) server.m_loop.run_one();
  return is_answered;
}

}  // namespace

// Guards against a request that ends the process, or keeps it from others.
TEST_CASE("A server goes on serving beside malformed requests") {
  EchoServer server;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Random random{seed};
    const std::string odd = OddRequest(random);
    INFO("seed " << seed << ": " << odd.substr(0, 300));
    tcp::socket socket(server.m_loop);
    SendBytes(server, socket, odd);
    if (NextBelow(random, 2) == 0) socket.close();
    CHECK(IsAnswered(server));
  }
}

}  // namespace daisyarch
