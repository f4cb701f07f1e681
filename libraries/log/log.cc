#include "log/log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace daisyarch {

namespace {

const char* NameOf(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

bool NeedsQuotes(const std::string& value) {
  if (value.empty()) return true;
  return value.find_first_of(" \t\r\n\"=\\") != std::string::npos;
}

void AppendQuoted(std::string& line, const std::string& value) {
  line += '"';
  for (const char character : value) {
    if (character == '\n') {
      line += "\\n";
      continue;
    }
    if (character == '\r') {
      line += "\\r";
      continue;
    }
    if (character == '"' || character == '\\') line += '\\';
    line += character;
  }
  line += '"';
}

void AppendField(std::string& line, const char* key, const std::string& value) {
  line += ' ';
  line += key;
  line += '=';
  if (NeedsQuotes(value)) {
    AppendQuoted(line, value);
  } else {
    line += value;
  }
}

}  // namespace

void StartLogging(const std::string& program, LogOutput output) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  const bool is_enabled = output == LogOutput::kStandardOutput;
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput,
                            is_enabled ? "true" : "false");
  configuration.setGlobally(
      el::ConfigurationType::Format,
      "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} program=" + program + " %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
}

std::string FormatLogLine(LogLevel level, const char* event,
                          std::initializer_list<LogField> fields) {
  std::string line = std::string("level=") + NameOf(level);
  AppendField(line, "event", event);
  for (const LogField& field : fields) {
    AppendField(line, field.m_key, field.m_value);
  }
  return line;
}

void LogEvent(LogLevel level, const char* event,
              std::initializer_list<LogField> fields) {
  const std::string line = FormatLogLine(level, event, fields);
  switch (level) {
    case LogLevel::kInfo:
      LOG(INFO) << line;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      break;
    case LogLevel::kError:
      LOG(ERROR) << line;
      break;
  }
}

void LogError(const char* event, const Error& error) {
  LogEvent(LogLevel::kError, event,
           {{"code", ToString(error.m_code)},
            {"step", error.m_step},
            {"peer", error.m_peer},
            {"detail", error.m_detail}});
}

}  // namespace daisyarch
