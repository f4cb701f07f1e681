#include <algorithm>

#include "decisions/fleet/acknowledgement.h"
#include "decisions/fleet/crash_count.h"
#include "decisions/fleet/earlier_lease.h"
#include "decisions/fleet/ended_runs.h"
#include "decisions/fleet/fleet.h"
#include "decisions/fleet/late_start.h"
#include "decisions/fleet/occurrences.h"
#include "decisions/fleet/start_journal.h"

namespace daisyarch::fleet {

namespace {

constexpr Duration kRefusalQuarantine = std::chrono::milliseconds(200);
constexpr std::uint8_t kInitializedPercent = 100;
constexpr std::int64_t kPercent = 100;
// A best-effort task that uses this share of its demand is taken as unlimited.
constexpr std::int64_t kUnlimitedUsePercent = 90;
// Period that reported tail latencies cover, and the time until they arrive.
constexpr Duration kTailLatencyWindow = std::chrono::milliseconds(600);
constexpr Duration kPollRetryInterval = std::chrono::milliseconds(100);

void MarkUnconfirmed(const Fleet& fleet, Task& task, TimePoint now) {
  task.m_start_confirmation = StartConfirmation::kUnconfirmed;
  task.m_unconfirmed_until = std::max(
      task.m_unconfirmed_until, UnconfirmedUntil(fleet.m_limits, task, now));
}

// Returns whether the worker has reported since its runs were last in doubt.
bool IsInContact(const Worker& worker) {
  return worker.m_state == WorkerState::kReady ||
         worker.m_state == WorkerState::kSilent;
}

// Only the earlier leader knew the limit of an adopted run, unless the task
// uses nearly all of its demand and so has none.
void CheckAdoptedLimit(Task& task, const StepPlan& step,
                       const ActiveRun& active) {
  if (step.m_processor_use != ProcessorUse::kBestEffort) return;
  const bool is_unlimited =
      active.m_load * kPercent >=
      step.m_demand.m_processors.value() * kUnlimitedUsePercent;
  task.m_is_limit_confirmed = is_unlimited;
}

void StopUnknownRun(Fleet& fleet, Worker& worker, const ActiveRun& active) {
  ++worker.m_unknown_runs;
  fleet.m_events.push_back({"run_unexpected", active.m_task.m_job,
                            worker.m_listing.m_worker, active.m_run, Duration{},
                            active.m_task});
  fleet.m_orders.push_back(
      StopOrder{worker.m_listing.m_worker, worker.m_listing.m_incarnation,
                active.m_task, active.m_run, worker.m_token});
}

void RecordLoad(Task& task, const StepPlan& step, const ActiveRun& active,
                TimePoint now) {
  task.m_progress_percent = active.m_progress_percent;
  task.m_load = active.m_load;
  if (step.m_latency_target <= Duration{}) return;
  if (FromMilliseconds(active.m_load) <= step.m_latency_target) {
    task.m_over_target_since = TimePoint();
  } else if (task.m_over_target_since == TimePoint()) {
    task.m_over_target_since = now;
  }
}

void RecordStart(Fleet& fleet, Job& job, Task& task,
                 const TaskReference& reference, TimePoint now) {
  task.m_start_confirmation = StartConfirmation::kConfirmed;
  task.m_started_at = now;
  StepTask(fleet, job, reference, RunEvent::kStarted);
}

void ApplyActiveRun(Fleet& fleet, Worker& worker, const ActiveRun& active,
                    const FoundRun& found, TimePoint now) {
  if (found.m_task == nullptr) return StopUnknownRun(fleet, worker, active);
  Job& job = *found.m_job;
  Task& task = *found.m_task;
  const StepPlan& step = job.m_plan.m_steps[active.m_task.m_step];
  RecordJobStart(fleet, job);
  RecordActive(fleet, worker, found, active.m_run);
  if (!IsRunOnWorker(task, worker, active.m_run)) {
    if (!AdoptRun(fleet, job, task, worker, active.m_task, active.m_run)) {
      return StopUnknownRun(fleet, worker, active);
    }
    CheckAdoptedLimit(task, step, active);
  }
  ConfirmJournaledStart(fleet, worker, job, task, active.m_task);
  if (task.m_start_confirmation != StartConfirmation::kConfirmed) {
    RecordStart(fleet, job, task, active.m_task, now);
  }
  RecordCheckpoint(job, task, active.m_task, active.m_checkpoint);
  RecordLoad(task, step, active, now);
  // Another member of its gang has failed.
  const bool is_over = step.m_is_gang && HasFailedIn(task, active.m_run);
  const bool is_unwanted = job.m_is_cancelled || job.m_has_failed || is_over;
  if (is_unwanted && task.m_state == RunState::kRunning) {
    SendStop(fleet, job, active.m_task, now);
  }
}

// Handles a run that the report lists neither as active nor as ended. If its
// start was confirmed before the poll was sent, it is gone.
void HandleMissingRun(Fleet& fleet, const Worker& worker, Job& job,
                      const Task& task, const TaskReference& reference) {
  if (task.m_start_confirmation == StartConfirmation::kPending) return;
  if (task.m_start_confirmation == StartConfirmation::kUnconfirmed) {
    // In any other state, the worker's event resolves the start.
    if (worker.m_state == WorkerState::kReady) {
      StepTask(fleet, job, reference, RunEvent::kNotStarted);
    }
    return;
  }
  if (task.m_started_at >= worker.m_poll_sent_at) return;
  fleet.m_events.push_back({"run_missing", reference.m_job,
                            worker.m_listing.m_worker, task.m_run,
                            worker.m_clock_read_at - task.m_started_at});
  StepTask(fleet, job, reference, RunEvent::kInterrupted);
}

bool IsBefore(const FoundRun& left, const FoundRun& right) {
  return *left.m_reference < *right.m_reference;
}

void SortByReference(std::vector<FoundRun>& runs) {
  if (std::is_sorted(runs.begin(), runs.end(), IsBefore)) return;
  std::sort(runs.begin(), runs.end(), IsBefore);
}

// Returns the entry of the same task among the sorted runs; nullptr if there is
// none.
const FoundRun* FindAmong(const std::vector<FoundRun>& runs,
                          const TaskReference& reference) {
  const auto found = std::lower_bound(runs.begin(), runs.end(),
                                      FoundRun{&reference}, IsBefore);
  const bool is_there = found != runs.end() && *found->m_reference == reference;
  return is_there ? &*found : nullptr;
}

// `active` are the runs that the report lists as active, sorted.
void HandleMissingRuns(Fleet& fleet, Worker& worker,
                       const std::vector<FoundRun>& active) {
  std::vector<TaskReference> missing;
  for (const TaskReference& reference : worker.m_runs) {
    if (FindAmong(active, reference) != nullptr) continue;
    missing.push_back(reference);
  }
  for (const TaskReference& reference : missing) {
    const FoundRun run = FindRun(fleet, reference);
    if (run.m_task == nullptr) continue;
    HandleMissingRun(fleet, worker, *run.m_job, *run.m_task, reference);
  }
}

// Returns all runs on the worker, in their order.
std::vector<FoundRun> FindRunsOn(Fleet& fleet, const Worker& worker,
                                 const std::vector<FoundRun>& active) {
  std::vector<FoundRun> runs;
  runs.reserve(worker.m_runs.size());
  for (const TaskReference& reference : worker.m_runs) {
    const FoundRun* found = FindAmong(active, reference);
    runs.push_back(found != nullptr ? *found : FindRun(fleet, reference));
  }
  return runs;
}

// Returns the plan of the run's step if the run is active; nullptr otherwise.
const StepPlan* ActiveStepOf(const FoundRun& run) {
  if (run.m_task == nullptr || run.m_task->m_state != RunState::kRunning) {
    return nullptr;
  }
  return &run.m_job->m_plan.m_steps[run.m_reference->m_step];
}

// A task that is still initializing has no tail latency yet.
bool HasTailLatency(const Task& task, const StepPlan& step) {
  return step.m_latency_target > Duration{} &&
         task.m_progress_percent >= kInitializedPercent;
}

// Tail latencies are measured over a window, so a sample does not yet reflect
// a best-effort task that has just started or whose limit has just changed.
bool HasSteadyBestEffort(const std::vector<FoundRun>& runs, TimePoint now) {
  return std::none_of(runs.begin(), runs.end(), [now](const FoundRun& run) {
    const StepPlan* step = ActiveStepOf(run);
    if (step == nullptr) return false;
    if (step->m_processor_use != ProcessorUse::kBestEffort) return false;
    const TimePoint since =
        std::max(run.m_task->m_started_at, run.m_task->m_limit_changed_at);
    return now - since < kTailLatencyWindow;
  });
}

// Raises the worker's token, unless it has been raised since the order was sent
// and the report under it is still to come.
void FenceUnanswered(Fleet& fleet, Worker& worker, FencingToken token) {
  const bool is_fenced = worker.m_state == WorkerState::kUnverified &&
                         token < worker.m_report_token;
  if (is_fenced) return;
  StepWorker(fleet, worker, WorkerEvent::kOrderUnanswered);
}

void AggregateTailLatencies(const ImageId& image, ServingImage& serving,
                            const std::vector<FoundRun>& runs) {
  double sum = 0;
  std::size_t count = 0;
  serving.m_tail_latency_ms = serving.m_mean_tail_latency_ms = 0;
  for (const FoundRun& run : runs) {
    const StepPlan* step = ActiveStepOf(run);
    if (step == nullptr || !HasTailLatency(*run.m_task, *step)) continue;
    if (step->m_image != image) continue;
    const auto own = static_cast<double>(run.m_task->m_load);
    serving.m_tail_latency_ms =
        count == 0 ? own : std::max(serving.m_tail_latency_ms, own);
    sum += own;
    ++count;
  }
  if (count == 0) return;
  serving.m_mean_tail_latency_ms = sum / static_cast<double>(count);
}

// Aggregates the reported loads of the worker's runs by image.
void AggregateLoads(Worker& worker, const std::vector<FoundRun>& runs) {
  for (auto& entry : worker.m_best_effort_images)
    entry.second.m_used = Millicores(0);
  for (const FoundRun& run : runs) {
    const StepPlan* step = ActiveStepOf(run);
    if (step == nullptr) continue;
    if (step->m_processor_use != ProcessorUse::kBestEffort) continue;
    worker.m_best_effort_images[step->m_image].m_used +=
        Millicores(run.m_task->m_load);
  }
  for (auto& [image, serving] : worker.m_serving) {
    AggregateTailLatencies(image, serving, runs);
  }
}

// Learns from the reported loads and adjusts limits to them. Only serving and
// best-effort tasks need either.
void HandleLoads(Fleet& fleet, Worker& worker,
                 const std::vector<FoundRun>& active, TimePoint now) {
  worker.m_headrooms.clear();
  if (worker.m_serving.empty() && worker.m_best_effort_images.empty()) return;
  const std::vector<FoundRun> runs = FindRunsOn(fleet, worker, active);
  AggregateLoads(worker, runs);
  if (HasSteadyBestEffort(runs, now)) {
    AddInterferenceSample(fleet.m_interference, worker.m_serving,
                          worker.m_best_effort_images,
                          worker.m_listing.m_capacity.m_processors);
  }
  ThrottleBestEffort(fleet, worker, runs, now);
}

}  // namespace

Task* FindTask(Fleet& fleet, const TaskReference& reference, Job*& job) {
  job = FindJob(fleet, reference.m_job);
  if (job == nullptr || reference.m_step >= job->StepCount() ||
      reference.m_occurrence >= job->m_plan.m_occurrences) {
    return nullptr;
  }
  if (reference.m_index >= job->m_plan.m_steps[reference.m_step].m_task_count) {
    return nullptr;
  }
  auto found = job->m_occurrences.find(reference.m_occurrence);
  if (found == job->m_occurrences.end()) {
    if (Contains(job->m_finished_occurrences, reference.m_occurrence)) {
      return nullptr;
    }
    BeginReportedOccurrence(fleet, *job, reference.m_occurrence);
    found = job->m_occurrences.find(reference.m_occurrence);
  }
  return &found->second.m_steps[reference.m_step].m_tasks[reference.m_index];
}

FoundRun FindRun(Fleet& fleet, const TaskReference& reference) {
  FoundRun run{&reference};
  run.m_task = FindTask(fleet, reference, run.m_job);
  return run;
}

void UpdateIncarnation(Fleet& fleet, Worker& worker, Incarnation incarnation,
                       TimePoint now) {
  if (incarnation == Incarnation() ||
      incarnation == worker.m_listing.m_incarnation) {
    return;
  }
  const bool was_known = worker.m_listing.m_incarnation != Incarnation();
  if (was_known) {
    worker.m_former_incarnations.insert(worker.m_listing.m_incarnation);
  }
  worker.m_former_incarnations.erase(incarnation);
  worker.m_listing.m_incarnation = incarnation;
  if (worker.m_roster_incarnation != incarnation) {
    worker.m_is_in_roster = false;
    AwaitUnknownRestart(fleet, worker, now);
  }
  if (!was_known) return;
  // The new process may have another capacity and other labels.
  worker.m_is_listed = false;
  RecordRestart(fleet, worker, now);
  fleet.m_events.push_back({"worker_restarted", JobKey(),
                            worker.m_listing.m_worker, RunNumber(),
                            worker.m_poll_sent_at - worker.m_clock_read_at});
  worker.m_applied_end = worker.m_stored_end = worker.m_first_listed_end =
      OutcomeNumber();
  worker.m_listed_ends = 0;
  worker.m_unknown_end = OutcomeNumber();
  ResetClock(worker);
  RecordRestartedLease(worker);
  worker.m_unknown_runs = 0;
  worker.m_has_unapplied_ends = worker.m_awaits_jobs = false;
  worker.m_consecutive_failures = 0;
  StepWorker(fleet, worker, WorkerEvent::kRestarted);
  for (const TaskReference& reference : worker.m_runs) {
    Job* job = nullptr;
    Task* task = FindTask(fleet, reference, job);
    if (task == nullptr) continue;
    task->m_unconfirmed_until =
        std::max(task->m_unconfirmed_until,
                 UnconfirmedUntil(fleet.m_limits, *task, now));
  }
  UpdateWorkerIndex(fleet, worker);
}

namespace {

// Returns the runs that the report lists as active, in its order.
std::vector<FoundRun> FindActiveRuns(Fleet& fleet, const WorkerReport& report) {
  std::vector<FoundRun> runs;
  runs.reserve(report.m_running.size());
  for (const ActiveRun& active : report.m_running) {
    runs.push_back(FindRun(fleet, active.m_task));
  }
  return runs;
}

void ApplyReport(Fleet& fleet, Worker* worker, FencingToken token,
                 const WorkerReport& report, TimePoint now) {
  worker->m_is_polling = false;
  worker->m_next_poll_at = now;
  const Incarnation before = worker->m_listing.m_incarnation;
  UpdateIncarnation(fleet, *worker, report.m_incarnation, now);
  RecordAnswer(fleet, *worker);
  const bool awaited_jobs = worker->m_awaits_jobs;
  // No job is removed before this event ends.
  std::vector<FoundRun> active = FindActiveRuns(fleet, report);
  const bool has_all_ends = ApplyEndedRuns(fleet, *worker, report, active, now);
  if (awaited_jobs && !worker->m_awaits_jobs) fleet.m_needs_placement = true;
  worker->m_has_unapplied_ends = !has_all_ends;
  worker->m_is_incarnation_confirmed = true;
  RecordAcknowledgementAnswered(*worker);
  // A new incarnation is polled again under its new token.
  if (before != Incarnation() && before != worker->m_listing.m_incarnation) {
    return;
  }
  RecordClock(*worker, report, now);
  if (token < worker->m_report_token) return;
  ExtendUnknownLease(fleet, *worker, report, now);
  worker->m_unknown_runs = 0;
  for (std::size_t index = 0; index < active.size(); ++index) {
    ApplyActiveRun(fleet, *worker, report.m_running[index], active[index], now);
  }
  SortByReference(active);
  // Only a report whose ended runs are all applied shows which runs are gone.
  if (has_all_ends) {
    ForgetLateStartsBefore(fleet, *worker, report, now);
    HandleMissingRuns(fleet, *worker, active);
    if (worker->m_state != WorkerState::kReady) fleet.m_needs_placement = true;
    worker->m_inherited_runs_until = TimePoint();
    StepWorker(fleet, *worker, WorkerEvent::kReported);
  }
  // With nothing to store, the ended runs can be acknowledged at once.
  if (fleet.m_changed_jobs.empty() && !fleet.m_is_storing) {
    worker->m_stored_end = worker->m_applied_end;
  }
  worker->m_next_poll_at =
      now + std::max(PollSpacing(fleet, *worker),
                     UnacknowledgedPollInterval(fleet, *worker, report, now));
  if (worker->m_listing.m_is_leaving) EvacuateRuns(fleet, *worker, now);
  HandleLoads(fleet, *worker, active, now);
}

}  // namespace

void ApplyReport(Fleet& fleet, const WorkerId& worker_id, std::uint64_t poll,
                 FencingToken token, const WorkerReport& report,
                 TimePoint now) {
  Worker* worker = FindWorker(fleet, worker_id);
  if (worker == nullptr || poll != worker->m_poll_number) return;
  ApplyReport(fleet, worker, token, report, now);
  UpdateWorkerIndex(fleet, *worker);
}

void ApplyPollFailure(Fleet& fleet, const WorkerId& worker_id,
                      std::uint64_t poll, PollFailure failure, TimePoint now) {
  Worker* worker = FindWorker(fleet, worker_id);
  if (worker == nullptr || poll != worker->m_poll_number) return;
  worker->m_is_polling = false;
  worker->m_is_incarnation_confirmed = false;
  if (failure == PollFailure::kFenced) {
    worker->m_next_poll_at = now;
    return UpdateWorkerIndex(fleet, *worker);
  }
  worker->m_next_poll_at = now + kPollRetryInterval;
  RecordPollFailure(fleet, *worker, failure, now);
  // It may have forgotten the ends, so its next report decides.
  StepWorker(fleet, *worker,
             worker->m_poll_acknowledged == OutcomeNumber()
                 ? WorkerEvent::kPollFailed
                 : WorkerEvent::kOrderUnanswered);
  OutrankAcknowledgement(fleet, *worker);
  UpdateWorkerIndex(fleet, *worker);
}

void ApplyStartOutcome(Fleet& fleet, const StartOrder& order,
                       StartOutcome outcome, TimePoint now) {
  Job* job = nullptr;
  Task* task = FindTask(fleet, order.m_task, job);
  // Also an answer for a run that has been given up.
  if (task != nullptr && outcome == StartOutcome::kStarted) {
    RecordJobStart(fleet, *job);
  }
  Worker* worker = FindWorker(fleet, order.m_worker);
  // The order may have been sent again since.
  const bool is_current = task != nullptr && worker != nullptr &&
                          IsRunOnWorker(*task, *worker, order.m_run) &&
                          order.m_sent_at == task->m_start_sent_at;
  if (!is_current) return;
  worker->m_unanswered_starts.erase(order.m_task);
  switch (outcome) {
    case StartOutcome::kStarted:
      RecordStart(fleet, *job, *task, order.m_task, now);
      // The answer may come from an earlier incarnation, or from before the
      // lease expired, so the worker's next report decides.
      if (!IsInContact(*worker)) MarkUnconfirmed(fleet, *task, now);
      break;
    case StartOutcome::kRefused:
      // The worker's state differs from the leader's view of it, which the next
      // poll corrects.
      worker->m_quarantined_until =
          std::max(worker->m_quarantined_until, now + kRefusalQuarantine);
      // A poll may have shown the run before this answer arrived.
      if (task->m_start_confirmation == StartConfirmation::kConfirmed) break;
      task->m_start_confirmation = StartConfirmation::kUnconfirmed;
      StepTask(fleet, *job, order.m_task, RunEvent::kNotStarted);
      break;
    case StartOutcome::kUnanswered:
      // An earlier order may have started a run that is sent again.
      if (task->m_start_confirmation == StartConfirmation::kConfirmed) {
        if (task->m_late_start_until > now) {
          RecordLateStart(fleet, *task);
          MarkTaskChanged(fleet, *job, order.m_task);
        }
        break;
      }
      RecordLateStart(fleet, *task);
      MarkUnconfirmed(fleet, *task, now);
      // The next leader must not move the task either.
      MarkTaskChanged(fleet, *job, order.m_task);
      StepTask(fleet, *job, order.m_task, RunEvent::kStartUnanswered);
      FenceUnanswered(fleet, *worker, order.m_token);
      break;
  }
  ResumePoll(fleet, *worker, now);
  UpdateWorkerIndex(fleet, *worker);
}

void ApplyOrderFailure(Fleet& fleet, const WorkerId& worker_id,
                       FencingToken token) {
  Worker* worker = FindWorker(fleet, worker_id);
  if (worker == nullptr) return;
  FenceUnanswered(fleet, *worker, token);
}

}  // namespace daisyarch::fleet
