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
// A task that crashes its worker does so within this time after its start.
constexpr Duration kProofTime = std::chrono::seconds(1);
// A single poll is closed when only its connection is reset.
constexpr std::uint32_t kClosedPollsOfCrash = 2;
// An answer may be lost just before the crash. A host that has lost power
// leaves more polls unanswered until it is back and refuses connections.
constexpr std::uint32_t kMaximumUnansweredPolls = 1;
// Tasks in isolation crash one worker at a time, so a loss of this many workers
// within the window has another cause.
constexpr Duration kMassLossWindow = std::chrono::milliseconds(500);
constexpr std::size_t kMinimumMassLoss = 4;
constexpr std::size_t kMassLossDivisor = 8;

bool IsMassLoss(const Fleet& fleet) {
  return fleet.m_recent_crashes.size() >=
         std::max(kMinimumMassLoss, fleet.m_workers.size() / kMassLossDivisor);
}

void AddRecentCrash(Fleet& fleet, const Worker& worker, TimePoint now) {
  auto& crashes = fleet.m_recent_crashes;
  crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                               [now](const auto& crash) {
                                 return now - crash.first > kMassLossWindow;
                               }),
                crashes.end());
  crashes.emplace_back(now, worker.m_listing.m_worker);
}

// Only runs of one job are on the worker as far as it may have been crashed by
// one. They share the blame, since they end together if one is given up.
bool IsOneJob(const std::vector<TaskReference>& runs) {
  return std::all_of(runs.begin(), runs.end(), [&runs](const auto& run) {
    return run.m_job == runs.front().m_job;
  });
}

void CountCrash(Fleet& fleet, Worker& worker, const TaskReference& reference) {
  Job* job = nullptr;
  Task* task = FindTask(fleet, reference, job);
  auto& crashed = task->m_crashed_runs;
  if (std::find(crashed.begin(), crashed.end(), task->m_run) != crashed.end()) {
    return;
  }
  crashed.push_back(task->m_run);
  worker.m_crashed_runs.emplace_back(reference, task->m_run);
  const bool is_confirmed =
      task->m_start_confirmation == StartConfirmation::kConfirmed;
  fleet.m_events.push_back(
      {"run_crashed", reference.m_job, worker.m_listing.m_worker, task->m_run,
       is_confirmed ? worker.m_poll_sent_at - task->m_started_at : Duration{},
       reference});
  AddIsolation(fleet, reference);
  MarkChanged(fleet, *job);
  // A leader that ends before the count is stored takes it with it.
  fleet.m_has_urgent_change = true;
}

// Removes the crash from those tasks of the worker that `is_wrong` selects.
template <typename Predicate>
void TakeBackCrashes(Fleet& fleet, Worker& worker, Predicate is_wrong) {
  for (const auto& [reference, run] : worker.m_crashed_runs) {
    Job* job = nullptr;
    Task* task = FindTask(fleet, reference, job);
    if (task == nullptr || !is_wrong(*task)) continue;
    auto& crashed = task->m_crashed_runs;
    const auto found = std::find(crashed.begin(), crashed.end(), run);
    if (found == crashed.end()) continue;
    crashed.erase(found);
    fleet.m_events.push_back({"run_crash_withdrawn", reference.m_job,
                              worker.m_listing.m_worker, run, Duration{},
                              reference});
    MarkChanged(fleet, *job);
  }
}

bool HasCrashedAlone(const Task& task) {
  return task.m_crashed_runs.size() > kCrashesBeforeIsolation;
}

// In a mass loss, the tasks in isolation are not to blame.
void TakeBackMassLoss(Fleet& fleet) {
  for (const auto& crash : fleet.m_recent_crashes) {
    Worker* worker = FindWorker(fleet, crash.second);
    if (worker != nullptr) TakeBackCrashes(fleet, *worker, HasCrashedAlone);
  }
}

void RecordCrash(Fleet& fleet, Worker& worker, TimePoint now) {
  // Its runs end with it as planned.
  if (worker.m_listing.m_is_leaving) return;
  fleet.m_events.push_back({"worker_crashed", JobKey(),
                            worker.m_listing.m_worker, RunNumber(),
                            worker.m_poll_sent_at - worker.m_clock_read_at});
  AddRecentCrash(fleet, worker, now);
  const bool is_mass_loss = IsMassLoss(fleet);
  if (is_mass_loss) TakeBackMassLoss(fleet);
  const std::vector<TaskReference> suspects = FindUnprovenRuns(fleet, worker);
  const bool is_certain = !is_mass_loss && IsOneJob(suspects);
  for (const TaskReference& reference : suspects) {
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    if (is_certain || !NeedsIsolation(*task)) {
      CountCrash(fleet, worker, reference);
    }
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
  return task.m_crashed_runs.size() >=
         (job.m_is_inherited ? kCrashesOfInheritedJob : kCrashesBeforeGivingUp);
}

bool IsProven(const Worker& worker, const Task& task) {
  return task.m_start_confirmation == StartConfirmation::kConfirmed &&
         worker.m_clock_read_at - task.m_started_at >= kProofTime;
}

std::vector<TaskReference> FindUnprovenRuns(Fleet& fleet,
                                            const Worker& worker) {
  std::vector<TaskReference> unproven;
  for (const TaskReference& reference : worker.m_runs) {
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    if (task == nullptr || IsProven(worker, *task)) continue;
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
  TakeBackCrashes(fleet, worker, [](const Task&) { return true; });
  Forget(worker);
}

void RecordRestart(Fleet& fleet, Worker& worker, TimePoint now) {
  const bool is_uncounted_crash =
      worker.m_closed_polls > 0 &&
      worker.m_closed_polls < kClosedPollsOfCrash &&
      worker.m_unanswered_polls <= kMaximumUnansweredPolls;
  if (is_uncounted_crash) RecordCrash(fleet, worker, now);
  Forget(worker);
}

}  // namespace daisyarch::fleet
