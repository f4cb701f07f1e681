#include <algorithm>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

namespace {

// Headroom is a target divided by its tail. Hysteresis: fillers slow down
// below the first and speed up again above the second.
constexpr double kSlowDownHeadroom = 1.05;
constexpr double kSpeedUpHeadroom = 1.35;
// A tail that is slowed for gets this much.
constexpr double kAimedHeadroom = 1.3;
// A filler that takes less headroom is left alone.
constexpr double kHarmlessHeadroom = 0.05;
constexpr double kSpeedUpStep = 15;
// One cut leaves at least this share of the pace.
constexpr double kDeepestCut = 0.6;
constexpr double kFullPace = 100;
constexpr double kLeastPace = 8;
// One that would get less goes elsewhere, if nothing here could bear it.
constexpr std::uint8_t kLeastPaceHere = 50;
// The figures cover the last half second.
constexpr Duration kPaceInterval = std::chrono::milliseconds(600);

double InMs(Duration duration) {
  return static_cast<double>(ToMilliseconds(duration));
}

Task& TaskOf(Job& job, const TaskReference& reference) {
  return job
      .m_steps[StepRunIndex(job, reference.m_occurrence, reference.m_step)]
      .m_tasks[reference.m_index];
}

/// What the serving tasks of one worker allow one image of fillers.
struct Verdict {
  double m_factor = 1.0;  ///< Of the pace that it has.
  bool m_may_speed_up = true;
  bool m_must_pause = false;
};

double TakenBy(const Fleet& fleet, const Worker& worker, const ImageId& serving,
               const ImageId& filler) {
  const auto found = worker.m_fillers.find(filler);
  if (found == worker.m_fillers.end()) return 0;
  return HeadroomTakenBy(fleet.m_interference, serving, filler,
                         found->second.m_used,
                         worker.m_listing.m_capacity.m_processors);
}

double TakenByAll(const Fleet& fleet, const Worker& worker,
                  const ImageId& serving) {
  double taken = 0;
  for (const auto& entry : worker.m_fillers) {
    taken += TakenBy(fleet, worker, serving, entry.first);
  }
  return taken;
}

void JudgeBeside(const Fleet& fleet, const Worker& worker, const ImageId& image,
                 const ServingImage& serving, const ImageId& filler,
                 Verdict& verdict) {
  if (serving.m_tail_ms <= 0) return;
  const double headroom = InMs(serving.m_target) / serving.m_tail_ms;
  const double taken = TakenBy(fleet, worker, image, filler);
  const double all = TakenByAll(fleet, worker, image);
  const bool is_harmless = taken < kHarmlessHeadroom;
  if (headroom < kSpeedUpHeadroom && !is_harmless) {
    verdict.m_may_speed_up = false;
  }
  if (headroom >= kSlowDownHeadroom) return;
  // With no filler to blame, all of them are suspects.
  const bool is_blamed = !is_harmless || all < kHarmlessHeadroom;
  if (!is_blamed) return;
  verdict.m_may_speed_up = false;
  const double missing = kAimedHeadroom - headroom;
  const double kept = all > 0 ? 1.0 - missing / all : 0.0;
  verdict.m_factor =
      std::min(verdict.m_factor, std::clamp(kept, kDeepestCut, 1.0));
}

Verdict Judge(const Fleet& fleet, const Worker& worker, const ImageId& filler) {
  Verdict verdict;
  for (const auto& [image, serving] : worker.m_serving) {
    JudgeBeside(fleet, worker, image, serving, filler, verdict);
  }
  return verdict;
}

// A task that has been over its target for long is spared every filler,
// whatever has been learnt.
bool MustPause(Fleet& fleet, const Worker& worker, TimePoint now) {
  for (const TaskReference& reference : worker.m_runs) {
    Job* job = FindJob(fleet, reference.m_job);
    if (job == nullptr) continue;
    const Task& task = TaskOf(*job, reference);
    if (task.m_over_target_since == TimePoint()) continue;
    if (now - task.m_over_target_since > fleet.m_limits.m_harm / 3) {
      return true;
    }
  }
  return false;
}

// Whether the serving tasks could bear this filler if it were alone.
bool CanStay(const Fleet& fleet, const Worker& worker, const StepPlan& step) {
  const Millicores capacity = worker.m_listing.m_capacity.m_processors;
  const auto headrooms =
      HeadroomsBeside(fleet.m_interference, worker.m_serving, {}, capacity);
  return std::none_of(
      headrooms.begin(), headrooms.end(), [&](const ServingHeadroom& serving) {
        return BearingOf(fleet.m_interference, serving, step.m_image,
                         step.m_demand.m_processors,
                         capacity) == Bearing::kSuffers;
      });
}

std::uint8_t NextPace(std::uint8_t pace, const Verdict& verdict) {
  if (verdict.m_must_pause) return 0;
  double next = pace * verdict.m_factor;
  if (verdict.m_factor < 1.0) {
    return next < kLeastPace ? 0 : static_cast<std::uint8_t>(next);
  }
  if (verdict.m_may_speed_up) next = std::min(kFullPace, next + kSpeedUpStep);
  return static_cast<std::uint8_t>(next);
}

}  // namespace

void PaceFillers(Fleet& fleet, Worker& worker, TimePoint now) {
  if (worker.m_fillers.empty()) return;
  std::vector<TaskReference> leaving;
  const bool must_pause = MustPause(fleet, worker, now);
  std::map<ImageId, Verdict> verdicts;
  for (const auto& entry : worker.m_fillers) {
    Verdict& verdict = verdicts[entry.first];
    verdict = Judge(fleet, worker, entry.first);
    verdict.m_must_pause = must_pause;
  }
  for (const TaskReference& reference : worker.m_runs) {
    Job* job = FindJob(fleet, reference.m_job);
    if (job == nullptr) continue;
    const StepPlan& step = job->m_plan.m_steps[reference.m_step];
    if (step.m_processor_use != ProcessorUse::kLeftover) continue;
    Task& task = TaskOf(*job, reference);
    if (task.m_state != RunState::kRunning) continue;
    if (now - task.m_paced_at < kPaceInterval) continue;
    const std::uint8_t pace =
        NextPace(task.m_pace_percent, verdicts[step.m_image]);
    if (pace == task.m_pace_percent) continue;
    if (pace < kLeastPaceHere && step.m_saves_progress && !step.m_is_gang &&
        !CanStay(fleet, worker, step)) {
      leaving.push_back(reference);
      continue;
    }
    task.m_pace_percent = pace;
    task.m_paced_at = now;
    fleet.m_orders.push_back(
        PaceOrder{worker.m_listing.m_worker, worker.m_listing.m_incarnation,
                  reference, task.m_run, worker.m_token, pace});
  }
  for (const TaskReference& reference : leaving) {
    SendStop(fleet, *FindJob(fleet, reference.m_job), reference, now);
  }
}

}  // namespace daisyarch::fleet
