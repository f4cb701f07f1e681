#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include "crowds.h"
#include "http/http_client.h"
#include "models/site_job.h"
#include "models/site_node.h"
#include "soak/child_process.h"
#include "wire/json.h"

namespace daisyarch::limits {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using soak::ChildProcess;

// The daemon's memory and descriptors, by its settings.
constexpr std::size_t kMemoryMb = 64;
constexpr std::size_t kDescriptors = 400;
#ifdef __SANITIZE_ADDRESS__
// Shadow memory, red zones and what the allocator keeps for reuse.
constexpr std::size_t kAllowanceMb = 128;
#else
constexpr std::size_t kAllowanceMb = 0;
#endif
constexpr Duration kAnswerTimeout = std::chrono::seconds(5);
constexpr int kAnswerTries = 12;
constexpr auto kCrowdTime = std::chrono::seconds(20);
constexpr auto kPause = std::chrono::milliseconds(200);

/// A daemon with its store, and the connections of a crowd.
struct Trial {
  asio::io_context m_loop;
  std::string m_build;
  std::string m_root;
  std::string m_folder;
  ChildProcess m_store;
  ChildProcess m_daemon;
  SiteNode m_node;
  std::vector<tcp::socket> m_reserved_ports;
  std::size_t m_unfinished = 0;  ///< Connections that are still sending.
  std::vector<std::shared_ptr<tcp::socket>> m_sockets;
};

// As in the soak: the daemon can listen there all the same.
std::uint16_t ReservePort(Trial& trial) {
  tcp::socket socket(trial.m_loop, tcp::v4());
  socket.set_option(asio::socket_base::reuse_address(true));
  socket.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  trial.m_reserved_ports.push_back(std::move(socket));
  return trial.m_reserved_ports.back().local_endpoint().port();
}

// Goes on with the crowd.
void Pause(Trial& trial) {
  asio::steady_timer timer(trial.m_loop, kPause);
  timer.async_wait([](boost::system::error_code) {});
  trial.m_loop.restart();
  trial.m_loop.run_for(kPause);
  timer.cancel();
}

// Returns the status; 0 without an answer.
unsigned Ask(Trial& trial, std::uint16_t port, HttpRequest request) {
  HttpClient client(trial.m_loop, Address{"127.0.0.1", port}, {});
  unsigned status = 0;
  bool is_done = false;
  client.Send(std::move(request), kAnswerTimeout,
              [&](Result<HttpResponse> result) {
                is_done = true;
                if (result) status = result.assume_value().m_status;
              });
  trial.m_loop.restart();
  while (!is_done && trial.m_loop.run_one() > 0) continue;
  client.CloseAllConnections();
  return status;
}

bool IsServed(Trial& trial, std::uint16_t port, const HttpRequest& request) {
  for (int number = 0; number < kAnswerTries; ++number) {
    if (Ask(trial, port, request) == 200) return true;
    Pause(trial);
  }
  return false;
}

bool IsServing(Trial& trial, const std::string& job_id) {
  SiteJob job;
  job.m_id = job_id;
  job.m_steps.emplace_back();
  HttpRequest submission{
      "POST", WriteJobPath(job), {{"Host", kSiteHost}}, WriteJobBody(job)};
  return IsServed(trial, trial.m_node.m_caller_port, submission) &&
         IsServed(trial, trial.m_node.m_ready_port, {"GET", "/"}) &&
         IsServed(trial, trial.m_node.m_metrics_port, {"GET", "/metrics"});
}

bool Begin(Trial& trial) {
  std::filesystem::remove_all(trial.m_folder);
  std::filesystem::create_directories(trial.m_folder);
  trial.m_store.m_log = trial.m_folder + "/store.log";
  soak::Launch(trial.m_store, trial.m_root,
               {trial.m_build + "/site_store_standin"});
  soak::Ports ports;
  if (!soak::WaitForPorts(trial.m_store, 2, ports)) return false;
  Ask(trial, ports.at("control"),
      {"POST",
       "/put",
       {},
       Json{{"key", kSiteConfigurationKey}, {"value", WriteSiteConfiguration()}}
           .dump()});
  trial.m_node.m_name = "n1";
  trial.m_node.m_caller_port = ReservePort(trial);
  trial.m_node.m_ready_port = ReservePort(trial);
  trial.m_node.m_metrics_port = ReservePort(trial);
  trial.m_node.m_relay_port = ReservePort(trial);
  trial.m_node.m_store_port = ports.at("store");
  trial.m_node.m_memory_mb = std::to_string(kMemoryMb);
  trial.m_node.m_maximum_descriptors = std::to_string(kDescriptors);
  std::stringstream text;
  text << std::ifstream(trial.m_root + "/deploy/settings.yaml").rdbuf();
  const std::string settings = trial.m_folder + "/n1.yaml";
  std::ofstream(settings) << FillSettings(text.str(), trial.m_node);
  trial.m_daemon.m_log = trial.m_folder + "/n1.log";
  soak::Launch(trial.m_daemon, trial.m_root,
               {trial.m_build + "/daisyarchd", "--site=" + settings});
  return IsServing(trial, "00000000000000a1");
}

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
      if (crowd.m_is_reading) ReadOn(socket);
      asio::async_write(*socket, asio::buffer(*prefix),
                        [&trial, &crowd, socket, prefix, piece](
                            boost::system::error_code write_code, std::size_t) {
                          if (write_code) return void(--trial.m_unfinished);
                          SendPieces(trial, crowd, socket, piece,
                                     crowd.m_piece_bytes);
                        });
    });
  }
  const auto end = std::chrono::steady_clock::now() + kCrowdTime;
  while (trial.m_unfinished > 0 && std::chrono::steady_clock::now() < end) {
    Pause(trial);
  }
}

