#include "decisions/fleet/late_start.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "decisions/fleet/crash_count.h"

namespace daisyarch::fleet {

namespace {

// Covers the time until the order leaves, and the transit of the order and of
// the poll that follows it.
constexpr Duration kTransitSlack =
    kMaximumDispatchTime + std::chrono::milliseconds(200);
// A reading of a clock and a difference of times are cut to milliseconds.
constexpr WorkerMilliseconds kRounding{2};
constexpr WorkerMilliseconds kUnknownClock{
    std::numeric_limits<std::int64_t>::max()};
// Covers a worker's clock that runs 2% slow, and an order in transit.
constexpr Duration kUnconfirmedSlack = std::chrono::milliseconds(900);

TimePoint LatestEffectOf(const FleetLimits& limits, const Task& task) {
  return task.m_start_sent_at + LongestEffectDelay(limits);
}

// Returns how long the worker's clock has to run on until it shows that the
// late start is over; max() if it cannot show that. A leader's polls reach no
// incarnation before the one that the row of an earlier leader names.
WorkerMilliseconds ClockLeft(const LateStartClock& late_start,
                             const WorkerReport& report) {
  if (late_start.m_incarnation == Incarnation()) return kUnknownClock;
  const WorkerMilliseconds until =
      late_start.m_incarnation == report.m_incarnation
          ? late_start.m_until
          : late_start.m_until_if_restarted;
  return until - report.m_clock;
}

// Returns a time by which a leader had decided on the starts that its rows and
// its journal tell of. It stores nothing once a later one has claimed
// leadership.
TimePoint DecidedBefore(const Fleet& fleet, Term term) {
  if (term == Term()) return fleet.m_ticked_at;
  const auto later = fleet.m_terms_seen_at.upper_bound(term);
  return later == fleet.m_terms_seen_at.end()
             ? fleet.m_ticked_at
             : std::min(later->second, fleet.m_ticked_at);
}

TimePoint LatestOf(const WorkerLateStarts& starts) {
  TimePoint latest = starts.m_until;
  for (const InheritedLateStart& inherited : starts.m_inherited) {
    latest = std::max(latest, inherited.m_until);
  }
  return latest;
}

bool Contains(const std::vector<RunNumber>& runs, RunNumber run) {
  return std::find(runs.begin(), runs.end(), run) != runs.end();
}

}  // namespace

Duration LongestEffectDelay(const FleetLimits& limits) {
  return limits.m_longest_order_delay + kTransitSlack;
}

// The clock advances no faster than the leader's, and that of the next
// incarnation begins after the last answer.
LateStartClock LateStartClockAt(Fleet& fleet, const WorkerId& id,
                                TimePoint until) {
  const Worker* worker = FindWorker(fleet, id);
  if (worker == nullptr) return {};
  if (worker->m_clock_began_after == TimePoint()) return {};
  const WorkerMilliseconds clock =
      WorkerMilliseconds(ToMilliseconds(until - worker->m_clock_began_after)) +
      kRounding;
  return {worker->m_listing.m_incarnation, clock, clock - worker->m_clock};
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

// An order of this leader left later than one that it has inherited, so its
// time replaces the longer estimate for that one.
void RecordLateStart(Fleet& fleet, Task& task) {
  if (task.m_inherited_late_start_unix_ms != 0) ForgetLateStart(task);
  const TimePoint until = LatestEffectOf(fleet.m_limits, task);
  if (until >= task.m_late_start_until) {
    task.m_late_start_until = until;
    task.m_late_start_clock = LateStartClockAt(fleet, task.m_worker, until);
  }
  task.m_late_start_worker = task.m_worker;
  task.m_late_start_term = fleet.m_term;
  TimePoint& at_worker = fleet.m_late_starts[task.m_worker].m_until;
  at_worker = std::max(at_worker, until);
}

void RecordPendingStart(Fleet& fleet, Task& task) {
  if (task.m_start_confirmation != StartConfirmation::kPending) return;
  RecordLateStart(fleet, task);
}

void ForgetLateStart(Task& task) {
  task.m_late_start_until = TimePoint();
  task.m_late_start_worker = WorkerId();
  task.m_inherited_late_start_unix_ms = 0;
  task.m_late_start_clock = LateStartClock();
  task.m_late_start_term = Term();
  task.m_has_single_order = false;
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
  return found != fleet.m_late_starts.end() && now < LatestOf(found->second);
}

bool MayAnyOrderStartLate(Fleet& fleet, TimePoint now) {
  const auto is_open = [now](const auto& entry) {
    return now < LatestOf(entry.second);
  };
  const auto& starts = fleet.m_late_starts;
  if (std::any_of(starts.begin(), starts.end(), is_open)) return true;
  for (const auto& [id, worker] : fleet.m_workers) {
    for (const TaskReference& reference : worker.m_runs) {
      Job* job = nullptr;
      const Task* task = FindTask(fleet, reference, job);
      if (task == nullptr) continue;
      if (now < LateStartUntil(fleet.m_limits, *task)) return true;
    }
  }
  return false;
}

// If each leader stored its own estimate, the wait would grow with their
// number.
void StoreLateStart(const Task& task, std::int64_t unix_offset_ms,
                    TaskProgress& row) {
  if (task.m_late_start_until == TimePoint()) return;
  const std::int64_t own_unix_ms =
      ToMilliseconds(task.m_late_start_until.time_since_epoch()) +
      unix_offset_ms;
  row.m_late_start_until_unix_ms = task.m_inherited_late_start_unix_ms != 0
                                       ? task.m_inherited_late_start_unix_ms
                                       : own_unix_ms;
  row.m_late_start_worker = task.m_late_start_worker;
  row.m_late_start_clock = task.m_late_start_clock;
  row.m_late_start_term = task.m_late_start_term;
}

// The time of day of the node that stored the time may differ from this one's,
// in either direction.
void RestoreLateStart(Fleet& fleet, const TaskProgress& stored,
                      const TaskReference& reference, Task& task,
                      Duration hold) {
  if (stored.m_late_start_until_unix_ms == 0) return;
  const TimePoint by_time_of_day =
      TimePoint(FromMilliseconds(stored.m_late_start_until_unix_ms -
                                 fleet.m_unix_offset_ms)) +
      kMaximumTimeOfDayError;
  const TimePoint by_term = DecidedBefore(fleet, stored.m_late_start_term) +
                            LongestEffectDelay(fleet.m_limits) + hold;
  const TimePoint until = std::min(by_time_of_day, by_term);
  if (until <= fleet.m_ticked_at) return;
  task.m_late_start_until = until;
  task.m_late_start_worker = stored.m_late_start_worker;
  task.m_inherited_late_start_unix_ms = stored.m_late_start_until_unix_ms;
  task.m_late_start_clock = stored.m_late_start_clock;
  task.m_late_start_term = stored.m_late_start_term;
  fleet.m_late_starts[stored.m_late_start_worker].m_inherited.push_back(
      {reference, task.m_late_start_until, stored.m_late_start_clock});
}

void RestoreLateStartOfEndedJob(Fleet& fleet, const TaskProgress& stored,
                                const JobKey& job) {
  Task unknown;
  RestoreLateStart(fleet, stored, {job}, unknown);
}

// The clock was read after the poll was sent, and may run slow but not fast, so
// its beginning in terms of the leader's clock only seems to move on.
void RecordClock(Worker& worker, const WorkerReport& report, TimePoint now) {
  const TimePoint began_after =
      worker.m_poll_sent_at - FromMilliseconds(report.m_clock.value());
  worker.m_clock_began_after =
      worker.m_has_clock ? std::max(worker.m_clock_began_after, began_after)
                         : began_after;
  worker.m_clock = report.m_clock;
  worker.m_clock_read_at = now;
  worker.m_has_clock = true;
}

// The clock of an incarnation begins with it, after the last answer of the one
// before.
void ResetClock(Worker& worker) {
  if (worker.m_clock_began_after != TimePoint()) {
    worker.m_clock_began_after += FromMilliseconds(worker.m_clock.value());
  }
  worker.m_clock = WorkerMilliseconds();
  worker.m_has_clock = false;
}

namespace {

// A start that this leader has sent since replaces the inherited one.
void Forget(Fleet& fleet, const InheritedLateStart& late_start,
            const WorkerId& worker) {
  Job* job = nullptr;
  Task* task = FindTask(fleet, late_start.m_task, job);
  if (task == nullptr || task->m_inherited_late_start_unix_ms == 0) return;
  if (task->m_late_start_worker != worker) return;
  ForgetLateStart(*task);
  MarkProgressChanged(*job, late_start.m_task);
}

}  // namespace

void ForgetLateStartsBefore(Fleet& fleet, Worker& worker,
                            const WorkerReport& report, TimePoint now) {
  worker.m_late_start_check_at = TimePoint::max();
  const WorkerId& id = worker.m_listing.m_worker;
  const auto found = fleet.m_late_starts.find(id);
  if (found == fleet.m_late_starts.end()) return;
  std::vector<InheritedLateStart> left;
  for (const InheritedLateStart& late_start : found->second.m_inherited) {
    const WorkerMilliseconds clock_left = ClockLeft(late_start.m_clock, report);
    if (clock_left <= WorkerMilliseconds()) {
      Forget(fleet, late_start, id);
      continue;
    }
    left.push_back(late_start);
    if (clock_left == kUnknownClock) continue;
    worker.m_late_start_check_at =
        std::min(worker.m_late_start_check_at,
                 now + FromMilliseconds(clock_left.value()));
  }
  found->second.m_inherited = std::move(left);
}

void ForgetInheritedLateStart(Fleet& fleet, const Worker& worker,
                              const TaskReference& reference) {
  const auto found = fleet.m_late_starts.find(worker.m_listing.m_worker);
  if (found == fleet.m_late_starts.end()) return;
  std::vector<InheritedLateStart>& inherited = found->second.m_inherited;
  inherited.erase(
      std::remove_if(inherited.begin(), inherited.end(),
                     [&reference](const InheritedLateStart& late_start) {
                       return late_start.m_task == reference;
                     }),
      inherited.end());
}

void ForgetLateStarts(Fleet& fleet, TimePoint now) {
  auto& starts = fleet.m_late_starts;
  for (auto next = starts.begin(); next != starts.end();) {
    next = LatestOf(next->second) <= now ? starts.erase(next) : std::next(next);
  }
}

}  // namespace daisyarch::fleet
