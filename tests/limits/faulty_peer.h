#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace daisyarch::limits {

enum class PeerRole { kStore, kWorker, kRelay };

/// What a peer that a daemon calls answers, whatever was asked: the prefix, and
/// pieces until their bytes are sent. It sends nothing more, and closes no
/// connection.
struct FaultyAnswer {
  std::string m_name;
  PeerRole m_role = PeerRole::kStore;
  /// Peers with this role; a store has any number of connections.
  std::size_t m_peers = 1;
  std::string m_prefix;
  std::string m_piece;
  std::size_t m_piece_bytes = 0;
  bool m_is_reading = true;
  std::size_t m_answers_per_peer = 5;  ///< Sent or cut, before it is judged.
  /// Requests without this text are passed on to the real server.
  std::string m_only_for;
  /// Returns the whole answer to a request, the one with this number, if set.
  std::function<std::string(const std::string& request, std::size_t number)>
      m_make_answer;
};

/// The answers, each with the name of its test.
std::vector<FaultyAnswer> MakeFaultyAnswers();

/// Listens at a port of its own. Without an answer, it passes everything on to
/// the server at `m_forward_port`.
struct FaultyPeer {
  explicit FaultyPeer(boost::asio::io_context& loop) : m_acceptor(loop) {}

  boost::asio::ip::tcp::acceptor m_acceptor;
  const FaultyAnswer* m_answer = nullptr;
  std::uint16_t m_forward_port = 0;
  std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>> m_sockets;
  std::size_t m_begun = 0;     ///< Answers of which something was sent.
  std::size_t m_finished = 0;  ///< Answers that were sent or cut.
  std::size_t m_sent_bytes = 0;
};

/// Opens the peer, which must outlive the loop's handlers.
void Listen(FaultyPeer& peer);

/// Closes each connection and uses this answer from now on; null: forwards.
void SetAnswer(FaultyPeer& peer, const FaultyAnswer* answer);

}  // namespace daisyarch::limits