std::size_t PeakMegabytes(const ChildProcess& process) {
  std::ifstream status("/proc/" + std::to_string(process.m_pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmHWM:", 0) == 0) {
      return std::strtoul(line.c_str() + 6, nullptr, 10) / 1024;
    }
  }
  return 0;
}

std::size_t OpenDescriptors(const ChildProcess& process) {
  std::error_code code;
  const std::filesystem::directory_iterator files(
      "/proc/" + std::to_string(process.m_pid) + "/fd", code);
  return code ? 0
              : static_cast<std::size_t>(
                    std::distance(begin(files), end(files)));
}

int Judge(Trial& trial, const Crowd& crowd) {
  int status = 0;
  if (!Begin(trial)) {
    std::cout << "the daemon does not serve; see " << trial.m_folder << "\n";
    return 1;
  }
  Press(trial, crowd);
  AwaitReading(trial, PortOf(trial.m_node, crowd.m_target));
  const std::size_t descriptors = OpenDescriptors(trial.m_daemon);
  // The crowd is still there.
  const bool is_serving = IsServing(trial, "00000000000000a2");
  const std::size_t megabytes = PeakMegabytes(trial.m_daemon);
  const bool is_alive = !soak::HasEnded(trial.m_daemon, status);
  const std::size_t limit = kMemoryMb + kAllowanceMb;
  std::cout << crowd.m_name << ": connections " << crowd.m_connections
            << ", alive " << is_alive << ", serving " << is_serving
            << ", peak MB " << megabytes << " of " << limit << ", descriptors "
            << descriptors << " of " << kDescriptors << ", connections that "
            << "could not send all " << trial.m_unfinished << "\n";
  return is_alive && is_serving && megabytes <= limit &&
                 descriptors <= kDescriptors
             ? 0
             : 1;
}

int Run(const std::string& build, const std::string& root,
        const std::string& name) {
  for (const Crowd& crowd : MakeCrowds()) {
    if (crowd.m_name != name) continue;
    Trial trial;
    trial.m_build = build;
    trial.m_root = root;
    trial.m_folder = build + "/limits/" + name;
    const int result = Judge(trial, crowd);
    soak::End(trial.m_daemon);
    soak::End(trial.m_store);
    return result;
  }
  std::cout << "no such crowd: " << name << "\n";
  return 1;
}

}  // namespace
}  // namespace daisyarch::limits

int main(int count, char** words) {
  if (count == 4) return daisyarch::limits::Run(words[1], words[2], words[3]);
  std::cout << "limits_test BUILD_FOLDER ROOT_FOLDER CROWD\n";
  return 1;
}
