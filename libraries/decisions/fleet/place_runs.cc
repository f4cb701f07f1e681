#include <algorithm>
#include <optional>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

namespace {

// Scores are in thousandths of a worker; each of these outweighs every
// difference in fit.
constexpr std::int64_t kFarPenalty = 4000;
constexpr std::int64_t kNeighbourPenalty = 2000;
constexpr std::int64_t kFitScale = 1000;
// What tasks use of the processors that they reserve; fillers beside them got
// all that they asked for up to this share (journal, trials on leftovers).
constexpr std::int64_t kBusyPercent = 50;
// A filler waits for a worker that leaves it at least this share of its
// demand.
constexpr std::int64_t kLeastLeftoverPercent = 60;
// So many workers at once try a pair of images that is not known.
constexpr int kMaximumTrials = 2;
// Below this share of reserved processors every job has to find room.
constexpr std::int64_t kRoomyPercent = 60;
constexpr std::int64_t kPercent = 100;

/// One pass over the queue: demands that fit nowhere are not tried again.
struct Pass {
  Fleet& m_fleet;
  TimePoint m_now;
  bool m_has_silent_inheritance = false;
  bool m_is_roomy = false;  ///< Much of the processors is not reserved.
  std::vector<std::pair<PoolId, const StepPlan*>> m_unplaceable;
  /// The job at hand runs nothing in a roomy fleet; whatever its first task
  /// disturbs, pacing alone has to protect.
  bool m_must_begin = false;
};

bool HasLabel(const Worker& worker, const std::string& label) {
  const auto& labels = worker.m_listing.m_labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool IsUsable(const Worker& worker, const PoolId& pool, TimePoint now) {
  return worker.m_state == WorkerState::kReady && worker.m_is_listed &&
         worker.m_is_in_roster && worker.m_has_clock && worker.m_strays == 0 &&
         !worker.m_listing.m_is_leaving && worker.m_listing.m_pool == pool &&
         worker.m_aside_until <= now;
}

Resources CountedDemand(const StepPlan& step) {
  Resources demand = step.m_demand;
  if (step.m_processor_use == ProcessorUse::kLeftover) {
    demand.m_processors = Millicores(0);
  }
  return demand;
}

std::uint32_t RunsOfStep(const Worker& worker, const TaskReference& task) {
  TaskReference first = task;
  first.m_index = 0;
  std::uint32_t count = 0;
  for (auto place = worker.m_runs.lower_bound(first);
       place != worker.m_runs.end(); ++place) {
    if (place->m_job != task.m_job || place->m_step != task.m_step ||
        place->m_occurrence != task.m_occurrence) {
      break;
    }
    ++count;
  }
  return count;
}

// Reservations are sized for peaks, so part of them is left over as well.
std::int64_t Leftover(const Worker& worker) {
  const std::int64_t busy =
      worker.m_used.m_processors.value() * kBusyPercent / kPercent;
  return (worker.m_listing.m_capacity.m_processors - worker.m_filler_demand)
             .value() -
         busy;
}

std::int64_t FitScore(const Worker& worker, const StepPlan& step) {
  const std::int64_t whole = std::max<std::int64_t>(
      1, worker.m_listing.m_capacity.m_processors.value());
  const std::int64_t left =
      (worker.m_listing.m_capacity.m_processors - worker.m_used.m_processors)
          .value();
  if (step.m_processor_use == ProcessorUse::kLeftover) {
    return -Leftover(worker) * kFitScale / whole;
  }
  return left * kFitScale / whole;
}

// What fillers already there would take of a serving task's headroom.
std::int64_t DisturbanceScore(const Fleet& fleet, const Worker& worker,
                              const StepPlan& step) {
  const Millicores capacity = worker.m_listing.m_capacity.m_processors;
  double added = 0;
  for (const auto& [filler, use] : worker.m_fillers) {
    added += HeadroomTakenBy(fleet.m_interference, step.m_image, filler,
                             use.m_demand, capacity);
  }
  return static_cast<std::int64_t>(added * kNeighbourPenalty);
}

// Serving tasks of one image keep together, so that each filler finds workers
// where it disturbs nobody.
std::int64_t ServingScore(const Fleet& fleet, const Worker& worker,
                          const StepPlan& step) {
  std::int64_t score = DisturbanceScore(fleet, worker, step);
  if (worker.m_serving.empty()) return score + kNeighbourPenalty;
  const bool is_among_own = worker.m_serving.count(step.m_image) > 0;
  const auto others = static_cast<std::int64_t>(worker.m_serving.size()) -
                      (is_among_own ? 1 : 0);
  return score + 2 * others * kNeighbourPenalty;
}

// Workers where few fillers can go are used first by those that can.
std::int64_t FillerScore(const Fleet& fleet, const Worker& worker) {
  const double open =
      1.0 - Exclusiveness(fleet.m_interference, worker.m_serving);
  return static_cast<std::int64_t>(open * kNeighbourPenalty);
}

std::int64_t Score(const Fleet& fleet, const Worker& worker,
                   const StepPlan& step) {
  std::int64_t score = FitScore(worker, step);
  if (!step.m_data_rack.empty() && !HasLabel(worker, step.m_data_rack)) {
    score += kFarPenalty;
  }
  if (step.m_processor_use == ProcessorUse::kLeftover) {
    return score + FillerScore(fleet, worker);
  }
  if (step.m_latency_target > Duration{}) {
    return score + ServingScore(fleet, worker, step);
  }
  return score;
}

// How many workers try whether serving tasks can bear this image of fillers.
int TrialsOf(const Pass& pass, const Worker& worker, const StepPlan& step) {
  int trials = 0;
  for (const auto& entry : pass.m_fleet.m_workers) {
    const Worker& other = entry.second;
    if (other.m_fillers.count(step.m_image) == 0) continue;
    trials += std::any_of(worker.m_serving.begin(), worker.m_serving.end(),
                          [&](const auto& serving) {
                            return other.m_serving.count(serving.first) > 0;
                          });
  }
  return trials;
}

bool MayDisturb(const Pass& pass, const Worker& worker, const StepPlan& step) {
  const Bearing bearing =
      BearingOf(pass.m_fleet.m_interference, worker.m_serving, worker.m_fillers,
                step.m_image, step.m_demand.m_processors,
                worker.m_listing.m_capacity.m_processors);
  if (bearing != Bearing::kUncertain) return bearing == Bearing::kBears;
  return worker.m_fillers.count(step.m_image) == 0 &&
         TrialsOf(pass, worker, step) < kMaximumTrials;
}

bool MayTake(const Pass& pass, const Worker& worker, const StepPlan& step,
             const TaskReference& task) {
  if (!Fits(CountedDemand(step), worker.m_listing.m_capacity - worker.m_used)) {
    return false;
  }
  if (!step.m_required_label.empty() &&
      !HasLabel(worker, step.m_required_label)) {
    return false;
  }
  const bool may_wait =
      step.m_processor_use == ProcessorUse::kLeftover && !pass.m_must_begin;
  if (may_wait &&
      Leftover(worker) * kPercent <
          step.m_demand.m_processors.value() * kLeastLeftoverPercent) {
    return false;
  }
  if (may_wait && !MayDisturb(pass, worker, step)) {
    return false;
  }
  return step.m_maximum_per_worker == 0 ||
         RunsOfStep(worker, task) < step.m_maximum_per_worker;
}

Worker* ChooseWorker(Pass& pass, const PoolId& pool, const StepPlan& step,
                     const TaskReference& task) {
  Worker* best = nullptr;
  std::int64_t best_score = 0;
  for (auto& entry : pass.m_fleet.m_workers) {
    Worker& worker = entry.second;
    if (!IsUsable(worker, pool, pass.m_now)) continue;
    if (!MayTake(pass, worker, step, task)) continue;
    const std::int64_t score = Score(pass.m_fleet, worker, step);
    if (best != nullptr && score >= best_score) continue;
    best = &worker;
    best_score = score;
  }
  return best;
}

/// True when a worker that cannot take `failed` cannot take `step` either.
bool IsHarderToPlace(const StepPlan& step, const StepPlan& failed) {
  if (step.m_processor_use != failed.m_processor_use) return false;
  // Fillers differ in whom they disturb.
  const bool is_filler = step.m_processor_use == ProcessorUse::kLeftover;
  if (is_filler && step.m_image != failed.m_image) return false;
  return Fits(failed.m_demand, step.m_demand);
}

bool IsUnplaceable(const Pass& pass, const PoolId& pool, const StepPlan& step) {
  return std::any_of(pass.m_unplaceable.begin(), pass.m_unplaceable.end(),
                     [&](const auto& failed) {
                       return failed.first == pool &&
                              IsHarderToPlace(step, *failed.second);
                     });
}

void NoteUnplaceable(Pass& pass, const PoolId& pool, const StepPlan& step) {
  auto& failed = pass.m_unplaceable;
  failed.erase(std::remove_if(failed.begin(), failed.end(),
                              [&](const auto& other) {
                                return other.first == pool &&
                                       IsHarderToPlace(*other.second, step);
                              }),
               failed.end());
  failed.emplace_back(pool, &step);
}

void Start(Pass& pass, Job& job, const TaskReference& reference, Worker& worker,
           RunNumber run, const std::string& checkpoint) {
  Task& task =
      job.m_steps[StepRunIndex(job, reference.m_occurrence, reference.m_step)]
          .m_tasks[reference.m_index];
  if (!job.m_has_started) {
    pass.m_fleet.m_events.push_back({"job_started", job.m_plan.m_key,
                                     worker.m_listing.m_worker, run,
                                     pass.m_now - job.m_accepted_at});
  }
  task.m_run = run;
  task.m_checkpoint = checkpoint;
  task.m_worker = worker.m_listing.m_worker;
  task.m_start = StartKnowledge::kPending;
  StepTask(pass.m_fleet, job, reference, RunEvent::kPlaced);
  const WorkerMilliseconds until =
      WorkerClockAt(worker, pass.m_now) +
      WorkerMilliseconds(InMilliseconds(pass.m_fleet.m_limits.m_lease));
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

void PlaceStep(Pass& pass, Job& job, std::size_t place, const PoolId& pool) {
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
void PlaceGang(Pass& pass, Job& job, std::size_t place, const PoolId& pool) {
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

// After a take-over a worker of the roster that has not answered yet may run
// any task that an earlier leader could have started.
bool MayRunUnseen(const Fleet& fleet, TimePoint now) {
  return std::any_of(
      fleet.m_workers.begin(), fleet.m_workers.end(),
      [now](const auto& entry) { return now < entry.second.m_unseen_until; });
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

}  // namespace

void PlaceRuns(Fleet& fleet, TimePoint now) {
  fleet.m_needs_placement = false;
  Pass pass{fleet, now, MayRunUnseen(fleet, now), IsRoomy(fleet), {}};
  const auto waiting = fleet.m_waiting;
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
  fleet.m_needs_placement = false;
}

}  // namespace daisyarch::fleet
