#pragma once

#include <map>
#include <string>
#include <vector>

#include "case_site.h"

namespace review {

/// A run of a task, in seconds since the case began.
struct Run {
  std::string m_task;
  std::uint64_t m_run = 0;
  std::string m_worker;
  double m_begin = 0;
  double m_end = 0;   ///< The case's end, if it has none.
  std::string m_how;  ///< "gone": lost with its worker; empty: it goes on.
};

/// What the executors have seen.
struct Runs {
  std::vector<Run> m_runs;  ///< In the order of their starts.
  /// Of each executor, when it was up.
  std::map<std::string, std::vector<std::pair<double, double>>> m_up;
};

/// Reads the record of the workers' stand-in.
Runs ReadRuns(const Site& site);

bool IsUp(const Runs& runs, const std::string& worker, double at);

}  // namespace review
