#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "http/address.h"

namespace daisyarch {

/// The input of a command.
struct CommandContext {
  Address m_daemon;
  bool m_is_json = false;                ///< Print JSON instead of a table.
  std::string m_operator;                ///< Recorded in the audit trail.
  std::vector<std::string> m_arguments;  ///< After the command's name.
};

/// Runs a command and returns the text to print. Fails with kInvalidArgument on
/// invalid arguments. An error that the daemon reports is returned unchanged.
using CommandFunction = Result<std::string> (*)(const CommandContext&);

struct Command {
  const char* m_name;
  const char* m_usage;
  const char* m_description;
  CommandFunction m_function;
};

const std::vector<Command>& AllCommands();

}  // namespace daisyarch
