// Stands between the nodes and the executors and passes their HTTP messages on.
// Arguments: NAME=PORT of each executor; prints "port NAME N" and "port control
// N". Orders through the control port, each with `link`:
// /late, `ms`: the next start gets no answer and is carried out so much later;
// /cut, `for_ms`: meanwhile nothing passes, and open connections stay silent;
// /held returns whether a start is being held.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

struct Link {
  std::uint16_t m_port = 0;  ///< Of the executor.
  std::atomic<std::int64_t> m_late_ms{0};
  std::atomic<std::int64_t> m_cut_until{0};
  std::atomic<bool> m_is_holding{false};
};

using Links = std::map<std::string, std::unique_ptr<Link>>;

bool IsCut(const Link& link) { return NowMs() < link.m_cut_until; }

bool ReadMore(int socket, std::string& buffer) {
  char piece[16384];
  const ssize_t count = recv(socket, piece, sizeof piece, 0);
  if (count <= 0) return false;
  buffer.append(piece, static_cast<std::size_t>(count));
  return true;
}

bool SendAll(int socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
        send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::size_t LengthOf(const std::string& header) {
  for (auto line = header.find("\r\n"); line != std::string::npos;
       line = header.find("\r\n", line + 2)) {
    constexpr std::size_t kNameLength = 15;
    const std::string name = header.substr(line + 2, kNameLength);
    if (strcasecmp(name.c_str(), "content-length:") != 0) continue;
    return std::stoul(header.substr(line + 2 + kNameLength));
  }
  return 0;
}

// Takes one whole message off the buffer; empty if the peer has closed.
std::string TakeMessage(int socket, std::string& buffer) {
  auto end = buffer.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!ReadMore(socket, buffer)) return "";
    end = buffer.find("\r\n\r\n");
  }
  const std::size_t whole = end + 4 + LengthOf(buffer.substr(0, end));
  while (buffer.size() < whole) {
    if (!ReadMore(socket, buffer)) return "";
  }
  const std::string message = buffer.substr(0, whole);
  buffer.erase(0, whole);
  return message;
}

int Connect(std::uint16_t port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
      0) {
    return socket;
  }
  close(socket);
  return -1;
}

void WaitForClose(int socket, std::string& buffer) {
  while (ReadMore(socket, buffer)) buffer.clear();
  close(socket);
}

void DeliverLate(std::uint16_t port, const std::string& request,
                 std::int64_t delay_ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
  const int socket = Connect(port);
  if (socket < 0) return;
  std::string buffer;
  SendAll(socket, request);
  const std::string answer = TakeMessage(socket, buffer);
  std::cout << "late start answered: " << answer.substr(9, 3) << std::endl;
  close(socket);
}

bool IsStart(const std::string& request) {
  return request.compare(0, 26, "POST /daisyarch/run-start ") == 0;
}

void Serve(Link& link, int client) {
  std::string from_client;
  std::string from_server;
  int server = -1;
  while (true) {
    const std::string request = TakeMessage(client, from_client);
    if (request.empty()) break;
    if (IsCut(link)) {
      if (server >= 0) close(server);
      return WaitForClose(client, from_client);
    }
    if (IsStart(request) && link.m_late_ms > 0) {
      const std::int64_t delay_ms = link.m_late_ms.exchange(0);
      link.m_is_holding = true;
      std::thread(DeliverLate, link.m_port, request, delay_ms).detach();
      if (server >= 0) close(server);
      return WaitForClose(client, from_client);
    }
    if (server < 0) server = Connect(link.m_port);
    if (server < 0 || !SendAll(server, request)) break;
    const std::string answer = TakeMessage(server, from_server);
    if (IsCut(link)) {
      close(server);
      return WaitForClose(client, from_client);
    }
    if (answer.empty() || !SendAll(client, answer)) break;
  }
  if (server >= 0) close(server);
  close(client);
}

Json Control(Links& links, const std::string& path, const Json& body) {
  const auto found = links.find(body.value("link", std::string()));
  if (found == links.end()) return Json::object();
  Link& link = *found->second;
  if (path == "/late") link.m_late_ms = body.value("ms", 0);
  if (path == "/cut") link.m_cut_until = NowMs() + body.value("for_ms", 0);
  return {{"is_holding", link.m_is_holding.load()}};
}

void ServeControl(Links& links, int socket) {
  std::string buffer;
  while (true) {
    const std::string request = TakeMessage(socket, buffer);
    if (request.empty()) break;
    const auto begin = request.find(' ') + 1;
    const std::string path =
        request.substr(begin, request.find(' ', begin) - begin);
    const Json body = Json::parse(request.substr(request.find("\r\n\r\n") + 4),
                                  nullptr, false);
    const std::string answer =
        body.is_object() ? Control(links, path, body).dump() : "{}";
    SendAll(socket, "HTTP/1.1 200 -\r\nContent-Length: " +
                        std::to_string(answer.size()) + "\r\n\r\n" + answer);
  }
  close(socket);
}

int Listen(const std::string& name) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
  listen(socket, 512);
  socklen_t size = sizeof address;
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  std::cout << "port " << name << " " << ntohs(address.sin_port) << std::endl;
  return socket;
}

template <typename Handle>
void AcceptAll(int listener, Handle handle) {
  while (true) {
    const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) continue;
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread(handle, socket).detach();
  }
}

}  // namespace

int main(int count, char** words) {
  static Links links;
  for (int number = 1; number < count; ++number) {
    const std::string word = words[number];
    const auto equals = word.find('=');
    const std::string name = word.substr(0, equals);
    auto added = std::make_unique<Link>();
    added->m_port =
        static_cast<std::uint16_t>(std::stoul(word.substr(equals + 1)));
    Link& link = *added;
    links[name] = std::move(added);
    const int listener = Listen(name);
    std::thread([listener, &link] {
      AcceptAll(listener, [&link](int socket) { Serve(link, socket); });
    }).detach();
  }
  AcceptAll(Listen("control"), [](int socket) { ServeControl(links, socket); });
}
