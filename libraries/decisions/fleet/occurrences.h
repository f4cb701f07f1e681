#pragma once

#include "decisions/fleet/fleet.h"

// A job may have up to kMaximumTasks occurrences, and all of them may be due at
// once. An occurrence takes memory only from its release until all its tasks
// are done, and those that are due are released a few at a time.

namespace daisyarch::fleet {

/// Returns the step run; nullptr if its occurrence has not begun or is over.
StepRun* FindStepRun(Job& job, std::size_t step_run_index);
const StepRun* FindStepRun(const Job& job, std::size_t step_run_index);

/// Returns the step run, whose occurrence must have begun.
StepRun& StepRunAt(Job& job, std::size_t step_run_index);
const StepRun& StepRunAt(const Job& job, std::size_t step_run_index);

/// Returns the task, whatever has become of its occurrence.
const Task& TaskAt(const Job& job, std::size_t step_run_index,
                   std::size_t task_index);

/// Calls `visit` with each step run that has begun and its index.
template <typename Visit>
void VisitStepRuns(Job& job, Visit visit) {
  for (auto& [occurrence, begun] : job.m_occurrences) {
    for (std::uint32_t step = 0; step < begun.m_steps.size(); ++step) {
      visit(StepRunIndex(job, occurrence, step), begun.m_steps[step]);
    }
  }
}
template <typename Visit>
void VisitStepRuns(const Job& job, Visit visit) {
  for (const auto& [occurrence, begun] : job.m_occurrences) {
    for (std::uint32_t step = 0; step < begun.m_steps.size(); ++step) {
      visit(StepRunIndex(job, occurrence, step), begun.m_steps[step]);
    }
  }
}

/// Returns the occurrence, which begins if it has not. It must not be over.
Occurrence& BeginOccurrence(Job& job, std::uint32_t occurrence);

/// Cancels the tasks of a terminated job that wait and are not allocated. All
/// others must have left that state.
void CancelWaitingTasks(StepRun& step_run);

/// Releases the steps of an occurrence whose predecessors are all done.
void ReleaseSteps(Fleet& fleet, Job& job, std::uint32_t occurrence);

/// Releases the steps that have waited for this one only, all of whose tasks
/// are done. Does nothing after the first call.
void ReleaseSuccessors(Fleet& fleet, Job& job, std::size_t step_run_index);

/// Schedules a timed job that was added: the occurrences that have begun and
/// the next one. Releases the steps of any other job.
void ScheduleOccurrences(Fleet& fleet, Job& job);

/// Schedules the release of an occurrence that a worker's report names first.
void BeginReportedOccurrence(Fleet& fleet, Job& job, std::uint32_t occurrence);

/// Releases occurrences that are due, a limited number of steps per call.
void ReleaseDueOccurrences(Fleet& fleet, std::int64_t unix_ms);

/// Lets a job that was held back release its next occurrence, if it may.
void ResumeOccurrences(Fleet& fleet, Job& job);

/// Records that a task is done, so that its memory is freed once no event in
/// progress refers to it.
void RecordTaskDone(Fleet& fleet, Job& job, const TaskReference& reference);

/// Marks a task whose row says that it is done, without allocating it.
void RestoreTaskDone(Fleet& fleet, Job& job, std::size_t step_run_index,
                     std::size_t task_index);

/// Frees the blocks of tasks that are done, unless an order may still start one
/// of them.
void FreeDoneTasks(Fleet& fleet, TimePoint now);

/// Removes what the fleet holds of the occurrences of a job that is removed.
void ForgetOccurrences(Fleet& fleet, const Job& job);

}  // namespace daisyarch::fleet
