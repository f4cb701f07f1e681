#include "decisions/fleet/crash_count.h"

#include <algorithm>

#include "decisions/fleet/isolation.h"

namespace daisyarch::fleet {

namespace {

constexpr std::size_t kCrashesBeforeIsolation = 2;
// Two of them in isolation, as a worker may crash by chance.
constexpr std::size_t kCrashesBeforeGivingUp = 4;
// An earlier leader may have ended before it stored a count.
constexpr std::size_t kCrashesOfInheritedJob = 3;
// Doubtful crashes suffice once they are this many more, so that no task is
// started without end because something else crashes workers as well.
constexpr std::size_t kMoreCrashesInDoubt = 1;
// A task that crashes its worker does so within this time after its start.
constexpr Duration kProofTime = std::chrono::seconds(1);
// A single poll is closed when only its connection is reset.
constexpr std::uint32_t kClosedPollsOfCrash = 2;
// An answer may be lost just before the crash. A host that has lost power
// leaves more polls unanswered until it is back and refuses connections.
constexpr std::uint32_t kMaximumUnansweredPolls = 1;
// What crashes workers by itself may crash several within this time.
constexpr Duration kCommonCauseWindow = std::chrono::milliseconds(500);

void RecordWorkerCrash(Fleet& fleet, const WorkerCrash& latest) {
  auto& crashes = fleet.m_recent_crashes;
  crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                               [&latest](const WorkerCrash& crash) {
                                 return latest.m_at - crash.m_at >
                                        kCommonCauseWindow;
                               }),
                crashes.end());
  crashes.push_back(latest);
}

// A crash that no run can have caused shows that something else crashes workers
// as well. The number of crashes does not: several tasks that crash their
// workers start again together once the leases of these have expired.
bool HasOtherCause(const Fleet& fleet) {
  return std::any_of(
      fleet.m_recent_crashes.begin(), fleet.m_recent_crashes.end(),
      [](const WorkerCrash& crash) { return !crash.m_has_suspect; });
}

// Only runs of one job are on the worker as far as it may have been crashed by
// one. They share the blame, since they end together if one is given up.
bool IsOneJob(const std::vector<TaskReference>& runs) {
  return std::all_of(runs.begin(), runs.end(), [&runs](const auto& run) {
    return run.m_job == runs.front().m_job;
  });
}

bool Contains(const std::vector<RunNumber>& runs, RunNumber run) {
  return std::find(runs.begin(), runs.end(), run) != runs.end();
}

bool Remove(std::vector<RunNumber>& runs, RunNumber run) {
  const auto found = std::find(runs.begin(), runs.end(), run);
  if (found == runs.end()) return false;
  runs.erase(found);
  return true;
}

// A leader that ends before a count is stored takes it with it.
void MarkCountChanged(Fleet& fleet, Job& job, const TaskReference& reference) {
  MarkTaskChanged(fleet, job, reference);
  fleet.m_has_urgent_change = true;
}

void CountCrash(Fleet& fleet, Worker& worker, const TaskReference& reference,
                bool is_doubtful) {
  Job* job = nullptr;
  Task* task = FindTask(fleet, reference, job);
  if (Contains(task->m_crashed_runs, task->m_run)) return;
  if (Contains(task->m_doubtful_runs, task->m_run)) return;
  auto& runs = is_doubtful ? task->m_doubtful_runs : task->m_crashed_runs;
  runs.push_back(task->m_run);
  worker.m_crashed_runs.emplace_back(reference, task->m_run);
  const bool is_confirmed =
      task->m_start_confirmation == StartConfirmation::kConfirmed;
  fleet.m_events.push_back(
      {is_doubtful ? "run_crash_doubted" : "run_crashed", reference.m_job,
       worker.m_listing.m_worker, task->m_run,
       is_confirmed ? worker.m_poll_sent_at - task->m_started_at : Duration{},
       reference});
  AddIsolation(fleet, reference);
  MarkCountChanged(fleet, *job, reference);
}

// The run has not crashed the worker.
void WithdrawCrash(Fleet& fleet, const Worker& worker, const FoundRun& found,
                   RunNumber run) {
  if (found.m_task == nullptr) return;
  if (!Remove(found.m_task->m_crashed_runs, run) &&
      !Remove(found.m_task->m_doubtful_runs, run)) {
    return;
  }
  const TaskReference& reference = *found.m_reference;
  fleet.m_events.push_back({"run_crash_withdrawn", reference.m_job,
                            worker.m_listing.m_worker, run, Duration{},
                            reference});
  MarkTaskChanged(fleet, *found.m_job, reference);
}

void WithdrawCrashes(Fleet& fleet, const Worker& worker) {
  for (const auto& [reference, run] : worker.m_crashed_runs) {
    WithdrawCrash(fleet, worker, FindRun(fleet, reference), run);
  }
}

