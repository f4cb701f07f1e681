#include "decisions/fleet/isolation.h"

#include <algorithm>
#include <tuple>

#include "decisions/fleet/crash_count.h"
#include "decisions/fleet/occurrences.h"
#include "decisions/fleet/roster.h"

namespace daisyarch::fleet {

namespace {

// A task that cannot start on its worker for this long is given another, if
// there is one. Meanwhile all others wait that need that worker.
constexpr Duration kMaximumHold = std::chrono::milliseconds(2500);
// How long a worker is free for all tasks between two holds.
constexpr Duration kTurnOfOthers = std::chrono::milliseconds(2500);
// Share of the workers that may be held at a time, but one at least.
constexpr std::size_t kHeldWorkersDivisor = 8;

const StepPlan& StepOf(const Job& job, const TaskReference& reference) {
  return job.m_plan.m_steps[reference.m_step];
}

const PoolId& PoolOf(const Fleet& fleet, const Job& job) {
  return QueueSettingsOf(fleet, job).m_pool;
}

bool IsWaiting(const Job& job, const Task& task,
               const TaskReference& reference) {
  const StepRun& step_run = StepRunAt(
      job, StepRunIndex(job, reference.m_occurrence, reference.m_step));
  // A gang starts once all its members wait.
  const bool has_placed_members =
      StepOf(job, reference).m_is_gang && step_run.m_placed > 0;
  return task.m_state == RunState::kWaiting && step_run.m_is_released &&
         !has_placed_members;
}

bool IsFinished(const Job& job, const Task& task) {
  return job.m_is_cancelled || job.m_has_failed || !NeedsIsolation(task) ||
         task.m_state == RunState::kDone || task.m_state == RunState::kFailed ||
         task.m_state == RunState::kCancelled;
}

bool IsSuitable(const Fleet& fleet, const Worker& worker, const Job& job,
                const TaskReference& reference, TimePoint now) {
  const StepPlan& step = StepOf(job, reference);
  return IsUsable(worker, PoolOf(fleet, job), now) &&
         MeetsConstraints(worker, step, reference) &&
         Fits(ReservedDemand(step), worker.m_listing.m_capacity);
}

bool KeepsWorker(const Fleet& fleet, const Worker& worker, const Job& job,
                 const Task& task, const TaskReference& reference,
                 const Isolation& isolation, TimePoint now) {
  if (task.m_worker == worker.m_listing.m_worker) {
    return IsActive(task) && !IsProven(worker, task);
  }
  return IsWaiting(job, task, reference) &&
         now - isolation.m_since < kMaximumHold &&
         IsSuitable(fleet, worker, job, reference, now);
}

// Drops the isolations of finished tasks, and the workers that the others no
// longer need.
void DropIsolations(Fleet& fleet, TimePoint now) {
  for (auto position = fleet.m_isolations.begin();
       position != fleet.m_isolations.end();) {
    auto& [reference, isolation] = *position;
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    if (task == nullptr || IsFinished(*job, *task)) {
      position = fleet.m_isolations.erase(position);
      continue;
    }
    const Worker* worker = FindWorker(fleet, isolation.m_worker);
    if (worker == nullptr ||
        !KeepsWorker(fleet, *worker, *job, *task, reference, isolation, now)) {
      isolation.m_worker = WorkerId();
    }
    ++position;
  }
}

void ReleaseWorkers(Fleet& fleet, TimePoint now) {
  std::set<WorkerId> held;
  for (const auto& entry : fleet.m_isolations) {
    held.insert(entry.second.m_worker);
  }
  for (auto& [id, worker] : fleet.m_workers) {
    if (worker.m_isolated_for == JobKey() || held.count(id) > 0) continue;
    worker.m_isolated_for = JobKey();
    worker.m_not_held_until = now + kTurnOfOthers;
    fleet.m_needs_placement = true;
  }
}

std::set<JobKey> FindHoldingJobs(const Fleet& fleet) {
  std::set<JobKey> holding;
  for (const auto& [reference, isolation] : fleet.m_isolations) {
    if (isolation.m_worker != WorkerId()) holding.insert(reference.m_job);
  }
  return holding;
}

// Returns what the isolated tasks that share the worker will reserve.
Resources PlannedDemand(Fleet& fleet, const WorkerId& worker) {
  Resources planned;
  for (const auto& [reference, isolation] : fleet.m_isolations) {
    if (isolation.m_worker != worker) continue;
    Job* job = nullptr;
    if (FindTask(fleet, reference, job) == nullptr) continue;
    planned = planned + ReservedDemand(StepOf(*job, reference));
  }
  return planned;
}

// Returns a worker that is held for the job and has room for the task as well.
Worker* FindSharedWorker(Fleet& fleet, const Job& job,
                         const TaskReference& reference, TimePoint now) {
  const Resources demand = ReservedDemand(StepOf(job, reference));
  for (auto& [id, worker] : fleet.m_workers) {
    if (worker.m_isolated_for != job.m_plan.m_key) continue;
    if (!IsSuitable(fleet, worker, job, reference, now)) continue;
    const Resources planned = PlannedDemand(fleet, id) + demand;
    if (Fits(planned, worker.m_listing.m_capacity)) return &worker;
  }
  return nullptr;
}

// Returns since when waiting tasks have held the worker; now if none do. Tasks
// that share a worker hold it for the same time, since each of them would
// otherwise keep it for the others without end.
TimePoint HeldSince(Fleet& fleet, const WorkerId& worker, TimePoint now) {
  TimePoint since = now;
  for (const auto& [reference, isolation] : fleet.m_isolations) {
    if (isolation.m_worker != worker) continue;
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    if (task == nullptr || !IsWaiting(*job, *task, reference)) continue;
    since = std::min(since, isolation.m_since);
  }
  return since;
}

// Returns whether the task fits beside the tasks that do not end by themselves.
bool CanGetRoom(Fleet& fleet, const Worker& worker, const Resources& demand) {
  Resources lasting;
  for (const TaskReference& reference : worker.m_runs) {
    Job* job = nullptr;
    if (FindTask(fleet, reference, job) == nullptr) continue;
    const StepPlan& step = StepOf(*job, reference);
    if (step.m_kind != StepKind::kService) continue;
    lasting = lasting + ReservedDemand(step);
  }
  return Fits(demand, worker.m_listing.m_capacity - lasting);
}

// Prefers a worker where the task can start at once, then one with room, and
// among these the one with the fewest runs, which a crash would end.
Worker* ChooseHeldWorker(Fleet& fleet, const Job& job,
                         const TaskReference& reference, TimePoint now) {
  const Resources demand = ReservedDemand(StepOf(job, reference));
  Worker* best = nullptr;
  std::tuple<bool, bool, std::size_t> best_score;
  for (auto& [id, worker] : fleet.m_workers) {
    if (worker.m_isolated_for != JobKey()) continue;
    if (now < worker.m_not_held_until) continue;
    if (!IsSuitable(fleet, worker, job, reference, now)) continue;
    const bool has_room =
        Fits(demand, worker.m_listing.m_capacity - worker.m_used);
    if (!has_room && !CanGetRoom(fleet, worker, demand)) continue;
    const bool has_unproven = !FindUnprovenRuns(fleet, worker).empty();
    const auto score =
        std::make_tuple(!has_room, has_unproven, worker.m_runs.size());
    if (best != nullptr && best_score <= score) continue;
    best = &worker;
    best_score = score;
  }
  return best;
}

// Returns the isolated tasks without a worker; the one that has held none for
// the longest time comes first.
std::vector<TaskReference> FindUnheldTasks(const Fleet& fleet) {
  std::vector<std::pair<TimePoint, TaskReference>> unheld;
  for (const auto& [reference, isolation] : fleet.m_isolations) {
    if (isolation.m_worker != WorkerId()) continue;
    unheld.emplace_back(isolation.m_since, reference);
  }
  std::sort(unheld.begin(), unheld.end());
  std::vector<TaskReference> tasks;
  tasks.reserve(unheld.size());
  for (const auto& entry : unheld) tasks.push_back(entry.second);
  return tasks;
}

void HoldWorkers(Fleet& fleet, TimePoint now) {
  std::set<JobKey> holding = FindHoldingJobs(fleet);
  const std::size_t maximum =
      std::max<std::size_t>(1, fleet.m_workers.size() / kHeldWorkersDivisor);
  for (const TaskReference& reference : FindUnheldTasks(fleet)) {
    Isolation& isolation = fleet.m_isolations.at(reference);
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    if (task == nullptr || !IsWaiting(*job, *task, reference)) continue;
    if (job->m_is_inherited && MayHaveInheritedRuns(fleet, now)) continue;
    const bool is_holding = holding.count(reference.m_job) > 0;
    if (!is_holding && holding.size() >= maximum) continue;
    Worker* worker = FindSharedWorker(fleet, *job, reference, now);
    // The members of a gang start at the same time, so they need all workers.
    if (worker == nullptr &&
        (!is_holding || StepOf(*job, reference).m_is_gang)) {
      worker = ChooseHeldWorker(fleet, *job, reference, now);
    }
    if (worker == nullptr) continue;
    holding.insert(reference.m_job);
    worker->m_isolated_for = reference.m_job;
    const WorkerId& id = worker->m_listing.m_worker;
    isolation = {id, HeldSince(fleet, id, now)};
    fleet.m_events.push_back({"task_isolated", reference.m_job,
                              isolation.m_worker, task->m_run, Duration{},
                              reference});
  }
}

}  // namespace

void AddIsolation(Fleet& fleet, const TaskReference& reference) {
  Job* job = nullptr;
  const Task* task = FindTask(fleet, reference, job);
  if (task == nullptr || IsFinished(*job, *task)) return;
  fleet.m_isolations.emplace(reference, Isolation{});
}

void AddIsolations(Fleet& fleet, const Job& job) {
  VisitStepRuns(job, [&](std::size_t index, const StepRun& step_run) {
    step_run.m_tasks.VisitAllocated([&](std::size_t task, const Task& found) {
      if (NeedsIsolation(found))
        AddIsolation(fleet, ReferenceOf(job, index, task));
    });
  });
}

void UpdateIsolations(Fleet& fleet, TimePoint now) {
  // Workers are held only for entries of the map.
  if (fleet.m_isolations.empty()) return;
  DropIsolations(fleet, now);
  ReleaseWorkers(fleet, now);
  HoldWorkers(fleet, now);
}

Worker* FindIsolatedWorker(PlacementPass& pass, const StepPlan& step,
                           const TaskReference& reference) {
  const auto found = pass.m_fleet.m_isolations.find(reference);
  if (found == pass.m_fleet.m_isolations.end()) return nullptr;
  Worker* worker = FindWorker(pass.m_fleet, found->second.m_worker);
  if (worker == nullptr) return nullptr;
  const auto unproven = FindUnprovenRuns(pass.m_fleet, *worker);
  const bool is_shared = std::any_of(
      unproven.begin(), unproven.end(),
      [&reference](auto& other) { return other.m_job != reference.m_job; });
  const bool can_start =
      !is_shared && MeetsConstraints(*worker, step, reference) &&
      Fits(ReservedDemand(step), worker->m_listing.m_capacity - worker->m_used);
  return can_start ? worker : nullptr;
}

}  // namespace daisyarch::fleet
