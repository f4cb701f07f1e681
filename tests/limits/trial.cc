#include "trial.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "http/http_client.h"
#include "models/site_job.h"
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

bool IsServed(Trial& trial, std::uint16_t port, const HttpRequest& request) {
  for (int number = 0; number < kAnswerTries; ++number) {
    if (Ask(trial, port, request) == 200) return true;
    Pause(trial);
  }
  return false;
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

}  // namespace

// As in the soak: the daemon can listen there all the same.
std::uint16_t ReservePort(Trial& trial) {
  tcp::socket socket(trial.m_loop, tcp::v4());
  socket.set_option(asio::socket_base::reuse_address(true));
  socket.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  trial.m_reserved_ports.push_back(std::move(socket));
  return trial.m_reserved_ports.back().local_endpoint().port();
}

std::uint16_t AddPeer(Trial& trial) {
  trial.m_peers.push_back(std::make_unique<FaultyPeer>(trial.m_loop));
  Listen(*trial.m_peers.back());
  return trial.m_peers.back()->m_acceptor.local_endpoint().port();
}

void Pause(Trial& trial) {
  asio::steady_timer timer(trial.m_loop, kPause);
  timer.async_wait([](boost::system::error_code) {});
  trial.m_loop.restart();
  trial.m_loop.run_for(kPause);
  timer.cancel();
}

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

void PutKey(Trial& trial, const std::string& key, const std::string& value) {
  Ask(trial, trial.m_control_port,
      {"POST", "/put", {}, Json{{"key", key}, {"value", value}}.dump()});
}

bool StartStore(Trial& trial) {
  std::filesystem::remove_all(trial.m_folder);
  std::filesystem::create_directories(trial.m_folder);
  trial.m_store.m_log = trial.m_folder + "/store.log";
  soak::Launch(trial.m_store, trial.m_root,
               {trial.m_build + "/site_store_standin"});
  soak::Ports ports;
  if (!soak::WaitForPorts(trial.m_store, 2, ports)) return false;
  trial.m_store_port = ports.at("store");
  trial.m_control_port = ports.at("control");
  PutKey(trial, kSiteConfigurationKey, WriteSiteConfiguration());
  trial.m_node.m_store_port = trial.m_store_port;
  return true;
}

bool StartDaemon(Trial& trial) {
  trial.m_node.m_name = "n1";
  trial.m_node.m_caller_port = ReservePort(trial);
  trial.m_node.m_ready_port = ReservePort(trial);
  trial.m_node.m_metrics_port = ReservePort(trial);
  trial.m_node.m_relay_port = ReservePort(trial);
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

Measured Measure(Trial& trial) {
  Measured measured;
  int status = 0;
  measured.m_descriptors = OpenDescriptors(trial.m_daemon);
  measured.m_is_serving = IsServing(trial, "00000000000000a2");
  measured.m_peak_megabytes = PeakMegabytes(trial.m_daemon);
  measured.m_is_alive = !soak::HasEnded(trial.m_daemon, status);
  return measured;
}

bool Judge(const std::string& name, const Measured& measured) {
  const std::size_t limit = kMemoryMb + kAllowanceMb;
  std::cout << name << ": alive " << measured.m_is_alive << ", serving "
            << measured.m_is_serving << ", peak MB "
            << measured.m_peak_megabytes << " of " << limit << ", descriptors "
            << measured.m_descriptors << " of " << kDescriptors << "\n";
  return measured.m_is_alive && measured.m_is_serving &&
         measured.m_peak_megabytes <= limit &&
         measured.m_descriptors <= kDescriptors;
}

}  // namespace daisyarch::limits
