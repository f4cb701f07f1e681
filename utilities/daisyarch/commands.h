#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "http/address.h"

namespace daisyarch {

/// What a command works with.
struct CommandContext {
  Address m_daemon;
  bool m_is_json = false;
  std::string m_operator;
  std::vector<std::string> m_arguments;  ///< Behind the command's name.
};

/// Runs a command and returns what it prints. kInvalidArgument for a wrong
/// use, else the error of the daemon.
using CommandFunction = Result<std::string> (*)(const CommandContext&);

struct Command {
  const char* m_name;
  const char* m_usage;
  const char* m_brief;
  CommandFunction m_function;
};

const std::vector<Command>& AllCommands();

}  // namespace daisyarch
