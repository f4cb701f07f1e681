#include "decisions/fleet/fleet_job.h"

#include <algorithm>

namespace daisyarch::fleet {

bool HasFailedIn(const Task& task, RunNumber run) {
  const std::vector<RunNumber>& runs = task.m_failed_runs;
  return std::find(runs.begin(), runs.end(), run) != runs.end();
}

bool RecordFailedRun(Task& task, RunNumber run) {
  if (HasFailedIn(task, run)) return false;
  task.m_failed_runs.push_back(run);
  return true;
}

bool HasEnded(const Job& job) {
  if (job.m_placed > 0) return false;
  return job.m_unfinished == 0 || job.m_is_cancelled || job.m_has_failed;
}

}  // namespace daisyarch::fleet
