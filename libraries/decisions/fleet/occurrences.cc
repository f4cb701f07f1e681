#include "decisions/fleet/occurrences.h"

#include <algorithm>
#include <tuple>

namespace daisyarch::fleet {

namespace {

// Step runs of occurrences that have begun, of one timed job and of all. Every
// job may have one occurrence beyond that, so that no job waits for others.
constexpr std::size_t kMaximumStepRunsPerJob = 4096;
constexpr std::size_t kMaximumStepRuns = 16384;
// Between calls the loop handles other events.
constexpr std::size_t kReleasedStepRunsPerCall = 1024;

std::uint32_t OccurrenceOf(const Job& job, std::size_t step_run_index) {
  return static_cast<std::uint32_t>(step_run_index / job.StepCount());
}

std::int64_t DueAt(const Job& job, std::uint32_t occurrence) {
  return job.m_plan.m_first_due_unix_ms + occurrence * job.m_plan.m_interval_ms;
}

void AddPending(Fleet& fleet, const Job& job, std::uint32_t occurrence) {
  fleet.m_pending_occurrences.emplace(DueAt(job, occurrence), job.m_plan.m_key,
                                      occurrence);
}

// Moves on to the next occurrence that has neither begun nor ended.
void ScheduleNext(Fleet& fleet, Job& job) {
  std::uint32_t next = job.m_next_occurrence;
  while (next < job.m_plan.m_occurrences) {
    const std::uint32_t unfinished =
        NextOutside(job.m_finished_occurrences, next);
    const bool has_begun = job.m_occurrences.count(unfinished) > 0;
    if (unfinished == next && !has_begun) break;
    next = has_begun ? unfinished + 1 : unfinished;
  }
  job.m_next_occurrence = next;
  if (next < job.m_plan.m_occurrences) AddPending(fleet, job, next);
}

// The occurrences of a service never end, so only those that wait count.
bool MayBegin(const Fleet& fleet, const Job& job) {
  if (job.m_occurrences.empty()) return true;
  if (job.m_is_service) return job.m_queued_steps < kMaximumStepRunsPerJob;
  const std::size_t own = (job.m_occurrences.size() + 1) * job.StepCount();
  return own <= kMaximumStepRunsPerJob &&
         fleet.m_begun_step_runs + job.StepCount() <= kMaximumStepRuns;
}

void CountBegun(Fleet& fleet, const Job& job, std::size_t occurrences) {
  if (!job.m_plan.m_is_timed) return;
  fleet.m_begun_step_runs += occurrences * job.StepCount();
}

void CountOver(Fleet& fleet, const Job& job, std::size_t occurrences) {
  if (!job.m_plan.m_is_timed) return;
  fleet.m_begun_step_runs -= occurrences * job.StepCount();
}

// Returns the number of step runs that were released.
std::size_t ReleaseDue(Fleet& fleet, Job& job, std::uint32_t occurrence) {
  const bool is_next = occurrence == job.m_next_occurrence;
  const bool has_begun = job.m_occurrences.count(occurrence) > 0;
  if (!has_begun) {
    if (!is_next || Contains(job.m_finished_occurrences, occurrence)) return 0;
    if (!MayBegin(fleet, job)) {
      job.m_is_held_back = true;
      return 0;
    }
    BeginOccurrence(job, occurrence);
    CountBegun(fleet, job, 1);
  }
  ReleaseSteps(fleet, job, occurrence);
  if (is_next) ScheduleNext(fleet, job);
  return job.StepCount();
}

// Frees the block, and its occurrence if that is over. Returns whether it was.
bool FreeBlock(Job& job, std::size_t step_run_index, TaskBlock block) {
  const std::uint32_t number = OccurrenceOf(job, step_run_index);
  Occurrence& occurrence = job.m_occurrences.at(number);
  if (!StepRunAt(job, step_run_index).m_tasks.Free(block)) return false;
  if (--occurrence.m_steps_left > 0) return false;
  job.m_occurrences.erase(number);
  Insert(job.m_finished_occurrences, number);
  return true;
}

// Returns the time from which on no order may start a task of the block.
TimePoint LatestStartOf(const std::vector<Task>& tasks) {
  TimePoint latest{};
  for (const Task& task : tasks) {
    latest = std::max(latest, task.m_late_start_until);
  }
  return latest;
}

// The rows of the tasks still tell of the orders that may start them late.
void MarkLateStartsOver(Fleet& fleet, Job& job, const DoneBlock& block) {
  const StepRun& step_run = StepRunAt(job, block.m_step_run_index);
  const auto& tasks = step_run.m_tasks.TasksOf(block.m_block);
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    if (tasks[index].m_late_start_until == TimePoint()) continue;
    const std::size_t first = block.m_block.value() * kTasksPerBlock;
    MarkTaskChanged(fleet, job,
                    ReferenceOf(job, block.m_step_run_index, first + index));
  }
}

void ReleaseStep(Fleet& fleet, Job& job, std::size_t step_run_index) {
  StepRun& step_run = StepRunAt(job, step_run_index);
  ++fleet.m_work.m_step_runs;
  if (step_run.m_is_released || step_run.m_unfinished_predecessors > 0) return;
  step_run.m_is_released = true;
  UpdateWaitingSteps(fleet, job, step_run_index);
}

// Calls `visit` with each step run that has waited for this one, which is done.
// Each end of a task of a gang comes here.
template <typename Visit>
void VisitSuccessors(Job& job, std::size_t step_run_index, Visit visit) {
  StepRun& step_run = StepRunAt(job, step_run_index);
  if (step_run.m_is_done) return;
  step_run.m_is_done = true;
  const StepGraph& graph = job.m_graph;
  const std::size_t step = step_run_index % job.StepCount();
  for (std::size_t next = graph.m_successors_begin[step];
       next < graph.m_successors_begin[step + 1]; ++next) {
    const std::size_t successor =
        step_run_index - step + graph.m_successors[next];
    --StepRunAt(job, successor).m_unfinished_predecessors;
    visit(successor);
  }
}

}  // namespace

