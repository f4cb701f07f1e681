#include "child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <fstream>

namespace daisyarch::soak {

namespace {

[[noreturn]] void Execute(const ChildProcess& child, const std::string& folder,
                          std::vector<char*>& words) {
  constexpr int kMaximumDescriptors = 4096;
  constexpr int kLogMode = 0644;
  constexpr int kCannotRun = 127;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log =
      open(child.m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  // The sockets of this process must not outlive it in a child.
  for (int other = STDERR_FILENO + 1; other < kMaximumDescriptors; ++other) {
    close(other);
  }
  if (chdir(folder.c_str()) == 0) execv(words[0], words.data());
  _exit(kCannotRun);
}

}  // namespace

void Launch(ChildProcess& child, const std::string& folder,
            const std::vector<std::string>& words) {
  std::vector<std::string> copies = words;
  std::vector<char*> pointers;
  pointers.reserve(copies.size() + 1);
  for (std::string& word : copies) pointers.push_back(word.data());
  pointers.push_back(nullptr);
  child.m_pid = fork();
  if (child.m_pid == 0) Execute(child, folder, pointers);
}

void Signal(const ChildProcess& child, int signal) {
  if (child.m_pid > 0) kill(child.m_pid, signal);
}

bool HasEnded(ChildProcess& child, int& status) {
  if (child.m_pid <= 0) return false;
  if (waitpid(child.m_pid, &status, WNOHANG) != child.m_pid) return false;
  child.m_pid = -1;
  return true;
}

void End(ChildProcess& child) {
  if (child.m_pid <= 0) return;
  kill(child.m_pid, SIGKILL);
  waitpid(child.m_pid, nullptr, 0);
  child.m_pid = -1;
}

bool WaitForPorts(const ChildProcess& child, std::size_t count, Ports& ports) {
  constexpr int kTries = 3000;
  constexpr useconds_t kPause = 20000;
  for (int number = 0; number < kTries; ++number) {
    ports.clear();
    std::ifstream log(child.m_log);
    std::string word;
    std::string name;
    std::uint16_t port = 0;
    while (log >> word) {
      if (word == "port" && log >> name >> port) ports[name] = port;
    }
    if (ports.size() >= count) return true;
    if (kill(child.m_pid, 0) != 0) return false;
    usleep(kPause);
  }
  return false;
}

}  // namespace daisyarch::soak
