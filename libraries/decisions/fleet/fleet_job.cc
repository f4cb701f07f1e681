#include "decisions/fleet/fleet_job.h"

#include <algorithm>

namespace daisyarch::fleet {

JobProgress ProgressOf(const Job& job, std::int64_t unix_offset_ms) {
  JobProgress progress;
  progress.m_state = job.m_state;
  // Only the final state of an ended job is stored.
  if (HasEnded(job)) return progress;
  for (std::size_t step_run = 0; step_run < job.m_steps.size(); ++step_run) {
    const std::vector<Task>& tasks = job.m_steps[step_run].m_tasks;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
      const Task& task = tasks[index];
      if (task.m_run == RunNumber()) continue;
      TaskProgress row;
      row.m_step_run = static_cast<std::uint32_t>(step_run);
      row.m_index = static_cast<std::uint32_t>(index);
      row.m_is_done = task.m_state == RunState::kDone;
      row.m_failed_runs = task.m_failed_runs;
      row.m_crashed_runs = task.m_crashed_runs;
      row.m_doubtful_runs = task.m_doubtful_runs;
      row.m_run = task.m_run;
      if (!row.m_is_done) row.m_checkpoint = task.m_checkpoint;
      if (task.m_late_start_until != TimePoint()) {
        row.m_late_start_until_unix_ms =
            ToMilliseconds(task.m_late_start_until.time_since_epoch()) +
            unix_offset_ms;
        row.m_late_start_worker = task.m_late_start_worker;
      }
      progress.m_tasks.push_back(std::move(row));
    }
  }
  return progress;
}

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
