#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "decisions/fleet/fleet_job.h"

// The progress of a job outlives the leader in the store, whose values are
// limited in size. It is therefore stored in parts, each with the tasks of one
// range; part 0 also holds the state of the job. Only parts that have changed
// are written.

namespace daisyarch::fleet {

/// Stored state of one task: its outcome, attempts and checkpoint.
struct TaskProgress {
  std::uint32_t m_step_run = 0;  ///< See StepRunIndex().
  std::uint32_t m_index = 0;
  bool m_is_done = false;
  std::vector<RunNumber> m_failed_runs;
  std::vector<RunNumber> m_crashed_runs;
  std::vector<RunNumber> m_doubtful_runs;
  RunNumber m_run;
  std::string m_checkpoint;
  /// Until then an order that got no answer may start the task at the worker;
  /// 0: there is none.
  std::int64_t m_late_start_until_unix_ms = 0;
  WorkerId m_late_start_worker;
  LateStartClock m_late_start_clock;  ///< Of that worker.
  Term m_late_start_term;  ///< Of the leader that sent the order; 0: not known.
  ProgressPart m_stored_part;  ///< The part that it was read from; not stored.
};

/// Stored state of one job, or one part of it.
struct JobProgress {
  JobState m_state = JobState::kQueued;  ///< In part 0 only.
  std::int64_t m_ended_unix_ms = 0;  ///< 0: the job has not ended, or part > 0.
  std::vector<TaskProgress> m_tasks;  ///< Only tasks that were started.
};

/// The number of tasks in a part. Progress of usual jobs has one part, and a
/// part without checkpoints is far below the limit of a value.
constexpr std::uint64_t kTasksPerPart = 128;

/// Returns the task's number in its job.
TaskNumber NumberOf(const Job& job, std::size_t step_run_index,
                    std::size_t task_index);

/// Returns the part that holds the task.
ProgressPart PartOf(const Job& job, std::size_t step_run_index,
                    std::size_t task_index);

/// Marks the task's row as changed, so that it is stored when the job next is.
/// Each change of what a row holds has to be marked.
void MarkProgressChanged(Job& job, const TaskReference& reference);

/// Returns one part of the job's progress in the form that is stored.
/// `unix_offset_ms` is the Unix time less the loop's.
JobProgress ProgressOf(const Job& job, ProgressPart part,
                       std::int64_t unix_offset_ms);

/// Returns what of a changed part is to be stored: all rows when the part is
/// first taken, and later those of the changed tasks.
JobProgress TakeProgress(Job& job, ProgressPart part,
                         const std::set<TaskNumber>& changed,
                         std::int64_t unix_offset_ms);

/// Returns the rows of the tasks that an order may still start late at `now`.
std::vector<TaskProgress> LateStartsOf(const Job& job, TimePoint now,
                                       std::int64_t unix_offset_ms);

/// Removes the longest checkpoints until the others have at most
/// `maximum_bytes` in total; returns how many were removed. A task without a
/// checkpoint starts from its beginning under the next leader.
std::size_t RemoveLongCheckpoints(JobProgress& progress,
                                  std::size_t maximum_bytes);

}  // namespace daisyarch::fleet
