#include "case_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <cstring>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

int Left(Clock::time_point until) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                        until - Clock::now())
                        .count();
  return left > 0 ? static_cast<int>(left) : 0;
}

bool Wait(int socket, short events, Clock::time_point until) {
  pollfd entry{socket, events, 0};
  return poll(&entry, 1, Left(until)) == 1;
}

bool SendAll(int socket, const std::string& text, Clock::time_point until) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    if (!Wait(socket, POLLOUT, until)) return false;
    const ssize_t count = send(socket, text.data() + sent, text.size() - sent,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Returns the length of the whole answer; 0 while that is not known.
std::size_t WholeLength(const std::string& text) {
  const auto end = text.find("\r\n\r\n");
  if (end == std::string::npos) return 0;
  for (auto line = text.find("\r\n"); line < end;
       line = text.find("\r\n", line + 2)) {
    constexpr std::size_t kNameLength = 15;
    const std::string name = text.substr(line + 2, kNameLength);
    if (strcasecmp(name.c_str(), "content-length:") != 0) continue;
    return end + 4 +
           std::strtoul(text.c_str() + line + 2 + kNameLength, nullptr, 10);
  }
  return 0;
}

// Returns the whole answer; empty if it does not come in time.
std::string ReadAll(int socket, Clock::time_point until) {
  std::string text;
  char piece[16384];
  while (Wait(socket, POLLIN, until)) {
    const ssize_t count = recv(socket, piece, sizeof piece, MSG_DONTWAIT);
    if (count <= 0) return "";
    text.append(piece, static_cast<std::size_t>(count));
    const std::size_t whole = WholeLength(text);
    if (whole > 0 && text.size() >= whole) return text;
  }
  return "";
}

}  // namespace

Answer AskAndLeave(std::uint16_t port, const std::string& method,
                   const std::string& target, const std::string& body,
                   int said_ms, int patience_ms) {
  const auto until = Clock::now() + std::chrono::milliseconds(patience_ms);
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket < 0) return {};
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::string text;
  const std::string request =
      method + " " + target +
      " HTTP/1.1\r\nHost: queue.example"
      "\r\nConnection: close\r\nX-Timeout-Ms: " +
      std::to_string(said_ms) +
      "\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  if (connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
          0 &&
      SendAll(socket, request, until)) {
    text = ReadAll(socket, until);
  }
  close(socket);
  Answer answer;
  const auto end = text.find("\r\n\r\n");
  if (end == std::string::npos || text.size() < 12) return answer;
  answer.m_status = std::atoi(text.substr(9, 3).c_str());
  answer.m_body = text.substr(end + 4);
  return answer;
}

Answer Ask(std::uint16_t port, const std::string& method,
           const std::string& target, const std::string& body, int timeout_ms) {
  return AskAndLeave(port, method, target, body, timeout_ms, timeout_ms);
}

}  // namespace review
