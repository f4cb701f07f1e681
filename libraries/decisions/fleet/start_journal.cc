#include "decisions/fleet/start_journal.h"

#include <algorithm>

#include "decisions/fleet/crash_count.h"
#include "decisions/fleet/worker_index.h"

namespace daisyarch::fleet {

namespace {

bool IsOver(const OpenStart& start, BatchNumber stored) {
  return start.m_orders == 0 && start.m_batch <= stored;
}

// Returns whether the stored row of the task shows that the run has begun, or
// that a later one was started, which no leader does while an order may still
// start this one.
bool IsSettledByRow(const Task& task, RunNumber run) {
  return task.m_state != RunState::kWaiting || run < task.m_run ||
         HasFailedIn(task, run);
}

TaskProgress RowOf(const StartJournal& journal, const JournaledStart& start) {
  TaskProgress row;
  row.m_late_start_until_unix_ms = journal.m_until_unix_ms;
  row.m_late_start_worker = start.m_worker;
  row.m_late_start_clock = start.m_clock;
  row.m_late_start_term = journal.m_term;
  return row;
}

// The task is placed on the worker of its start, as it would be under the
// leader that has sent it.
void PlaceUnconfirmed(Fleet& fleet, Job& job, Task& task,
                      const JournaledStart& start) {
  const TaskReference& reference = start.m_task;
  task.m_worker = start.m_worker;
  task.m_has_single_order = !start.m_is_resent;
  StepTask(fleet, job, reference, RunEvent::kPlaced);
  StepTask(fleet, job, reference, RunEvent::kStartUnanswered);
  task.m_start_confirmation = StartConfirmation::kUnconfirmed;
  task.m_unconfirmed_until =
      UnconfirmedUntil(fleet.m_limits, task, fleet.m_ticked_at);
  UpdateWaitingSteps(
      fleet, job, StepRunIndex(job, reference.m_occurrence, reference.m_step));
}

// Returns whether the progress of the job does not tell of the start.
bool RestoreStart(Fleet& fleet, const StartJournal& journal,
                  const JournaledStart& start) {
  Job* job = nullptr;
  Task* task = FindTask(fleet, start.m_task, job);
  // A job ends only once all of its starts have outcomes.
  if (task == nullptr || IsSettledByRow(*task, start.m_run)) return false;
  fleet.m_events.push_back({"start_inherited", start.m_task.m_job,
                            start.m_worker, start.m_run, Duration{},
                            start.m_task, std::nullopt, task->m_run});
  const bool is_in_row = task->m_run == start.m_run &&
                         task->m_late_start_until > fleet.m_ticked_at;
  task->m_run = start.m_run;
  if (!is_in_row) {
    RestoreLateStart(fleet, RowOf(journal, start), start.m_task, *task,
                     kMaximumStartHold);
  }
  MarkTaskChanged(fleet, *job, start.m_task);
  const bool is_terminated = job->m_is_cancelled || job->m_has_failed;
  const bool has_worker = FindWorker(fleet, start.m_worker) != nullptr;
  if (!is_terminated && has_worker) {
    PlaceUnconfirmed(fleet, *job, *task, start);
    task->m_has_single_order = task->m_has_single_order && !is_in_row;
  }
  return true;
}

}  // namespace

void AddOpenStart(OpenStarts& open, const StartOrder& order) {
  OpenStart& start = open.m_starts[order.m_task];
  if (start.m_run != order.m_run) start = OpenStart();
  start.m_run = order.m_run;
  start.m_worker = order.m_worker;
  start.m_is_resent = start.m_is_resent || order.m_is_resent;
  ++start.m_orders;
}

std::size_t NameWaitingStarts(OpenStarts& open,
                              const std::vector<StartOrder>& waiting) {
  const auto is_named = [](const auto& entry) {
    return entry.second.m_is_named;
  };
  auto named = static_cast<std::size_t>(
      std::count_if(open.m_starts.begin(), open.m_starts.end(), is_named));
  std::size_t taken = 0;
  for (; taken < waiting.size() && named < kMaximumJournaledStarts; ++taken) {
    const auto start = open.m_starts.find(waiting[taken].m_task);
    if (start == open.m_starts.end() || start->second.m_is_named) continue;
    start->second.m_is_named = true;
    ++named;
  }
  return taken;
}

void RecordOpenStartOutcome(OpenStarts& open, const StartOrder& order,
                            StartOutcome outcome, BatchNumber next) {
  const auto found = open.m_starts.find(order.m_task);
  if (found == open.m_starts.end() || found->second.m_run != order.m_run) {
    return;
  }
  OpenStart& start = found->second;
  if (start.m_orders > 0) --start.m_orders;
  if (outcome == StartOutcome::kUnanswered) {
    start.m_batch = std::max(start.m_batch, next);
  }
  if (!IsOver(start, BatchNumber())) return;
  open.m_starts.erase(found);
  open.m_is_journal_outdated = true;
}

void ForgetStoredStarts(OpenStarts& open, BatchNumber stored) {
  for (auto next = open.m_starts.begin(); next != open.m_starts.end();) {
    if (IsOver(next->second, stored)) {
      next = open.m_starts.erase(next);
      open.m_is_journal_outdated = true;
    } else {
      ++next;
    }
  }
}

StartJournal JournalOf(Fleet& fleet, const OpenStarts& open, TimePoint now) {
  StartJournal journal;
  journal.m_term = fleet.m_term;
  if (open.m_starts.empty()) return journal;
  const TimePoint until =
      now + kMaximumStartHold + LongestEffectDelay(fleet.m_limits);
  journal.m_until_unix_ms =
      ToMilliseconds(until.time_since_epoch()) + fleet.m_unix_offset_ms;
  journal.m_starts.reserve(open.m_starts.size());
  for (const auto& [reference, start] : open.m_starts) {
    if (!start.m_is_named) continue;
    journal.m_starts.push_back({reference, start.m_run, start.m_worker,
                                LateStartClockAt(fleet, start.m_worker, until),
                                start.m_is_resent});
  }
  return journal;
}

bool IsStartCurrent(Fleet& fleet, const StartOrder& order, TimePoint now) {
  Job* job = nullptr;
  const Task* task = FindTask(fleet, order.m_task, job);
  const Worker* worker = FindWorker(fleet, order.m_worker);
  return task != nullptr && worker != nullptr &&
         task->m_state == RunState::kStarting &&
         task->m_start_confirmation == StartConfirmation::kPending &&
         task->m_run == order.m_run && task->m_worker == order.m_worker &&
         task->m_start_sent_at == order.m_sent_at && IsInService(*worker) &&
         worker->m_listing.m_incarnation == order.m_incarnation &&
         worker->m_token == order.m_token &&
         now - order.m_sent_at <= kMaximumStartHold;
}

bool RestoreJournal(Fleet& fleet, const StartJournal& journal) {
  bool is_any_restored = false;
  for (const JournaledStart& start : journal.m_starts) {
    is_any_restored = RestoreStart(fleet, journal, start) || is_any_restored;
  }
  return is_any_restored;
}

void ConfirmJournaledStart(Fleet& fleet, Worker& worker, Job& job, Task& task,
                           const TaskReference& reference) {
  if (!task.m_has_single_order) return;
  ForgetLateStart(task);
  ForgetInheritedLateStart(fleet, worker, reference);
  MarkProgressChanged(job, reference);
}

}  // namespace daisyarch::fleet
