#include "decisions/fleet/plain_placement.h"

#include <algorithm>

#include "decisions/fleet/occurrences.h"

namespace daisyarch::fleet {

namespace {

// The values that placement uses.
constexpr std::size_t kBestEffortPercentOfStarts = 25;
constexpr std::int64_t kRemoteDataPenalty = 4000;
constexpr std::int64_t kInterferencePenalty = 2000;
constexpr std::int64_t kFitScale = 1000;
constexpr std::int64_t kBusyPercentOfReserved = 50;
constexpr std::int64_t kMinimumIdlePercentOfDemand = 60;
constexpr std::int64_t kAmpleCapacityPercent = 60;
constexpr std::int64_t kPercent = 100;
constexpr int kMaximumTrialsPerPair = 2;

struct PlainPass {
  Fleet& m_fleet;
  TimePoint m_now;
  bool m_has_ample_capacity = false;
  bool m_must_start_job = false;
  std::size_t m_starts_left = 0;
  std::vector<std::pair<PoolId, StepPlan>> m_unplaceable;
  std::map<std::pair<ImageId, ImageId>, int> m_trials;
  bool m_has_trials = false;
};

bool IsBestEffort(const StepPlan& step) {
  return step.m_processor_use == ProcessorUse::kBestEffort;
}

bool HasLabel(const Worker& worker, const std::string& label) {
  const auto& labels = worker.m_listing.m_labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool IsUsable(const Worker& worker, const PoolId& pool, TimePoint now) {
  return worker.m_state == WorkerState::kReady && worker.m_is_listed &&
         worker.m_is_in_roster && worker.m_has_clock &&
         worker.m_unknown_runs == 0 && !worker.m_listing.m_is_leaving &&
         worker.m_listing.m_pool == pool && worker.m_quarantined_until <= now;
}

std::int64_t IdleProcessors(const Worker& worker) {
  const std::int64_t capacity =
      worker.m_listing.m_capacity.m_processors.value();
  return capacity - worker.m_best_effort_demand.value() -
         worker.m_used.m_processors.value() * kBusyPercentOfReserved / kPercent;
}

std::int64_t ServingScore(const Fleet& fleet, const Worker& worker,
                          const StepPlan& step) {
  double added = 0;
  for (const auto& [image, use] : worker.m_best_effort_images) {
    added +=
        HeadroomLoss(fleet.m_interference, step.m_image, image, use.m_demand,
                     worker.m_listing.m_capacity.m_processors);
  }
  const auto score = static_cast<std::int64_t>(added * kInterferencePenalty);
  if (worker.m_serving.empty()) return score + kInterferencePenalty;
  std::int64_t others = 0;
  for (const auto& [image, serving] : worker.m_serving) {
    if (image != step.m_image) ++others;
  }
  return score + 2 * others * kInterferencePenalty;
}

std::int64_t Score(const Fleet& fleet, const Worker& worker,
                   const StepPlan& step) {
  const std::int64_t whole = std::max<std::int64_t>(
      1, worker.m_listing.m_capacity.m_processors.value());
  const std::int64_t left =
      (worker.m_listing.m_capacity.m_processors - worker.m_used.m_processors)
          .value();
  std::int64_t score = 0;
  const bool is_remote =
      !step.m_data_rack.empty() && !HasLabel(worker, step.m_data_rack);
  if (is_remote) score += kRemoteDataPenalty;
  if (IsBestEffort(step)) {
    const double open =
        1.0 - IncompatibleShare(fleet.m_interference, worker.m_serving);
    score += static_cast<std::int64_t>(open * kInterferencePenalty);
    return score - IdleProcessors(worker) * kFitScale / whole;
  }
  score += left * kFitScale / whole;
  if (step.m_latency_target > Duration{}) {
    score += ServingScore(fleet, worker, step);
  }
  return score;
}

void CountTrials(PlainPass& pass) {
  if (pass.m_has_trials) return;
  pass.m_has_trials = true;
  for (const auto& [id, worker] : pass.m_fleet.m_workers) {
    for (const auto& [best_effort_image, use] : worker.m_best_effort_images) {
      for (const auto& [image, serving] : worker.m_serving) {
        ++pass.m_trials[{image, best_effort_image}];
      }
    }
  }
}

bool MayTry(PlainPass& pass, const Worker& worker, const StepPlan& step) {
  if (worker.m_best_effort_images.count(step.m_image) > 0) return false;
  CountTrials(pass);
  for (const auto& [image, serving] : worker.m_serving) {
    if (pass.m_trials[{image, step.m_image}] >= kMaximumTrialsPerPair) {
      return false;
    }
  }
  return true;
}

bool MayShareWorker(PlainPass& pass, Worker& worker, const StepPlan& step) {
  if (worker.m_serving.empty()) return true;
  const Millicores capacity = worker.m_listing.m_capacity.m_processors;
  // The expected headrooms are kept until the worker changes or reports.
  if (worker.m_headrooms.empty()) {
    worker.m_headrooms =
        ExpectedHeadrooms(pass.m_fleet.m_interference, worker.m_serving,
                          worker.m_best_effort_images, capacity);
  }
  bool is_certain = true;
  for (const ServingHeadroom& serving : worker.m_headrooms) {
    const Compatibility compatibility =
        CompatibilityOf(pass.m_fleet.m_interference, serving, step.m_image,
                        step.m_demand.m_processors, capacity);
    if (compatibility == Compatibility::kIncompatible) return false;
    if (compatibility == Compatibility::kUncertain) is_certain = false;
  }
  return is_certain || MayTry(pass, worker, step);
}

std::uint32_t RunsOfStep(const Worker& worker, const TaskReference& task) {
  return static_cast<std::uint32_t>(std::count_if(
      worker.m_runs.begin(), worker.m_runs.end(),
      [&task](const TaskReference& run) {
        return run.m_job == task.m_job && run.m_step == task.m_step &&
               run.m_occurrence == task.m_occurrence;
      }));
}

bool CanPlace(PlainPass& pass, Worker& worker, const StepPlan& step,
              const TaskReference& task) {
  Resources demand = step.m_demand;
  if (IsBestEffort(step)) demand.m_processors = Millicores(0);
  if (!Fits(demand, worker.m_listing.m_capacity - worker.m_used)) return false;
  if (!step.m_required_label.empty() &&
      !HasLabel(worker, step.m_required_label)) {
    return false;
  }
  if (IsBestEffort(step) && !pass.m_must_start_job) {
    const std::int64_t wanted =
        step.m_demand.m_processors.value() * kMinimumIdlePercentOfDemand;
    if (IdleProcessors(worker) * kPercent < wanted) return false;
    if (!MayShareWorker(pass, worker, step)) return false;
  }
  return step.m_maximum_per_worker == 0 ||
         RunsOfStep(worker, task) < step.m_maximum_per_worker;
}

Worker* Choose(PlainPass& pass, const PoolId& pool, const StepPlan& step,
               const TaskReference& task) {
  Worker* best = nullptr;
  for (auto& [id, worker] : pass.m_fleet.m_workers) {
    if (!IsUsable(worker, pool, pass.m_now)) continue;
    if (!CanPlace(pass, worker, step, task)) continue;
    const bool is_better =
        best == nullptr ||
        Score(pass.m_fleet, worker, step) < Score(pass.m_fleet, *best, step);
    if (is_better) best = &worker;
  }
  return best;
}

void Start(PlainPass& pass, Job& job, const TaskReference& reference,
           const Worker& worker, const StepPlan& step) {
  --pass.m_starts_left;
  if (pass.m_has_trials && IsBestEffort(step)) {
    for (const auto& [image, serving] : worker.m_serving) {
      ++pass.m_trials[{image, step.m_image}];
    }
  }
  StepRunAt(job, StepRunIndex(job, reference.m_occurrence, reference.m_step))
      .m_tasks[reference.m_index]
      .m_worker = worker.m_listing.m_worker;
  StepTask(pass.m_fleet, job, reference, RunEvent::kPlaced);
}

bool IsUnplaceable(const PlainPass& pass, const PoolId& pool,
                   const StepPlan& step) {
  for (const auto& [failed_pool, failed] : pass.m_unplaceable) {
    if (failed_pool != pool) continue;
    if (failed.m_processor_use != step.m_processor_use) continue;
    if (IsBestEffort(step) && failed.m_image != step.m_image) continue;
    if (Fits(failed.m_demand, step.m_demand)) return true;
  }
  return false;
}

void PlaceStep(PlainPass& pass, Job& job, std::size_t step_run_index,
               const PoolId& pool) {
  const StepPlan& step = job.m_plan.m_steps[step_run_index % job.StepCount()];
  TaskReference reference{job.m_plan.m_key};
  reference.m_occurrence =
      static_cast<std::uint32_t>(step_run_index / job.StepCount());
  reference.m_step =
      static_cast<std::uint32_t>(step_run_index % job.StepCount());
  const TaskTable& tasks = StepRunAt(job, step_run_index).m_tasks;
  for (; reference.m_index < tasks.size(); ++reference.m_index) {
    if (tasks[reference.m_index].m_state != RunState::kWaiting) continue;
    if (pass.m_starts_left == 0) return;
    pass.m_must_start_job = pass.m_has_ample_capacity && job.m_placed == 0;
    const Worker* worker = Choose(pass, pool, step, reference);
    if (worker != nullptr) {
      Start(pass, job, reference, *worker, step);
      continue;
    }
    const bool is_plain =
        step.m_required_label.empty() && step.m_maximum_per_worker == 0;
    if (!pass.m_must_start_job && is_plain) {
      pass.m_unplaceable.emplace_back(pool, step);
    }
    return;
  }
}

void PlaceWaiting(PlainPass& pass, const WaitingSteps& queue) {
  for (const auto& [rank, key, step_run_index] : InRankOrder(queue)) {
    if (pass.m_starts_left == 0) return;
    Job& job = *FindJob(pass.m_fleet, key);
    const PoolId pool = QueueSettingsOf(pass.m_fleet, job).m_pool;
    const StepPlan& step = job.m_plan.m_steps[step_run_index % job.StepCount()];
    const bool must_start = pass.m_has_ample_capacity && job.m_placed == 0;
    if (!must_start && IsUnplaceable(pass, pool, step)) continue;
    PlaceStep(pass, job, step_run_index, pool);
    UpdateWaitingSteps(pass.m_fleet, job, step_run_index);
  }
}

bool HasAmpleReserve(const Fleet& fleet) {
  std::int64_t capacity = 0;
  std::int64_t reserved = 0;
  for (const auto& [id, worker] : fleet.m_workers) {
    if (!worker.m_is_listed) continue;
    capacity += worker.m_listing.m_capacity.m_processors.value();
    reserved += worker.m_used.m_processors.value();
  }
  return reserved * kPercent < capacity * kAmpleCapacityPercent;
}

}  // namespace

std::vector<WaitingStep> InRankOrder(const WaitingSteps& steps) {
  std::vector<WaitingStep> ordered;
  for (const auto& [group, members] : steps.m_groups) {
    for (const auto& [job, queued] : members) {
      for (const std::size_t step_run : *queued) {
        ordered.emplace_back(job.first, job.second, step_run);
      }
    }
  }
  std::sort(ordered.begin(), ordered.end());
  return ordered;
}

void PlaceRunsPlainly(Fleet& fleet, TimePoint now) {
  PlainPass pass{fleet, now, HasAmpleReserve(fleet)};
  const std::size_t best_effort_starts =
      fleet.m_limits.m_starts_per_pass * kBestEffortPercentOfStarts / 100;
  pass.m_starts_left = fleet.m_limits.m_starts_per_pass - best_effort_starts;
  PlaceWaiting(pass, fleet.m_waiting_reserved);
  pass.m_starts_left += best_effort_starts;
  PlaceWaiting(pass, fleet.m_waiting_best_effort);
}

}  // namespace daisyarch::fleet
