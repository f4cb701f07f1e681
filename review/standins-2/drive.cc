#include "drive.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <thread>

#include "models/site_node.h"

namespace daisyarch::review {

namespace {

constexpr int kDescriptors = 1024;
constexpr int kControlTimeoutMs = 2000;

sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// The daemon can bind to the port all the same, as both sockets allow it and
// this one does not listen.
std::uint16_t ReservePort(std::vector<int>& reserved) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof(address);
  if (bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0) return 0;
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  reserved.push_back(socket);
  return ntohs(address.sin_port);
}

bool WaitReady(int socket, short events, std::int64_t until) {
  const std::int64_t left = until - NowMs();
  if (left <= 0) return false;
  pollfd entry{socket, events, 0};
  return poll(&entry, 1, static_cast<int>(left)) == 1;
}

bool Connect(int socket, std::uint16_t port, std::int64_t until) {
  const sockaddr_in address = LoopbackAddress(port);
  const int result = connect(
      socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (result == 0) return true;
  if (errno != EINPROGRESS || !WaitReady(socket, POLLOUT, until)) return false;
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
  return error == 0;
}

// Returns the body's length if the head is complete; -1 otherwise.
long BodyLength(const std::string& text, std::size_t& begin) {
  begin = text.find("\r\n\r\n");
  if (begin == std::string::npos) return -1;
  std::string head = text.substr(0, begin);
  for (char& letter : head)
    letter = static_cast<char>(tolower(static_cast<unsigned char>(letter)));
  begin += 4;
  const auto field = head.find("content-length:");
  if (field == std::string::npos) return 0;
  return std::strtol(head.c_str() + field + 15, nullptr, 10);
}

Answer Call(std::uint16_t port, const std::string& method,
            const std::string& path, const std::string& host,
            const std::string& body, int timeout_ms) {
  const std::int64_t until = NowMs() + timeout_ms;
  const int socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  Answer answer;
  std::ostringstream request;
  request << method << " " << path << " HTTP/1.1\r\nHost: " << host
          << "\r\nX-Timeout-Ms: " << timeout_ms
          << "\r\nConnection: close\r\nContent-Type: application/json\r\n"
          << "Content-Length: " << body.size() << "\r\n\r\n"
          << body;
  const std::string sent = request.str();
  std::string text;
  if (Connect(socket, port, until) &&
      send(socket, sent.data(), sent.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(sent.size())) {
    while (WaitReady(socket, POLLIN, until)) {
      char part[4096];
      const ssize_t count = recv(socket, part, sizeof(part), 0);
      if (count <= 0) break;
      text.append(part, static_cast<std::size_t>(count));
      std::size_t begin = 0;
      const long length = BodyLength(text, begin);
      if (length < 0 || text.size() - begin < static_cast<std::size_t>(length))
        continue;
      answer.m_status = std::atoi(text.c_str() + text.find(' ') + 1);
      answer.m_body = text.substr(begin, static_cast<std::size_t>(length));
      break;
    }
  }
  close(socket);
  return answer;
}

// Reads the ports that a stand-in prints; empty if it does not start.
std::map<std::string, std::uint16_t> WaitForPorts(const std::string& log,
                                                  std::size_t count) {
  for (int tries = 0; tries < 500; ++tries) {
    std::map<std::string, std::uint16_t> ports;
    std::ifstream file(log);
    std::string word;
    std::string name;
    std::uint16_t port = 0;
    while (file >> word) {
      if (word == "port" && file >> name >> port) ports[name] = port;
    }
    if (ports.size() >= count) return ports;
    SleepMs(20);
  }
  return {};
}

}  // namespace

const char* const kHost = "queue.example";

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool HasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

std::string Configuration(int version, const std::vector<Queue>& queues) {
  Json routes = Json::array();
  for (const Queue& queue : queues) {
    routes.push_back({{"name", queue.m_name},
                      {"host", kHost},
                      {"prefix", queue.m_prefix},
                      {"service", "pool"},
                      {"priority", queue.m_priority},
                      {"max_attempts", queue.m_attempts},
                      {"stretch", 2.0},
                      {"target_duration_ms", 1000}});
  }
  return Json{{"version", version},
              {"routes", routes},
              {"services", {{{"name", "pool"}, {"enforces_capacity", false}}}},
              {"limits", {{"max_body_bytes", 262144}}}}
      .dump();
}

Site::Site(std::string root, std::string programs, std::string record_file)
    : m_root(std::move(root)),
      m_programs(std::move(programs)),
      m_record(record_file),
      m_record_file(std::move(record_file)) {
  char folder[] = "/tmp/daisyarch-review-XXXXXX";
  m_folder = mkdtemp(folder);
}

Site::~Site() {
  for (Node& node : m_nodes) EndProcess(node.m_pid);
  EndProcess(m_workers_pid);
  EndProcess(m_store_pid);
  for (const int socket : m_reserved) close(socket);
  Record("workers' record:");
  std::ifstream file(m_folder + "/workers.txt");
  m_record << file.rdbuf();
  m_record.close();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(m_folder);
  } else {
    std::cerr << "logs: " << m_folder << "\n";
  }
}

pid_t Site::Spawn(const std::vector<std::string>& words,
                  const std::string& log) {
  std::vector<std::string> copies = words;
  std::vector<char*> pointers;
  for (std::string& word : copies) pointers.push_back(word.data());
  pointers.push_back(nullptr);
  const pid_t pid = fork();
  if (pid != 0) return pid;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  for (int other = STDERR_FILENO + 1; other < kDescriptors; ++other)
    close(other);
  if (chdir(m_root.c_str()) == 0) execv(pointers[0], pointers.data());
  _exit(127);
}

void Site::EndProcess(pid_t& pid) {
  if (pid <= 0) return;
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  pid = -1;
}

bool Site::Start(int nodes, int workers, const std::string& configuration) {
  const std::string store_log = m_folder + "/store.log";
  m_store_pid = Spawn({m_programs + "/site_store_standin"}, store_log);
  const auto store = WaitForPorts(store_log, 2);
  if (store.size() < 2) return false;
  m_store = store.at("store");
  m_store_control = store.at("control");
  PutKey("op/config", configuration);
  const std::string workers_log = m_folder + "/workers.log";
  m_workers_pid = Spawn(
      {m_programs + "/review_workers", "--workers=" + std::to_string(workers),
       "--record=" + m_folder + "/workers.txt",
       "--store=127.0.0.1:" + std::to_string(m_store_control)},
      workers_log);
  const auto ports =
      WaitForPorts(workers_log, static_cast<std::size_t>(workers) + 1);
  if (ports.empty()) return false;
  m_workers_control = ports.at("control");
  for (int number = 1; number <= workers; ++number) {
    const std::string name = "w" + std::to_string(number);
    ControlWorkers(
        "/begin", {{"worker", name},
                   {"id", name},
                   {"clock_rate", 1.0},
                   {"kind", number <= m_fast_workers ? "fast" : "plain"},
                   {"address", "127.0.0.1:" + std::to_string(ports.at(name))}});
  }
  std::ifstream file(m_root + "/deploy/settings.yaml");
  std::stringstream text;
  text << file.rdbuf();
  for (int number = 1; number <= nodes; ++number) {
    Node node;
    node.m_name = "front-" + std::to_string(number);
    node.m_callers = ReservePort(m_reserved);
    node.m_ready = ReservePort(m_reserved);
    node.m_metrics = ReservePort(m_reserved);
    node.m_relay = ReservePort(m_reserved);
    node.m_settings = m_folder + "/" + node.m_name + ".yaml";
    SiteNode settings;
    settings.m_name = node.m_name;
    settings.m_caller_port = node.m_callers;
    settings.m_ready_port = node.m_ready;
    settings.m_metrics_port = node.m_metrics;
    settings.m_relay_port = node.m_relay;
    settings.m_store_port = m_store;
    std::ofstream(node.m_settings) << FillSettings(text.str(), settings);
    StartNode(node);
    m_nodes.push_back(node);
  }
  for (int tries = 0; tries < 1000; ++tries) {
    if (Leader() >= 0) return true;
    SleepMs(20);
  }
  return false;
}

void Site::StartNode(Node& node) {
  node.m_pid =
      Spawn({m_root + "/target/daisyarchd", "--site=" + node.m_settings},
            m_folder + "/" + node.m_name + ".log");
  Record("start of " + node.m_name);
}

void Site::KillNode(Node& node) {
  Record("kill of " + node.m_name);
  EndProcess(node.m_pid);
}

bool Site::HasUnexpectedEnd() {
  bool has_ended = false;
  for (Node& node : m_nodes) {
    int status = 0;
    if (node.m_pid <= 0) continue;
    if (waitpid(node.m_pid, &status, WNOHANG) != node.m_pid) continue;
    node.m_pid = -1;
    Record(node.m_name + " has ended by itself, status " +
           std::to_string(status));
    has_ended = true;
  }
  return has_ended;
}

int Site::Leader() {
  const Answer answer = Call(m_store_control, "POST", "/holder", "standin",
                             "{}", kControlTimeoutMs);
  const Json body = Json::parse(answer.m_body, nullptr, false);
  if (!body.is_object()) return -1;
  const std::string holder = body.value("holder", std::string());
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    if (m_nodes[index].m_name == holder) return static_cast<int>(index);
  }
  return -1;
}

