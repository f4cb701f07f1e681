#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>

#include "base/error.h"

namespace daisyarch {

/// A key and its value in a log line.
struct LogField {
  LogField(const char* key, std::string value)
      : m_key(key), m_value(std::move(value)) {}
  LogField(const char* key, const char* value) : m_key(key), m_value(value) {}
  LogField(const char* key, std::int64_t value)
      : m_key(key), m_value(std::to_string(value)) {}
  LogField(const char* key, std::uint64_t value)
      : m_key(key), m_value(std::to_string(value)) {}

  const char* m_key;
  std::string m_value;
};

enum class LogLevel { kInfo, kWarning, kError };

enum class LogOutput { kStandardOutput, kNone };

/// Configures logging: one line per event, to standard output or nowhere. No
/// log file is written.
void StartLogging(const std::string& program,
                  LogOutput output = LogOutput::kStandardOutput);

/// Writes one line of key=value pairs; values are quoted where needed.
void LogEvent(LogLevel level, const char* event,
              std::initializer_list<LogField> fields);

/// Writes a line with the code, step, peer and detail of an error.
void LogError(const char* event, const Error& error);

/// Returns the line that LogEvent writes, without the leading time and program.
std::string FormatLogLine(LogLevel level, const char* event,
                          std::initializer_list<LogField> fields);

}  // namespace daisyarch
