#include "soak_record.h"

#include <set>
#include <sstream>
#include <tuple>

namespace daisyarch::soak {

namespace {

RecordLine ReadLine(const std::string& text) {
  std::istringstream fields(text);
  std::int64_t at_ms = 0;
  RecordLine line;
  fields >> at_ms >> line.m_event >> line.m_worker;
  line.m_at = TimePoint(FromMilliseconds(at_ms));
  if (line.m_event == "begin" || line.m_event == "gone") return line;
  fields >> line.m_task >> line.m_run;
  if (line.m_event == "start") {
    fields >> line.m_token >> line.m_payload;
  } else {
    fields >> line.m_outcome;
  }
  return line;
}

}  // namespace

Record ReadRecord(std::istream& lines) {
  Record record;
  std::string text;
  while (std::getline(lines, text)) record.m_lines.push_back(ReadLine(text));
  // An end is noted by a later line of the same worker, task and run.
  std::set<std::tuple<std::string, std::string, std::uint64_t>> noted;
  for (std::size_t left = record.m_lines.size(); left > 0; --left) {
    RecordLine& line = record.m_lines[left - 1];
    const auto key = std::make_tuple(line.m_worker, line.m_task, line.m_run);
    if (line.m_event == "noted") noted.insert(key);
    if (line.m_event == "end") line.m_is_noted = noted.erase(key) > 0;
  }
  for (std::size_t index = 0; index < record.m_lines.size(); ++index) {
    const RecordLine& line = record.m_lines[index];
    if (!line.m_task.empty()) record.m_of_task[line.m_task].push_back(index);
  }
  return record;
}

std::string ToString(const RecordLine& line) {
  std::ostringstream text;
  text << ToMilliseconds(line.m_at.time_since_epoch()) << " " << line.m_event
       << " " << line.m_worker << " " << line.m_task << " run " << line.m_run;
  if (line.m_event == "start") text << " token " << line.m_token;
  if (line.m_event != "start") text << " " << line.m_outcome;
  if (line.m_event == "end" && !line.m_is_noted) text << " (never noted)";
  return text.str();
}

}  // namespace daisyarch::soak
