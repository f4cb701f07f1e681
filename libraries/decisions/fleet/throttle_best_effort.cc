#include <algorithm>

#include "decisions/fleet/disruption_budget.h"
#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

namespace {

// Headroom is the latency target divided by the tail latency. Hysteresis:
// limits are lowered below the first value and raised above the second.
constexpr double kLowerLimitHeadroom = 1.2;
constexpr double kRaiseLimitHeadroom = 1.5;
// Headroom that lowering a limit aims at.
constexpr double kTargetHeadroom = 1.5;
// A best-effort image that takes less headroom is not throttled.
constexpr double kNegligibleHeadroomLoss = 0.05;
// A limit is raised by this much at a time.
constexpr double kRaisePercent = 15;
// One adjustment keeps at least this share of the limit.
constexpr double kMinimumCutFactor = 0.6;
constexpr double kFullPercent = 100;
constexpr std::uint8_t kUnlimited = 100;
// A task whose limit would be lower is paused.
constexpr double kMinimumLimitPercent = 8;
// A task that saves its progress and whose limit would be lower moves to
// another worker if it would harm the serving tasks even as the only
// best-effort task.
constexpr std::uint8_t kMoveBelowLimitPercent = 50;
// Minimum time between changes of a limit, since the reported tail latencies
// cover the last half second.
constexpr Duration kThrottleInterval = std::chrono::milliseconds(600);

double MillisecondsAsDouble(Duration duration) {
  return static_cast<double>(ToMilliseconds(duration));
}

/// Adjustment of the limits of one best-effort image on one worker.
struct ThrottleDecision {
  double m_factor = 1.0;  ///< Factor on the present limit.
  bool m_may_raise = true;
  bool m_must_pause = false;
};

double HeadroomLossFrom(const Fleet& fleet, const Worker& worker,
                        const ImageId& serving,
                        const ImageId& best_effort_image) {
  const auto found = worker.m_best_effort_images.find(best_effort_image);
  if (found == worker.m_best_effort_images.end()) return 0;
  return HeadroomLoss(fleet.m_interference, serving, best_effort_image,
                      found->second.m_used,
                      worker.m_listing.m_capacity.m_processors);
}

double TotalHeadroomLoss(const Fleet& fleet, const Worker& worker,
                         const ImageId& serving) {
  double loss = 0;
  for (const auto& entry : worker.m_best_effort_images) {
    loss += HeadroomLossFrom(fleet, worker, serving, entry.first);
  }
  return loss;
}

void ApplyServingHeadroom(const Fleet& fleet, const Worker& worker,
                          const ImageId& image, const ServingImage& serving,
                          const ImageId& best_effort_image,
                          ThrottleDecision& decision) {
  if (serving.m_tail_latency_ms <= 0) return;
  const double headroom =
      MillisecondsAsDouble(serving.m_target) / serving.m_tail_latency_ms;
  if (headroom >= kRaiseLimitHeadroom) return;
  const double loss = HeadroomLossFrom(fleet, worker, image, best_effort_image);
  const bool is_harmless = loss < kNegligibleHeadroomLoss;
  if (!is_harmless) decision.m_may_raise = false;
  if (headroom >= kLowerLimitHeadroom) return;
  const double total_loss = TotalHeadroomLoss(fleet, worker, image);
  // If no image is known to take headroom, every image is throttled.
  const bool is_responsible =
      !is_harmless || total_loss < kNegligibleHeadroomLoss;
  if (!is_responsible) return;
  decision.m_may_raise = false;
  const double missing = kTargetHeadroom - headroom;
  const double kept = total_loss > 0 ? 1.0 - missing / total_loss : 0.0;
  decision.m_factor =
      std::min(decision.m_factor, std::clamp(kept, kMinimumCutFactor, 1.0));
}

ThrottleDecision DecideThrottle(const Fleet& fleet, const Worker& worker,
                                const ImageId& best_effort_image) {
  ThrottleDecision decision;
  for (const auto& [image, serving] : worker.m_serving) {
    ApplyServingHeadroom(fleet, worker, image, serving, best_effort_image,
                         decision);
  }
  return decision;
}

// All best-effort tasks pause if a serving task has been over its target for
// more than a third of the maximum overrun, whatever the learned effects are.
bool MustPause(const Fleet& fleet, const std::vector<FoundRun>& runs,
               TimePoint now) {
  return std::any_of(runs.begin(), runs.end(), [&](const FoundRun& run) {
    if (run.m_task == nullptr) return false;
    const TimePoint since = run.m_task->m_over_target_since;
    return since != TimePoint() &&
           now - since > fleet.m_limits.m_maximum_target_overrun / 3;
  });
}

// Without serving tasks there is nothing to protect, and nothing to decide.
std::map<ImageId, ThrottleDecision> DecideThrottles(
    const Fleet& fleet, const Worker& worker, const std::vector<FoundRun>& runs,
    TimePoint now) {
  std::map<ImageId, ThrottleDecision> decisions;
  if (worker.m_serving.empty()) return decisions;
  const bool must_pause = MustPause(fleet, runs, now);
  for (const auto& entry : worker.m_best_effort_images) {
    ThrottleDecision& decision = decisions[entry.first];
    decision = DecideThrottle(fleet, worker, entry.first);
    decision.m_must_pause = must_pause;
  }
  return decisions;
}

// Returns whether the serving tasks would tolerate this task as the only
// best-effort task.
bool CouldRunAlone(const Fleet& fleet, const Worker& worker,
                   const StepPlan& step) {
  const Millicores capacity = worker.m_listing.m_capacity.m_processors;
  const auto headrooms =
      ExpectedHeadrooms(fleet.m_interference, worker.m_serving, {}, capacity);
  return std::none_of(
      headrooms.begin(), headrooms.end(), [&](const ServingHeadroom& serving) {
        return CompatibilityOf(fleet.m_interference, serving, step.m_image,
                               step.m_demand.m_processors,
                               capacity) == Compatibility::kIncompatible;
      });
}

std::uint8_t NextLimit(std::uint8_t limit, const ThrottleDecision& decision) {
  if (decision.m_must_pause) return 0;
  double next = limit * decision.m_factor;
  if (decision.m_factor < 1.0) {
    return next < kMinimumLimitPercent ? 0 : static_cast<std::uint8_t>(next);
  }
  if (decision.m_may_raise) next = std::min(kFullPercent, next + kRaisePercent);
  return static_cast<std::uint8_t>(next);
}

void SetLimit(Fleet& fleet, const Worker& worker,
              const TaskReference& reference, Task& task, std::uint8_t limit,
              TimePoint now) {
  task.m_processor_limit_percent = limit;
  task.m_is_limit_confirmed = false;
  task.m_limit_changed_at = now;
  fleet.m_orders.push_back(
      ThrottleOrder{worker.m_listing.m_worker, worker.m_listing.m_incarnation,
                    reference, task.m_run, worker.m_token, limit});
}

/// A task that is to move, and its limit if it has to stay.
struct Move {
  const FoundRun* m_run = nullptr;
  std::uint8_t m_limit = 0;
  bool m_is_applied = false;  ///< The worker applies this limit.
};

// Each stop counts against those after it. A task that has to stay is throttled
// like any other.
void MoveTasks(Fleet& fleet, const Worker& worker,
               const std::vector<Move>& moves, TimePoint now) {
  for (const auto& [run, limit, is_applied] : moves) {
    const TaskReference& reference = *run->m_reference;
    if (MayDisrupt(fleet, *run->m_job, reference)) {
      SendStop(fleet, *run->m_job, reference, now);
      continue;
    }
    if (is_applied) continue;
    fleet.m_events.push_back({"move_withheld", reference.m_job,
                              worker.m_listing.m_worker, run->m_task->m_run,
                              now - run->m_task->m_started_at, reference});
    SetLimit(fleet, worker, reference, *run->m_task, limit, now);
  }
}

}  // namespace