void Site::PutKey(const std::string& key, const std::string& value) {
  Record("put of " + key + ": " + value);
  Call(m_store_control, "POST", "/put", "standin",
       Json{{"key", key}, {"value", value}}.dump(), kControlTimeoutMs);
}

void Site::RemoveKey(const std::string& key) {
  Record("removal of " + key);
  Call(m_store_control, "POST", "/remove", "standin", Json{{"key", key}}.dump(),
       kControlTimeoutMs);
}

void Site::ControlWorkers(const std::string& path, const Json& body) {
  Record("workers " + path + " " + body.dump());
  Call(m_workers_control, "POST", path, "standin", body.dump(),
       kControlTimeoutMs);
}

Answer Site::Request(const Node& node, const std::string& method,
                     const std::string& path, const std::string& body,
                     int timeout_ms) {
  const std::int64_t sent_at = NowMs();
  Answer answer = Call(node.m_callers, method, path, kHost, body, timeout_ms);
  Record("client " + method + " " + path + " " + body + " sent at " +
         std::to_string(sent_at) + " to " + node.m_name + ": " +
         std::to_string(answer.m_status) + " " + answer.m_body);
  return answer;
}

Answer Site::RequestAny(const std::string& method, const std::string& path,
                        const std::string& body) {
  Answer answer;
  for (int tries = 0; tries < 20; ++tries) {
    for (const Node& node : m_nodes) {
      if (node.m_pid <= 0) continue;
      answer = Request(node, method, path, body);
      const bool must_repeat = answer.m_status == 0 || answer.m_status >= 500;
      if (!must_repeat) return answer;
    }
    SleepMs(100);
  }
  return answer;
}

