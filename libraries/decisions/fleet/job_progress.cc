#include "decisions/fleet/job_progress.h"

#include <algorithm>
#include <utility>

#include "decisions/fleet/late_start.h"
#include "decisions/fleet/occurrences.h"

namespace daisyarch::fleet {

namespace {

TaskProgress ProgressOf(const Task& task, std::int64_t unix_offset_ms) {
  TaskProgress row;
  row.m_is_done = task.m_state == RunState::kDone;
  StoreLateStart(task, unix_offset_ms, row);
  // No run of a done task counts any more, and its memory is freed.
  if (row.m_is_done) {
    row.m_run = UnallocatedTask(RunState::kDone).m_run;
    return row;
  }
  row.m_failed_runs = task.m_failed_runs;
  row.m_crashed_runs = task.m_crashed_runs;
  row.m_doubtful_runs = task.m_doubtful_runs;
  row.m_run = task.m_run;
  row.m_checkpoint = task.m_checkpoint;
  return row;
}

ProgressPart PartOf(TaskNumber task) {
  return ProgressPart(task.value() / kTasksPerPart);
}

// Adds the row of a task that was started.
void AddRow(const Job& job, TaskNumber number, std::int64_t unix_offset_ms,
            JobProgress& progress) {
  const std::vector<std::uint64_t>& offsets = job.m_task_offsets;
  const std::uint64_t occurrence = number.value() / offsets.back();
  const std::uint64_t in_occurrence = number.value() % offsets.back();
  const auto step =
      std::upper_bound(offsets.begin(), offsets.end(), in_occurrence) - 1;
  const std::size_t step_run =
      StepRunIndex(job, static_cast<std::uint32_t>(occurrence),
                   static_cast<std::uint32_t>(step - offsets.begin()));
  const std::uint64_t index = in_occurrence - *step;
  const Task& task = TaskAt(job, step_run, index);
  // Of a gang, members that have not started may be done as well.
  const bool is_done = task.m_state == RunState::kDone;
  if (task.m_run == RunNumber() && !is_done) return;
  TaskProgress row = ProgressOf(task, unix_offset_ms);
  row.m_step_run = static_cast<std::uint32_t>(step_run);
  row.m_index = static_cast<std::uint32_t>(index);
  progress.m_tasks.push_back(std::move(row));
}

}  // namespace

TaskNumber NumberOf(const Job& job, std::size_t step_run_index,
                    std::size_t task_index) {
  const std::uint64_t occurrence = step_run_index / job.StepCount();
  return TaskNumber(occurrence * job.m_task_offsets.back() +
                    job.m_task_offsets[step_run_index % job.StepCount()] +
                    task_index);
}

ProgressPart PartOf(const Job& job, std::size_t step_run_index,
                    std::size_t task_index) {
  return PartOf(NumberOf(job, step_run_index, task_index));
}

void MarkProgressChanged(Job& job, const TaskReference& reference) {
  const TaskNumber task =
      NumberOf(job, StepRunIndex(job, reference.m_occurrence, reference.m_step),
               reference.m_index);
  job.m_changed_parts[PartOf(task)].insert(task);
}

JobProgress ProgressOf(const Job& job, ProgressPart part,
                       std::int64_t unix_offset_ms) {
  JobProgress progress;
  if (part == ProgressPart()) progress.m_state = job.m_state;
  // Only the final state of an ended job is stored.
  if (HasEnded(job)) return progress;
  const std::uint64_t begin = part.value() * kTasksPerPart;
  const std::uint64_t end =
      std::min(begin + kTasksPerPart,
               job.m_task_offsets.back() * job.m_plan.m_occurrences);
  for (std::uint64_t task = begin; task < end; ++task) {
    AddRow(job, TaskNumber(task), unix_offset_ms, progress);
  }
  return progress;
}

JobProgress TakeProgress(Job& job, ProgressPart part,
                         const std::set<TaskNumber>& changed,
                         std::int64_t unix_offset_ms) {
  if (HasEnded(job) || job.m_taken_parts.insert(part).second) {
    return ProgressOf(job, part, unix_offset_ms);
  }
  JobProgress progress;
  if (part == ProgressPart()) progress.m_state = job.m_state;
  for (const TaskNumber task : changed) {
    AddRow(job, task, unix_offset_ms, progress);
  }
  return progress;
}

std::vector<TaskProgress> LateStartsOf(const Job& job, TimePoint now,
                                       std::int64_t unix_offset_ms) {
  JobProgress late;
  VisitStepRuns(job, [&](std::size_t index, const StepRun& step_run) {
    step_run.m_tasks.VisitAllocated([&](std::size_t task, const Task& found) {
      if (found.m_late_start_until <= now) return;
      AddRow(job, NumberOf(job, index, task), unix_offset_ms, late);
    });
  });
  return std::move(late.m_tasks);
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
