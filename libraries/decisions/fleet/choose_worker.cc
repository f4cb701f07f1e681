#include "decisions/fleet/choose_worker.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "decisions/fleet/share_worker.h"
#include "decisions/fleet/slow_worker.h"

namespace daisyarch::fleet {

namespace {

// Scores are in thousandths of a worker's processors, and the lowest wins. Each
// penalty outweighs every difference in fit.
constexpr std::int64_t kRemoteDataPenalty = 4000;
constexpr std::int64_t kInterferencePenalty = 2000;
constexpr std::int64_t kFitScale = 1000;
constexpr std::int64_t kPercent = 100;
// A best-effort task waits for a worker whose idle processors cover at least
// this share of its demand.
constexpr std::int64_t kMinimumIdlePercentOfDemand = 60;

bool HasLabel(const Worker& worker, const std::string& label) {
  const auto& labels = worker.m_listing.m_labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
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

Room RoomOf(const Worker& worker) {
  const Resources& capacity = worker.m_listing.m_capacity;
  return {{capacity.m_processors - worker.m_used.m_processors,
           capacity.m_memory - worker.m_used.m_memory,
           capacity.m_accelerators - worker.m_used.m_accelerators},
          Millicores(AssumedIdleProcessors(worker))};
}

bool Covers(const Room& room, const Room& needed) {
  return needed.m_free.m_processors <= room.m_free.m_processors &&
         needed.m_free.m_memory <= room.m_free.m_memory &&
         needed.m_free.m_accelerators <= room.m_free.m_accelerators &&
         needed.m_idle <= room.m_idle;
}

std::int64_t FitScoreOf(const Worker& worker, const StepPlan& step) {
  if (step.m_processor_use != ProcessorUse::kBestEffort) {
    return FitScore(worker);
  }
  const std::int64_t whole = std::max<std::int64_t>(
      1, worker.m_listing.m_capacity.m_processors.value());
  return -AssumedIdleProcessors(worker) * kFitScale / whole;
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
std::int64_t BestEffortScore(PlacementPass& pass, const Worker& worker) {
  const ServingImages& serving = worker.m_serving;
  if (serving.empty()) return kInterferencePenalty;
  SharedWorker& shared = pass.m_shared_workers[&worker];
  if (shared.m_serving_images != serving.size()) {
    shared.m_serving_images = serving.size();
    shared.m_incompatible_share =
        IncompatibleShare(pass.m_fleet.m_interference, serving);
  }
  const double open = 1.0 - shared.m_incompatible_share;
  return static_cast<std::int64_t>(open * kInterferencePenalty);
}

std::int64_t Score(PlacementPass& pass, const Worker& worker,
                   const StepPlan& step) {
  std::int64_t score = FitScoreOf(worker, step);
  if (!step.m_data_rack.empty() && !HasLabel(worker, step.m_data_rack)) {
    score += kRemoteDataPenalty;
  }
  if (step.m_processor_use == ProcessorUse::kBestEffort) {
    return score + BestEffortScore(pass, worker);
  }
  if (step.m_latency_target > Duration{}) {
    return score + ServingScore(pass.m_fleet, worker, step);
  }
  return score;
}

bool CanPlace(PlacementPass& pass, const StepChoice& choice, Worker& worker,
              const TaskReference& task) {
  const StepPlan& step = choice.m_step;
  if (!Covers(RoomOf(worker), choice.m_need)) return false;
  if (!MeetsConstraints(worker, step, task)) return false;
  const bool may_wait = step.m_processor_use == ProcessorUse::kBestEffort &&
                        !pass.m_must_start_job;
  return !may_wait || MayShareWorker(pass, choice, worker);
}

// Best-effort images differ in the serving images that they harm.
const ImageId& BestEffortImageOf(const StepPlan& step) {
  static const ImageId none;
  return step.m_processor_use == ProcessorUse::kBestEffort ? step.m_image
                                                           : none;
}

// Returns whether a worker that cannot take `failed` cannot take `step` either;
// both have the same best-effort image or none.
bool IsHarderToPlace(const StepPlan& step, const StepPlan& failed) {
  return step.m_processor_use == failed.m_processor_use &&
         Fits(failed.m_demand, step.m_demand);
}

// The order of the heap: its top is the best candidate.
bool IsWorse(const Candidate& left, const Candidate& right) {
  return std::tie(left.m_score, left.m_worker->m_listing.m_worker) >
         std::tie(right.m_score, right.m_worker->m_listing.m_worker);
}

bool IsAvailable(const PlacementPass& pass, const Worker& worker) {
  return worker.m_quarantined_until <= pass.m_now &&
         worker.m_isolated_for == JobKey();
}

void AddCandidate(PlacementPass& pass, StepChoice& choice, Worker& worker,
                  const TaskReference& task) {
  if (!CanPlace(pass, choice, worker, task)) return;
  const std::int64_t score = Score(pass, worker, choice.m_step);
  choice.m_candidates.push_back({score, &worker});
}

// Adds the workers from `first` on as far as they have room.
void AddCandidates(PlacementPass& pass, StepChoice& choice,
                   const WorkersByFigure& workers,
                   WorkersByFigure::const_iterator first,
                   const TaskReference& task) {
  for (auto next = first; next != workers.end(); ++next) {
    Worker& worker = *next->second;
    ++pass.m_fleet.m_work.m_workers;
    if (!IsAvailable(pass, worker)) continue;
    if (!Covers(RoomOf(worker), choice.m_need)) continue;
    choice.m_has_room = true;
    AddCandidate(pass, choice, worker, task);
  }
}

void FindCandidates(PlacementPass& pass, StepChoice& choice,
                    const TaskReference& task) {
  choice.m_candidates.clear();
  choice.m_has_room = false;
  if (choice.m_pool.m_index == nullptr) return;
  const IndexedPool& pool = *choice.m_pool.m_index;
  const bool may_wait =
      choice.m_step.m_processor_use == ProcessorUse::kBestEffort &&
      !pass.m_must_start_job;
  if (may_wait) {
    const auto first =
        pool.m_by_idle.lower_bound({choice.m_need.m_idle.value(), nullptr});
    AddCandidates(pass, choice, pool.m_by_idle, first, task);
  } else {
    const auto first = pool.m_by_free.lower_bound(
        {choice.m_need.m_free.m_processors.value(), nullptr});
    AddCandidates(pass, choice, pool.m_by_free, first, task);
  }
  std::make_heap(choice.m_candidates.begin(), choice.m_candidates.end(),
                 IsWorse);
  IndexComputedWorkers(pass);
}

Worker& TakeBestCandidate(StepChoice& choice) {
  auto& candidates = choice.m_candidates;
  std::pop_heap(candidates.begin(), candidates.end(), IsWorse);
  Worker& worker = *candidates.back().m_worker;
  candidates.pop_back();
  return worker;
}

// The worker that took the previous task is the best candidate still.
void UpdateBestCandidate(PlacementPass& pass, StepChoice& choice,
                         const TaskReference& task) {
  const std::size_t count = choice.m_candidates.size();
  AddCandidate(pass, choice, TakeBestCandidate(choice), task);
  if (choice.m_candidates.size() < count) return;
  std::push_heap(choice.m_candidates.begin(), choice.m_candidates.end(),
                 IsWorse);
}

// Only the fit and the place of its data decide on a task that neither serves
// nor is best-effort, so the first worker in the order of fit is the best.
bool IsChosenByFit(const StepPlan& step) {
  return step.m_processor_use != ProcessorUse::kBestEffort &&
         step.m_latency_target <= Duration{};
}

Worker* FindBestFit(const PlacementPass& pass, StepChoice& choice,
                    const TaskReference& task) {
  choice.m_has_room = false;
  if (choice.m_pool.m_index == nullptr) return nullptr;
  const IndexedPool& pool = *choice.m_pool.m_index;
  const StepPlan& step = choice.m_step;
  const std::int64_t needed = choice.m_need.m_free.m_processors.value();
  const auto roomiest = pool.m_by_free.rbegin();
  if (roomiest == pool.m_by_free.rend() || roomiest->first < needed) {
    return nullptr;
  }
  Worker* remote = nullptr;
  Worker* slow = nullptr;
  const std::int64_t lowest_fit = needed * kFitScale / pool.m_largest;
  for (auto next = pool.m_by_fit.lower_bound({lowest_fit, nullptr});
       next != pool.m_by_fit.end(); ++next) {
    Worker& worker = *next->second;
    ++pass.m_fleet.m_work.m_workers;
    if (!IsAvailable(pass, worker)) continue;
    if (!Covers(RoomOf(worker), choice.m_need)) continue;
    choice.m_has_room = true;
    if (!MeetsConstraints(worker, step, task)) continue;
    if (IsKnownSlow(pass.m_fleet, worker)) {
      if (slow == nullptr) slow = &worker;
      continue;
    }
    if (step.m_data_rack.empty() || HasLabel(worker, step.m_data_rack)) {
      return &worker;
    }
    if (remote == nullptr) remote = &worker;
  }
  return remote != nullptr ? remote : slow;
}

}  // namespace

bool IsUsable(const Worker& worker, const PoolId& pool, TimePoint now) {
  return IsInService(worker) && worker.m_listing.m_pool == pool &&
         worker.m_quarantined_until <= now;
}

bool MeetsConstraints(const Worker& worker, const StepPlan& step,
                      const TaskReference& task) {
  if (!step.m_required_label.empty() &&
      !HasLabel(worker, step.m_required_label)) {
    return false;
  }
  return step.m_maximum_per_worker == 0 ||
         RunsOfStep(worker, task) < step.m_maximum_per_worker;
}

PoolInPass& FindPool(PlacementPass& pass, const PoolId& pool) {
  const auto [entry, is_new] = pass.m_pools.try_emplace(pool);
  if (is_new) {
    const auto& pools = pass.m_fleet.m_worker_index.m_pools;
    const auto found = pools.find(pool);
    if (found != pools.end()) entry->second.m_index = &found->second;
  }
  return entry->second;
}

Resources ReservedDemand(const StepPlan& step) {
  Resources demand = step.m_demand;
  if (step.m_processor_use == ProcessorUse::kBestEffort) {
    demand.m_processors = Millicores(0);
  }
  return demand;
}

Room NeededRoom(const StepPlan& step, bool must_start_job) {
  const bool may_wait =
      step.m_processor_use == ProcessorUse::kBestEffort && !must_start_job;
  if (!may_wait) {
    return {ReservedDemand(step),
            Millicores(std::numeric_limits<std::int64_t>::min())};
  }
  const std::int64_t idle_percent =
      step.m_demand.m_processors.value() * kMinimumIdlePercentOfDemand;
  // Rounded up.
  return {ReservedDemand(step),
          Millicores((idle_percent + kPercent - 1) / kPercent)};
}

Millicores LargestDemandFor(Millicores idle) {
  return Millicores(idle.value() * kPercent / kMinimumIdlePercentOfDemand);
}

void IndexComputedWorkers(PlacementPass& pass) {
  for (Worker* worker : pass.m_computed_workers) {
    UpdateWorkerIndex(pass.m_fleet, *worker);
  }
  pass.m_computed_workers.clear();
}

bool IsUnavailable(const PoolInPass& pool, const Room& needed) {
  return std::any_of(
      pool.m_unavailable.begin(), pool.m_unavailable.end(),
      [&needed](const Room& failed) { return Covers(needed, failed); });
}

void RecordUnavailable(PoolInPass& pool, const Room& needed) {
  auto& failed = pool.m_unavailable;
  failed.erase(std::remove_if(failed.begin(), failed.end(),
                              [&needed](const Room& other) {
                                return Covers(other, needed);
                              }),
               failed.end());
  failed.push_back(needed);
}

StepChoice BeginStepChoice(PlacementPass& pass, PoolInPass& pool,
                           const StepPlan& step) {
  const bool is_best_effort = step.m_processor_use == ProcessorUse::kBestEffort;
  return {step, pool, is_best_effort ? &pass.m_images[step.m_image] : nullptr};
}

Worker* ChooseNextWorker(PlacementPass& pass, StepChoice& choice,
                         const TaskReference& task) {
  auto& candidates = choice.m_candidates;
  choice.m_need = NeededRoom(choice.m_step, pass.m_must_start_job);
  if (IsChosenByFit(choice.m_step)) return FindBestFit(pass, choice, task);
  if (!choice.m_has_candidates) {
    FindCandidates(pass, choice, task);
  } else if (!candidates.empty()) {
    UpdateBestCandidate(pass, choice, task);
  }
  // The task that starts a job has candidates that the others do not have.
  choice.m_has_candidates = !pass.m_must_start_job;
  // Trials on one worker can rule out others.
  while (!candidates.empty()) {
    Worker& best = *candidates.front().m_worker;
    if (CanPlace(pass, choice, best, task)) return &best;
    TakeBestCandidate(choice);
  }
  return nullptr;
}

Worker* ChooseWorker(PlacementPass& pass, const PoolId& pool,
                     const StepPlan& step, const TaskReference& task) {
  StepChoice choice = BeginStepChoice(pass, FindPool(pass, pool), step);
  return ChooseNextWorker(pass, choice, task);
}

bool IsUnplaceable(const PoolInPass& pool, const StepPlan& step) {
  const auto failed = pool.m_unplaceable.find(BestEffortImageOf(step));
  return failed != pool.m_unplaceable.end() &&
         std::any_of(failed->second.begin(), failed->second.end(),
                     [&step](const StepPlan* other) {
                       return IsHarderToPlace(step, *other);
                     });
}

void RecordUnplaceable(PoolInPass& pool, const StepPlan& step) {
  auto& failed = pool.m_unplaceable[BestEffortImageOf(step)];
  failed.erase(std::remove_if(failed.begin(), failed.end(),
                              [&step](const StepPlan* other) {
                                return IsHarderToPlace(*other, step);
                              }),
               failed.end());
  failed.push_back(&step);
}

}  // namespace daisyarch::fleet
