#include <algorithm>
#include <limits>

#include "decisions/fleet/acknowledgement.h"
#include "decisions/fleet/choose_worker.h"
#include "decisions/fleet/crash_count.h"
#include "decisions/fleet/isolation.h"
#include "decisions/fleet/near_place.h"
#include "decisions/fleet/occurrences.h"
#include "decisions/fleet/roster.h"
#include "decisions/fleet/share_worker.h"

namespace daisyarch::fleet {

namespace {

// Below this share of reserved processors, a job without placed tasks is placed
// regardless of interference.
constexpr std::int64_t kAmpleCapacityPercent = 60;
constexpr std::int64_t kPercent = 100;
// Best-effort tasks run for seconds, so this delay of their start costs little.
constexpr std::size_t kBestEffortDivisor = 4;
constexpr Duration kBestEffortPassInterval = std::chrono::milliseconds(50);

void AddStartOrder(PlacementPass& pass, const Job& job,
                   const TaskReference& reference, Worker& worker,
                   const Task& task, bool is_resent) {
  OutrankAcknowledgement(pass.m_fleet, worker);
  worker.m_unanswered_starts.insert(reference);
  const WorkerMilliseconds until =
      LeaseDeadlineAt(pass.m_fleet, worker, pass.m_now);
  worker.m_lease_until = std::max(worker.m_lease_until, until);
  pass.m_fleet.m_orders.push_back(StartOrder{
      worker.m_listing.m_worker, worker.m_listing.m_incarnation, reference,
      task.m_run, worker.m_token, until, job.m_plan.m_payload,
      task.m_checkpoint, task.m_start_sent_at, is_resent});
}

void Start(PlacementPass& pass, Job& job, const TaskReference& reference,
           Worker& worker, RunNumber run, const std::string& checkpoint) {
  Task& task = StepRunAt(job, StepRunIndex(job, reference.m_occurrence,
                                           reference.m_step))
                   .m_tasks[reference.m_index];
  if (!job.m_was_placed) {
    pass.m_fleet.m_events.push_back({"job_started", job.m_plan.m_key,
                                     worker.m_listing.m_worker, run,
                                     pass.m_now - job.m_accepted_at});
  }
  if (job.m_is_inherited) {
    pass.m_fleet.m_events.push_back({"inherited_task_started", job.m_plan.m_key,
                                     worker.m_listing.m_worker, run,
                                     pass.m_now - job.m_accepted_at, reference,
                                     std::nullopt, task.m_run});
  }
  if (pass.m_starts_left > 0) --pass.m_starts_left;
  const StepPlan& step = job.m_plan.m_steps[reference.m_step];
  RecordTrial(pass, worker, step);
  task.m_run = run;
  task.m_checkpoint = checkpoint;
  task.m_worker = worker.m_listing.m_worker;
  task.m_start_confirmation = StartConfirmation::kPending;
  task.m_start_sent_at = pass.m_now;
  task.m_started_at = task.m_unconfirmed_until = TimePoint();
  task.m_has_single_order = false;
  MarkProgressChanged(job, reference);
  StepTask(pass.m_fleet, job, reference, RunEvent::kPlaced);
  AddStartOrder(pass, job, reference, worker, task, false);
}

// The capacity of a task that must not move is reserved. A worker may have
// shrunk since its start was sent.
bool HasRoomForReserved(const Worker& worker) {
  return Fits(worker.m_used, worker.m_listing.m_capacity);
}

// Starts the tasks that must not move although their starts have not taken
// effect.
void ResendStarts(PlacementPass& pass) {
  Fleet& fleet = pass.m_fleet;
  const std::set<TaskReference> resends = fleet.m_resends;
  for (const TaskReference& reference : resends) {
    Job* job = nullptr;
    Task* task = FindTask(fleet, reference, job);
    if (task == nullptr) continue;
    Worker* worker = FindWorker(fleet, task->m_worker);
    if (worker == nullptr || !IsInService(*worker) ||
        !HasRoomForReserved(*worker) ||
        worker->m_quarantined_until > pass.m_now) {
      continue;
    }
    if (pass.m_starts_left == 0) return;
    --pass.m_starts_left;
    fleet.m_events.push_back({"start_resent", reference.m_job,
                              worker->m_listing.m_worker, task->m_run,
                              pass.m_now - task->m_start_sent_at, reference});
    task->m_start_confirmation = StartConfirmation::kPending;
    task->m_start_sent_at = pass.m_now;
    task->m_started_at = TimePoint();
    task->m_has_single_order = false;
    StepTask(fleet, *job, reference, RunEvent::kResent);
    AddStartOrder(pass, *job, reference, *worker, *task, true);
  }
}

RunNumber NextRun(const Fleet& fleet, const Task& task) {
  return std::max(Next(task.m_run), FirstRun(fleet.m_term));
}

// Reserved tasks are placed regardless of interference anyway.
bool MustStartJob(const PlacementPass& pass, const Job& job,
                  const StepPlan& step) {
  return pass.m_has_ample_capacity && job.m_placed == 0 &&
         step.m_processor_use == ProcessorUse::kBestEffort;
}

void SkipPlacedTasks(StepRun& step_run) {
  const TaskTable& tasks = step_run.m_tasks;
  std::uint32_t& first = step_run.m_first_waiting;
  while (first < tasks.size() && tasks[first].m_state != RunState::kWaiting) {
    ++first;
  }
}

void PlaceStep(PlacementPass& pass, Job& job, std::size_t step_run_index,
               PoolInPass& pool) {
  StepRun& step_run = StepRunAt(job, step_run_index);
  const StepPlan& step = job.m_plan.m_steps[step_run_index % job.StepCount()];
  if (pool.m_index != nullptr &&
      AllWaitForNearPlace(pass.m_fleet, job, step_run_index, *pool.m_index,
                          pass.m_now)) {
    return;
  }
  StepChoice choice = BeginStepChoice(pass, pool, step);
  // Reading a task must not allocate it.
  const TaskTable& tasks = step_run.m_tasks;
  SkipPlacedTasks(step_run);
  for (std::size_t index = step_run.m_first_waiting; index < tasks.size();
       ++index) {
    const Task& task = tasks[index];
    if (task.m_state != RunState::kWaiting || NeedsIsolation(task)) continue;
    if (pass.m_now < task.m_late_start_until) continue;
    if (pass.m_starts_left == 0) return;
    const TaskReference reference = ReferenceOf(job, step_run_index, index);
    pass.m_must_start_job = MustStartJob(pass, job, step);
    Worker* worker = ChooseNextWorker(pass, choice, reference);
    if (worker == nullptr) {
      if (!choice.m_has_room) RecordUnavailable(pool, choice.m_need);
      if (pass.m_must_start_job) break;
      const bool is_plain =
          step.m_required_label.empty() && step.m_maximum_per_worker == 0;
      if (is_plain) RecordUnplaceable(pool, step);
      break;
    }
    if (WaitsForNearPlace(pass.m_fleet, job, step_run_index, task,
                          *pool.m_index, *worker, pass.m_now)) {
      break;
    }
    Start(pass, job, reference, *worker, NextRun(pass.m_fleet, task),
          std::string(task.m_checkpoint));
    RecordNearStart(pass.m_fleet, job, step_run_index, *worker, pass.m_now);
  }
}

// Places all members or none: chooses a worker for each, reserves its capacity
// meanwhile, and starts the members only if all have a worker.
void PlaceGang(PlacementPass& pass, Job& job, std::size_t step_run_index,
               const PoolId& pool) {
  const StepRun& step_run = StepRunAt(job, step_run_index);
  if (step_run.m_waiting != step_run.m_tasks.size()) return;
  bool may_start_late = false;
  step_run.m_tasks.VisitAllocated([&](std::size_t, const Task& task) {
    may_start_late = may_start_late || pass.m_now < task.m_late_start_until;
  });
  if (may_start_late) return;
  pass.m_must_start_job = false;
  const StepPlan& step = job.m_plan.m_steps[step_run_index % job.StepCount()];
  std::vector<WorkerId> chosen;
  const Resources demand = ReservedDemand(step);
  for (std::size_t index = 0; index < step_run.m_tasks.size(); ++index) {
    const TaskReference reference = ReferenceOf(job, step_run_index, index);
    Worker* worker = NeedsIsolation(step_run.m_tasks[index])
                         ? FindIsolatedWorker(pass, step, reference)
                         : ChooseWorker(pass, pool, step, reference);
    if (worker == nullptr) break;
    worker->m_used = worker->m_used + demand;
    worker->m_runs.insert(reference);
    UpdateWorkerIndex(pass.m_fleet, *worker);
    chosen.push_back(worker->m_listing.m_worker);
  }
  RunNumber run = FirstRun(pass.m_fleet.m_term);
  std::string checkpoint;
  for (std::size_t index = 0; index < step_run.m_tasks.size(); ++index) {
    run = std::max(run, Next(step_run.m_tasks[index].m_run));
    if (checkpoint.empty()) checkpoint = step_run.m_tasks[index].m_checkpoint;
  }
  for (std::size_t index = 0; index < chosen.size(); ++index) {
    Worker* worker = FindWorker(pass.m_fleet, chosen[index]);
    worker->m_used = worker->m_used - demand;
    worker->m_runs.erase(ReferenceOf(job, step_run_index, index));
    UpdateWorkerIndex(pass.m_fleet, *worker);
  }
  if (chosen.size() != step_run.m_tasks.size()) return;
  for (std::size_t index = 0; index < chosen.size(); ++index) {
    Start(pass, job, ReferenceOf(job, step_run_index, index),
          *FindWorker(pass.m_fleet, chosen[index]), run, checkpoint);
  }
}

// The members of a gang are placed together with the others.
void PlaceIsolated(PlacementPass& pass) {
  Fleet& fleet = pass.m_fleet;
  UpdateIsolations(fleet, pass.m_now);
  for (const auto& [reference, isolation] : fleet.m_isolations) {
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    if (task == nullptr || task->m_state != RunState::kWaiting) continue;
    if (pass.m_now < task->m_late_start_until) continue;
    if (pass.m_may_have_inherited_runs && job->m_is_inherited) continue;
    const StepPlan& step = job->m_plan.m_steps[reference.m_step];
    if (step.m_is_gang) continue;
    Worker* worker = FindIsolatedWorker(pass, step, reference);
    if (worker == nullptr) continue;
    Start(pass, *job, reference, *worker, NextRun(fleet, *task),
          std::string(task->m_checkpoint));
    UpdateWaitingSteps(
        fleet, *job,
        StepRunIndex(*job, reference.m_occurrence, reference.m_step));
  }
}

void PlaceWaitingStep(PlacementPass& pass, const WaitingStep& waiting) {
  Fleet& fleet = pass.m_fleet;
  const auto& [rank, key, step_run_index] = waiting;
  Job* job = FindJob(fleet, key);
  if (pass.m_may_have_inherited_runs && job->m_is_inherited) return;
  const PoolId& pool_id = QueueSettingsOf(fleet, *job).m_pool;
  PoolInPass& pool = FindPool(pass, pool_id);
  const StepPlan& step = job->m_plan.m_steps[step_run_index % job->StepCount()];
  const bool must_start = MustStartJob(pass, *job, step);
  if (IsUnavailable(pool, NeededRoom(step, must_start))) return;
  if (!must_start && IsUnplaceable(pool, step)) return;
  if (step.m_is_gang) {
    PlaceGang(pass, *job, step_run_index, pool_id);
  } else {
    PlaceStep(pass, *job, step_run_index, pool);
  }
  if (StepRunAt(*job, step_run_index).m_waiting == 0) {
    UpdateWaitingSteps(fleet, *job, step_run_index);
  }
}

// Returns the largest demand of a waiting step that a worker has room for, as
// far as processors go.
Millicores LargestRoom(const PlacementPass& pass, ProcessorUse use) {
  const bool is_best_effort = use == ProcessorUse::kBestEffort;
  Millicores largest;
  // A best-effort task that must start needs no idle processors.
  if (is_best_effort && pass.m_has_ample_capacity) {
    return Millicores(std::numeric_limits<std::int64_t>::max());
  }
  for (const auto& [id, pool] : pass.m_fleet.m_worker_index.m_pools) {
    const WorkersByFigure& workers =
        is_best_effort ? pool.m_by_idle : pool.m_by_free;
    if (workers.empty()) continue;
    const Millicores room(workers.rbegin()->first);
    largest = std::max(largest, is_best_effort ? LargestDemandFor(room) : room);
  }
  return largest;
}

void PlaceWaiting(PlacementPass& pass, const WaitingSteps& steps,
                  ProcessorUse use) {
  WaitingStepsWalk walk;
  for (const auto& [group, members] : steps.m_groups) {
    if (pass.m_may_have_inherited_runs && group.m_is_inherited) continue;
    walk.AddGroup(SmallestOf(group.m_level), members);
  }
  while (pass.m_starts_left > 0) {
    const auto step = walk.Next(LargestRoom(pass, use));
    if (!step) return;
    ++pass.m_fleet.m_work.m_waiting_steps;
    PlaceWaitingStep(pass, *step);
  }
}

}  // namespace

bool HasAmpleCapacity(const Fleet& fleet) {
  const WorkerIndex& index = fleet.m_worker_index;
  return index.m_listed_reserved.value() * kPercent <
         index.m_listed_capacity.value() * kAmpleCapacityPercent;
}

bool PlaceRuns(Fleet& fleet, TimePoint now) {
  // m_needs_placement stays set, so every tick retries until a listing arrives.
  const Duration listing_age = now - fleet.m_listed_at;
  if (listing_age > fleet.m_limits.m_maximum_listing_age) return false;
  if (!AreEvacuationsKnown(fleet.m_evacuations, now)) return false;
  PlacementPass pass{fleet, now, MayHaveInheritedRuns(fleet, now),
                     HasAmpleCapacity(fleet)};
  const std::size_t starts = fleet.m_limits.m_starts_per_pass;
  const std::size_t best_effort_starts = starts / kBestEffortDivisor;
  pass.m_starts_left = starts - best_effort_starts;
  ResendStarts(pass);
  PlaceIsolated(pass);
  PlaceWaiting(pass, fleet.m_waiting_reserved, ProcessorUse::kReserved);
  bool is_finished = pass.m_starts_left > 0;
  if (now >= fleet.m_next_best_effort_pass_at) {
    pass.m_starts_left += best_effort_starts;
    PlaceWaiting(pass, fleet.m_waiting_best_effort, ProcessorUse::kBestEffort);
    if (pass.m_starts_left > 0) {
      fleet.m_next_best_effort_pass_at = now + kBestEffortPassInterval;
    } else {
      is_finished = false;
    }
  }
  IndexComputedWorkers(pass);
  fleet.m_needs_placement = !is_finished;
  return fleet.m_needs_placement;
}

}  // namespace daisyarch::fleet