std::vector<WorkerEvent> Site::WorkerEvents() const {
  std::vector<WorkerEvent> events;
  std::ifstream file(m_folder + "/workers.txt");
  std::string line;
  while (std::getline(file, line)) {
    if (file.eof()) break;  // It may be incomplete.
    std::istringstream parts(line);
    WorkerEvent event;
    parts >> event.m_at_ms >> event.m_event >> event.m_worker;
    if (event.m_event == "over" || event.m_event == "under")
      parts >> event.m_task;
    if (event.m_event == "begin") parts >> event.m_task >> event.m_how;
    if (event.m_event == "start") parts >> event.m_task >> event.m_run;
    if (event.m_event == "end" || event.m_event == "noted")
      parts >> event.m_task >> event.m_run >> event.m_how;
    events.push_back(event);
  }
  return events;
}

void Site::Record(const std::string& line) {
  m_record << NowMs() << " " << line << std::endl;
}

int Main(int argument_count, char** arguments,
         const std::function<int(Site&)>& run) {
  if (argument_count != 4) {
    std::cerr << "usage: scenario ROOT PROGRAMS RECORD\n";
    return kCouldNotRun;
  }
  Site site(arguments[1], arguments[2], arguments[3]);
  const int status = run(site);
  site.Record("status " + std::to_string(status));
  return status;
}

}  // namespace daisyarch::review
