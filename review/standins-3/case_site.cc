#include "case_site.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iomanip>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace review {

namespace {

using Json = nlohmann::json;

// Of each node, by its settings and as the platform limits it.
constexpr rlim_t kDescriptors = 4100;

// The socket is kept bound, and does not listen, so that nobody else takes the
// port; the node can listen there all the same.
std::uint16_t ReservePort() {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
  socklen_t size = sizeof address;
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::string Local(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace

double Seconds(const Site& site) {
  return std::chrono::duration<double>(Clock::now() - site.m_began_at).count();
}

void Note(Site& site, const std::string& line) {
  static std::mutex mutex;
  const std::lock_guard<std::mutex> lock(mutex);
  site.m_record << std::fixed << std::setprecision(3) << Seconds(site) << " "
                << line << std::endl;
}

void Sleep(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool OpenSite(Site& site, int count, char** words) {
  if (count < 4) return false;
  signal(SIGPIPE, SIG_IGN);
  site.m_root = words[1];
  site.m_build = words[2];
  site.m_record.open(words[3]);
  char folder[] = "/tmp/review-3-XXXXXX";
  if (mkdtemp(folder) == nullptr) return false;
  site.m_folder = folder;
  return site.m_record.is_open();
}

pid_t Start(Site& site, const std::string& name,
            const std::vector<std::string>& words, rlim_t descriptors) {
  const std::string log = site.m_folder + "/" + name + ".log";
  std::vector<std::string> copies = words;
  std::vector<char*> pointers;
  for (std::string& word : copies) pointers.push_back(word.data());
  pointers.push_back(nullptr);
  const pid_t pid = fork();
  if (pid != 0) return pid;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (descriptors > 0) {
    const rlimit limit{descriptors, descriptors};
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  if (chdir(site.m_root.c_str()) == 0) execv(pointers[0], pointers.data());
  _exit(127);
}

bool StartStandin(Site& site, const std::string& name,
                  const std::vector<std::string>& words, std::size_t ports,
                  Ports& found) {
  std::vector<std::string> all = words;
  all.insert(all.begin(), site.m_build + "/" + name);
  const pid_t pid = Start(site, name, all);
  site.m_standins.push_back(pid);
  for (int tries = 0; tries < 500; ++tries) {
    found.clear();
    std::ifstream log(site.m_folder + "/" + name + ".log");
    std::string word;
    std::string port_name;
    std::uint16_t port = 0;
    while (log >> word) {
      if (word == "port" && log >> port_name >> port) found[port_name] = port;
    }
    if (found.size() >= ports) return true;
    Sleep(20);
  }
  return false;
}

bool StartStore(Site& site) {
  return StartStandin(site, "paged_store", {}, 2, site.m_store);
}

namespace {

bool StartLinks(Site& site, int count) {
  std::vector<std::string> words;
  for (int number = 1; number <= count; ++number) {
    const std::string name = "w" + std::to_string(number);
    words.push_back(name + "=" + std::to_string(site.m_workers[name]));
  }
  return StartStandin(site, "late_proxy", words,
                      static_cast<std::size_t>(count) + 1, site.m_links);
}

}  // namespace

bool StartWorkers(Site& site, int count, bool has_links) {
  const bool has_started =
      StartStandin(site, "site_worker_standin",
                   {"--workers=" + std::to_string(count),
                    "--record=" + site.m_folder + "/workers.txt",
                    "--store=" + Local(site.m_store["control"])},
                   static_cast<std::size_t>(count) + 1, site.m_workers);
  if (!has_started) return false;
  if (has_links && !StartLinks(site, count)) return false;
  for (int number = 1; number <= count; ++number) {
    const std::string name = "w" + std::to_string(number);
    const Ports& ports = has_links ? site.m_links : site.m_workers;
    Ask(site.m_workers["control"], "POST", "/begin",
        Json{{"worker", name},
             {"id", name},
             {"zone", "zone-a"},
             {"address", Local(ports.at(name))}}
            .dump(),
        2000);
  }
  return true;
}

void PutConfiguration(Site& site) {
  const Json configuration = {
      {"version", 7},
      {"routes",
       {{{"name", "work"},
         {"host", "queue.example"},
         {"prefix", "/jobs/"},
         {"service", "pool"},
         {"priority", 1},
         {"max_attempts", 4},
         {"stretch", 2.0},
         {"target_duration_ms", 1000}}}},
      {"services", {{{"name", "pool"}, {"enforces_capacity", false}}}},
      {"limits", {{"max_body_bytes", 262144}}}};
  Ask(site.m_store["control"], "POST", "/put",
      Json{{"key", "op/config"}, {"value", configuration.dump()}}.dump(), 2000);
}

void AddNode(Site& site, const std::string& name) {
  Node node;
  node.m_name = name;
  node.m_callers = ReservePort();
  node.m_ready = ReservePort();
  const std::uint16_t metrics = ReservePort();
  const std::uint16_t relay = ReservePort();
  const std::pair<std::string, std::string> values[] = {
      {"node", name},
      {"zone", "zone-a"},
      {"limits.cpu_share", site.m_share},
      {"limits.memory_mb", site.m_memory_mb},
      {"limits.max_fds", std::to_string(kDescriptors)},
      {"bounds.far_x", "1.5"},
      {"listen.front", Local(node.m_callers)},
      {"listen.ready", Local(node.m_ready)},
      {"ip", "127.0.0.1"},
      {"port_range.0", std::to_string(metrics)},
      {"port_range.1", std::to_string(relay)},
      {"platform.addr", Local(site.m_store["store"])},
      {"platform.ttl_min_ms", "1000"},
      {"bounds.hold_max_ms", "10000"},
      {"bounds.grace_s", "6"},
      {"bounds.status_s", "120"},
      {"bounds.harm_ms", "4000"},
      {"bounds.drain_ms", "2000"},
      {"bounds.evacuate_ms", ""}};
  std::string text = ReadFile(site.m_root + "/deploy/settings.yaml");
  for (const auto& [key, value] : values) {
    const std::string mark = "{{" + key + "}}";
    for (auto at = text.find(mark); at != std::string::npos;
         at = text.find(mark)) {
      text.replace(at, mark.size(), value);
    }
  }
  node.m_settings = site.m_folder + "/" + name + ".yaml";
  std::ofstream(node.m_settings) << text;
  site.m_nodes.push_back(node);
}

void StartNode(Site& site, Node& node) {
  node.m_pid =
      Start(site, node.m_name,
            {"target/daisyarchd", "--site=" + node.m_settings}, kDescriptors);
  Note(site, "platform starts " + node.m_name);
}

void KillNode(Site& site, Node& node, int signal) {
  if (node.m_pid <= 0) return;
  Note(site, "platform sends signal " + std::to_string(signal) + " to " +
                 node.m_name);
  kill(node.m_pid, signal);
  if (signal != SIGKILL) return;
  waitpid(node.m_pid, nullptr, 0);
  node.m_pid = -1;
}

bool HasEnded(Node& node) {
  int status = 0;
  if (node.m_pid <= 0 || waitpid(node.m_pid, &status, WNOHANG) != node.m_pid) {
    return false;
  }
  node.m_pid = -1;
  return true;
}

double MemoryOf(const Node& node) {
  if (node.m_pid <= 0) return 0;
  std::ifstream status("/proc/" + std::to_string(node.m_pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.compare(0, 6, "VmRSS:") != 0) continue;
    return std::atof(line.c_str() + 6) / 1024;
  }
  return 0;
}

bool WaitUntilReady(Site& site, int seconds) {
  for (int tries = 0; tries < seconds * 10; ++tries) {
    bool are_ready = true;
    for (const Node& node : site.m_nodes) {
      are_ready =
          are_ready &&
          Ask(node.m_ready, "GET", "/daisyarch/ready", "", 1000).m_status ==
              200;
    }
    if (are_ready) return true;
    Sleep(100);
  }
  return false;
}

std::string ValueAt(Site& site, const std::string& key) {
  const Answer answer = Ask(site.m_store["control"], "POST", "/value",
                            Json{{"key", key}}.dump(), 2000);
  const Json body = Json::parse(answer.m_body, nullptr, false);
  return body.is_object() ? body.value("value", std::string()) : "";
}

int LeaderOf(Site& site) {
  const std::string holder = ValueAt(site, "daisyarch/lead/holder");
  for (std::size_t index = 0; index < site.m_nodes.size(); ++index) {
    if (site.m_nodes[index].m_name == holder) return static_cast<int>(index);
  }
  return -1;
}

void NoteRuns(Site& site) {
  std::ifstream runs(site.m_folder + "/workers.txt");
  const double began_ms = std::chrono::duration<double, std::milli>(
                              site.m_began_at.time_since_epoch())
                              .count();
  std::string line;
  while (std::getline(runs, line)) {
    const auto space = line.find(' ');
    const double at = std::atof(line.substr(0, space).c_str()) - began_ms;
    site.m_record << std::fixed << std::setprecision(3) << at / 1000
                  << " executor:" << line.substr(space) << "\n";
  }
}

void EndSite(Site& site) {
  for (Node& node : site.m_nodes) {
    if (node.m_pid > 0) kill(node.m_pid, SIGKILL);
    if (node.m_pid > 0) waitpid(node.m_pid, nullptr, 0);
  }
  for (const pid_t pid : site.m_standins) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  const char* keep = std::getenv("KEEP");
  if (keep == nullptr) {
    const std::string command = "rm -rf " + site.m_folder;
    if (std::system(command.c_str()) != 0) Note(site, "folder not removed");
  } else {
    Note(site, "folder " + site.m_folder);
  }
}

bool IsCalm() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

std::string StateOf(const Answer& answer) {
  const Json body = Json::parse(answer.m_body, nullptr, false);
  return body.is_object() ? body.value("state", std::string()) : "";
}

}  // namespace review
