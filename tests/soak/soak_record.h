#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace daisyarch::soak {

/// What happened to a task or a worker, as the workers saw it.
struct RecordLine {
  TimePoint m_at{};
  std::string m_event;  ///< start, end, noted; begin or gone of a worker.
  std::string m_worker;
  std::string m_task;
  std::uint64_t m_run = 0;
  std::string m_outcome;      ///< Of an end.
  std::uint64_t m_token = 0;  ///< Of a start.
  std::string m_payload;      ///< Of a start.
  bool m_is_noted = false;    ///< Of an end: it was acknowledged, ever.
};

/// All lines in the order in which they were written, and those of each task.
struct Record {
  std::vector<RecordLine> m_lines;
  std::map<std::string, std::vector<std::size_t>> m_of_task;
};

Record ReadRecord(std::istream& lines);

std::string ToString(const RecordLine& line);

}  // namespace daisyarch::soak
