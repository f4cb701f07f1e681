#include "decisions/fleet/fleet_job.h"

#include <algorithm>

namespace daisyarch::fleet {

bool RecordFailedRun(Task& task, RunNumber run) {
  std::vector<RunNumber>& runs = task.m_failed_runs;
  if (std::find(runs.begin(), runs.end(), run) != runs.end()) return false;
  runs.push_back(run);
  return true;
}

bool HasEnded(const Job& job) {
  if (job.m_placed > 0) return false;
  return job.m_unfinished == 0 || job.m_is_cancelled || job.m_has_failed;
}

}  // namespace daisyarch::fleet
