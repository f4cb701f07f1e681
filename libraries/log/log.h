#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>

#include "base/error.h"

namespace daisyarch {

/// One key and its value in a log line.
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

/// Sends logs to standard output, a line an event; no file is written.
void StartLogging(const std::string& program,
                  LogOutput output = LogOutput::kStandardOutput);

/// Writes one line of key=value pairs; values are quoted where needed.
void LogEvent(LogLevel level, const char* event,
              std::initializer_list<LogField> fields);

/// Writes an error with its code, step and peer.
void LogError(const char* event, const Error& error);

/// The line that LogEvent writes, without its time.
std::string FormatLogLine(LogLevel level, const char* event,
                          std::initializer_list<LogField> fields);

}  // namespace daisyarch
