#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace daisyarch::soak {

/// A process that the soak has started. Its output goes to a file.
struct ChildProcess {
  pid_t m_pid = -1;  ///< -1: it does not run.
  std::string m_log;
};

/// Starts the program words[0] in the folder. It ends with this process.
void Launch(ChildProcess& child, const std::string& folder,
            const std::vector<std::string>& words);

void Signal(const ChildProcess& child, int signal);

/// Returns whether the process has ended since the last call, and its status.
bool HasEnded(ChildProcess& child, int& status);

/// Kills the process and waits for its end.
void End(ChildProcess& child);

using Ports = std::map<std::string, std::uint16_t>;

/// Waits until the process has printed this many ports; false if it ends
/// before, or prints none for a minute.
bool WaitForPorts(const ChildProcess& child, std::size_t count, Ports& ports);

}  // namespace daisyarch::soak
