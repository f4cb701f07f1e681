#include "decisions/fleet/late_start.h"

#include <algorithm>
#include <iterator>

#include "decisions/fleet/crash_count.h"

namespace daisyarch::fleet {

namespace {

// Covers the time until the order leaves, and the transit of the order and of
// the poll that follows it.
constexpr Duration kTransitSlack =
    kMaximumDispatchTime + std::chrono::milliseconds(200);
// Each of two nodes' times of day may jump by up to 5 s.
constexpr Duration kMaximumClockStep = std::chrono::seconds(10);
// Covers a worker's clock that runs 2% slow, and an order in transit.
constexpr Duration kUnconfirmedSlack = std::chrono::milliseconds(900);

TimePoint LatestEffectOf(const FleetLimits& limits, const Task& task) {
  return task.m_start_sent_at + LongestEffectDelay(limits);
}

void RecordUntil(Fleet& fleet, Task& task, const WorkerId& worker,
                 TimePoint until) {
  task.m_late_start_until = std::max(task.m_late_start_until, until);
  task.m_late_start_worker = worker;
  TimePoint& at_worker = fleet.m_late_starts[worker];
  at_worker = std::max(at_worker, until);
}

bool Contains(const std::vector<RunNumber>& runs, RunNumber run) {
  return std::find(runs.begin(), runs.end(), run) != runs.end();
}

}  // namespace

Duration LongestEffectDelay(const FleetLimits& limits) {
  return limits.m_longest_order_delay + kTransitSlack;
}

// An order that is not its task's latest keeps a time of its own, so that its
// outcome is not taken for that of the latest one.
void RecordStartSent(Fleet& fleet, StartOrder& order, TimePoint now) {
  Job* job = nullptr;
  Task* task = FindTask(fleet, order.m_task, job);
  const bool is_latest = task != nullptr && task->m_run == order.m_run &&
                         task->m_worker == order.m_worker &&
                         task->m_start_sent_at == order.m_sent_at;
  if (!is_latest) return;
  order.m_sent_at = task->m_start_sent_at = now;
}

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
  RecordUntil(fleet, task, task.m_worker, LatestEffectOf(fleet.m_limits, task));
}

void RecordPendingStart(Fleet& fleet, Task& task) {
  if (task.m_start_confirmation != StartConfirmation::kPending) return;
  RecordLateStart(fleet, task);
}

void ForgetLateStart(Task& task) {
  task.m_late_start_until = TimePoint();
  task.m_late_start_worker = WorkerId();
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

bool MayTakeOrderLate(const Fleet& fleet, const WorkerId& worker,
                      TimePoint now) {
  const auto found = fleet.m_late_starts.find(worker);
  return found != fleet.m_late_starts.end() && now < found->second;
}

OutcomeNumber AcknowledgeableEnd(const Fleet& fleet, const Worker& worker,
                                 TimePoint now) {
  return MayTakeOrderLate(fleet, worker.m_listing.m_worker, now)
             ? OutcomeNumber()
             : worker.m_stored_end;
}

// The time of day of the node that stored the time may differ from this one's,
// in either direction.
void RestoreLateStart(Fleet& fleet, const TaskProgress& stored, Task& task) {
  if (stored.m_late_start_until_unix_ms == 0) return;
  const TimePoint until =
      TimePoint(FromMilliseconds(stored.m_late_start_until_unix_ms -
                                 fleet.m_unix_offset_ms)) +
      kMaximumClockStep;
  const TimePoint latest =
      fleet.m_ticked_at + LongestEffectDelay(fleet.m_limits);
  if (until <= fleet.m_ticked_at) return;
  RecordUntil(fleet, task, stored.m_late_start_worker, std::min(until, latest));
}

void ForgetLateStarts(Fleet& fleet, TimePoint now) {
  auto& starts = fleet.m_late_starts;
  for (auto next = starts.begin(); next != starts.end();) {
    next = next->second <= now ? starts.erase(next) : std::next(next);
  }
}

}  // namespace daisyarch::fleet