// Only isolated tasks need the doubt, as the others are not given up yet.
void DoubtCrashes(Fleet& fleet, const Worker& worker) {
  for (const auto& [reference, run] : worker.m_crashed_runs) {
    Job* job = nullptr;
    Task* task = FindTask(fleet, reference, job);
    if (task == nullptr) continue;
    if (task->m_crashed_runs.size() <= kCrashesBeforeIsolation) continue;
    if (!Remove(task->m_crashed_runs, run)) continue;
    task->m_doubtful_runs.push_back(run);
    fleet.m_events.push_back({"run_crash_doubted", reference.m_job,
                              worker.m_listing.m_worker, run, Duration{},
                              reference});
    MarkCountChanged(fleet, *job, reference);
  }
}

void DoubtRecentCrashes(Fleet& fleet) {
  for (const WorkerCrash& crash : fleet.m_recent_crashes) {
    const Worker* worker = FindWorker(fleet, crash.m_worker);
    if (worker != nullptr) DoubtCrashes(fleet, *worker);
  }
}

bool MayRunUnknownTasks(const Worker& worker) {
  return worker.m_inherited_runs_until > TimePoint() ||
         worker.m_unknown_runs > 0;
}

void RecordCrash(Fleet& fleet, Worker& worker, TimePoint now) {
  // Its runs end with it as planned.
  if (worker.m_listing.m_is_leaving) return;
  fleet.m_events.push_back({"worker_crashed", JobKey(),
                            worker.m_listing.m_worker, RunNumber(),
                            worker.m_poll_sent_at - worker.m_clock_read_at});
  const std::vector<TaskReference> suspects = FindUnprovenRuns(fleet, worker);
  const bool has_suspect = !suspects.empty() || MayRunUnknownTasks(worker);
  RecordWorkerCrash(fleet, {now, worker.m_listing.m_worker, has_suspect});
  const bool has_other_cause = HasOtherCause(fleet);
  if (has_other_cause) DoubtRecentCrashes(fleet);
  const bool is_doubtful = has_other_cause || !IsOneJob(suspects);
  for (const TaskReference& reference : suspects) {
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    CountCrash(fleet, worker, reference, is_doubtful && NeedsIsolation(*task));
  }
}

void Forget(Worker& worker) {
  worker.m_closed_polls = 0;
  worker.m_unanswered_polls = 0;
  worker.m_crashed_runs.clear();
}

}  // namespace

bool NeedsIsolation(const Task& task) {
  return task.m_crashed_runs.size() >= kCrashesBeforeIsolation;
}

bool HasCrashedTooOften(const Job& job, const Task& task) {
  const std::size_t limit =
      job.m_is_inherited ? kCrashesOfInheritedJob : kCrashesBeforeGivingUp;
  const std::size_t crashes = task.m_crashed_runs.size();
  return crashes >= limit ||
         crashes + task.m_doubtful_runs.size() >= limit + kMoreCrashesInDoubt;
}

bool IsProven(const Worker& worker, const Task& task) {
  return task.m_start_confirmation == StartConfirmation::kConfirmed &&
         worker.m_clock_read_at - task.m_started_at >= kProofTime;
}

bool IsActive(const Task& task) {
  return task.m_state != RunState::kResending &&
         task.m_state != RunState::kSettling;
}

std::vector<TaskReference> FindUnprovenRuns(Fleet& fleet,
                                            const Worker& worker) {
  std::vector<TaskReference> unproven;
  for (const TaskReference& reference : worker.m_runs) {
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    if (task == nullptr || IsProven(worker, *task)) continue;
    if (!IsActive(*task)) continue;
    unproven.push_back(reference);
  }
  return unproven;
}

void RecordPollFailure(Fleet& fleet, Worker& worker, PollFailure failure,
                       TimePoint now) {
  if (failure != PollFailure::kClosed) {
    ++worker.m_unanswered_polls;
    return;
  }
  if (worker.m_unanswered_polls > kMaximumUnansweredPolls) return;
  if (++worker.m_closed_polls == kClosedPollsOfCrash) {
    RecordCrash(fleet, worker, now);
  }
}

void RecordAnswer(Fleet& fleet, Worker& worker) {
  WithdrawCrashes(fleet, worker);
  Forget(worker);
}

void RecordActive(Fleet& fleet, const Worker& worker, const FoundRun& active,
                  RunNumber run) {
  WithdrawCrash(fleet, worker, active, run);
}

void RecordRestart(Fleet& fleet, Worker& worker, TimePoint now) {
  const bool is_uncounted_crash =
      worker.m_closed_polls > 0 &&
      worker.m_closed_polls < kClosedPollsOfCrash &&
      worker.m_unanswered_polls <= kMaximumUnansweredPolls;
  if (is_uncounted_crash) RecordCrash(fleet, worker, now);
  Forget(worker);
  ForgetSlowness(fleet.m_run_times, worker.m_listing.m_worker);
}

}  // namespace daisyarch::fleet
