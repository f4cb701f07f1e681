#include "decisions/fleet/late_start.h"

#include <algorithm>

#include "decisions/fleet/crash_count.h"

namespace daisyarch::fleet {

namespace {

// Covers the transit of the order and of the poll that follows it.
constexpr Duration kTransitSlack = std::chrono::milliseconds(200);
// Covers a worker's clock that runs 2% slow, and an order in transit.
constexpr Duration kUnconfirmedSlack = std::chrono::milliseconds(900);

TimePoint LatestEffectOf(const FleetLimits& limits, const Task& task) {
  return task.m_start_sent_at + limits.m_longest_order_delay + kTransitSlack;
}

bool Contains(const std::vector<RunNumber>& runs, RunNumber run) {
  return std::find(runs.begin(), runs.end(), run) != runs.end();
}

}  // namespace

TimePoint LateStartUntil(const FleetLimits& limits, const Task& task) {
  const bool is_pending =
      (task.m_state == RunState::kStarting ||
       task.m_state == RunState::kStopping) &&
      task.m_start_confirmation == StartConfirmation::kPending;
  return is_pending
             ? std::max(task.m_late_start_until, LatestEffectOf(limits, task))
             : task.m_late_start_until;
}

void RecordLateStart(Fleet& fleet, Task& task) {
  const TimePoint until = LatestEffectOf(fleet.m_limits, task);
  task.m_late_start_until = std::max(task.m_late_start_until, until);
  Worker* worker = FindWorker(fleet, task.m_worker);
  if (worker == nullptr) return;
  worker->m_late_start_until = std::max(worker->m_late_start_until, until);
}

void RecordPendingStart(Fleet& fleet, Task& task) {
  if (task.m_start_confirmation != StartConfirmation::kPending) return;
  RecordLateStart(fleet, task);
}

// The deadline of the order is no bound: a worker that restarts accepts one
// that has passed on its earlier clock.
TimePoint UnconfirmedUntil(const FleetLimits& limits, const Task& task,
                           TimePoint now) {
  return std::max(now, LateStartUntil(limits, task)) + limits.m_longest_lease +
         kUnconfirmedSlack;
}

bool MayStartLate(const Fleet& fleet, const Task& task) {
  const auto worker = fleet.m_workers.find(task.m_worker);
  const TimePoint polled_at = worker == fleet.m_workers.end()
                                  ? fleet.m_ticked_at
                                  : worker->second.m_poll_sent_at;
  return polled_at < LateStartUntil(fleet.m_limits, task);
}

// The members of a gang start together. A crash counts once for each run
// number.
bool MayResend(const Fleet& fleet, const StepPlan& step, const Task& task) {
  return MayStartLate(fleet, task) && !step.m_is_gang &&
         !NeedsIsolation(task) && !Contains(task.m_crashed_runs, task.m_run) &&
         !Contains(task.m_doubtful_runs, task.m_run) &&
         !Contains(task.m_failed_runs, task.m_run);
}

OutcomeNumber AcknowledgeableEnd(const Worker& worker, TimePoint now) {
  return now < worker.m_late_start_until ? OutcomeNumber()
                                         : worker.m_stored_end;
}

}  // namespace daisyarch::fleet
