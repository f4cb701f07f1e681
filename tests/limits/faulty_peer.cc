#include "faulty_peer.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <websocketpp/base64/base64.hpp>
#include <websocketpp/sha1/sha1.hpp>

namespace daisyarch::limits {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Socket = std::shared_ptr<tcp::socket>;
using Text = std::shared_ptr<std::string>;
using Code = boost::system::error_code;

constexpr std::size_t kForwardedBytes = 65536;

void Close(const Socket& socket) {
  Code code;
  socket->close(code);
}

void Forward(const Socket& from, const Socket& to) {
  const Text bytes = std::make_shared<std::string>(kForwardedBytes, '\0');
  from->async_read_some(
      asio::buffer(*bytes), [from, to, bytes](Code code, std::size_t count) {
        if (code) return Close(to);
        asio::async_write(*to, asio::buffer(bytes->data(), count),
                          [from, to, bytes](Code write_code, std::size_t) {
                            if (write_code) return Close(from);
                            Forward(from, to);
                          });
      });
}

void BeginForwarding(FaultyPeer& peer, const Socket& caller,
                     std::string begin = "") {
  const auto server =
      std::make_shared<tcp::socket>(peer.m_acceptor.get_executor());
  const tcp::endpoint endpoint(asio::ip::address_v4::loopback(),
                               peer.m_forward_port);
  peer.m_sockets.push_back(server);
  const Text request = std::make_shared<std::string>(std::move(begin));
  server->async_connect(endpoint, [caller, server, request](Code code) {
    if (code) return Close(caller);
    asio::async_write(*server, asio::buffer(*request),
                      [caller, server, request](Code write_code, std::size_t) {
                        if (write_code) return Close(caller);
                        Forward(caller, server);
                      });
    Forward(server, caller);
  });
}

void Drop(const Socket& socket) {
  const Text bytes = std::make_shared<std::string>(kForwardedBytes, '\0');
  socket->async_read_some(asio::buffer(*bytes),
                          [socket, bytes](Code code, std::size_t) {
                            if (!code) Drop(socket);
                          });
}

void SendPieces(FaultyPeer& peer, const Socket& socket, const Text& piece,
                std::size_t left) {
  if (left == 0 || piece->empty()) {
    ++peer.m_finished;
    return;
  }
  asio::async_write(*socket, asio::buffer(*piece),
                    [&peer, socket, piece, left](Code code, std::size_t bytes) {
                      peer.m_sent_bytes += bytes;
                      if (code) {
                        ++peer.m_finished;
                        return;
                      }
                      SendPieces(peer, socket, piece,
                                 left - std::min(left, bytes));
                    });
}

// The answer of RFC 6455 to the key of a request.
std::string AcceptUpgrade(const std::string& request) {
  static const std::string kName = "Sec-WebSocket-Key: ";
  const auto begin = request.find(kName);
  if (begin == std::string::npos) return "";
  const auto value = begin + kName.size();
  const std::string text =
      request.substr(value, request.find("\r\n", value) - value) +
      "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
  unsigned char hash[20];
  websocketpp::sha1::calc(text.data(), text.size(), hash);
  return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n"
         "Connection: Upgrade\r\nSec-WebSocket-Accept: " +
         websocketpp::base64_encode(hash, sizeof(hash)) + "\r\n\r\n";
}

void Answer(FaultyPeer& peer, const Socket& socket,
            const std::string& request) {
  const FaultyAnswer& answer = *peer.m_answer;
  if (answer.m_is_reading) Drop(socket);
  const bool is_upgraded = answer.m_role == PeerRole::kRelay &&
                           answer.m_prefix.rfind("HTTP", 0) != 0;
  auto prefix = std::make_shared<std::string>(
      (is_upgraded ? AcceptUpgrade(request) : "") + answer.m_prefix);
  if (answer.m_make_answer)
    *prefix += answer.m_make_answer(request, peer.m_begun);
  const Text piece = std::make_shared<std::string>(answer.m_piece);
  asio::async_write(*socket, asio::buffer(*prefix),
                    [&peer, socket, prefix, piece, left = answer.m_piece_bytes](
                        Code code, std::size_t bytes) {
                      peer.m_sent_bytes += bytes;
                      if (bytes > 0 || prefix->empty()) ++peer.m_begun;
                      SendPieces(peer, socket, piece, code ? 0 : left);
                    });
}

void BeginAnswer(FaultyPeer& peer, const Socket& socket) {
  const Text request = std::make_shared<std::string>();
  asio::async_read_until(*socket, asio::dynamic_buffer(*request), "\r\n\r\n",
                         [&peer, socket, request](Code code, std::size_t) {
                           if (code || peer.m_answer == nullptr) return;
                           const std::string& part = peer.m_answer->m_only_for;
                           if (request->find(part) == std::string::npos) {
                             // Each request comes on a connection of its own.
                             request->insert(request->find("\r\n"),
                                             "\r\nConnection: close");
                             return BeginForwarding(peer, socket, *request);
                           }
                           Answer(peer, socket, *request);
                         });
}

void Accept(FaultyPeer& peer) {
  peer.m_acceptor.async_accept([&peer](Code code, tcp::socket accepted) {
    if (code) return;
    const auto socket = std::make_shared<tcp::socket>(std::move(accepted));
    peer.m_sockets.push_back(socket);
    if (peer.m_answer == nullptr) {
      BeginForwarding(peer, socket);
    } else {
      BeginAnswer(peer, socket);
    }
    Accept(peer);
  });
}

}  // namespace

void Listen(FaultyPeer& peer) {
  const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), 0);
  peer.m_acceptor.open(endpoint.protocol());
  peer.m_acceptor.bind(endpoint);
  peer.m_acceptor.listen();
  Accept(peer);
}

void SetAnswer(FaultyPeer& peer, const FaultyAnswer* answer) {
  peer.m_answer = answer;
  const auto sockets = std::exchange(peer.m_sockets, {});
  for (const auto& entry : sockets) {
    if (const Socket socket = entry.lock()) Close(socket);
  }
}

}  // namespace daisyarch::limits
