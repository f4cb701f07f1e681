#include "decisions/fleet/job_progress.h"

#include <algorithm>
#include <utility>

namespace daisyarch::fleet {

namespace {

TaskProgress ProgressOf(const Task& task, std::int64_t unix_offset_ms) {
  TaskProgress row;
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
  return row;
}

// Calls `visit` with the step run and the index of each task of the part.
template <typename Visit>
void ForEachTask(const Job& job, ProgressPart part, const Visit& visit) {
  const std::vector<std::uint64_t>& offsets = job.m_task_offsets;
  const std::uint64_t per_occurrence = offsets.back();
  const std::uint64_t end = std::min((part.value() + 1) * kTasksPerPart,
                                     per_occurrence * job.m_plan.m_occurrences);
  for (std::uint64_t task = part.value() * kTasksPerPart; task < end; ++task) {
    const std::uint64_t in_occurrence = task % per_occurrence;
    const auto step =
        std::upper_bound(offsets.begin(), offsets.end(), in_occurrence) - 1;
    visit(StepRunIndex(job, static_cast<std::uint32_t>(task / per_occurrence),
                       static_cast<std::uint32_t>(step - offsets.begin())),
          static_cast<std::size_t>(in_occurrence - *step));
  }
}

}  // namespace

ProgressPart PartOf(const Job& job, std::size_t step_run_index,
                    std::size_t task_index) {
  const std::uint64_t occurrence = step_run_index / job.StepCount();
  const std::uint64_t task =
      occurrence * job.m_task_offsets.back() +
      job.m_task_offsets[step_run_index % job.StepCount()] + task_index;
  return ProgressPart(task / kTasksPerPart);
}

void MarkProgressChanged(Job& job, const TaskReference& reference) {
  job.m_changed_parts.insert(
      PartOf(job, StepRunIndex(job, reference.m_occurrence, reference.m_step),
             reference.m_index));
}

JobProgress ProgressOf(const Job& job, ProgressPart part,
                       std::int64_t unix_offset_ms) {
  JobProgress progress;
  if (part == ProgressPart()) progress.m_state = job.m_state;
  // Only the final state of an ended job is stored.
  if (HasEnded(job)) return progress;
  ForEachTask(job, part, [&](std::size_t step_run, std::size_t index) {
    const Task& task = job.m_steps[step_run].m_tasks[index];
    if (task.m_run == RunNumber()) return;
    TaskProgress row = ProgressOf(task, unix_offset_ms);
    row.m_step_run = static_cast<std::uint32_t>(step_run);
    row.m_index = static_cast<std::uint32_t>(index);
    progress.m_tasks.push_back(std::move(row));
  });
  return progress;
}

std::size_t RemoveLongCheckpoints(JobProgress& progress,
                                  std::size_t maximum_bytes) {
  std::vector<TaskProgress*> longest_first;
  std::size_t bytes = 0;
  for (TaskProgress& task : progress.m_tasks) {
    longest_first.push_back(&task);
    bytes += task.m_checkpoint.size();
  }
  std::sort(longest_first.begin(), longest_first.end(),
            [](const TaskProgress* left, const TaskProgress* right) {
              return left->m_checkpoint.size() > right->m_checkpoint.size();
            });
  std::size_t removed = 0;
  while (bytes > maximum_bytes) {
    std::string& checkpoint = longest_first[removed++]->m_checkpoint;
    bytes -= checkpoint.size();
    checkpoint.clear();
  }
  return removed;
}

}  // namespace daisyarch::fleet
