#include <algorithm>

#include "decisions/fleet/choose_worker.h"
#include "decisions/fleet/roster.h"

namespace daisyarch::fleet {

namespace {

// Below this share of reserved processors every job has to find room.
constexpr std::int64_t kRoomyPercent = 60;
constexpr std::int64_t kPercent = 100;
// Fillers run for seconds; being placed this much later costs them little.
constexpr Duration kFillerPassInterval = std::chrono::milliseconds(50);

void Start(PlacementPass& pass, Job& job, const TaskReference& reference,
           Worker& worker, RunNumber run, const std::string& checkpoint) {
  Task& task =
      job.m_steps[StepRunIndex(job, reference.m_occurrence, reference.m_step)]
          .m_tasks[reference.m_index];
  if (!job.m_has_started) {
    pass.m_fleet.m_events.push_back({"job_started", job.m_plan.m_key,
                                     worker.m_listing.m_worker, run,
                                     pass.m_now - job.m_accepted_at});
  }
  const StepPlan& step = job.m_plan.m_steps[reference.m_step];
  NoteTrial(pass, worker, step);
  task.m_run = run;
  task.m_checkpoint = checkpoint;
  task.m_worker = worker.m_listing.m_worker;
  task.m_start = StartKnowledge::kPending;
  StepTask(pass.m_fleet, job, reference, RunEvent::kPlaced);
  const WorkerMilliseconds until =
      LeaseGrantedAt(pass.m_fleet, worker, pass.m_now);
  worker.m_lease_until = std::max(worker.m_lease_until, until);
  pass.m_fleet.m_orders.push_back(StartOrder{
      worker.m_listing.m_worker, worker.m_listing.m_incarnation, reference, run,
      worker.m_token, until, job.m_plan.m_payload, checkpoint});
}

RunNumber NextRun(const Fleet& fleet, const Task& task) {
  return std::max(Next(task.m_run), FirstRun(fleet.m_term));
}

TaskReference ReferenceOf(const Job& job, std::size_t step_run,
                          std::size_t index) {
  return {job.m_plan.m_key,
          static_cast<std::uint32_t>(step_run / job.StepCount()),
          static_cast<std::uint32_t>(step_run % job.StepCount()),
          static_cast<std::uint32_t>(index)};
}

void PlaceStep(PlacementPass& pass, Job& job, std::size_t place,
               const PoolId& pool) {
  StepRun& step_run = job.m_steps[place];
  const StepPlan& step = job.m_plan.m_steps[place % job.StepCount()];
  for (std::size_t index = 0; index < step_run.m_tasks.size(); ++index) {
    Task& task = step_run.m_tasks[index];
    if (task.m_state != RunState::kWaiting) continue;
    const TaskReference reference = ReferenceOf(job, place, index);
    pass.m_must_begin = pass.m_is_roomy && job.m_placed == 0;
    Worker* worker = ChooseWorker(pass, pool, step, reference);
    if (worker == nullptr) {
      if (pass.m_must_begin) break;
      const bool is_plain =
          step.m_required_label.empty() && step.m_maximum_per_worker == 0;
      if (is_plain) NoteUnplaceable(pass, pool, step);
      break;
    }
    Start(pass, job, reference, *worker, NextRun(pass.m_fleet, task),
          std::string(task.m_checkpoint));
  }
}

// All members or none: room is counted on copies first.
void PlaceGang(PlacementPass& pass, Job& job, std::size_t place,
               const PoolId& pool) {
  StepRun& step_run = job.m_steps[place];
  if (step_run.m_waiting != step_run.m_tasks.size()) return;
  pass.m_must_begin = false;
  const StepPlan& step = job.m_plan.m_steps[place % job.StepCount()];
  std::vector<WorkerId> chosen;
  const Resources demand = CountedDemand(step);
  for (std::size_t index = 0; index < step_run.m_tasks.size(); ++index) {
    Worker* worker =
        ChooseWorker(pass, pool, step, ReferenceOf(job, place, index));
    if (worker == nullptr) break;
    worker->m_used = worker->m_used + demand;
    worker->m_runs.insert(ReferenceOf(job, place, index));
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
    worker->m_runs.erase(ReferenceOf(job, place, index));
  }
  if (chosen.size() != step_run.m_tasks.size()) return;
  for (std::size_t index = 0; index < chosen.size(); ++index) {
    Start(pass, job, ReferenceOf(job, place, index),
          *FindWorker(pass.m_fleet, chosen[index]), run, checkpoint);
  }
}

bool IsRoomy(const Fleet& fleet) {
  Millicores capacity;
  Millicores reserved;
  for (const auto& entry : fleet.m_workers) {
    const Worker& worker = entry.second;
    if (!worker.m_is_listed) continue;
    capacity += worker.m_listing.m_capacity.m_processors;
    reserved += worker.m_used.m_processors;
  }
  return reserved.value() * kPercent < capacity.value() * kRoomyPercent;
}

void PlaceWaiting(PlacementPass& pass, const WaitingSteps& queue) {
  Fleet& fleet = pass.m_fleet;
  // Steps leave the queue as they are placed.
  const std::vector<WaitingSteps::value_type> waiting(queue.begin(),
                                                      queue.end());
  for (const auto& [rank, key, place] : waiting) {
    Job* job = FindJob(fleet, key);
    if (pass.m_has_silent_inheritance && job->m_is_inherited) continue;
    const PoolId pool = TermsOf(fleet, *job).m_pool;
    const StepPlan& step = job->m_plan.m_steps[place % job->StepCount()];
    const bool may_wait = !pass.m_is_roomy || job->m_placed > 0;
    if (may_wait && IsUnplaceable(pass, pool, step)) continue;
    if (step.m_is_gang) {
      PlaceGang(pass, *job, place, pool);
    } else {
      PlaceStep(pass, *job, place, pool);
    }
    UpdateQueue(fleet, *job, place);
  }
}

}  // namespace

void PlaceRuns(Fleet& fleet, TimePoint now) {
  // Tried again at each tick until a listing comes.
  if (now - fleet.m_listed_at > fleet.m_limits.m_listing_age) return;
  PlacementPass pass{fleet, now, MayRunUnseen(fleet, now), IsRoomy(fleet)};
  PlaceWaiting(pass, fleet.m_waiting);
  if (now >= fleet.m_next_filler_pass_at) {
    fleet.m_next_filler_pass_at = now + kFillerPassInterval;
    PlaceWaiting(pass, fleet.m_waiting_fillers);
  }
  fleet.m_needs_placement = false;
}

}  // namespace daisyarch::fleet