StepRun* FindStepRun(Job& job, std::size_t step_run_index) {
  const auto found = job.m_occurrences.find(OccurrenceOf(job, step_run_index));
  if (found == job.m_occurrences.end()) return nullptr;
  return &found->second.m_steps[step_run_index % job.StepCount()];
}

const StepRun* FindStepRun(const Job& job, std::size_t step_run_index) {
  const auto found = job.m_occurrences.find(OccurrenceOf(job, step_run_index));
  if (found == job.m_occurrences.end()) return nullptr;
  return &found->second.m_steps[step_run_index % job.StepCount()];
}

StepRun& StepRunAt(Job& job, std::size_t step_run_index) {
  return job.m_occurrences.at(OccurrenceOf(job, step_run_index))
      .m_steps[step_run_index % job.StepCount()];
}

const StepRun& StepRunAt(const Job& job, std::size_t step_run_index) {
  return job.m_occurrences.at(OccurrenceOf(job, step_run_index))
      .m_steps[step_run_index % job.StepCount()];
}

const Task& TaskAt(const Job& job, std::size_t step_run_index,
                   std::size_t task_index) {
  const StepRun* step_run = FindStepRun(job, step_run_index);
  if (step_run != nullptr) return step_run->m_tasks[task_index];
  const bool is_over =
      Contains(job.m_finished_occurrences, OccurrenceOf(job, step_run_index));
  return UnallocatedTask(is_over ? RunState::kDone : RunState::kWaiting);
}

Occurrence& BeginOccurrence(Job& job, std::uint32_t occurrence) {
  const auto [entry, is_new] = job.m_occurrences.try_emplace(occurrence);
  Occurrence& begun = entry->second;
  if (!is_new) return begun;
  begun.m_steps.resize(job.StepCount());
  begun.m_steps_left = static_cast<std::uint32_t>(job.StepCount());
  for (std::size_t step = 0; step < job.StepCount(); ++step) {
    StepRun& step_run = begun.m_steps[step];
    const std::uint32_t tasks = job.m_plan.m_steps[step].m_task_count;
    step_run.m_tasks = TaskTable(tasks);
    step_run.m_waiting = tasks;
    step_run.m_unfinished_predecessors =
        static_cast<std::uint32_t>(job.m_plan.m_steps[step].m_after.size());
  }
  return begun;
}

void ReleaseSteps(Fleet& fleet, Job& job, std::uint32_t occurrence) {
  Occurrence& begun = job.m_occurrences.at(occurrence);
  for (std::uint32_t step = 0; step < begun.m_steps.size(); ++step) {
    ReleaseStep(fleet, job, StepRunIndex(job, occurrence, step));
  }
}

void ReleaseSuccessors(Fleet& fleet, Job& job, std::size_t step_run_index) {
  VisitSuccessors(job, step_run_index, [&](std::size_t successor) {
    ReleaseStep(fleet, job, successor);
  });
}

