#include <algorithm>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

namespace {

// Headroom is a target divided by its tail. Hysteresis: fillers slow down
// below the first and speed up again above the second.
constexpr double kLowerLimitHeadroom = 1.05;
constexpr double kRaiseLimitHeadroom = 1.35;
// A tail that is slowed for gets this much.
constexpr double kTargetHeadroom = 1.3;
// A filler that takes less headroom is left alone.
constexpr double kNegligibleHeadroomLoss = 0.05;
constexpr double kRaiseStepPercent = 15;
// One cut leaves at least this share of the pace.
constexpr double kMinimumCutFactor = 0.6;
constexpr double kFullLimitPercent = 100;
constexpr double kMinimumLimitPercent = 8;
// One that would get less goes elsewhere, if nothing here could bear it.
constexpr std::uint8_t kMoveBelowLimitPercent = 50;
// The figures cover the last half second.
constexpr Duration kThrottleInterval = std::chrono::milliseconds(600);

double ToMilliseconds(Duration duration) {
  return static_cast<double>(InMilliseconds(duration));
}

Task& TaskOf(Job& job, const TaskReference& reference) {
  return job
      .m_steps[StepRunIndex(job, reference.m_occurrence, reference.m_step)]
      .m_tasks[reference.m_index];
}

/// What the serving tasks of one worker allow one image of fillers.
struct ThrottleDecision {
  double m_factor = 1.0;  ///< Of the pace that it has.
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
  double taken = 0;
  for (const auto& entry : worker.m_best_effort_images) {
    taken += HeadroomLossFrom(fleet, worker, serving, entry.first);
  }
  return taken;
}

void ApplyServingHeadroom(const Fleet& fleet, const Worker& worker,
                          const ImageId& image, const ServingImage& serving,
                          const ImageId& best_effort_image,
                          ThrottleDecision& decision) {
  if (serving.m_tail_latency_ms <= 0) return;
  const double headroom =
      ToMilliseconds(serving.m_target) / serving.m_tail_latency_ms;
  const double taken =
      HeadroomLossFrom(fleet, worker, image, best_effort_image);
  const double all = TotalHeadroomLoss(fleet, worker, image);
  const bool is_harmless = taken < kNegligibleHeadroomLoss;
  if (headroom < kRaiseLimitHeadroom && !is_harmless) {
    decision.m_may_raise = false;
  }
  if (headroom >= kLowerLimitHeadroom) return;
  // With no filler to blame, all of them are suspects.
  const bool is_responsible = !is_harmless || all < kNegligibleHeadroomLoss;
  if (!is_responsible) return;
  decision.m_may_raise = false;
  const double missing = kTargetHeadroom - headroom;
  const double kept = all > 0 ? 1.0 - missing / all : 0.0;
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

// A task that has been over its target for long is spared every filler,
// whatever has been learnt.
bool MustPause(Fleet& fleet, const Worker& worker, TimePoint now) {
  for (const TaskReference& reference : worker.m_runs) {
    Job* job = FindJob(fleet, reference.m_job);
    if (job == nullptr) continue;
    const Task& task = TaskOf(*job, reference);
    if (task.m_over_target_since == TimePoint()) continue;
    if (now - task.m_over_target_since >
        fleet.m_limits.m_maximum_target_overrun / 3) {
      return true;
    }
  }
  return false;
}

// Whether the serving tasks could bear this filler if it were alone.
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
  if (decision.m_may_raise)
    next = std::min(kFullLimitPercent, next + kRaiseStepPercent);
  return static_cast<std::uint8_t>(next);
}

}  // namespace

void ThrottleBestEffort(Fleet& fleet, Worker& worker, TimePoint now) {
  if (worker.m_best_effort_images.empty()) return;
  std::vector<TaskReference> leaving;
  const bool must_pause = MustPause(fleet, worker, now);
  std::map<ImageId, ThrottleDecision> decisions;
  for (const auto& entry : worker.m_best_effort_images) {
    ThrottleDecision& decision = decisions[entry.first];
    decision = DecideThrottle(fleet, worker, entry.first);
    decision.m_must_pause = must_pause;
  }
  for (const TaskReference& reference : worker.m_runs) {
    Job* job = FindJob(fleet, reference.m_job);
    if (job == nullptr) continue;
    const StepPlan& step = job->m_plan.m_steps[reference.m_step];
    if (step.m_processor_use != ProcessorUse::kBestEffort) continue;
    Task& task = TaskOf(*job, reference);
    if (task.m_state != RunState::kRunning) continue;
    if (now - task.m_limit_changed_at < kThrottleInterval) continue;
    const std::uint8_t limit =
        NextLimit(task.m_processor_limit_percent, decisions[step.m_image]);
    if (limit == task.m_processor_limit_percent) continue;
    if (limit < kMoveBelowLimitPercent && step.m_saves_progress &&
        !step.m_is_gang && !CouldRunAlone(fleet, worker, step)) {
      leaving.push_back(reference);
      continue;
    }
    task.m_processor_limit_percent = limit;
    task.m_limit_changed_at = now;
    fleet.m_orders.push_back(
        ThrottleOrder{worker.m_listing.m_worker, worker.m_listing.m_incarnation,
                      reference, task.m_run, worker.m_token, limit});
  }
  for (const TaskReference& reference : leaving) {
    SendStop(fleet, *FindJob(fleet, reference.m_job), reference, now);
  }
}

}  // namespace daisyarch::fleet
