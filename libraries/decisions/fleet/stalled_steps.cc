#include "decisions/fleet/stalled_steps.h"

#include <utility>

#include "decisions/fleet/choose_worker.h"
#include "decisions/fleet/occurrences.h"
#include "decisions/fleet/roster.h"

namespace daisyarch::fleet {

namespace {

void CountTasks(const StepRun& step_run, FleetSummary& summary) {
  if (step_run.m_is_released) summary.m_waiting += step_run.m_waiting;
  if (step_run.m_placed == 0) return;
  step_run.m_tasks.VisitAllocated([&](std::size_t, const Task& task) {
    switch (task.m_state) {
      case RunState::kStarting:
        ++summary.m_starting;
        break;
      case RunState::kRunning:
        ++summary.m_running;
        break;
      case RunState::kUnconfirmed:
      case RunState::kResending:
      case RunState::kSettling:
        ++summary.m_unconfirmed;
        break;
      case RunState::kStopping:
        ++summary.m_stopping;
        break;
      default:
        break;
    }
  });
}

bool HasRunningTask(const StepRun& step_run) {
  bool is_running = false;
  step_run.m_tasks.VisitAllocated([&](std::size_t, const Task& task) {
    is_running = is_running || task.m_state == RunState::kRunning;
  });
  return is_running;
}

// The load of a serving task says nothing about its progress.
bool IsWorking(const Task& task, const StepPlan& step) {
  if (task.m_state != RunState::kRunning) return false;
  return step.m_latency_target > Duration{} || task.m_load > 0;
}

bool IsIdle(const Job& job, std::size_t step_run_index,
            const StepRun& step_run) {
  if (job.m_is_cancelled || job.m_has_failed || !step_run.m_is_released) {
    return false;
  }
  if (step_run.m_waiting + step_run.m_placed == 0) return false;
  const StepPlan& step = job.m_plan.m_steps[step_run_index % job.StepCount()];
  if (step_run.m_placed == 0) return true;
  bool is_working = false;
  step_run.m_tasks.VisitAllocated([&](std::size_t, const Task& task) {
    is_working = is_working || IsWorking(task, step);
  });
  return !is_working;
}

StallCause CauseOf(PlacementPass& pass, const Job& job,
                   std::size_t step_run_index) {
  Fleet& fleet = pass.m_fleet;
  const StepRun& step_run = StepRunAt(job, step_run_index);
  if (HasRunningTask(step_run)) return StallCause::kNotWorking;
  if (step_run.m_waiting == 0) return StallCause::kStartUnconfirmed;
  const Duration listing_age = pass.m_now - fleet.m_listed_at;
  if (listing_age > fleet.m_limits.m_maximum_listing_age) {
    return StallCause::kListingTooOld;
  }
  if (!AreEvacuationsKnown(fleet.m_evacuations, pass.m_now)) {
    return StallCause::kEvacuationsTooOld;
  }
  if (pass.m_may_have_inherited_runs && job.m_is_inherited) {
    return StallCause::kEarlierLeader;
  }
  const StepPlan& step = job.m_plan.m_steps[step_run_index % job.StepCount()];
  TaskReference task{job.m_plan.m_key};
  task.m_occurrence =
      static_cast<std::uint32_t>(step_run_index / job.StepCount());
  task.m_step = static_cast<std::uint32_t>(step_run_index % job.StepCount());
  pass.m_must_start_job = pass.m_has_ample_capacity && job.m_placed == 0;
  const Worker* worker =
      ChooseWorker(pass, QueueSettingsOf(fleet, job).m_pool, step, task);
  return worker == nullptr ? StallCause::kNoWorker : StallCause::kNotTried;
}

WorkerId FirstWorkerOf(const StepRun& step_run) {
  WorkerId worker;
  step_run.m_tasks.VisitAllocated([&](std::size_t, const Task& task) {
    if (worker == WorkerId() && IsPlaced(task.m_state)) worker = task.m_worker;
  });
  return worker;
}

}  // namespace

const char* NameOf(StallCause cause) {
  switch (cause) {
    case StallCause::kListingTooOld:
      return "listing_too_old";
    case StallCause::kEvacuationsTooOld:
      return "evacuations_too_old";
    case StallCause::kEarlierLeader:
      return "earlier_leader";
    case StallCause::kNoWorker:
      return "no_worker";
    case StallCause::kNotTried:
      return "not_tried";
    case StallCause::kStartUnconfirmed:
      return "start_unconfirmed";
    case StallCause::kNotWorking:
      return "not_working";
  }
  return "unknown";
}

FleetSummary Summarize(const Fleet& fleet) {
  FleetSummary summary;
  for (const auto& [key, job] : fleet.m_jobs) {
    VisitStepRuns(std::as_const(*job),
                  [&](std::size_t, const StepRun& step_run) {
                    CountTasks(step_run, summary);
                  });
  }
  for (const auto& [id, worker] : fleet.m_workers) {
    const bool is_ready = worker.m_state == WorkerState::kReady;
    ++(is_ready ? summary.m_ready_workers : summary.m_other_workers);
  }
  return summary;
}

std::vector<StalledStep> FindStalledSteps(Fleet& fleet, Duration minimum,
                                          std::size_t maximum_count,
                                          TimePoint now) {
  PlacementPass pass{fleet, now, MayHaveInheritedRuns(fleet, now),
                     HasAmpleCapacity(fleet)};
  std::vector<StalledStep> stalled;
  for (const auto& [key, job] : fleet.m_jobs) {
    VisitStepRuns(*job, [&, &job = *job](std::size_t index, StepRun& step_run) {
      if (!IsIdle(job, index, step_run)) {
        step_run.m_stalled_since = TimePoint();
        return;
      }
      if (step_run.m_stalled_since == TimePoint()) {
        step_run.m_stalled_since = now;
      }
      const Duration stalled_for = now - step_run.m_stalled_since;
      if (stalled_for < minimum || stalled.size() >= maximum_count) return;
      stalled.push_back({job.m_plan.m_key, index, CauseOf(pass, job, index),
                         stalled_for, step_run.m_waiting, step_run.m_placed,
                         FirstWorkerOf(step_run)});
    });
  }
  IndexComputedWorkers(pass);
  return stalled;
}

}  // namespace daisyarch::fleet
