#include "decisions/fleet/crash_count.h"
#include "decisions/fleet/fencing.h"
#include "decisions/fleet/fleet.h"
#include "decisions/fleet/late_start.h"
#include "decisions/fleet/occurrences.h"

namespace daisyarch::fleet {

namespace {

bool IsService(const RunContext& context) {
  return context.m_step.m_kind == StepKind::kService &&
         !context.m_job.m_is_cancelled;
}

bool IsJobTerminated(const RunContext& context) {
  return context.m_job.m_is_cancelled || context.m_job.m_has_failed;
}

bool MayRetry(const RunContext& context) {
  if (context.m_step.m_kind == StepKind::kService) return true;
  // Another member of the gang may have counted the run already.
  const bool is_counted = HasFailedIn(context.m_task, context.m_task.m_run);
  const std::size_t attempts =
      context.m_task.m_failed_runs.size() + (is_counted ? 0 : 1);
  return attempts < context.m_job.m_maximum_attempts;
}

// A failure that was reported late may have used the last attempt.
bool AreAttemptsExhausted(const RunContext& context) {
  if (HasCrashedTooOften(context.m_job, context.m_task)) return true;
  return context.m_step.m_kind == StepKind::kFinite &&
         context.m_task.m_failed_runs.size() >=
             context.m_job.m_maximum_attempts;
}

bool MayStartLate(const RunContext& context) {
  return fleet::MayStartLate(context.m_fleet, context.m_task);
}

bool MayResend(const RunContext& context) {
  return fleet::MayResend(context.m_fleet, context.m_step, context.m_task);
}

bool IsServiceToSettle(const RunContext& context) {
  return IsService(context) && MayStartLate(context);
}

bool MayRetryOnceSettled(const RunContext& context) {
  return MayRetry(context) && MayStartLate(context);
}

void AddTaskImages(Worker& worker, const StepPlan& step) {
  worker.m_headrooms.clear();
  if (step.m_processor_use == ProcessorUse::kBestEffort) {
    worker.m_used.m_processors -= step.m_demand.m_processors;
    worker.m_best_effort_demand += step.m_demand.m_processors;
    BestEffortImage& best_effort_image =
        worker.m_best_effort_images[step.m_image];
    best_effort_image.m_demand += step.m_demand.m_processors;
    ++best_effort_image.m_count;
  }
  if (step.m_latency_target > Duration{}) {
    ServingImage& serving = worker.m_serving[step.m_image];
    const bool is_shortest =
        serving.m_count == 0 || step.m_latency_target < serving.m_target;
    if (is_shortest) serving.m_target = step.m_latency_target;
    ++serving.m_count;
  }
}

template <typename Images>
void RemoveImage(Images& images, const ImageId& image) {
  const auto found = images.find(image);
  if (found != images.end() && --found->second.m_count == 0) {
    images.erase(found);
  }
}

void RemoveTaskImages(Worker& worker, const StepPlan& step) {
  worker.m_headrooms.clear();
  if (step.m_processor_use == ProcessorUse::kBestEffort) {
    worker.m_used.m_processors += step.m_demand.m_processors;
    worker.m_best_effort_demand -= step.m_demand.m_processors;
    worker.m_best_effort_images[step.m_image].m_demand -=
        step.m_demand.m_processors;
    RemoveImage(worker.m_best_effort_images, step.m_image);
  }
  if (step.m_latency_target > Duration{}) {
    RemoveImage(worker.m_serving, step.m_image);
  }
}

void ReserveCapacity(RunContext& context) {
  --context.m_step_run.m_waiting;
  ++context.m_step_run.m_placed;
  ++context.m_job.m_placed;
  Worker* worker = FindWorker(context.m_fleet, context.m_task.m_worker);
  if (worker == nullptr) return;
  worker->m_used = worker->m_used + context.m_step.m_demand;
  AddTaskImages(*worker, context.m_step);
  worker->m_runs.insert(context.m_reference);
  UpdateWorkerIndex(context.m_fleet, *worker);
}

// Of a run that has ended.
void ForgetMeasurements(Task& task) {
  task.m_over_target_since = TimePoint();
  task.m_load = 0;
  task.m_progress_percent = 0;
}

void ReleaseCapacity(RunContext& context) {
  --context.m_step_run.m_placed;
  --context.m_job.m_placed;
  context.m_fleet.m_needs_placement = true;
  Worker* worker = FindWorker(context.m_fleet, context.m_task.m_worker);
  context.m_task.m_worker = WorkerId();
  context.m_task.m_processor_limit_percent = 100;
  context.m_task.m_is_limit_confirmed = true;
  ForgetMeasurements(context.m_task);
  if (worker == nullptr) return;
  worker->m_used = worker->m_used - context.m_step.m_demand;
  RemoveTaskImages(*worker, context.m_step);
  worker->m_runs.erase(context.m_reference);
  UpdateWorkerIndex(context.m_fleet, *worker);
}

void AddResend(RunContext& context) {
  context.m_fleet.m_resends.insert(context.m_reference);
  context.m_fleet.m_needs_placement = true;
}

void RemoveResend(RunContext& context) {
  context.m_fleet.m_resends.erase(context.m_reference);
}

void AwaitLateStart(RunContext& context) {
  Task& task = context.m_task;
  RecordPendingStart(context.m_fleet, task);
  task.m_start_confirmation = StartConfirmation::kUnconfirmed;
  task.m_unconfirmed_until =
      std::max(task.m_unconfirmed_until,
               UnconfirmedUntil(context.m_fleet.m_limits, task, TimePoint()));
  // A late start sets no limit, but a late order may set an earlier one again.
  task.m_processor_limit_percent = 100;
  task.m_is_limit_confirmed = false;
  ForgetMeasurements(task);
  context.m_fleet.m_events.push_back(
      {"late_start_awaited", context.m_reference.m_job, task.m_worker,
       task.m_run, Duration{}, context.m_reference});
}

void Requeue(RunContext& context) {
  StepRun& step_run = context.m_step_run;
  ++step_run.m_waiting;
  step_run.m_first_waiting =
      std::min(step_run.m_first_waiting, context.m_reference.m_index);
}

void CountDone(RunContext& context) {
  ++context.m_step_run.m_done;
  --context.m_job.m_unfinished;
  context.m_task.m_checkpoint.clear();
  RecordTaskDone(context.m_fleet, context.m_job, context.m_reference);
}

void CountFailure(RunContext& context) {
  // A service task has unlimited attempts, so failures are not recorded.
  if (context.m_step.m_kind == StepKind::kService) return;
  CountFailedRun(context.m_fleet, context.m_job, context.m_reference,
                 context.m_task.m_run);
}

void FailJob(RunContext& context) {
  context.m_job.m_has_failed = true;
  UpdatePendingCount(context.m_fleet, context.m_job);
}

// Orders sent earlier carry a lower token, so none of them takes effect after
// the worker has reported under the new one.
void RaiseToken(WorkerContext& context) {
  Worker& worker = context.m_worker;
  FenceWorker(context.m_fleet, worker);
  worker.m_is_polling = false;
  worker.m_is_incarnation_confirmed = false;
  worker.m_next_poll_at = TimePoint();
}

// An unconfirmed start may still take effect if the worker has restarted, as
// its new incarnation has neither seen the token nor granted the lease.
void InterruptConfirmedRuns(WorkerContext& context) {
  const std::set<TaskReference> runs = context.m_worker.m_runs;
  for (const TaskReference& reference : runs) {
    Job* job = nullptr;
    const Task* task = FindTask(context.m_fleet, reference, job);
    if (task == nullptr) continue;
    if (task->m_start_confirmation != StartConfirmation::kConfirmed) continue;
    StepTask(context.m_fleet, *job, reference, RunEvent::kInterrupted);
  }
}

void AbandonStarts(WorkerContext& context) {
  const std::set<TaskReference> runs = context.m_worker.m_runs;
  for (const TaskReference& reference : runs) {
    Job* job = nullptr;
    const Task* task = FindTask(context.m_fleet, reference, job);
    // The worker may be cut off, and start again under its id.
    if (task == nullptr || fleet::MayStartLate(context.m_fleet, *task)) {
      continue;
    }
    AbandonStart(context.m_fleet, *job, reference);
  }
}

// Runs that were confirmed before the previous incarnation's last report have
// ended with it. Any other start may have reached the new incarnation, whose
// first report resolves it.
void MarkRunsUnconfirmed(WorkerContext& context) {
  Worker& worker = context.m_worker;
  const std::set<TaskReference> runs = worker.m_runs;
  for (const TaskReference& reference : runs) {
    Job* job = nullptr;
    Task* task = FindTask(context.m_fleet, reference, job);
    if (task == nullptr) continue;
    const bool has_ended =
        task->m_start_confirmation == StartConfirmation::kConfirmed &&
        task->m_started_at <= worker.m_clock_read_at;
    if (has_ended) {
      StepTask(context.m_fleet, *job, reference, RunEvent::kInterrupted);
    } else {
      RecordPendingStart(context.m_fleet, *task);
      MarkTaskChanged(context.m_fleet, *job, reference);
      task->m_start_confirmation = StartConfirmation::kUnconfirmed;
    }
  }
}

// The report under the new token lists every start that took effect. The
// others can no longer take effect in this incarnation.
void ResolveUnconfirmedStarts(WorkerContext& context) {
  const std::set<TaskReference> runs = context.m_worker.m_runs;
  for (const TaskReference& reference : runs) {
    Job* job = FindJob(context.m_fleet, reference.m_job);
    if (job == nullptr) continue;
    const Task& task =
        StepRunAt(*job,
                  StepRunIndex(*job, reference.m_occurrence, reference.m_step))
            .m_tasks[reference.m_index];
    if (task.m_start_confirmation != StartConfirmation::kUnconfirmed) continue;
    StepTask(context.m_fleet, *job, reference, RunEvent::kNotStarted);
  }
}

}  // namespace

void AbandonStart(Fleet& fleet, Job& job, const TaskReference& reference) {
  const Task& task = StepRunAt(job, StepRunIndex(job, reference.m_occurrence,
                                                 reference.m_step))
                         .m_tasks[reference.m_index];
  if (task.m_start_confirmation != StartConfirmation::kUnconfirmed) return;
  fleet.m_events.push_back({"start_abandoned", reference.m_job, task.m_worker,
                            task.m_run, Duration{}});
  StepTask(fleet, job, reference, RunEvent::kInterrupted);
}

ChartBinding<RunContext> RunBinding() {
  return {
      {"waiting", "starting", "running", "unconfirmed", "stopping", "resending",
       "settling", "done", "failed", "cancelled"},
      {"placed", "started", "start_unanswered", "stop_requested", "completed",
       "run_failed", "interrupted", "not_started", "resent", "superseded",
       "attempts_exhausted", "cancelled"},
      {{"is_service", IsService},
       {"is_job_terminated", IsJobTerminated},
       {"may_retry", MayRetry},
       {"may_retry_once_settled", MayRetryOnceSettled},
       {"is_service_to_settle", IsServiceToSettle},
       {"may_start_late", MayStartLate},
       {"may_resend", MayResend},
       {"are_attempts_exhausted", AreAttemptsExhausted}},
      {{"reserve_capacity", ReserveCapacity},
       {"release_capacity", ReleaseCapacity},
       {"requeue", Requeue},
       {"add_resend", AddResend},
       {"remove_resend", RemoveResend},
       {"await_late_start", AwaitLateStart},
       {"count_done", CountDone},
       {"count_failure", CountFailure},
       {"fail_job", FailJob}},
  };
}

ChartBinding<WorkerContext> WorkerBinding() {
  return {
      {"unverified", "ready", "silent", "lapsed"},
      {"reported", "order_unanswered", "poll_failed", "restarted",
       "lease_lapsed", "delisted"},
      {},
      {{"raise_token", RaiseToken},
       {"interrupt_confirmed_runs", InterruptConfirmedRuns},
       {"abandon_starts", AbandonStarts},
       {"mark_runs_unconfirmed", MarkRunsUnconfirmed},
       {"resolve_unconfirmed_starts", ResolveUnconfirmedStarts}},
  };
}

Result<FleetStateMachines> LoadFleetStateMachines(
    const std::string& directory) {
  TRY_ASSIGN(RunStateMachine run,
             RunStateMachine::Load(directory, "run", RunBinding()));
  TRY_ASSIGN(
      WorkerStateMachine worker,
      WorkerStateMachine::Load(directory, "fleet_worker", WorkerBinding()));
  TRY_ASSIGN(
      RelayLinkStateMachine relay_link,
      RelayLinkStateMachine::Load(directory, "relay_link", RelayLinkBinding()));
  return FleetStateMachines{std::move(run), std::move(worker),
                            std::move(relay_link)};
}

}  // namespace daisyarch::fleet
