#include <algorithm>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

namespace {

// Hysteresis: fillers slow down above the first share of a target and speed
// up again below the second.
constexpr std::int64_t kSlowDownPercent = 95;
constexpr std::int64_t kSpeedUpPercent = 70;
constexpr std::uint8_t kSpeedUpStep = 15;
constexpr std::uint8_t kFullPace = 100;
constexpr std::uint8_t kLeastPace = 10;
// The figures cover the last half second.
constexpr Duration kPaceInterval = std::chrono::milliseconds(600);
constexpr std::int64_t kPercent = 100;

struct Neighbours {
  std::int64_t m_worst_percent = 0;  ///< Tail against target.
  bool m_is_long_over = false;
};

const Task& TaskOf(const Job& job, const TaskReference& reference) {
  return job
      .m_steps[StepRunIndex(job, reference.m_occurrence, reference.m_step)]
      .m_tasks[reference.m_index];
}

Neighbours LookAtServing(Fleet& fleet, const Worker& worker, TimePoint now) {
  Neighbours neighbours;
  for (const TaskReference& reference : worker.m_runs) {
    const Job* job = FindJob(fleet, reference.m_job);
    if (job == nullptr) continue;
    const StepPlan& step = job->m_plan.m_steps[reference.m_step];
    if (step.m_latency_target <= Duration{}) continue;
    const Task& task = TaskOf(*job, reference);
    const std::int64_t percent = FromMilliseconds(task.m_tail_ms).count() *
                                 kPercent / step.m_latency_target.count();
    neighbours.m_worst_percent = std::max(neighbours.m_worst_percent, percent);
    const bool is_over = task.m_over_target_since != TimePoint();
    if (is_over && now - task.m_over_target_since > fleet.m_limits.m_harm / 4) {
      neighbours.m_is_long_over = true;
    }
  }
  return neighbours;
}

std::uint8_t NextPace(std::uint8_t pace, const Neighbours& neighbours) {
  if (neighbours.m_is_long_over) return 0;
  if (neighbours.m_worst_percent > kSlowDownPercent) {
    const std::uint8_t half = pace / 2;
    return half < kLeastPace ? 0 : half;
  }
  if (neighbours.m_worst_percent > kSpeedUpPercent) return pace;
  return static_cast<std::uint8_t>(
      std::min<int>(kFullPace, pace + kSpeedUpStep));
}

}  // namespace

void PaceFillers(Fleet& fleet, Worker& worker, TimePoint now) {
  if (worker.m_fillers == 0) return;
  const Neighbours neighbours = LookAtServing(fleet, worker, now);
  for (const TaskReference& reference : worker.m_runs) {
    Job* job = FindJob(fleet, reference.m_job);
    if (job == nullptr) continue;
    const StepPlan& step = job->m_plan.m_steps[reference.m_step];
    if (step.m_processor_use != ProcessorUse::kLeftover) continue;
    Task& task = job->m_steps[StepRunIndex(*job, reference.m_occurrence,
                                           reference.m_step)]
                     .m_tasks[reference.m_index];
    if (task.m_state != RunState::kRunning) continue;
    if (now - task.m_paced_at < kPaceInterval) continue;
    const std::uint8_t pace = NextPace(task.m_pace_percent, neighbours);
    if (pace == task.m_pace_percent) continue;
    task.m_pace_percent = pace;
    task.m_paced_at = now;
    fleet.m_orders.push_back(
        PaceOrder{worker.m_listing.m_worker, worker.m_listing.m_incarnation,
                  reference, task.m_run, worker.m_token, pace});
  }
}

}  // namespace daisyarch::fleet
