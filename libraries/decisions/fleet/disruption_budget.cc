#include "decisions/fleet/disruption_budget.h"

#include "decisions/fleet/occurrences.h"

namespace daisyarch::fleet {

namespace {

constexpr std::uint8_t kAtWorkPercent = 100;

bool IsAtWork(const Fleet& fleet, const Task& task) {
  if (task.m_state != RunState::kRunning ||
      task.m_progress_percent < kAtWorkPercent) {
    return false;
  }
  // The last report of a worker that has not answered since may be outdated.
  const auto worker = fleet.m_workers.find(task.m_worker);
  return worker != fleet.m_workers.end() &&
         worker->second.m_state == WorkerState::kReady;
}

}  // namespace

std::uint32_t CountOthersAway(const Fleet& fleet, const Job& job,
                              const TaskReference& task) {
  const StepRun& step_run =
      StepRunAt(job, StepRunIndex(job, task.m_occurrence, task.m_step));
  std::uint32_t at_work = 0;
  step_run.m_tasks.VisitAllocated([&](std::size_t index, const Task& other) {
    if (index != task.m_index && IsAtWork(fleet, other)) ++at_work;
  });
  return static_cast<std::uint32_t>(step_run.m_tasks.size()) - 1 - at_work;
}

bool MayDisrupt(const Fleet& fleet, const Job& job, const TaskReference& task) {
  const std::uint32_t missable =
      job.m_plan.m_steps[task.m_step].m_missable_tasks;
  // The submitter has set no limit.
  if (missable == 0) return true;
  return CountOthersAway(fleet, job, task) < missable;
}

}  // namespace daisyarch::fleet