void ScheduleOccurrences(Fleet& fleet, Job& job) {
  if (!job.m_plan.m_is_timed) {
    if (Contains(job.m_finished_occurrences, 0)) return;
    BeginOccurrence(job, 0);
    return ReleaseSteps(fleet, job, 0);
  }
  CountBegun(fleet, job, job.m_occurrences.size());
  for (const auto& entry : job.m_occurrences) {
    AddPending(fleet, job, entry.first);
  }
  ScheduleNext(fleet, job);
}

void CancelWaitingTasks(StepRun& step_run) {
  step_run.m_tasks.CancelUnallocated();
  step_run.m_waiting = 0;
}

void BeginReportedOccurrence(Fleet& fleet, Job& job, std::uint32_t occurrence) {
  Occurrence& begun = BeginOccurrence(job, occurrence);
  CountBegun(fleet, job, 1);
  if (job.m_is_cancelled || job.m_has_failed) {
    for (StepRun& step_run : begun.m_steps) CancelWaitingTasks(step_run);
  }
  if (job.m_plan.m_is_timed) AddPending(fleet, job, occurrence);
}

void ReleaseDueOccurrences(Fleet& fleet, std::int64_t unix_ms) {
  auto& pending = fleet.m_pending_occurrences;
  std::size_t released = 0;
  while (!pending.empty() && std::get<0>(*pending.begin()) <= unix_ms &&
         released < kReleasedStepRunsPerCall) {
    const auto [due, key, occurrence] = *pending.begin();
    pending.erase(pending.begin());
    // Each entry counts, as the job may have ended or be held back.
    ++released;
    Job* job = FindJob(fleet, key);
    if (job == nullptr || job->m_is_cancelled || job->m_has_failed) continue;
    released += ReleaseDue(fleet, *job, occurrence);
  }
}

void ResumeOccurrences(Fleet& fleet, Job& job) {
  if (!job.m_is_held_back || !MayBegin(fleet, job)) return;
  job.m_is_held_back = false;
  ScheduleNext(fleet, job);
}

void RecordTaskDone(Fleet& fleet, Job& job, const TaskReference& reference) {
  const std::size_t index =
      StepRunIndex(job, reference.m_occurrence, reference.m_step);
  if (!StepRunAt(job, index).m_tasks.MarkDone(reference.m_index)) return;
  fleet.m_done_blocks.emplace(
      fleet.m_ticked_at,
      DoneBlock{reference.m_job, index, BlockOf(reference.m_index)});
}

void RestoreTaskDone(Fleet& fleet, Job& job, std::size_t step_run_index,
                     std::size_t task_index) {
  StepRun& step_run = StepRunAt(job, step_run_index);
  --step_run.m_waiting;
  ++step_run.m_done;
  --job.m_unfinished;
  if (step_run.m_done == step_run.m_tasks.size()) {
    VisitSuccessors(job, step_run_index, [](std::size_t) {});
  }
  if (!step_run.m_tasks.MarkDone(task_index)) return;
  const TaskBlock block = BlockOf(task_index);
  // The rows that follow may tell of orders that may start late.
  if (!step_run.m_tasks.TasksOf(block).empty()) {
    fleet.m_done_blocks.emplace(
        fleet.m_ticked_at, DoneBlock{job.m_plan.m_key, step_run_index, block});
    return;
  }
  FreeBlock(job, step_run_index, block);
}

void FreeDoneTasks(Fleet& fleet, TimePoint now) {
  auto& blocks = fleet.m_done_blocks;
  while (!blocks.empty() && blocks.begin()->first <= now) {
    const DoneBlock done = blocks.begin()->second;
    blocks.erase(blocks.begin());
    Job* job = FindJob(fleet, done.m_job);
    if (job == nullptr) continue;
    StepRun* step_run = FindStepRun(*job, done.m_step_run_index);
    if (step_run == nullptr) continue;
    const TimePoint until =
        LatestStartOf(step_run->m_tasks.TasksOf(done.m_block));
    if (now < until) {
      blocks.emplace(until, done);
      continue;
    }
    MarkLateStartsOver(fleet, *job, done);
    if (!FreeBlock(*job, done.m_step_run_index, done.m_block)) continue;
    CountOver(fleet, *job, 1);
    ResumeOccurrences(fleet, *job);
  }
}

void ForgetOccurrences(Fleet& fleet, const Job& job) {
  CountOver(fleet, job, job.m_occurrences.size());
  if (!job.m_plan.m_is_timed) return;
  const auto forget = [&](std::uint32_t occurrence) {
    fleet.m_pending_occurrences.erase(
        {DueAt(job, occurrence), job.m_plan.m_key, occurrence});
  };
  for (const auto& entry : job.m_occurrences) forget(entry.first);
  forget(job.m_next_occurrence);
}

}  // namespace daisyarch::fleet