void ThrottleBestEffort(Fleet& fleet, Worker& worker,
                        const std::vector<FoundRun>& runs, TimePoint now) {
  if (worker.m_best_effort_images.empty()) return;
  std::vector<Move> moves;
  auto decisions = DecideThrottles(fleet, worker, runs, now);
  for (const FoundRun& run : runs) {
    if (run.m_task == nullptr) continue;
    const TaskReference& reference = *run.m_reference;
    const StepPlan& step = run.m_job->m_plan.m_steps[reference.m_step];
    if (step.m_processor_use != ProcessorUse::kBestEffort) continue;
    Task& task = *run.m_task;
    if (task.m_state != RunState::kRunning) continue;
    if (now - task.m_limit_changed_at < kThrottleInterval) continue;
    const std::uint8_t limit = worker.m_serving.empty()
                                   ? kUnlimited
                                   : NextLimit(task.m_processor_limit_percent,
                                               decisions[step.m_image]);
    const bool is_applied =
        limit == task.m_processor_limit_percent && task.m_is_limit_confirmed;
    // A move that the step's budget has withheld is asked for again, as others
    // of the step may be back at work.
    if (is_applied && step.m_missable_tasks == 0) continue;
    if (limit < kMoveBelowLimitPercent && step.m_saves_progress &&
        !step.m_is_gang && !CouldRunAlone(fleet, worker, step)) {
      moves.push_back({&run, limit, is_applied});
      continue;
    }
    if (!is_applied) SetLimit(fleet, worker, reference, task, limit, now);
  }
  MoveTasks(fleet, worker, moves, now);
}

namespace {

// Returns the task if the order's run is its present one; nullptr otherwise.
Task* FindLimitedTask(Fleet& fleet, const ThrottleOrder& order) {
  Job* job = nullptr;
  Task* task = FindTask(fleet, order.m_task, job);
  const bool is_present = task != nullptr && task->m_run == order.m_run &&
                          task->m_worker == order.m_worker;
  return is_present ? task : nullptr;
}

}  // namespace

void ConfirmLimit(Fleet& fleet, const ThrottleOrder& order) {
  Task* task = FindLimitedTask(fleet, order);
  if (task == nullptr || task->m_processor_limit_percent != order.m_percent) {
    return;
  }
  task->m_is_limit_confirmed = true;
}

void ForgetLimit(Fleet& fleet, const ThrottleOrder& order) {
  Task* task = FindLimitedTask(fleet, order);
  if (task != nullptr) task->m_is_limit_confirmed = false;
}

}  // namespace daisyarch::fleet
