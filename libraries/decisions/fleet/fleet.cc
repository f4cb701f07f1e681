#include "decisions/fleet/fleet.h"

#include <algorithm>

#include "decisions/fleet/crash_count.h"
#include "decisions/fleet/isolation.h"
#include "decisions/fleet/late_start.h"
#include "decisions/fleet/occurrences.h"
#include "decisions/fleet/rank.h"

namespace daisyarch::fleet {

namespace {

// More than one term can use.
constexpr std::uint64_t kRunsPerTerm = 1ULL << 20;
constexpr Duration kStopRepeatInterval = std::chrono::milliseconds(500);
constexpr Duration kLeaseSlack = std::chrono::milliseconds(100);
// The clocks of the platform's workers may run 2% slow.
constexpr std::int64_t kClockDriftPercent = 102;
constexpr std::int64_t kPercent = 100;

// Event names in the order of WorkerState.
constexpr const char* kStateEvents[] = {"worker_unverified", "worker_ready",
                                        "worker_silent", "worker_lapsed"};

// Cancels the waiting tasks and stops the placed ones.
void StopJobTasks(Fleet& fleet, Job& job, TimePoint now) {
  VisitStepRuns(job, [&](std::size_t step_run_index, StepRun& step_run) {
    step_run.m_tasks.VisitAllocated([&](std::size_t index, const Task& task) {
      const TaskReference reference = ReferenceOf(job, step_run_index, index);
      if (task.m_state == RunState::kWaiting) {
        StepTask(fleet, job, reference, RunEvent::kCancelled);
      } else if (IsPlaced(task.m_state)) {
        SendStop(fleet, job, reference, now);
      }
    });
    CancelWaitingTasks(step_run);
    UpdateWaitingSteps(fleet, job, step_run_index);
  });
}

// The other members would wait forever for the one that has ended.
void StopGang(Fleet& fleet, Job& job, const TaskReference& ended) {
  StepRun& step_run =
      StepRunAt(job, StepRunIndex(job, ended.m_occurrence, ended.m_step));
  step_run.m_tasks.VisitAllocated([&](std::size_t index, const Task& task) {
    if (!IsPlaced(task.m_state)) return;
    TaskReference member = ended;
    member.m_index = static_cast<std::uint32_t>(index);
    SendStop(fleet, job, member, TimePoint());
  });
}

// A gang is done as soon as one member is.
void FinishGang(Fleet& fleet, Job& job, const TaskReference& ended) {
  StepRun& step_run =
      StepRunAt(job, StepRunIndex(job, ended.m_occurrence, ended.m_step));
  for (std::size_t index = 0; index < step_run.m_tasks.size(); ++index) {
    Task& task = step_run.m_tasks[index];
    if (!IsPlaced(task.m_state) && task.m_state != RunState::kWaiting) continue;
    TaskReference member = ended;
    member.m_index = static_cast<std::uint32_t>(index);
    StepTask(fleet, job, member, RunEvent::kCompleted);
  }
}

// The members of a gang whose run is superseded follow one by one.
void AfterTransition(Fleet& fleet, Job& job, const TaskReference& reference,
                     RunEvent event, RunState before, RunState after) {
  const std::size_t step_run_index =
      StepRunIndex(job, reference.m_occurrence, reference.m_step);
  StepRun& step_run = StepRunAt(job, step_run_index);
  const StepPlan& step = job.m_plan.m_steps[reference.m_step];
  if (!job.m_was_placed && IsPlaced(after)) {
    job.m_was_placed = true;
    fleet.m_unranked_jobs.insert(reference.m_job);
  }
  if (after == RunState::kSettling && before != after) {
    if (step.m_is_gang) StopGang(fleet, job, reference);
    MarkTaskChanged(fleet, job, reference);
  }
  if (IsPlaced(after) || (after == RunState::kCancelled && !IsPlaced(before))) {
    return;
  }
  if (!IsPlaced(before)) --step_run.m_waiting;
  UpdateWaitingSteps(fleet, job, step_run_index);
  if (step.m_is_gang && after == RunState::kDone) {
    if (step_run.m_done == 1) FinishGang(fleet, job, reference);
  } else if (step.m_is_gang && event != RunEvent::kSuperseded) {
    StopGang(fleet, job, reference);
  }
  const Task& task = step_run.m_tasks[reference.m_index];
  if (after == RunState::kFailed && HasCrashedTooOften(job, task)) {
    fleet.m_events.push_back({"task_given_up", reference.m_job, WorkerId(),
                              task.m_run, Duration{}, reference});
  }
  if (after == RunState::kFailed) StopJobTasks(fleet, job, TimePoint());
  if (after == RunState::kDone && step_run.m_done == step_run.m_tasks.size()) {
    ReleaseSuccessors(fleet, job, step_run_index);
  }
  MarkTaskChanged(fleet, job, reference);
}

Duration RemainingPath(const Job& job, std::size_t step_run_index) {
  return job.m_graph.m_remaining_paths[step_run_index % job.StepCount()];
}

bool IsService(const JobPlan& plan) {
  return std::any_of(
      plan.m_steps.begin(), plan.m_steps.end(),
      [](const StepPlan& step) { return step.m_kind == StepKind::kService; });
}

// Returns whether a task that is not done has failed as often as allowed.
bool HasExhaustedTask(const Job& job) {
  bool has_exhausted_task = false;
  VisitStepRuns(job, [&](std::size_t index, const StepRun& step_run) {
    const StepPlan& step = job.m_plan.m_steps[index % job.StepCount()];
    if (step.m_kind == StepKind::kService) return;
    step_run.m_tasks.VisitAllocated([&](std::size_t, const Task& task) {
      const bool is_exhausted =
          task.m_state != RunState::kDone &&
          task.m_failed_runs.size() >= job.m_maximum_attempts;
      has_exhausted_task = has_exhausted_task || is_exhausted;
    });
  });
  return has_exhausted_task;
}

void RestoreTask(Fleet& fleet, Job& job, const TaskProgress& stored) {
  const TaskReference reference =
      ReferenceOf(job, stored.m_step_run, stored.m_index);
  if (reference.m_occurrence >= job.m_plan.m_occurrences) return;
  const StepPlan& step = job.m_plan.m_steps[reference.m_step];
  if (stored.m_index >= step.m_task_count) return;
  if (Contains(job.m_finished_occurrences, reference.m_occurrence)) return;
  StepRun& step_run =
      BeginOccurrence(job, reference.m_occurrence).m_steps[reference.m_step];
  // An earlier version stored all tasks in part 0.
  if (step_run.m_tasks.IsDone(stored.m_index)) return;
  const ProgressPart part = PartOf(job, stored.m_step_run, stored.m_index);
  if (part != stored.m_stored_part) {
    job.m_changed_parts[part];
    job.m_has_rows_to_move = true;
  }
  job.m_was_placed = true;
  job.m_is_inherited = true;
  if (stored.m_is_done && stored.m_late_start_until_unix_ms == 0) {
    return RestoreTaskDone(fleet, job, stored.m_step_run, stored.m_index);
  }
  Task& task = step_run.m_tasks[stored.m_index];
  task.m_run = stored.m_run;
  task.m_failed_runs = stored.m_failed_runs;
  task.m_crashed_runs = stored.m_crashed_runs;
  task.m_doubtful_runs = stored.m_doubtful_runs;
  task.m_checkpoint = stored.m_checkpoint;
  RestoreLateStart(fleet, stored, reference, task);
  if (!stored.m_is_done) {
    // The earlier leader ended before it gave up the task, or before it stored
    // the crash that would have led to that.
    job.m_has_failed = job.m_has_failed || HasCrashedTooOften(job, task);
    return;
  }
  RestoreTaskDone(fleet, job, stored.m_step_run, stored.m_index);
}

void ShareDone(Fleet& fleet, Job& job, std::size_t step_run_index) {
  const StepRun* step_run = FindStepRun(job, step_run_index);
  const std::size_t count = step_run->m_tasks.size();
  // The occurrence may be over before the last one.
  for (std::size_t index = 0; index < count; ++index) {
    if (TaskAt(job, step_run_index, index).m_state == RunState::kDone) continue;
    RestoreTaskDone(fleet, job, step_run_index, index);
  }
}

void ShareFailedRuns(StepRun& step_run) {
  std::set<RunNumber> failed_runs;
  step_run.m_tasks.VisitAllocated([&](std::size_t, const Task& task) {
    failed_runs.insert(task.m_failed_runs.begin(), task.m_failed_runs.end());
  });
  if (failed_runs.empty()) return;
  for (std::size_t index = 0; index < step_run.m_tasks.size(); ++index) {
    Task& task = step_run.m_tasks[index];
    for (const RunNumber& run : failed_runs) RecordFailedRun(task, run);
  }
}

// The end of one member counts for all. The rows of the others may not tell of
// it: a row is left out if its task's start was not known, and the rows of
// several parts are not stored at once.
void RestoreGangs(Fleet& fleet, Job& job) {
  std::vector<std::size_t> done;
  VisitStepRuns(job, [&](std::size_t index, StepRun& step_run) {
    if (!job.m_plan.m_steps[index % job.StepCount()].m_is_gang) return;
    if (step_run.m_done > 0) {
      done.push_back(index);
    } else {
      ShareFailedRuns(step_run);
    }
  });
  for (const std::size_t index : done) ShareDone(fleet, job, index);
}

std::unique_ptr<Job> MakeJob(Fleet& fleet, JobPlan plan,
                             const JobProgress& progress) {
  auto job = std::make_unique<Job>();
  job->m_plan = std::move(plan);
  job->m_state = progress.m_state;
  job->m_has_started = progress.m_state != JobState::kQueued;
  job->m_graph = MakeStepGraph(job->m_plan);
  job->m_critical_path = CriticalPath(job->m_graph);
  job->m_is_service = IsService(job->m_plan);
  job->m_task_offsets.push_back(0);
  for (const StepPlan& step : job->m_plan.m_steps) {
    job->m_task_offsets.push_back(job->m_task_offsets.back() +
                                  step.m_task_count);
  }
  job->m_unfinished = job->m_task_offsets.back() * job->m_plan.m_occurrences;
  // Its other tasks may still run: they are stopped and not restarted.
  job->m_has_failed = progress.m_state == JobState::kFailed;
  for (const TaskProgress& stored : progress.m_tasks) {
    RestoreTask(fleet, *job, stored);
  }
  RestoreGangs(fleet, *job);
  return job;
}

using JobQueue = std::pair<ProcessorUse, WaitingGroup>;

JobQueue QueueOf(const Job& job, std::size_t step_run_index,
                 bool is_inherited) {
  const StepPlan& step = job.m_plan.m_steps[step_run_index % job.StepCount()];
  return {step.m_processor_use,
          {is_inherited, LevelOf(step.m_demand.m_processors)}};
}

void Enqueue(Fleet& fleet, Job& job, std::size_t step_run_index) {
  StepRun& run = StepRunAt(job, step_run_index);
  run.m_is_queued = true;
  run.m_is_queued_as_inherited = job.m_is_inherited;
  ++job.m_queued_steps;
  ++job.m_queued_paths[RemainingPath(job, step_run_index)];
  const JobQueue queue = QueueOf(job, step_run_index, job.m_is_inherited);
  QueuedSteps& steps = job.m_queues[queue];
  steps.insert(step_run_index);
  if (steps.size() > 1) return;
  Insert(WaitingStepsOf(fleet, queue.first), queue.second,
         {job.m_rank, job.m_plan.m_key}, steps);
}

bool Unqueue(Fleet& fleet, Job& job, std::size_t step_run_index) {
  StepRun& run = StepRunAt(job, step_run_index);
  if (!run.m_is_queued) return false;
  run.m_is_queued = false;
  --job.m_queued_steps;
  const auto path = job.m_queued_paths.find(RemainingPath(job, step_run_index));
  if (--path->second == 0) job.m_queued_paths.erase(path);
  const JobQueue queue =
      QueueOf(job, step_run_index, run.m_is_queued_as_inherited);
  const auto found = job.m_queues.find(queue);
  found->second.erase(step_run_index);
  if (!found->second.empty()) return true;
  Erase(WaitingStepsOf(fleet, queue.first), queue.second,
        {job.m_rank, job.m_plan.m_key});
  job.m_queues.erase(found);
  return true;
}

// Moves all steps to the group that they belong to.
void Regroup(Fleet& fleet, Job& job) {
  const auto queues = job.m_queues;
  for (const auto& entry : queues) {
    for (const std::size_t step_run_index : entry.second) {
      Unqueue(fleet, job, step_run_index);
      UpdateWaitingSteps(fleet, job, step_run_index);
    }
  }
}

void RemovePendingCount(Fleet& fleet, Job& job) {
  if (!job.m_is_counted_pending) return;
  job.m_is_counted_pending = false;
  const auto count = fleet.m_pending_counts.find(job.m_plan.m_queue.m_id);
  if (--count->second == 0) fleet.m_pending_counts.erase(count);
}

}  // namespace

RunNumber FirstRun(Term term) {
  return RunNumber((term.value() - 1) * kRunsPerTerm + 1);
}

const Queue& QueueSettingsOf(const Fleet& fleet, const Job& job) {
  const auto queue = fleet.m_queues.find(job.m_plan.m_queue.m_id);
  return queue == fleet.m_queues.end() ? job.m_plan.m_queue : queue->second;
}

Job* FindJob(Fleet& fleet, const JobKey& key) {
  ++fleet.m_work.m_job_lookups;
  const auto found = fleet.m_jobs.find(key.value());
  return found == fleet.m_jobs.end() ? nullptr : found->second.get();
}

Worker* FindWorker(Fleet& fleet, const WorkerId& worker) {
  const auto found = fleet.m_workers.find(worker);
  return found == fleet.m_workers.end() ? nullptr : &found->second;
}

Worker& AddWorker(Fleet& fleet, const WorkerId& worker) {
  const auto [entry, is_new] = fleet.m_workers.try_emplace(worker);
  if (is_new) {
    fleet.m_last_worker_number = Next(fleet.m_last_worker_number);
    entry->second.m_number = fleet.m_last_worker_number;
    entry->second.m_listing.m_worker = worker;
    fleet.m_unknown_in_roster.erase(worker);
    UpdateWorkerIndex(fleet, entry->second);
  }
  return entry->second;
}

StepResult StepTask(Fleet& fleet, Job& job, const TaskReference& reference,
                    RunEvent event) {
  StepRun& step_run = StepRunAt(
      job, StepRunIndex(job, reference.m_occurrence, reference.m_step));
  Task& task = step_run.m_tasks[reference.m_index];
  RunContext context{
      fleet, job, reference, step_run, job.m_plan.m_steps[reference.m_step],
      task};
  const RunState before = task.m_state;
  const StepResult result =
      fleet.m_state_machines->m_run.Step(task.m_state, event, context);
  if (result == StepResult::kTaken) {
    AfterTransition(fleet, job, reference, event, before, task.m_state);
  }
  return result;
}

void StepWorker(Fleet& fleet, Worker& worker, WorkerEvent event) {
  WorkerContext context{fleet, worker};
  const WorkerState before = worker.m_state;
  fleet.m_state_machines->m_worker.Step(worker.m_state, event, context);
  UpdateWorkerIndex(fleet, worker);
  if (worker.m_state == before) return;
  fleet.m_events.push_back(
      {kStateEvents[static_cast<std::size_t>(worker.m_state)], JobKey(),
       worker.m_listing.m_worker, RunNumber(),
       worker.m_poll_sent_at - worker.m_clock_read_at});
}

void UpdateWaitingSteps(Fleet& fleet, Job& job, std::size_t step_run_index) {
  StepRun& run = StepRunAt(job, step_run_index);
  fleet.m_unranked_jobs.insert(job.m_plan.m_key);
  const bool has_ended = job.m_is_cancelled || job.m_has_failed;
  if (!run.m_is_released || run.m_waiting == 0 || has_ended) {
    if (Unqueue(fleet, job, step_run_index)) {
      ResumeOccurrences(fleet, job);
    }
    return;
  }
  fleet.m_needs_placement = true;
  if (run.m_is_queued) return;
  Enqueue(fleet, job, step_run_index);
}

namespace {

void UpdateState(Job& job) {
  if (job.m_is_cancelled) {
    job.m_state = JobState::kCancelled;
  } else if (job.m_has_failed) {
    job.m_state = JobState::kFailed;
  } else if (job.m_unfinished == 0) {
    job.m_state = JobState::kCompleted;
  } else if (job.m_has_started) {
    job.m_state = JobState::kRunning;
  }
}

void QueueForStoring(Fleet& fleet, const Job& job) {
  fleet.m_changed_jobs.insert(job.m_plan.m_key);
  if (HasEnded(job)) fleet.m_has_urgent_change = true;
}

}  // namespace

void MarkChanged(Fleet& fleet, Job& job) {
  UpdateState(job);
  job.m_changed_parts[ProgressPart()];
  QueueForStoring(fleet, job);
}

void MarkTaskChanged(Fleet& fleet, Job& job, const TaskReference& reference) {
  const JobState before = job.m_state;
  UpdateState(job);
  if (job.m_state != before) job.m_changed_parts[ProgressPart()];
  MarkProgressChanged(job, reference);
  QueueForStoring(fleet, job);
}

// The state of the task may stay the same.
bool CountFailedRun(Fleet& fleet, Job& job, const TaskReference& reference,
                    RunNumber run) {
  StepRun& step_run = StepRunAt(
      job, StepRunIndex(job, reference.m_occurrence, reference.m_step));
  const bool is_gang = job.m_plan.m_steps[reference.m_step].m_is_gang;
  TaskReference member = reference;
  member.m_index = is_gang ? 0 : reference.m_index;
  const std::size_t end =
      is_gang ? step_run.m_tasks.size() : member.m_index + std::size_t{1};
  bool is_new = false;
  for (; member.m_index < end; ++member.m_index) {
    if (!RecordFailedRun(step_run.m_tasks[member.m_index], run)) continue;
    MarkTaskChanged(fleet, job, member);
    is_new = true;
  }
  return is_new;
}

void AddJob(Fleet& fleet, JobPlan plan, const JobProgress& progress,
            TimePoint accepted_at) {
  const JobKey key = plan.m_key;
  if (fleet.m_jobs.count(key.value()) > 0) return;
  std::unique_ptr<Job>& job = fleet.m_jobs[key.value()];
  job = MakeJob(fleet, std::move(plan), progress);
  job->m_accepted_at = accepted_at;
  UpdateObjective(fleet, *job);
  // Its steps are queued before it is first ranked.
  job->m_rank.m_priority = job->m_priority;
  // The parts of a job are stored one by one, so the failure of a task may be
  // stored without that of its job.
  job->m_has_failed = job->m_has_failed || HasExhaustedTask(*job);
  UpdatePendingCount(fleet, *job);
  fleet.m_unranked_jobs.insert(key);
  AddIsolations(fleet, *job);
  ScheduleOccurrences(fleet, *job);
  if (job->m_has_failed) StopJobTasks(fleet, *job, TimePoint());
  // The last task's end may be stored without the job's final state.
  if (HasEnded(*job)) MarkChanged(fleet, *job);
}

void ApplyQueues(Fleet& fleet, std::map<QueueId, Queue> queues) {
  fleet.m_queues = std::move(queues);
  for (auto& entry : fleet.m_jobs) {
    Job& job = *entry.second;
    UpdateObjective(fleet, job);
    fleet.m_unranked_jobs.insert(job.m_plan.m_key);
  }
  fleet.m_needs_placement = true;
}

void MarkInherited(Fleet& fleet, Job& job) {
  if (job.m_is_inherited) return;
  job.m_is_inherited = true;
  Regroup(fleet, job);
}

void CancelJob(Fleet& fleet, const JobKey& key, TimePoint now) {
  Job* job = FindJob(fleet, key);
  if (job == nullptr || job->m_is_cancelled) return;
  if (HasEnded(*job)) return;
  job->m_is_cancelled = true;
  UpdatePendingCount(fleet, *job);
  StopJobTasks(fleet, *job, now);
  MarkChanged(fleet, *job);
}

void RemoveJob(Fleet& fleet, const JobKey& key) {
  Job* job = FindJob(fleet, key);
  if (job == nullptr) return;
  VisitStepRuns(*job, [&](std::size_t index, const StepRun&) {
    Unqueue(fleet, *job, index);
  });
  ForgetOccurrences(fleet, *job);
  fleet.m_changed_jobs.erase(key);
  fleet.m_unranked_jobs.erase(key);
  SetRankTimer(fleet, *job, TimePoint::max());
  RemovePendingCount(fleet, *job);
  fleet.m_jobs.erase(key.value());
}

void SendStop(Fleet& fleet, Job& job, const TaskReference& reference,
              TimePoint now) {
  StepTask(fleet, job, reference, RunEvent::kStopRequested);
  Task& task = StepRunAt(job, StepRunIndex(job, reference.m_occurrence,
                                           reference.m_step))
                   .m_tasks[reference.m_index];
  const Worker* worker = FindWorker(fleet, task.m_worker);
  if (worker == nullptr) return;
  // Some callers do not know the time.
  task.m_stop_sent_at = std::max(now, fleet.m_ticked_at);
  fleet.m_stop_repeats.emplace(task.m_stop_sent_at + kStopRepeatInterval,
                               reference);
  fleet.m_orders.push_back(StopOrder{task.m_worker,
                                     worker->m_listing.m_incarnation, reference,
                                     task.m_run, worker->m_token});
}

WorkerMilliseconds WorkerClockAt(const Worker& worker, TimePoint now) {
  return worker.m_clock +
         WorkerMilliseconds(ToMilliseconds(now - worker.m_clock_read_at));
}

WorkerMilliseconds LeaseDeadlineAt(const Fleet& fleet, const Worker& worker,
                                   TimePoint now) {
  return WorkerClockAt(
      worker, std::min(now + fleet.m_limits.m_lease, fleet.m_lease_limit));
}

TimePoint LeaseEndOf(const Worker& worker) {
  const std::int64_t left = std::max<std::int64_t>(
      0, (worker.m_lease_until - worker.m_clock).value());
  return worker.m_clock_read_at +
         FromMilliseconds(left * kClockDriftPercent / kPercent) + kLeaseSlack;
}

const std::map<QueueId, std::uint64_t>& CountPending(const Fleet& fleet) {
  return fleet.m_pending_counts;
}

void UpdatePendingCount(Fleet& fleet, Job& job) {
  const bool is_pending =
      !job.m_has_started && !job.m_is_cancelled && !job.m_has_failed;
  if (!is_pending) return RemovePendingCount(fleet, job);
  if (job.m_is_counted_pending) return;
  job.m_is_counted_pending = true;
  ++fleet.m_pending_counts[job.m_plan.m_queue.m_id];
}

}  // namespace daisyarch::fleet
