#include "decisions/fleet/choose_worker.h"

#include <algorithm>

namespace daisyarch::fleet {

namespace {

// Scores are in thousandths of a worker's processors, and the lowest wins. Each
// penalty outweighs every difference in fit.
constexpr std::int64_t kRemoteDataPenalty = 4000;
constexpr std::int64_t kInterferencePenalty = 2000;
constexpr std::int64_t kFitScale = 1000;
// Share of the reserved processors that is assumed busy. Under this assumption,
// best-effort tasks still get their whole demand.
constexpr std::int64_t kBusyPercentOfReserved = 50;
constexpr std::int64_t kPercent = 100;
// A best-effort task waits for a worker whose idle processors cover at least
// this share of its demand.
constexpr std::int64_t kMinimumIdlePercentOfDemand = 60;
// Maximum number of workers that try an unknown pair of images at a time.
constexpr int kMaximumTrialsPerPair = 2;

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

std::uint32_t RunsOfStep(const Worker& worker, const TaskReference& task) {
  TaskReference first = task;
  first.m_index = 0;
  std::uint32_t count = 0;
  for (auto position = worker.m_runs.lower_bound(first);
       position != worker.m_runs.end(); ++position) {
    if (position->m_job != task.m_job || position->m_step != task.m_step ||
        position->m_occurrence != task.m_occurrence) {
      break;
    }
    ++count;
  }
  return count;
}

// Reservations are sized for peaks, so part of them is idle as well.
std::int64_t IdleProcessors(const Worker& worker) {
  const std::int64_t busy =
      worker.m_used.m_processors.value() * kBusyPercentOfReserved / kPercent;
  return (worker.m_listing.m_capacity.m_processors -
          worker.m_best_effort_demand)
             .value() -
         busy;
}

std::int64_t FitScore(const Worker& worker, const StepPlan& step) {
  const std::int64_t whole = std::max<std::int64_t>(
      1, worker.m_listing.m_capacity.m_processors.value());
  const std::int64_t left =
      (worker.m_listing.m_capacity.m_processors - worker.m_used.m_processors)
          .value();
  if (step.m_processor_use == ProcessorUse::kBestEffort) {
    return -IdleProcessors(worker) * kFitScale / whole;
  }
  return left * kFitScale / whole;
}

// Headroom that a serving task would lose to the worker's best-effort tasks.
std::int64_t InterferenceScore(const Fleet& fleet, const Worker& worker,
                               const StepPlan& step) {
  const Millicores capacity = worker.m_listing.m_capacity.m_processors;
  double added = 0;
  for (const auto& [best_effort_image, use] : worker.m_best_effort_images) {
    added += HeadroomLoss(fleet.m_interference, step.m_image, best_effort_image,
                          use.m_demand, capacity);
  }
  return static_cast<std::int64_t>(added * kInterferencePenalty);
}

// Packs serving tasks of one image together, so that each best-effort image
// finds workers where it harms no serving task.
std::int64_t ServingScore(const Fleet& fleet, const Worker& worker,
                          const StepPlan& step) {
  std::int64_t score = InterferenceScore(fleet, worker, step);
  if (worker.m_serving.empty()) return score + kInterferencePenalty;
  const bool is_among_own = worker.m_serving.count(step.m_image) > 0;
  const auto others = static_cast<std::int64_t>(worker.m_serving.size()) -
                      (is_among_own ? 1 : 0);
  return score + 2 * others * kInterferencePenalty;
}

// Prefers workers that few best-effort images can share, so that the other
// workers stay free for images that fit nowhere else.
std::int64_t BestEffortScore(const Fleet& fleet, const Worker& worker) {
  const double open =
      1.0 - IncompatibleShare(fleet.m_interference, worker.m_serving);
  return static_cast<std::int64_t>(open * kInterferencePenalty);
}

std::int64_t Score(const Fleet& fleet, const Worker& worker,
                   const StepPlan& step) {
  std::int64_t score = FitScore(worker, step);
  if (!step.m_data_rack.empty() && !HasLabel(worker, step.m_data_rack)) {
    score += kRemoteDataPenalty;
  }
  if (step.m_processor_use == ProcessorUse::kBestEffort) {
    return score + BestEffortScore(fleet, worker);
  }
  if (step.m_latency_target > Duration{}) {
    return score + ServingScore(fleet, worker, step);
  }
  return score;
}

void CountTrials(PlacementPass& pass) {
  pass.m_has_trials = true;
  for (const auto& entry : pass.m_fleet.m_workers) {
    const Worker& worker = entry.second;
    for (const auto& best_effort_image : worker.m_best_effort_images) {
      for (const auto& serving : worker.m_serving) {
        ++pass.m_trials[{serving.first, best_effort_image.first}];
      }
    }
  }
}

bool MayTryPair(PlacementPass& pass, const Worker& worker,
                const StepPlan& step) {
  if (worker.m_best_effort_images.count(step.m_image) > 0) return false;
  if (!pass.m_has_trials) CountTrials(pass);
  return std::none_of(
      worker.m_serving.begin(), worker.m_serving.end(),
      [&](const auto& serving) {
        const auto found = pass.m_trials.find({serving.first, step.m_image});
        return found != pass.m_trials.end() &&
               found->second >= kMaximumTrialsPerPair;
      });
}

const std::vector<ServingHeadroom>& HeadroomsOf(const Fleet& fleet,
                                                Worker& worker) {
  if (worker.m_headrooms.empty()) {
    worker.m_headrooms = ExpectedHeadrooms(
        fleet.m_interference, worker.m_serving, worker.m_best_effort_images,
        worker.m_listing.m_capacity.m_processors);
  }
  return worker.m_headrooms;
}

bool MayShareWorker(PlacementPass& pass, Worker& worker, const StepPlan& step) {
  if (worker.m_serving.empty()) return true;
  bool is_certain = true;
  for (const ServingHeadroom& serving : HeadroomsOf(pass.m_fleet, worker)) {
    const Compatibility compatibility = CompatibilityOf(
        pass.m_fleet.m_interference, serving, step.m_image,
        step.m_demand.m_processors, worker.m_listing.m_capacity.m_processors);
    if (compatibility == Compatibility::kIncompatible) return false;
    is_certain = is_certain && compatibility == Compatibility::kCompatible;
  }
  return is_certain || MayTryPair(pass, worker, step);
}

bool CanPlace(PlacementPass& pass, Worker& worker, const StepPlan& step,
              const TaskReference& task) {
  if (!Fits(ReservedDemand(step),
            worker.m_listing.m_capacity - worker.m_used)) {
    return false;
  }
  if (!step.m_required_label.empty() &&
      !HasLabel(worker, step.m_required_label)) {
    return false;
  }
  const bool may_wait = step.m_processor_use == ProcessorUse::kBestEffort &&
                        !pass.m_must_start_job;
  if (may_wait &&
      IdleProcessors(worker) * kPercent <
          step.m_demand.m_processors.value() * kMinimumIdlePercentOfDemand) {
    return false;
  }
  if (may_wait && !MayShareWorker(pass, worker, step)) {
    return false;
  }
  return step.m_maximum_per_worker == 0 ||
         RunsOfStep(worker, task) < step.m_maximum_per_worker;
}

// Returns whether a worker that cannot take `failed` cannot take `step` either.
bool IsHarderToPlace(const StepPlan& step, const StepPlan& failed) {
  if (step.m_processor_use != failed.m_processor_use) return false;
  // Best-effort images differ in the serving images that they harm.
  const bool is_best_effort = step.m_processor_use == ProcessorUse::kBestEffort;
  if (is_best_effort && step.m_image != failed.m_image) return false;
  return Fits(failed.m_demand, step.m_demand);
}

}  // namespace

Resources ReservedDemand(const StepPlan& step) {
  Resources demand = step.m_demand;
  if (step.m_processor_use == ProcessorUse::kBestEffort) {
    demand.m_processors = Millicores(0);
  }
  return demand;
}

Worker* ChooseWorker(PlacementPass& pass, const PoolId& pool,
                     const StepPlan& step, const TaskReference& task) {
  Worker* best = nullptr;
  std::int64_t best_score = 0;
  for (auto& entry : pass.m_fleet.m_workers) {
    Worker& worker = entry.second;
    if (!IsUsable(worker, pool, pass.m_now)) continue;
    if (!CanPlace(pass, worker, step, task)) continue;
    const std::int64_t score = Score(pass.m_fleet, worker, step);
    if (best != nullptr && score >= best_score) continue;
    best = &worker;
    best_score = score;
  }
  return best;
}

void RecordTrial(PlacementPass& pass, const Worker& worker,
                 const StepPlan& step) {
  if (!pass.m_has_trials || step.m_processor_use != ProcessorUse::kBestEffort) {
    return;
  }
  for (const auto& serving : worker.m_serving) {
    ++pass.m_trials[{serving.first, step.m_image}];
  }
}

bool IsUnplaceable(const PlacementPass& pass, const PoolId& pool,
                   const StepPlan& step) {
  return std::any_of(pass.m_unplaceable.begin(), pass.m_unplaceable.end(),
                     [&](const auto& failed) {
                       return failed.first == pool &&
                              IsHarderToPlace(step, *failed.second);
                     });
}

void RecordUnplaceable(PlacementPass& pass, const PoolId& pool,
                       const StepPlan& step) {
  auto& failed = pass.m_unplaceable;
  failed.erase(std::remove_if(failed.begin(), failed.end(),
                              [&](const auto& other) {
                                return other.first == pool &&
                                       IsHarderToPlace(*other.second, step);
                              }),
               failed.end());
  failed.emplace_back(pool, &step);
}

}  // namespace daisyarch::fleet
