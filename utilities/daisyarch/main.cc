#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "commands.h"

ABSL_FLAG(std::string, daemon, "127.0.0.1:7000", "HTTP address of any daemon");
ABSL_FLAG(bool, json, false, "print JSON instead of a table");
ABSL_FLAG(std::string, operator_name, "",
          "operator to record in the audit trail; $USER when empty");

namespace daisyarch {
namespace {

// Exit statuses, documented in docs/OPERATING.md.
constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitBadUsage = 2;
constexpr int kExitNotRun = 3;
constexpr int kExitOutcomeUnknown = 4;
constexpr int kExitNotFound = 5;
constexpr int kExitConflict = 6;

int ExitStatus(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return kExitBadUsage;
    case ErrorCode::kNotRun:
    case ErrorCode::kUnavailable:
    case ErrorCode::kNotOwner:
      return kExitNotRun;
    case ErrorCode::kOutcomeUnknown:
      return kExitOutcomeUnknown;
    case ErrorCode::kNotFound:
      return kExitNotFound;
    case ErrorCode::kConflict:
      return kExitConflict;
    case ErrorCode::kInternal:
      return kExitFailure;
  }
  return kExitFailure;
}

std::string Usage() {
  std::string usage =
      "daisyarch [--daemon=IP:PORT] [--json] [--operator_name=NAME] COMMAND\n";
  for (const Command& command : AllCommands()) {
    usage += std::string("  ") + command.m_usage + "\n      " +
             command.m_description + "\n";
  }
  return usage;
}

/// Prints the error and returns the exit status for it.
int ReportError(const Error& error) {
  std::cerr << "daisyarch: " << ToString(error.m_code) << ": "
            << ToString(error) << "\n";
  return ExitStatus(error.m_code);
}

std::string OperatorName() {
  const std::string name = absl::GetFlag(FLAGS_operator_name);
  if (!name.empty()) return name;
  const char* user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

int RunCommand(const std::vector<std::string>& words) {
  if (words.empty()) {
    std::cerr << Usage();
    return kExitBadUsage;
  }
  for (const Command& command : AllCommands()) {
    if (words[0] != command.m_name) continue;
    if (words.size() > 1 && words[1] == "help") {
      std::cout << command.m_usage << "\n  " << command.m_description << "\n";
      return kExitOk;
    }
    const auto daemon = ParseAddress(absl::GetFlag(FLAGS_daemon));
    if (!daemon) return ReportError(daemon.assume_error());
    const CommandContext context{
        daemon.assume_value(), absl::GetFlag(FLAGS_json), OperatorName(),
        std::vector<std::string>(words.begin() + 1, words.end())};
    const auto output = command.m_function(context);
    if (!output) return ReportError(output.assume_error());
    std::cout << output.assume_value();
    return kExitOk;
  }
  std::cerr << "daisyarch: unknown command \"" << words[0] << "\"\n" << Usage();
  return kExitBadUsage;
}

}  // namespace
}  // namespace daisyarch

int main(int argument_count, char** arguments) {
  absl::SetProgramUsageMessage(daisyarch::Usage());
  // Replaces a "--help" after the command with the word "help", so that the
  // help of that command is printed.
  std::vector<char*> rewritten(arguments, arguments + argument_count);
  static char help[] = "help";
  for (std::size_t index = 2; index < rewritten.size(); ++index) {
    if (std::string(rewritten[index]) == "--help") rewritten[index] = help;
  }
  const auto words = absl::ParseCommandLine(static_cast<int>(rewritten.size()),
                                            rewritten.data());
  return daisyarch::RunCommand(
      std::vector<std::string>(words.begin() + 1, words.end()));
}
