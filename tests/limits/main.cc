#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>

#include "crowds.h"
#include "press_peers.h"
#include "trial.h"

namespace daisyarch::limits {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

using Buffer = std::shared_ptr<const std::string>;

void Dribble(Trial& trial, const std::shared_ptr<tcp::socket>& socket) {
  auto timer = std::make_shared<asio::steady_timer>(trial.m_loop, kPause);
  timer->async_wait([&trial, socket, timer](boost::system::error_code) {
    static const char kByte = 'x';
    boost::system::error_code code;
    socket->send(asio::buffer(&kByte, 1), MSG_DONTWAIT | MSG_NOSIGNAL, code);
    if (!code) Dribble(trial, socket);
  });
}

void SendPieces(Trial& trial, const Crowd& crowd,
                const std::shared_ptr<tcp::socket>& socket, const Buffer& piece,
                std::size_t left) {
  const auto next = [&trial, &crowd, socket, piece, left](
                        boost::system::error_code code, std::size_t bytes) {
    trial.m_sent_bytes += bytes;
    if (!code && left > 0) {
      return SendPieces(trial, crowd, socket, piece,
                        left - std::min(left, bytes));
    }
    --trial.m_unfinished;
    if (!code && crowd.m_is_dribbling) Dribble(trial, socket);
  };
  if (left == 0 || piece->empty()) return next({}, 0);
  asio::async_write(*socket, asio::buffer(*piece), next);
}

void ReadOn(const std::shared_ptr<tcp::socket>& socket) {
  auto bytes = std::make_shared<std::string>(4096, '\0');
  socket->async_read_some(
      asio::buffer(*bytes),
      [socket, bytes](boost::system::error_code code, std::size_t) {
        if (!code) ReadOn(socket);
      });
}

std::uint16_t PortOf(const SiteNode& node, Target target) {
  switch (target) {
    case Target::kMetrics:
      return node.m_metrics_port;
    case Target::kRelay:
      return node.m_relay_port;
    case Target::kCallers:
      break;
  }
  return node.m_caller_port;
}

// Returns the bytes that wait in the kernel for the reader at this port.
std::size_t UnreadBytes(std::uint16_t port) {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::size_t sum = 0;
  while (std::getline(table, line)) {
    unsigned local = 0;
    std::size_t unread = 0;
    const int fields = std::sscanf(
        line.c_str(), " %*d: %*8x:%x %*8x:%*x %*x %*8x:%zx", &local, &unread);
    if (fields == 2 && local == port) sum += unread;
  }
  return sum;
}

// Waits until the daemon has read what the crowd has sent, or reads no more.
void AwaitReading(Trial& trial, std::uint16_t port) {
  constexpr int kSteadyRounds = 15;
  std::size_t before = 0;
  for (int steady = 0; steady < kSteadyRounds; ++steady) {
    const std::size_t unread = UnreadBytes(port);
    if (unread == 0) return;
    if (unread != before) steady = 0;
    before = unread;
    Pause(trial);
  }
}

// Returns once each connection has sent all or was closed, at the latest after
// kCrowdTime.
void Press(Trial& trial, const Crowd& crowd) {
  const tcp::endpoint endpoint(asio::ip::address_v4::loopback(),
                               PortOf(trial.m_node, crowd.m_target));
  const auto prefix = std::make_shared<const std::string>(crowd.m_prefix);
  const auto piece = std::make_shared<const std::string>(crowd.m_piece);
  for (std::size_t number = 0; number < crowd.m_connections; ++number) {
    auto socket = std::make_shared<tcp::socket>(trial.m_loop);
    trial.m_sockets.push_back(socket);
    ++trial.m_unfinished;
    socket->async_connect(endpoint, [&trial, &crowd, socket, prefix,
                                     piece](boost::system::error_code code) {
      if (code) return void(--trial.m_unfinished);
      ++trial.m_connected;
      if (crowd.m_is_reading) ReadOn(socket);
      asio::async_write(
          *socket, asio::buffer(*prefix),
          [&trial, &crowd, socket, prefix, piece](
              boost::system::error_code write_code, std::size_t bytes) {
            trial.m_sent_bytes += bytes;
            if (write_code) return void(--trial.m_unfinished);
            SendPieces(trial, crowd, socket, piece, crowd.m_piece_bytes);
          });
    });
  }
  const auto end = std::chrono::steady_clock::now() + kCrowdTime;
  while (trial.m_unfinished > 0 && std::chrono::steady_clock::now() < end) {
    Pause(trial);
  }
}

// A crowd that never came to send presses nothing.
bool HasPressed(const Trial& trial, const Crowd& crowd) {
  const bool is_silent = crowd.m_prefix.empty() && crowd.m_piece.empty();
  return trial.m_connected == crowd.m_connections &&
         (is_silent || trial.m_sent_bytes > 0);
}

bool RunCrowd(Trial& trial, const Crowd& crowd) {
  if (!StartStore(trial) || !StartDaemon(trial)) {
    std::cout << "the daemon does not serve; see " << trial.m_folder << "\n";
    return false;
  }
  Press(trial, crowd);
  AwaitReading(trial, PortOf(trial.m_node, crowd.m_target));
  const bool is_within = Judge(crowd.m_name, Measure(trial));
  std::cout << "connections " << trial.m_connected << " of "
            << crowd.m_connections << ", sent bytes " << trial.m_sent_bytes
            << ", connections that could not send all " << trial.m_unfinished
            << "\n";
  return is_within && HasPressed(trial, crowd);
}

int Run(const std::string& build, const std::string& root,
        const std::string& name) {
  Trial trial;
  trial.m_build = build;
  trial.m_root = root;
  trial.m_folder = build + "/limits/" + name;
  const auto crowds = MakeCrowds();
  const auto answers = MakeFaultyAnswers();
  bool is_known = false;
  bool has_passed = false;
  for (const Crowd& crowd : crowds) {
    if (crowd.m_name != name) continue;
    is_known = true;
    has_passed = RunCrowd(trial, crowd);
  }
  for (const FaultyAnswer& answer : answers) {
    if (answer.m_name != name) continue;
    is_known = true;
    has_passed = RunFaultyPeers(trial, answer);
  }
  if (!is_known) std::cout << "no such crowd: " << name << "\n";
  soak::End(trial.m_daemon);
  soak::End(trial.m_store);
  return has_passed ? 0 : 1;
}

}  // namespace
}  // namespace daisyarch::limits

int main(int count, char** words) {
  if (count == 4) return daisyarch::limits::Run(words[1], words[2], words[3]);
  std::cout << "limits_test BUILD_FOLDER ROOT_FOLDER CROWD\n";
  return 1;
}
